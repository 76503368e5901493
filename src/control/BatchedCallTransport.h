#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/CallTransport.h"
#include "control/CoalescingTimer.h"

namespace hickoryknot {

class HostMessageLinks;

/// Sends calls between replicas in batches over message links, so that calls of many entry hosts and workers reach the
/// leader in few messages. The leader's CPU cost is mostly per message. Must be used on the io_context's thread.
class BatchedCallTransport final : public CallTransport {
public:
    using Respond = std::function<void(ControlReply)>;
    /// Serves a call of another host; responds once, immediately or later.
    using Handler = std::function<void(const ControlCall&, const Respond&)>;

    BatchedCallTransport(boost::asio::io_context&, const HostId& self, HostMessageLinks&, Handler);
    ~BatchedCallTransport() override;

    void send(const HostId&, const ControlCall&, Duration timeout, Completion) override;

private:
    /// Calls or replies with their call ids. Each payload is encoded separately, so that a corrupt one does not affect
    /// the others.
    struct Batch {
        std::vector<uint64_t> callIds;
        std::vector<std::string> payloads;
    };
    struct Pending {
        HostId host;
        TimePoint deadline;
        Completion completion;
    };

    void handleCalls(std::string_view bytes);
    void handleReplies(std::string_view bytes);
    void flush();
    void expire(TimePoint now);
    std::string encode(const Batch&) const;
    /// Error Corrupt: the bytes are not a valid batch.
    static Expected<std::pair<HostId, Batch>> decode(std::string_view bytes);

    HostId m_self;
    HostMessageLinks& m_links;
    Handler m_handler;
    CoalescingTimer m_flushTimer;
    CoalescingTimer m_expiryTimer;
    std::map<HostId, Batch> m_calls; // To be sent, by destination.
    std::map<HostId, Batch> m_replies; // To be sent, by destination.
    std::map<uint64_t, Pending> m_pending;
    uint64_t m_nextCallId { 1 };
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot
