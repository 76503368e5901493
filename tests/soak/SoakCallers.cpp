#include "SoakCallers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "app/SteadyTime.h"

namespace hickoryknot::soak {

using namespace workflow;
using nlohmann::json;

namespace {

constexpr Duration callTimeout = 3s;
constexpr int maxAttempts = 8;
constexpr Duration retryDelay = 200ms;
constexpr Duration queryPeriod = 400ms;

json encodeStep(const StepSpec& step)
{
    json body { { "count", step.count }, { "cpu", step.perTask.millicores.count() },
        { "memMb", step.perTask.mebibytes.count() }, { "estimateMs", step.estimatedRunTime / 1ms } };
    if (!step.dependencies.empty())
        body["after"] = step.dependencies;
    if (step.isGang)
        body["gang"] = true;
    if (step.isCheckpointing)
        body["checkpointing"] = true;
    if (step.maxPerWorker)
        body["maxPerServer"] = step.maxPerWorker;
    return body;
}

} // namespace

SoakCallers::SoakCallers(boost::asio::io_context& io, InvariantChecker& checker, std::vector<Endpoint> entries,
    uint64_t seed, double jobsPerSecond)
    : m_io(io)
    , m_checker(checker)
    , m_entries(std::move(entries))
    , m_random(seed)
    , m_jobsPerSecond(jobsPerSecond)
    , m_client(io, { .maxConnectionsPerEndpoint = 64, .connectTimeout = 500ms })
    , m_nextId(seed << 32)
{
}

SoakCallers::~SoakCallers() { *m_isAlive = false; }

std::vector<StepSpec> SoakCallers::randomSteps(bool isSmall)
{
    std::vector<StepSpec> steps;
    const size_t count = isSmall ? 1 : 1 + m_random() % 3;
    for (size_t i = 0; i < count; ++i) {
        StepSpec step;
        step.count = static_cast<uint32_t>(1 + m_random() % (isSmall ? 3 : 6));
        step.perTask = { .millicores = Millicores(200 + static_cast<int64_t>(m_random() % 1500)),
            .mebibytes = Mebibytes(100 + static_cast<int64_t>(m_random() % 900)),
            .accelerators = {} };
        step.estimatedRunTime = Duration(200'000 + static_cast<int64_t>(m_random() % 1'000'000));
        step.isGang = m_random() % 4 == 0;
        step.isCheckpointing = m_random() % 2 == 0;
        // Not for gangs: the permission policy may allow fewer workers than a gang has members.
        step.maxPerWorker = !step.isGang && m_random() % 6 == 0 ? 1 : 0;
        if (i > 0 && m_random() % 4 != 0)
            step.dependencies = { static_cast<uint32_t>(i - 1) };
        steps.push_back(step);
    }
    return steps;
}

void SoakCallers::submitNew(TimePoint now)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++m_nextId));
    const WorkflowId id(text);
    const bool isSmall = m_random() % 3 != 0;
    const std::string command = "run " + id.value() + std::string(m_random() % 2000, 'x');
    const auto steps = randomSteps(isSmall);
    json body { { "spec", command }, { "steps", json::array() } };
    for (const auto& step : steps)
        body["steps"].push_back(encodeStep(step));
    m_checker.onSubmitted(id, command, steps);
    Call& call = m_calls[id];
    call.path = (isSmall ? "/urgent/" : "/batch/") + id.value();
    call.body = body.dump();
    call.entry = m_random() % m_entries.size();
    call.nextAttempt = now;
    call.wantsCancel = m_random() % 12 == 0;
    call.isCancelResolved = !call.wantsCancel;
    call.cancelAt = now + Duration(static_cast<int64_t>(m_random() % 2'000'000));
}

void SoakCallers::send(const WorkflowId& id, const char* method, std::function<void(const HttpClientResult&)> done)
{
    Call& call = m_calls.at(id);
    call.isInFlight = true;
    HttpRequest request { .method = method,
        .target = call.path,
        .headers = { { "Host", "soak.example" }, { "X-Hickoryknot-Deadline-Ms", std::to_string(callTimeout / 1ms) } } };
    if (request.method == "POST")
        request.body = call.body;
    m_client.send(m_entries[call.entry], std::move(request), callTimeout,
        [this, alive = m_isAlive, id, done = std::move(done)](const HttpClientResult& result) {
            if (!*alive)
                return;
            m_calls.at(id).isInFlight = false;
            done(result);
        });
}

void SoakCallers::submit(const WorkflowId& id, Call& call)
{
    ++call.attempts;
    // Until a response says otherwise, the job may run.
    m_checker.onUncertain(id);
    send(id, "POST", [this, id](const HttpClientResult& result) {
        Call& updated = m_calls.at(id);
        const int status = result.response ? result.response->status : 0;
        updated.nextAttempt = steadyNow() + retryDelay;
        if (status == 200) {
            updated.isResolved = true;
            m_checker.onAccepted(id);
            return;
        }
        if (status == 429 || status == 503) {
            // Definite only for the first attempt; an earlier one may have been committed.
            updated.isResolved = true;
            ++m_refused;
            if (updated.attempts == 1)
                m_checker.onRefused(id);
            return;
        }
        updated.isResolved = updated.attempts >= maxAttempts;
        updated.entry = (updated.entry + 1) % m_entries.size();
    });
}

void SoakCallers::cancel(const WorkflowId& id, Call&, TimePoint now)
{
    if (!m_checker.jobs().at(id).cancelSentAt)
        m_checker.onCancelSent(id, now);
    send(id, "DELETE", [this, id](const HttpClientResult& result) {
        Call& updated = m_calls.at(id);
        const int status = result.response ? result.response->status : 0;
        if (status == 200 || status == 410) {
            updated.isCancelResolved = true;
            m_checker.onCancelAcknowledged(id, steadyNow());
            return;
        }
        updated.cancelAt = steadyNow() + retryDelay;
        updated.entry = (updated.entry + 1) % m_entries.size();
    });
}

void SoakCallers::queryState(const WorkflowId& id, Call& call, TimePoint now)
{
    call.nextQuery = now + queryPeriod;
    send(id, "GET", [this, id](const HttpClientResult& result) {
        Call& updated = m_calls.at(id);
        const int status = result.response ? result.response->status : 0;
        if (status != 200 && status != 410) {
            updated.entry = (updated.entry + 1) % m_entries.size();
            return;
        }
        const auto body = json::parse(result.response->body, nullptr, false);
        m_checker.onStateRead(id, body.is_object() ? body.value("state", "") : "", status == 410);
    });
}

void SoakCallers::advance(TimePoint now)
{
    if (!m_isEnding && now >= m_nextSubmission) {
        submitNew(now);
        const double delay = 2e6 / m_jobsPerSecond * static_cast<double>(m_random() % 1000) / 1000;
        m_nextSubmission = now + Duration(static_cast<int64_t>(delay));
    }
    for (auto& [id, call] : m_calls) {
        if (call.isInFlight)
            continue;
        const auto& job = m_checker.jobs().at(id);
        const bool hasEnded = job.state == "completed" || job.state == "failed" || job.state == "cancelled";
        if (!call.isResolved) {
            if (now >= call.nextAttempt)
                submit(id, call);
        } else if (job.isAccepted && !call.isCancelResolved && now >= call.cancelAt) {
            cancel(id, call, now);
        } else if (job.isAccepted && !hasEnded && now >= call.nextQuery) {
            queryState(id, call, now);
        }
    }
}

bool SoakCallers::hasPendingCalls() const
{
    return std::any_of(m_calls.begin(), m_calls.end(), [&](const auto& item) {
        const bool isCancelPending = m_checker.jobs().at(item.first).isAccepted && !item.second.isCancelResolved;
        return !item.second.isResolved || isCancelPending;
    });
}

} // namespace hickoryknot::soak
