#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "protocol/WorkerHeartbeat.h"
#include "protocol/WorkerInstructions.h"

namespace hickoryknot {

/// A worker that executes start and stop commands and kills tasks whose leases expire by its own clock. It checks
/// nothing else: it also handles responses from old terms and late responses to earlier heartbeats.
class FakeWorker {
public:
    struct Task {
        uint64_t epoch { 0 };
        TimePoint leaseEnd;
        TimePoint finishAt;
        Resources resources;
    };

    WorkerId id;
    ZoneId zone;
    uint64_t incarnation { 1 };
    Resources capacity { .millicores = Millicores(4000), .mebibytes = Mebibytes(4000), .accelerators = {} };
    bool isPaused { false };
    std::map<TaskId, Task> running;
    std::function<Duration(const StartTask&)> runTime;
    std::function<void(const StartTask&)> started;

    WorkerHeartbeat heartbeat() const
    {
        WorkerHeartbeat heartbeat;
        heartbeat.worker = id;
        heartbeat.incarnation = incarnation;
        heartbeat.zone = zone;
        heartbeat.rack = RackId("r1");
        heartbeat.capacity = capacity;
        heartbeat.term = m_term;
        heartbeat.ended = m_ended;
        heartbeat.lastSequence = m_lastSequence;
        for (const auto& [task, state] : running)
            heartbeat.running.push_back({ .task = task, .epoch = state.epoch, .used = state.resources });
        return heartbeat;
    }

    /// Handles the response to a heartbeat that `incarnationOfRequest` sent at `sentAt`. Responses to an earlier
    /// incarnation are ignored.
    void handleInstructions(
        const WorkerInstructions& instructions, uint64_t incarnationOfRequest, TimePoint sentAt, TimePoint now)
    {
        checkLeases(now);
        if (incarnationOfRequest != incarnation || !instructions.term)
            return;
        if (instructions.term != m_term)
            m_lastSequence = 0;
        m_term = instructions.term;
        m_lastSequence = std::max(m_lastSequence, instructions.sequence);
        for (const auto& renewal : instructions.renew) {
            const auto at = running.find(renewal.task);
            if (at != running.end() && at->second.epoch == renewal.epoch)
                at->second.leaseEnd = std::max(at->second.leaseEnd, sentAt + renewal.lease);
        }
        for (const auto& task : instructions.acknowledged)
            std::erase_if(m_ended, [&](const EndedTask& ended) { return ended.task == task; });
        for (const auto& stop : instructions.stop)
            stopTask(stop);
        for (const auto& start : instructions.start)
            startTask(start, sentAt, now);
    }

    /// Kills tasks whose lease has expired and ends finished ones.
    void checkLeases(TimePoint now)
    {
        for (auto at = running.begin(); at != running.end();) {
            const bool isKilled = at->second.leaseEnd <= now;
            if (!isKilled && at->second.finishAt > now) {
                ++at;
                continue;
            }
            m_ended.push_back({ .task = at->first, .epoch = at->second.epoch, .exitCode = isKilled ? 137 : 0 });
            at = running.erase(at);
        }
    }

    void restart()
    {
        ++incarnation;
        running.clear();
        m_ended.clear();
        m_term = 0;
        m_lastSequence = 0;
    }

    Resources used() const
    {
        Resources sum;
        for (const auto& [task, state] : running)
            sum += state.resources;
        return sum;
    }

private:
    void startTask(const StartTask& start, TimePoint sentAt, TimePoint now)
    {
        const bool isKnown = running.contains(start.task);
        if (isKnown || sentAt + start.lease <= now)
            return;
        running[start.task] = { .epoch = start.epoch,
            .leaseEnd = sentAt + start.lease,
            .finishAt = now + runTime(start),
            .resources = start.resources };
        started(start);
    }

    void stopTask(const StopTask& stop)
    {
        const auto at = running.find(stop.task);
        if (at == running.end() || at->second.epoch != stop.epoch)
            return;
        m_ended.push_back({ .task = stop.task, .epoch = stop.epoch, .exitCode = 143 });
        running.erase(at);
    }

    uint64_t m_term { 0 };
    uint64_t m_lastSequence { 0 };
    std::vector<EndedTask> m_ended;
};

} // namespace hickoryknot
