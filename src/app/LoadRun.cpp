#include "app/LoadRun.h"

#include <algorithm>
#include <cmath>

#include "protocol/ErrorCodec.h"
#include "protocol/JobSubmissionCodec.h"
#include "protocol/OutcomeCodec.h"
#include "protocol/RequestSubmissionCodec.h"

namespace hickoryknot {

namespace {

/// Sends that are due are looked for this often; latencies count from the scheduled time all the same.
constexpr Duration pace = 500us;
/// Beyond the deadline that the host is told, so that its own answer can arrive.
constexpr Duration answerMargin = 1s;
constexpr size_t maxWaiting = 100'000;
/// What each task of a job asks for.
constexpr Resources taskResources { Millicores(1000), Mebibytes(512), Accelerators(0) };

HttpClientSettings makeClientSettings(const LoadSettings& settings)
{
    HttpClientSettings client;
    client.maxConnectionsPerEndpoint = std::max<size_t>(1, settings.connections / settings.entries.size());
    client.maxWaitingPerEndpoint = maxWaiting;
    return client;
}

std::string describe(const HttpClientResult& result, Outcome& outcome)
{
    if (!result.response)
        return std::string("error_") + errorCodeName(result.response.error().code);
    if (auto decoded = decodeOutcome(result.response->body)) {
        outcome = std::move(*decoded);
        return outcomeKindName(outcome.kind);
    }
    return std::string("error_") + errorCodeName(decodeError(result.response->body).code);
}

} // namespace

LoadRun::LoadRun(boost::asio::io_context& io, LoadSettings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_body(m_settings.bodyBytes, 'x')
    , m_client(io, makeClientSettings(m_settings))
    , m_timer(io)
    , m_random(m_settings.seed)
{
    m_log.exceptions(std::ios::failbit | std::ios::badbit);
    if (!m_settings.logFile.empty())
        m_log.open(m_settings.logFile, std::ios::app);
}

LoadReport LoadRun::run()
{
    m_startedAt = Clock::now();
    sendDue();
    while (!isOver() || m_open > 0)
        m_io.run_one();
    m_report.elapsed = std::chrono::duration_cast<Duration>(Clock::now() - m_startedAt);
    return std::move(m_report);
}

bool LoadRun::isOver() const { return Clock::now() - m_startedAt >= m_settings.length; }

void LoadRun::sendDue()
{
    sendDue(m_settings.rate, m_report.requestsSent, false);
    sendDue(m_settings.jobsPerSecond, m_report.jobsSent, true);
    m_timer.expires_after(pace);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error && !isOver())
            sendDue();
    });
}

void LoadRun::sendDue(double perSecond, uint64_t& sent, bool isJob)
{
    const std::chrono::duration<double> elapsed
        = std::min<Clock::duration>(Clock::now() - m_startedAt, m_settings.length);
    const auto due = static_cast<uint64_t>(std::floor(elapsed.count() * perSecond));
    while (sent < due) {
        const std::chrono::duration<double> offset(static_cast<double>(sent) / perSecond);
        ++sent;
        ++m_open;
        send({ .id = nextId(),
            .isJob = isJob,
            .isRepeatable = m_random(100) >= m_settings.notRepeatablePercent,
            .attempt = 1,
            .entry = sent % m_settings.entries.size(),
            .scheduledAt = m_startedAt + std::chrono::duration_cast<Clock::duration>(offset) });
    }
}

void LoadRun::send(Item item)
{
    HttpRequest request { .method = "POST", .target = item.isJob ? "/v1/jobs" : "/v1/requests", .body = encode(item) };
    const auto endpoint = m_settings.entries[item.entry];
    m_client.send(endpoint, std::move(request), m_settings.deadline + answerMargin,
        [this, item = std::move(item)](const HttpClientResult& result) { finish(item, result); });
}

std::string LoadRun::encode(const Item& item) const
{
    if (item.isJob) {
        return encodeJobSubmission({ .request = RequestId(item.id),
            .row = m_settings.row,
            .team = m_settings.team,
            .kind = JobKind::Batch,
            .tasks = m_settings.tasksPerJob,
            .perTask = taskResources,
            .expectedRun = 1s,
            .repeatable = item.isRepeatable,
            .command = m_settings.jobCommand,
            .homeZone = m_settings.homeZone,
            .attempt = item.attempt });
    }
    return encodeRequestSubmission({ .request = RequestId(item.id),
        .row = m_settings.row,
        .team = m_settings.team,
        .repeatable = item.isRepeatable,
        .homeZone = m_settings.homeZone,
        .attempt = item.attempt,
        .deadline = m_settings.deadline,
        .body = m_body });
}

void LoadRun::finish(Item item, const HttpClientResult& result)
{
    Outcome outcome;
    const std::string name = describe(result, outcome);
    if (!result.response && item.attempt <= m_settings.resends) {
        ++m_report.resends;
        ++item.attempt;
        item.entry = (item.entry + 1) % m_settings.entries.size();
        return send(std::move(item));
    }
    --m_open;
    ++(item.isJob ? m_report.jobOutcomes : m_report.requestOutcomes)[name];
    const auto latency = std::chrono::duration_cast<Duration>(Clock::now() - item.scheduledAt);
    (item.isJob ? m_report.jobLatency : m_report.requestLatency).add(latency);
    const bool isWhole
        = item.isJob || outcome.kind != OutcomeKind::Done || outcome.response.find(item.id) != std::string::npos;
    if (m_settings.checksAnswers && !isWhole)
        ++m_report.wrongAnswers;
    if (m_log.is_open()) {
        m_log << item.id << ' ' << (item.isJob ? "job " : "request ")
              << (item.isRepeatable ? "repeatable " : "not_repeatable ") << item.attempt << ' ' << name << ' '
              << (outcome.reason.empty() ? "-" : outcome.reason) << '\n';
    }
}

std::string LoadRun::nextId()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return "load" + std::to_string(m_settings.seed) + "-" + std::to_string(ms) + "-" + std::to_string(m_nextNumber++);
}

} // namespace hickoryknot
