#include "app/JobService.h"

#include <algorithm>
#include <map>
#include <memory>

#include "app/EventLog.h"
#include "state/CellCommand.h"
#include "state/CommandResult.h"
#include "state/JobNumber.h"
#include "state/ZoneCommand.h"

namespace hickoryknot {

namespace {

constexpr Duration submitDeadline = 5s;

/// Converts the recorded result of a submission to the outcome returned to the caller.
Expected<Outcome> outcomeOfSubmission(const Expected<std::string>& recorded, uint32_t attempt)
{
    if (!recorded) {
        const bool isKnownNotRecorded = recorded.error().code == ErrorCode::Unavailable && attempt <= 1;
        if (isKnownNotRecorded)
            return Outcome { OutcomeKind::NotRun, "home_unreachable",
                "Nothing was recorded: " + recorded.error().message + ".", {} };
        return Outcome { OutcomeKind::Unknown, "home_unreachable",
            "It is not known whether the job was recorded: " + recorded.error().message
                + ". Send the same request id again.",
            {} };
    }
    auto result = decodeCommandResult(*recorded);
    if (!result)
        return tl::unexpected(result.error());
    if (const auto* accepted = std::get_if<JobAccepted>(&*result))
        return Outcome { OutcomeKind::Accepted, "accepted", "The job is recorded as " + accepted->job.value() + ".",
            accepted->job.value() };
    if (const auto* known = std::get_if<RequestKnown>(&*result))
        return known->outcome;
    if (const auto* error = std::get_if<Error>(&*result)) {
        if (error->code == ErrorCode::Expired)
            return Outcome { OutcomeKind::Refused, errorCodeName(error->code), error->message, {} };
        if (error->code == ErrorCode::Overloaded)
            return Outcome { OutcomeKind::NotRun, errorCodeName(error->code), error->message, {} };
        return tl::unexpected(*error);
    }
    return makeError(ErrorCode::Internal, "the log answered a submission with another kind of result");
}

const char* const cancelling = "cancelling";
const char* const notOpen = "not_open";
const char* const unreachable = "unreachable";

/// Collects the results of one cancellation from several groups and replies once all groups have responded.
struct CancelAggregator {
    std::vector<JobService::CancelResult> results;
    size_t pendingGroups { 0 };
    std::function<void(std::vector<JobService::CancelResult>)> reply;

    void onGroupResult(const std::vector<size_t>& indexes, const Expected<std::string>& recorded)
    {
        const auto result = recorded ? decodeCommandResult(*recorded) : tl::unexpected(recorded.error());
        const auto* batch = result ? std::get_if<BatchDone>(&*result) : nullptr;
        for (size_t i = 0; i < indexes.size(); ++i) {
            const char* text = unreachable;
            if (batch)
                text = i < batch->epochs.size() && batch->epochs[i] ? cancelling : notOpen;
            results[indexes[i]].result = text;
        }
        if (!--pendingGroups)
            reply(std::move(results));
    }
};

} // namespace

void JobService::submit(
    const JobSubmission& submission, TimePoint now, WallTime wall, std::function<void(Expected<Outcome>)> reply)
{
    // Rejections that need no log record: unknown rows and rows that this host may not serve now.
    const Row* row = m_context.cell.table().findClass(submission.row);
    if (!row) {
        reply(Outcome { OutcomeKind::Refused, "unknown_row",
            "The table has no class row named " + submission.row.value() + ".", {} });
        return;
    }
    if (!m_context.mayServe(*row, now)) {
        const bool mayBeRecorded = submission.attempt > 1;
        reply(Outcome { mayBeRecorded ? OutcomeKind::Unknown : OutcomeKind::NotRun, "cut_off",
            "This zone is cut off from the cell and row " + row->name.value() + " says cutOff=stop (table version "
                + std::to_string(m_context.cell.table().version()) + ").",
            {} });
        return;
    }
    JobSpec spec = makeJobSpec(submission, row->isRepeatable);
    if (auto checked = checkJobSpec(spec); !checked) {
        reply(tl::unexpected(checked.error()));
        return;
    }

    const uint64_t hash = contentHash(submission);
    const UnixMs atMs = toUnixMs(wall);
    std::string payload = submission.homeZone
        ? encodeZoneCommand(SubmitZoneJob { submission.request, hash, std::move(spec), atMs })
        : encodeCellCommand(SubmitCellJob { submission.request, hash, std::move(spec), atMs });
    const uint32_t attempt = submission.attempt;
    m_context.proposer->propose(m_context.homeTarget(submission.homeZone), std::move(payload),
        Proposer::Repeat::Allowed, now + submitDeadline, now,
        [attempt, reply = std::move(reply)](
            const Expected<std::string>& recorded) { reply(outcomeOfSubmission(recorded, attempt)); });
}

JobService::StatusResponse JobService::status(const JobId& job) const
{
    const auto home = homeOfJob(job);
    if (!home)
        return { makeError(ErrorCode::InvalidArgument,
                     "'" + job.value() + "' is no job id; ids look like cell:12 or <zone>:12"),
            std::nullopt };
    return *home ? zoneJobStatus(job, **home) : cellJobStatus(job);
}

JobService::StatusResponse JobService::zoneJobStatus(const JobId& job, const ZoneId& home) const
{
    if (home != m_context.settings.zone)
        return { makeError(ErrorCode::Unavailable,
                     "zone " + home.value() + ", which keeps job " + job.value() + ", cannot be reached"),
            Redirect { home } };
    auto status = m_context.zone.jobStatus(job);
    if (!status && !m_context.zoneScheduler->isLeader())
        return { std::move(status), Redirect { home } };
    return { std::move(status), std::nullopt };
}

JobService::StatusResponse JobService::cellJobStatus(const JobId& job) const
{
    auto status = m_context.cell.jobStatus(job);
    if (!status) {
        if (m_context.cellController->isLeader())
            return { std::move(status), std::nullopt };
        return { std::move(status), Redirect {} };
    }
    const bool hasEnded = status->phase == JobPhase::Ended;
    // A job with failed tasks is done, too, with another reason.
    const bool isDone = hasEnded && status->outcome && status->outcome->kind == OutcomeKind::Done
        && status->outcome->reason == "finished";
    if (isDone)
        status->succeededTasks = status->tasks;
    if (isDone || !status->zone)
        return { std::move(status), std::nullopt };

    // Otherwise the counts of tasks are known only in the zone that runs, or ran, the job.
    if (*status->zone != m_context.settings.zone) {
        const ZoneId zone = *status->zone;
        return { std::move(status), Redirect { zone } };
    }
    auto detailed = m_context.zone.jobStatus(job);
    if (detailed && hasEnded) {
        status->succeededTasks = detailed->succeededTasks;
        status->failedTasks = detailed->failedTasks;
    } else if (detailed && detailed->phase != JobPhase::Ended) {
        detailed->zone = status->zone;
        detailed->epoch = status->epoch;
        return { std::move(detailed), std::nullopt };
    }
    return { std::move(status), std::nullopt };
}

bool JobService::hasEnded(const JobId& job) const
{
    const auto home = homeOfJob(job);
    if (!home)
        return true;
    const auto status = *home ? m_context.zone.jobStatus(job) : m_context.cell.jobStatus(job);
    return status && status->phase == JobPhase::Ended;
}

void JobService::wait(const JobId& job, TimePoint deadline, TimePoint now, std::function<void(StatusResponse)> reply)
{
    const auto home = homeOfJob(job);
    const bool isInOtherZone = home && *home && **home != m_context.settings.zone;
    if (hasEnded(job) || isInOtherZone || now >= deadline) {
        reply(status(job));
        return;
    }
    m_waiters.push_back({ job, deadline, std::move(reply) });
}

void JobService::tick(TimePoint now)
{
    std::vector<Waiter> ready;
    std::erase_if(m_waiters, [&](Waiter& waiter) {
        if (!hasEnded(waiter.job) && now < waiter.deadline)
            return false;
        ready.push_back(std::move(waiter));
        return true;
    });
    for (auto& waiter : ready)
        waiter.reply(status(waiter.job));
}

void JobService::respondToWaiters()
{
    auto waiters = std::move(m_waiters);
    m_waiters.clear();
    for (auto& waiter : waiters)
        waiter.reply(status(waiter.job));
}

void JobService::cancel(
    const CancelBatch& batch, TimePoint now, WallTime wall, std::function<void(std::vector<CancelResult>)> reply)
{
    // Ids are grouped by home group, so that a batch needs only one log record per group.
    auto aggregator = std::make_shared<CancelAggregator>();
    aggregator->reply = std::move(reply);
    std::vector<size_t> cellIndexes;
    std::vector<uint32_t> cellJobs;
    std::map<ZoneId, std::pair<std::vector<size_t>, std::vector<JobNumber>>> zoneJobs;
    for (const auto& job : batch.jobs) {
        const size_t index = aggregator->results.size();
        aggregator->results.push_back({ job, notOpen });
        const auto home = homeOfJob(job);
        if (!home)
            continue;
        const auto number = parseJobId(job, home->value_or(m_context.settings.zone));
        if (!number)
            continue;
        if (number->isCellJob) {
            cellIndexes.push_back(index);
            cellJobs.push_back(number->number);
        } else {
            auto& [indexes, numbers] = zoneJobs[**home];
            indexes.push_back(index);
            numbers.push_back(*number);
        }
    }
    aggregator->pendingGroups = zoneJobs.size() + (cellJobs.empty() ? 0 : 1);
    if (!aggregator->pendingGroups) {
        aggregator->reply(std::move(aggregator->results));
        return;
    }

    const UnixMs atMs = toUnixMs(wall);
    EventLog::write(EventLevel::Info, Event::JobCancelled, "cancellation of jobs requested",
        { { "jobs", std::to_string(batch.jobs.size()) } });
    if (!cellJobs.empty()) {
        m_context.proposer->propose(m_context.cellTarget(),
            encodeCellCommand(CancelCellJobs { std::move(cellJobs), atMs }), Proposer::Repeat::Allowed,
            now + submitDeadline, now, [aggregator, cellIndexes](const Expected<std::string>& recorded) {
                aggregator->onGroupResult(cellIndexes, recorded);
            });
    }
    for (auto& [zone, jobs] : zoneJobs) {
        const auto indexes = jobs.first;
        auto& numbers = jobs.second;
        m_context.proposer->propose(m_context.zoneTarget(zone),
            encodeZoneCommand(CancelZoneJobs { std::move(numbers), atMs }), Proposer::Repeat::Allowed,
            now + submitDeadline, now, [aggregator, indexes](const Expected<std::string>& recorded) {
                aggregator->onGroupResult(indexes, recorded);
            });
    }
}

JobService::ExplainResponse JobService::explain(const JobId& job, TimePoint now, WallTime wall) const
{
    const auto home = homeOfJob(job);
    if (!home)
        return { makeError(ErrorCode::InvalidArgument,
                     "'" + job.value() + "' is no job id; ids look like cell:12 or <zone>:12"),
            std::nullopt };

    // Jobs are explained by the zone that runs them; jobs without a zone by the cell leader.
    std::optional<ZoneId> zone = *home;
    if (!zone) {
        const auto status = m_context.cell.jobStatus(job);
        if (status && status->phase != JobPhase::Ended)
            zone = status->zone;
    }
    if (!zone) {
        auto explanation = m_context.cellController->explainJob(job, now, wall);
        if (m_context.cellController->isLeader())
            return { std::move(explanation), std::nullopt };
        return { std::move(explanation), Redirect {} };
    }
    if (*zone != m_context.settings.zone)
        return { makeError(ErrorCode::Unavailable,
                     "zone " + zone->value() + ", which runs job " + job.value() + ", cannot be reached"),
            Redirect { *zone } };
    auto explanation = m_context.zoneScheduler->explainJob(job, now, wall);
    // A zone hears of an assignment a moment after the cell has recorded it.
    const bool isNotYetKnown = !explanation && explanation.error().code == ErrorCode::NotFound && !*home;
    if (isNotYetKnown && m_context.cell.jobStatus(job))
        return { m_context.cellController->explainJob(job, now, wall), std::nullopt };
    if (m_context.zoneScheduler->isLeader())
        return { std::move(explanation), std::nullopt };
    return { std::move(explanation), Redirect { *zone } };
}

} // namespace hickoryknot
