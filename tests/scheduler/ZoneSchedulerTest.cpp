#include <cppunit/extensions/HelperMacros.h>

#include "FirstFitPlacer.h"
#include "lease/LeaseBound.h"
#include "scheduler/ZoneScheduler.h"

namespace hickoryknot {

class ZoneSchedulerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ZoneSchedulerTest);
    CPPUNIT_TEST(startsOnlyWhatIsCommitted);
    CPPUNIT_TEST(unconfirmedLeaderGrantsNoLease);
    CPPUNIT_TEST(leaseNeverOutlastsTheConfirmation);
    CPPUNIT_TEST(cellJobsThatStopNeedTheZoneLease);
    CPPUNIT_TEST(cutOffZonePlacesNothingOfStopRows);
    CPPUNIT_TEST(silentWorkerLosesTasksOnlyAfterLeaseAndDrift);
    CPPUNIT_TEST(newLeaderWaitsForInheritedLeases);
    CPPUNIT_TEST(endsAreAcknowledgedOnceRecorded);
    CPPUNIT_TEST(replacedLeaderLeavesLaterAssignmentsAlone);
    CPPUNIT_TEST(newCutOffRuleWaitsForOlderLeases);
    CPPUNIT_TEST(lostStartIsPlacedAnew);
    CPPUNIT_TEST(leavingWorkerGetsNothingNew);
    CPPUNIT_TEST(cancelledTasksAreStopped);
    CPPUNIT_TEST(jobThatNoWorkerCanRunIsRefused);
    CPPUNIT_TEST_SUITE_END();

    static constexpr UnixMs startMs = 1'800'000'000'000;

    ZoneState m_state { ZoneId("z") };
    CellState m_cell;
    ZoneScheduler m_scheduler { { .zone = ZoneId("z") }, m_state, m_cell,
        [] { return std::make_unique<FirstFitPlacer>(); } };
    TimePoint m_now { 100s };
    uint64_t m_term { 0 };
    uint64_t m_lastSequence { 0 };
    bool m_commits { true };
    std::vector<CellCommand> m_cellCommands;

    void lead()
    {
        m_scheduler.becomeLeader(++m_term, m_now);
        m_lastSequence = 0;
    }
    void connect()
    {
        m_scheduler.onZoneLeaseRenewed(m_now, 2s);
        m_scheduler.onTableLeaseRenewed(m_now, 2s);
    }
    void confirm() { m_scheduler.onLeadershipConfirmed(m_now); }

    // Ticks and commits until nothing more is proposed.
    void settle()
    {
        for (int round = 0; round < 6; ++round) {
            const auto batch = m_scheduler.tick(m_now, WallTime(startMs * 1ms));
            for (const auto& proposal : batch.cell)
                m_cellCommands.push_back(*decodeCellCommand(proposal.payload));
            for (const auto& proposal : batch.zone) {
                if (m_commits)
                    m_scheduler.onProposalResult(proposal.token, m_state.apply(1, proposal.payload), m_now);
            }
        }
    }

    WorkerInstructions beat(const char* worker, std::vector<RunningTask> running = {},
        std::vector<EndedTask> ended = {}, bool isLeaving = false)
    {
        WorkerHeartbeat heartbeat;
        heartbeat.worker = WorkerId(worker);
        heartbeat.incarnation = 1;
        heartbeat.zone = ZoneId("z");
        heartbeat.rack = RackId("r");
        heartbeat.capacity = { .millicores = Millicores(4000), .mebibytes = {}, .accelerators = {} };
        heartbeat.term = m_term;
        heartbeat.running = std::move(running);
        heartbeat.ended = std::move(ended);
        heartbeat.isLeaving = isLeaving;
        heartbeat.lastSequence = m_lastSequence;
        auto answer = m_scheduler.onHeartbeat(heartbeat, m_now);
        m_lastSequence = answer.sequence;
        return answer;
    }

    JobSpec makeSpec(bool isRepeatable = true)
    {
        return { .row = RowName("default"),
            .team = TeamId("t"),
            .perTask = { .millicores = Millicores(1000), .mebibytes = {}, .accelerators = {} },
            .isRepeatable = isRepeatable,
            .command = "run" };
    }

    void submit(bool isRepeatable = true)
    {
        m_state.execute(SubmitZoneJob { .request = RequestId("r" + std::to_string(m_state.openJobs().size())),
            .spec = makeSpec(isRepeatable),
            .atMs = startMs });
    }

    void submitCellJob()
    {
        m_cell.execute(RecordHost { .host = HostId("h"), .zone = ZoneId("z"), .atMs = startMs });
        m_cell.execute(SubmitCellJob { .request = RequestId("c"), .spec = makeSpec(), .atMs = startMs });
        m_cell.execute(
            AssignCellJobs { .entries = { { .job = 1, .epoch = 0, .zone = ZoneId("z") } }, .atMs = startMs });
    }

    // A confirmed leader with worker `w` recorded.
    void leadWithWorker()
    {
        lead();
        confirm();
        connect();
        settle();
        beat("w");
        settle();
    }

    // Guards against a task that runs although its assignment was never recorded.
    void startsOnlyWhatIsCommitted()
    {
        leadWithWorker();
        submit();
        m_commits = false;
        settle();
        CPPUNIT_ASSERT(beat("w").start.empty());
        CPPUNIT_ASSERT(m_scheduler.drainWorkersToNotify().empty());
        m_commits = true;
        lead();
        confirm();
        connect();
        beat("w");
        settle();
        CPPUNIT_ASSERT(m_scheduler.drainWorkersToNotify() == std::vector<WorkerId> { WorkerId("w") });
        const auto answer = beat("w");
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, answer.start.size());
        CPPUNIT_ASSERT_EQUAL(std::string("z:1.0"), answer.start.front().task.value());
        CPPUNIT_ASSERT_EQUAL(std::string("run"), answer.start.front().command);
        CPPUNIT_ASSERT(beat("w").start.empty());
    }

    // Guards against a task that must not run twice and does: a replaced leader that has not noticed it acknowledged
    // the end of an assignment that only its successor had recorded, so that the successor took the task for never
    // started. Seed 283 of ClusterSafetyTest.
    void replacedLeaderLeavesLaterAssignmentsAlone()
    {
        leadWithWorker();
        const auto ended = beat("w", {}, { { .task = TaskId("z:1.0"), .epoch = 1, .exitCode = 0 } });
        CPPUNIT_ASSERT(ended.acknowledged.empty());
        const auto running = beat("w", { { .task = TaskId("z:1.0"), .epoch = 1 } });
        CPPUNIT_ASSERT(running.stop.empty());
    }

    // Guards against a job that runs in two zones: the cell took a cut off zone's jobs as soon as the zone had recorded
    // cutOff=stop, while task leases granted under cutOff=keep still ran. Seeds 177 and 1592 of ClusterSafetyTest.
    void newCutOffRuleWaitsForOlderLeases()
    {
        leadWithWorker();
        Row row;
        row.name = RowName("default");
        row.cutOff = CutOffRule::Stop;
        const uint64_t base = m_cell.table().version();
        m_cell.execute(SetTable { .change = { .baseVersion = base, .request = RequestId("op"), .rows = { row } } });
        settle();
        CPPUNIT_ASSERT_EQUAL(base + 1, m_state.cutOffVersion());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, m_scheduler.cutOffVersionInForce(m_now));
        const LeaseTimes times;
        m_now = LeaseBound(times).expiry(m_now, times.task);
        CPPUNIT_ASSERT_EQUAL(base + 1, m_scheduler.cutOffVersionInForce(m_now));
    }

    // Guards against a task in two places: a leader that was replaced without knowing it repeated a start command whose
    // assignment its successor had ended by then. Seed 935 of ClusterSafetyTest.
    void lostStartIsPlacedAnew()
    {
        leadWithWorker();
        submit();
        settle();
        // The worker never says that it has seen the answer with the start.
        const uint64_t seen = m_lastSequence;
        const auto first = beat("w").start;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, first.size());
        std::vector<StartTask> second;
        for (int i = 0; i < 50 && second.empty(); ++i) {
            m_now += 100ms;
            confirm();
            connect();
            m_lastSequence = seen;
            second = beat("w").start;
            settle();
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, second.size());
        CPPUNIT_ASSERT(second.front().epoch > first.front().epoch);
    }

    // Guards against a leader that was replaced without knowing it and keeps its tasks alive.
    void unconfirmedLeaderGrantsNoLease()
    {
        leadWithWorker();
        submit();
        settle();
        const auto start = beat("w").start.at(0);
        m_scheduler.becomeLeader(++m_term, m_now);
        m_lastSequence = 0;
        // A round from before this leadership proves nothing.
        m_scheduler.onLeadershipConfirmed(m_now - 1ms);
        const std::vector<RunningTask> running { { .task = start.task, .epoch = start.epoch, .used = {} } };
        CPPUNIT_ASSERT(beat("w", running).renew.empty());
        confirm();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, beat("w", running).renew.size());
    }

    // Guards against leases of a paused leader that reach past the wait of its successor.
    void leaseNeverOutlastsTheConfirmation()
    {
        leadWithWorker();
        submit();
        settle();
        const auto start = beat("w").start.at(0);
        const TimePoint confirmedAt = m_now;
        const LeaseBound bound({});
        for (int i = 0; i < 50; ++i) {
            m_now += 100ms;
            const auto answer = beat("w", { { .task = start.task, .epoch = start.epoch, .used = {} } });
            for (const auto& renewal : answer.renew)
                CPPUNIT_ASSERT(bound.expiry(m_now, renewal.lease) <= bound.expiry(confirmedAt, 3s));
            CPPUNIT_ASSERT(i < 30 || answer.renew.empty());
        }
    }

    // Guards against a task that goes on in a cut off zone while the cell starts it elsewhere.
    void cellJobsThatStopNeedTheZoneLease()
    {
        leadWithWorker();
        submitCellJob();
        settle();
        const auto start = beat("w").start.at(0);
        CPPUNIT_ASSERT(start.lease < 2s);
        const TimePoint leaseEnd = m_now + 2s;
        const LeaseBound bound({});
        for (int i = 0; i < 30; ++i) {
            m_now += 100ms;
            confirm();
            const auto answer = beat("w", { { .task = start.task, .epoch = start.epoch, .used = {} } });
            for (const auto& renewal : answer.renew)
                CPPUNIT_ASSERT(bound.expiry(m_now, renewal.lease) <= leaseEnd);
            CPPUNIT_ASSERT(m_now < leaseEnd || answer.renew.empty());
        }
    }

    // Guards against new work by a table version that may no longer be in force.
    void cutOffZonePlacesNothingOfStopRows()
    {
        Row keep;
        keep.name = RowName("keep");
        keep.cutOff = CutOffRule::Keep;
        m_cell.execute(SetTable { .change = { .baseVersion = 1, .request = RequestId("op"), .rows = { keep } } });
        leadWithWorker();
        m_now += 2s;
        confirm();
        beat("w");
        settle();
        submit();
        JobSpec spec = makeSpec();
        spec.row = RowName("keep");
        m_state.execute(SubmitZoneJob { .request = RequestId("k"), .spec = spec, .atMs = startMs });
        settle();
        const auto started = beat("w").start;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, started.size());
        CPPUNIT_ASSERT_EQUAL(std::string("z:2.0"), started.front().task.value());
        const auto text = m_scheduler.explainJob(JobId("z:1"), m_now, WallTime(startMs * 1ms));
        CPPUNIT_ASSERT(text && text->find("cut off") != std::string::npos);
        connect();
        settle();
        CPPUNIT_ASSERT_EQUAL(std::string("z:1.0"), beat("w").start.at(0).task.value());
    }

    // Guards against a task placed anew while its silent worker may still run it.
    void silentWorkerLosesTasksOnlyAfterLeaseAndDrift()
    {
        leadWithWorker();
        submit();
        settle();
        const auto start = beat("w").start.at(0);
        beat("w", { { .task = start.task, .epoch = start.epoch, .used = {} } });
        const TimePoint expiry = LeaseBound({}).expiry(m_now, 3s);
        for (; m_now < expiry; m_now += 20ms) {
            confirm();
            connect();
            beat("other");
            settle();
            CPPUNIT_ASSERT(m_state.findAssignment(start.epoch).has_value());
        }
        m_now = expiry;
        confirm();
        connect();
        settle();
        CPPUNIT_ASSERT(!m_state.findAssignment(start.epoch));
        CPPUNIT_ASSERT_EQUAL(start.task.value(), beat("other").start.at(0).task.value());
    }

    // Guards against a new leader that places what an earlier one may have started or renewed just before.
    void newLeaderWaitsForInheritedLeases()
    {
        leadWithWorker();
        submit();
        settle();
        const auto start = beat("w").start.at(0);
        m_now += 1s;
        lead();
        const TimePoint expiry = LeaseBound({}).expiry(m_now, 3s);
        for (; m_now < expiry; m_now += 20ms) {
            confirm();
            connect();
            beat("other");
            settle();
            CPPUNIT_ASSERT(m_state.findAssignment(start.epoch).has_value());
        }
        m_now = expiry;
        settle();
        CPPUNIT_ASSERT(!m_state.findAssignment(start.epoch));
    }

    // Guards against results that are lost between the worker's report and the record.
    void endsAreAcknowledgedOnceRecorded()
    {
        leadWithWorker();
        submit();
        settle();
        const auto start = beat("w").start.at(0);
        const std::vector<EndedTask> ended { { .task = start.task, .epoch = start.epoch } };
        CPPUNIT_ASSERT(beat("w", {}, ended).acknowledged.empty());
        m_commits = false;
        const auto batch = m_scheduler.tick(m_now, WallTime(startMs * 1ms));
        CPPUNIT_ASSERT(beat("w", {}, ended).acknowledged.empty());
        // A record that failed is tried again.
        m_commits = true;
        for (const auto& proposal : batch.zone)
            m_scheduler.onProposalResult(proposal.token, makeError(ErrorCode::Unavailable, "no majority"), m_now);
        settle();
        CPPUNIT_ASSERT(m_scheduler.hasInstructions(WorkerId("w")));
        CPPUNIT_ASSERT(beat("w", {}, ended).acknowledged.at(0) == start.task);
        CPPUNIT_ASSERT(m_state.findJob({ .number = 1 })->outcome.kind == OutcomeKind::Done);
    }

    // Guards against work for a worker that is about to stop, and against cutting off what it still runs.
    void leavingWorkerGetsNothingNew()
    {
        leadWithWorker();
        submit();
        settle();
        const auto start = beat("w").start.at(0);
        submit();
        const std::vector<RunningTask> running { { .task = start.task, .epoch = start.epoch, .used = {} } };
        beat("w", running, {}, true);
        settle();
        const auto answer = beat("w", running, {}, true);
        CPPUNIT_ASSERT(answer.start.empty() && answer.stop.empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, answer.renew.size());
    }

    // Guards against cancelled jobs that go on.
    void cancelledTasksAreStopped()
    {
        leadWithWorker();
        submit();
        settle();
        const auto start = beat("w").start.at(0);
        m_state.execute(CancelZoneJobs { .jobs = { { .number = 1 } }, .atMs = startMs });
        settle();
        const std::vector<RunningTask> running { { .task = start.task, .epoch = start.epoch, .used = {} } };
        CPPUNIT_ASSERT_EQUAL(start.epoch, beat("w", running).stop.at(0).epoch);
        // Not in each answer, because a held answer would return at once each time.
        CPPUNIT_ASSERT(beat("w", running).stop.empty());
        beat("w", {}, { { .task = start.task, .epoch = start.epoch, .exitCode = 143 } });
        settle();
        CPPUNIT_ASSERT(m_state.findJob({ .number = 1 })->outcome.kind == OutcomeKind::Cancelled);
    }

    // Guards against jobs that wait for ever for a worker that does not exist.
    void jobThatNoWorkerCanRunIsRefused()
    {
        class RefusingPlacer : public FirstFitPlacer {
        public:
            Expected<JobHandle> submitJob(const JobDescription&, TimePoint) override
            {
                return makeError(ErrorCode::InvalidArgument, "larger than all workers");
            }
        };
        ZoneScheduler scheduler(
            { .zone = ZoneId("z") }, m_state, m_cell, [] { return std::make_unique<RefusingPlacer>(); });
        submit();
        submitCellJob();
        scheduler.becomeLeader(1, m_now);
        for (int round = 0; round < 6; ++round) {
            const auto batch = scheduler.tick(m_now, WallTime(startMs * 1ms));
            for (const auto& proposal : batch.zone)
                scheduler.onProposalResult(proposal.token, m_state.apply(1, proposal.payload), m_now);
            for (const auto& proposal : batch.cell)
                m_cell.apply(1, proposal.payload);
        }
        CPPUNIT_ASSERT(m_state.findJob({ .number = 1 })->outcome.kind == OutcomeKind::Refused);
        // Its only zone says so, so the cell refuses the other job too.
        CPPUNIT_ASSERT(m_cell.findJob(1)->outcome.kind == OutcomeKind::Refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneSchedulerTest);

} // namespace hickoryknot
