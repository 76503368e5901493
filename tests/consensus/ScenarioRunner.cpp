#include "consensus/ScenarioRunner.h"

#include <fstream>
#include <functional>

namespace hickoryknot {

std::optional<std::string> ScenarioRunner::run(const std::string& path)
{
    std::ifstream file(path);
    std::string line;
    if (!std::getline(file, line) || !line.starts_with("# Guards against "))
        return path + ":1: must say what it guards against";
    for (int number = 2; std::getline(file, line); ++number) {
        std::istringstream words(line);
        std::string command;
        if (!(words >> command) || command.starts_with("#"))
            continue;
        auto failure = execute(command, words);
        if (!failure && m_cluster && m_cluster->violation())
            failure = m_cluster->violation();
        if (failure)
            return path + ":" + std::to_string(number) + ": " + line + ": " + *failure;
    }
    return std::nullopt;
}

HostId ScenarioRunner::readHost(std::istringstream& words) const
{
    std::string name;
    words >> name;
    if (name == "noted" && m_notedLeader)
        return *m_notedLeader;
    if (name == "leader")
        return m_cluster->leader().value_or(HostId());
    // "other1", "other2": the voters that are not the noted leader, in order.
    if (name.starts_with("other") && m_notedLeader) {
        int skip = name.back() - '0';
        for (const auto& host : m_cluster->hosts()) {
            if (host != *m_notedLeader && --skip == 0)
                return host;
        }
    }
    return HostId(name);
}

std::optional<std::string> ScenarioRunner::execute(const std::string& command, std::istringstream& words)
{
    using Action = std::function<void(const HostId&)>;
    const std::map<std::string, Action> hostCommands {
        { "crash", [&](const HostId& host) { m_cluster->crash(host); } },
        { "start", [&](const HostId& host) { m_cluster->start(host); } },
        { "losedisk", [&](const HostId& host) { m_cluster->loseDisk(host); } },
        { "copydisk", [&](const HostId& host) { m_cluster->copyDisk(host); } },
        { "olddisk", [&](const HostId& host) { m_cluster->restoreCopy(host); } },
        { "failsync", [&](const HostId& host) { m_cluster->files(host).isSyncFailing = true; } },
        { "fulldisk", [&](const HostId& host) { m_cluster->files(host).isFull = true; } },
        { "repairdisk", [&](const HostId& host) { m_cluster->repairDisk(host); } },
        { "pause", [&](const HostId& host) { m_cluster->setPaused(host, true); } },
        { "resume", [&](const HostId& host) { m_cluster->setPaused(host, false); } },
        { "isolate",
            [&](const HostId& host) {
                for (const auto& other : m_cluster->hosts())
                    m_cluster->network().partition(host, other);
            } },
        { "transfer",
            [&](const HostId& host) {
                const HostId leader = m_cluster->leader().value_or(host);
                static_cast<void>(m_cluster->group(leader).transferLeadership(host, m_cluster->hostNow(leader)));
            } },
    };
    if (const auto found = hostCommands.find(command); found != hostCommands.end()) {
        const HostId host = readHost(words);
        const auto hosts = m_cluster->hosts();
        if (std::find(hosts.begin(), hosts.end(), host) == hosts.end())
            return "no such host";
        found->second(host);
        return std::nullopt;
    }
    if (command == "expect")
        return expect(words);
    if (command == "propose")
        return proposeAndWait(words);
    int number = 0;
    if (command == "seed")
        words >> m_seed;
    else if (command == "hosts") {
        unsigned voters = 0;
        unsigned learners = 0;
        words >> voters >> learners;
        m_cluster = std::make_unique<LogCluster>(m_seed, voters, learners);
    } else if (command == "run" && words >> number)
        m_cluster->run(std::chrono::milliseconds(number));
    else if (command == "cut" || command == "cutoneway") {
        const HostId from = readHost(words);
        const HostId to = readHost(words);
        m_cluster->network().partitionOneWay(from, to);
        if (command == "cut")
            m_cluster->network().partitionOneWay(to, from);
    } else if (command == "heal")
        m_cluster->network().healAll();
    else if (command == "loss" && words >> number)
        m_cluster->network().lossPerMille = static_cast<unsigned>(number);
    else if (command == "note")
        m_notedLeader = m_cluster->leader();
    else if (command == "offer") {
        // Proposes without waiting for the outcome.
        const HostId host = readHost(words);
        std::string payload;
        words >> payload;
        m_cluster->propose(host, payload);
    } else if (command == "read")
        m_cluster->readBarrier(readHost(words));
    else if (command == "addlearner" || command == "addvoter" || command == "removemember") {
        const HostId host = readHost(words);
        changeMember(command, host, command == "addvoter");
    } else if (command == "reform" && words >> number) {
        const HostId survivor = readHost(words);
        for (const auto& host : m_cluster->hosts()) {
            if (m_cluster->isRunning(host))
                static_cast<void>(m_cluster->group(host).replaceMembers(
                    static_cast<uint64_t>(number), { { survivor, true } }, m_cluster->hostNow(host)));
        }
    } else
        return "unknown command";
    return std::nullopt;
}

void ScenarioRunner::changeMember(const std::string& command, const HostId& host, bool isVoter)
{
    const HostId leader = m_cluster->leader().value_or(host);
    const auto ignore = [](const Expected<void>&) {};
    if (command == "removemember")
        m_cluster->group(leader).removeMember(host, m_cluster->hostNow(leader), ignore);
    else
        m_cluster->group(leader).addMember(host, isVoter, m_cluster->hostNow(leader), ignore);
}

std::optional<std::string> ScenarioRunner::proposeAndWait(std::istringstream& words)
{
    std::string payload;
    words >> payload;
    for (int attempt = 0; attempt < 300; ++attempt) {
        if (const auto leader = m_cluster->leader(); leader && attempt % 50 == 0)
            m_cluster->propose(*leader, payload);
        m_cluster->run(10ms);
        if (m_cluster->isAcknowledged(payload))
            return std::nullopt;
    }
    return "was not acknowledged within 3 s";
}

std::optional<std::string> ScenarioRunner::expect(std::istringstream& words)
{
    std::string what;
    words >> what;
    const bool isNegated = what == "never";
    if (isNegated)
        words >> what;
    // A negated condition must stay false for 3 s, any other must become true within 3 s.
    const auto position = words.tellg();
    for (int attempt = 0; attempt < 300; ++attempt) {
        words.clear();
        words.seekg(position);
        if (evaluateCondition(what, words))
            return isNegated ? std::optional<std::string>("became true") : std::nullopt;
        m_cluster->run(10ms);
        if (m_cluster->violation())
            return m_cluster->violation();
    }
    return isNegated ? std::nullopt : std::optional<std::string>("did not become true within 3 s");
}

bool ScenarioRunner::evaluateCondition(const std::string& what, std::istringstream& words)
{
    if (what == "converged")
        return m_cluster->hasConverged();
    if (what == "reads") {
        size_t count = 0;
        words >> count;
        return m_cluster->completedReads() >= count;
    }
    if (what == "acknowledged") {
        std::string payload;
        words >> payload;
        return m_cluster->isAcknowledged(payload);
    }
    if (what == "anyleader")
        return m_cluster->leader().has_value();
    const HostId host = readHost(words);
    if (!m_cluster->isRunning(host))
        return false;
    LogGroup& group = m_cluster->group(host);
    if (what == "leads")
        return m_cluster->leader() == host;
    if (what == "outdated")
        return group.wasIdentityOutdated();
    if (what == "storagefailure")
        return group.storageFailure().has_value();
    if (what == "mayvote")
        return group.mayVote();
    if (what == "lease")
        return group.hasLeaderLease(m_cluster->hostNow(host));
    if (what == "holds") {
        std::string payload;
        words >> payload;
        return m_cluster->machine(host).contains(payload);
    }
    // "voter", "learner" or "gone": the role of the host in the leader's member list.
    const auto leader = m_cluster->leader();
    if (!leader)
        return false;
    for (const auto& member : m_cluster->group(*leader).members()) {
        if (member.host == host)
            return what == (member.isVoter ? "voter" : "learner");
    }
    return what == "gone";
}

} // namespace hickoryknot
