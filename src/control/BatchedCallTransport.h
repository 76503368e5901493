#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/CallTransport.h"
#include "control/DeferredCall.h"

namespace hickoryknot {

class HostMessageLinks;

/// Calls between hosts that keep state, in batches over message links: what many entry hosts and workers ask of one
/// host reaches the leader in a few messages, and the leader pays for the messages, not for the calls. For one
/// io_context's thread.
class BatchedCallTransport final : public CallTransport {
public:
    using Respond = std::function<void(ControlReply)>;
    /// Serves a call of another host on this one; answers once, later or at once.
    using Handler = std::function<void(const ControlCall&, const Respond&)>;

    BatchedCallTransport(boost::asio::io_context&, const HostId& self, HostMessageLinks&, Handler);
    ~BatchedCallTransport() override;

    void send(const HostId&, const ControlCall&, Duration limit, Completion) override;

private:
    /// Calls or replies, by number; each is encoded by itself, so that one that cannot be read spoils no other.
    struct Batch {
        std::vector<uint64_t> numbers;
        std::vector<std::string> texts;
    };
    struct Pending {
        HostId host;
        TimePoint deadline;
        Completion completion;
    };

    void takeCalls(std::string_view bytes);
    void takeReplies(std::string_view bytes);
    void flush();
    void expire(TimePoint now);
    std::string encode(const Batch&) const;
    /// Corrupt: the bytes are no batch.
    static Expected<std::pair<HostId, Batch>> decode(std::string_view bytes);

    HostId m_self;
    HostMessageLinks& m_links;
    Handler m_server;
    DeferredCall m_flush;
    DeferredCall m_expiry;
    std::map<HostId, Batch> m_calls; // To send.
    std::map<HostId, Batch> m_replies; // To send.
    std::map<uint64_t, Pending> m_pending;
    uint64_t m_nextNumber { 1 };
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot
