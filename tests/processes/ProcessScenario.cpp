#include "processes/ProcessScenario.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace hickoryknot {

namespace {

/// Ends a test that hangs; far above every timeout of the product, so that a slow machine does not fail a test.
constexpr auto hangTimeout = std::chrono::seconds(90);

int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// A line of a simulator's log.
struct LogLine {
    int64_t atMs { 0 };
    std::string what;
    std::string subject;
    std::vector<std::string> rest;
};

std::vector<LogLine> readLogs(const std::string& folder, const std::string& prefix)
{
    std::vector<LogLine> lines;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        const std::string name = entry.path().filename();
        if (!name.starts_with(prefix) || !name.ends_with(".tasks"))
            continue;
        std::ifstream file(entry.path());
        for (std::string text; std::getline(file, text);) {
            std::istringstream words(text);
            LogLine line;
            words >> line.atMs >> line.what >> line.subject;
            for (std::string word; words >> word;)
                line.rest.push_back(word);
            lines.push_back(std::move(line));
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const auto& a, const auto& b) { return a.atMs < b.atMs; });
    return lines;
}

nlohmann::json parseValue(const std::string& text)
{
    if (text == "yes" || text == "no")
        return text == "yes";
    const auto value = nlohmann::json::parse(text, nullptr, false);
    return value.is_number() || value.is_boolean() ? value : nlohmann::json(text);
}

} // namespace

const std::map<std::string, ProcessScenario::Command> ProcessScenario::commands {
    { "cell", &ProcessScenario::cell },
    { "note", &ProcessScenario::note },
    { "start", &ProcessScenario::start },
    { "kill", &ProcessScenario::kill },
    { "stop", &ProcessScenario::stop },
    { "pause", &ProcessScenario::pause },
    { "resume", &ProcessScenario::resume },
    { "erase", &ProcessScenario::erase },
    { "hold", &ProcessScenario::hold },
    { "cut", &ProcessScenario::cut },
    { "heal", &ProcessScenario::heal },
    { "workers", &ProcessScenario::workers },
    { "table", &ProcessScenario::table },
    { "race", &ProcessScenario::race },
    { "changes", &ProcessScenario::changes },
    { "submit", &ProcessScenario::submit },
    { "resubmit", &ProcessScenario::resubmit },
    { "cancel", &ProcessScenario::cancel },
    { "request", &ProcessScenario::request },
    { "await", &ProcessScenario::await },
    { "expect", &ProcessScenario::expect },
};

std::optional<std::string> ProcessScenario::run(const std::string& path)
{
    std::ifstream file(path);
    size_t number = 0;
    for (std::string line; std::getline(file, line);) {
        ++number;
        if (line.empty() || line.starts_with('#'))
            continue;
        Words words(line);
        std::string name;
        words >> name;
        const auto command = commands.find(name);
        const Failure failure
            = command == commands.end() ? Failure("unknown command") : (this->*command->second)(words);
        if (failure) {
            std::string logs;
            if (m_cell) {
                // Copies the logs for analysis, since the folder is deleted with the cell.
                std::filesystem::copy(m_cell->folder(),
                    std::string(BINARY_FOLDER) + "/failed-" + std::filesystem::path(path).stem().string(),
                    std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
            }
            return path + ":" + std::to_string(number) + ": " + line + ": " + *failure;
        }
    }
    return std::nullopt;
}

bool ProcessScenario::waitFor(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + hangTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

std::string ProcessScenario::resolveHost(const std::string& word) const { return word == "noted" ? m_notedHost : word; }

nlohmann::json ProcessScenario::readFields(Words& words) const
{
    auto fields = nlohmann::json::object();
    for (std::string word; words >> word;) {
        const size_t equals = word.find('=');
        fields[word.substr(0, equals)] = parseValue(word.substr(equals + 1));
    }
    return fields;
}

// cell hosts=1 workers=2 servers=1 [worker-flag=--fail-all] [server-flag=--work-ms=50]
ProcessScenario::Failure ProcessScenario::cell(Words& words)
{
    size_t counts[3] = { 1, 1, 1 };
    std::vector<std::string> flags[2];
    for (std::string word; words >> word;) {
        const std::string value = word.substr(word.find('=') + 1);
        static const std::map<std::string, size_t> indexes { { "hosts", 0 }, { "workers", 1 }, { "servers", 2 } };
        const std::string key = word.substr(0, word.find('='));
        if (key == "worker-flag")
            flags[0].push_back(value);
        else if (key == "server-flag")
            flags[1].push_back(value);
        else
            counts[indexes.at(key)] = std::stoul(value);
    }
    m_cell = std::make_unique<ProcessCell>(counts[0], counts[1], counts[2], flags[0], flags[1]);
    m_cell->startAll();
    if (!waitFor([&] { return isReady(); }))
        return "the cell did not become ready" + m_cell->describeProcesses();
    return std::nullopt;
}

bool ProcessScenario::isCellReady(const std::string& host)
{
    const auto health = m_cell->call(host, "GET", "/v1/health");
    return health.status == 200 && health.body.value("holdsTableLease", false)
        && !health.body.value("cellLeader", "").empty() && !health.body.value("zoneLeader", "").empty();
}

bool ProcessScenario::isReady()
{
    const auto countOf = [&](const char* target, const char* key, const char* state) {
        const auto response = m_cell->call("", "GET", target);
        if (response.status != 200 || !response.body.contains(key))
            return size_t(0);
        const auto& list = response.body[key];
        return static_cast<size_t>(std::count_if(
            list.begin(), list.end(), [&](const auto& item) { return item.value("state", "") == state; }));
    };
    const auto& hosts = m_cell->hosts();
    return std::all_of(hosts.begin(), hosts.end(),
               [&](const auto& host) { return !m_cell->isRunning(host) || isCellReady(host); })
        && countOf("/v1/workers", "workers", "ready") == m_cell->zones().size() * m_cell->workersPerZone()
        && countOf("/v1/servers", "servers", "fresh") == m_cell->zones().size() * m_cell->serversPerZone();
}

// note cell | note zone a | note other: remembers the leader, or a host that does not lead the cell.
ProcessScenario::Failure ProcessScenario::note(Words& words)
{
    std::string what;
    std::string zone;
    words >> what >> zone;
    const auto find = [&] {
        const auto health = m_cell->call(what == "zone" ? zone + "1" : "", "GET", "/v1/health");
        if (health.status != 200)
            return false;
        m_notedHost = health.body.value(what == "zone" ? "zoneLeader" : "cellLeader", "");
        if (what == "other" && !m_notedHost.empty())
            m_notedHost = *std::find_if(
                m_cell->hosts().begin(), m_cell->hosts().end(), [&](const auto& host) { return host != m_notedHost; });
        return !m_notedHost.empty();
    };
    return waitFor(find) ? Failure() : Failure("no leader");
}

ProcessScenario::Failure ProcessScenario::start(Words& words)
{
    std::string host;
    words >> host;
    m_cell->startHost(resolveHost(host));
    return std::nullopt;
}

ProcessScenario::Failure ProcessScenario::kill(Words& words)
{
    std::string host;
    words >> host;
    if (host == "all") {
        for (const auto& each : m_cell->hosts())
            m_cell->killHost(each);
    } else {
        m_cell->killHost(resolveHost(host));
    }
    return std::nullopt;
}

ProcessScenario::Failure ProcessScenario::stop(Words& words)
{
    std::string host;
    words >> host;
    const auto code = m_cell->stopHost(resolveHost(host));
    if (code != 0)
        return "exit code " + (code ? std::to_string(*code) : "none");
    return std::nullopt;
}

ProcessScenario::Failure ProcessScenario::pause(Words& words)
{
    std::string host;
    words >> host;
    m_cell->signalHost(resolveHost(host), SIGSTOP);
    return std::nullopt;
}

ProcessScenario::Failure ProcessScenario::resume(Words& words)
{
    std::string host;
    words >> host;
    m_cell->signalHost(resolveHost(host), SIGCONT);
    return std::nullopt;
}

ProcessScenario::Failure ProcessScenario::erase(Words& words)
{
    std::string host;
    words >> host;
    m_cell->eraseData(resolveHost(host));
    return std::nullopt;
}

// hold 4000: waits in real time, so that leases expire during a pause or a cut. No check depends on the duration.
ProcessScenario::Failure ProcessScenario::hold(Words& words)
{
    int milliseconds = 0;
    words >> milliseconds;
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    return std::nullopt;
}

// cut a | cut a leaving | cut a entering
ProcessScenario::Failure ProcessScenario::cut(Words& words)
{
    std::string zone;
    std::string way;
    words >> zone >> way;
    m_cell->cutLinks(zone == "noted" ? m_notedHost.substr(0, 1) : zone, way != "entering", way != "leaving");
    return std::nullopt;
}

ProcessScenario::Failure ProcessScenario::heal(Words&)
{
    m_cell->restoreLinks();
    return std::nullopt;
}

// workers kill|pause|resume ZONE
ProcessScenario::Failure ProcessScenario::workers(Words& words)
{
    std::string what;
    std::string zone;
    words >> what >> zone;
    if (what == "kill")
        m_cell->killWorkers(zone);
    else
        m_cell->signalWorkers(zone, what == "pause" ? SIGSTOP : SIGCONT);
    return std::nullopt;
}

// table ROW column=value ...: one change based on the current version, resent until it has an outcome.
ProcessScenario::Failure ProcessScenario::table(Words& words)
{
    std::string row;
    words >> row;
    auto fields = readFields(words);
    fields["name"] = row;
    ProcessCell::Response response;
    const std::string id = "change-" + std::to_string(unixMs()) + "-" + row;
    const bool isDone = waitFor([&] {
        const auto now = m_cell->call("", "GET", "/v1/table");
        if (now.status != 200)
            return false;
        const nlohmann::json change { { "baseVersion", now.body.at("version") }, { "requestId", id },
            { "changedBy", "test" }, { "rows", nlohmann::json::array({ fields }) },
            { "remove", nlohmann::json::array() } };
        response = m_cell->call("", "POST", "/v1/table/set", change);
        return response.status == 200;
    });
    if (!isDone || !response.body.value("accepted", false))
        return "not accepted: " + response.body.dump();
    m_lastVersion = response.body.at("version").get<uint64_t>();
    return std::nullopt;
}

// race ROW COLUMN ONE OTHER: two operators make a change based on the same version; one must be accepted, and resends
// must get the first outcome.
ProcessScenario::Failure ProcessScenario::race(Words& words)
{
    std::string row;
    std::string column;
    std::string values[2];
    words >> row >> column >> values[0] >> values[1];
    const auto now = m_cell->call("", "GET", "/v1/table");
    nlohmann::json changes[2];
    ProcessCell::Response responses[2];
    for (int i = 0; i < 2; ++i) {
        changes[i] = { { "baseVersion", now.body.at("version") },
            { "requestId", "race-" + std::to_string(unixMs()) + "-" + std::to_string(i) },
            { "changedBy", "operator" + std::to_string(i) },
            { "rows", nlohmann::json::array({ { { "name", row }, { column, parseValue(values[i]) } } }) },
            { "remove", nlohmann::json::array() } };
    }
    std::thread other(
        [&] { responses[1] = m_cell->call(m_cell->hosts().back(), "POST", "/v1/table/set", changes[1]); });
    responses[0] = m_cell->call(m_cell->hosts().front(), "POST", "/v1/table/set", changes[0]);
    other.join();
    const bool accepted[2] = { responses[0].body.value("accepted", false), responses[1].body.value("accepted", false) };
    if (accepted[0] == accepted[1])
        return "winners: " + responses[0].body.dump() + " and " + responses[1].body.dump();
    for (int i = 0; i < 2; ++i) {
        const auto again = m_cell->call(m_cell->hosts()[1], "POST", "/v1/table/set", changes[i]);
        if (again.body.value("accepted", false) != accepted[i]
            || again.body.value("version", 0) != responses[i].body.value("version", 0))
            return "a resend got another outcome: " + again.body.dump();
    }
    return std::nullopt;
}

// changes N ROW COLUMN: N changes in a row, one after the other.
ProcessScenario::Failure ProcessScenario::changes(Words& words)
{
    int count = 0;
    std::string row;
    std::string column;
    words >> count >> row >> column;
    for (int i = 1; i <= count; ++i) {
        Words one(row + " " + column + "=" + std::to_string(1 + i % 100));
        if (auto failure = table(one))
            return failure;
    }
    return std::nullopt;
}

ProcessScenario::Failure ProcessScenario::submitBody(
    const std::string& name, const nlohmann::json& body, const std::string& host)
{
    std::string last;
    const bool isDone = waitFor([&] {
        const auto response = m_cell->call(host, "POST", "/v1/jobs", body);
        last = response.body.dump();
        if (response.status != 200 || response.body.value("outcome", "") == "not_run"
            || response.body.value("outcome", "") == "unknown")
            return false;
        m_outcomes[name] = response.body.value("outcome", "");
        if (m_outcomes[name] == "accepted")
            m_jobs[name] = response.body.value("answer", "");
        return true;
    });
    return isDone ? Failure() : Failure("no outcome, last answer " + last);
}

// submit NAME field=value ... [at=HOST]
ProcessScenario::Failure ProcessScenario::submit(Words& words)
{
    std::string name;
    words >> name;
    nlohmann::json body { { "requestId", "test-" + std::to_string(unixMs()) + "-" + std::to_string(m_bodies.size()) },
        { "row", "default" }, { "team", "default" }, { "kind", "batch" }, { "tasks", 1 }, { "millicores", 1000 },
        { "mebibytes", 100 }, { "accelerators", 0 }, { "expectedRunMs", 1000 }, { "command", "run:200" },
        { "attempt", 1 } };
    auto fields = readFields(words);
    const std::string host = fields.value("at", "");
    fields.erase("at");
    body.update(fields);
    m_bodies[name] = body;
    return submitBody(name, body, resolveHost(host));
}

// resubmit NAME: resends the request id through every running host; each must return the same job.
ProcessScenario::Failure ProcessScenario::resubmit(Words& words)
{
    std::string name;
    words >> name;
    auto body = m_bodies.at(name);
    body["attempt"] = 2;
    const std::string first = m_jobs[name];
    for (const auto& host : m_cell->hosts()) {
        if (!m_cell->isRunning(host))
            continue;
        if (auto failure = submitBody(name, body, host))
            return failure;
        if (m_jobs[name] != first)
            return "first " + first + ", then " + m_jobs[name];
    }
    return std::nullopt;
}

// cancel NAME ...: cancels all jobs with one call.
ProcessScenario::Failure ProcessScenario::cancel(Words& words)
{
    auto ids = nlohmann::json::array();
    for (std::string name; words >> name;)
        ids.push_back(m_jobs.at(name));
    const auto response = m_cell->call("", "POST", "/v1/jobs/cancel",
        { { "requestId", "cancel-" + std::to_string(unixMs()) + "-1" }, { "ids", ids } });
    return response.status == 200 ? Failure() : Failure(response.body.dump());
}

// request NAME field=value ... [at=HOST] [resend=yes]: sends a request; the outcome is stored under the name.
ProcessScenario::Failure ProcessScenario::request(Words& words)
{
    std::string name;
    words >> name;
    auto fields = readFields(words);
    const std::string host = resolveHost(fields.value("at", ""));
    const bool isResend = fields.value("resend", false);
    fields.erase("at");
    fields.erase("resend");
    if (isResend) {
        m_bodies[name]["attempt"] = 2;
    } else {
        m_bodies[name] = { { "requestId", "req-" + std::to_string(unixMs()) + "-" + std::to_string(m_bodies.size()) },
            { "row", "default" }, { "attempt", 1 }, { "deadlineMs", 5000 }, { "body", name } };
        m_bodies[name].update(fields);
    }
    if (m_bodies[name].contains("repeatable") && !m_bodies[name]["repeatable"].get<bool>())
        m_nonRepeatableRequests.insert(m_bodies[name]["requestId"].get<std::string>());
    const auto response = m_cell->call(host, "POST", "/v1/requests", m_bodies[name]);
    m_outcomes[name] = response.status == 200 ? response.body.value("outcome", "")
                                              : "error " + std::to_string(response.status) + " " + response.body.dump();
    return std::nullopt;
}

nlohmann::json ProcessScenario::jobStatus(const std::string& name, const std::string& host)
{
    const auto response = m_cell->call(resolveHost(host), "GET", "/v1/jobs/" + m_jobs.at(name));
    return response.status == 200 ? response.body : nlohmann::json::object();
}

bool ProcessScenario::hasTableValue(const std::string& row, const std::string& column, const std::string& value)
{
    return std::all_of(m_cell->hosts().begin(), m_cell->hosts().end(), [&](const auto& host) {
        if (!m_cell->isRunning(host))
            return true;
        const auto response = m_cell->call(host, "GET", "/v1/table");
        if (response.status != 200)
            return false;
        for (const auto& item : response.body["rows"]) {
            if (item["name"] == row)
                return item[column] == parseValue(value);
        }
        return false;
    });
}

// await ready | await job NAME PHASE [OUTCOME] | await running NAME N [HOST] | await zone NAME ZONE | await table ROW
// COLUMN VALUE | await lease HOST held|lost
ProcessScenario::Failure ProcessScenario::await(Words& words)
{
    std::string what;
    std::string name;
    std::string value;
    std::string more;
    words >> what >> name >> value >> more;
    nlohmann::json seen;
    std::function<bool()> condition;
    if (what == "ready") {
        condition = [&] { return isReady(); };
    } else if (what == "job") {
        condition = [&] {
            seen = jobStatus(name);
            return seen.value("phase", "") == value
                && (more.empty() || seen.value("result", nlohmann::json::object()).value("outcome", "") == more);
        };
    } else if (what == "running") {
        condition = [&] {
            seen = jobStatus(name, more);
            return seen.value("runningTasks", 0) == std::stoi(value);
        };
    } else if (what == "table") {
        condition = [&] { return hasTableValue(name, value, more); };
    } else if (what == "lease") {
        condition = [&] {
            const auto health = m_cell->call(resolveHost(name), "GET", "/v1/health");
            seen = health.body;
            return health.status && seen.value("holdsTableLease", false) == (value == "held");
        };
    } else {
        return "unknown condition";
    }
    return waitFor(condition) ? Failure() : Failure("last seen " + seen.dump());
}

// expect once | expect outcome NAME OUTCOME [OR ...] | expect explained NAME WORD | expect table ROW COLUMN VALUE
// expect known NAME: every running host explains the job, at once and in the moments after
// expect counts NAME SUCCEEDED FAILED
ProcessScenario::Failure ProcessScenario::expect(Words& words)
{
    std::string what;
    std::string name;
    words >> what >> name;
    if (what == "once") {
        auto failure = expectNoConcurrentRuns();
        return failure ? failure : expectStartsAtMostOnce();
    }
    if (what == "outcome") {
        for (std::string allowed; words >> allowed;) {
            if (m_outcomes[name] == allowed)
                return std::nullopt;
        }
        return "got " + m_outcomes[name];
    }
    if (what == "explained") {
        std::string word;
        std::getline(words >> std::ws, word);
        const auto response = m_cell->call("", "GET", "/v1/jobs/" + m_jobs.at(name) + "/explain");
        const std::string text = response.body.value("explanation", response.body.dump());
        return text.find(word) != std::string::npos ? Failure() : Failure("got: " + text);
    }
    if (what == "known") {
        constexpr int rounds = 10;
        for (int round = 0; round < rounds; ++round) {
            for (const auto& host : m_cell->hosts()) {
                const auto response = m_cell->call(host, "GET", "/v1/jobs/" + m_jobs.at(name) + "/explain");
                if (response.status != 200)
                    return "at " + host + ": " + response.body.dump();
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return std::nullopt;
    }
    if (what == "counts") {
        int succeeded = 0;
        int failed = 0;
        words >> succeeded >> failed;
        const auto status = jobStatus(name, "");
        const bool areEqual
            = status.value("succeededTasks", -1) == succeeded && status.value("failedTasks", -1) == failed;
        return areEqual ? Failure() : Failure("got: " + status.dump());
    }
    if (what == "table") {
        std::string column;
        std::string value;
        words >> column >> value;
        return hasTableValue(name, column, value) ? Failure() : Failure("another value");
    }
    return "unknown expectation";
}

/// Checks that no task runs on two workers at once and that no worker is overcommitted.
ProcessScenario::Failure ProcessScenario::expectNoConcurrentRuns()
{
    std::map<std::string, std::string> runningOn;
    for (const auto& line : readLogs(m_cell->folder(), "worker-")) {
        if (line.what == "overcommitted")
            return "worker " + line.subject + " was overcommitted";
        if (line.rest.size() < 2)
            continue;
        const std::string place = line.rest[1] + " epoch " + line.rest[0];
        if (line.what == "start") {
            const auto [found, isNew] = runningOn.emplace(line.subject, place);
            if (!isNew)
                return "task " + line.subject + " started on " + place + " while it ran on " + found->second;
        } else if (line.what == "stop") {
            runningOn.erase(line.subject);
        }
    }
    return std::nullopt;
}

/// Checks that no non-repeatable request is started twice, on the same or on different backend servers.
ProcessScenario::Failure ProcessScenario::expectStartsAtMostOnce()
{
    std::map<std::string, int> starts;
    for (const auto& line : readLogs(m_cell->folder(), "server-")) {
        if (line.what == "start" && m_nonRepeatableRequests.contains(line.subject) && ++starts[line.subject] > 1)
            return "request " + line.subject + " started twice";
    }
    return std::nullopt;
}

} // namespace hickoryknot
