#include "app/WorkerService.h"

#include <nlohmann/json.hpp>

#include "app/EventLog.h"
#include "state/JobNumber.h"

namespace hickoryknot {

namespace {

/// Maximum size of the set of counted starts; only responses of the last seconds can be repeated.
constexpr size_t maxCountedStarts = 16384;

} // namespace

void WorkerService::onHeartbeat(const WorkerHeartbeat& heartbeat, TimePoint now, WallTime wall, Reply reply)
{
    if (!m_context.zoneScheduler->isLeader()) {
        const auto leader = m_context.zoneGroup->group().leader();
        reply(makeError(ErrorCode::NotLeader,
            leader ? "host " + leader->value() + " leads this zone" : "this zone has no leader yet"));
        return;
    }
    // A worker has one heartbeat in flight, so it has abandoned the previous one.
    if (const auto previous = m_deferredResponses.find(heartbeat.worker); previous != m_deferredResponses.end()) {
        previous->second.reply(makeError(ErrorCode::Unavailable, "a newer heartbeat of this worker arrived"));
        m_deferredResponses.erase(previous);
    }
    auto instructions = m_context.zoneScheduler->onHeartbeat(heartbeat, now);
    const bool mayDefer = heartbeat.wait > Duration(0) && !m_context.isDraining
        && ZoneScheduler::canDeferResponse(heartbeat, instructions);
    if (mayDefer)
        m_deferredResponses.emplace(heartbeat.worker, DeferredResponse { now + heartbeat.wait, std::move(reply) });
    else
        respond(instructions, wall, reply);
}

void WorkerService::respond(const WorkerInstructions& instructions, WallTime wall, const Reply& reply)
{
    for (const auto& start : instructions.start) {
        if (m_countedStarts.size() >= maxCountedStarts)
            m_countedStarts.clear();
        if (!m_countedStarts.insert(start.epoch).second)
            continue;
        EventLog::write(EventLevel::Debug, Event::TaskPlaced, "a task was assigned to a worker",
            { { "task", start.task.value() } });
        const auto number = parseJobId(start.job, m_context.settings.zone);
        const auto* job = number ? m_context.zone.findJob(*number) : nullptr;
        const auto* row = job ? m_context.cell.table().findClass(job->spec.row) : nullptr;
        const auto task = parseTaskId(start.task, m_context.settings.zone);
        if (!row || !task || task->second >= job->tasks.size() || job->tasks[task->second].mayHaveRun)
            continue;
        const Duration waited = std::chrono::milliseconds(std::max<UnixMs>(0, toUnixMs(wall) - job->submittedMs));
        m_recordStart({ job->spec.row, row->targetWait, waited, true });
    }
    reply(instructions);
}

void WorkerService::tick(TimePoint now, WallTime wall)
{
    if (!m_context.zoneScheduler->isLeader()) {
        rejectDeferredResponses();
        return;
    }
    std::vector<WorkerId> ready = m_context.zoneScheduler->drainWorkersToNotify();
    for (const auto& [worker, deferred] : m_deferredResponses) {
        if (now >= deferred.deadline)
            ready.push_back(worker);
    }
    for (const auto& worker : ready) {
        const auto found = m_deferredResponses.find(worker);
        if (found == m_deferredResponses.end())
            continue;
        const Reply reply = std::move(found->second.reply);
        m_deferredResponses.erase(found);
        respond(m_context.zoneScheduler->buildInstructions(worker, now), wall, reply);
    }
}

void WorkerService::rejectDeferredResponses()
{
    auto deferred = std::move(m_deferredResponses);
    m_deferredResponses.clear();
    for (auto& [worker, entry] : deferred)
        entry.reply(makeError(ErrorCode::NotLeader, "this host leads the zone no longer"));
}

std::string WorkerService::listJson() const
{
    auto list = nlohmann::json::array();
    for (const auto& record : m_context.zone.workers()) {
        if (record.worker.isEmpty())
            continue;
        const auto* view = m_context.zoneScheduler->workers().find(record.worker);
        const char* state = !view ? "unheard" : view->isLeaving ? "leaving" : view->isSilent ? "silent" : "ready";
        list.push_back({
            { "worker", record.worker.value() },
            { "zone", m_context.settings.zone.value() },
            { "rack", record.rack.value() },
            { "state", state },
            { "tasks", record.assigned },
            { "usedMillicores", record.used.millicores.count() },
            { "millicores", record.capacity.millicores.count() },
            { "usedMebibytes", record.used.mebibytes.count() },
            { "mebibytes", record.capacity.mebibytes.count() },
            { "usedAccelerators", record.used.accelerators.count() },
            { "accelerators", record.capacity.accelerators.count() },
        });
    }
    return list.dump();
}

} // namespace hickoryknot
