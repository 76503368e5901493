#pragma once

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "app/ControlContext.h"
#include "core/Outcome.h"
#include "protocol/CancelBatch.h"
#include "protocol/JobStatus.h"
#include "protocol/JobSubmission.h"

namespace hickoryknot {

/// Submits, cancels and explains jobs and reports their status. Not thread-safe: used only on the control thread.
class JobService {
public:
    /// The status as known on this host; `redirect` names the group whose leader has the current status, if it is
    /// another one.
    struct StatusResponse {
        Expected<JobStatus> status;
        std::optional<Redirect> redirect;
    };
    struct ExplainResponse {
        Expected<std::string> explanation;
        std::optional<Redirect> redirect;
    };
    /// Result for one job id of a cancellation: cancelling, not_open (ended or unknown job) or unreachable.
    struct CancelResult {
        JobId job;
        std::string result;
    };

    explicit JobService(ControlContext& context)
        : m_context(context)
    {
    }

    /// Conflict: the request id was already used with other content. All other results are outcomes.
    void submit(const JobSubmission&, TimePoint now, WallTime wall, std::function<void(Expected<Outcome>)> reply);

    StatusResponse status(const JobId&) const;

    /// Replies when the job has ended, or at `deadline`.
    void wait(const JobId&, TimePoint deadline, TimePoint now, std::function<void(StatusResponse)> reply);

    void cancel(const CancelBatch&, TimePoint now, WallTime wall, std::function<void(std::vector<CancelResult>)> reply);

    ExplainResponse explain(const JobId&, TimePoint now, WallTime wall) const;

    /// Replies to waiters whose job has ended or whose deadline has passed. Must be called at least every 50 ms.
    void tick(TimePoint now);

    /// Replies to all waiters immediately with the current status.
    void respondToWaiters();

private:
    struct Waiter {
        JobId job;
        TimePoint deadline;
        std::function<void(StatusResponse)> reply;
    };

    StatusResponse zoneJobStatus(const JobId&, const ZoneId& home) const;
    StatusResponse cellJobStatus(const JobId&) const;
    bool hasEnded(const JobId&) const;

    ControlContext& m_context;
    std::vector<Waiter> m_waiters;
};

} // namespace hickoryknot
