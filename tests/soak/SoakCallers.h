#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>

#include "InvariantChecker.h"
#include "net/HttpClient.h"

namespace hickoryknot::soak {

/// Callers that submit jobs, read their states and cancel some. A call without a definite response is repeated at
/// another entry host. Connections are reused as long as they last.
class SoakCallers {
public:
    SoakCallers(boost::asio::io_context&, InvariantChecker&, std::vector<Endpoint> entries, uint64_t seed,
        double jobsPerSecond);
    ~SoakCallers();

    /// Called about every 10 ms.
    void advance(TimePoint now);
    /// Stops submitting jobs; states of unfinished jobs are still read.
    void stopSubmitting() { m_isEnding = true; }
    /// True if a submission or cancellation has no definite response yet.
    bool hasPendingCalls() const;

    size_t submitted() const { return m_calls.size(); }
    size_t refused() const { return m_refused; }

private:
    struct Call {
        std::string path;
        std::string body;
        size_t entry { 0 };
        int attempts { 0 };
        bool isResolved { false }; // Accepted, refused or given up.
        bool isInFlight { false };
        bool wantsCancel { false };
        bool isCancelResolved { false };
        TimePoint nextAttempt;
        TimePoint nextQuery;
        TimePoint cancelAt;
    };

    void submitNew(TimePoint now);
    void send(const workflow::WorkflowId&, const char* method, std::function<void(const HttpClientResult&)>);
    void submit(const workflow::WorkflowId&, Call&);
    void cancel(const workflow::WorkflowId&, Call&, TimePoint now);
    void queryState(const workflow::WorkflowId&, Call&, TimePoint now);
    std::vector<workflow::StepSpec> randomSteps(bool isSmall);

    boost::asio::io_context& m_io;
    InvariantChecker& m_checker;
    std::vector<Endpoint> m_entries;
    std::mt19937_64 m_random;
    double m_jobsPerSecond;
    HttpClient m_client;
    std::map<workflow::WorkflowId, Call> m_calls;
    TimePoint m_nextSubmission;
    uint64_t m_nextId;
    bool m_isEnding { false };
    size_t m_refused { 0 };
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot::soak
