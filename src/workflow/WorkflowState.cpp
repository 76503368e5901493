#include "workflow/WorkflowState.h"

#include <algorithm>
#include <set>

#include "core/Assert.h"
#include "core/Hash.h"
#include "workflow/WorkflowFields.h"
#include "workflow/WorkflowListener.h"

namespace hickoryknot::workflow {

namespace {

// Incremented when the snapshot layout changes; older formats from oldestSnapshotFormat on are still read.
constexpr uint64_t removedQueuesFormat = 3;
constexpr uint64_t snapshotFormat = reportNumbersFormat;
constexpr uint64_t oldestSnapshotFormat = 1;

/// Workers that may crash under one task before its workflow fails. The first crash may have any cause, and the second
/// one may have been caused by another task that was there both times.
constexpr uint32_t maxCrashes = 3;
/// The same with crashes before the acknowledgement of a start, each of which is weaker evidence.
constexpr uint32_t maxCrashesWithUnconfirmed = 4;
/// The same if no start was acknowledged: none of the workers may have had a run of the task. If all had, this many is
/// the most that the platform allows, which is two more starts after three crashes.
constexpr uint32_t maxUnconfirmedCrashes = 5;
/// Crashes with acknowledged starts, without which a task is not given up before the limits above: they prove that two
/// workers had a run of it.
constexpr uint32_t minConfirmedCrashes = 2;
/// Starts that the platform allows after three workers have crashed under a task, however these runs end: a member of a
/// gang is stopped when another one crashes its worker.
constexpr uint32_t maxRunsAfterThirdCrash = 2;

} // namespace

std::string WorkflowState::apply(uint64_t, std::string_view payload)
{
    const auto commands = decodeCommands(payload);
    HICKORYKNOT_ASSERT(commands, "entries are encoded by the leader that proposes them");
    for (const auto& command : *commands)
        std::visit([this](const auto& typed) { applyCommand(typed); }, command);
    return {};
}

std::string WorkflowState::snapshot() const
{
    FieldWriter writer;
    std::vector<Queue> removedQueues;
    for (const auto& [name, queue] : m_data.removedQueues)
        removedQueues.push_back(queue);
    writer(snapshotFormat, m_data.table, removedQueues, static_cast<uint64_t>(m_data.workflows.size()));
    for (const auto& [id, record] : m_data.workflows)
        writer(record);
    writer(static_cast<uint64_t>(m_data.incarnations.size()));
    for (const auto& entry : m_data.incarnations)
        writer(entry.incarnation, entry.runs);
    writer(static_cast<uint64_t>(m_data.workers.size()));
    for (const auto& [id, profile] : m_data.workers)
        writer(profile);
    writer(m_data.runTimeSummary, m_data.earlyCancellations.entries());
    return writer.finish();
}

Expected<void> WorkflowState::restore(std::string_view snapshot)
{
    FieldReader reader(snapshot);
    Data data;
    uint64_t format = 0;
    uint64_t count = 0;
    reader(format);
    if (format < oldestSnapshotFormat || format > snapshotFormat)
        reader.fail();
    reader.setFormat(format);
    std::vector<Queue> removedQueues;
    reader(data.table);
    if (format >= removedQueuesFormat)
        reader(removedQueues);
    for (auto& queue : removedQueues)
        data.removedQueues.insert_or_assign(queue.name, queue);
    reader(count);
    for (uint64_t i = 0; i < count && reader.isOk(); ++i) {
        WorkflowRecord record;
        reader(record);
        const WorkflowId id = record.id;
        data.workflows.insert_or_assign(id, std::move(record));
    }
    reader(count);
    for (uint64_t i = 0; i < count && reader.isOk(); ++i) {
        IncarnationEntry& entry = data.incarnations.emplace_back();
        reader(entry.incarnation, entry.runs);
    }
    reader(count);
    for (uint64_t i = 0; i < count && reader.isOk(); ++i) {
        WorkerProfile profile;
        reader(profile);
        const WorkerId id = profile.incarnation.worker;
        data.workers.insert_or_assign(id, std::move(profile));
    }
    if (format >= runTimesFormat)
        reader(data.runTimeSummary);
    std::vector<EarlyCancellation> earlyCancellations;
    if (format >= earlyCancellationsFormat)
        reader(earlyCancellations);
    data.earlyCancellations.restore(std::move(earlyCancellations));
    // Rejects runs with an index outside of the incarnation table.
    for (const auto& [id, record] : data.workflows) {
        for (const auto& occurrence : record.occurrences) {
            for (const auto& step : occurrence.steps) {
                for (const auto& task : step.tasks) {
                    if (task.isPlaced && task.incarnationIndex >= data.incarnations.size())
                        reader.fail();
                }
            }
        }
    }
    if (auto finished = reader.finish(); !finished)
        return finished;
    data.table.indexKeys();
    m_data = std::move(data);
    return {};
}

uint64_t WorkflowState::digest() const { return hashBytes(snapshot()); }

const WorkflowRecord* WorkflowState::find(const WorkflowId& id) const
{
    const auto found = m_data.workflows.find(id);
    return found == m_data.workflows.end() ? nullptr : &found->second;
}

const Queue* WorkflowState::findQueue(const WorkflowRecord& record) const
{
    if (const Queue* queue = m_data.table.find(record.queue))
        return queue;
    const auto removed = m_data.removedQueues.find(record.queue);
    return removed == m_data.removedQueues.end() ? nullptr : &removed->second;
}

std::vector<WorkflowState::PlacedRun> WorkflowState::placedRuns() const
{
    std::vector<PlacedRun> runs;
    for (const auto& [id, record] : m_data.workflows) {
        if (!record.placed)
            continue;
        for (const auto& occurrence : record.occurrences) {
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& tasks = occurrence.steps[step].tasks;
                for (uint32_t index = 0; index < tasks.size(); ++index) {
                    if (tasks[index].isPlaced)
                        runs.push_back({ .run = { .task = { .step = { id, occurrence.number, step }, .index = index },
                                             .run = tasks[index].run },
                            .incarnation = &incarnation(tasks[index].incarnationIndex) });
                }
            }
        }
    }
    return runs;
}

void WorkflowState::applyCommand(const ReplaceTable& command)
{
    if (command.table.version <= m_data.table.version)
        return;
    keepQueuesInUse(command.table);
    m_data.table = command.table;
    m_data.table.indexKeys();
    if (m_listener)
        m_listener->onTableChanged();
}

// Accepted workflows finish by the rules of their queue also after its removal.
void WorkflowState::keepQueuesInUse(const QueueTable& next)
{
    std::set<QueueName> inUse;
    for (const auto& [id, record] : m_data.workflows) {
        if (record.isActive() || record.placed)
            inUse.insert(record.queue);
    }
    std::map<QueueName, Queue> kept;
    for (const auto& name : inUse) {
        if (next.find(name))
            continue;
        if (const Queue* queue = m_data.table.find(name))
            kept.emplace(name, *queue);
        else if (const auto removed = m_data.removedQueues.find(name); removed != m_data.removedQueues.end())
            kept.insert(*removed);
    }
    m_data.removedQueues = std::move(kept);
}

void WorkflowState::applyCommand(const AcceptWorkflow& command)
{
    // The acceptance may have been proposed while the cancellation was being committed.
    if (m_data.earlyCancellations.covers(command.id, command.organisation, command.queue, m_data.table)
        && !find(command.id))
        return notifyChanged(command.id);
    const auto [known, isNew] = m_data.workflows.try_emplace(command.id);
    if (!isNew)
        return;
    WorkflowRecord& record = known->second;
    record.id = command.id;
    record.queue = command.queue;
    record.organisation = command.organisation;
    record.pool = command.pool;
    record.maxAttempts = command.maxAttempts;
    record.spec = command.spec;
    record.acceptedMs = command.acceptedMs;
    if (!record.spec.isTimed())
        beginOccurrences(record, 0);
    notifyChanged(command.id);
}

void WorkflowState::applyCommand(const CancelWorkflow& command)
{
    const auto known = m_data.workflows.find(command.id);
    if (known == m_data.workflows.end() || !known->second.isActive())
        return;
    known->second.phase = WorkflowPhase::Cancelled;
    finishOccurrences(known->second);
    notifyChanged(command.id);
}

void WorkflowState::applyCommand(const CancelUnknownWorkflow& command)
{
    const WorkflowRecord* record = find(command.id);
    const bool isKnown = record
        && m_data.table.mayAccess(
            command.queue, command.organisation, { .queue = record->queue, .organisation = record->organisation });
    if (isKnown)
        return applyCommand(CancelWorkflow { command.id });
    const EarlyCancellation entry { .key = { command.id, command.organisation },
        .queue = command.queue,
        .isWithoutOrganisations = m_data.table.organisations.empty() };
    if (m_data.earlyCancellations.add(entry, m_data.table) && m_listener)
        m_listener->onEarlyCancellation(entry.key);
}

void WorkflowState::applyCommand(const RemoveEarlyCancellations& command)
{
    m_data.earlyCancellations.remove(command.keys);
}

void WorkflowState::applyCommand(const RemoveWorkflows& command)
{
    for (const auto& id : command.ids) {
        const auto known = m_data.workflows.find(id);
        if (known == m_data.workflows.end() || known->second.isActive() || known->second.placed)
            continue;
        m_data.workflows.erase(known);
        notifyChanged(id);
    }
}

void WorkflowState::applyCommand(const BeginOccurrence& command)
{
    const auto known = m_data.workflows.find(command.id);
    const bool isBeginnable = known != m_data.workflows.end() && known->second.isActive()
        && command.occurrence < known->second.spec.occurrences();
    if (!isBeginnable)
        return;
    beginOccurrences(known->second, command.occurrence);
    notifyChanged(command.id);
}

void WorkflowState::beginOccurrences(WorkflowRecord& record, uint32_t upTo)
{
    for (; record.begunOccurrences <= upTo; ++record.begunOccurrences) {
        OccurrenceRecord occurrence;
        occurrence.number = record.begunOccurrences;
        for (const auto& step : record.spec.steps) {
            StepRecord steps;
            steps.tasks.resize(step.count);
            steps.open = step.count;
            occurrence.steps.push_back(std::move(steps));
        }
        record.occurrences.push_back(std::move(occurrence));
    }
}

void WorkflowState::applyCommand(const PlaceRuns& command)
{
    // Members of a gang are consecutive and are placed together or not at all.
    for (size_t first = 0; first < command.entries.size();) {
        const auto& step = command.entries[first].run.task.step;
        size_t end = first + 1;
        while (end < command.entries.size() && command.entries[end].run.task.step == step)
            ++end;
        const auto known = m_data.workflows.find(step.workflow);
        const bool isKnown = known != m_data.workflows.end() && step.step < known->second.spec.steps.size();
        const bool isGang = isKnown && known->second.spec.steps[step.step].isGang;
        bool areAllFree = isKnown;
        for (size_t i = first; i < end && areAllFree && isGang; ++i)
            areAllFree = mayPlace(known->second, command.entries[i].run);
        if (areAllFree && isGang)
            alignCheckpoints(known->second.find(step.occurrence)->steps[step.step]);
        for (size_t i = first; i < end && areAllFree; ++i) {
            const auto& entry = command.entries[i];
            WorkflowRecord& record = known->second;
            if (!mayPlace(record, entry.run) || entry.incarnationIndex >= command.incarnations.size())
                continue;
            StepRecord& stepRecord = record.find(step.occurrence)->steps[step.step];
            TaskRecord& task = stepRecord.tasks[entry.run.task.index];
            task.run = entry.run.run;
            task.isPlaced = true;
            task.incarnationIndex = acquireIncarnation(command.incarnations[entry.incarnationIndex]);
            ++stepRecord.placed;
            ++record.placed;
        }
        if (isKnown)
            notifyChanged(step.workflow);
        first = end;
    }
}

// The checkpoint of any member is valid for all of them. Members whose worker was lost may have an earlier one than the
// others, so the most frequent one is taken; of several, that of the first member.
void WorkflowState::alignCheckpoints(StepRecord& step)
{
    std::map<std::string_view, size_t> counts;
    for (const auto& task : step.tasks) {
        if (!task.checkpoint.empty())
            ++counts[task.checkpoint];
    }
    std::string_view chosen;
    for (const auto& task : step.tasks) {
        if (!task.checkpoint.empty() && (chosen.empty() || counts[task.checkpoint] > counts[chosen]))
            chosen = task.checkpoint;
    }
    const std::string checkpoint(chosen);
    for (auto& task : step.tasks)
        task.checkpoint = checkpoint;
}

bool WorkflowState::mayPlace(const WorkflowRecord& record, const RunRef& run) const
{
    const TaskRecord* task = record.find(run.task);
    return record.isActive() && task && task->isWaiting() && run.run > task->run;
}

void WorkflowState::applyCommand(const EndRuns& command)
{
    for (const auto& entry : command.entries)
        endRun(entry);
}

void WorkflowState::endRun(const EndRuns::Entry& entry)
{
    const auto& ref = entry.run.task;
    const auto known = m_data.workflows.find(ref.step.workflow);
    if (known == m_data.workflows.end())
        return;
    WorkflowRecord& record = known->second;
    const TaskRecord* found = record.find(ref);
    if (!found || !found->isPlaced || found->run != entry.run.run)
        return;
    StepRecord& step = record.find(ref.step.occurrence)->steps[ref.step.step];
    TaskRecord& task = step.tasks[ref.index];
    task.isPlaced = false;
    --step.placed;
    --record.placed;
    --m_data.incarnations[task.incarnationIndex].runs;
    if (!entry.checkpoint.empty())
        task.checkpoint = entry.checkpoint;
    record.hasStarted = record.hasStarted || provesExecution(entry.outcome);
    if (record.isActive())
        recordOutcome(record, step, record.spec.steps[ref.step.step], task, entry);
    finishOccurrences(record);
    notifyChanged(record.id);
}

void WorkflowState::recordOutcome(
    WorkflowRecord& record, StepRecord& step, const StepSpec& spec, TaskRecord& task, const EndRuns::Entry& entry)
{
    if (task.outcome != TaskOutcome::Open)
        return;
    task.crashes += entry.outcome == RunOutcome::WorkerCrashed ? 1 : 0;
    task.unconfirmedCrashes += entry.outcome == RunOutcome::WorkerMayHaveCrashed ? 1 : 0;
    // Restarted however its runs end: over its time, machines crash under it without its doing.
    if (spec.isLongRunning)
        return;
    const uint32_t maxCrashesOfBothKinds = task.crashes ? maxCrashesWithUnconfirmed : maxUnconfirmedCrashes;
    if (task.crashes >= maxCrashes || task.crashes + task.unconfirmedCrashes >= maxCrashesOfBothKinds)
        return fail(record, step, task, FailureCause::WorkerCrashes);
    if (!task.thirdCrashRun && task.crashes + task.unconfirmedCrashes >= maxCrashes)
        task.thirdCrashRun = entry.run.run;
    const bool wasLastRun = task.thirdCrashRun && entry.run.run >= task.thirdCrashRun + maxRunsAfterThirdCrash
        && task.crashes >= minConfirmedCrashes;
    if (wasLastRun && entry.outcome != RunOutcome::Done && entry.outcome != RunOutcome::NeverStarted)
        return fail(record, step, task, FailureCause::WorkerCrashes);
    if (entry.outcome == RunOutcome::Done && spec.isGang) {
        // One member's success completes the whole gang; the others occupy their workers until their ends are reported.
        for (auto& member : step.tasks)
            setTaskOutcome(step, member, TaskOutcome::Done);
    } else if (entry.outcome == RunOutcome::Done) {
        setTaskOutcome(step, task, TaskOutcome::Done);
    }
    if (entry.outcome != RunOutcome::Failed)
        return;
    uint32_t failures = ++task.failures;
    if (spec.isGang) {
        if (step.lastFailedRun < entry.run.run) {
            step.lastFailedRun = entry.run.run;
            ++step.gangFailures;
        }
        failures = step.gangFailures;
    }
    if (failures >= record.maxAttempts)
        fail(record, step, task, FailureCause::AttemptsUsed);
}

void WorkflowState::fail(WorkflowRecord& record, StepRecord& step, TaskRecord& task, FailureCause cause)
{
    setTaskOutcome(step, task, TaskOutcome::Failed);
    record.phase = WorkflowPhase::Failed;
    record.failureCause = cause;
}

void WorkflowState::setTaskOutcome(StepRecord& step, TaskRecord& task, TaskOutcome outcome)
{
    if (task.outcome != TaskOutcome::Open)
        return;
    task.outcome = outcome;
    --step.open;
}

void WorkflowState::finishOccurrences(WorkflowRecord& record)
{
    for (auto& occurrence : record.occurrences) {
        const bool isDone = std::all_of(
            occurrence.steps.begin(), occurrence.steps.end(), [](const StepRecord& step) { return step.isDone(); });
        if (!isDone || occurrence.isFinished)
            continue;
        occurrence.isFinished = true;
        ++record.finishedOccurrences;
    }
    if (record.isActive() && record.finishedOccurrences == record.spec.occurrences())
        record.phase = WorkflowPhase::Completed;
    // Members of a finished gang and runs of an ended workflow occupy their workers until their ends are reported.
    std::erase_if(record.occurrences, [&](const OccurrenceRecord& occurrence) {
        const bool isOccupying = std::any_of(
            occurrence.steps.begin(), occurrence.steps.end(), [](const StepRecord& step) { return step.placed > 0; });
        return !isOccupying && (occurrence.isFinished || !record.isActive());
    });
    if (!record.isActive() && !record.placed) {
        record.spec.command.clear();
        record.spec.steps.clear();
    }
}

uint32_t WorkflowState::acquireIncarnation(const WorkerIncarnation& incarnation)
{
    std::optional<uint32_t> free;
    for (uint32_t i = 0; i < m_data.incarnations.size(); ++i) {
        IncarnationEntry& entry = m_data.incarnations[i];
        if (entry.runs && entry.incarnation == incarnation) {
            ++entry.runs;
            return i;
        }
        if (!entry.runs && !free)
            free = i;
    }
    if (!free) {
        free = static_cast<uint32_t>(m_data.incarnations.size());
        m_data.incarnations.emplace_back();
    }
    m_data.incarnations[*free] = { .incarnation = incarnation, .runs = 1 };
    return *free;
}

void WorkflowState::applyCommand(const RecordWorkers& command)
{
    for (const auto& profile : command.profiles) {
        auto& known = m_data.workers[profile.incarnation.worker];
        // A report of an older incarnation may arrive after that of a newer one.
        if (known.incarnation.startTimeMs <= profile.incarnation.startTimeMs)
            known = profile;
    }
}

void WorkflowState::applyCommand(const RemoveWorkers& command)
{
    for (const auto& incarnation : command.incarnations) {
        const auto known = m_data.workers.find(incarnation.worker);
        if (known != m_data.workers.end() && known->second.incarnation == incarnation)
            m_data.workers.erase(known);
    }
}

void WorkflowState::applyCommand(const RecordStarts& command)
{
    for (const auto& id : command.ids) {
        const auto known = m_data.workflows.find(id);
        if (known != m_data.workflows.end() && !std::exchange(known->second.hasStarted, true))
            notifyChanged(id);
    }
}

void WorkflowState::applyCommand(const RecordRunTimes& command) { m_data.runTimeSummary = command.summary; }

void WorkflowState::notifyChanged(const WorkflowId& id)
{
    if (m_listener)
        m_listener->onWorkflowChanged(id);
}

} // namespace hickoryknot::workflow
