#include "routing/RouterCore.h"

#include <algorithm>
#include <utility>

#include "routing/MessageText.h"

namespace hickoryknot {

bool RouterCore::mayServeRow(const Row& row, TimePoint now) const
{
    return row.cutOff == CutOffRule::Keep || now < tableLease.expiry;
}

std::string RouterCore::cutOffMessage(const Row& row) const
{
    return "this host has not heard from the cell leader and serves only rows whose column cutOff is \"keep\"; row "
        + quoted(row.name.value()) + " has cutOff \"stop\" (table version " + std::to_string(tableLease.tableVersion)
        + ")";
}

bool RouterCore::rejectUnservable(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    if (isDraining) {
        finishWithoutResponse(
            request, "draining", "this host is about to stop and takes no new requests", now, actions);
        return true;
    }
    if (requests.size() > settings.maxRequests) {
        finishWithoutResponse(request, "host_full",
            "this host already holds " + std::to_string(settings.maxRequests) + " requests, its limit", now, actions);
        return true;
    }
    const RouterRow& row = rowOf(request);
    if (!mayServeRow(row.row, now)) {
        finishWithoutResponse(request, "cut_off", cutOffMessage(row.row), now, actions);
        return true;
    }
    if (!row.runningLimit) {
        if (tryForward(request, now, actions))
            return true;
        finishWithoutResponse(request, "max_running",
            "row " + quoted(row.row.name.value()) + " has maxRunning " + std::to_string(row.row.maxRunning)
                + ", which leaves none for this host",
            now, actions);
        return true;
    }
    return false;
}

bool RouterCore::canStartImmediately(const RouterRow& row, TimePoint now)
{
    return row.queue.isEmpty() && row.running < row.runningLimit && pool.hasFreeSlot(now);
}

Duration RouterCore::estimateWait(const RouterRow& row, TimePoint now)
{
    // The row's share of the slots, by weight among the backlogged rows.
    uint64_t weights = row.row.weight;
    for (const uint32_t other : backloggedRows) {
        if (&rows[other] != &row && !rows[other].queue.isEmpty())
            weights += rows[other].row.weight;
    }
    const uint64_t slots = pool.totalSlots(now);
    const uint64_t rowSlots
        = std::min<uint64_t>(slots * row.row.weight / std::max<uint64_t>(weights, 1), row.runningLimit);
    return row.serviceTime.mean(now) * (row.queue.size() + 1) / static_cast<int64_t>(std::max<uint64_t>(rowSlots, 1));
}

bool RouterCore::rejectIfTooLate(RoutedRequest& request, bool canStart, TimePoint now, RouterActions& actions)
{
    const RouterRow& row = rowOf(request);
    const Duration service = row.serviceTime.mean(now);
    if (!settings.usesEarlyRejection || service == 0us)
        return false;
    const Duration wait = canStart ? Duration(0) : estimateWait(row, now);
    const bool exceedsDeadline = now + wait + service > request.deadline;
    if (!exceedsDeadline && wait <= row.row.waitBound)
        return false;
    if (tryForward(request, now, actions))
        return true;

    ++counts.earlyRejections;
    std::string message = "row " + quoted(row.row.name.value()) + ": " + std::to_string(row.queue.size())
        + " requests wait, about " + formatMillis(wait) + " of waiting and " + formatMillis(service) + " of service; ";
    message += exceedsDeadline ? "the deadline leaves " + formatMillis(request.deadline - now)
                               : "the row's waitBoundMs allows " + formatMillis(row.row.waitBound);
    finishWithoutResponse(request, exceedsDeadline ? "deadline" : "wait_bound", std::move(message), now, actions);
    return true;
}

void RouterCore::admit(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    if (rejectUnservable(request, now, actions))
        return;
    const RouterRow& row = rowOf(request);
    const bool canStart = canStartImmediately(row, now);
    if (rejectIfTooLate(request, canStart, now, actions))
        return;
    if (!canStart && row.queue.size() >= row.row.queueBound) {
        if (tryForward(request, now, actions))
            return;
        finishWithoutResponse(request, "queue_full",
            "row " + quoted(row.row.name.value()) + " has " + std::to_string(row.queue.size())
                + " requests waiting on this host; its queueBound is " + std::to_string(row.row.queueBound),
            now, actions);
        return;
    }
    enqueue(request, false);
    dispatch(now, actions);
}

} // namespace hickoryknot
