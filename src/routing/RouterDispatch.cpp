#include "routing/RouterCore.h"

#include <algorithm>
#include <utility>

#include "routing/SentenceText.h"

namespace hickoryknot {

namespace {

// Requests of one row that one dispatch passes over because the only free servers have failed them before.
constexpr size_t maxPassedOver = 4;

} // namespace

void RouterCore::enqueue(RoutedRequest& request, bool isFirst)
{
    RouterRow& row = rowOf(request);
    if (row.queue.isEmpty()) {
        if (std::ranges::find(busyRows, request.row) == busyRows.end())
            busyRows.push_back(request.row);
        rows.turns().rowBecameBusy(request.row);
    }
    request.state = RequestState::Waiting;
    ++waiting;
    if (isFirst)
        row.queue.pushFront(request.ticket);
    else
        row.queue.pushBack(request.ticket, isInQueue());
}

void RouterCore::collectCandidates()
{
    std::erase_if(busyRows, [this](uint32_t row) { return rows[row].queue.isEmpty(); });
    candidates.clear();
    for (const uint32_t row : busyRows) {
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
        const auto row = rows.turns().pick(candidates);
        if (!row)
            return;
        if (!startOneOf(*row, now, actions))
            blockedRows.push_back(*row);
    }
}

bool RouterCore::startOneOf(uint32_t rowIndex, TimePoint now, RouterActions& actions)
{
    std::vector<RequestHandle> passedOver;
    bool hasStarted = false;
    while (passedOver.size() < maxPassedOver) {
        const auto ticket = rows[rowIndex].queue.pop(isInQueue());
        if (!ticket)
            break;
        --waiting;
        RoutedRequest& request = *requests.find(*ticket);
        if (dropIfHopeless(request, now, actions))
            continue;
        const bool mayProbe = request.isRepeatable && !request.attempt;
        const auto server = pool.choose(request.triedServers(), mayProbe, now);
        if (!server) {
            passedOver.push_back(*ticket);
            continue;
        }
        rows.turns().charge(rowIndex, rows[rowIndex].serviceTime.meanOrDefault(), candidates);
        start(request, *server, now, actions);
        hasStarted = true;
        break;
    }
    // Those passed over keep their places.
    for (; !passedOver.empty(); passedOver.pop_back()) {
        rows[rowIndex].queue.pushFront(passedOver.back());
        ++waiting;
    }
    return hasStarted;
}

// Ends a request taken from its queue that must not or cannot be served any more.
bool RouterCore::dropIfHopeless(RoutedRequest& request, TimePoint now, RouterActions& actions)
{
    // Its queue has counted it out already, so it must not be counted out again when it ends.
    const RouterRow& row = rowOf(request);
    const auto drop = [&](const char* reason, std::string sentence) {
        request.state = RequestState::BackingOff;
        giveUp(request, reason, std::move(sentence), now, actions);
        return true;
    };
    if (!row.isListed)
        return drop("row_removed", "row " + quoted(row.row.name.value()) + " was removed from the table");
    if (!servesRow(row.row, now))
        return drop("cut_off", cutOffSentence(row.row));
    if (now >= request.deadline)
        return drop("deadline", "the deadline passed before a slot was free");
    if (!request.attempt && now >= request.waitUntil)
        return drop("wait_bound", "waited " + millis(row.row.waitBound) + ", the row's waitBoundMs");
    if (request.attempt && !pool.hasOther(request.triedServers(), now))
        return drop("server_failed", "every usable server has failed this request");
    const Duration service = row.serviceTime.mean(now);
    if (settings.usesEarlyNotRun && service > 0us && now + service > request.deadline) {
        ++counts.earlyNotRun;
        return drop("deadline",
            "the deadline leaves " + millis(request.deadline - now) + "; requests of row "
                + quoted(row.row.name.value()) + " take about " + millis(service));
    }
    return false;
}

void RouterCore::forwardWaiting(TimePoint now, RouterActions& actions)
{
    const auto hasTarget
        = [this] { return std::ranges::any_of(forwardTargets, [](const auto& target) { return target.freeSlots; }); };
    for (const uint32_t rowIndex : busyRows) {
        std::vector<RequestHandle> kept;
        while (hasTarget()) {
            const auto ticket = rows[rowIndex].queue.pop(isInQueue());
            if (!ticket)
                break;
            --waiting;
            RoutedRequest& request = *requests.find(*ticket);
            request.state = RequestState::BackingOff;
            if (!tryForward(request, now, actions)) {
                request.state = RequestState::Waiting;
                kept.push_back(*ticket);
            }
        }
        for (; !kept.empty(); kept.pop_back()) {
            rows[rowIndex].queue.pushFront(kept.back());
            ++waiting;
        }
    }
}

void RouterCore::dropUnservedRows(TimePoint now, RouterActions& actions)
{
    for (uint32_t i = 0; i < rows.size(); ++i) {
        RouterRow& row = rows[i];
        if (row.isListed && servesRow(row.row, now))
            continue;
        while (const auto ticket = row.queue.pop(isInQueue())) {
            --waiting;
            dropIfHopeless(*requests.find(*ticket), now, actions);
        }
    }
}

} // namespace hickoryknot
