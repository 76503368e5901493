#include "control/CourierDispatcher.h"

#include <algorithm>

#include "app/EventLog.h"
#include "app/SteadyTime.h"
#include "control/HostMessageLinks.h"
#include "core/Hash.h"

namespace hickoryknot {

using namespace workflow;

namespace {

/// Workers that the leader calls itself: at about 20 calls a second each they take a tenth of a processor.
constexpr size_t maxOwnWorkers = 64;
/// A courier that said nothing for this long gets no orders; hosts tell of themselves every 400 ms.
constexpr Duration silentAfter = 1500ms;
/// Time without orders after some went without an answer.
constexpr Duration failurePause = 2s;
/// A courier that has just answered others is alive; only the orders of a lost message went without an answer.
constexpr Duration answeringWithin = 400ms;
/// On top of the courier's own limits for calls to workers: two hops and the time for which answers are gathered.
constexpr Duration orderLimit = 700ms;
constexpr Duration lookMargin = 900ms;
/// An order that waits longer than this before it is handed over is not sent: this process was paused meanwhile, and
/// another may lead.
constexpr Duration longestQueue = 100ms;
constexpr Duration expiryPeriod = 50ms;

} // namespace

CourierDispatcher::CourierDispatcher(
    boost::asio::io_context& io, const HostId& self, HostMessageLinks& links, WorkerClient& own)
    : m_self(self)
    , m_links(links)
    , m_own(own)
    , m_flush(io, [this] { flush(); })
    , m_expiry(io, [this] { expire(steadyNow()); })
{
    m_links.setHandler(HostMessageKind::WorkerResponses, [this](std::string_view bytes) { take(bytes); });
}

CourierDispatcher::~CourierDispatcher() { m_links.setHandler(HostMessageKind::WorkerResponses, nullptr); }

void CourierDispatcher::begin(uint64_t fence)
{
    end();
    m_fence = fence;
}

void CourierDispatcher::end()
{
    m_fence = 0;
    m_couriers.clear();
}

void CourierDispatcher::courierHeard(const HostId& host, TimePoint now)
{
    if (!m_fence || host == m_self)
        return;
    const auto [found, isNew] = m_couriers.try_emplace(host);
    found->second.heardAt = now;
    if (isNew) {
        found->second.answeredAt = now;
        found->second.outbox = { .leader = m_self, .fence = m_fence };
        EventLog::write(
            EventLevel::Info, Event::CourierFound, "a host carries orders to workers", { { "host", host.value() } });
    }
}

HostId CourierDispatcher::courierOf(const WorkerId& worker, TimePoint now) const
{
    if (m_workerCount <= maxOwnWorkers)
        return {};
    HostId best;
    uint64_t highest = 0;
    // The highest hash of worker and host wins, so that a courier that comes or goes moves few workers.
    for (const auto& [host, courier] : m_couriers) {
        if (now - courier.heardAt > silentAfter || now < courier.usableFrom)
            continue;
        const uint64_t hash = hashBytes(worker.value() + host.value());
        if (best.isEmpty() || hash > highest) {
            best = host;
            highest = hash;
        }
    }
    return best;
}

uint64_t CourierDispatcher::enqueue(
    Courier& courier, Duration limit, RequestCompletion orderDone, PollCompletion lookDone)
{
    const TimePoint now = steadyNow();
    const uint64_t number = m_nextNumber++;
    courier.pending.emplace(number,
        Pending { .queuedAt = now,
            .deadline = now + limit,
            .orderDone = std::move(orderDone),
            .lookDone = std::move(lookDone) });
    // Orders of one turn of the event loop share a message.
    m_flush.request(Duration(0));
    m_expiry.request(expiryPeriod);
    return number;
}

void CourierDispatcher::start(const StartRunRequest& order, RequestCompletion completion)
{
    const HostId host = courierOf(order.incarnation.worker, steadyNow());
    if (host.isEmpty())
        return m_own.start(order, std::move(completion));
    Courier& courier = m_couriers.at(host);
    CourierOrders::Start entry { .number = enqueue(courier, orderLimit, std::move(completion), nullptr),
        .order = order };
    // Starts of one step follow each other.
    auto& commands = courier.outbox.commands;
    if (commands.empty() || commands.back() != order.command)
        commands.push_back(order.command);
    entry.command = static_cast<uint32_t>(commands.size() - 1);
    courier.outbox.starts.push_back(std::move(entry));
}

void CourierDispatcher::stop(const StopRunRequest& order, RequestCompletion completion)
{
    const HostId host = courierOf(order.incarnation.worker, steadyNow());
    if (host.isEmpty())
        return m_own.stop(order, std::move(completion));
    Courier& courier = m_couriers.at(host);
    courier.outbox.stops.push_back({ enqueue(courier, orderLimit, std::move(completion), nullptr), order });
}

void CourierDispatcher::poll(const PollRequest& order, PollCompletion completion)
{
    const HostId host = courierOf(order.incarnation.worker, steadyNow());
    if (host.isEmpty())
        return m_own.poll(order, std::move(completion));
    Courier& courier = m_couriers.at(host);
    courier.outbox.looks.push_back(
        { enqueue(courier, order.maxWait + lookMargin, nullptr, std::move(completion)), order });
}

void CourierDispatcher::flush()
{
    const TimePoint now = steadyNow();
    std::vector<Pending> unsent;
    for (auto& [host, courier] : m_couriers) {
        if (courier.outbox.isEmpty())
            continue;
        const CourierOrders orders
            = std::exchange(courier.outbox, CourierOrders { .leader = m_self, .fence = m_fence });
        const uint64_t first = std::min({ orders.starts.empty() ? UINT64_MAX : orders.starts.front().number,
            orders.stops.empty() ? UINT64_MAX : orders.stops.front().number,
            orders.looks.empty() ? UINT64_MAX : orders.looks.front().number });
        const auto oldest = courier.pending.find(first);
        const bool isLate = oldest != courier.pending.end() && now - oldest->second.queuedAt > longestQueue;
        if (!isLate && m_links.send(host, HostMessageKind::WorkerRequests, encodeCourierOrders(orders)))
            continue;
        if (!isLate)
            courier.usableFrom = now + failurePause;
        for (auto item = courier.pending.lower_bound(first); item != courier.pending.end();) {
            unsent.push_back(std::move(item->second));
            item = courier.pending.erase(item);
        }
    }
    // Completions may queue new orders.
    for (auto& pending : unsent)
        finish(pending, WorkerRequestStatus::NotSent, { ErrorCode::Unavailable, "no courier takes orders" });
}

void CourierDispatcher::take(std::string_view bytes)
{
    const auto answers = decodeCourierAnswers(bytes);
    if (!answers) {
        EventLog::write(EventLevel::Warning, Event::RequestRejected, answers.error().message);
        return;
    }
    const auto found = m_couriers.find(answers->courier);
    if (answers->fence != m_fence || found == m_couriers.end())
        return;
    found->second.answeredAt = steadyNow();
    const auto takePending = [&](uint64_t number) -> std::optional<Pending> {
        // A completion may have ended this leadership.
        const auto courier = m_couriers.find(answers->courier);
        if (courier == m_couriers.end())
            return std::nullopt;
        const auto node = courier->second.pending.extract(number);
        return node.empty() ? std::nullopt : std::optional(std::move(node.mapped()));
    };
    for (const auto& [number, answer] : answers->orders) {
        if (auto pending = takePending(number); pending && pending->orderDone)
            pending->orderDone(answer);
    }
    for (const auto& [number, answer] : answers->looks) {
        if (auto pending = takePending(number); pending && pending->lookDone)
            pending->lookDone(answer);
    }
    for (const auto& [number, error] : answers->failedLooks) {
        if (auto pending = takePending(number); pending && pending->lookDone)
            pending->lookDone(tl::unexpected(error));
    }
}

void CourierDispatcher::expire(TimePoint now)
{
    std::vector<Pending> expired;
    bool hasPending = false;
    for (auto& [host, courier] : m_couriers) {
        const auto isOverdue = [now](const auto& item) { return now >= item.second.deadline; };
        const auto overdue = std::count_if(courier.pending.begin(), courier.pending.end(), isOverdue);
        // Its own limits are shorter, so an answer about a silent worker would have come.
        const bool isSilent = overdue && now - courier.answeredAt > answeringWithin;
        if (isSilent)
            courier.usableFrom = now + failurePause;
        // Looks wait long; those of a silent courier go another way at once, since their workers get no work meanwhile.
        for (auto item = courier.pending.begin(); item != courier.pending.end();) {
            if (!isSilent && !isOverdue(*item)) {
                ++item;
                continue;
            }
            expired.push_back(std::move(item->second));
            item = courier.pending.erase(item);
        }
        hasPending = hasPending || !courier.pending.empty();
        if (!overdue)
            continue;
        EventLog::write(EventLevel::Warning, Event::CourierSilent, "a courier leaves orders without an answer",
            { { "host", host.value() }, { "orders", std::to_string(overdue) },
                { "silentMs", std::to_string((now - courier.answeredAt) / 1ms) } });
    }
    if (hasPending)
        m_expiry.request(expiryPeriod);
    for (auto& pending : expired)
        finish(pending, WorkerRequestStatus::NoResponse, { ErrorCode::Timeout, "no answer of the courier" });
}

void CourierDispatcher::finish(Pending& pending, WorkerRequestStatus verdict, const Error& error)
{
    if (pending.orderDone)
        pending.orderDone({ .status = verdict });
    else if (pending.lookDone)
        pending.lookDone(tl::unexpected(error));
}

} // namespace hickoryknot
