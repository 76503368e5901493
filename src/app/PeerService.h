#pragma once

#include <functional>
#include <vector>

#include "app/ControlContext.h"
#include "app/MemberPolicy.h"
#include "protocol/PeerMessage.h"
#include "protocol/PeerReply.h"

namespace hickoryknot {

/// Tells the other hosts of this one, takes in what they tell, and keeps leases and members up to date. For the control
/// thread.
class PeerService {
public:
    /// Sends a message; the completion runs on the control thread with the moment just before the message was sent.
    using Send = std::function<void(
        const HostId&, const PeerMessage&, std::function<void(TimePoint sentAt, Expected<PeerReply>)>)>;

    PeerService(ControlContext& context, Send send)
        : m_context(context)
        , m_send(std::move(send))
    {
    }

    PeerReply heard(const PeerMessage&, TimePoint now);

    /// Sends messages when due and looks after the members of groups that this host leads. At least every 50 ms.
    void tick(TimePoint now);

private:
    PeerMessage makeMessage(TimePoint now);
    std::vector<HostId> chooseTargets();
    void answered(const HostId&, TimePoint sentAt, const Expected<PeerReply>&);
    void reportReachability(const HostId&, bool isReachable);
    void holdOwnLeases(TimePoint now);
    void changeMembers(TimePoint now);
    void changeMembersOf(GroupRunner&, bool zoneOnly, TimePoint now);
    void followZoneRecord(TimePoint now);

    ControlContext& m_context;
    Send m_send;
    uint64_t m_sequence { 0 };
    TimePoint m_nextSend { TimePoint::min() };
    TimePoint m_nextMemberChange { TimePoint::min() };
    std::map<HostId, bool> m_isReachable;
    size_t m_nextOther { 0 };
};

} // namespace hickoryknot
