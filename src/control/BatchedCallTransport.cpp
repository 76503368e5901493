#include "control/BatchedCallTransport.h"

#include <random>

#include "app/EventLog.h"
#include "app/SteadyTime.h"
#include "control/HostMessageLinks.h"
#include "state/FieldReader.h"
#include "state/FieldWriter.h"

namespace hickoryknot {

namespace {

/// Calls and replies within this time are sent in one message; short compared with a commit.
constexpr Duration batchDelay = 3ms;
constexpr Duration expiryPeriod = 25ms;

/// Starts at a random id, so that a late reply to an earlier process with the same host id does not match a new call.
uint64_t randomFirstCallId()
{
    std::random_device device;
    return static_cast<uint64_t>(device()) << 24;
}

} // namespace

BatchedCallTransport::BatchedCallTransport(
    boost::asio::io_context& io, const HostId& self, HostMessageLinks& links, Handler handler)
    : m_self(self)
    , m_links(links)
    , m_handler(std::move(handler))
    , m_flushTimer(io, [this] { flush(); })
    , m_expiryTimer(io, [this] { expire(steadyNow()); })
    , m_nextCallId(randomFirstCallId())
{
    m_links.setHandler(HostMessageKind::Calls, [this](std::string_view bytes) { handleCalls(bytes); });
    m_links.setHandler(HostMessageKind::Replies, [this](std::string_view bytes) { handleReplies(bytes); });
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
    writer(m_self, batch.callIds, batch.payloads);
    return writer.finish();
}

Expected<std::pair<HostId, BatchedCallTransport::Batch>> BatchedCallTransport::decode(std::string_view bytes)
{
    FieldReader reader(bytes);
    HostId from;
    Batch batch;
    reader(from, batch.callIds, batch.payloads);
    if (batch.callIds.size() != batch.payloads.size())
        reader.fail();
    if (auto finished = reader.finish(); !finished)
        return tl::unexpected(finished.error());
    return std::pair(std::move(from), std::move(batch));
}

void BatchedCallTransport::send(const HostId& host, const ControlCall& call, Duration timeout, Completion completion)
{
    const uint64_t callId = m_nextCallId++;
    m_pending.emplace(
        callId, Pending { .host = host, .deadline = steadyNow() + timeout, .completion = std::move(completion) });
    Batch& batch = m_calls[host];
    batch.callIds.push_back(callId);
    batch.payloads.push_back(encodeControlCall(call));
    m_flushTimer.schedule(batchDelay);
    m_expiryTimer.schedule(expiryPeriod);
}

void BatchedCallTransport::handleCalls(std::string_view bytes)
{
    const auto message = decode(bytes);
    if (!message) {
        EventLog::write(EventLevel::Warning, Event::RequestRejected, message.error().message);
        return;
    }
    const auto& [from, batch] = *message;
    for (size_t i = 0; i < batch.payloads.size(); ++i) {
        const auto respond
            = [this, alive = m_isAlive, from = from, callId = batch.callIds[i]](const ControlReply& reply) {
                  if (!*alive)
                      return;
                  Batch& replies = m_replies[from];
                  replies.callIds.push_back(callId);
                  replies.payloads.push_back(encodeControlReply(reply));
                  m_flushTimer.schedule(batchDelay);
              };
        if (const auto call = decodeControlCall(batch.payloads[i])) {
            m_handler(*call, respond);
        } else {
            ControlReply reply;
            reply.status = ControlStatus::Invalid;
            reply.message = call.error().message;
            respond(reply);
        }
    }
}

void BatchedCallTransport::handleReplies(std::string_view bytes)
{
    const auto message = decode(bytes);
    if (!message) {
        EventLog::write(EventLevel::Warning, Event::RequestRejected, message.error().message);
        return;
    }
    const Batch& batch = message->second;
    for (size_t i = 0; i < batch.payloads.size(); ++i) {
        const auto node = m_pending.extract(batch.callIds[i]);
        if (!node.empty())
            node.mapped().completion({ .reply = decodeControlReply(batch.payloads[i]), .mayHaveExecuted = true });
    }
}

void BatchedCallTransport::flush()
{
    for (const auto& [host, batch] : std::exchange(m_replies, {})) {
        if (!m_links.send(host, HostMessageKind::Replies, encode(batch)))
            EventLog::write(EventLevel::Warning, Event::PeerUnreachable, "dropping replies, the host cannot be reached",
                { { "host", host.value() }, { "replies", std::to_string(batch.payloads.size()) } });
    }
    for (const auto& [host, batch] : std::exchange(m_calls, {})) {
        if (m_links.send(host, HostMessageKind::Calls, encode(batch)))
            continue;
        for (const uint64_t callId : batch.callIds) {
            const auto node = m_pending.extract(callId);
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
        m_expiryTimer.schedule(expiryPeriod);
    for (auto& pending : expired)
        pending.completion({ .reply = makeError(ErrorCode::Timeout, "no reply of host " + pending.host.value()),
            .mayHaveExecuted = true });
}

} // namespace hickoryknot
