#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Outcome.h"
#include "state/JobNumber.h"
#include "state/RequestTime.h"

namespace hickoryknot {

class FieldReader;
class FieldWriter;

enum class RequestPhase : uint8_t {
    Started, // An entry host may have sent it to a backend server.
    JobOpen, // A job was accepted and has not ended.
    Ended, // The outcome is final and is kept until `expiresMs`.
};

/// Record of one request id.
struct RequestRecord {
    uint64_t contentHash { 0 };
    RequestPhase phase { RequestPhase::Ended };
    /// The job that it submitted, if any.
    JobNumber job {};
    /// The entry host that runs it while it is Started.
    HostId host {};
    /// While Started: when the request ends as unknown. Once Ended: when the record is removed.
    UnixMs expiresMs { 0 };
    Outcome outcome {};
};

/// Result of looking up a request id for deduplication.
enum class RequestIdStatus : uint8_t {
    New, // Not recorded: the request may run.
    Known, // Recorded with the same content.
    Conflict, // Recorded with other content.
    Expired, // Not recorded and older than the retention time: it may have run and must not run again.
    FutureTimestamp, // More than `maxClockSkewMs` ahead: its record would be kept for too long.
    Full, // The limit on records or response bytes is reached.
};

/// The error to return to the caller for a rejected request id. Not for New and Known.
Error requestIdError(RequestIdStatus, const RequestId&);

/// Deduplicates requests by id and keeps their first outcomes. Ids of the form `<caller>-<unix ms>-<n>` never run
/// twice; ids of other forms are deduplicated until 10 minutes after their end. Deterministic.
class RequestTracker {
public:
    /// Bounds memory: 2,000 records a second would exhaust a host within the retention time.
    static constexpr size_t maxRecords = 100000;
    /// Bounds memory: responses of all records together, in bytes.
    static constexpr size_t maxTotalResponseBytes = 8ULL * 1024 * 1024;
    /// Longer responses are not kept, in bytes.
    static constexpr size_t maxResponseLength = 16ULL * 1024;
    /// How far the clock of a caller may be ahead.
    static constexpr UnixMs maxClockSkewMs = retentionMs;
    /// A started request without an outcome ends as unknown this long after its deadline.
    static constexpr UnixMs outcomeGraceMs = 5000;

    RequestIdStatus idStatus(const RequestId&, uint64_t contentHash, UnixMs nowMs) const;
    const RequestRecord* find(const RequestId&) const;

    /// Records that `host` may start the request. The id must be New.
    void start(const RequestId&, uint64_t contentHash, const HostId& host, UnixMs deadlineMs);
    /// Records the job that the request submitted. The id must be New.
    void openJob(const RequestId&, uint64_t contentHash, JobNumber, Outcome accepted);

    /// Records the outcome if there is none yet, and returns the first one. NotFound: the id is not recorded.
    Expected<Outcome> end(const RequestId&, Outcome, UnixMs nowMs);
    /// The job of the request has ended: starts the retention time of the record.
    void closeJob(const RequestId&, UnixMs nowMs);

    /// Ends all requests that `host` had started as unknown.
    void abandon(const HostId& host, UnixMs nowMs);

    /// Removes records past their retention time and ends started requests that got no outcome in time.
    void expire(UnixMs nowMs);

    size_t size() const { return m_records.size(); }
    void write(FieldWriter&) const;
    void read(FieldReader&);

private:
    void finish(const RequestId&, RequestRecord&, Outcome, UnixMs nowMs);

    std::unordered_map<RequestId, RequestRecord> m_records;
    size_t m_responseBytes { 0 };
};

} // namespace hickoryknot
