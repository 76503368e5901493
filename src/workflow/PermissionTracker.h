#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/Error.h"
#include "workflow/Queue.h"
#include "workflow/SchedulerSettings.h"
#include "workflow/StepPermits.h"

namespace hickoryknot::workflow {

/// Asks the permission service which of these workers may run a step.
struct PermissionRequest {
    uint64_t id { 0 };
    StepRef step;
    std::vector<WorkerId> workers;
    /// Time that the service needs for this call.
    Duration estimatedCallTime { 0 };
};

struct WorkerPermission {
    WorkerId worker;
    std::string token;
};

struct PermissionResponse {
    std::vector<WorkerPermission> granted;
    std::optional<Duration> validity; // Missing: as the queue says.
};

/// Permissions of all steps that wait, and the calls about them. The share of workers that a queue's policy allows is
/// learnt, so that calls name neither too few nor too many.
class PermissionTracker {
public:
    explicit PermissionTracker(const SchedulerSettings& settings)
        : m_settings(settings)
    {
    }

    void clear();
    /// The step needs no permissions any more.
    void forget(const StepRef&);

    /// What is known of the step; valid until the next call that is not const.
    const StepPermits& of(const StepRef&) const;
    /// Ticket for a start on this life that is sent now; null: none is valid.
    const std::string* ticket(const StepPermits& permits, const WorkerView& view, TimePoint now) const
    {
        return permits.ticket(view, now + m_settings.permitMargin);
    }

    bool isAsking(const StepRef&) const;
    /// False while an answer is due, whichever workers it is about, or a failed call is not yet to be repeated.
    bool mayAsk(const StepRef&, TimePoint now) const;

    /// Share of asked workers that the queue's policy has allowed, 0..1.
    double grantedShare(const QueueName&) const;

    /// Notes a request; several about one step may be open at the same time. Tickets will be valid for the lives that
    /// the workers have now.
    PermissionRequest ask(const StepRef&, const Queue&, const std::vector<const WorkerView*>&);
    /// An error means that no answer came.
    void answered(const PermissionRequest&, const Expected<PermissionResponse>&, TimePoint now);

    /// A worker refused a start with its ticket, so another has to be asked for.
    void refused(const StepRef&, const WorkerView&);

private:
    struct Asked {
        uint32_t number;
        WorkerIncarnation life;
    };
    struct Pending {
        QueueName queue;
        Duration validity;
        std::vector<Asked> workers;
    };
    struct Step {
        StepPermits permits;
        std::set<uint64_t> pending; // Calls without an answer.
        TimePoint mayAskFrom;
    };
    struct Share {
        double allowed { 0 };
        double asked { 0 };
    };

    const SchedulerSettings& m_settings;
    std::map<StepRef, Step> m_steps;
    std::map<uint64_t, Pending> m_pending;
    std::map<QueueName, Share> m_shares;
    uint64_t m_nextId { 1 };
};

} // namespace hickoryknot::workflow
