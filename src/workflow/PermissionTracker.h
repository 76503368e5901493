#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Error.h"
#include "workflow/Queue.h"
#include "workflow/SchedulerSettings.h"
#include "workflow/StepPermissions.h"

namespace hickoryknot::workflow {

/// Asks the permission service which of these workers may run a step.
struct PermissionRequest {
    uint64_t id { 0 };
    StepRef step;
    std::vector<WorkerId> workers;
    /// Estimated time that the service needs for the call.
    Duration estimatedCallTime { 0 };
};

struct WorkerPermission {
    WorkerId worker;
    std::string token;
};

struct PermissionResponse {
    std::vector<WorkerPermission> granted;
    std::optional<Duration> validity; // If missing, the validity of the queue applies.
};

/// Permissions of all waiting steps and the pending permission requests. Estimates the fraction of workers that a
/// queue's policy grants, so that requests name neither too few nor too many workers.
class PermissionTracker {
public:
    explicit PermissionTracker(const SchedulerSettings& settings)
        : m_settings(settings)
    {
    }

    void clear();
    /// Drops the permissions and pending requests of a step.
    void removeStep(const StepRef&);

    /// The reference is valid until the next call of a non-const method.
    const StepPermissions& permissionsOf(const StepRef&) const;
    /// Token for a start that is sent now to this incarnation; null if there is no valid one.
    const std::string* token(const StepPermissions& permissions, const TrackedWorker& worker, TimePoint now) const
    {
        return permissions.token(worker, now + m_settings.permissionExpiryMargin);
    }

    /// False if token() is null for all workers.
    bool mayHaveTokens(const StepPermissions& permissions, TimePoint now) const
    {
        return permissions.mayHaveTokens(now + m_settings.permissionExpiryMargin);
    }

    bool isRequestPending(const StepRef&) const;
    /// False while a request for the step is pending or its retry backoff has not passed.
    bool mayRequest(const StepRef&, TimePoint now) const;

    /// Estimated fraction of requested workers that the queue's policy grants, 0..1.
    double grantedFraction(const QueueName&) const;

    /// Registers a request; several for one step may be pending at the same time. The tokens will be valid for the
    /// current incarnations of the workers.
    PermissionRequest addRequest(const StepRef&, const Queue&, const std::vector<const TrackedWorker*>&);
    /// An error means that no response was received.
    void onResponse(const PermissionRequest&, const Expected<PermissionResponse>&, TimePoint now);

    /// A worker rejected a start with its token; a new token must be requested.
    void onTokenRejected(const StepRef&, const TrackedWorker&);

private:
    struct RequestedWorker {
        uint32_t number;
        WorkerIncarnation incarnation;
    };
    struct PendingRequest {
        QueueName queue;
        Duration validity;
        std::vector<RequestedWorker> workers;
    };
    struct Step {
        StepPermissions permissions;
        std::set<uint64_t> pending; // Ids of requests without a response.
        TimePoint nextRequestAt;
    };
    struct GrantStatistics {
        double granted { 0 };
        double requested { 0 };
    };

    const SchedulerSettings& m_settings;
    std::unordered_map<StepRef, Step> m_steps;
    std::map<uint64_t, PendingRequest> m_pending;
    std::map<QueueName, GrantStatistics> m_grantStatistics;
    uint64_t m_nextId { 1 };
};

} // namespace hickoryknot::workflow
