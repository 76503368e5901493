#include "app/Proposer.h"

#include <vector>

#include "app/GroupRunner.h"

namespace hickoryknot {

namespace {

/// Delay between attempts; an election takes longer than several of these.
constexpr Duration retryDelay = 25ms;

/// Errors of the command itself, which a retry would not change.
bool isFinal(ErrorCode code)
{
    return code == ErrorCode::TooLarge || code == ErrorCode::InvalidArgument || code == ErrorCode::Corrupt;
}

} // namespace

void Proposer::propose(
    Target target, std::string payload, Repeat repeat, TimePoint deadline, TimePoint now, Completion completion)
{
    const uint64_t id = m_nextId++;
    m_pending.emplace(id,
        Pending {
            .target = std::move(target),
            .payload = std::move(payload),
            .repeat = repeat,
            .deadline = deadline,
            .nextAttempt = now,
            .lastError = "no leader is known",
            .completion = std::move(completion),
        });
    attempt(id, now);
}

void Proposer::tick(TimePoint now)
{
    std::vector<uint64_t> ready;
    std::vector<uint64_t> expired;
    for (const auto& [id, pending] : m_pending) {
        if (now >= pending.deadline)
            expired.push_back(id);
        else if (!pending.isInFlight && now >= pending.nextAttempt)
            ready.push_back(id);
    }
    for (const uint64_t id : expired) {
        const Pending& pending = m_pending.at(id);
        const bool isUnresolved = pending.isInFlight || pending.mayHaveTakenEffect;
        finish(id,
            makeError(isUnresolved ? ErrorCode::Timeout : ErrorCode::Unavailable,
                "the " + pending.target.group + " log did not record the command in time: " + pending.lastError));
    }
    for (const uint64_t id : ready)
        attempt(id, now);
}

void Proposer::attempt(uint64_t id, TimePoint now)
{
    Pending& pending = m_pending.at(id);
    pending.nextAttempt = now + retryDelay;

    // Proposes locally if this host leads the group, else sends the command to the host that is expected to lead.
    if (pending.target.local && pending.target.local->group().isLeader()) {
        pending.isInFlight = true;
        pending.target.local->propose(pending.payload, now, [this, id](Expected<std::string> result) {
            const bool isUnresolved = !result && result.error().code == ErrorCode::Unavailable;
            onAttemptResult(id, std::move(result), isUnresolved);
        });
        return;
    }
    const auto host = pending.target.findHost();
    if (!host)
        return;
    pending.isInFlight = true;
    m_send(*host, pending.target.group, pending.payload, pending.deadline - now,
        [this, id](Expected<std::string> result, bool wasSent) {
            const bool isUnresolved = !result && wasSent && result.error().code != ErrorCode::NotLeader;
            onAttemptResult(id, std::move(result), isUnresolved);
        });
}

void Proposer::onAttemptResult(uint64_t id, Expected<std::string> result, bool mayHaveTakenEffect)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    Pending& pending = found->second;
    pending.isInFlight = false;
    if (result || isFinal(result.error().code)) {
        finish(id, std::move(result));
        return;
    }
    pending.lastError = result.error().message;
    pending.mayHaveTakenEffect = pending.mayHaveTakenEffect || mayHaveTakenEffect;
    if (mayHaveTakenEffect && pending.repeat == Repeat::Forbidden)
        finish(id,
            makeError(ErrorCode::Timeout,
                "it is not known whether the " + pending.target.group
                    + " log recorded the command: " + pending.lastError));
}

void Proposer::finish(uint64_t id, Expected<std::string> result)
{
    auto node = m_pending.extract(id);
    node.mapped().completion(std::move(result));
}

} // namespace hickoryknot
