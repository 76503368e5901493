#include "routing/RouterCore.h"

#include <algorithm>
#include <utility>

#include "routing/SentenceText.h"

namespace hickoryknot {

bool RouterCore::servesRow(const Row& row, TimePoint now) const
{
    return row.cutOff == CutOffRule::Keep || now < servingRule.expiry;
}

std::string RouterCore::cutOffSentence(const Row& row) const
{
    return "this host has not heard from the cell leader and serves only rows whose column cutOff is \"keep\"; row "
        + quoted(row.name.value()) + " has cutOff \"stop\" (table version " + std::to_string(servingRule.tableVersion)
        + ")";
}

bool RouterCore::answerUnservable(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    if (isDraining) {
        giveUp(request, "draining", "this host is about to stop and takes no new requests", now, actions);
        return true;
    }
    if (requests.size() > settings.maxRequests) {
        giveUp(request, "host_full",
            "this host already holds " + std::to_string(settings.maxRequests) + " requests, its limit", now, actions);
        return true;
    }
    const RouterRow& row = rowOf(request);
    if (!servesRow(row.row, now)) {
        giveUp(request, "cut_off", cutOffSentence(row.row), now, actions);
        return true;
    }
    if (!row.runningLimit) {
        if (tryForward(request, now, actions))
            return true;
        giveUp(request, "max_running",
            "row " + quoted(row.row.name.value()) + " has maxRunning " + std::to_string(row.row.maxRunning)
                + ", which leaves none for this host",
            now, actions);
        return true;
    }
    return false;
}

bool RouterCore::canStartNow(const RouterRow& row, TimePoint now)
{
    return row.queue.isEmpty() && row.running < row.runningLimit && pool.hasFreeSlot(now);
}

Duration RouterCore::expectedWait(const RouterRow& row, TimePoint now)
{
    // The row's part of the slots by weight among the rows that wait.
    uint64_t weights = row.row.weight;
    for (const uint32_t other : busyRows) {
        if (&rows[other] != &row && !rows[other].queue.isEmpty())
            weights += rows[other].row.weight;
    }
    const uint64_t slots = pool.totalSlots(now);
    const uint64_t part = std::min<uint64_t>(slots * row.row.weight / std::max<uint64_t>(weights, 1), row.runningLimit);
    return row.serviceTime.mean(now) * (row.queue.size() + 1) / static_cast<int64_t>(std::max<uint64_t>(part, 1));
}

bool RouterCore::answerTooLate(RoutedRequest& request, bool canStart, TimePoint now, RouterActions& actions)
{
    const RouterRow& row = rowOf(request);
    const Duration service = row.serviceTime.mean(now);
    if (!settings.usesEarlyNotRun || service == 0us)
        return false;
    const Duration wait = canStart ? Duration(0) : expectedWait(row, now);
    const bool missesDeadline = now + wait + service > request.deadline;
    if (!missesDeadline && wait <= row.row.waitBound)
        return false;
    if (tryForward(request, now, actions))
        return true;

    ++counts.earlyNotRun;
    std::string sentence = "row " + quoted(row.row.name.value()) + ": " + std::to_string(row.queue.size())
        + " requests wait, about " + millis(wait) + " of waiting and " + millis(service) + " of service; ";
    sentence += missesDeadline ? "the deadline leaves " + millis(request.deadline - now)
                               : "the row's waitBoundMs allows " + millis(row.row.waitBound);
    giveUp(request, missesDeadline ? "deadline" : "wait_bound", std::move(sentence), now, actions);
    return true;
}

void RouterCore::admit(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    if (answerUnservable(request, now, actions))
        return;
    const RouterRow& row = rowOf(request);
    const bool canStart = canStartNow(row, now);
    if (answerTooLate(request, canStart, now, actions))
        return;
    if (!canStart && row.queue.size() >= row.row.queueBound) {
        if (tryForward(request, now, actions))
            return;
        giveUp(request, "queue_full",
            "row " + quoted(row.row.name.value()) + " has " + std::to_string(row.queue.size())
                + " requests waiting on this host; its queueBound is " + std::to_string(row.row.queueBound),
            now, actions);
        return;
    }
    enqueue(request, false);
    dispatch(now, actions);
}

} // namespace hickoryknot
