#include "state/RequestTracker.h"

#include <algorithm>
#include <fmt/format.h>

#include "core/Assert.h"
#include "state/StateFields.h"

namespace hickoryknot {

namespace {

Outcome unknownOutcome(const char* reason, const char* message)
{
    return { .kind = OutcomeKind::Unknown, .reason = reason, .message = message, .response = {} };
}

} // namespace

Error requestIdError(RequestIdStatus idStatus, const RequestId& request)
{
    const auto error = [&](ErrorCode code, const char* message) {
        return Error { .code = code, .message = fmt::format("request id {}: {}", request.value(), message) };
    };
    switch (idStatus) {
    case RequestIdStatus::Conflict:
        return error(ErrorCode::Conflict, "was used before with other content");
    case RequestIdStatus::Expired:
        return error(ErrorCode::Expired, "its time is more than 10 minutes past and its outcome is no longer kept");
    case RequestIdStatus::FutureTimestamp:
        return error(ErrorCode::InvalidArgument, "its time is more than 10 minutes ahead");
    case RequestIdStatus::Full:
        return error(ErrorCode::Overloaded, "there is no room to record it; nothing was started");
    case RequestIdStatus::New:
    case RequestIdStatus::Known:
        break;
    }
    return error(ErrorCode::Internal, "has no error");
}

RequestIdStatus RequestTracker::idStatus(const RequestId& id, uint64_t contentHash, UnixMs nowMs) const
{
    if (const auto* known = find(id))
        return known->contentHash == contentHash ? RequestIdStatus::Known : RequestIdStatus::Conflict;
    if (const auto time = requestTimestamp(id)) {
        if (*time < nowMs - retentionMs)
            return RequestIdStatus::Expired;
        if (*time > nowMs + maxClockSkewMs)
            return RequestIdStatus::FutureTimestamp;
    }
    const bool isFull = m_records.size() >= maxRecords || m_responseBytes >= maxTotalResponseBytes;
    return isFull ? RequestIdStatus::Full : RequestIdStatus::New;
}

const RequestRecord* RequestTracker::find(const RequestId& id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

void RequestTracker::start(const RequestId& id, uint64_t contentHash, const HostId& host, UnixMs deadlineMs)
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

void RequestTracker::openJob(const RequestId& id, uint64_t contentHash, JobNumber job, Outcome accepted)
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

Expected<Outcome> RequestTracker::end(const RequestId& id, Outcome outcome, UnixMs nowMs)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return makeError(ErrorCode::NotFound, fmt::format("request id {} was never started here", id.value()));
    if (found->second.phase == RequestPhase::Started)
        finish(id, found->second, std::move(outcome), nowMs);
    return found->second.outcome;
}

void RequestTracker::closeJob(const RequestId& id, UnixMs nowMs)
{
    const auto found = m_records.find(id);
    if (found != m_records.end() && found->second.phase == RequestPhase::JobOpen)
        finish(id, found->second, found->second.outcome, nowMs);
}

void RequestTracker::finish(const RequestId& id, RequestRecord& record, Outcome outcome, UnixMs nowMs)
{
    // The caller has already received the response; only a resend is affected.
    if (outcome.response.size() > maxResponseLength) {
        outcome.response.clear();
        outcome.message += " The answer was longer than 16 KiB and is not kept.";
    }
    record.outcome = std::move(outcome);
    record.phase = RequestPhase::Ended;
    record.host = {};
    // The record of an id from a fast clock is kept until the id itself counts as expired, so it is never New again.
    record.expiresMs = std::max(nowMs, requestTimestamp(id).value_or(nowMs)) + retentionMs;
    m_responseBytes += record.outcome.response.size();
}

void RequestTracker::abandon(const HostId& host, UnixMs nowMs)
{
    for (auto& [id, record] : m_records) {
        if (record.phase == RequestPhase::Started && record.host == host)
            finish(
                id, record, unknownOutcome("host_lost", "The entry host was lost; the request may have run."), nowMs);
    }
}

void RequestTracker::expire(UnixMs nowMs)
{
    for (auto at = m_records.begin(); at != m_records.end();) {
        auto& [id, record] = *at;
        if (record.phase == RequestPhase::Started && record.expiresMs < nowMs)
            finish(id, record,
                unknownOutcome("outcome_not_recorded", "No outcome was recorded in time; the request may have run."),
                nowMs);
        if (record.phase != RequestPhase::Ended || record.expiresMs >= nowMs) {
            ++at;
            continue;
        }
        m_responseBytes -= record.outcome.response.size();
        at = m_records.erase(at);
    }
}

void RequestTracker::write(FieldWriter& writer) const
{
    // The iteration order of a hash map differs between replicas, but their snapshots must be equal.
    std::vector<const std::pair<const RequestId, RequestRecord>*> sorted;
    sorted.reserve(m_records.size());
    for (const auto& entry : m_records)
        sorted.push_back(&entry);
    std::sort(sorted.begin(), sorted.end(), [](const auto* a, const auto* b) { return a->first < b->first; });
    writer(static_cast<uint64_t>(sorted.size()));
    for (const auto* entry : sorted)
        writer(entry->first, entry->second);
}

void RequestTracker::read(FieldReader& reader)
{
    m_records.clear();
    m_responseBytes = 0;
    uint64_t count = 0;
    reader(count);
    for (uint64_t i = 0; i < count && reader.isOk(); ++i) {
        RequestId id;
        RequestRecord record;
        reader(id, record);
        if (record.phase == RequestPhase::Ended)
            m_responseBytes += record.outcome.response.size();
        m_records.insert_or_assign(std::move(id), std::move(record));
    }
}

} // namespace hickoryknot
