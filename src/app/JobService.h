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

/// Submits jobs, tells where they are, cancels and explains them. For the control thread.
class JobService {
public:
    /// A status, or the place to ask instead with what is known here.
    struct StatusAnswer {
        Expected<JobStatus> status;
        std::optional<Redirect> redirect;
    };
    struct ExplainAnswer {
        Expected<std::string> explanation;
        std::optional<Redirect> redirect;
    };
    /// What became of one id of a cancellation: cancelling, or not_open for ended and unknown jobs, or unreachable.
    struct CancelResult {
        JobId job;
        std::string result;
    };

    explicit JobService(ControlContext& context)
        : m_context(context)
    {
    }

    /// Conflict: the request id was used for other content. All else is an outcome.
    void submit(const JobSubmission&, TimePoint now, WallTime wall, std::function<void(Expected<Outcome>)> reply);

    StatusAnswer status(const JobId&) const;

    /// Answers when the job has ended or at `deadline`.
    void wait(const JobId&, TimePoint deadline, TimePoint now, std::function<void(StatusAnswer)> reply);

    void cancel(const CancelBatch&, TimePoint now, WallTime wall, std::function<void(std::vector<CancelResult>)> reply);

    ExplainAnswer explain(const JobId&, TimePoint now, WallTime wall) const;

    /// Answers waiters. At least every 50 ms.
    void tick(TimePoint now);

    /// Answers all waiters at once with what is known.
    void releaseWaiters();

private:
    struct Waiter {
        JobId job;
        TimePoint deadline;
        std::function<void(StatusAnswer)> reply;
    };

    StatusAnswer zoneJobStatus(const JobId&, const ZoneId& home) const;
    StatusAnswer cellJobStatus(const JobId&) const;
    bool hasEnded(const JobId&) const;

    ControlContext& m_context;
    std::vector<Waiter> m_waiters;
};

} // namespace hickoryknot
