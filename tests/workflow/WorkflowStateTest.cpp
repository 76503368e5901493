#include <cppunit/extensions/HelperMacros.h>

#include "WorkflowSamples.h"
#include "workflow/WorkflowFields.h"
#include "workflow/WorkflowState.h"

namespace hickoryknot::workflow {

class WorkflowStateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkflowStateTest);
    CPPUNIT_TEST(snapshotRestoresEverything);
    CPPUNIT_TEST(snapshotOfTheFirstFormatIsRead);
    CPPUNIT_TEST(snapshotOfTheSecondFormatIsRead);
    CPPUNIT_TEST(logEntryWithoutFormatIsRead);
    CPPUNIT_TEST(snapshotKeepsOrganisations);
    CPPUNIT_TEST(removedQueueIsKeptWhileWorkflowsNeedIt);
    CPPUNIT_TEST(removedQueueThatComesBackIsInTheTableOnly);
    CPPUNIT_TEST(removedQueueOutlivesASnapshot);
    CPPUNIT_TEST(corruptSnapshotChangesNothing);
    CPPUNIT_TEST(resubmittedWorkflowIsUnchanged);
    CPPUNIT_TEST(highestTableVersionWins);
    CPPUNIT_TEST(taskHasOnePlacedRunAtATime);
    CPPUNIT_TEST(gangIsPlacedCompletelyOrNotAtAll);
    CPPUNIT_TEST(membersOfAGangResumeFromOneCheckpoint);
    CPPUNIT_TEST(oneMemberCompletesTheGang);
    CPPUNIT_TEST(gangFailureCountsOnce);
    CPPUNIT_TEST(workflowFailsAfterMaxAttempts);
    CPPUNIT_TEST(taskThatCrashesItsWorkersIsGivenUp);
    CPPUNIT_TEST(crashesOfDifferentTasksAreNotAddedUp);
    CPPUNIT_TEST(unconfirmedCrashesNeedMore);
    CPPUNIT_TEST(oneConfirmedCrashMakesUnconfirmedOnesCount);
    CPPUNIT_TEST(gangWithATaskThatCrashesItsWorkersIsGivenUp);
    CPPUNIT_TEST(stoppedRunsAfterThreeCrashesAreLimited);
    CPPUNIT_TEST(crashCountsOutliveASnapshot);
    CPPUNIT_TEST(longRunningTasksAreNeverDone);
    CPPUNIT_TEST(longRunningTaskIsNotGivenUpForCrashes);
    CPPUNIT_TEST(cancelledWorkflowStartsNothing);
    CPPUNIT_TEST(cancellationOfAnUnknownWorkflowOutlivesASnapshot);
    CPPUNIT_TEST(cancellationOfAnUnknownWorkflowThatIsKnownByNowCancelsIt);
    CPPUNIT_TEST(occurrencesFinishOneByOne);
    CPPUNIT_TEST(olderIncarnationDoesNotReplaceANewerOne);
    CPPUNIT_TEST(workflowHasStartedOnceAWorkerHasExecutedAStart);
    CPPUNIT_TEST_SUITE_END();

    WorkflowState m_state;

    void apply(std::vector<WorkflowCommand> commands) { m_state.apply(1, encodeCommands(commands)); }

    void place(std::vector<RunRef> runs, const char* worker = "w")
    {
        PlaceRuns command;
        command.incarnations = { samples::incarnation(worker) };
        for (const auto& run : runs)
            command.entries.push_back({ .run = run, .incarnationIndex = 0 });
        apply({ command });
    }

    void end(const RunRef& run, RunOutcome outcome, const std::string& checkpoint = {})
    {
        apply({ EndRuns { .entries = { { .run = run, .outcome = outcome, .checkpoint = checkpoint } } } });
    }

    const WorkflowRecord& record() const { return *m_state.find(samples::firstId); }

    // Guards against a host that cannot read its own snapshot and crashes on every start once the log has been
    // compacted.
    void snapshotRestoresEverything()
    {
        apply({ ReplaceTable { samples::table(3) }, RecordWorkers { { samples::profile("w"), samples::profile("v") } },
            samples::accept(samples::firstId, { samples::step(3), samples::step(2) }) });
        place({ samples::run(samples::firstId, 0, 0), samples::run(samples::firstId, 0, 1) });
        place({ samples::run(samples::firstId, 0, 2) }, "v");
        end(samples::run(samples::firstId, 0, 1), RunOutcome::Stopped, "cp");
        WorkflowState other;
        CPPUNIT_ASSERT(other.restore(m_state.snapshot()));
        CPPUNIT_ASSERT_EQUAL(m_state.digest(), other.digest());
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, other.placedRuns().size());
        CPPUNIT_ASSERT_EQUAL(std::string("v"), other.placedRuns().back().incarnation->worker.value());
        CPPUNIT_ASSERT_EQUAL(
            std::string("cp"), other.find(samples::firstId)->find({ { samples::firstId, 0, 0 }, 1 })->checkpoint);
    }

    // Guards against a host that loses its state when it is upgraded: the first format has no crash counts.
    void snapshotOfTheFirstFormatIsRead()
    {
        apply({ ReplaceTable { samples::table(3) }, samples::accept(samples::firstId, { samples::step(1) }) });
        end(samples::run(samples::firstId, 0, 0), RunOutcome::Stopped);
        FieldWriter writer;
        writer(uint64_t { 1 });
        writeTableWithoutOrganisations(writer, m_state.table());
        writer(uint64_t { 1 });
        writeOldRecord(writer, record(), false);
        writer(uint64_t { 0 }, uint64_t { 0 });
        WorkflowState other;
        CPPUNIT_ASSERT(other.restore(writer.finish()));
        CPPUNIT_ASSERT_EQUAL(m_state.digest(), other.digest());
    }

    // Guards against the same: the second format has no removed queues.
    void snapshotOfTheSecondFormatIsRead()
    {
        apply({ ReplaceTable { samples::table(3) }, samples::accept(samples::firstId, { samples::step(1) }) });
        FieldWriter writer;
        writer(uint64_t { 2 });
        writeTableWithoutOrganisations(writer, m_state.table());
        writer(uint64_t { 1 });
        writeOldRecord(writer, record(), true);
        writer(uint64_t { 0 }, uint64_t { 0 });
        WorkflowState other;
        CPPUNIT_ASSERT(other.restore(writer.finish()));
        CPPUNIT_ASSERT(*other.find(samples::firstId) == record());
        CPPUNIT_ASSERT_EQUAL(m_state.digest(), other.digest());
    }

    // The fields of a table in snapshots and log entries before the fourth format.
    static void writeTableWithoutOrganisations(FieldWriter& writer, const QueueTable& table)
    {
        writer(table.version, static_cast<uint64_t>(table.queues.size()));
        for (const auto& queue : table.queues)
            writer(queue.name, queue.callerHost, queue.urlPrefix, queue.pool, queue.priority, queue.maxAttempts,
                queue.stretchPermille, queue.targetLatency, queue.callTimeout, queue.permission);
        writer(table.pools, table.document);
    }

    // The fields of a workflow in snapshots before the fourth format; the first one has no crash counts.
    static void writeOldRecord(FieldWriter& writer, const WorkflowRecord& record, bool hasCrashCounts)
    {
        writer(record.id, record.queue, record.pool, record.maxAttempts, record.spec, record.phase, record.acceptedMs,
            record.hasStarted, static_cast<uint64_t>(record.occurrences.size()));
        for (const auto& occurrence : record.occurrences) {
            writer(occurrence.number, occurrence.isFinished, static_cast<uint64_t>(occurrence.steps.size()));
            for (const auto& step : occurrence.steps) {
                writer(static_cast<uint64_t>(step.tasks.size()));
                for (const auto& task : step.tasks) {
                    writer(
                        task.outcome, task.run, task.failures, task.isPlaced, task.incarnationIndex, task.checkpoint);
                    if (hasCrashCounts)
                        writer(task.crashes, task.unconfirmedCrashes);
                }
                writer(step.open, step.placed, step.gangFailures, step.lastFailedRun);
            }
        }
        writer(record.begunOccurrences, record.finishedOccurrences, record.placed);
        if (hasCrashCounts)
            writer(record.failureCause);
    }

    // Guards against a host that cannot read the log of an earlier version, whose entries state no format and have no
    // organisations.
    void logEntryWithoutFormatIsRead()
    {
        const AcceptWorkflow accept = samples::accept(samples::firstId, { samples::step(1) });
        FieldWriter table;
        table(uint64_t { 0 });
        writeTableWithoutOrganisations(table, samples::table(3));
        FieldWriter acceptance;
        acceptance(
            uint64_t { 1 }, accept.id, accept.queue, accept.pool, accept.maxAttempts, accept.spec, accept.acceptedMs);
        FieldWriter entry;
        entry(std::vector<std::string> { table.finish(), acceptance.finish() });
        m_state.apply(1, entry.finish());
        CPPUNIT_ASSERT(m_state.table() == samples::table(3));
        CPPUNIT_ASSERT(record().organisation.isEmpty());
    }

    // Guards against an organisation that is forgotten when a host restores a snapshot.
    void snapshotKeepsOrganisations()
    {
        QueueTable table = samples::table(3);
        table.queues.front().isPublic = true;
        table.organisations = { { .name = OrganisationName("club"),
            .keys = { KeyDigest::of("one"), KeyDigest::of("two") },
            .weight = 2.5,
            .limit = { .millicores = Millicores(4000), .mebibytes = {}, .accelerators = {} } } };
        auto accept = samples::accept(samples::firstId, { samples::step(1) });
        accept.organisation = OrganisationName("club");
        apply({ ReplaceTable { table }, accept });
        WorkflowState other;
        CPPUNIT_ASSERT(other.restore(m_state.snapshot()));
        CPPUNIT_ASSERT(other.table() == table);
        CPPUNIT_ASSERT(other.find(samples::firstId)->organisation == OrganisationName("club"));
    }

    static const Queue& findQueue(const WorkflowState& state)
    {
        const Queue* queue = state.findQueue(*state.find(samples::firstId));
        CPPUNIT_ASSERT(queue);
        return *queue;
    }

    // The sample table without the queue "q".
    static QueueTable tableWithoutQueue(uint64_t version)
    {
        QueueTable table = samples::table(version);
        table.queues.erase(table.queues.begin());
        return table;
    }

    // Guards against workflows whose starts are rejected for good, since all but the pool of their removed queue was
    // forgotten.
    void removedQueueIsKeptWhileWorkflowsNeedIt()
    {
        QueueTable table = samples::table(1);
        table.queues[0].priority = 3;
        table.queues[0].permission = { .isNeeded = true, .perCall = 10ms, .perWorker = 1ms, .validity = 2s };
        apply({ ReplaceTable { table }, samples::accept(samples::firstId, { samples::step(1) }) });
        apply({ ReplaceTable { tableWithoutQueue(2) } });
        apply({ ReplaceTable { tableWithoutQueue(3) } });
        CPPUNIT_ASSERT(!m_state.table().find(QueueName("q")));
        CPPUNIT_ASSERT(findQueue(m_state) == table.queues[0]);
        // A run that occupies a worker needs the queue also after its workflow was cancelled.
        place({ samples::run(samples::firstId, 0, 0) });
        apply({ CancelWorkflow { samples::firstId }, ReplaceTable { tableWithoutQueue(4) } });
        findQueue(m_state);
        end(samples::run(samples::firstId, 0, 0), RunOutcome::Stopped);
        apply({ ReplaceTable { tableWithoutQueue(5) } });
        CPPUNIT_ASSERT(m_state.removedQueues().empty());
    }

    // Guards against work that goes on by the old row of a queue that operators have added again.
    void removedQueueThatComesBackIsInTheTableOnly()
    {
        apply({ ReplaceTable { samples::table(1) }, samples::accept(samples::firstId, { samples::step(1) }) });
        apply({ ReplaceTable { tableWithoutQueue(2) } });
        QueueTable table = samples::table(3);
        table.queues[0].priority = 5;
        apply({ ReplaceTable { table } });
        CPPUNIT_ASSERT_EQUAL(uint32_t { 5 }, findQueue(m_state).priority);
        CPPUNIT_ASSERT(m_state.removedQueues().empty());
    }

    // Guards against a queue that is forgotten when a host restores a snapshot.
    void removedQueueOutlivesASnapshot()
    {
        apply({ ReplaceTable { samples::table(1) }, samples::accept(samples::firstId, { samples::step(1) }) });
        apply({ ReplaceTable { tableWithoutQueue(2) } });
        WorkflowState other;
        CPPUNIT_ASSERT(other.restore(m_state.snapshot()));
        CPPUNIT_ASSERT(findQueue(other) == samples::queue());
        CPPUNIT_ASSERT_EQUAL(m_state.digest(), other.digest());
    }

    // Guards against a state that is partially replaced by a corrupt snapshot.
    void corruptSnapshotChangesNothing()
    {
        apply({ ReplaceTable { samples::table(3) }, samples::accept(samples::firstId, { samples::step(1) }) });
        place({ samples::run(samples::firstId, 0, 0) });
        const auto whole = m_state.snapshot();
        const auto digest = m_state.digest();
        for (size_t length = 0; length < whole.size(); ++length)
            CPPUNIT_ASSERT(!m_state.restore(whole.substr(0, length)));
        CPPUNIT_ASSERT_EQUAL(digest, m_state.digest());
    }

    // Guards against a second or changed workflow when a caller retries its submission.
    void resubmittedWorkflowIsUnchanged()
    {
        apply({ samples::accept(samples::firstId, { samples::step(2) }) });
        place({ samples::run(samples::firstId, 0, 0) });
        const auto digest = m_state.digest();
        apply({ samples::accept(samples::firstId, { samples::step(5) }) });
        CPPUNIT_ASSERT_EQUAL(digest, m_state.digest());
    }

    // Guards against an older table that replaces a newer one, and against different content with the current version.
    void highestTableVersionWins()
    {
        apply({ ReplaceTable { samples::table(5) } });
        auto other = samples::table(5);
        other.document = "other";
        apply({ ReplaceTable { other }, ReplaceTable { samples::table(4) } });
        CPPUNIT_ASSERT_EQUAL(uint64_t { 5 }, m_state.table().version);
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), m_state.table().document);
    }

    // Guards against a second start of a task that may still run, and against a reused run number.
    void taskHasOnePlacedRunAtATime()
    {
        apply({ samples::accept(samples::firstId, { samples::step(1) }) });
        place({ samples::run(samples::firstId, 0, 0, 1) });
        place({ samples::run(samples::firstId, 0, 0, 2) }, "v");
        CPPUNIT_ASSERT_EQUAL(std::string("w"), m_state.placedRuns().front().incarnation->worker.value());
        end(samples::run(samples::firstId, 0, 0, 1), RunOutcome::Lost);
        place({ samples::run(samples::firstId, 0, 0, 1) });
        CPPUNIT_ASSERT(m_state.placedRuns().empty());
        place({ samples::run(samples::firstId, 0, 0, 2) });
        end(samples::run(samples::firstId, 0, 0, 1), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_state.placedRuns().size());
        end(samples::run(samples::firstId, 0, 0, 2), RunOutcome::Done);
        CPPUNIT_ASSERT(record().phase == WorkflowPhase::Completed);
        place({ samples::run(samples::firstId, 0, 0, 3) });
        CPPUNIT_ASSERT(m_state.placedRuns().empty());
    }

    // Guards against gang members that wait because another one could not be placed.
    void gangIsPlacedCompletelyOrNotAtAll()
    {
        auto gang = samples::step(2);
        gang.isGang = true;
        apply({ samples::accept(samples::firstId, { gang }) });
        place({ samples::run(samples::firstId, 0, 0), samples::run(samples::firstId, 0, 1) });
        end(samples::run(samples::firstId, 0, 0), RunOutcome::GangMemberEnded);
        place({ samples::run(samples::firstId, 0, 0, 2), samples::run(samples::firstId, 0, 1, 2) });
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_state.placedRuns().size());
    }

    // Guards against members that start from different checkpoints: one worker crashed after it had listed an earlier
    // one than the others listed at their ends, or lists nothing.
    void membersOfAGangResumeFromOneCheckpoint()
    {
        auto gang = samples::step(4);
        gang.isGang = gang.isCheckpointing = true;
        apply({ samples::accept(samples::firstId, { gang }) });
        const auto placeRun = [&](uint32_t number) {
            std::vector<RunRef> runs;
            for (uint32_t index = 0; index < gang.count; ++index)
                runs.push_back(samples::run(samples::firstId, 0, index, number));
            place(runs);
        };
        const auto endRun = [&](uint32_t number, const std::vector<const char*>& checkpoints) {
            for (uint32_t index = 0; index < gang.count; ++index) {
                const auto outcome = index ? RunOutcome::GangMemberEnded : RunOutcome::Lost;
                end(samples::run(samples::firstId, 0, index, number), outcome, checkpoints[index]);
            }
        };
        const auto expectAll = [&](const std::string& expected) {
            for (const auto& task : record().occurrences.front().steps.front().tasks)
                CPPUNIT_ASSERT_EQUAL(expected, task.checkpoint);
        };
        placeRun(1);
        expectAll("");
        endRun(1, { "first", "second", "second", "second" });
        placeRun(2);
        expectAll("second");
        // A member whose end is known does not change what the starts of the others carry.
        end(samples::run(samples::firstId, 0, 3, 2), RunOutcome::GangMemberEnded, "third");
        CPPUNIT_ASSERT_EQUAL(std::string("second"), record().find({ { samples::firstId, 0, 0 }, 0 })->checkpoint);
        end(samples::run(samples::firstId, 0, 0, 2), RunOutcome::Lost);
        end(samples::run(samples::firstId, 0, 1, 2), RunOutcome::GangMemberEnded, "third");
        end(samples::run(samples::firstId, 0, 2, 2), RunOutcome::GangMemberEnded, "fourth");
        placeRun(3);
        expectAll("third");
        endRun(3, { "", "", "", "" });
        placeRun(4);
        expectAll("third");
    }

    // Guards against a finished gang that is not marked as done, and against workers whose capacity is released before
    // all members have ended.
    void oneMemberCompletesTheGang()
    {
        auto gang = samples::step(3);
        gang.isGang = true;
        apply({ samples::accept(samples::firstId, { gang }) });
        place({ samples::run(samples::firstId, 0, 0), samples::run(samples::firstId, 0, 1),
            samples::run(samples::firstId, 0, 2) });
        end(samples::run(samples::firstId, 0, 1), RunOutcome::Done);
        CPPUNIT_ASSERT(record().phase == WorkflowPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, m_state.placedRuns().size());
        end(samples::run(samples::firstId, 0, 0), RunOutcome::GangMemberEnded);
        end(samples::run(samples::firstId, 0, 2), RunOutcome::Done);
        CPPUNIT_ASSERT(m_state.placedRuns().empty());
        CPPUNIT_ASSERT(record().spec.command.empty());
    }

    // Guards against a gang that uses up its attempts in one run because each member reports the failure.
    void gangFailureCountsOnce()
    {
        auto gang = samples::step(2);
        gang.isGang = true;
        apply({ samples::accept(samples::firstId, { gang }) });
        for (uint32_t number = 1; number <= 2; ++number) {
            CPPUNIT_ASSERT(record().phase == WorkflowPhase::Active);
            place({ samples::run(samples::firstId, 0, 0, number), samples::run(samples::firstId, 0, 1, number) });
            end(samples::run(samples::firstId, 0, 0, number), RunOutcome::Failed);
            end(samples::run(samples::firstId, 0, 1, number), RunOutcome::Failed);
        }
        CPPUNIT_ASSERT(record().phase == WorkflowPhase::Failed);
    }

    // Guards against starts after the last attempt, and against lost runs that count as attempts.
    void workflowFailsAfterMaxAttempts()
    {
        apply({ samples::accept(samples::firstId, { samples::step(1) }) });
        uint32_t number = 0;
        for (const auto outcome : { RunOutcome::Lost, RunOutcome::Stopped, RunOutcome::Failed, RunOutcome::NeverStarted,
                 RunOutcome::Failed }) {
            CPPUNIT_ASSERT(record().phase == WorkflowPhase::Active);
            place({ samples::run(samples::firstId, 0, 0, ++number) });
            end(samples::run(samples::firstId, 0, 0, number), outcome);
        }
        CPPUNIT_ASSERT(record().phase == WorkflowPhase::Failed);
        place({ samples::run(samples::firstId, 0, 0, ++number) });
        CPPUNIT_ASSERT(m_state.placedRuns().empty());
    }

    // Places and ends the next run of a task and returns whether the workflow is still active.
    bool runOnce(uint32_t index, uint32_t number, RunOutcome outcome)
    {
        const auto run = samples::run(samples::firstId, 0, index, number);
        place({ run });
        end(run, outcome);
        return record().phase == WorkflowPhase::Active;
    }

    // Guards against a task that crashes one worker after the other.
    void taskThatCrashesItsWorkersIsGivenUp()
    {
        apply({ samples::accept(samples::firstId, { samples::step(1) }) });
        CPPUNIT_ASSERT(runOnce(0, 1, RunOutcome::WorkerCrashed));
        CPPUNIT_ASSERT(runOnce(0, 2, RunOutcome::Lost));
        CPPUNIT_ASSERT(runOnce(0, 3, RunOutcome::WorkerCrashed));
        CPPUNIT_ASSERT(!runOnce(0, 4, RunOutcome::WorkerCrashed));
        CPPUNIT_ASSERT(record().phase == WorkflowPhase::Failed);
        CPPUNIT_ASSERT(record().failureCause == FailureCause::WorkerCrashes);
        place({ samples::run(samples::firstId, 0, 0, 5) });
        CPPUNIT_ASSERT(m_state.placedRuns().empty());
    }

    // Guards against a workflow that fails because workers crashed under several of its tasks, as many do when a rack
    // loses power.
    void crashesOfDifferentTasksAreNotAddedUp()
    {
        apply({ samples::accept(samples::firstId, { samples::step(4) }) });
        for (uint32_t index = 0; index < 4; ++index) {
            CPPUNIT_ASSERT(runOnce(index, 1, RunOutcome::WorkerCrashed));
            CPPUNIT_ASSERT(runOnce(index, 2, RunOutcome::WorkerCrashed));
        }
        for (uint32_t index = 0; index < 4; ++index)
            runOnce(index, 3, RunOutcome::Done);
        CPPUNIT_ASSERT(record().phase == WorkflowPhase::Completed);
    }

    // Guards against a task that is given up for crashes of workers that may never have started it.
    void unconfirmedCrashesNeedMore()
    {
        apply({ samples::accept(samples::firstId, { samples::step(1) }) });
        for (uint32_t number = 1; number <= 4; ++number)
            CPPUNIT_ASSERT(runOnce(0, number, RunOutcome::WorkerMayHaveCrashed));
        CPPUNIT_ASSERT(!runOnce(0, 5, RunOutcome::WorkerMayHaveCrashed));
        CPPUNIT_ASSERT(record().failureCause == FailureCause::WorkerCrashes);
    }

    // Guards against a start for which a worker crashes once more than the platform allows.
    void oneConfirmedCrashMakesUnconfirmedOnesCount()
    {
        apply({ samples::accept(samples::firstId, { samples::step(1) }) });
        for (uint32_t number = 1; number <= 2; ++number)
            CPPUNIT_ASSERT(runOnce(0, number, RunOutcome::WorkerMayHaveCrashed));
        CPPUNIT_ASSERT(runOnce(0, 3, RunOutcome::WorkerCrashed));
        CPPUNIT_ASSERT(!runOnce(0, 4, RunOutcome::WorkerMayHaveCrashed));
        CPPUNIT_ASSERT(record().failureCause == FailureCause::WorkerCrashes);
    }

    // Guards against a task that is started three times more after three workers have crashed under it, because its
    // runs ended as stopped meanwhile (seed 28 of the random schedules on arm64).
    void stoppedRunsAfterThreeCrashesAreLimited()
    {
        apply({ samples::accept(samples::firstId, { samples::step(1) }) });
        CPPUNIT_ASSERT(runOnce(0, 1, RunOutcome::WorkerMayHaveCrashed));
        CPPUNIT_ASSERT(runOnce(0, 2, RunOutcome::WorkerCrashed));
        CPPUNIT_ASSERT(runOnce(0, 3, RunOutcome::WorkerCrashed));
        CPPUNIT_ASSERT(runOnce(0, 4, RunOutcome::Stopped));
        CPPUNIT_ASSERT(!runOnce(0, 5, RunOutcome::GangIncomplete));
        CPPUNIT_ASSERT(record().failureCause == FailureCause::WorkerCrashes);
    }

    // Guards against a gang that starts again and again because one of its tasks crashes its worker: the other members
    // end as broken, so the gang uses up no attempts.
    void gangWithATaskThatCrashesItsWorkersIsGivenUp()
    {
        auto gang = samples::step(2);
        gang.isGang = true;
        apply({ samples::accept(samples::firstId, { gang }) });
        for (uint32_t number = 1; number <= 3; ++number) {
            CPPUNIT_ASSERT(record().phase == WorkflowPhase::Active);
            place({ samples::run(samples::firstId, 0, 0, number), samples::run(samples::firstId, 0, 1, number) });
            end(samples::run(samples::firstId, 0, 1, number), RunOutcome::WorkerCrashed);
            end(samples::run(samples::firstId, 0, 0, number), RunOutcome::GangMemberEnded);
        }
        CPPUNIT_ASSERT(record().phase == WorkflowPhase::Failed);
    }

    // Guards against a count that starts again when a host restores a snapshot.
    void crashCountsOutliveASnapshot()
    {
        apply({ samples::accept(samples::firstId, { samples::step(1) }) });
        CPPUNIT_ASSERT(runOnce(0, 1, RunOutcome::WorkerCrashed));
        CPPUNIT_ASSERT(runOnce(0, 2, RunOutcome::WorkerCrashed));
        CPPUNIT_ASSERT(m_state.restore(m_state.snapshot()));
        CPPUNIT_ASSERT(!runOnce(0, 3, RunOutcome::WorkerCrashed));
        CPPUNIT_ASSERT(m_state.restore(m_state.snapshot()));
        CPPUNIT_ASSERT(record().failureCause == FailureCause::WorkerCrashes);
    }

    // Guards against a service that is not restarted after one of its tasks ended.
    void longRunningTasksAreNeverDone()
    {
        auto service = samples::step(1);
        service.isLongRunning = true;
        apply({ samples::accept(samples::firstId, { service }) });
        uint32_t number = 0;
        for (const auto outcome : { RunOutcome::Done, RunOutcome::Failed, RunOutcome::Failed, RunOutcome::Failed }) {
            place({ samples::run(samples::firstId, 0, 0, ++number) });
            CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_state.placedRuns().size());
            end(samples::run(samples::firstId, 0, 0, number), outcome);
            CPPUNIT_ASSERT(record().phase == WorkflowPhase::Active);
        }
    }

    // Guards against a service that ends for good because one unstable machine crashed under it a few times.
    void longRunningTaskIsNotGivenUpForCrashes()
    {
        auto service = samples::step(1);
        service.isLongRunning = true;
        apply({ samples::accept(samples::firstId, { service }) });
        for (uint32_t number = 1; number <= 10; ++number) {
            place({ samples::run(samples::firstId, 0, 0, number) });
            const auto outcome = number % 2 ? RunOutcome::WorkerCrashed : RunOutcome::WorkerMayHaveCrashed;
            end(samples::run(samples::firstId, 0, 0, number), outcome);
            CPPUNIT_ASSERT(record().phase == WorkflowPhase::Active);
        }
        // It may still be what crashes its workers, so it runs apart from other suspects.
        CPPUNIT_ASSERT(record().find({ { samples::firstId, 0, 0 }, 0 })->isSuspect());
    }

    CancelUnknownWorkflow cancelUnknown(const WorkflowId& id, const char* organisation = "")
    {
        return { .id = id, .queue = QueueName("q"), .organisation = OrganisationName(organisation) };
    }

    // Guards against a cancelled workflow that runs once a host has restored a snapshot instead of replaying the log,
    // and against a snapshot that makes room for others.
    void cancellationOfAnUnknownWorkflowOutlivesASnapshot()
    {
        apply({ ReplaceTable { samples::table(3) }, cancelUnknown(samples::firstId) });
        WorkflowState other;
        CPPUNIT_ASSERT(other.restore(m_state.snapshot()));
        CPPUNIT_ASSERT_EQUAL(m_state.digest(), other.digest());
        const auto accept = samples::accept(samples::firstId, { samples::step(1) });
        other.apply(1, encodeCommands({ accept }));
        CPPUNIT_ASSERT(!other.find(samples::firstId));
        other.apply(1, encodeCommands({ RemoveEarlyCancellations { { { samples::firstId, {} } } }, accept }));
        CPPUNIT_ASSERT(other.find(samples::firstId));
    }

    // Guards against an acknowledged cancellation without effect: the acceptance was committed between the decision of
    // the leader, who did not know the workflow, and the commit of the cancellation.
    void cancellationOfAnUnknownWorkflowThatIsKnownByNowCancelsIt()
    {
        apply({ ReplaceTable { samples::table(3) }, samples::accept(samples::firstId, { samples::step(1) }),
            cancelUnknown(samples::firstId) });
        CPPUNIT_ASSERT(record().phase == WorkflowPhase::Cancelled);
        CPPUNIT_ASSERT_EQUAL(size_t { 0 }, m_state.earlyCancellations().size());
        // Another organisation's workflow stays, and the caller's own submission of this id is not accepted later.
        QueueTable table = samples::table(4);
        table.organisations = { { .name = OrganisationName("a") }, { .name = OrganisationName("b") } };
        auto accept = samples::accept(samples::secondId, { samples::step(1) });
        accept.organisation = OrganisationName("a");
        apply({ ReplaceTable { table }, accept, cancelUnknown(samples::secondId, "b") });
        CPPUNIT_ASSERT(m_state.find(samples::secondId)->isActive());
        apply({ CancelWorkflow { samples::secondId }, RemoveWorkflows { { samples::secondId } } });
        accept.organisation = OrganisationName("b");
        apply({ accept });
        CPPUNIT_ASSERT(!m_state.find(samples::secondId));
    }

    // Guards against starts that are committed after the cancellation.
    void cancelledWorkflowStartsNothing()
    {
        apply({ samples::accept(samples::firstId, { samples::step(2) }) });
        place({ samples::run(samples::firstId, 0, 0) });
        apply({ CancelWorkflow { samples::firstId } });
        place({ samples::run(samples::firstId, 0, 1) });
        CPPUNIT_ASSERT_EQUAL(size_t { 1 }, m_state.placedRuns().size());
        end(samples::run(samples::firstId, 0, 0), RunOutcome::Done);
        CPPUNIT_ASSERT(record().phase == WorkflowPhase::Cancelled);
        apply({ RemoveWorkflows { { samples::firstId } } });
        CPPUNIT_ASSERT(!m_state.find(samples::firstId));
    }

    // Guards against a timed workflow that ends with its first occurrence or keeps the tasks of all occurrences.
    void occurrencesFinishOneByOne()
    {
        auto command = samples::accept(samples::firstId, { samples::step(1) });
        command.spec.repeatCount = 2;
        command.spec.intervalMs = 1000;
        apply({ command });
        CPPUNIT_ASSERT(record().occurrences.empty());
        for (uint32_t occurrence = 0; occurrence < 2; ++occurrence) {
            apply({ BeginOccurrence { samples::firstId, occurrence } });
            const RunRef run { { { samples::firstId, occurrence, 0 }, 0 }, 1 };
            place({ run });
            end(run, RunOutcome::Done);
            CPPUNIT_ASSERT(record().occurrences.empty());
        }
        CPPUNIT_ASSERT(record().phase == WorkflowPhase::Completed);
    }

    // Guards against a workflow that counts as started because of a start that no worker may have executed.
    void workflowHasStartedOnceAWorkerHasExecutedAStart()
    {
        apply({ samples::accept(samples::firstId, { samples::step(1) }),
            samples::accept(samples::secondId, { samples::step(1) }) });
        uint32_t number = 0;
        for (const auto outcome : { RunOutcome::NeverStarted, RunOutcome::Lost, RunOutcome::WorkerMayHaveCrashed }) {
            place({ samples::run(samples::firstId, 0, 0, ++number) });
            end(samples::run(samples::firstId, 0, 0, number), outcome);
            CPPUNIT_ASSERT(!record().hasStarted);
        }
        place({ samples::run(samples::firstId, 0, 0, ++number) });
        end(samples::run(samples::firstId, 0, 0, number), RunOutcome::Stopped);
        CPPUNIT_ASSERT(record().hasStarted);
        apply({ RecordStarts { { samples::secondId, WorkflowId("unknown") } } });
        CPPUNIT_ASSERT(m_state.find(samples::secondId)->hasStarted);
    }

    // Guards against a late report that restores an ended incarnation.
    void olderIncarnationDoesNotReplaceANewerOne()
    {
        apply({ RecordWorkers { { samples::profile("w", 7) } }, RecordWorkers { { samples::profile("w", 3) } } });
        CPPUNIT_ASSERT_EQUAL(int64_t { 7 }, m_state.workers().at(WorkerId("w")).incarnation.startTimeMs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkflowStateTest);

} // namespace hickoryknot::workflow
