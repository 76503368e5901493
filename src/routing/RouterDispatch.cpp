#include "routing/RouterCore.h"

#include <algorithm>
#include <utility>

#include "routing/MessageText.h"

namespace hickoryknot {

namespace {

// Limit of requests of one row that one dispatch skips because the only free servers have failed them before.
constexpr size_t maxSkippedRequests = 4;

} // namespace

void RouterCore::enqueue(RoutedRequest& request, bool isFirst)
{
    RouterRow& row = rowOf(request);
    if (row.queue.isEmpty()) {
        if (std::ranges::find(backloggedRows, request.row) == backloggedRows.end())
            backloggedRows.push_back(request.row);
        rows.scheduler().activateRow(request.row);
    }
    request.state = RequestState::Waiting;
    ++waiting;
    if (isFirst)
        row.queue.pushFront(request.handle);
    else
        row.queue.pushBack(request.handle, isInQueue());
}

void RouterCore::collectCandidates()
{
    std::erase_if(backloggedRows, [this](uint32_t row) { return rows[row].queue.isEmpty(); });
    candidates.clear();
    for (const uint32_t row : backloggedRows) {
        const bool isBlocked = std::ranges::find(blockedRows, row) != blockedRows.end();
        if (!isBlocked && rows[row].running < rows[row].runningLimit)
            candidates.push_back(row);
    }
}

void RouterCore::dispatch(TimePoint now, RouterActions& actions)
{
    if (!waiting)
        return;
    if (!pool.totalSlots(now))
        forwardWaiting(now, actions);
    blockedRows.clear();
    while (waiting && pool.hasFreeSlot(now)) {
        collectCandidates();
        const auto row = rows.scheduler().pick(candidates);
        if (!row)
            return;
        if (!startNextOfRow(*row, now, actions))
            blockedRows.push_back(*row);
    }
}

bool RouterCore::startNextOfRow(uint32_t rowIndex, TimePoint now, RouterActions& actions)
{
    std::vector<RequestHandle> skipped;
    bool hasStarted = false;
    while (skipped.size() < maxSkippedRequests) {
        const auto handle = rows[rowIndex].queue.pop(isInQueue());
        if (!handle)
            break;
        --waiting;
        RoutedRequest& request = *requests.find(*handle);
        if (endIfUnservable(request, now, actions))
            continue;
        const bool mayProbe = request.isRepeatable && !request.attempt;
        const auto server = pool.choose(request.triedServers(), mayProbe, now);
        if (!server) {
            skipped.push_back(*handle);
            continue;
        }
        rows.scheduler().charge(rowIndex, rows[rowIndex].serviceTime.meanOrDefault(), candidates);
        start(request, *server, now, actions);
        hasStarted = true;
        break;
    }
    // Skipped requests keep their position in the queue.
    for (; !skipped.empty(); skipped.pop_back()) {
        rows[rowIndex].queue.pushFront(skipped.back());
        ++waiting;
    }
    return hasStarted;
}

// Ends a request popped from its queue if it must not or cannot be served any more.
bool RouterCore::endIfUnservable(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    // The request has already left its queue, so finish() must not subtract it again from the queue size.
    const RouterRow& row = rowOf(request);
    const auto end = [&](const char* reason, std::string message) {
        request.state = RequestState::Idle;
        finishWithoutResponse(request, reason, std::move(message), now, actions);
        return true;
    };
    if (!row.isListed)
        return end("row_removed", "row " + quoted(row.row.name.value()) + " was removed from the table");
    if (!mayServeRow(row.row, now))
        return end("cut_off", cutOffMessage(row.row));
    if (now >= request.deadline)
        return end("deadline", "the deadline passed before a slot was free");
    if (!request.attempt && now >= request.waitDeadline)
        return end("wait_bound", "waited " + formatMillis(row.row.waitBound) + ", the row's waitBoundMs");
    if (request.attempt && !pool.hasUsableServer(request.triedServers(), now))
        return end("server_failed", "every usable server has failed this request");
    const Duration service = row.serviceTime.mean(now);
    if (settings.usesEarlyRejection && service > 0us && now + service > request.deadline) {
        ++counts.earlyRejections;
        return end("deadline",
            "the deadline leaves " + formatMillis(request.deadline - now) + "; requests of row "
                + quoted(row.row.name.value()) + " take about " + formatMillis(service));
    }
    return false;
}

void RouterCore::forwardWaiting(TimePoint now, RouterActions& actions)
{
    const auto hasTarget
        = [this] { return std::ranges::any_of(forwardTargets, [](const auto& target) { return target.freeSlots; }); };
    for (const uint32_t rowIndex : backloggedRows) {
        std::vector<RequestHandle> kept;
        while (hasTarget()) {
            const auto handle = rows[rowIndex].queue.pop(isInQueue());
            if (!handle)
                break;
            --waiting;
            RoutedRequest& request = *requests.find(*handle);
            request.state = RequestState::Idle;
            if (!tryForward(request, now, actions)) {
                request.state = RequestState::Waiting;
                kept.push_back(*handle);
            }
        }
        for (; !kept.empty(); kept.pop_back()) {
            rows[rowIndex].queue.pushFront(kept.back());
            ++waiting;
        }
    }
}

void RouterCore::endUnservedRows(TimePoint now, RouterActions& actions)
{
    for (uint32_t i = 0; i < rows.size(); ++i) {
        RouterRow& row = rows[i];
        if (row.isListed && mayServeRow(row.row, now))
            continue;
        while (const auto handle = row.queue.pop(isInQueue())) {
            --waiting;
            endIfUnservable(*requests.find(*handle), now, actions);
        }
    }
}

} // namespace hickoryknot
