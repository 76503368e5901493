#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Http.h"

namespace review {

/// Milliseconds of the machine's steady clock.
int64_t steadyMs();
/// Milliseconds since 1970.
int64_t unixMs();

/// What the minions know of a step: how long its tasks work, and whether they are a gang.
struct StepWork {
    int64_t workMs { 0 };
    uint32_t gangSize { 0 }; // 0: not a gang.
    bool isCheckpointing { false };
};

/// Stand-ins for the minions of one service. They follow PROTOCOL.md, with the bounds of DEPLOY.md.
class Fleet {
public:
    using Log = std::function<void(const std::string&)>;

    struct StartedRun {
        int64_t atMs { 0 };
        std::string minion;
        std::string task;
        uint32_t run { 0 };
        std::string checkpoint;
    };
    struct EndedRun {
        int64_t atMs { 0 };
        std::string minion;
        std::string task;
        uint32_t run { 0 };
        std::string how;
    };

    Fleet(std::vector<Address> minions, std::vector<Address> controlHosts, Log);
    ~Fleet();

    /// Ids of jobs must be known before their tasks are started.
    void addJob(const std::string& id, std::vector<StepWork> steps);

    /// The minion ends without a word; its next boot starts under the same id and address after `downMs`.
    void crash(size_t minion, int64_t downMs);

    size_t size() const { return m_minions.size(); }
    const Address& addressOf(size_t minion) const { return m_minions[minion].address; }
    /// The minions on which a run of this task is present.
    std::vector<size_t> minionsWith(const std::string& task);
    /// Progress of the present run of this task in milliseconds of work; -1 if there is none.
    int64_t progressOf(const std::string& task);
    std::vector<StartedRun> started();
    std::vector<EndedRun> ended();
    /// The address that the system last named for status reports.
    Address reportAddress();
    /// Ready minions whose latest status report was acknowledged.
    size_t acknowledged();

private:
    struct Run {
        std::string task;
        uint32_t run { 0 };
        std::string checkpoint;
        int64_t presentSinceMs { 0 };
        int64_t workMs { 0 };
        int64_t restoreMs { 0 };
        int64_t stopAtMs { 0 }; // 0: not being stopped.
        bool isAssembled { false };
    };
    struct End {
        uint64_t number { 0 };
        std::string task;
        uint32_t run { 0 };
        std::string how;
        std::string checkpoint;
    };
    struct Minion {
        std::string id;
        Address address;
        std::string zone;
        std::string rack;
        std::unique_ptr<HttpListener> listener;
        bool isUp { false };
        int64_t upAtMs { 0 };
        int64_t bornMs { 0 };
        int64_t bootedAtMs { 0 };
        uint64_t sequence { 0 };
        int64_t nextReportMs { 0 };
        Address reportTo;
        bool isAcknowledged { false };
        int64_t leaseUntil { 0 }; // On the minion's clock.
        uint64_t fence { 0 };
        uint64_t lastEnd { 0 };
        std::map<std::string, Run> running; // By task.
        std::vector<End> ended;
        std::map<std::string, uint32_t> highestEnded; // By task.
    };

    static std::string stepOf(const std::string& task);
    const StepWork* workOf(const std::string& task) const;
    static int64_t clockOf(const Minion& minion) { return steadyMs() - minion.bootedAtMs + 1; }
    static std::string savedOf(const Run&, const StepWork&);
    static int64_t progressIn(const std::string& checkpoint);

    void boot(size_t);
    std::optional<HttpMessage> serve(size_t, const HttpMessage&);
    HttpMessage startRun(Minion&, const std::string& body);
    HttpMessage stopRun(Minion&, const std::string& body);
    void extendLease(Minion&, int64_t until);
    void end(Minion&, const std::string& task, const std::string& how);
    void endGang(const std::string& task, uint32_t run, const std::string& how);
    void advanceLoop();
    void advance(int64_t elapsedMs);
    void reportLoop();

    std::vector<Address> m_controlHosts;
    Log m_log;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Minion> m_minions;
    std::map<std::string, std::vector<StepWork>> m_jobs;
    std::vector<StartedRun> m_started;
    std::vector<EndedRun> m_endedRuns;
    Address m_reportAddress;
    bool m_isStopping { false };
    std::thread m_advancing;
    std::vector<std::thread> m_reporting;
};

} // namespace review
