#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <filesystem>

#include "app/SteadyTime.h"
#include "control/WorkflowHost.h"
#include "workflow/OrganisationSamples.h"

namespace hickoryknot {

using namespace workflow;

namespace {

/// No worker is called, since none reports.
class NoWorkers final : public WorkerClient {
public:
    void start(const StartRunRequest&, RequestCompletion) override { }
    void stop(const StopRunRequest&, RequestCompletion) override { }
    void poll(const PollRequest&, PollCompletion) override { }
};

const WorkflowId first = samples::firstId;
const WorkflowId second = samples::secondId;

} // namespace

/// A group of one host that leads itself and sends nothing.
class WorkflowHostTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkflowHostTest);
    CPPUNIT_TEST(callsWithoutAValidKeyDoNothing);
    CPPUNIT_TEST(keysChangeWithTheTable);
    CPPUNIT_TEST(workflowIsHiddenFromOtherOrganisations);
    CPPUNIT_TEST(workflowOfAPublicQueueBelongsToNobody);
    CPPUNIT_TEST(cancellationThatOvertakesTheSubmissionOutlivesARestart);
    CPPUNIT_TEST(submissionBesideItsCancellationIsRejectedOrCancelled);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_io;
    HostMessageLinks m_links { m_io };
    NoWorkers m_workers;
    std::string m_folder;
    std::unique_ptr<WorkflowHost> m_host;

    template <typename Condition> void runUntil(Condition isDone)
    {
        for (const TimePoint end = steadyNow() + 20s; !isDone(); m_io.restart()) {
            CPPUNIT_ASSERT_MESSAGE("took too long", steadyNow() < end);
            m_io.run_one_for(5ms);
        }
    }

    void open()
    {
        m_host.reset();
        const HostId self("127.0.0.1:7720");
        auto host = WorkflowHost::open(m_io,
            { .self = self, .dataFolder = m_folder, .initialMembers = { self }, .toleratedLosses = 0, .seed = 1 },
            m_links, m_workers, nullptr);
        CPPUNIT_ASSERT(host);
        m_host = std::move(*host);
        runUntil([&] { return m_host->isLeading(); });
    }

    // Fails unless the reply has this status.
    void expect(const std::string& expected, const ControlCall& call)
    {
        std::optional<ControlReply> reply;
        m_host->serve(call, [&](ControlReply result) { reply = std::move(result); });
        runUntil([&] { return reply.has_value(); });
        CPPUNIT_ASSERT_EQUAL(expected, std::string(controlStatusName(reply->status)));
    }

    static CallerAddress address(const WorkflowId& id, const std::string& key, const std::string& queue)
    {
        return { .requestedHost = "host",
            .path = "/" + queue + "/" + id.value(),
            .key = key.empty() ? KeyDigest() : KeyDigest::of(key) };
    }
    static SubmitCall submit(const WorkflowId& id, const char* key, const char* queue = "q")
    {
        return { .address = address(id, key, queue), .spec = samples::accept(id, { samples::step(1) }).spec };
    }
    static StatusCall status(const WorkflowId& id, const char* key, const char* queue = "q")
    {
        return { .address = address(id, key, queue) };
    }
    static CancelCall cancel(const WorkflowId& id, const char* key) { return { .address = address(id, key, "q") }; }

public:
    void setUp() override
    {
        m_folder = (std::filesystem::temp_directory_path() / "hickoryknot-host-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(m_folder.data()));
        open();
        expect("done", ReplaceTableCall { samples::tableWith(1, { { "a", { "a1", "a2" } }, { "b", { "b1" } } }) });
        expect("done", submit(first, "a1"));
    }

    void tearDown() override
    {
        m_host.reset();
        std::filesystem::remove_all(m_folder);
    }

    // Guards against work that runs for nobody, and against telling callers of unknown queues to find a key.
    void callsWithoutAValidKeyDoNothing()
    {
        for (const char* key : { "", "unknown", "A1" }) {
            expect("unauthorised", submit(second, key));
            expect("unauthorised", status(first, key));
            expect("unauthorised", status(WorkflowId(), key));
            expect("unauthorised", cancel(first, key));
            expect("noSuchQueue", submit(second, key, "other"));
            CPPUNIT_ASSERT(!m_host->readFromReplica(status(first, key)));
        }
        CPPUNIT_ASSERT(!m_host->state().find(second) && m_host->state().find(first)->isActive());
        const auto metrics = m_host->metricsText();
        CPPUNIT_ASSERT(metrics.find("hickoryknot_calls_unauthorised_total 12\n") != std::string::npos);
        expect("done", status(WorkflowId(), "b1"));
    }

    // Guards against a withdrawn key that is valid after the operator was told that its withdrawal is in force, also
    // after a late older table and a restart.
    void keysChangeWithTheTable()
    {
        expect("done", ReplaceTableCall { samples::tableWith(2, { { "a", { "a3" } }, { "b", {} } }) });
        expect("done", ReplaceTableCall { samples::tableWith(1, { { "a", { "a1" } } }) });
        for (int i = 0; i < 2; ++i) {
            for (const char* withdrawn : { "a1", "a2", "b1" })
                expect("unauthorised", status(first, withdrawn));
            expect("done", status(first, "a3"));
            expect("done", submit(first, "a3"));
            open();
        }
    }

    // Guards against organisations that learn of, cancel, prevent or take over each other's workflows, also while the
    // acceptance is being committed.
    void workflowIsHiddenFromOtherOrganisations()
    {
        expect("noSuchWorkflow", cancel(second, "b1"));
        std::optional<ControlReply> reply;
        m_host->serve(submit(second, "a1"), [&](ControlReply result) { reply = std::move(result); });
        CPPUNIT_ASSERT(!reply);
        for (const auto& id : { second, first }) {
            expect("idTaken", submit(id, "b1"));
            expect("noSuchWorkflow", cancel(id, "b1"));
            expect("noSuchWorkflow", status(id, "b1"));
            expect("idTaken", submit(id, "", "open"));
            expect("noSuchWorkflow", status(id, "", "open"));
            CPPUNIT_ASSERT(!m_host->readFromReplica(status(id, "b1")));
            runUntil([&] { return reply.has_value(); });
            CPPUNIT_ASSERT(m_host->state().find(id)->isActive());
            CPPUNIT_ASSERT_EQUAL(std::string("a"), m_host->state().find(id)->organisation.value());
            CPPUNIT_ASSERT(m_host->readFromReplica(status(id, "a2")));
            const auto text = m_host->scheduler().explain(id, steadyNow(), wallNow());
            CPPUNIT_ASSERT_MESSAGE(text, text.find("belongs to organisation a.") != std::string::npos);
            expect("done", submit(id, "a2"));
            expect("done", cancel(id, "a2"));
        }
        CPPUNIT_ASSERT(reply->status == ControlStatus::Done);
    }

    // Guards against work of a public queue that counts for the organisation whose key happened to be sent.
    void workflowOfAPublicQueueBelongsToNobody()
    {
        expect("done", submit(second, "a1", "open"));
        CPPUNIT_ASSERT(m_host->state().find(second)->organisation.isEmpty());
        expect("done", status(second, "", "open"));
        expect("done", submit(second, "unknown", "open"));
        expect("done", cancel(second, "b1"));
    }

    // Guards against a workflow that runs although its cancellation was acknowledged: the submission came after it, and
    // a new leader did not know the cancellation.
    void cancellationThatOvertakesTheSubmissionOutlivesARestart()
    {
        expect("noSuchWorkflow", cancel(second, "a1"));
        for (int i = 0; i < 2; ++i) {
            expect("notReady", submit(second, "a1"));
            expect("noSuchWorkflow", status(second, "a1"));
            open();
        }
        CPPUNIT_ASSERT(!m_host->state().find(second));
        // Nobody can prevent another organisation's submission by cancelling its id first.
        expect("done", submit(second, "b1"));
    }

    // Guards against a submission that is acknowledged and runs although it was sent while its cancellation was being
    // committed.
    void submissionBesideItsCancellationIsRejectedOrCancelled()
    {
        std::optional<ControlReply> cancelled;
        std::optional<ControlReply> submitted;
        m_host->serve(cancel(second, "a1"), [&](ControlReply result) { cancelled = std::move(result); });
        m_host->serve(submit(second, "a2"), [&](ControlReply result) { submitted = std::move(result); });
        runUntil([&] { return cancelled && submitted; });
        CPPUNIT_ASSERT_EQUAL(std::string("noSuchWorkflow"), std::string(controlStatusName(cancelled->status)));
        CPPUNIT_ASSERT_EQUAL(std::string("notReady"), std::string(controlStatusName(submitted->status)));
        CPPUNIT_ASSERT(!m_host->state().find(second));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkflowHostTest);

} // namespace hickoryknot
