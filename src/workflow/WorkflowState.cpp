#include "workflow/WorkflowState.h"

#include <algorithm>

#include "core/Assert.h"
#include "core/Hash.h"
#include "workflow/WorkflowFields.h"
#include "workflow/WorkflowListener.h"

namespace hickoryknot::workflow {

namespace {

// Raised when the layout of snapshots changes.
constexpr uint64_t snapshotFormat = 1;

} // namespace

std::string WorkflowState::apply(uint64_t, std::string_view payload)
{
    const auto commands = decodeCommands(payload);
    HICKORYKNOT_ASSERT(commands, "entries are encoded by the leader that proposes them");
    for (const auto& command : *commands)
        std::visit([this](const auto& typed) { run(typed); }, command);
    return {};
}

std::string WorkflowState::snapshot() const
{
    FieldWriter writer;
    writer(snapshotFormat, m_data.table, static_cast<uint64_t>(m_data.workflows.size()));
    for (const auto& [id, record] : m_data.workflows)
        writer(record);
    writer(static_cast<uint64_t>(m_data.lives.size()));
    for (const auto& slot : m_data.lives)
        writer(slot.life, slot.runs);
    writer(static_cast<uint64_t>(m_data.workers.size()));
    for (const auto& [id, profile] : m_data.workers)
        writer(profile);
    return writer.finish();
}

Expected<void> WorkflowState::restore(std::string_view snapshot)
{
    FieldReader reader(snapshot);
    Data data;
    uint64_t format = 0;
    uint64_t count = 0;
    reader(format, data.table, count);
    if (format != snapshotFormat)
        reader.fail();
    for (uint64_t i = 0; i < count && reader.isOk(); ++i) {
        WorkflowRecord record;
        reader(record);
        const WorkflowId id = record.id;
        data.workflows.insert_or_assign(id, std::move(record));
    }
    reader(count);
    for (uint64_t i = 0; i < count && reader.isOk(); ++i) {
        LifeSlot& slot = data.lives.emplace_back();
        reader(slot.life, slot.runs);
    }
    reader(count);
    for (uint64_t i = 0; i < count && reader.isOk(); ++i) {
        WorkerProfile profile;
        reader(profile);
        const WorkerId id = profile.incarnation.worker;
        data.workers.insert_or_assign(id, std::move(profile));
    }
    // A run on a life that is not recorded would be followed out of bounds.
    for (const auto& [id, record] : data.workflows) {
        for (const auto& occurrence : record.occurrences) {
            for (const auto& step : occurrence.steps) {
                for (const auto& task : step.tasks) {
                    if (task.isPlaced && task.life >= data.lives.size())
                        reader.fail();
                }
            }
        }
    }
    if (auto finished = reader.finish(); !finished)
        return finished;
    m_data = std::move(data);
    return {};
}

uint64_t WorkflowState::digest() const { return hashBytes(snapshot()); }

const WorkflowRecord* WorkflowState::find(const WorkflowId& id) const
{
    const auto found = m_data.workflows.find(id);
    return found == m_data.workflows.end() ? nullptr : &found->second;
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
                            .life = &life(tasks[index].life) });
                }
            }
        }
    }
    return runs;
}

void WorkflowState::run(const ReplaceTable& command)
{
    if (command.table.version <= m_data.table.version)
        return;
    m_data.table = command.table;
    if (m_listener)
        m_listener->tableChanged();
}

void WorkflowState::run(const AcceptWorkflow& command)
{
    const auto [known, isNew] = m_data.workflows.try_emplace(command.id);
    if (!isNew)
        return;
    WorkflowRecord& record = known->second;
    record.id = command.id;
    record.queue = command.queue;
    record.pool = command.pool;
    record.maxAttempts = command.maxAttempts;
    record.spec = command.spec;
    record.acceptedMs = command.acceptedMs;
    if (!record.spec.isTimed())
        beginOccurrences(record, 0);
    changed(command.id);
}

void WorkflowState::run(const CancelWorkflow& command)
{
    const auto known = m_data.workflows.find(command.id);
    if (known == m_data.workflows.end() || !known->second.isActive())
        return;
    known->second.phase = WorkflowPhase::Cancelled;
    finishOccurrences(known->second);
    changed(command.id);
}

void WorkflowState::run(const ForgetWorkflows& command)
{
    for (const auto& id : command.ids) {
        const auto known = m_data.workflows.find(id);
        if (known == m_data.workflows.end() || known->second.isActive() || known->second.placed)
            continue;
        m_data.workflows.erase(known);
        changed(id);
    }
}

void WorkflowState::run(const BeginOccurrence& command)
{
    const auto known = m_data.workflows.find(command.id);
    const bool isBeginnable = known != m_data.workflows.end() && known->second.isActive()
        && command.occurrence < known->second.spec.occurrences();
    if (!isBeginnable)
        return;
    beginOccurrences(known->second, command.occurrence);
    changed(command.id);
}

void WorkflowState::beginOccurrences(WorkflowRecord& record, uint32_t upTo)
{
    for (; record.begun <= upTo; ++record.begun) {
        OccurrenceRecord occurrence;
        occurrence.number = record.begun;
        for (const auto& step : record.spec.steps) {
            StepRecord steps;
            steps.tasks.resize(step.count);
            steps.open = step.count;
            occurrence.steps.push_back(std::move(steps));
        }
        record.occurrences.push_back(std::move(occurrence));
    }
}

void WorkflowState::run(const PlaceRuns& command)
{
    // Members of a gang follow each other and are placed together or not at all.
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
        for (size_t i = first; i < end && areAllFree; ++i) {
            const auto& entry = command.entries[i];
            WorkflowRecord& record = known->second;
            if (!mayPlace(record, entry.run) || entry.life >= command.lives.size())
                continue;
            StepRecord& stepRecord = record.find(step.occurrence)->steps[step.step];
            TaskRecord& task = stepRecord.tasks[entry.run.task.index];
            task.run = entry.run.run;
            task.isPlaced = true;
            task.life = acquireLife(command.lives[entry.life]);
            ++stepRecord.placed;
            ++record.placed;
            record.hasStarted = true;
        }
        if (isKnown)
            changed(step.workflow);
        first = end;
    }
}

bool WorkflowState::mayPlace(const WorkflowRecord& record, const RunRef& run) const
{
    const TaskRecord* task = record.find(run.task);
    return record.isActive() && task && task->isWaiting() && run.run > task->run;
}

void WorkflowState::run(const EndRuns& command)
{
    for (const auto& entry : command.entries)
        end(entry);
}

void WorkflowState::end(const EndRuns::Entry& entry)
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
    --m_data.lives[task.life].runs;
    if (!entry.checkpoint.empty())
        task.checkpoint = entry.checkpoint;
    if (record.isActive())
        recordOutcome(record, step, record.spec.steps[ref.step.step], task, entry);
    finishOccurrences(record);
    changed(record.id);
}

void WorkflowState::recordOutcome(
    WorkflowRecord& record, StepRecord& step, const StepSpec& spec, TaskRecord& task, const EndRuns::Entry& entry)
{
    if (spec.isLongRunning || task.outcome != TaskOutcome::Open)
        return;
    if (entry.end == RunOutcome::Done && spec.isGang) {
        // One member's end stands for the whole gang; the others still occupy their workers until they are listed.
        for (auto& member : step.tasks)
            setTaskOutcome(step, member, TaskOutcome::Done);
    } else if (entry.end == RunOutcome::Done) {
        setTaskOutcome(step, task, TaskOutcome::Done);
    }
    if (entry.end != RunOutcome::Failed)
        return;
    uint32_t failures = ++task.failures;
    if (spec.isGang) {
        if (step.lastFailedRun < entry.run.run) {
            step.lastFailedRun = entry.run.run;
            ++step.gangFailures;
        }
        failures = step.gangFailures;
    }
    if (failures < record.maxAttempts)
        return;
    setTaskOutcome(step, task, TaskOutcome::Failed);
    record.phase = WorkflowPhase::Failed;
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
        ++record.finished;
    }
    if (record.isActive() && record.finished == record.spec.occurrences())
        record.phase = WorkflowPhase::Completed;
    // Members of a finished gang, and runs of an ended workflow, occupy their workers until their ends are listed.
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

uint32_t WorkflowState::acquireLife(const WorkerIncarnation& life)
{
    std::optional<uint32_t> free;
    for (uint32_t i = 0; i < m_data.lives.size(); ++i) {
        LifeSlot& slot = m_data.lives[i];
        if (slot.runs && slot.life == life) {
            ++slot.runs;
            return i;
        }
        if (!slot.runs && !free)
            free = i;
    }
    if (!free) {
        free = static_cast<uint32_t>(m_data.lives.size());
        m_data.lives.emplace_back();
    }
    m_data.lives[*free] = { .life = life, .runs = 1 };
    return *free;
}

void WorkflowState::run(const RecordWorkers& command)
{
    for (const auto& profile : command.profiles) {
        auto& known = m_data.workers[profile.incarnation.worker];
        // An older life's report may arrive after that of a newer one.
        if (known.incarnation.startTimeMs <= profile.incarnation.startTimeMs)
            known = profile;
    }
}

void WorkflowState::run(const ForgetWorkers& command)
{
    for (const auto& life : command.lives) {
        const auto known = m_data.workers.find(life.worker);
        if (known != m_data.workers.end() && known->second.incarnation == life)
            m_data.workers.erase(known);
    }
}

void WorkflowState::changed(const WorkflowId& id)
{
    if (m_listener)
        m_listener->workflowChanged(id);
}

} // namespace hickoryknot::workflow
