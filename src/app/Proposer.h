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

/// Proposes commands to the leader of a group, local or remote. Not thread-safe: used only on the control thread.
class Proposer {
public:
    using Completion = std::function<void(Expected<std::string>)>;

    /// Sends a command to the named group on a host; the completion runs on the control thread. NotLeader, and errors
    /// with wasSent false, mean that nothing was proposed.
    using SendProposal = std::function<void(const HostId&, const std::string& group, std::string payload,
        Duration deadline, std::function<void(Expected<std::string>, bool wasSent)>)>;

    /// Selects the host to send to: the leader of the group if known, else a host that may know the leader.
    using FindHost = std::function<std::optional<HostId>()>;

    struct Target {
        /// Name used on the wire: cell or zone.
        std::string group;
        /// The local group, or null for the group of another zone.
        GroupRunner* local { nullptr };
        FindHost findHost;
    };

    /// Whether a command may be proposed again when it is not known whether the first proposal took effect.
    enum class Repeat : uint8_t {
        Allowed,
        Forbidden,
    };

    explicit Proposer(SendProposal send)
        : m_send(std::move(send))
    {
    }

    /// Calls the completion once: with the result of the command, Unavailable if the command was definitely not
    /// proposed before the deadline, or Timeout if it may have taken effect or may still do so.
    void propose(Target, std::string payload, Repeat, TimePoint deadline, TimePoint now, Completion);

    /// Retries pending commands and fails those past their deadline. Must be called at least every 10 ms.
    void tick(TimePoint now);

    size_t pending() const { return m_pending.size(); }

private:
    struct Pending {
        Target target;
        std::string payload;
        Repeat repeat;
        TimePoint deadline;
        TimePoint nextAttempt;
        bool isInFlight { false };
        bool mayHaveTakenEffect { false };
        std::string lastError;
        Completion completion;
    };

    void attempt(uint64_t id, TimePoint now);
    void onAttemptResult(uint64_t id, Expected<std::string> result, bool mayHaveTakenEffect);
    void finish(uint64_t id, Expected<std::string> result);

    SendProposal m_send;
    std::map<uint64_t, Pending> m_pending;
    uint64_t m_nextId { 1 };
};

} // namespace hickoryknot
