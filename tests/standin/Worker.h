#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>

#include "EntryClient.h"
#include "LineLog.h"
#include "protocol/WorkerHeartbeat.h"
#include "protocol/WorkerInstructions.h"

namespace hickoryknot {

struct WorkerSettings {
    WorkerId id;
    ZoneId zone;
    RackId rack;
    Resources capacity;
    std::vector<Endpoint> entries;
    /// Index of the initial entry host.
    size_t firstEntry { 0 };
    /// How long the host may defer its response (long polling).
    Duration wait { 500ms };
    /// Every task fails immediately.
    bool failsAll { false };
    /// Reported usage as a multiple of the requested resources.
    double reportedUsageFactor { 1 };
    /// 0 means never.
    Duration leaveAfter { 0 };
};

/// Simulated worker whose tasks are timers: `run:<ms>` ends with exit code 0, `fail:<ms>` with 1, `forever` never.
/// Logs `start <task> <epoch> <worker>`, `stop <task> <epoch> <worker> <exit code|lease>` and, if its tasks exceed its
/// capacity, `overcommitted <worker>`.
class Worker {
public:
    Worker(boost::asio::io_context&, WorkerSettings, LineLog&);

    void start();

    /// Announces that the worker is leaving; it then gets no further tasks.
    void leave();

    /// True once the worker is leaving, runs no tasks, and the end of each task is acknowledged.
    bool hasLeft() const { return m_isLeaving && m_running.empty() && m_ended.empty(); }

private:
    using Clock = std::chrono::steady_clock;

    struct Task {
        StartTask command;
        Clock::time_point startedAt;
        Clock::time_point leaseUntil;
        std::unique_ptr<boost::asio::steady_timer> endTimer;
        std::unique_ptr<boost::asio::steady_timer> leaseTimer;
    };

    void sendHeartbeat();
    void scheduleHeartbeat(Duration);
    WorkerHeartbeat makeHeartbeat() const;
    void applyInstructions(const WorkerInstructions&, Clock::time_point sentAt);
    void startTask(const StartTask&, Clock::time_point leaseUntil);
    void renew(Task&, Clock::time_point leaseUntil);
    void endTask(const TaskId&, int exitCode);
    void onLeaseExpired(const TaskId&);
    void checkCapacity();

    boost::asio::io_context& m_io;
    const WorkerSettings m_settings;
    LineLog& m_log;
    EntryClient m_entries;
    boost::asio::steady_timer m_heartbeatTimer;
    boost::asio::steady_timer m_leaveTimer;

    uint64_t m_incarnation { 0 };
    uint64_t m_term { 0 };
    uint64_t m_sequence { 0 };
    std::map<TaskId, Task> m_running;
    std::map<TaskId, EndedTask> m_ended;
    bool m_isLeaving { false };
};

} // namespace hickoryknot
