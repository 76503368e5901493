#include "Fleet.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

namespace {

// Bounds of DEPLOY.md.
constexpr int64_t holdMaxMs = 10'000;
constexpr int64_t gangMs = 3000;
constexpr int64_t checkpointMs = 1000;
constexpr int64_t restoreMs = 250;
constexpr int64_t heartbeatMs = 1500;
/// How long a minion waits for the acknowledgement of a status report before it calls the next host.
constexpr int reportTimeoutMs = 1000;
/// At most stopMs (900).
constexpr int64_t stopDurationMs = 100;
constexpr int64_t maxWaitMs = 2000;
constexpr size_t maxListedEnds = 500;

HttpMessage reply(int status, const json& body)
{
    HttpMessage message;
    message.status = status;
    message.body = body.dump();
    return message;
}

std::string hex(uint64_t value)
{
    char text[17];
    std::snprintf(text, sizeof text, "%08llx", static_cast<unsigned long long>(value & 0xffffffffU));
    return text;
}

} // namespace

int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Fleet::Fleet(std::vector<Address> minions, std::vector<Address> controlHosts, Log log)
    : m_controlHosts(std::move(controlHosts))
    , m_log(std::move(log))
    , m_minions(minions.size())
{
    for (size_t i = 0; i < minions.size(); ++i) {
        m_minions[i].id = "i-" + hex(0x7f3a0000 + i);
        m_minions[i].address = minions[i];
        m_minions[i].zone = "zone-" + std::string(1, static_cast<char>('a' + i % 3));
        m_minions[i].rack = "r" + std::to_string(i % 3 + 1) + "-1";
        boot(i);
    }
    m_advancing = std::thread([this] { advanceLoop(); });
    m_reporting.emplace_back([this] { reportLoop(); });
}

Fleet::~Fleet()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_advancing.join();
    for (auto& thread : m_reporting)
        thread.join();
    for (auto& minion : m_minions)
        minion.listener.reset();
}

void Fleet::addJob(const std::string& id, std::vector<StepWork> steps)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[id] = std::move(steps);
}

// The caller holds the mutex, or is the constructor.
void Fleet::boot(size_t index)
{
    Minion& minion = m_minions[index];
    minion.bornMs = std::max(unixMs(), minion.bornMs + 1);
    minion.bootedAtMs = steadyMs();
    minion.sequence = 0;
    minion.nextReportMs = 0;
    minion.isAcknowledged = false;
    minion.reportTo = {};
    minion.leaseUntil = 0;
    minion.fence = 0;
    minion.lastEnd = 0;
    minion.running.clear();
    minion.ended.clear();
    minion.highestEnded.clear();
    minion.listener = std::make_unique<HttpListener>(
        minion.address, [this, index](const HttpMessage& request) { return serve(index, request); });
    minion.isUp = minion.listener->isOpen();
    minion.upAtMs = minion.isUp ? 0 : steadyMs() + 50;
}

void Fleet::crash(size_t index, int64_t downMs)
{
    std::unique_ptr<HttpListener> listener;
    {
        const std::lock_guard lock(m_mutex);
        Minion& minion = m_minions[index];
        m_log("minion " + minion.id + " crashes, back after " + std::to_string(downMs) + " ms");
        minion.isUp = false;
        minion.upAtMs = steadyMs() + downMs;
        listener = std::move(minion.listener);
        const auto lost = std::exchange(minion.running, {});
        for (const auto& [task, run] : lost) {
            m_log("lost with it: " + task + " run " + std::to_string(run.run));
            const StepWork* work = workOf(task);
            if (work && work->gangSize)
                endGang(task, run.run, "broken");
        }
    }
    m_changed.notify_all();
}

std::string Fleet::stepOf(const std::string& task) { return task.substr(0, task.rfind('.')); }

const StepWork* Fleet::workOf(const std::string& task) const
{
    const auto job = m_jobs.find(task.substr(0, task.find('.')));
    if (job == m_jobs.end())
        return nullptr;
    const std::string step = stepOf(task);
    const size_t number = std::stoul(step.substr(step.rfind('.') + 1));
    return number < job->second.size() ? &job->second[number] : nullptr;
}

// Eight digits of progress and eight that name the step: all members of a gang produce the same value at the same time.
std::string Fleet::savedOf(const Run& run, const StepWork& work)
{
    const int64_t saved = run.workMs / checkpointMs * checkpointMs;
    if (!work.isCheckpointing || saved <= 0)
        return run.checkpoint;
    return hex(static_cast<uint64_t>(saved)) + hex(std::hash<std::string> {}(stepOf(run.task)));
}

int64_t Fleet::progressIn(const std::string& checkpoint)
{
    return checkpoint.size() == 16 ? std::stoll(checkpoint.substr(0, 8), nullptr, 16) : 0;
}

std::vector<size_t> Fleet::minionsWith(const std::string& task)
{
    const std::lock_guard lock(m_mutex);
    std::vector<size_t> result;
    for (size_t i = 0; i < m_minions.size(); ++i) {
        if (m_minions[i].isUp && m_minions[i].running.contains(task))
            result.push_back(i);
    }
    return result;
}

int64_t Fleet::progressOf(const std::string& task)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& minion : m_minions) {
        if (const auto run = minion.running.find(task); minion.isUp && run != minion.running.end())
            return run->second.workMs;
    }
    return -1;
}

std::vector<Fleet::StartedRun> Fleet::started()
{
    const std::lock_guard lock(m_mutex);
    return m_started;
}

std::vector<Fleet::EndedRun> Fleet::ended()
{
    const std::lock_guard lock(m_mutex);
    return m_endedRuns;
}

Address Fleet::reportAddress()
{
    const std::lock_guard lock(m_mutex);
    return m_reportAddress;
}

size_t Fleet::acknowledged()
{
    const std::lock_guard lock(m_mutex);
    return static_cast<size_t>(
        std::count_if(m_minions.begin(), m_minions.end(), [](const Minion& minion) { return minion.isAcknowledged; }));
}

void Fleet::extendLease(Minion& minion, int64_t until)
{
    minion.leaseUntil = std::max(minion.leaseUntil, std::min(until, clockOf(minion) + holdMaxMs));
}

std::optional<HttpMessage> Fleet::serve(size_t index, const HttpMessage& request)
{
    std::unique_lock lock(m_mutex);
    Minion& minion = m_minions[index];
    const int64_t born = minion.bornMs;
    if (!minion.isUp)
        return std::nullopt;
    const auto expected = request.headers.find("x-hickoryknot-expect-instance");
    if (expected != request.headers.end() && expected->second != minion.id)
        return reply(421, json::object());
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return reply(400, json::object());
    const uint64_t fence = body.value("fence", uint64_t { 0 });
    if (fence < minion.fence)
        return reply(409, { { "clockMs", clockOf(minion) }, { "reason", "fence" } });
    minion.fence = fence;
    if (request.path == "/run-start")
        return startRun(minion, request.body);
    if (request.path == "/run-stop")
        return stopRun(minion, request.body);
    if (request.path != "/hold")
        return reply(404, json::object());
    const uint64_t lastSeen = body.value("lastSeen", uint64_t { 0 });
    std::erase_if(minion.ended, [&](const End& item) { return item.number <= lastSeen; });
    if (body.contains("untilMs"))
        extendLease(minion, body["untilMs"].get<int64_t>());
    const int64_t wait = std::min(body.value("waitMs", int64_t { 0 }), maxWaitMs);
    m_changed.wait_for(lock, std::chrono::milliseconds(wait),
        [&] { return m_isStopping || !minion.isUp || minion.bornMs != born || !minion.ended.empty(); });
    if (m_isStopping || !minion.isUp || minion.bornMs != born)
        return std::nullopt;
    json running = json::array();
    for (const auto& [task, run] : minion.running) {
        const StepWork* work = workOf(task);
        const int64_t percent = work ? run.workMs * 100 / std::max<int64_t>(1, work->workMs) : 0;
        running.push_back({ task, run.run, work ? savedOf(run, *work) : "", std::min<int64_t>(percent, 100) });
    }
    json ended = json::array();
    for (const auto& item : minion.ended) {
        if (ended.size() < maxListedEnds)
            ended.push_back({ item.number, item.task, item.run, item.how, item.checkpoint });
    }
    return reply(
        200, { { "clockMs", clockOf(minion) }, { "born", minion.bornMs }, { "running", running }, { "ended", ended } });
}

HttpMessage Fleet::startRun(Minion& minion, const std::string& text)
{
    const auto body = json::parse(text);
    const std::string task = body.value("task", "");
    const uint32_t number = body.value("run", 0U);
    const int64_t until = body.value("untilMs", int64_t { 0 });
    const auto reject = [&](const char* reason) {
        m_log("minion " + minion.id + " rejects " + task + " run " + std::to_string(number) + ": " + reason);
        return reply(409, { { "clockMs", clockOf(minion) }, { "reason", reason } });
    };
    const StepWork* work = workOf(task);
    if (!work)
        return reply(400, { { "clockMs", clockOf(minion) } });
    if (until <= clockOf(minion))
        return reject("late");
    extendLease(minion, until);
    if (const auto highest = minion.highestEnded.find(task);
        highest != minion.highestEnded.end() && number <= highest->second)
        return reject("old");
    if (const auto present = minion.running.find(task); present != minion.running.end()) {
        if (present->second.run == number)
            return reply(200, { { "clockMs", clockOf(minion) } });
        return reject("old");
    }
    const std::string checkpoint = body.value("checkpoint", "");
    minion.running[task] = { .task = task,
        .run = number,
        .checkpoint = checkpoint,
        .presentSinceMs = steadyMs(),
        .workMs = progressIn(checkpoint),
        .restoreMs = checkpoint.empty() ? 0 : restoreMs };
    m_started.push_back({ steadyMs(), minion.id, task, number, checkpoint });
    m_log("minion " + minion.id + " starts " + task + " run " + std::to_string(number) + " checkpoint '" + checkpoint
        + "'");
    return reply(200, { { "clockMs", clockOf(minion) } });
}

HttpMessage Fleet::stopRun(Minion& minion, const std::string& text)
{
    const auto body = json::parse(text);
    const std::string task = body.value("task", "");
    const uint32_t number = body.value("run", 0U);
    m_log("minion " + minion.id + " is told to stop " + task + " run " + std::to_string(number));
    const auto present = minion.running.find(task);
    if (present != minion.running.end() && present->second.run == number) {
        if (!present->second.stopAtMs)
            present->second.stopAtMs = steadyMs() + stopDurationMs;
    } else {
        // A start of this run that arrives later is rejected.
        minion.highestEnded[task] = std::max(minion.highestEnded[task], number);
    }
    return reply(200, { { "clockMs", clockOf(minion) } });
}

void Fleet::end(Minion& minion, const std::string& task, const std::string& how)
{
    const auto found = minion.running.find(task);
    if (found == minion.running.end())
        return;
    const Run run = found->second;
    minion.running.erase(found);
    const StepWork* work = workOf(task);
    minion.highestEnded[task] = std::max(minion.highestEnded[task], run.run);
    minion.ended.push_back({ ++minion.lastEnd, task, run.run, how, work ? savedOf(run, *work) : "" });
    m_endedRuns.push_back({ steadyMs(), minion.id, task, run.run, how });
    m_log("minion " + minion.id + " ends " + task + " run " + std::to_string(run.run) + " " + how + " checkpoint '"
        + minion.ended.back().checkpoint + "'");
}

// Ends all present members of this run of a gang.
void Fleet::endGang(const std::string& task, uint32_t run, const std::string& how)
{
    const std::string step = stepOf(task);
    for (auto& minion : m_minions) {
        std::vector<std::string> members;
        for (const auto& [name, present] : minion.running) {
            if (stepOf(name) == step && present.run == run)
                members.push_back(name);
        }
        for (const auto& name : members)
            end(minion, name, how);
    }
}

void Fleet::advanceLoop()
{
    int64_t last = steadyMs();
    while (true) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        {
            const std::lock_guard lock(m_mutex);
            if (m_isStopping)
                return;
            const int64_t now = steadyMs();
            advance(now - last);
            last = now;
        }
        m_changed.notify_all();
    }
}

void Fleet::advance(int64_t elapsedMs)
{
    const int64_t now = steadyMs();
    std::map<std::pair<std::string, uint32_t>, uint32_t> present;
    for (size_t i = 0; i < m_minions.size(); ++i) {
        Minion& minion = m_minions[i];
        if (!minion.isUp && minion.upAtMs && now >= minion.upAtMs) {
            boot(i);
            m_log("minion " + minion.id + " has started again");
        }
        for (const auto& [task, run] : minion.running)
            ++present[{ stepOf(task), run.run }];
    }
    for (auto& minion : m_minions) {
        if (!minion.isUp)
            continue;
        std::vector<std::pair<std::string, std::string>> ends;
        for (auto& [task, run] : minion.running) {
            const StepWork& work = *workOf(task);
            run.isAssembled = run.isAssembled || !work.gangSize || present[{ stepOf(task), run.run }] >= work.gangSize;
            if (run.isAssembled) {
                const int64_t restored = std::min(run.restoreMs, elapsedMs);
                run.restoreMs -= restored;
                run.workMs += elapsedMs - restored;
            }
            if (clockOf(minion) > minion.leaseUntil)
                ends.emplace_back(task, "lapsed");
            else if (run.stopAtMs && now >= run.stopAtMs)
                ends.emplace_back(task, "stopped");
            else if (!run.isAssembled && now - run.presentSinceMs > gangMs)
                ends.emplace_back(task, "alone");
            else if (run.workMs >= work.workMs)
                ends.emplace_back(task, "done");
        }
        for (const auto& [task, how] : ends) {
            const auto run = minion.running.find(task);
            if (run == minion.running.end())
                continue;
            const uint32_t number = run->second.run;
            const bool isGang = workOf(task)->gangSize > 0;
            end(minion, task, how);
            if (isGang && how != "alone")
                endGang(task, number, how == "done" ? "done" : "broken");
        }
    }
}

void Fleet::reportLoop()
{
    std::vector<std::thread> calls;
    size_t nextHost = 0;
    while (true) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        const std::lock_guard lock(m_mutex);
        if (m_isStopping)
            break;
        for (size_t i = 0; i < m_minions.size(); ++i) {
            Minion& minion = m_minions[i];
            if (!minion.isUp || steadyMs() < minion.nextReportMs)
                continue;
            minion.nextReportMs = steadyMs() + heartbeatMs;
            const Address to
                = minion.reportTo.port ? minion.reportTo : m_controlHosts[nextHost++ % m_controlHosts.size()];
            const json body { { "service", "huvo11a" }, { "address", minion.address.text() }, { "zone", minion.zone },
                { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "warmupLeftMs", 0 },
                { "capacity", { { "cpu", 16000 }, { "memMb", 32768 }, { "gpu", 0 } } },
                { "labels", { "a", minion.rack } }, { "clockMs", clockOf(minion) }, { "sequence", ++minion.sequence },
                { "born", minion.bornMs } };
            HttpMessage request;
            request.method = "PUT";
            request.path = "/instances/" + minion.id;
            request.headers["host"] = to.text();
            request.body = body.dump();
            calls.emplace_back([this, i, to, request, born = minion.bornMs] {
                const auto response = callOnce(to, request, reportTimeoutMs);
                const std::lock_guard inner(m_mutex);
                Minion& reporting = m_minions[i];
                if (reporting.bornMs != born)
                    return;
                reporting.isAcknowledged = response && response->status == 200;
                if (!reporting.isAcknowledged) {
                    reporting.reportTo = {};
                    reporting.nextReportMs = std::min(reporting.nextReportMs, steadyMs() + 50);
                    return;
                }
                const auto answer = json::parse(response->body, nullptr, false);
                if (answer.is_object() && answer.contains("heartbeatAddr")) {
                    reporting.reportTo = parseAddress(answer["heartbeatAddr"].get<std::string>());
                    m_reportAddress = reporting.reportTo;
                }
            });
        }
    }
    for (auto& call : calls)
        call.join();
}

} // namespace review
