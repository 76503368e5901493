#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Http.h"
#include "Record.h"

namespace review {

struct WorkerOptions {
    std::string id;
    std::string address;
    uint16_t port { 0 };
    std::string zone;
    std::string rack;
    std::string kind { "a" };
    std::string service;
    int millicores { 16'000 };
    int mebibytes { 32'768 };
    Milliseconds reportPeriod { 1500 };
    /// Longest lease that the worker keeps.
    int64_t maxLeaseMs { 10'000 };
    /// Adds `born` to the answers to starts, which PROTOCOL.md shows without it. For comparison only.
    bool namesBootInAnswers { false };
    /// Control addresses to which it reports.
    std::vector<std::string> controlAddresses;
    uint16_t controlPort { 0 };
};

/// One execution of a task on a worker.
struct RunInterval {
    std::string task;
    uint64_t run { 0 };
    std::string worker;
    Clock::time_point begin;
    /// Missing while it runs.
    std::optional<Clock::time_point> end;
    /// How it ended, with the platform's names, or "crash".
    std::string how;
    /// When the scheduler took note of the end.
    std::optional<Clock::time_point> notedAt;
};

/// Stand-in for a worker as the platform's pages describe it. Each task works as long as its command says: "ms=N". A
/// command with the word "ticket" belongs to a queue whose starts need one.
/// The answers to starts and stops hold what PROTOCOL.md shows for them.
class Worker {
public:
    Worker(WorkerOptions options, Record& record);
    ~Worker();

    void start();
    void stop();
    /// Ends the process of the worker. All that runs there ends.
    void crash();
    /// Starts it again under the same id. Reports go on in the same rhythm as before.
    void restart();

    /// From now on it answers nothing, and all that runs there ends: its machine is lost for good.
    void goDark();

    /// A ticket that allows the worker to run the step.
    static std::string makeTicket(const std::string& step, const std::string& worker, Milliseconds validity);

    bool isUp() const;
    const std::string& id() const { return m_options.id; }
    std::vector<RunInterval> intervals() const;
    /// Tasks that are running now.
    std::vector<std::string> runningTasks() const;

private:
    /// A task and the number of its run.
    using RunName = std::pair<std::string, uint64_t>;
    struct Run {
        Milliseconds duration { 0 };
        size_t interval { 0 };
        std::string checkpoint;
        Milliseconds workBefore { 0 };
        std::optional<Clock::time_point> stopAt;
    };
    struct End {
        uint64_t number { 0 };
        std::string task;
        uint64_t run { 0 };
        std::string how;
        std::string checkpoint;
        size_t interval { 0 };
    };

    std::optional<HttpMessage> serve(const HttpMessage&);
    HttpMessage startRun(const std::string& body);
    HttpMessage stopRun(const std::string& body);
    std::optional<HttpMessage> hold(const std::string& body);
    void advance();
    void finish(const RunName&, const std::string& how);
    int64_t clock() const;
    void extendLease(int64_t until);
    void endAll();
    void workLoop();
    void reportLoop();

    const WorkerOptions m_options;
    Record& m_record;
    std::unique_ptr<HttpServer> m_server;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isUp { false };
    bool m_isDark { false };
    bool m_isStopping { false };
    std::thread m_workThread;
    std::thread m_reportThread;
    std::vector<RunInterval> m_intervals;

    // State of one lifetime of the process.
    uint64_t m_boot { 0 };
    int64_t m_bornMs { 0 };
    Clock::time_point m_bootedAt;
    uint64_t m_sequence { 0 };
    uint64_t m_fence { 0 };
    int64_t m_leaseUntil { 0 };
    uint64_t m_lastEnd { 0 };
    std::map<RunName, Run> m_runs;
    std::map<std::string, uint64_t> m_highestEnded;
    std::vector<End> m_ends;
};

} // namespace review
