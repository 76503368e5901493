#include "placement/Explanation.h"

#include <algorithm>
#include <fmt/format.h>

#include "placement/Formatting.h"
#include "placement/RefusalCheck.h"

namespace hickoryknot {

namespace {

constexpr uint32_t maxRunsExplained = 3;
constexpr uint32_t minutesPerDay = 24 * 60;

std::string clockTime(uint32_t minute) { return fmt::format("{:02}:{:02}", minute / 60, minute % 60); }

// For example "quotaMillicores=4000 while 3000 are used and 2000 more are needed", for each exceeded dimension.
std::string exceededQuotas(const TeamRecord& team, const Resources& more)
{
    std::string text;
    const auto check = [&](const char* column, int64_t quota, int64_t used, int64_t need) {
        if (quota && used + need > quota) {
            text += fmt::format("{}{}={} while {} are used and {} more are needed", text.empty() ? "" : "; ", column,
                quota, used, need);
        }
    };
    check("quotaMillicores", team.quota.millicores.count(), team.used.millicores.count(), more.millicores.count());
    check("quotaMebibytes", team.quota.mebibytes.count(), team.used.mebibytes.count(), more.mebibytes.count());
    check("quotaAccelerators", team.quota.accelerators.count(), team.used.accelerators.count(),
        more.accelerators.count());
    return text;
}

} // namespace

Explanation::Explanation(
    const EngineState& state, const ReservationController& reservations, JobIndex job, TimePoint now, WallTime wall)
    : m_state(state)
    , m_reservations(reservations)
    , m_job(state.jobs[job])
    , m_row(state.rowOf(state.jobs[job]))
    , m_jobIndex(job)
    , m_now(now)
    , m_minuteOfDay(static_cast<uint32_t>(
          std::chrono::floor<std::chrono::minutes>(wall - std::chrono::floor<std::chrono::days>(wall)).count()))
{
}

std::string Explanation::text()
{
    addSummary();
    if (m_job.isRefused)
        add("The job is refused. " + m_job.refusalReason);
    else if (m_job.isCancelled)
        add("The job was cancelled; no further task starts.");
    addRuns();
    if (m_job.mayStart())
        addWait();
    return std::move(m_text);
}

void Explanation::add(const std::string& sentence)
{
    if (!m_text.empty())
        m_text += ' ';
    m_text += sentence;
}

void Explanation::addSummary()
{
    add(fmt::format("Job {} of row {} and team {}: of {} tasks, {} run, {} wait, {} are done and {} failed for good.",
        m_job.id.value(), m_row.row.name.value(), m_state.teams.name(m_job.team).value(), m_job.tasks(), m_job.running,
        m_job.queuedTasks.size(), m_job.finished, m_job.failed));
    if (!m_row.isInTable)
        add(fmt::format(
            "Row {} is no longer in the table; its last values still hold for this job.", m_row.row.name.value()));
}

void Explanation::addRuns()
{
    uint32_t explained = 0;
    for (const RunIndex run : m_job.taskRuns) {
        if (run == noIndex)
            continue;
        if (explained++ == maxRunsExplained) {
            add(fmt::format(
                "The other {} running tasks were placed by the same rules.", m_job.running - maxRunsExplained));
            return;
        }
        addRun(m_state.runs[run]);
    }
}

void Explanation::addRun(const Run& run)
{
    const PlacementWorker& worker = m_state.workers[run.worker];
    add(fmt::format("Task {} has run on worker {} in rack {} for {}.", run.task,
        m_state.workers.name(run.worker).value(), m_state.workers.rackName(worker.rack).value(),
        formatRoundedDuration(m_now - run.startedAt)));
    add(fmt::format("Why there: {}; it needs {} and the worker had {} free (worker total: {}).", workerReason(run),
        formatResources(run.need), formatResources(run.freeBefore), formatResources(worker.capacity)));
    add(fmt::format("Why then: {}.", startTimeReason(run)));
    if (run.isStopping)
        add("It is being stopped and will be queued again.");
}

std::string Explanation::workerReason(const Run& run) const
{
    const std::string& row = m_row.row.name.value();
    const bool spreads = m_job.kind == JobKind::Service || m_row.row.placement == PlacementStyle::Spread;
    if (!run.comparedCount)
        return run.reason;
    if (spreads) {
        const std::string cause = m_job.kind == JobKind::Service ? "services are always spread over racks"
                                                                 : fmt::format("row {} has placement=spread", row);
        return fmt::format("{}, and this rack held {} other tasks of the job, the fewest of {} compared racks", cause,
            run.otherTasksInRack, run.comparedCount);
    }
    return fmt::format("row {} has placement=pack, and this worker was the {} of {} compared workers with room", row,
        run.reason, run.comparedCount);
}

std::string Explanation::startTimeReason(const Run& run) const
{
    const std::string waited = formatRoundedDuration(run.waited);
    const std::string& row = m_row.row.name.value();
    switch (run.waitCause) {
    case WaitCause::QueueOrder:
        return fmt::format("after {} it was the turn of row {} (priority={}, weight={}) and there was room", waited,
            row, m_row.row.priority, m_row.row.weight);
    case WaitCause::Capacity:
        return fmt::format("it waited {} until a worker had enough free capacity", waited);
    case WaitCause::Quota:
        return fmt::format("it waited {} until team {} used less of its quota ({})", waited,
            m_state.teams.name(m_job.team).value(), formatQuota(m_state.teams[m_job.team].quota));
    case WaitCause::MaxRunning:
        return fmt::format(
            "it waited {} until row {} ran fewer tasks than maxRunning={}", waited, row, m_row.row.maxRunning);
    case WaitCause::Hours:
        return fmt::format("it waited {} until the hours of row {} opened at {} UTC", waited, row,
            clockTime(m_row.row.hours.startMinute));
    case WaitCause::BackOff:
        return fmt::format("it waited {} because tasks of the job had failed", waited);
    case WaitCause::Reservation:
        return fmt::format("it waited {} while capacity was collected for it", waited);
    }
    return "";
}

uint32_t Explanation::concurrentTasks() const
{
    return m_job.kind == JobKind::Gang ? static_cast<uint32_t>(m_job.queuedTasks.size()) : 1;
}

void Explanation::addWait()
{
    if (m_job.kind == JobKind::Gang && m_job.running) {
        add(fmt::format(
            "All tasks of a gang start together: {} are still being stopped before all start again.", m_job.running));
        return;
    }
    if (addBackOff() || addHours() || addMaxRunning() || addQuota() || addReservation())
        return;
    addCapacity();
}

bool Explanation::addBackOff()
{
    if (m_job.notBefore <= m_now || !m_job.consecutiveFailures)
        return false;
    add(fmt::format(
        "Its tasks failed {} times in a row, so the next try waits another {}. It can start sooner only if the "
        "job is submitted again.",
        m_job.consecutiveFailures, formatRoundedDuration(m_job.notBefore - m_now)));
    return true;
}

bool Explanation::addHours()
{
    if (m_row.isOpenAt(m_minuteOfDay))
        return false;
    const uint32_t start = m_row.row.hours.startMinute;
    const uint32_t minutes = (start + minutesPerDay - m_minuteOfDay) % minutesPerDay;
    add(fmt::format(
        "Row {} starts work only from {} to {} UTC (column hours), and it is {} now. It can start in {}, or "
        "when hours is changed to include the present time.",
        m_row.row.name.value(), clockTime(start), clockTime(m_row.row.hours.endMinute), clockTime(m_minuteOfDay),
        formatRoundedDuration(std::chrono::minutes(minutes))));
    return true;
}

bool Explanation::addMaxRunning()
{
    if (m_row.remainingRunningLimit() >= concurrentTasks())
        return false;
    add(fmt::format(
        "Row {} runs {} tasks and has maxRunning={}; {} more would be needed. It can start when tasks of the "
        "row end, or when maxRunning is raised to at least {}.",
        m_row.row.name.value(), m_row.running, m_row.row.maxRunning, concurrentTasks(),
        m_row.running + concurrentTasks()));
    return true;
}

bool Explanation::addQuota()
{
    const TeamRecord& team = m_state.teams[m_job.team];
    const Resources more = m_job.perTask * concurrentTasks();
    if (m_state.teams.allows(m_job.team, more))
        return false;
    add(fmt::format(
        "Team row {} has {}. It can start when running tasks of the team end, or when that quota is raised.",
        m_state.teams.name(m_job.team).value(), exceededQuotas(team, more)));
    return true;
}

bool Explanation::addReservation()
{
    const Reservation* reservation = m_reservations.find(m_jobIndex);
    if (!reservation)
        return false;
    if (reservation->kind == ReservationKind::Urgent) {
        add(fmt::format("Row {} has urgent=yes: {} tasks wait for preemptible work to be stopped on {} workers.",
            m_row.row.name.value(), m_job.reservedTasks, reservation->allocations.size()));
        return true;
    }
    const char* cause = reservation->kind == ReservationKind::Gang
        ? "All its tasks must start together"
        : "It waited longer than waitBoundMs of its row allows";
    add(fmt::format(
        "{}, so room for {} tasks of {} is reserved on {} workers. By the expected ends of the tasks there, "
        "all of it is free in {}; it starts then.",
        cause, m_job.reservedTasks, formatResources(m_job.perTask), reservation->allocations.size(),
        formatRoundedDuration(std::max(reservation->expectedReadyAt - m_now, Duration::zero()))));
    return true;
}

void Explanation::addCapacity()
{
    if (!m_state.workers.knownCount()) {
        add("No worker has announced itself yet. It can start once one does.");
        return;
    }
    const std::string larger = RefusalCheck(m_state).checkWorkers(m_job);
    if (!larger.empty()) {
        add(larger);
        return;
    }
    uint64_t fittingTasks = 0;
    for (WorkerIndex worker = 0; worker < m_state.workers.size(); ++worker) {
        if (m_state.workers[worker].acceptsTasks())
            fittingTasks += WorkerTable::fitCount(m_job.perTask, m_state.workers.availableFor(worker, m_job.perTask));
    }
    if (fittingTasks >= concurrentTasks()) {
        addQueueOrder();
        return;
    }
    if (m_job.kind == JobKind::Gang) {
        add(fmt::format(
            "All {} tasks of {} must start together, but there is room for {} now. It can start when running "
            "tasks end; capacity is reserved as soon as enough of it is due to become free.",
            concurrentTasks(), formatResources(m_job.perTask), fittingTasks));
    } else {
        addNoCapacity();
    }
    addUnavailableWorkers();
    addPreemption();
}

void Explanation::addNoCapacity()
{
    Resources most;
    Resources reserved;
    for (WorkerIndex worker = 0; worker < m_state.workers.size(); ++worker) {
        const PlacementWorker& record = m_state.workers[worker];
        reserved += record.reserved;
        if (!record.acceptsTasks())
            continue;
        const Resources available = m_state.workers.availableFor(worker, m_job.perTask);
        most.millicores = std::max(most.millicores, available.millicores);
        most.mebibytes = std::max(most.mebibytes, available.mebibytes);
        most.accelerators = std::max(most.accelerators, available.accelerators);
    }
    add(fmt::format(
        "One task needs {}, but no single worker of {} has all of that free; the largest free values of any "
        "worker are {}. It can start when running tasks end or a worker is added.",
        formatResources(m_job.perTask), m_state.workers.knownCount(), formatResources(most)));
    if (reserved != Resources {})
        add(fmt::format("{} are reserved for gangs, overdue and urgent tasks.", formatResources(reserved)));
    add(fmt::format("Row {} has waitBoundMs={}: a job that waits longer gets room reserved.", m_row.row.name.value(),
        m_row.row.waitBound.count() / 1000));
}

void Explanation::addUnavailableWorkers()
{
    uint32_t leaving = 0;
    for (WorkerIndex worker = 0; worker < m_state.workers.size(); ++worker)
        leaving += m_state.workers[worker].isKnown && m_state.workers[worker].isLeaving;
    if (leaving)
        add(fmt::format("{} workers are leaving and take no new tasks.", leaving));
    if (!m_state.workersOnProbation.empty())
        add(fmt::format("{} workers failed most of their tasks and get one probe task at a time.",
            m_state.workersOnProbation.size()));
}

void Explanation::addQueueOrder()
{
    const Row& own = m_row.row;
    for (const RowRecord& other : m_state.rows) {
        if (&other == &m_row || !other.waitingJobs || !other.isOpenAt(m_minuteOfDay))
            continue;
        if (other.row.isUrgent && !own.isUrgent) {
            add(fmt::format("Row {} has urgent=yes and {} waiting jobs, so it goes before row {}.",
                other.row.name.value(), other.waitingJobs, own.name.value()));
        } else if (other.row.priority > own.priority) {
            add(fmt::format("Row {} has priority={} and {} waiting jobs, so it goes before row {} with priority={}.",
                other.row.name.value(), other.row.priority, other.waitingJobs, own.name.value(), own.priority));
        }
    }
    const double share = 100 * m_state.workers.dominantShare(m_row.used);
    add(fmt::format(
        "There is room; it waits for its turn: row {} (priority={}, weight={}) uses {:.1f}% of the cell and "
        "has {} waiting jobs. It would start sooner with a higher priority or weight.",
        own.name.value(), own.priority, own.weight, share, m_row.waitingJobs));
    add(fmt::format("Once a job of the row has waited waitBoundMs={}, every fourth start goes to overdue rows.",
        own.waitBound.count() / 1000));
}

void Explanation::addPreemption()
{
    if (!m_row.row.isUrgent)
        return;
    add(fmt::format(
        "Row {} has urgent=yes: after {} of waiting, tasks of rows with preemptible=yes are stopped for it, if "
        "there are any.",
        m_row.row.name.value(), formatRoundedDuration(m_state.settings.urgentWaitBound / 4)));
}

} // namespace hickoryknot
