#include <cppunit/extensions/HelperMacros.h>

#include "NullObserver.h"
#include "WorkflowSamples.h"
#include "workflow/WorkflowScheduler.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

/// Which runs the scheduler learns from, and how what it has learned outlives it.
class RunTimeLearningTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunTimeLearningTest);
    CPPUNIT_TEST(endedRunsCount);
    CPPUNIT_TEST(stoppedRunsCountAsCensored);
    CPPUNIT_TEST(unusualRunsDoNotCount);
    CPPUNIT_TEST(gangCountsOnce);
    CPPUNIT_TEST(newLeaderContinuesFromTheSummary);
    CPPUNIT_TEST(unreadableSummaryIsReported);
    CPPUNIT_TEST(switchedOffDecidesAsBefore);
    CPPUNIT_TEST(explanationShowsExpectedAndElapsedTime);
    CPPUNIT_TEST_SUITE_END();

    static constexpr WallTime epoch { std::chrono::hours(24 * 365 * 50) };

    TimePoint m_now { 100s };
    NullObserver m_observer;
    const WorkKind m_kind { .queue = QueueName("q"), .image = {}, .isGang = false };

    struct Leader {
        WorkflowState state;
        std::unique_ptr<WorkflowScheduler> scheduler;
        uint64_t sequence { 0 };
        uint64_t lastEnd { 0 };
        uint64_t nextId { 0 };

        void apply(const std::vector<WorkflowCommand>& commands) { state.apply(1, encodeCommands(commands)); }
    };

    std::unique_ptr<Leader> lead(bool learns = true)
    {
        auto leader = std::make_unique<Leader>();
        SchedulerSettings settings;
        settings.learnsRunTimes = learns;
        leader->scheduler = std::make_unique<WorkflowScheduler>(settings, leader->state, m_observer);
        leader->apply({ ReplaceTable { samples::table() } });
        leader->scheduler->becomeLeader(1, m_now, epoch);
        return leader;
    }

    RunController::Requests advance(Leader& leader)
    {
        auto output = leader.scheduler->advance(m_now, epoch);
        if (output.batch) {
            leader.apply(output.commands);
            leader.scheduler->onBatchCommitted(output.batch, m_now);
        }
        return std::move(output.requests);
    }

    void respondToPoll(Leader& leader, const WorkerIncarnation& worker, std::vector<ReportedEnd> ended)
    {
        leader.scheduler->onPollResponse({ .incarnation = worker, .fence = 1, .leaseUntil = {} },
            PollResponse {
                .clock = m_now.time_since_epoch() / 1ms, .startTimeMs = 1, .running = {}, .ended = std::move(ended) },
            m_now, m_now);
    }

    // Makes the workers usable, each with room for one task of four cores.
    void report(Leader& leader)
    {
        ++leader.sequence;
        for (const char* name : { "v", "w" }) {
            const WorkerReport report {
                .profile = samples::profile(name), .sequence = leader.sequence, .clock = m_now.time_since_epoch() / 1ms
            };
            leader.scheduler->onWorkerReport(report, m_now);
            respondToPoll(leader, report.profile.incarnation, {});
        }
    }

    // Submits a workflow of one step and returns the acknowledged starts of its tasks.
    std::vector<StartRunRequest> start(Leader& leader, StepSpec spec, const char* queue = "q")
    {
        spec.perTask.millicores = Millicores(4000);
        report(leader);
        const WorkflowId id("00000000000000" + std::to_string(10 + leader.nextId++));
        auto accept = samples::accept(id, { spec }, queue);
        accept.acceptedMs = epoch.time_since_epoch() / 1ms;
        leader.apply({ accept });
        advance(leader);
        auto starts = advance(leader).starts;
        CPPUNIT_ASSERT_EQUAL(size_t { spec.count }, starts.size());
        for (const auto& request : starts)
            leader.scheduler->onStartResponse(request,
                { .status = WorkerRequestStatus::Done, .clock = m_now.time_since_epoch() / 1ms, .startTimeMs = 1 },
                m_now, m_now);
        return starts;
    }

    void end(Leader& leader, const StartRunRequest& run, RunOutcome outcome = RunOutcome::Done)
    {
        respondToPoll(leader, run.incarnation,
            { { .number = ++leader.lastEnd, .run = run.run, .outcome = outcome, .checkpoint = {} } });
        advance(leader);
        advance(leader);
    }

    // Runs one task at a time; those on "v" take three times as long.
    std::string runTasks(Leader& leader, int count)
    {
        std::string workers;
        for (int i = 0; i < count; ++i) {
            // Each second one is alone on the worker that the first has left free.
            const auto first = start(leader, samples::step(1)).front();
            const auto second = start(leader, samples::step(1)).front();
            for (int step = 1; step <= 3; ++step) {
                m_now += 100ms;
                for (const auto& run : { first, second }) {
                    if (step == (run.incarnation.worker.value() == "v" ? 3 : 1))
                        end(leader, run);
                }
            }
            workers += first.incarnation.worker.value();
        }
        return workers;
    }

    uint64_t sampleCount(const Leader& leader) const { return leader.scheduler->runTimeModel().accuracy().runs; }

    // Guards against a model that is never fed, or fed with times that include the wait for a worker.
    void endedRunsCount()
    {
        const auto leader = lead();
        for (int i = 0; i < 20; ++i) {
            const auto run = start(*leader, samples::step(1)).front();
            m_now += 2s;
            end(*leader, run);
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t { 20 }, sampleCount(*leader));
        const auto median = leader->scheduler->runTimeModel().expectedRunTime(m_kind, 1s).median;
        CPPUNIT_ASSERT(median > Duration(1700ms) && median < Duration(2200ms));
    }

    // Guards against work that seems short because its long runs are stopped.
    void stoppedRunsCountAsCensored()
    {
        const auto leader = lead();
        for (int i = 0; i < 20; ++i) {
            const auto run = start(*leader, samples::step(1)).front();
            m_now += 3s;
            leader->apply({ CancelWorkflow { run.run.task.step.workflow } });
            advance(*leader);
            end(*leader, run, RunOutcome::Stopped);
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, sampleCount(*leader));
        CPPUNIT_ASSERT(leader->scheduler->runTimeModel().expectedRunTime(m_kind, 1s).median > Duration(2s));
    }

    // Guards against run times that are too long because of remote data, or too short because of a checkpoint.
    void unusualRunsDoNotCount()
    {
        const auto leader = lead();
        auto remote = samples::step(1);
        remote.dataRack = RackId("r9");
        const auto run = start(*leader, remote).front();
        m_now += 2s;
        end(*leader, run);
        auto resumed = samples::step(1);
        resumed.isCheckpointing = true;
        const auto first = start(*leader, resumed).front();
        respondToPoll(*leader, first.incarnation,
            { { .number = ++leader->lastEnd, .run = first.run, .outcome = RunOutcome::Lost, .checkpoint = "half" } });
        advance(*leader);
        advance(*leader);
        const auto again = advance(*leader).starts;
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, again.size());
        CPPUNIT_ASSERT_EQUAL(std::string("half"), again.front().checkpoint);
        leader->scheduler->onStartResponse(again.front(),
            { .status = WorkerRequestStatus::Done, .clock = m_now.time_since_epoch() / 1ms, .startTimeMs = 1 }, m_now,
            m_now);
        m_now += 500ms;
        end(*leader, again.front());
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, sampleCount(*leader));
    }

    // Guards against a kind of work whose estimate follows its largest gang.
    void gangCountsOnce()
    {
        const auto leader = lead();
        auto spec = samples::step(2);
        spec.isGang = true;
        const auto members = start(*leader, spec);
        m_now += 2s;
        end(*leader, members[0]);
        m_now += 100ms;
        end(*leader, members[1]);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 1 }, sampleCount(*leader));
    }

    // Guards against a new leader that learns from the beginning, and a summary that a snapshot leaves out.
    void newLeaderContinuesFromTheSummary()
    {
        const auto leader = lead();
        runTasks(*leader, 30);
        CPPUNIT_ASSERT(!leader->state.runTimeSummary().empty());
        WorkflowState state;
        CPPUNIT_ASSERT(state.restore(leader->state.snapshot()));
        WorkflowScheduler next(SchedulerSettings {}, state, m_observer);
        next.becomeLeader(2, m_now, epoch);
        CPPUNIT_ASSERT(!next.runTimeSummaryError());
        CPPUNIT_ASSERT(next.runTimeModel().speedOf(samples::incarnation("v")) < 0.8);
        CPPUNIT_ASSERT(next.runTimeModel().speedOf(samples::incarnation("w")) > 1.25);
    }

    // Guards against a damaged summary that stops the group, or that nobody hears of.
    void unreadableSummaryIsReported()
    {
        const auto leader = lead();
        leader->apply({ RecordRunTimes { .summary = "nonsense" } });
        leader->scheduler->becomeLeader(2, m_now, epoch);
        CPPUNIT_ASSERT(leader->scheduler->runTimeSummaryError());
        CPPUNIT_ASSERT_EQUAL(1.0, leader->scheduler->runTimeModel().speedOf(samples::incarnation("v")));
    }

    // Guards against a switch that leaves some decision to the model. Without it the first of equally full workers is
    // taken, however slow it is.
    void switchedOffDecidesAsBefore()
    {
        const auto off = lead(false);
        CPPUNIT_ASSERT_EQUAL(std::string(30, 'v'), runTasks(*off, 30));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 0 }, off->scheduler->runTimeModel().revision());
        CPPUNIT_ASSERT(off->state.runTimeSummary().empty());
        const auto run = start(*off, samples::step(1)).front();
        CPPUNIT_ASSERT(!off->scheduler->runController().find(run.run)->learnedRunTime);
        for (const auto& [incarnation, worker] : off->scheduler->workerTracker().workers())
            CPPUNIT_ASSERT_EQUAL(1.0, worker.speed);
        const auto on = lead();
        CPPUNIT_ASSERT_EQUAL('w', runTasks(*on, 30).back());
    }

    // Guards against an explanation that hides why the work is late.
    void explanationShowsExpectedAndElapsedTime()
    {
        const auto leader = lead();
        const auto run = start(*leader, samples::step(1)).front();
        m_now += 2500ms;
        const auto text = leader->scheduler->explain(run.run.task.step.workflow, m_now, epoch);
        CPPUNIT_ASSERT(text.find("has been running on worker v for 2.5 s and is expected to take 1.0 s there")
            != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTimeLearningTest);

} // namespace hickoryknot::workflow
