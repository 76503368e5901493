#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Time.h"
#include "workflow/WorkerIncarnation.h"

namespace hickoryknot::workflow {

struct TrackedWorker;

/// The workers that may run one step, and the tokens that prove it. Whether a worker is allowed never changes, but a
/// token expires and is valid for one incarnation only. Workers are identified by their tracker numbers, because the
/// planner checks every worker for every step.
class StepPermissions {
public:
    struct Token {
        WorkerIncarnation incarnation;
        std::string value;
        TimePoint expiresAt;
    };

    /// Token for a start on this incarnation that arrives by `arrivesAt`; null if there is no valid one.
    const std::string* token(const TrackedWorker&, TimePoint arrivesAt) const;

    bool isDenied(uint32_t workerNumber) const { return decision(workerNumber) == Decision::Denied; }
    bool isAllowed(uint32_t workerNumber) const { return decision(workerNumber) == Decision::Allowed; }
    /// True once a response has covered this worker.
    bool isKnown(uint32_t workerNumber) const { return decision(workerNumber) != Decision::Unknown; }
    bool hasResponses() const { return !m_decisions.empty(); }

    /// The incarnation rejected the token; the worker remains allowed.
    void removeToken(uint32_t workerNumber) { m_tokens.erase(workerNumber); }
    void deny(uint32_t workerNumber);
    void allow(uint32_t workerNumber, const WorkerIncarnation&, std::string token, TimePoint expiresAt);

    /// False if no token is valid for a start that arrives by `arrivesAt`.
    bool mayHaveTokens(TimePoint arrivesAt) const { return arrivesAt < m_lastExpiry; }

    /// Numbers of the allowed workers, with or without a token.
    const std::vector<uint32_t>& allowedWorkers() const { return m_allowedWorkers; }

    /// Workers named in pending requests.
    const std::vector<uint32_t>& pendingWorkers() const { return m_pendingWorkers; }
    void addPendingWorker(uint32_t workerNumber) { m_pendingWorkers.push_back(workerNumber); }
    void clearPendingWorkers() { m_pendingWorkers.clear(); }

private:
    enum class Decision : uint8_t { Unknown, Denied, Allowed };
    Decision decision(uint32_t workerNumber) const
    {
        return workerNumber < m_decisions.size() ? m_decisions[workerNumber] : Decision::Unknown;
    }
    void set(uint32_t workerNumber, Decision);

    std::vector<Decision> m_decisions; // Indexed by worker number.
    std::vector<uint32_t> m_allowedWorkers;
    std::unordered_map<uint32_t, Token> m_tokens; // By worker number.
    TimePoint m_lastExpiry { TimePoint::min() }; // Of all tokens so far.
    std::vector<uint32_t> m_pendingWorkers;
};

} // namespace hickoryknot::workflow
