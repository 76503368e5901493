#include <cppunit/extensions/HelperMacros.h>

#include "state/CellState.h"

namespace hickoryknot {

namespace {

constexpr UnixMs startMs = 1'800'000'000'000;

RequestId requestAt(UnixMs atMs, int number)
{
    return RequestId("c-" + std::to_string(atMs) + "-" + std::to_string(number));
}

JobSpec makeSpec(const char* row = "default", bool isRepeatable = true)
{
    return { .row = RowName(row),
        .team = TeamId("t"),
        .perTask = { .millicores = Millicores(1000), .mebibytes = {}, .accelerators = {} },
        .isRepeatable = isRepeatable,
        .command = "run" };
}

} // namespace

class CellStateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CellStateTest);
    CPPUNIT_TEST(resubmissionReturnsSameJob);
    CPPUNIT_TEST(expiredIdsAreNotReused);
    CPPUNIT_TEST(nonRepeatableRequestStartsOnce);
    CPPUNIT_TEST(lostOutcomesAreUnknown);
    CPPUNIT_TEST(fullTrackerRejectsNewIds);
    CPPUNIT_TEST(staleEpochsAreIgnored);
    CPPUNIT_TEST(releaseUsesConfirmedCutOffRule);
    CPPUNIT_TEST(jobRefusedOnlyAfterAllZonesRefuse);
    CPPUNIT_TEST(zoneGroupChangeChecksGeneration);
    CPPUNIT_TEST(corruptSnapshotChangesNothing);
    CPPUNIT_TEST_SUITE_END();

    CellState m_state;

    template <typename Result> Result run(const CellCommand& command)
    {
        const auto result = m_state.execute(command);
        CPPUNIT_ASSERT(std::holds_alternative<Result>(result));
        return std::get<Result>(result);
    }

    ErrorCode runError(const CellCommand& command) { return run<Error>(command).code; }

    uint32_t submit(int number, JobSpec spec = makeSpec())
    {
        run<JobAccepted>(SubmitCellJob {
            .request = requestAt(startMs, number), .contentHash = 1, .spec = std::move(spec), .atMs = startMs });
        return m_state.nextJob() - 1;
    }

    void addZone(const char* zone)
    {
        run<CommandDone>(
            RecordHost { .host = HostId(zone), .zone = ZoneId(zone), .storeId = 1, .incarnation = 1, .atMs = startMs });
    }

    void assign(uint32_t job, uint64_t epoch, const char* zone)
    {
        const auto done = run<BatchDone>(
            AssignCellJobs { .entries = { { .job = job, .epoch = epoch, .zone = ZoneId(zone) } }, .atMs = startMs });
        CPPUNIT_ASSERT_EQUAL(epoch + 1, done.epochs.front());
    }

    void setCutOff(CutOffRule rule)
    {
        Row row;
        row.name = RowName("default");
        row.cutOff = rule;
        const uint64_t base = m_state.table().version();
        const auto result = run<TableChangeResult>(SetTable {
            .change = { .baseVersion = base, .request = RequestId("op" + std::to_string(base)), .rows = { row } },
            .atMs = startMs });
        CPPUNIT_ASSERT(result.isAccepted);
    }

    void release(const char* zone)
    {
        run<BatchDone>(
            ReleaseZone { .zone = ZoneId(zone), .epoch = m_state.findZone(ZoneId(zone))->epoch, .atMs = startMs + 5 });
    }

    // Guards against a resent submission creating a second job.
    void resubmissionReturnsSameJob()
    {
        const SubmitCellJob command {
            .request = requestAt(startMs, 1), .contentHash = 1, .spec = makeSpec(), .atMs = startMs
        };
        const auto first = run<JobAccepted>(command);
        CPPUNIT_ASSERT(run<JobAccepted>(command).job == first.job);
        SubmitCellJob other = command;
        other.contentHash = 2;
        CPPUNIT_ASSERT(runError(other) == ErrorCode::Conflict);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_state.openJobs().size());
        // A resend still returns the same job after its end.
        run<BatchDone>(CancelCellJobs { .jobs = { 1 }, .atMs = startMs + 1000 });
        CPPUNIT_ASSERT(run<JobAccepted>(command).job == first.job);
        run<CommandDone>(Expire { .atMs = startMs + 1000 + retentionMs });
        CPPUNIT_ASSERT(m_state.jobStatus(first.job).has_value());
        run<CommandDone>(Expire { .atMs = startMs + 1001 + retentionMs });
        CPPUNIT_ASSERT(!m_state.jobStatus(first.job).has_value());
        CPPUNIT_ASSERT(runError(command) == ErrorCode::Expired);
    }

    // Guards against a request that runs again after its record expired, also if the caller's clock is ahead.
    void expiredIdsAreNotReused()
    {
        const UnixMs ahead = startMs + retentionMs - 1;
        const StartRequest command { .request = requestAt(ahead, 1),
            .contentHash = 1,
            .host = HostId("h"),
            .deadlineMs = startMs + 100,
            .atMs = startMs };
        run<RequestStarted>(command);
        run<RequestKnown>(EndRequest { .request = command.request, .outcome = {}, .atMs = startMs + 1 });
        for (UnixMs now = startMs; now < startMs + 3 * retentionMs; now += 1000) {
            run<CommandDone>(Expire { .atMs = now });
            StartRequest resend = command;
            resend.atMs = now;
            CPPUNIT_ASSERT(!std::holds_alternative<RequestStarted>(m_state.execute(resend)));
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, m_state.requests().size());
        StartRequest future = command;
        future.request = requestAt(m_state.now() + retentionMs + 1, 2);
        CPPUNIT_ASSERT(runError(future) == ErrorCode::InvalidArgument);
    }

    // Guards against a second start by another host, and against a second outcome replacing the first.
    void nonRepeatableRequestStartsOnce()
    {
        StartRequest command { .request = RequestId("any-form"),
            .contentHash = 1,
            .host = HostId("a"),
            .deadlineMs = startMs + 1000,
            .atMs = startMs };
        run<RequestStarted>(command);
        command.host = HostId("b");
        CPPUNIT_ASSERT(run<RequestKnown>(command).isRunning);
        const Outcome done {
            .kind = OutcomeKind::Done, .reason = "", .message = "", .response = std::string("\0\xff", 2)
        };
        run<RequestKnown>(EndRequest { .request = command.request, .outcome = done, .atMs = startMs + 5 });
        Outcome late = done;
        late.kind = OutcomeKind::NotRun;
        CPPUNIT_ASSERT(
            run<RequestKnown>(EndRequest { .request = command.request, .outcome = late, .atMs = startMs + 6 }).outcome
            == done);
        CPPUNIT_ASSERT(run<RequestKnown>(command).outcome == done);
        CPPUNIT_ASSERT(runError(EndRequest { .request = RequestId("never") }) == ErrorCode::NotFound);
    }

    // Guards against requests that never end after their entry host failed.
    void lostOutcomesAreUnknown()
    {
        addZone("z");
        for (const char* id : { "r1", "r2" })
            run<RequestStarted>(StartRequest { .request = RequestId(id),
                .contentHash = 1,
                .host = HostId(id[1] == '1' ? "z" : "other"),
                .deadlineMs = startMs + 1000,
                .atMs = startMs });
        // A restarted host does not know which requests it had sent.
        run<CommandDone>(RecordHost { .host = HostId("z"), .zone = ZoneId("z"), .storeId = 1, .incarnation = 2 });
        CPPUNIT_ASSERT(m_state.requests().find(RequestId("r1"))->outcome.reason == "host_lost");
        run<CommandDone>(Expire { .atMs = startMs + 1000 + RequestTracker::outcomeGraceMs });
        CPPUNIT_ASSERT(m_state.requests().find(RequestId("r2"))->phase == RequestPhase::Started);
        run<CommandDone>(Expire { .atMs = startMs + 1001 + RequestTracker::outcomeGraceMs });
        CPPUNIT_ASSERT(m_state.requests().find(RequestId("r2"))->outcome.kind == OutcomeKind::Unknown);
    }

    // Guards against unbounded memory use, and against evicting records before they expire.
    void fullTrackerRejectsNewIds()
    {
        const std::string answer(RequestTracker::maxResponseLength, 'x');
        size_t started = 0;
        for (int i = 0; i < 2000; ++i) {
            const auto id = requestAt(startMs, i);
            const auto result = m_state.execute(
                StartRequest { .request = id, .contentHash = 1, .deadlineMs = startMs + 1000, .atMs = startMs });
            if (!std::holds_alternative<RequestStarted>(result)) {
                CPPUNIT_ASSERT(std::get<Error>(result).code == ErrorCode::Overloaded);
                break;
            }
            run<RequestKnown>(EndRequest { .request = id,
                .outcome = { .kind = OutcomeKind::Done, .reason = "", .message = "", .response = answer } });
            ++started;
        }
        CPPUNIT_ASSERT_EQUAL(RequestTracker::maxTotalResponseBytes / RequestTracker::maxResponseLength, started);
        CPPUNIT_ASSERT_EQUAL(answer, m_state.requests().find(requestAt(startMs, 0))->outcome.response);
    }

    // Guards against a zone that finishes or returns a job after the job was reassigned.
    void staleEpochsAreIgnored()
    {
        addZone("east");
        addZone("west");
        const uint32_t job = submit(1);
        assign(job, 0, "east");
        release("east");
        assign(job, 1, "west");
        const FinishCellJobs late { .entries = { { .job = job, .epoch = 1 } }, .atMs = startMs };
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, run<BatchDone>(late).epochs.front());
        const ReturnCellJobs returned { .entries = { { .job = job, .epoch = 1 } }, .atMs = startMs };
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, run<BatchDone>(returned).epochs.front());
        CPPUNIT_ASSERT(m_state.findJob(job)->zone == ZoneId("west"));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, m_state.findJob(job)->epoch);
        // A duplicate release for the previous epoch has no effect.
        assign(submit(2), 0, "east");
        CPPUNIT_ASSERT(runError(ReleaseZone { .zone = ZoneId("east"), .epoch = 1 }) == ErrorCode::Conflict);
    }

    // Guards against moving a job whose zone is cut off and still applies the rule keep.
    void releaseUsesConfirmedCutOffRule()
    {
        addZone("east");
        setCutOff(CutOffRule::Keep);
        const uint32_t job = submit(1);
        const uint32_t once = submit(2, makeSpec("default", false));
        assign(job, 0, "east");
        assign(once, 0, "east");
        setCutOff(CutOffRule::Stop);
        release("east");
        CPPUNIT_ASSERT(m_state.findJob(job)->phase == CellJobPhase::Assigned);
        // Only the current table version can be confirmed.
        CPPUNIT_ASSERT(runError(ConfirmCutOff { .zone = ZoneId("east"), .tableVersion = 2 }) == ErrorCode::Conflict);
        run<CommandDone>(ConfirmCutOff { .zone = ZoneId("east"), .tableVersion = 3 });
        release("east");
        CPPUNIT_ASSERT(m_state.findJob(job)->phase == CellJobPhase::Queued);
        CPPUNIT_ASSERT(m_state.findJob(once)->outcome.kind == OutcomeKind::Unknown);
        // A change back to keep takes effect at once.
        assign(job, 1, "east");
        setCutOff(CutOffRule::Keep);
        release("east");
        CPPUNIT_ASSERT(m_state.findJob(job)->phase == CellJobPhase::Assigned);
    }

    // Guards against refusing a job that another zone could run.
    void jobRefusedOnlyAfterAllZonesRefuse()
    {
        addZone("east");
        addZone("west");
        const uint32_t job = submit(1);
        assign(job, 0, "east");
        run<BatchDone>(ReturnCellJobs {
            .entries = { { .job = job, .epoch = 1, .canNeverRun = true, .reason = "too large" } }, .atMs = startMs });
        CPPUNIT_ASSERT(m_state.findJob(job)->phase == CellJobPhase::Queued);
        assign(job, 1, "west");
        run<BatchDone>(ReturnCellJobs {
            .entries = { { .job = job, .epoch = 2, .canNeverRun = true, .reason = "too large" } }, .atMs = startMs });
        CPPUNIT_ASSERT(m_state.findJob(job)->outcome.kind == OutcomeKind::Refused);
        CPPUNIT_ASSERT(m_state.queuedJobs().empty() && m_state.openJobs().empty());
    }

    // Guards against concurrent changes of one zone group.
    void zoneGroupChangeChecksGeneration()
    {
        addZone("east");
        const SetZoneGroup command { .zone = ZoneId("east"), .members = { HostId("a"), HostId("b") } };
        run<CommandDone>(command);
        CPPUNIT_ASSERT(runError(command) == ErrorCode::Conflict);
        const uint32_t job = submit(1);
        assign(job, 0, "east");
        run<CommandDone>(SetZoneGroup { .zone = ZoneId("east"), .expectedGeneration = 1, .startsEmpty = true });
        CPPUNIT_ASSERT(m_state.findJob(job)->phase == CellJobPhase::Queued);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, m_state.findZone(ZoneId("east"))->epoch);
    }

    // Guards against a partial restore from a corrupt snapshot.
    void corruptSnapshotChangesNothing()
    {
        addZone("east");
        submit(1);
        const auto snapshot = m_state.snapshot();
        const uint64_t digest = m_state.digest();
        for (size_t length = 0; length < snapshot.size(); ++length)
            CPPUNIT_ASSERT(!m_state.restore(std::string_view(snapshot).substr(0, length)));
        CPPUNIT_ASSERT(!m_state.restore(snapshot + "x"));
        CPPUNIT_ASSERT_EQUAL(digest, m_state.digest());
        CPPUNIT_ASSERT(std::get<Error>(*decodeCommandResult(m_state.apply(1, "junk"))).code == ErrorCode::Corrupt);
        CellState other;
        CPPUNIT_ASSERT(other.restore(snapshot).has_value());
        CPPUNIT_ASSERT_EQUAL(digest, other.digest());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellStateTest);

} // namespace hickoryknot
