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
    /// Entry host to begin with.
    size_t firstEntry { 0 };
    /// How long an answer may be held back.
    Duration wait { 500ms };
    /// Every task fails at once.
    bool failsAll { false };
    /// Reported usage as a multiple of what the task asked for.
    double lieFactor { 1 };
    /// 0 means never.
    Duration leaveAfter { 0 };
};

/// Stand-in for a worker. Tasks are timers: `run:<ms>` ends with exit code 0, `fail:<ms>` with 1, `forever` never.
/// Logs `start <task> <epoch> <worker>`, `stop <task> <epoch> <worker> <exit code|lease>` and, when it is given more
/// than it has, `overcommitted <worker>`.
class Worker {
public:
    Worker(boost::asio::io_context&, WorkerSettings, LineLog&);

    void start();

    /// Announces that it leaves and takes no further tasks.
    void leave();

    /// True once it leaves, runs nothing, and the end of each task is acknowledged.
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

    void beat();
    void beatAfter(Duration);
    WorkerHeartbeat describe() const;
    void follow(const WorkerInstructions&, Clock::time_point sentAt);
    void startTask(const StartTask&, Clock::time_point leaseUntil);
    void renew(Task&, Clock::time_point leaseUntil);
    void endTask(const TaskId&, int exitCode);
    void loseTask(const TaskId&);
    void checkCapacity();

    boost::asio::io_context& m_io;
    const WorkerSettings m_settings;
    LineLog& m_log;
    EntryClient m_entries;
    boost::asio::steady_timer m_beatTimer;
    boost::asio::steady_timer m_leaveTimer;

    uint64_t m_incarnation { 0 };
    uint64_t m_term { 0 };
    uint64_t m_sequence { 0 };
    std::map<TaskId, Task> m_running;
    std::map<TaskId, EndedTask> m_ended;
    bool m_isLeaving { false };
};

} // namespace hickoryknot
