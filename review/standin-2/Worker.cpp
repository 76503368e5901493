#include "Worker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

namespace {

/// Time that a worker takes to stop a task; the platform allows stopMs.
constexpr Milliseconds stopTime { 300 };
constexpr Milliseconds reportTimeout { 1000 };
constexpr Milliseconds advancePeriod { 10 };
/// Ends that a worker lists at a time.
constexpr size_t maxListedEnds = 500;

HttpMessage reply(int status, const json& body)
{
    HttpMessage message;
    message.status = status;
    message.body = body.dump();
    return message;
}

int64_t wallMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Milliseconds durationOf(const std::string& command)
{
    const size_t at = command.find("ms=");
    return Milliseconds(at == std::string::npos ? 1000 : std::atoll(command.c_str() + at + 3));
}

/// Milliseconds of the clock that tickets refer to.
int64_t ticketClock() { return std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count(); }

std::string describe(const std::pair<std::string, uint64_t>& run)
{
    return run.first + " #" + std::to_string(run.second);
}

} // namespace

std::string Worker::makeTicket(const std::string& step, const std::string& worker, Milliseconds validity)
{
    return step + "|" + worker + "|" + std::to_string(ticketClock() + validity.count());
}

Worker::Worker(WorkerOptions options, Record& record)
    : m_options(std::move(options))
    , m_record(record)
    , m_server(std::make_unique<HttpServer>(
          m_options.address, m_options.port, [this](const HttpMessage& request) { return serve(request); }))
{
}

Worker::~Worker() { stop(); }

void Worker::start()
{
    restart();
    m_workThread = std::thread([this] { workLoop(); });
    m_reportThread = std::thread([this] { reportLoop(); });
}

void Worker::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_isStopping, true))
            return;
    }
    m_changed.notify_all();
    m_server->stop();
    if (m_workThread.joinable())
        m_workThread.join();
    if (m_reportThread.joinable())
        m_reportThread.join();
}

void Worker::endAll()
{
    m_isUp = false;
    for (const auto& [name, run] : m_runs) {
        RunInterval& interval = m_intervals[run.interval];
        interval.end = Clock::now();
        interval.how = "crash";
        m_record.write(id() + " run " + describe(name) + " ended: crash of the worker");
    }
    m_runs.clear();
}

void Worker::crash()
{
    {
        const std::lock_guard lock(m_mutex);
        endAll();
        m_record.write(id() + " crashes");
    }
    m_changed.notify_all();
    m_server->stop();
}

void Worker::goDark()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isDark = true;
        endAll();
        m_record.write(id() + " is gone for good, without a sign");
    }
    m_changed.notify_all();
}

void Worker::restart()
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_boot;
        m_bornMs = wallMs();
        m_bootedAt = Clock::now();
        m_sequence = m_fence = m_lastEnd = 0;
        m_leaseUntil = 0;
        m_runs.clear();
        m_highestEnded.clear();
        m_ends.clear();
        m_isUp = true;
        m_record.write(id() + " is up, boot " + std::to_string(m_boot));
    }
    m_server->start();
}

bool Worker::isUp() const
{
    const std::lock_guard lock(m_mutex);
    return m_isUp;
}

std::vector<RunInterval> Worker::intervals() const
{
    const std::lock_guard lock(m_mutex);
    return m_intervals;
}

std::vector<std::string> Worker::runningTasks() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> tasks;
    for (const auto& [name, run] : m_runs)
        tasks.push_back(name.first);
    return tasks;
}

int64_t Worker::clock() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_bootedAt).count() + 1000;
}

void Worker::extendLease(int64_t until)
{
    m_leaseUntil = std::max(m_leaseUntil, std::min(until, clock() + m_options.maxLeaseMs));
}

std::optional<HttpMessage> Worker::serve(const HttpMessage& request)
{
    if (!isUp())
        return std::nullopt;
    const auto expected = request.headers.find("x-hickoryknot-expect-instance");
    if (expected != request.headers.end() && expected->second != id())
        return reply(421, json::object());
    if (request.target == "/run-start")
        return startRun(request.body);
    if (request.target == "/run-stop")
        return stopRun(request.body);
    if (request.target == "/hold")
        return hold(request.body);
    if (request.target == "/healthz")
        return reply(200, json::object());
    return reply(404, json::object());
}

HttpMessage Worker::startRun(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("task"))
        return reply(400, json::object());
    const std::string task = body["task"];
    const uint64_t run = body.value("run", uint64_t { 0 });
    const uint64_t fence = body.value("fence", uint64_t { 0 });
    const int64_t until = body.value("untilMs", int64_t { 0 });
    const std::lock_guard lock(m_mutex);
    const auto refuse = [&](const std::string& reason) {
        m_record.write(id() + " refuses start of " + task + " #" + std::to_string(run) + ": " + reason);
        return reply(409, { { "clockMs", clock() }, { "reason", reason } });
    };
    if (fence < m_fence)
        return refuse("fence");
    m_fence = fence;
    const RunName name { task, run };
    json confirmation { { "clockMs", clock() } };
    if (m_options.namesBootInAnswers)
        confirmation["born"] = m_bornMs;
    if (m_runs.contains(name)) {
        extendLease(until);
        return reply(200, confirmation);
    }
    if (m_highestEnded[task] >= run) {
        extendLease(until);
        return refuse("old");
    }
    if (until <= clock())
        return refuse("late");
    const std::string command = body.value("spec", "");
    const std::string ticket = body.value("ticket", "");
    const std::string granted = task.substr(0, task.rfind('.')) + "|" + id() + "|";
    const bool isValid = ticket.starts_with(granted) && ticketClock() < std::atoll(ticket.c_str() + granted.size());
    if (command.find("ticket") != std::string::npos && !isValid)
        return refuse("ticket");
    extendLease(until);
    Run added;
    added.duration = durationOf(command);
    added.interval = m_intervals.size();
    added.checkpoint = body.value("checkpoint", "");
    added.workBefore = Milliseconds(std::atoll(added.checkpoint.c_str()));
    m_intervals.push_back({ .task = task,
        .run = run,
        .worker = id(),
        .begin = Clock::now(),
        .end = std::nullopt,
        .how = {},
        .notedAt = std::nullopt });
    m_runs.emplace(name, added);
    m_record.write(id() + " (boot " + std::to_string(m_boot) + ") starts " + task + " #" + std::to_string(run)
        + ", fence " + std::to_string(fence) + ", answer 200");
    return reply(200, confirmation);
}

HttpMessage Worker::stopRun(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("task"))
        return reply(400, json::object());
    const std::string task = body["task"];
    const uint64_t run = body.value("run", uint64_t { 0 });
    const uint64_t fence = body.value("fence", uint64_t { 0 });
    const std::lock_guard lock(m_mutex);
    if (fence < m_fence)
        return reply(409, { { "clockMs", clock() }, { "reason", "fence" } });
    m_fence = fence;
    m_record.write(id() + " gets a stop of " + task + " #" + std::to_string(run));
    m_highestEnded[task] = std::max(m_highestEnded[task], run);
    for (auto& [name, known] : m_runs) {
        if (name.first == task && name.second <= run && !known.stopAt)
            known.stopAt = Clock::now() + stopTime;
    }
    return reply(200, { { "clockMs", clock() } });
}

std::optional<HttpMessage> Worker::hold(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return reply(400, json::object());
    const uint64_t fence = body.value("fence", uint64_t { 0 });
    const uint64_t lastSeen = body.value("lastSeen", uint64_t { 0 });
    std::unique_lock lock(m_mutex);
    if (fence < m_fence)
        return reply(409, { { "clockMs", clock() }, { "reason", "fence" } });
    m_fence = fence;
    if (body.contains("untilMs"))
        extendLease(body["untilMs"].get<int64_t>());
    for (const auto& end : m_ends) {
        if (end.number <= lastSeen) {
            m_intervals[end.interval].notedAt = Clock::now();
            m_record.write(id() + " end " + std::to_string(end.number) + " of " + describe({ end.task, end.run })
                + " is taken note of");
        }
    }
    std::erase_if(m_ends, [&](const End& end) { return end.number <= lastSeen; });
    const uint64_t boot = m_boot;
    m_changed.wait_for(lock, Milliseconds(std::min(body.value("waitMs", 0), 2000)),
        [&] { return !m_ends.empty() || m_boot != boot || !m_isUp || m_isStopping; });
    if (m_boot != boot || !m_isUp)
        return std::nullopt;
    json running = json::array();
    json ended = json::array();
    for (const auto& [name, run] : m_runs) {
        const auto worked = run.workBefore + (Clock::now() - m_intervals[run.interval].begin);
        const auto percent = std::clamp<int64_t>(100 * worked / std::max(run.duration, Milliseconds(1)), 0, 99);
        running.push_back({ name.first, name.second, run.checkpoint, percent, 100 });
    }
    for (const auto& end : m_ends) {
        if (ended.size() < maxListedEnds)
            ended.push_back({ end.number, end.task, end.run, end.how, end.checkpoint });
    }
    return reply(200, { { "clockMs", clock() }, { "born", m_bornMs }, { "running", running }, { "ended", ended } });
}

void Worker::finish(const RunName& name, const std::string& how)
{
    const Run run = m_runs.at(name);
    m_runs.erase(name);
    RunInterval& interval = m_intervals[run.interval];
    interval.end = Clock::now();
    interval.how = how;
    m_highestEnded[name.first] = std::max(m_highestEnded[name.first], name.second);
    m_ends.push_back(
        { .number = ++m_lastEnd, .task = name.first, .run = name.second, .how = how, .checkpoint = run.checkpoint });
    m_record.write(id() + " run " + describe(name) + " ended: " + how);
    m_changed.notify_all();
}

void Worker::advance()
{
    const auto now = Clock::now();
    const bool hasLapsed = !m_runs.empty() && clock() >= m_leaseUntil;
    std::vector<std::pair<RunName, std::string>> ending;
    for (const auto& [name, run] : m_runs) {
        if (hasLapsed)
            ending.emplace_back(name, "lapsed");
        else if (run.stopAt && now >= *run.stopAt)
            ending.emplace_back(name, "stopped");
        else if (run.workBefore + (now - m_intervals[run.interval].begin) >= run.duration)
            ending.emplace_back(name, "done");
    }
    for (const auto& [name, how] : ending)
        finish(name, how);
}

void Worker::workLoop()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        advance();
        m_changed.wait_for(lock, advancePeriod, [this] { return m_isStopping; });
    }
}

void Worker::reportLoop()
{
    std::string reportTo;
    size_t next = std::hash<std::string> {}(id());
    auto dueAt = Clock::now() + Milliseconds(next % static_cast<size_t>(m_options.reportPeriod.count()));
    while (true) {
        HttpMessage report;
        bool isUp = false;
        uint64_t boot = 0;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait_until(lock, dueAt, [this] { return m_isStopping; });
            if (m_isStopping)
                return;
            dueAt += m_options.reportPeriod;
            isUp = m_isUp;
            boot = m_boot;
            const json body { { "service", m_options.service },
                { "address", m_options.address + ":" + std::to_string(m_options.port) }, { "zone", m_options.zone },
                { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "warmupLeftMs", 0 },
                { "capacity", { { "cpu", m_options.millicores }, { "memMb", m_options.mebibytes }, { "gpu", 0 } } },
                { "labels", { m_options.kind, m_options.rack } }, { "clockMs", clock() }, { "sequence", ++m_sequence },
                { "born", m_bornMs } };
            report = { .method = "PUT",
                .target = "/instances/" + id(),
                .headers = { { "Content-Type", "application/json" } },
                .body = body.dump() };
        }
        if (!isUp) {
            reportTo.clear();
            continue;
        }
        for (size_t attempt = 0; attempt < m_options.controlAddresses.size(); ++attempt) {
            if (reportTo.empty())
                reportTo = m_options.controlAddresses[next++ % m_options.controlAddresses.size()];
            auto headers = report;
            headers.headers["Host"] = reportTo + ":" + std::to_string(m_options.controlPort);
            const auto answer = callHttp(reportTo, m_options.controlPort, headers, reportTimeout);
            if (!answer || answer->status / 100 != 2) {
                reportTo.clear();
                continue;
            }
            const auto body = json::parse(answer->body, nullptr, false);
            if (body.is_object() && body.contains("heartbeatAddr")) {
                const std::string named = body["heartbeatAddr"];
                reportTo = named.substr(0, named.find(':'));
            }
            if (report.body.find("\"sequence\":1,") != std::string::npos)
                m_record.write(id() + " first report of boot " + std::to_string(boot) + " is confirmed");
            break;
        }
    }
}

} // namespace review
