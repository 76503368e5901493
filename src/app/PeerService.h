#pragma once

#include <functional>
#include <vector>

#include "app/ControlContext.h"
#include "app/MemberPolicy.h"
#include "protocol/PeerMessage.h"
#include "protocol/PeerReply.h"

namespace hickoryknot {

/// Exchanges peer messages with the other hosts, renews leases and updates group membership. Not thread-safe: used only
/// on the control thread.
class PeerService {
public:
    /// Sends a message; the completion runs on the control thread with a time just before the message was sent.
    using Send = std::function<void(
        const HostId&, const PeerMessage&, std::function<void(TimePoint sentAt, Expected<PeerReply>)>)>;

    PeerService(ControlContext& context, Send send)
        : m_context(context)
        , m_send(std::move(send))
    {
    }

    PeerReply onPeerMessage(const PeerMessage&, TimePoint now);

    /// Sends periodic messages and updates the membership of groups that this host leads. Must be called at least every
    /// 50 ms.
    void tick(TimePoint now);

private:
    PeerMessage makeMessage(TimePoint now);
    std::vector<HostId> chooseTargets();
    void onPeerReply(const HostId&, TimePoint sentAt, const Expected<PeerReply>&);
    void reportReachability(const HostId&, bool isReachable);
    void renewOwnLeases(TimePoint now);
    void updateMembership(TimePoint now);
    void updateGroupMembership(GroupRunner&, bool zoneOnly, TimePoint now);
    void applyZoneRecord(TimePoint now);

    ControlContext& m_context;
    Send m_send;
    uint64_t m_sequence { 0 };
    TimePoint m_nextSend { TimePoint::min() };
    TimePoint m_nextMemberChange { TimePoint::min() };
    std::map<HostId, bool> m_isReachable;
    size_t m_nextOther { 0 };
};

} // namespace hickoryknot
