#include "state/RequestBook.h"

#include <algorithm>
#include <fmt/format.h>

#include "core/Assert.h"
#include "state/StateFields.h"

namespace hickoryknot {

namespace {

Outcome lostOutcome(const char* reason, const char* sentence)
{
    return { .kind = OutcomeKind::Unknown, .reason = reason, .message = sentence, .response = {} };
}

} // namespace

Error standingError(RequestStanding standing, const RequestId& request)
{
    const auto error = [&](ErrorCode code, const char* sentence) {
        return Error { .code = code, .message = fmt::format("request id {}: {}", request.value(), sentence) };
    };
    switch (standing) {
    case RequestStanding::Conflict:
        return error(ErrorCode::Conflict, "was used before with other content");
    case RequestStanding::Expired:
        return error(ErrorCode::Expired, "its time is more than 10 minutes past and its outcome is no longer kept");
    case RequestStanding::FromFuture:
        return error(ErrorCode::InvalidArgument, "its time is more than 10 minutes ahead");
    case RequestStanding::Full:
        return error(ErrorCode::Overloaded, "there is no room to record it; nothing was started");
    case RequestStanding::New:
    case RequestStanding::Known:
        break;
    }
    return error(ErrorCode::Internal, "has no error");
}

RequestStanding RequestBook::standing(const RequestId& id, uint64_t contentHash, UnixMs nowMs) const
{
    if (const auto* known = find(id))
        return known->contentHash == contentHash ? RequestStanding::Known : RequestStanding::Conflict;
    if (const auto time = timeOfRequest(id)) {
        if (*time < nowMs - retentionMs)
            return RequestStanding::Expired;
        if (*time > nowMs + maxAheadMs)
            return RequestStanding::FromFuture;
    }
    const bool isFull = m_records.size() >= maxRecords || m_answerBytes >= maxAnswerBytes;
    return isFull ? RequestStanding::Full : RequestStanding::New;
}

const RequestRecord* RequestBook::find(const RequestId& id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

void RequestBook::start(const RequestId& id, uint64_t contentHash, const HostId& host, UnixMs deadlineMs)
{
    const bool isNew = m_records
                           .try_emplace(id,
                               RequestRecord { .contentHash = contentHash,
                                   .phase = RequestPhase::Started,
                                   .host = host,
                                   .expiresMs = deadlineMs + outcomeGraceMs })
                           .second;
    HICKORYKNOT_ASSERT(isNew, "only a new request id may start");
}

void RequestBook::openJob(const RequestId& id, uint64_t contentHash, JobNumber job, Outcome accepted)
{
    const bool isNew = m_records
                           .try_emplace(id,
                               RequestRecord { .contentHash = contentHash,
                                   .phase = RequestPhase::JobOpen,
                                   .job = job,
                                   .outcome = std::move(accepted) })
                           .second;
    HICKORYKNOT_ASSERT(isNew, "only a new request id may make a job");
}

Expected<Outcome> RequestBook::end(const RequestId& id, Outcome outcome, UnixMs nowMs)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return makeError(ErrorCode::NotFound, fmt::format("request id {} was never started here", id.value()));
    if (found->second.phase == RequestPhase::Started)
        finish(id, found->second, std::move(outcome), nowMs);
    return found->second.outcome;
}

void RequestBook::closeJob(const RequestId& id, UnixMs nowMs)
{
    const auto found = m_records.find(id);
    if (found != m_records.end() && found->second.phase == RequestPhase::JobOpen)
        finish(id, found->second, found->second.outcome, nowMs);
}

void RequestBook::finish(const RequestId& id, RequestRecord& record, Outcome outcome, UnixMs nowMs)
{
    // The caller has the answer already; only a resend would miss it.
    if (outcome.response.size() > maxAnswerLength) {
        outcome.response.clear();
        outcome.message += " The answer was longer than 16 KiB and is not kept.";
    }
    record.outcome = std::move(outcome);
    record.phase = RequestPhase::Ended;
    record.host = {};
    // An id from a clock ahead stays until its own time has expired, so that it never counts as new again.
    record.expiresMs = std::max(nowMs, timeOfRequest(id).value_or(nowMs)) + retentionMs;
    m_answerBytes += record.outcome.response.size();
}

void RequestBook::abandon(const HostId& host, UnixMs nowMs)
{
    for (auto& [id, record] : m_records) {
        if (record.phase == RequestPhase::Started && record.host == host)
            finish(id, record, lostOutcome("host_lost", "The entry host was lost; the request may have run."), nowMs);
    }
}

void RequestBook::expire(UnixMs nowMs)
{
    for (auto at = m_records.begin(); at != m_records.end();) {
        auto& [id, record] = *at;
        if (record.phase == RequestPhase::Started && record.expiresMs < nowMs)
            finish(id, record,
                lostOutcome("outcome_not_recorded", "No outcome was recorded in time; the request may have run."),
                nowMs);
        if (record.phase != RequestPhase::Ended || record.expiresMs >= nowMs) {
            ++at;
            continue;
        }
        m_answerBytes -= record.outcome.response.size();
        at = m_records.erase(at);
    }
}

void RequestBook::write(FieldWriter& writer) const
{
    // The order of a hash map differs between hosts; bytes must not.
    std::vector<const std::pair<const RequestId, RequestRecord>*> sorted;
    sorted.reserve(m_records.size());
    for (const auto& entry : m_records)
        sorted.push_back(&entry);
    std::sort(sorted.begin(), sorted.end(), [](const auto* a, const auto* b) { return a->first < b->first; });
    writer(static_cast<uint64_t>(sorted.size()));
    for (const auto* entry : sorted)
        writer(entry->first, entry->second);
}

void RequestBook::read(FieldReader& reader)
{
    m_records.clear();
    m_answerBytes = 0;
    uint64_t count = 0;
    reader(count);
    for (uint64_t i = 0; i < count && reader.isOk(); ++i) {
        RequestId id;
        RequestRecord record;
        reader(id, record);
        if (record.phase == RequestPhase::Ended)
            m_answerBytes += record.outcome.response.size();
        m_records.insert_or_assign(std::move(id), std::move(record));
    }
}

} // namespace hickoryknot
