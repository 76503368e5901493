#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

#include "FirstFitPlacer.h"
#include "lease/LeaseCalculator.h"
#include "scheduler/ZoneScheduler.h"

namespace hickoryknot {

class ZoneSchedulerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ZoneSchedulerTest);
    CPPUNIT_TEST(startsOnlyCommittedAssignments);
    CPPUNIT_TEST(unconfirmedLeaderGrantsNoLease);
    CPPUNIT_TEST(leaseNeverOutlastsTheConfirmation);
    CPPUNIT_TEST(leasesOfCutOffStopJobsEndWithTheZoneLease);
    CPPUNIT_TEST(cutOffZonePlacesNoTasksOfStopRows);
    CPPUNIT_TEST(silentWorkerLosesTasksOnlyAfterLeaseAndDrift);
    CPPUNIT_TEST(newLeaderWaitsForInheritedLeases);
    CPPUNIT_TEST(endsAreAcknowledgedOnceRecorded);
    CPPUNIT_TEST(replacedLeaderIgnoresLaterAssignments);
    CPPUNIT_TEST(newCutOffRuleWaitsForOlderLeases);
    CPPUNIT_TEST(lostStartGetsANewAssignment);
    CPPUNIT_TEST(leavingWorkerGetsNoNewTasks);
    CPPUNIT_TEST(cancelledTasksAreStopped);
    CPPUNIT_TEST(jobThatNoWorkerCanRunIsRefused);
    CPPUNIT_TEST(jobOfARemovedRowIsNotRefused);
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

    void becomeLeader()
    {
        m_scheduler.becomeLeader(++m_term, m_now);
        m_lastSequence = 0;
    }
    void renewLeases()
    {
        m_scheduler.onZoneLeaseRenewed(m_now, 2s);
        m_scheduler.onTableLeaseRenewed(m_now, 2s);
    }
    void confirmLeadership() { m_scheduler.onLeadershipConfirmed(m_now); }

    // Ticks and commits proposals over several rounds, until nothing more is proposed.
    void commitProposals()
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

    WorkerInstructions sendHeartbeat(const char* worker, std::vector<RunningTask> running = {},
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
        auto instructions = m_scheduler.onHeartbeat(heartbeat, m_now);
        m_lastSequence = instructions.sequence;
        return instructions;
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

    // Becomes a confirmed leader with worker `w` recorded.
    void becomeLeaderWithWorker()
    {
        becomeLeader();
        confirmLeadership();
        renewLeases();
        commitProposals();
        sendHeartbeat("w");
        commitProposals();
    }

    // Guards against a task that runs although its assignment was never committed.
    void startsOnlyCommittedAssignments()
    {
        becomeLeaderWithWorker();
        submit();
        m_commits = false;
        commitProposals();
        CPPUNIT_ASSERT(sendHeartbeat("w").start.empty());
        CPPUNIT_ASSERT(m_scheduler.drainWorkersToNotify().empty());
        m_commits = true;
        becomeLeader();
        confirmLeadership();
        renewLeases();
        sendHeartbeat("w");
        commitProposals();
        CPPUNIT_ASSERT(m_scheduler.drainWorkersToNotify() == std::vector<WorkerId> { WorkerId("w") });
        const auto instructions = sendHeartbeat("w");
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, instructions.start.size());
        CPPUNIT_ASSERT_EQUAL(std::string("z:1.0"), instructions.start.front().task.value());
        CPPUNIT_ASSERT_EQUAL(std::string("run"), instructions.start.front().command);
        CPPUNIT_ASSERT(sendHeartbeat("w").start.empty());
    }

    // Guards against a second run of a task that is not repeatable: a leader that was replaced without noticing
    // acknowledged the end of an assignment that only its successor had recorded, so that the successor took the task
    // for never started. Found by seed 283 of ClusterSafetyTest.
    void replacedLeaderIgnoresLaterAssignments()
    {
        becomeLeaderWithWorker();
        const auto ended = sendHeartbeat("w", {}, { { .task = TaskId("z:1.0"), .epoch = 1, .exitCode = 0 } });
        CPPUNIT_ASSERT(ended.acknowledged.empty());
        const auto running = sendHeartbeat("w", { { .task = TaskId("z:1.0"), .epoch = 1 } });
        CPPUNIT_ASSERT(running.stop.empty());
    }

    // Guards against a job that runs in two zones: the cell released a cut off zone's jobs as soon as the zone had
    // recorded cutOff=stop, while task leases granted under cutOff=keep were still valid. Found by seeds 177 and 1592
    // of ClusterSafetyTest.
    void newCutOffRuleWaitsForOlderLeases()
    {
        becomeLeaderWithWorker();
        Row row;
        row.name = RowName("default");
        row.cutOff = CutOffRule::Stop;
        const uint64_t base = m_cell.table().version();
        m_cell.execute(SetTable { .change = { .baseVersion = base, .request = RequestId("op"), .rows = { row } } });
        commitProposals();
        CPPUNIT_ASSERT_EQUAL(base + 1, m_state.cutOffVersion());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, m_scheduler.cutOffVersionInForce(m_now));
        const LeaseTimes times;
        m_now = LeaseCalculator(times).expiry(m_now, times.task);
        CPPUNIT_ASSERT_EQUAL(base + 1, m_scheduler.cutOffVersionInForce(m_now));
    }

    // Guards against a task that runs on two workers: a leader that was replaced without noticing sent a start command
    // again after its successor had ended the assignment. Found by seed 935 of ClusterSafetyTest.
    void lostStartGetsANewAssignment()
    {
        becomeLeaderWithWorker();
        submit();
        commitProposals();
        // The worker never acknowledges the response that carries the start command.
        const uint64_t seen = m_lastSequence;
        const auto first = sendHeartbeat("w").start;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, first.size());
        std::vector<StartTask> second;
        for (int i = 0; i < 50 && second.empty(); ++i) {
            m_now += 100ms;
            confirmLeadership();
            renewLeases();
            m_lastSequence = seen;
            second = sendHeartbeat("w").start;
            commitProposals();
        }
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, second.size());
        CPPUNIT_ASSERT(second.front().epoch > first.front().epoch);
    }

    // Guards against a leader that was replaced without noticing and keeps renewing leases.
    void unconfirmedLeaderGrantsNoLease()
    {
        becomeLeaderWithWorker();
        submit();
        commitProposals();
        const auto start = sendHeartbeat("w").start.at(0);
        m_scheduler.becomeLeader(++m_term, m_now);
        m_lastSequence = 0;
        // A round that began before this leadership does not confirm it.
        m_scheduler.onLeadershipConfirmed(m_now - 1ms);
        const std::vector<RunningTask> running { { .task = start.task, .epoch = start.epoch, .used = {} } };
        CPPUNIT_ASSERT(sendHeartbeat("w", running).renew.empty());
        confirmLeadership();
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, sendHeartbeat("w", running).renew.size());
    }

    // Guards against leases of a paused leader that end after its successor stops waiting for them.
    void leaseNeverOutlastsTheConfirmation()
    {
        becomeLeaderWithWorker();
        submit();
        commitProposals();
        const auto start = sendHeartbeat("w").start.at(0);
        const TimePoint confirmedAt = m_now;
        const LeaseCalculator calculator({});
        for (int i = 0; i < 50; ++i) {
            m_now += 100ms;
            const auto instructions = sendHeartbeat("w", { { .task = start.task, .epoch = start.epoch, .used = {} } });
            for (const auto& renewal : instructions.renew)
                CPPUNIT_ASSERT(calculator.expiry(m_now, renewal.lease) <= calculator.expiry(confirmedAt, 3s));
            CPPUNIT_ASSERT(i < 30 || instructions.renew.empty());
        }
    }

    // Guards against a task that keeps running in a cut off zone while the cell starts it in another zone.
    void leasesOfCutOffStopJobsEndWithTheZoneLease()
    {
        becomeLeaderWithWorker();
        submitCellJob();
        commitProposals();
        const auto start = sendHeartbeat("w").start.at(0);
        CPPUNIT_ASSERT(start.lease < 2s);
        const TimePoint leaseEnd = m_now + 2s;
        const LeaseCalculator calculator({});
        for (int i = 0; i < 30; ++i) {
            m_now += 100ms;
            confirmLeadership();
            const auto instructions = sendHeartbeat("w", { { .task = start.task, .epoch = start.epoch, .used = {} } });
            for (const auto& renewal : instructions.renew)
                CPPUNIT_ASSERT(calculator.expiry(m_now, renewal.lease) <= leaseEnd);
            CPPUNIT_ASSERT(m_now < leaseEnd || instructions.renew.empty());
        }
    }

    // Guards against placing tasks by a table version that may no longer be in force.
    void cutOffZonePlacesNoTasksOfStopRows()
    {
        Row keep;
        keep.name = RowName("keep");
        keep.cutOff = CutOffRule::Keep;
        m_cell.execute(SetTable { .change = { .baseVersion = 1, .request = RequestId("op"), .rows = { keep } } });
        becomeLeaderWithWorker();
        m_now += 2s;
        confirmLeadership();
        sendHeartbeat("w");
        commitProposals();
        submit();
        JobSpec spec = makeSpec();
        spec.row = RowName("keep");
        m_state.execute(SubmitZoneJob { .request = RequestId("k"), .spec = spec, .atMs = startMs });
        commitProposals();
        const auto started = sendHeartbeat("w").start;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, started.size());
        CPPUNIT_ASSERT_EQUAL(std::string("z:2.0"), started.front().task.value());
        const auto text = m_scheduler.explainJob(JobId("z:1"), m_now, WallTime(startMs * 1ms));
        CPPUNIT_ASSERT(text && text->find("cut off") != std::string::npos);
        renewLeases();
        commitProposals();
        CPPUNIT_ASSERT_EQUAL(std::string("z:1.0"), sendHeartbeat("w").start.at(0).task.value());
    }

    // Guards against placing a task again while its silent worker may still run it.
    void silentWorkerLosesTasksOnlyAfterLeaseAndDrift()
    {
        becomeLeaderWithWorker();
        submit();
        commitProposals();
        const auto start = sendHeartbeat("w").start.at(0);
        sendHeartbeat("w", { { .task = start.task, .epoch = start.epoch, .used = {} } });
        const TimePoint expiry = LeaseCalculator({}).expiry(m_now, 3s);
        for (; m_now < expiry; m_now += 20ms) {
            confirmLeadership();
            renewLeases();
            sendHeartbeat("other");
            commitProposals();
            CPPUNIT_ASSERT(m_state.findAssignment(start.epoch).has_value());
        }
        m_now = expiry;
        confirmLeadership();
        renewLeases();
        commitProposals();
        CPPUNIT_ASSERT(!m_state.findAssignment(start.epoch));
        CPPUNIT_ASSERT_EQUAL(start.task.value(), sendHeartbeat("other").start.at(0).task.value());
    }

    // Guards against a new leader that places a task again which an earlier leader may have started or renewed just
    // before.
    void newLeaderWaitsForInheritedLeases()
    {
        becomeLeaderWithWorker();
        submit();
        commitProposals();
        const auto start = sendHeartbeat("w").start.at(0);
        m_now += 1s;
        becomeLeader();
        const TimePoint expiry = LeaseCalculator({}).expiry(m_now, 3s);
        for (; m_now < expiry; m_now += 20ms) {
            confirmLeadership();
            renewLeases();
            sendHeartbeat("other");
            commitProposals();
            CPPUNIT_ASSERT(m_state.findAssignment(start.epoch).has_value());
        }
        m_now = expiry;
        commitProposals();
        CPPUNIT_ASSERT(!m_state.findAssignment(start.epoch));
    }

    // Guards against losing a task result between the worker's report and its commit.
    void endsAreAcknowledgedOnceRecorded()
    {
        becomeLeaderWithWorker();
        submit();
        commitProposals();
        const auto start = sendHeartbeat("w").start.at(0);
        const std::vector<EndedTask> ended { { .task = start.task, .epoch = start.epoch } };
        CPPUNIT_ASSERT(sendHeartbeat("w", {}, ended).acknowledged.empty());
        m_commits = false;
        const auto batch = m_scheduler.tick(m_now, WallTime(startMs * 1ms));
        CPPUNIT_ASSERT(sendHeartbeat("w", {}, ended).acknowledged.empty());
        // An end that was not committed is proposed again.
        m_commits = true;
        for (const auto& proposal : batch.zone)
            m_scheduler.onProposalResult(proposal.token, makeError(ErrorCode::Unavailable, "no majority"), m_now);
        commitProposals();
        CPPUNIT_ASSERT(m_scheduler.hasInstructions(WorkerId("w")));
        CPPUNIT_ASSERT(sendHeartbeat("w", {}, ended).acknowledged.at(0) == start.task);
        CPPUNIT_ASSERT(m_state.findJob({ .number = 1 })->outcome.kind == OutcomeKind::Done);
    }

    // Guards against new tasks on a leaving worker, and against stopping the tasks that it still runs.
    void leavingWorkerGetsNoNewTasks()
    {
        becomeLeaderWithWorker();
        submit();
        commitProposals();
        const auto start = sendHeartbeat("w").start.at(0);
        submit();
        const std::vector<RunningTask> running { { .task = start.task, .epoch = start.epoch, .used = {} } };
        sendHeartbeat("w", running, {}, true);
        commitProposals();
        const auto instructions = sendHeartbeat("w", running, {}, true);
        CPPUNIT_ASSERT(instructions.start.empty() && instructions.stop.empty());
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, instructions.renew.size());
    }

    // Guards against tasks that keep running after their job was cancelled.
    void cancelledTasksAreStopped()
    {
        becomeLeaderWithWorker();
        submit();
        commitProposals();
        const auto start = sendHeartbeat("w").start.at(0);
        m_state.execute(CancelZoneJobs { .jobs = { { .number = 1 } }, .atMs = startMs });
        commitProposals();
        const std::vector<RunningTask> running { { .task = start.task, .epoch = start.epoch, .used = {} } };
        CPPUNIT_ASSERT_EQUAL(start.epoch, sendHeartbeat("w", running).stop.at(0).epoch);
        // Not in every response, because each long poll of the worker would then complete at once.
        CPPUNIT_ASSERT(sendHeartbeat("w", running).stop.empty());
        sendHeartbeat("w", {}, { { .task = start.task, .epoch = start.epoch, .exitCode = 143 } });
        commitProposals();
        CPPUNIT_ASSERT(m_state.findJob({ .number = 1 })->outcome.kind == OutcomeKind::Cancelled);
    }

    // Guards against jobs that wait forever because no worker is large enough.
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
        // The only zone has returned the cell job as impossible to run, so the cell refuses it.
        CPPUNIT_ASSERT(m_cell.findJob(1)->outcome.kind == OutcomeKind::Refused);
    }

    // Like the engine, refuses jobs of rows that it does not know.
    class RowCheckingPlacer : public FirstFitPlacer {
    public:
        void setTable(const std::vector<Row>& rows) override { m_rows = rows; }
        Expected<JobHandle> submitJob(const JobDescription& job, TimePoint now) override
        {
            if (std::none_of(m_rows.begin(), m_rows.end(), [&](const Row& row) { return row.name == job.row; }))
                return makeError(ErrorCode::InvalidArgument, "the row is not in the table");
            return FirstFitPlacer::submitJob(job, now);
        }

    private:
        std::vector<Row> m_rows;
    };

    // Guards against an accepted job that the next zone leader refuses because its row was removed meanwhile.
    void jobOfARemovedRowIsNotRefused()
    {
        Row night;
        night.name = RowName("night");
        m_cell.execute(SetTable { .change = { .baseVersion = 1, .request = RequestId("add"), .rows = { night } } });
        JobSpec spec = makeSpec();
        spec.row = night.name;
        m_state.execute(SubmitZoneJob { .request = RequestId("r"), .spec = spec, .atMs = startMs });
        m_cell.execute(
            SetTable { .change = { .baseVersion = 2, .request = RequestId("remove"), .removed = { night.name } } });
        CPPUNIT_ASSERT(!m_cell.table().findClass(night.name));
        ZoneScheduler scheduler(
            { .zone = ZoneId("z") }, m_state, m_cell, [] { return std::make_unique<RowCheckingPlacer>(); });
        scheduler.becomeLeader(1, m_now);
        const auto commit = [&] {
            for (int round = 0; round < 6; ++round) {
                for (const auto& proposal : scheduler.tick(m_now, WallTime(startMs * 1ms)).zone)
                    scheduler.onProposalResult(proposal.token, m_state.apply(1, proposal.payload), m_now);
            }
        };
        commit();
        CPPUNIT_ASSERT(m_state.findJob({ .number = 1 })->isOpen());
        // So is a job that was accepted by the earlier table and reaches this leader after the removal.
        m_state.execute(SubmitZoneJob { .request = RequestId("s"), .spec = spec, .atMs = startMs });
        commit();
        CPPUNIT_ASSERT(m_state.findJob({ .number = 2 })->isOpen());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneSchedulerTest);

} // namespace hickoryknot
