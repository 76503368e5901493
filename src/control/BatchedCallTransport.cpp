#include "control/BatchedCallTransport.h"

#include <random>

#include "app/EventLog.h"
#include "app/SteadyTime.h"
#include "control/HostMessageLinks.h"
#include "state/FieldReader.h"
#include "state/FieldWriter.h"

namespace hickoryknot {

namespace {

/// Calls that come within this time of each other share a message; a fraction of what a record takes.
constexpr Duration gatherTime = 3ms;
constexpr Duration expiryPeriod = 25ms;

/// Numbers of an earlier process under the same id must not be met again by replies that are still on their way.
uint64_t firstNumber()
{
    std::random_device device;
    return static_cast<uint64_t>(device()) << 24;
}

} // namespace

BatchedCallTransport::BatchedCallTransport(
    boost::asio::io_context& io, const HostId& self, HostMessageLinks& links, Handler server)
    : m_self(self)
    , m_links(links)
    , m_server(std::move(server))
    , m_flush(io, [this] { flush(); })
    , m_expiry(io, [this] { expire(steadyNow()); })
    , m_nextNumber(firstNumber())
{
    m_links.setHandler(HostMessageKind::Calls, [this](std::string_view bytes) { takeCalls(bytes); });
    m_links.setHandler(HostMessageKind::Replies, [this](std::string_view bytes) { takeReplies(bytes); });
}

BatchedCallTransport::~BatchedCallTransport()
{
    *m_isAlive = false;
    m_links.setHandler(HostMessageKind::Calls, nullptr);
    m_links.setHandler(HostMessageKind::Replies, nullptr);
}

std::string BatchedCallTransport::encode(const Batch& batch) const
{
    FieldWriter writer;
    writer(m_self, batch.numbers, batch.texts);
    return writer.finish();
}

Expected<std::pair<HostId, BatchedCallTransport::Batch>> BatchedCallTransport::decode(std::string_view bytes)
{
    FieldReader reader(bytes);
    HostId from;
    Batch batch;
    reader(from, batch.numbers, batch.texts);
    if (batch.numbers.size() != batch.texts.size())
        reader.fail();
    if (auto finished = reader.finish(); !finished)
        return tl::unexpected(finished.error());
    return std::pair(std::move(from), std::move(batch));
}

void BatchedCallTransport::send(const HostId& host, const ControlCall& call, Duration limit, Completion completion)
{
    const uint64_t number = m_nextNumber++;
    m_pending.emplace(
        number, Pending { .host = host, .deadline = steadyNow() + limit, .completion = std::move(completion) });
    Batch& batch = m_calls[host];
    batch.numbers.push_back(number);
    batch.texts.push_back(encodeControlCall(call));
    m_flush.request(gatherTime);
    m_expiry.request(expiryPeriod);
}

void BatchedCallTransport::takeCalls(std::string_view bytes)
{
    const auto message = decode(bytes);
    if (!message) {
        EventLog::write(EventLevel::Warning, Event::RequestRejected, message.error().message);
        return;
    }
    const auto& [from, batch] = *message;
    for (size_t i = 0; i < batch.texts.size(); ++i) {
        const auto respond
            = [this, alive = m_isAlive, from = from, number = batch.numbers[i]](const ControlReply& reply) {
                  if (!*alive)
                      return;
                  Batch& replies = m_replies[from];
                  replies.numbers.push_back(number);
                  replies.texts.push_back(encodeControlReply(reply));
                  m_flush.request(gatherTime);
              };
        if (const auto call = decodeControlCall(batch.texts[i])) {
            m_server(*call, respond);
        } else {
            ControlReply reply;
            reply.status = ControlStatus::Invalid;
            reply.message = call.error().message;
            respond(reply);
        }
    }
}

void BatchedCallTransport::takeReplies(std::string_view bytes)
{
    const auto message = decode(bytes);
    if (!message) {
        EventLog::write(EventLevel::Warning, Event::RequestRejected, message.error().message);
        return;
    }
    const Batch& batch = message->second;
    for (size_t i = 0; i < batch.texts.size(); ++i) {
        const auto node = m_pending.extract(batch.numbers[i]);
        if (!node.empty())
            node.mapped().completion({ .reply = decodeControlReply(batch.texts[i]), .mayHaveExecuted = true });
    }
}

void BatchedCallTransport::flush()
{
    for (const auto& [host, batch] : std::exchange(m_replies, {})) {
        if (!m_links.send(host, HostMessageKind::Replies, encode(batch)))
            EventLog::write(EventLevel::Warning, Event::PeerUnreachable, "replies to another host are dropped",
                { { "host", host.value() }, { "replies", std::to_string(batch.texts.size()) } });
    }
    for (const auto& [host, batch] : std::exchange(m_calls, {})) {
        if (m_links.send(host, HostMessageKind::Calls, encode(batch)))
            continue;
        for (const uint64_t number : batch.numbers) {
            const auto node = m_pending.extract(number);
            if (!node.empty())
                node.mapped().completion(
                    { .reply = makeError(ErrorCode::Unavailable, "host " + host.value() + " cannot be reached"),
                        .mayHaveExecuted = false });
        }
    }
}

void BatchedCallTransport::expire(TimePoint now)
{
    std::vector<Pending> expired;
    for (auto item = m_pending.begin(); item != m_pending.end();) {
        if (now < item->second.deadline) {
            ++item;
            continue;
        }
        expired.push_back(std::move(item->second));
        item = m_pending.erase(item);
    }
    if (!m_pending.empty())
        m_expiry.request(expiryPeriod);
    for (auto& pending : expired)
        pending.completion({ .reply = makeError(ErrorCode::Timeout, "no reply of host " + pending.host.value()),
            .mayHaveExecuted = true });
}

} // namespace hickoryknot
