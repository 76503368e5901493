#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "consensus/Member.h"
#include "core/Error.h"

namespace hickoryknot {

/// The members of a replicated log, sorted by host.
class Membership {
public:
    Membership() = default;
    explicit Membership(std::vector<Member>);
    static Membership fromInitial(const std::vector<InitialMember>&);

    const std::vector<Member>& members() const { return m_members; }
    const Member* find(const HostId&) const;
    bool contains(const HostId& host) const { return find(host); }

    /// True if this host with this store may vote and count for a quorum.
    bool isVoter(const HostId&, StoreId) const;

    size_t voterCount() const;

    /// Number of voters in a majority.
    size_t quorum() const { return voterCount() / 2 + 1; }

    /// Adds or replaces the member of that host.
    void set(Member);
    void remove(const HostId&);

    friend bool operator==(const Membership&, const Membership&) = default;

private:
    std::vector<Member> m_members;
};

/// Encodes a member list for entries of kind Members and for snapshots.
std::string encodeMembership(const Membership&);

/// Corrupt: the bytes are not a member list.
Expected<Membership> decodeMembership(std::string_view);

} // namespace hickoryknot
