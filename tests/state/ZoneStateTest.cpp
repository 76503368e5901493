#include <cppunit/extensions/HelperMacros.h>
#include <random>

#include "state/ZoneState.h"

namespace hickoryknot {

namespace {

constexpr UnixMs startMs = 1'800'000'000'000;

Resources cores(int64_t count)
{
    return { .millicores = Millicores(count * 1000), .mebibytes = {}, .accelerators = {} };
}

} // namespace

class ZoneStateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ZoneStateTest);
    CPPUNIT_TEST(placementNeverExceedsCapacity);
    CPPUNIT_TEST(gangPlacementIsAtomic);
    CPPUNIT_TEST(lostTasksRetriedOnlyIfRepeatable);
    CPPUNIT_TEST(batchTaskRetriesAreBounded);
    CPPUNIT_TEST(serviceTasksRestartAfterExit);
    CPPUNIT_TEST(workerRestartLosesItsTasks);
    CPPUNIT_TEST(bulkCancellationUsesOneRecord);
    CPPUNIT_TEST(staleCellStateAdmitsNothing);
    CPPUNIT_TEST(runningJobIsNotReplacedByNewEpoch);
    CPPUNIT_TEST(replicasMatchAfterRandomCommandsAndRestores);
    CPPUNIT_TEST_SUITE_END();

    ZoneState m_state { ZoneId("z") };
    int m_requests { 0 };

    template <typename Result> Result run(const ZoneCommand& command)
    {
        const auto result = m_state.execute(command);
        CPPUNIT_ASSERT(std::holds_alternative<Result>(result));
        return std::get<Result>(result);
    }

    static JobSpec makeSpec(JobKind kind, uint32_t tasks, bool isRepeatable = true)
    {
        return { .row = RowName("default"),
            .team = TeamId("t"),
            .kind = kind,
            .tasks = tasks,
            .perTask = cores(1),
            .isRepeatable = isRepeatable,
            .command = "run" };
    }

    JobNumber submit(JobSpec spec)
    {
        const auto accepted = run<JobAccepted>(SubmitZoneJob {
            .request = RequestId("r" + std::to_string(++m_requests)), .spec = std::move(spec), .atMs = startMs });
        return *parseJobId(accepted.job, ZoneId("z"));
    }

    void addWorker(const char* worker, int64_t size, uint64_t incarnation = 1)
    {
        run<BatchDone>(RecordWorkers { .entries = { { .worker = WorkerId(worker),
                                           .incarnation = incarnation,
                                           .rack = RackId("r"),
                                           .capacity = cores(size) } } });
    }

    std::vector<uint64_t> place(JobNumber job, const std::vector<uint32_t>& tasks, const char* worker)
    {
        PlaceTasks command { .atMs = startMs };
        for (const uint32_t task : tasks)
            command.entries.push_back({ .job = job, .task = task, .worker = WorkerId(worker), .incarnation = 1 });
        return run<BatchDone>(command).epochs;
    }

    uint64_t end(JobNumber job, uint32_t task, uint64_t epoch, TaskResult result)
    {
        return run<BatchDone>(
            EndTasks { .entries = { { .job = job, .task = task, .epoch = epoch, .result = result } }, .atMs = startMs })
            .epochs.front();
    }

    // Guards against overcommitted workers, whatever the placement engine proposes.
    void placementNeverExceedsCapacity()
    {
        addWorker("w", 2);
        const auto job = submit(makeSpec(JobKind::Batch, 3));
        CPPUNIT_ASSERT((place(job, { 0, 1, 2 }, "w") == std::vector<uint64_t> { 1, 2, 0 }));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, end(job, 0, 1, TaskResult::Finished));
        // A duplicate end is ignored.
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, end(job, 0, 1, TaskResult::Finished));
        CPPUNIT_ASSERT((place(job, { 0, 2 }, "w") == std::vector<uint64_t> { 0, 3 }));
        CPPUNIT_ASSERT((place(job, { 2 }, "other") == std::vector<uint64_t> { 0 }));
    }

    // Guards against a gang of which only some tasks are assigned.
    void gangPlacementIsAtomic()
    {
        addWorker("w", 2);
        const auto gang = submit(makeSpec(JobKind::Gang, 3));
        CPPUNIT_ASSERT((place(gang, { 0, 1, 2 }, "w") == std::vector<uint64_t> { 0, 0, 0 }));
        CPPUNIT_ASSERT((place(gang, { 0, 1 }, "w") == std::vector<uint64_t> { 0, 0 }));
        CPPUNIT_ASSERT(m_state.workers().front().used == Resources {} && m_state.assignments().empty());
        addWorker("w", 3);
        CPPUNIT_ASSERT(place(gang, { 0, 1, 2 }, "w").back() != 0);
    }

    // Guards against retrying a task that is not repeatable and may have run.
    void lostTasksRetriedOnlyIfRepeatable()
    {
        addWorker("w", 4);
        const auto again = submit(makeSpec(JobKind::Batch, 1));
        const auto once = submit(makeSpec(JobKind::Batch, 2, false));
        const uint64_t first = place(again, { 0 }, "w").front();
        end(again, 0, first, TaskResult::Lost);
        CPPUNIT_ASSERT(place(again, { 0 }, "w").front() != 0);
        const auto epochs = place(once, { 0, 1 }, "w");
        end(once, 0, epochs[0], TaskResult::NeverStarted);
        const uint64_t second = place(once, { 0 }, "w").front();
        CPPUNIT_ASSERT(second != 0);
        end(once, 0, second, TaskResult::Lost);
        CPPUNIT_ASSERT((place(once, { 0 }, "w") == std::vector<uint64_t> { 0 }));
        // The job ends as unknown once the other task has finished.
        end(once, 1, epochs[1], TaskResult::Finished);
        CPPUNIT_ASSERT(m_state.findJob(once)->outcome.kind == OutcomeKind::Unknown);
        CPPUNIT_ASSERT(m_state.jobStatus(JobId("z:2"))->outcome.has_value());
    }

    // Guards against endless retries of a task that fails or crashes its workers.
    void batchTaskRetriesAreBounded()
    {
        addWorker("w", 4);
        for (const auto result : { TaskResult::Failed, TaskResult::Lost }) {
            const auto job = submit(makeSpec(JobKind::Batch, 1));
            int tries = 0;
            while (m_state.findJob(job)->isOpen() && tries < 100) {
                end(job, 0, place(job, { 0 }, "w").front(), result);
                ++tries;
            }
            CPPUNIT_ASSERT_EQUAL(result == TaskResult::Failed ? 4 : 16, tries);
            CPPUNIT_ASSERT_EQUAL(std::string("task_failed"), m_state.findJob(job)->outcome.reason);
        }
    }

    // Guards against a service that ends when one of its tasks exits.
    void serviceTasksRestartAfterExit()
    {
        addWorker("w", 4);
        const auto job = submit(makeSpec(JobKind::Service, 1));
        for (int i = 0; i < 50; ++i)
            end(job, 0, place(job, { 0 }, "w").front(), i % 2 ? TaskResult::Finished : TaskResult::Failed);
        CPPUNIT_ASSERT_EQUAL(uint32_t { 1 }, m_state.findJob(job)->queued);
    }

    // Guards against tasks that stay assigned to an old incarnation, and against a late report of that incarnation.
    void workerRestartLosesItsTasks()
    {
        addWorker("w", 2);
        const auto job = submit(makeSpec(JobKind::Batch, 2));
        place(job, { 0, 1 }, "w");
        addWorker("w", 2, 2);
        CPPUNIT_ASSERT_EQUAL(uint32_t { 2 }, m_state.findJob(job)->queued);
        CPPUNIT_ASSERT(m_state.workers().front().used == Resources {});
        addWorker("w", 2, 1);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, m_state.workers().front().incarnation);
        CPPUNIT_ASSERT((place(job, { 0 }, "w") == std::vector<uint64_t> { 0 }));
    }

    // Guards against one log entry per cancelled job, and against a cancelled job that ends before its tasks.
    void bulkCancellationUsesOneRecord()
    {
        addWorker("w", 100);
        CancelZoneJobs command { .atMs = startMs };
        std::vector<uint64_t> epochs;
        for (int i = 0; i < 100; ++i) {
            command.jobs.push_back(submit(makeSpec(JobKind::Batch, 2)));
            epochs.push_back(place(command.jobs.back(), { 0 }, "w").front());
        }
        run<BatchDone>(command);
        CPPUNIT_ASSERT_EQUAL(size_t { 100 }, m_state.openJobs().size());
        for (size_t i = 0; i < epochs.size(); ++i) {
            CPPUNIT_ASSERT((place(command.jobs[i], { 1 }, "w") == std::vector<uint64_t> { 0 }));
            end(command.jobs[i], 0, epochs[i], TaskResult::Stopped);
        }
        CPPUNIT_ASSERT(m_state.openJobs().empty());
        CPPUNIT_ASSERT(m_state.findJob(command.jobs[0])->outcome.kind == OutcomeKind::Cancelled);
    }

    uint64_t admit(uint64_t epoch, uint64_t tableVersion, uint64_t revision)
    {
        return run<BatchDone>(
            AdmitCellJobs { .entries = { { .job = 7, .epoch = epoch, .spec = makeSpec(JobKind::Batch, 1) } },
                .tableVersion = tableVersion,
                .cellRevision = revision })
            .epochs.front();
    }

    // Guards against a job that runs again, or under an old rule, because the leader's replica of the cell state lags.
    void staleCellStateAdmitsNothing()
    {
        addWorker("w", 1);
        const JobNumber job { .number = 7, .isCellJob = true };
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, admit(1, 1, 10));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, admit(1, 1, 10));
        end(job, 0, place(job, { 0 }, "w").front(), TaskResult::Finished);
        CPPUNIT_ASSERT(m_state.reportableJobs().contains(job));
        run<CommandDone>(ForgetCellJobs { .jobs = { 7 }, .cellRevision = 20 });
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, admit(1, 1, 19));
        run<CommandDone>(RecordCutOff { .tableVersion = 2 });
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, admit(2, 1, 21));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, admit(2, 2, 21));
    }

    // Guards against tasks of two epochs of one job running in one zone.
    void runningJobIsNotReplacedByNewEpoch()
    {
        addWorker("w", 2);
        const JobNumber job { .number = 7, .isCellJob = true };
        admit(1, 1, 1);
        const uint64_t epoch = place(job, { 0 }, "w").front();
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, admit(2, 1, 2));
        run<BatchDone>(SupersedeJobs { .jobs = { 7 }, .cellRevision = 2 });
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, admit(2, 1, 2));
        end(job, 0, epoch, TaskResult::Stopped);
        CPPUNIT_ASSERT(!m_state.findJob(job));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 2 }, admit(2, 1, 2));
    }

    static ZoneCommand randomCommand(std::mt19937_64& random, uint64_t step, const ZoneState& state)
    {
        const UnixMs atMs = startMs + static_cast<UnixMs>(step) * 100;
        JobNumber job { .number = static_cast<uint32_t>(1 + random() % (1 + step / 4)),
            .isCellJob = random() % 4 == 0 };
        if (!state.openJobs().empty() && random() % 4)
            job = *std::next(state.openJobs().begin(), static_cast<std::ptrdiff_t>(random() % state.openJobs().size()));
        const ZoneJob* known = state.findJob(job);
        const auto task = static_cast<uint32_t>(random() % 3);
        const WorkerId worker("w" + std::to_string(random() % 4));
        const RequestId request("c-" + std::to_string(atMs) + "-" + std::to_string(random() % 3));
        const auto kind = static_cast<JobKind>(random() % 3);
        switch (random() % 12) {
        case 0:
        case 1:
            return SubmitZoneJob { .request = request, .spec = makeSpec(kind, 3, random() % 2), .atMs = atMs };
        case 2:
            return AdmitCellJobs { .entries
                = { { .job = job.number, .epoch = random() % 4, .spec = makeSpec(kind, 3, random() % 2) } },
                .cellRevision = step,
                .atMs = atMs };
        case 3:
            return RecordWorkers { .entries = { { .worker = worker,
                                       .incarnation = 1 + step / 300,
                                       .rack = RackId("r"),
                                       .capacity = cores(static_cast<int64_t>(3 + random() % 4)) } },
                .atMs = atMs };
        case 4:
        case 5:
        case 6:
            return PlaceTasks { .entries = { { .job = job, .task = 0, .worker = worker, .incarnation = 1 + step / 300 },
                                    { .job = job, .task = 1, .worker = worker, .incarnation = 1 + step / 300 },
                                    { .job = job, .task = 2, .worker = worker, .incarnation = 1 + step / 300 } },
                .atMs = atMs };
        case 7:
        case 8:
            return EndTasks { .entries = { { .job = job,
                                  .task = task,
                                  .epoch = known && known->tasks.size() > task ? known->tasks[task].epoch : 1,
                                  .result = static_cast<TaskResult>(random() % 6) } },
                .atMs = atMs };
        case 9:
            return CancelZoneJobs { .jobs = { job }, .atMs = atMs };
        case 10:
            return SupersedeJobs { .jobs = { job.number }, .cellRevision = step, .atMs = atMs };
        default:
            return Expire { .atMs = atMs };
        }
    }

    // The assignments must match their tasks, and the used capacity of each worker must equal the sum over its assigned
    // tasks.
    static void checkAllocations(const ZoneState& state)
    {
        std::vector<Resources> used(state.workers().size());
        for (const auto& [epoch, key] : state.assignments()) {
            const ZoneJob* job = state.findJob(key.job);
            CPPUNIT_ASSERT(job && job->tasks.at(key.task).epoch == epoch);
            used.at(job->tasks[key.task].worker) += job->spec.perTask;
        }
        for (size_t i = 0; i < used.size(); ++i)
            CPPUNIT_ASSERT(used[i] == state.workers()[i].used);
    }

    // Guards against nondeterministic results, and against incomplete snapshots.
    void replicasMatchAfterRandomCommandsAndRestores()
    {
        size_t assigned = 0;
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            std::mt19937_64 random(seed);
            ZoneState first { ZoneId("z") };
            auto second = std::make_unique<ZoneState>(ZoneId("z"));
            for (uint64_t step = 1; step <= 1500; ++step) {
                const auto payload = encodeZoneCommand(randomCommand(random, step, first));
                CPPUNIT_ASSERT_EQUAL(first.apply(step, payload), second->apply(step, payload));
                if (step % 100)
                    continue;
                CPPUNIT_ASSERT_EQUAL(first.digest(), second->digest());
                checkAllocations(first);
                assigned += first.assignments().size();
                const auto snapshot = second->snapshot();
                second = std::make_unique<ZoneState>(ZoneId("z"));
                CPPUNIT_ASSERT(second->restore(snapshot).has_value());
                CPPUNIT_ASSERT(first.openJobs() == second->openJobs());
                CPPUNIT_ASSERT(first.reportableJobs() == second->reportableJobs());
            }
        }
        // The random commands must actually place tasks.
        CPPUNIT_ASSERT(assigned > 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneStateTest);

} // namespace hickoryknot
