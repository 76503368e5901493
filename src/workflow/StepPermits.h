#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Time.h"
#include "workflow/WorkerIncarnation.h"

namespace hickoryknot::workflow {

struct WorkerView;

/// Which workers may run one step, and the tickets that prove it. Which workers are allowed never changes, but a ticket
/// expires and holds for one life only. Workers are named by their numbers on the board, since the planner asks about
/// each worker for each step.
class StepPermits {
public:
    struct Ticket {
        WorkerIncarnation life;
        std::string text;
        TimePoint expiresAt;
    };

    /// Ticket for a start on this life that arrives by `usedAt`; null: none is valid.
    const std::string* ticket(const WorkerView&, TimePoint usedAt) const;

    bool isDenied(uint32_t workerNumber) const { return verdict(workerNumber) == Verdict::Denied; }
    bool isAllowed(uint32_t workerNumber) const { return verdict(workerNumber) == Verdict::Allowed; }
    /// True once an answer has told about this worker, or about any worker.
    bool isKnown(uint32_t workerNumber) const { return verdict(workerNumber) != Verdict::Unknown; }
    bool hasAnswers() const { return !m_verdicts.empty(); }

    /// The ticket was refused by this life; the worker is still allowed.
    void dropTicket(uint32_t workerNumber) { m_tickets.erase(workerNumber); }
    void deny(uint32_t workerNumber);
    void allow(uint32_t workerNumber, const WorkerIncarnation&, std::string ticket, TimePoint expiresAt);

    /// By worker number; some may have expired.
    const std::unordered_map<uint32_t, Ticket>& tickets() const { return m_tickets; }

    /// Workers named in calls without an answer.
    const std::vector<uint32_t>& asked() const { return m_asked; }
    void noteAsked(uint32_t workerNumber) { m_asked.push_back(workerNumber); }
    void noteAllAnswered() { m_asked.clear(); }

private:
    enum class Verdict : uint8_t { Unknown, Denied, Allowed };
    Verdict verdict(uint32_t workerNumber) const
    {
        return workerNumber < m_verdicts.size() ? m_verdicts[workerNumber] : Verdict::Unknown;
    }
    void set(uint32_t workerNumber, Verdict);

    std::vector<Verdict> m_verdicts; // By worker number.
    std::unordered_map<uint32_t, Ticket> m_tickets;
    std::vector<uint32_t> m_asked;
};

} // namespace hickoryknot::workflow
