#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"

namespace hickoryknot {

class GroupRunner;

/// Gets commands recorded by the leader of a group, wherever it is. For the control thread.
class Proposer {
public:
    using Completion = std::function<void(Expected<std::string>)>;

    /// Sends a command to a host's group of that name and completes on the control thread. NotLeader and errors with
    /// wasSent false mean that nothing was proposed.
    using SendProposal = std::function<void(const HostId&, const std::string& group, std::string payload,
        Duration deadline, std::function<void(Expected<std::string>, bool wasSent)>)>;

    /// The host to ask for a group: its leader if known, else any that may know it.
    using FindHost = std::function<std::optional<HostId>()>;

    struct Target {
        /// Name on the wire: cell or zone.
        std::string group;
        /// The local group, or null when another zone's group is meant.
        GroupRunner* local { nullptr };
        FindHost findHost;
    };

    /// A repeatable command may be proposed again when it is not known whether the first proposal took effect.
    enum class Repeat : uint8_t {
        Allowed,
        Forbidden,
    };

    explicit Proposer(SendProposal send)
        : m_send(std::move(send))
    {
    }

    /// Completes once: with the result of the command, Unavailable if it was surely not proposed before the deadline,
    /// or Timeout if it may have taken or may yet take effect.
    void propose(Target, std::string payload, Repeat, TimePoint deadline, TimePoint now, Completion);

    /// Tries pending commands again and ends those past their deadline. At least every 10 ms.
    void tick(TimePoint now);

    size_t pending() const { return m_pending.size(); }

private:
    struct Pending {
        Target target;
        std::string payload;
        Repeat repeat;
        TimePoint deadline;
        TimePoint nextAttempt;
        bool isOnItsWay { false };
        bool mayHaveTakenEffect { false };
        std::string lastError;
        Completion completion;
    };

    void attempt(uint64_t id, TimePoint now);
    void attempted(uint64_t id, Expected<std::string> result, bool mayHaveTakenEffect);
    void finish(uint64_t id, Expected<std::string> result);

    SendProposal m_send;
    std::map<uint64_t, Pending> m_pending;
    uint64_t m_nextId { 1 };
};

} // namespace hickoryknot
