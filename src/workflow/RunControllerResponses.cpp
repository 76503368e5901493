// What workers answer to starts, stops and looks.

#include <algorithm>

#include "workflow/RunController.h"

namespace hickoryknot::workflow {

namespace {

/// Longest pause after failed calls to a worker before it is tried again.
constexpr Duration longestPause = 1s;

} // namespace

void RunController::noteAnswer(WorkerView& view, std::optional<WorkerClockMs> clock, TimePoint now)
{
    view.heardAt = std::max(view.heardAt, now);
    view.failedCalls = 0;
    view.waitingSince.reset();
    if (clock)
        view.clock.observed(*clock, now);
}

void RunController::noteFailure(WorkerView& view, TimePoint now)
{
    ++view.failedCalls;
    view.waitingSince.reset();
    const Duration pause = std::min(longestPause, m_settings.retryPause * (1 << std::min(view.failedCalls, 4U)));
    view.usableFrom = now + pause;
}

void RunController::startAnswered(const StartRunRequest& order, const RunResponse& answer, TimePoint now)
{
    const auto found = m_runs.find(order.run);
    WorkerView* view = m_board.find(order.incarnation);
    const bool isOtherLife = answer.startTimeMs && *answer.startTimeMs != order.incarnation.startTimeMs;
    if (isOtherLife)
        m_board.succeeded(order.incarnation, *answer.startTimeMs, now);
    const bool hasFailed
        = answer.status == WorkerRequestStatus::NoResponse || answer.status == WorkerRequestStatus::NotSent;
    if (view && hasFailed)
        noteFailure(*view, now);
    else if (view && !isOtherLife)
        noteAnswer(*view, answer.clock, now);
    if (found == m_runs.end() || found->second.life != order.incarnation)
        return;
    RunView& run = found->second;
    run.isCallInFlight = false;
    // A later life took the order; the run is moved there with the next advance.
    if (isOtherLife && answer.status == WorkerRequestStatus::Done) {
        run.hasLooseStart = true;
        return;
    }
    if (run.phase == RunView::Phase::Ended)
        return;
    switch (answer.status) {
    case WorkerRequestStatus::Done:
        // Several unanswered copies of one start are one run.
        run.hasUnanswered = false;
        confirm(run, now);
        break;
    case WorkerRequestStatus::Outdated:
        // The run was there and has ended; the next look tells how.
        confirm(run, now);
        break;
    case WorkerRequestStatus::NoResponse:
        run.hasUnanswered = true;
        run.hasLooseStart = true;
        run.nextTry = now + m_settings.retryPause;
        break;
    case WorkerRequestStatus::NotSent:
        // Without an earlier start that may be carried out, the task can go elsewhere at once.
        if (run.phase == RunView::Phase::Sent && !run.hasUnanswered)
            return finish(run, RunOutcome::NeverStarted, {}, now);
        run.nextTry = now + m_settings.retryPause;
        break;
    case WorkerRequestStatus::Fenced:
        run.nextTry = now + m_settings.retryPause;
        break;
    case WorkerRequestStatus::Unhealthy:
        if (view)
            noteFailure(*view, now);
        [[fallthrough]];
    case WorkerRequestStatus::LeaseExpired:
    case WorkerRequestStatus::NoCapacity:
    case WorkerRequestStatus::NoPermission:
    case WorkerRequestStatus::WrongIncarnation:
    case WorkerRequestStatus::Invalid:
        if (run.phase == RunView::Phase::Sent)
            refused(run, now);
        break;
    }
}

void RunController::stopAnswered(const StopRunRequest& order, const RunResponse& answer, TimePoint now)
{
    const bool isOtherLife = answer.startTimeMs && *answer.startTimeMs != order.incarnation.startTimeMs;
    if (isOtherLife)
        m_board.succeeded(order.incarnation, *answer.startTimeMs, now);
    if (WorkerView* view = m_board.find(order.incarnation)) {
        if (answer.status == WorkerRequestStatus::NoResponse || answer.status == WorkerRequestStatus::NotSent)
            noteFailure(*view, now);
        else if (!isOtherLife)
            noteAnswer(*view, answer.clock, now);
    }
    const bool isConfirmed = !isOtherLife
        && (answer.status == WorkerRequestStatus::Done || answer.status == WorkerRequestStatus::Outdated);
    const auto stray = m_strays.find(order.run);
    if (stray != m_strays.end() && stray->second.life == order.incarnation) {
        stray->second.isInFlight = false;
        stray->second.nextTry = now + m_settings.retryPause;
        stray->second.isConfirmed = stray->second.isConfirmed || isConfirmed;
    }
    const auto found = m_runs.find(order.run);
    if (found == m_runs.end() || found->second.life != order.incarnation)
        return;
    RunView& run = found->second;
    run.isCallInFlight = false;
    run.nextTry = now + m_settings.retryPause;
    if (!isConfirmed || run.phase != RunView::Phase::Stopping)
        return;
    run.phase = RunView::Phase::Stopped;
    run.presentSince = now;
    m_unsettled.erase(run.run);
}

void RunController::lookAnswered(
    const PollRequest& order, const Expected<PollResponse>& answer, TimePoint sentAt, TimePoint now)
{
    WorkerView* view = m_board.find(order.incarnation);
    if (!view)
        return;
    view->isLookInFlight = false;
    const bool isOtherLife = answer && answer->startTimeMs && *answer->startTimeMs != order.incarnation.startTimeMs;
    if (!answer || isOtherLife) {
        // Further looks would confirm ends of this life to the other one, which would forget its own.
        if (isOtherLife)
            m_board.succeeded(order.incarnation, *answer->startTimeMs, now);
        if (!answer && answer.error().code != ErrorCode::Conflict)
            noteFailure(*view, now);
        view->nextLookAt = std::max(now + m_settings.retryPause, view->usableFrom);
        return;
    }
    noteAnswer(*view, answer->clock, now);
    view->isFenced = true;
    // It answers after it said that it leaves: it is still there.
    if (view->leftAt && sentAt > *view->leftAt)
        view->leftAt = now;
    view->confirmedEnds = std::max(view->confirmedEnds, order.lastRecordedEnd);
    takeListed(*view, *answer, sentAt, now);
    view->nextLookAt = now;
}

void RunController::takeListed(WorkerView& view, const PollResponse& answer, TimePoint sentAt, TimePoint now)
{
    std::set<RunRef> listed;
    for (const auto& item : answer.running) {
        listed.insert(item.run);
        const auto found = m_runs.find(item.run);
        if (found == m_runs.end() || found->second.life != view.life()) {
            // Nothing in the record places it here.
            m_strays.try_emplace(item.run, Stray { .life = view.life(), .nextTry = now });
            continue;
        }
        RunView& run = found->second;
        confirm(run, now);
        if (run.percent != item.percent)
            run.progressAt = now;
        run.percent = item.percent;
        run.checkpoint = item.checkpoint;
    }
    for (const auto& item : answer.ended) {
        listed.insert(item.run);
        if (item.number <= view.seenEnds)
            continue;
        view.seenEnds = item.number;
        const auto found = m_runs.find(item.run);
        // A later life may have taken the start.
        if (found != m_runs.end() && found->second.life.worker == view.life().worker)
            finish(found->second, item.outcome, item.checkpoint, now);
    }
    judgeUnlisted(view, listed, sentAt, now);
    view.hasInheritedRuns = false;
    std::erase_if(m_strays, [&](const auto& stray) {
        return stray.second.life == view.life() && stray.second.isConfirmed && !listed.contains(stray.first);
    });
}

// Judges the runs that are neither listed as present nor as ended.
void RunController::judgeUnlisted(WorkerView& view, const std::set<RunRef>& listed, TimePoint sentAt, TimePoint now)
{
    const auto ofLife = m_runsOfLife.find(view.life());
    if (ofLife == m_runsOfLife.end())
        return;
    const std::vector<RunRef> runs(ofLife->second.begin(), ofLife->second.end());
    for (const auto& ref : runs) {
        RunView& run = m_runs.at(ref);
        if (listed.contains(ref) || !run.maySend())
            continue;
        // With the fence raised by this look, starts of earlier leaders are refused from now on.
        if (run.isInherited)
            finish(run, RunOutcome::NeverStarted, {}, now);
        else if (run.presentSince && *run.presentSince < sentAt)
            finish(run, run.phase == RunView::Phase::Stopped ? RunOutcome::NeverStarted : RunOutcome::Lost, {}, now);
    }
}

} // namespace hickoryknot::workflow
