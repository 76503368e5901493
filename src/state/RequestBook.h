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
    Ended, // The outcome is final; kept until `expiresMs`.
};

/// What is known of one request id.
struct RequestRecord {
    uint64_t contentHash { 0 };
    RequestPhase phase { RequestPhase::Ended };
    /// The job it made, if it submitted one.
    JobNumber job {};
    /// The entry host that runs it while it is Started.
    HostId host {};
    /// While Started: after this moment the outcome counts as lost. Once Ended: when the record goes.
    UnixMs expiresMs { 0 };
    Outcome outcome {};
};

/// What a request id means to its home.
enum class RequestStanding : uint8_t {
    New, // Never seen: it may run.
    Known, // Seen with the same content.
    Conflict, // Seen with other content.
    Expired, // Not known and older than the retention: it may have run and must not run again.
    FromFuture, // Its time is so far ahead that a record of it would be kept for too long.
    Full, // No room for another record.
};

/// Why a request id may not start: the error for the caller. Not for New and Known.
Error standingError(RequestStanding, const RequestId&);

/// The request ids of one home with their first outcomes. Ids of the form `<caller>-<unix ms>-<n>` are safe for ever;
/// ids of other forms are known for 10 minutes after their end only. Deterministic.
class RequestBook {
public:
    /// Bounds memory: 2,000 records a second would otherwise fill a node within the retention.
    static constexpr size_t maxRecords = 100000;
    /// Bounds memory: the answers of all records together, in bytes.
    static constexpr size_t maxAnswerBytes = 8ULL * 1024 * 1024;
    /// Longer answers are not kept, in bytes.
    static constexpr size_t maxAnswerLength = 16ULL * 1024;
    /// Callers' clocks may be this far ahead.
    static constexpr UnixMs maxAheadMs = retentionMs;
    /// A started request without outcome counts as unknown this long after its deadline.
    static constexpr UnixMs outcomeGraceMs = 5000;

    RequestStanding standing(const RequestId&, uint64_t contentHash, UnixMs nowMs) const;
    const RequestRecord* find(const RequestId&) const;

    /// Notes that `host` may start the request. The id must be New.
    void start(const RequestId&, uint64_t contentHash, const HostId& host, UnixMs deadlineMs);
    /// Notes the job that the id made. The id must be New.
    void openJob(const RequestId&, uint64_t contentHash, JobNumber, Outcome accepted);

    /// Records the outcome if there is none yet, and returns the first one. NotFound: the id is not known.
    Expected<Outcome> end(const RequestId&, Outcome, UnixMs nowMs);
    /// The job of the id has ended: its record stays for the retention.
    void closeJob(const RequestId&, UnixMs nowMs);

    /// Ends what `host` had started as unknown, because the host is gone.
    void abandon(const HostId& host, UnixMs nowMs);

    /// Drops records past their retention and ends started requests whose outcome never came.
    void expire(UnixMs nowMs);

    size_t size() const { return m_records.size(); }
    void write(FieldWriter&) const;
    void read(FieldReader&);

private:
    void finish(const RequestId&, RequestRecord&, Outcome, UnixMs nowMs);

    std::unordered_map<RequestId, RequestRecord> m_records;
    size_t m_answerBytes { 0 };
};

} // namespace hickoryknot
