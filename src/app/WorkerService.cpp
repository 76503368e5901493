#include "app/WorkerService.h"

#include <nlohmann/json.hpp>

#include "app/EventLog.h"
#include "state/JobNumber.h"

namespace hickoryknot {

namespace {

/// Forgets counted starts beyond this many; only answers of the last seconds can be given again.
constexpr size_t maxCountedStarts = 16384;

} // namespace

void WorkerService::heartbeat(const WorkerHeartbeat& heartbeat, TimePoint now, WallTime wall, Reply reply)
{
    if (!m_context.zoneScheduler->isLeader()) {
        const auto leader = m_context.zoneGroup->group().leader();
        reply(makeError(ErrorCode::NotLeader,
            leader ? "host " + leader->value() + " leads this zone" : "this zone has no leader yet"));
        return;
    }
    // A worker has one heartbeat under way: an older one was given up.
    if (const auto older = m_held.find(heartbeat.worker); older != m_held.end()) {
        older->second.reply(makeError(ErrorCode::Unavailable, "a newer heartbeat of this worker arrived"));
        m_held.erase(older);
    }
    auto instructions = m_context.zoneScheduler->onHeartbeat(heartbeat, now);
    const bool mayHold = heartbeat.wait > Duration(0) && !m_context.isDraining
        && ZoneScheduler::canDeferResponse(heartbeat, instructions);
    if (mayHold)
        m_held.emplace(heartbeat.worker, Held { now + heartbeat.wait, std::move(reply) });
    else
        answer(instructions, wall, reply);
}

void WorkerService::answer(const WorkerInstructions& instructions, WallTime wall, const Reply& reply)
{
    for (const auto& start : instructions.start) {
        if (m_countedStarts.size() >= maxCountedStarts)
            m_countedStarts.clear();
        if (!m_countedStarts.insert(start.epoch).second)
            continue;
        EventLog::write(
            EventLevel::Debug, Event::TaskPlaced, "a task was given to a worker", { { "task", start.task.value() } });
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
        releaseAll();
        return;
    }
    std::vector<WorkerId> ready = m_context.zoneScheduler->drainWorkersToNotify();
    for (const auto& [worker, held] : m_held) {
        if (now >= held.deadline)
            ready.push_back(worker);
    }
    for (const auto& worker : ready) {
        const auto found = m_held.find(worker);
        if (found == m_held.end())
            continue;
        const Reply reply = std::move(found->second.reply);
        m_held.erase(found);
        answer(m_context.zoneScheduler->buildInstructions(worker, now), wall, reply);
    }
}

void WorkerService::releaseAll()
{
    auto held = std::move(m_held);
    m_held.clear();
    for (auto& [worker, entry] : held)
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
