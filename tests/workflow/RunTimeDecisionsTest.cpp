#include <cppunit/extensions/HelperMacros.h>
#include <list>

#include "WorkflowSamples.h"
#include "workflow/Planner.h"
#include "workflow/RunController.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

/// Decisions that use learned speeds and run times; the others are in PlannerTest and CapacityForecastTest.
class RunTimeDecisionsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunTimeDecisionsTest);
    CPPUNIT_TEST(urgentTaskTakesAFastWorker);
    CPPUNIT_TEST(taskWithTimeLeftLeavesTheFastWorkerFree);
    CPPUNIT_TEST(taskWithTimeLeftUsesIdleFastWorkers);
    CPPUNIT_TEST(taskThatASlowWorkerWouldMakeLateIsUrgent);
    CPPUNIT_TEST(workWithoutValueTakesSlowWorkers);
    CPPUNIT_TEST(nearlyEqualSpeedsDoNotDecide);
    CPPUNIT_TEST(urgentTaskAsksForFastWorkersFirst);
    CPPUNIT_TEST(suspectsIgnoreSpeed);
    CPPUNIT_TEST(gangTakesWorkersOfOneSpeed);
    CPPUNIT_TEST(gangAvoidsWorkersThatMakeItLate);
    CPPUNIT_TEST(placementKnowsTheTimeOnItsWorker);
    CPPUNIT_TEST(taskWaitsForAFastWorkerThatFreesSoon);
    CPPUNIT_TEST(taskDoesNotWaitIfThatEndsLater);
    CPPUNIT_TEST(runNearItsExpectedEndIsNotPreempted);
    CPPUNIT_TEST_SUITE_END();

    SchedulerSettings m_settings;
    WorkflowState m_state;
    WorkerTracker m_workerTracker { m_settings };
    RunController m_runController { m_settings, m_state, m_workerTracker };
    PermissionTracker m_permissionTracker { m_settings };
    Planner m_planner { m_workerTracker, m_permissionTracker, m_runController };
    TimePoint m_now { 100s };
    std::list<StepSpec> m_specs;
    std::list<ReadyStep> m_steps;

    void addWorker(const char* name, double speed, int64_t millicores = 4000)
    {
        WorkerReport report;
        report.profile = samples::profile(name, 1, millicores);
        report.sequence = 1;
        report.clock = 1000;
        m_workerTracker.applyReport(report, m_now);
        TrackedWorker& worker = *m_workerTracker.find(report.profile.incarnation);
        worker.hasConfirmedFence = true;
        worker.lifetime.addResponse(report.clock, m_now, m_now);
        worker.speed = speed;
    }

    // Adds a fast worker without room, so that less of the fast workers is free than they keep for urgent work.
    void keepFastWorkersBusy()
    {
        constexpr int64_t capacity = 64000;
        addWorker("z", 1.7, capacity);
        WorkerTracker::allocate(
            *m_workerTracker.find(samples::incarnation("z")), { samples::secondId, 0, 0 }, samples::step(1, capacity));
    }

    // A step of tasks that take 1 s at the usual speed, with `slack` until its latest start.
    ReadyStep& addStep(uint32_t count, Duration slack, int64_t millicores = 1000)
    {
        m_specs.push_back(samples::step(count, millicores));
        ReadyStep step;
        step.ref = { samples::firstId, 0, 0 };
        step.spec = &m_specs.back();
        step.queue = samples::queue("q");
        for (uint32_t i = 0; i < count; ++i)
            step.tasks.push_back({ .index = i, .nextRun = 1 });
        step.criticalPath = 1s;
        step.learnedRunTime = 1s;
        step.deadline = m_now + slack + step.criticalPath;
        step.expiresAt = step.deadline + 60s;
        m_steps.push_back(step);
        return m_steps.back();
    }

    Planner::Decisions plan()
    {
        std::vector<ReadyStep*> steps;
        for (auto& step : m_steps)
            steps.push_back(&step);
        return m_planner.plan(steps, m_now);
    }

    std::vector<std::string> chosenWorkers()
    {
        std::vector<std::string> names;
        for (const auto& placement : plan().placements)
            names.push_back(placement.incarnation.worker.value());
        return names;
    }

    void assertChosen(const std::vector<std::string>& expected) { CPPUNIT_ASSERT(chosenWorkers() == expected); }

    // Occupies the worker with a confirmed run that is expected to take `runTime` from now.
    void placeTask(const char* worker, Duration runTime, uint32_t priority = 0)
    {
        auto spec = samples::step(1, 4000);
        spec.isCheckpointing = true;
        const auto run = samples::run(samples::secondId, 0, 0);
        m_state.apply(1, encodeCommands({ samples::accept(samples::secondId, { samples::step(2) }) }));
        m_runController.addProposedRun(run, samples::incarnation(worker), spec, priority, {});
        m_runController.setLearnedRunTime(run, runTime);
        m_runController.onPlacementCommitted(run, true, m_now);
        RunController::Requests requests;
        m_runController.advance(m_now, requests);
        m_runController.onStartResponse({ .incarnation = samples::incarnation(worker),
                                            .run = run,
                                            .command = {},
                                            .checkpoint = {},
                                            .permissionToken = {} },
            { .status = WorkerRequestStatus::Done, .clock = 1000, .startTimeMs = 1 }, m_now, m_now);
    }

    // Guards against short requests that are late because they ran on slow workers beside idle fast ones.
    void urgentTaskTakesAFastWorker()
    {
        addWorker("a", 0.7);
        addWorker("b", 1.7);
        addWorker("c", 0.7);
        keepFastWorkersBusy();
        addStep(1, 1s);
        assertChosen({ "b" });
    }

    // Guards against fast workers that are full of work which a slow one would have ended early enough.
    void taskWithTimeLeftLeavesTheFastWorkerFree()
    {
        addWorker("a", 1.7);
        addWorker("b", 0.7);
        keepFastWorkersBusy();
        addStep(1, 10s);
        assertChosen({ "b" });
    }

    // Guards against fast workers that idle beside full slow ones.
    void taskWithTimeLeftUsesIdleFastWorkers()
    {
        addWorker("a", 0.7);
        addWorker("b", 1.7);
        addStep(1, 10s);
        assertChosen({ "b" });
    }

    // Guards against long work that is late because a slow worker seemed early enough.
    void taskThatASlowWorkerWouldMakeLateIsUrgent()
    {
        addWorker("a", 0.2);
        addWorker("b", 1.7);
        keepFastWorkersBusy();
        addStep(1, 3900ms);
        assertChosen({ "b" });
    }

    // Guards against work whose result nobody waits for on the workers that others need.
    void workWithoutValueTakesSlowWorkers()
    {
        addWorker("a", 1.7);
        addWorker("b", 0.7);
        addStep(1, -20s).expiresAt = m_now - 1s;
        assertChosen({ "b" });
    }

    // Guards against tasks that are spread over equal workers because of the noise in their learned speeds.
    void nearlyEqualSpeedsDoNotDecide()
    {
        addWorker("a", 1.08);
        addWorker("b", 0.93);
        WorkerTracker::allocate(
            *m_workerTracker.find(samples::incarnation("b")), { samples::secondId, 0, 0 }, samples::step(1, 2000));
        addStep(2, 1s);
        assertChosen({ "b", "b" });
    }

    // Guards against a task that may use only slow workers because no others were asked for.
    void urgentTaskAsksForFastWorkersFirst()
    {
        for (const char* name : { "a", "b", "c" })
            addWorker(name, 0.7);
        addWorker("d", 1.7);
        auto& step = addStep(1, 1s);
        step.queue.permission = { .isNeeded = true, .perCall = 10ms, .perWorker = 100us, .validity = Duration(2500ms) };
        const auto requests = plan().permissionRequests;
        CPPUNIT_ASSERT(!requests.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("d"), requests.front().workers.front().value());
    }

    // Guards against tasks that crash the fast workers one after the other.
    void suspectsIgnoreSpeed()
    {
        addWorker("a", 1.7);
        addWorker("b", 0.7, 8000);
        addStep(1, 1s).isSuspect = true;
        assertChosen({ "b" });
    }

    // Guards against a gang whose fast members wait for its slow ones.
    void gangTakesWorkersOfOneSpeed()
    {
        addWorker("a", 1.7);
        addWorker("b", 0.7);
        addWorker("c", 1.7);
        auto& step = addStep(2, 1s, 4000);
        m_specs.back().isGang = true;
        assertChosen({ "a", "c" });
        step.deadline += 9s;
        addWorker("d", 0.7);
        keepFastWorkersBusy();
        assertChosen({ "b", "d" });
    }

    // Guards against a gang that is late although it fits on workers which are fast enough.
    void gangAvoidsWorkersThatMakeItLate()
    {
        addWorker("a", 0.3);
        addWorker("b", 1);
        addWorker("c", 1.7);
        addStep(2, 1s, 4000);
        m_specs.back().isGang = true;
        assertChosen({ "c", "b" });
    }

    // Guards against expected ends that ignore the worker, or the slowest member of a gang.
    void placementKnowsTheTimeOnItsWorker()
    {
        addWorker("a", 0.5);
        auto& step = addStep(1, 10s);
        CPPUNIT_ASSERT(plan().placements.front().learnedRunTime == Duration(2s));
        step.learnedRunTime.reset();
        CPPUNIT_ASSERT(!plan().placements.front().learnedRunTime);
        step.learnedRunTime = 1s;
        addWorker("b", 2);
        step.tasks.push_back({ .index = 1, .nextRun = 1 });
        m_specs.back().isGang = true;
        m_specs.back().perTask.millicores = Millicores(4000);
        for (const auto& placement : plan().placements)
            CPPUNIT_ASSERT(placement.learnedRunTime == Duration(2s));
    }

    // Guards against a task that is late on a slow worker a moment before a fast one is free.
    void taskWaitsForAFastWorkerThatFreesSoon()
    {
        addWorker("a", 0.5);
        addWorker("b", 2);
        placeTask("b", 300ms);
        addStep(1, 500ms);
        assertChosen({});
    }

    // Guards against waiting that makes work later than a slow worker would.
    void taskDoesNotWaitIfThatEndsLater()
    {
        addWorker("a", 0.5);
        addWorker("b", 2);
        placeTask("b", 1900ms);
        addStep(1, 500ms);
        assertChosen({ "a" });
    }

    // Guards against preemption that loses a whole run to gain the moment until its end.
    void runNearItsExpectedEndIsNotPreempted()
    {
        addWorker("a", 1);
        placeTask("a", 2s, 2);
        addStep(1, 1s, 4000);
        m_specs.back().isGang = true;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, plan().preemptions.size());
        m_now += 1700ms;
        m_steps.back().deadline = m_now + 1500ms;
        CPPUNIT_ASSERT(plan().preemptions.empty());
        // A run that has far outlasted the expectation may go on for any time.
        m_now += 1700ms;
        m_steps.back().deadline = m_now + 1500ms;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, plan().preemptions.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTimeDecisionsTest);

} // namespace hickoryknot::workflow
