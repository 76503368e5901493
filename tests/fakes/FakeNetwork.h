#pragma once

#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>

#include "core/Ids.h"
#include "core/Time.h"

namespace hickoryknot {

/// Carries messages between hosts with loss, delay, reordering and duplication. Pairs of hosts can be partitioned in
/// one or both directions.
class FakeNetwork {
public:
    struct Message {
        HostId from;
        HostId to;
        std::string bytes;
    };

    explicit FakeNetwork(uint64_t seed)
        : m_random(seed)
    {
    }

    void send(TimePoint now, Message message);

    /// Returns the next message whose delay has passed. Messages between partitioned hosts are dropped.
    std::optional<Message> receive(TimePoint now);

    void partitionOneWay(const HostId& from, const HostId& to) { m_partitioned.emplace(from, to); }
    void partition(const HostId& one, const HostId& other);
    void healAll() { m_partitioned.clear(); }
    bool isPartitioned(const HostId& from, const HostId& to) const { return m_partitioned.contains({ from, to }); }

    unsigned lossPerMille { 0 };
    unsigned duplicatePerMille { 0 };
    Duration minDelay { 1ms };
    Duration maxDelay { 2ms };

private:
    std::multimap<TimePoint, Message> m_inTransit;
    std::set<std::pair<HostId, HostId>> m_partitioned;
    pcg32 m_random;
};

} // namespace hickoryknot
