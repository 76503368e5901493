#include "Worker.h"

#include <charconv>
#include <optional>

#include "protocol/WorkerHeartbeatCodec.h"
#include "protocol/WorkerInstructionsCodec.h"

namespace hickoryknot {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Delay after a failed heartbeat; after two unreachable entry hosts, most of a 3 s lease is still left.
constexpr Duration retryDelay = 100ms;
/// Added to the time for which the host may defer the response.
constexpr Duration responseMargin = 500ms;
constexpr Duration failAllDelay = 10ms;
constexpr int exitStopped = 143;
constexpr int exitUnknownCommand = 127;

/// When and with which exit code a task ends by itself.
struct TaskPlan {
    /// Empty: never.
    std::optional<Duration> runTime;
    int exitCode { 0 };
};

TaskPlan planTask(std::string_view command)
{
    const auto colon = command.find(':');
    const auto verb = command.substr(0, colon);
    if (command == "forever")
        return {};
    int64_t ms = 0;
    if (colon != std::string_view::npos)
        std::from_chars(command.data() + colon + 1, command.data() + command.size(), ms);
    if (verb == "run")
        return { .runTime = std::chrono::milliseconds(ms), .exitCode = 0 };
    if (verb == "fail")
        return { .runTime = std::chrono::milliseconds(ms), .exitCode = 1 };
    return { .runTime = failAllDelay, .exitCode = exitUnknownCommand };
}

uint64_t unixMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace

Worker::Worker(asio::io_context& io, WorkerSettings settings, LineLog& log)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_log(log)
    , m_entries(io, m_settings.entries, m_settings.firstEntry)
    , m_heartbeatTimer(io)
    , m_leaveTimer(io)
    , m_incarnation(unixMicroseconds())
{
}

void Worker::start()
{
    sendHeartbeat();
    if (m_settings.leaveAfter == 0s)
        return;
    m_leaveTimer.expires_after(m_settings.leaveAfter);
    m_leaveTimer.async_wait([this](error_code error) {
        if (!error)
            leave();
    });
}

void Worker::leave() { m_isLeaving = true; }

void Worker::sendHeartbeat()
{
    const auto sentAt = Clock::now();
    m_entries.post("/v1/workers/heartbeat", encodeWorkerHeartbeat(makeHeartbeat()), m_settings.wait + responseMargin,
        [this, sentAt](const std::optional<std::string>& response) {
            const auto instructions
                = response ? decodeWorkerInstructions(*response) : makeError(ErrorCode::Unavailable, "no answer");
            if (!instructions)
                return scheduleHeartbeat(retryDelay);
            applyInstructions(*instructions, sentAt);
            scheduleHeartbeat(0s);
        });
}

void Worker::scheduleHeartbeat(Duration pause)
{
    m_heartbeatTimer.expires_after(pause);
    m_heartbeatTimer.async_wait([this](error_code error) {
        if (!error)
            sendHeartbeat();
    });
}

WorkerHeartbeat Worker::makeHeartbeat() const
{
    WorkerHeartbeat heartbeat { .worker = m_settings.id,
        .incarnation = m_incarnation,
        .zone = m_settings.zone,
        .rack = m_settings.rack,
        .capacity = m_settings.capacity,
        .term = m_term,
        .lastSequence = m_sequence,
        .running = {},
        .ended = {},
        .isLeaving = m_isLeaving,
        .wait = m_settings.wait };
    const auto scaled = [this](int64_t actual) {
        return static_cast<int64_t>(static_cast<double>(actual) * m_settings.reportedUsageFactor);
    };
    for (const auto& [id, task] : m_running) {
        const auto& requested = task.command.resources;
        heartbeat.running.push_back({ .task = id,
            .epoch = task.command.epoch,
            .used = { .millicores = Millicores(scaled(requested.millicores.count())),
                .mebibytes = Mebibytes(scaled(requested.mebibytes.count())),
                .accelerators = {} } });
    }
    for (const auto& [id, ended] : m_ended)
        heartbeat.ended.push_back(ended);
    return heartbeat;
}

void Worker::applyInstructions(const WorkerInstructions& instructions, Clock::time_point sentAt)
{
    // A response from a former leader.
    if (instructions.term < m_term)
        return;
    m_term = instructions.term;
    m_sequence = instructions.sequence;
    for (const auto& id : instructions.acknowledged)
        m_ended.erase(id);
    for (const auto& stop : instructions.stop) {
        const auto found = m_running.find(stop.task);
        if (found != m_running.end() && found->second.command.epoch <= stop.epoch)
            endTask(stop.task, exitStopped);
    }
    for (const auto& lease : instructions.renew) {
        const auto found = m_running.find(lease.task);
        if (found != m_running.end() && found->second.command.epoch == lease.epoch)
            renew(found->second, sentAt + lease.lease);
    }
    for (const auto& command : instructions.start)
        startTask(command, sentAt + command.lease);
    checkCapacity();
}

void Worker::startTask(const StartTask& command, Clock::time_point leaseUntil)
{
    // The start is valid only while its lease is held; an ended task is not restarted before it is acknowledged.
    if (Clock::now() >= leaseUntil || m_ended.contains(command.task))
        return;
    const auto found = m_running.find(command.task);
    if (found != m_running.end()) {
        if (found->second.command.epoch == command.epoch)
            renew(found->second, leaseUntil);
        return;
    }
    m_log.write("start " + command.task.value() + " " + std::to_string(command.epoch) + " " + m_settings.id.value());
    auto& task = m_running[command.task];
    task.command = command;
    task.startedAt = Clock::now();
    task.endTimer = std::make_unique<asio::steady_timer>(m_io);
    task.leaseTimer = std::make_unique<asio::steady_timer>(m_io);
    renew(task, leaseUntil);

    const auto plan
        = m_settings.failsAll ? TaskPlan { .runTime = failAllDelay, .exitCode = 1 } : planTask(command.command);
    if (!plan.runTime)
        return;
    task.endTimer->expires_after(*plan.runTime);
    task.endTimer->async_wait([this, id = command.task, exitCode = plan.exitCode](error_code error) {
        if (!error)
            endTask(id, exitCode);
    });
}

void Worker::renew(Task& task, Clock::time_point leaseUntil)
{
    if (leaseUntil <= task.leaseUntil)
        return;
    task.leaseUntil = leaseUntil;
    task.leaseTimer->expires_at(leaseUntil);
    task.leaseTimer->async_wait([this, id = task.command.task](error_code error) {
        if (!error)
            onLeaseExpired(id);
    });
}

void Worker::endTask(const TaskId& id, int exitCode)
{
    const auto found = m_running.find(id);
    // The timer may already have expired when the task was stopped.
    if (found == m_running.end())
        return;
    const auto& task = found->second;
    m_log.write("stop " + id.value() + " " + std::to_string(task.command.epoch) + " " + m_settings.id.value() + " "
        + std::to_string(exitCode));
    const auto runTime = std::chrono::duration_cast<Duration>(Clock::now() - task.startedAt);
    m_ended[id] = { .task = id, .epoch = task.command.epoch, .exitCode = exitCode, .runTime = runTime };
    m_running.erase(found);
}

void Worker::onLeaseExpired(const TaskId& id)
{
    const auto found = m_running.find(id);
    if (found == m_running.end() || found->second.leaseUntil > Clock::now())
        return;
    m_log.write("stop " + id.value() + " " + std::to_string(found->second.command.epoch) + " " + m_settings.id.value()
        + " lease");
    m_running.erase(found);
}

void Worker::checkCapacity()
{
    Resources used;
    for (const auto& [id, task] : m_running)
        used += task.command.resources;
    if (!used.fitsInto(m_settings.capacity))
        m_log.write("overcommitted " + m_settings.id.value());
}

} // namespace hickoryknot
