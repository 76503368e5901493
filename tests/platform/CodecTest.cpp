#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <random>

#include "CallerCodec.h"
#include "PlatformSettings.h"
#include "TaskNames.h"
#include "WorkerCodec.h"
#include "control/ControlCall.h"
#include "control/PermissionCall.h"

namespace hickoryknot::platform {

using namespace workflow;
using nlohmann::json;

namespace {

const char* const submission
    = R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,"dataRack":"r1-3"},)"
      R"({"count":20,"cpu":2000,"memMb":1024,"estimateMs":7000,"after":[0],"checkpointing":true,"gang":true}]})";
const char* const table
    = R"({"version":7,"routes":[{"name":"r1","host":"h.example","pathPrefix":"/a/","kind":"unsafe","timeoutMs":3000,)"
      R"("targetLatencyMs":1000,"priority":1,"service":"s","maxAttempts":4,"stretch":2.2,)"
      R"("advice":{"decideMs":410.0,"eachMs":5.8,"validMs":2500}}],"services":[{"name":"s","rejectsOverload":false}],"limits":{}})";
const char* const report
    = R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","warmupLeftMs":0,)"
      R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"clockMs":482113,"sequence":4,"born":1700000000000})";
const char* const settings
    = R"({"node":"n","zone":"z","ip":"10.1.0.16","internalPortRange":[7720,7735],"seeds":["10.1.0.16:8166"],"bootstrap":true,)"
      R"("dataDir":"/data","listen":{"control":"10.1.0.16:8166"},"faultTolerance":{"machines":2},)"
      R"("bounds":{"holdMaxMs":6000,"stopMs":400,"gangMs":4000,"graceS":6},"later":{"unknown":[1]}})";

HttpResponse answer(int status, std::string body)
{
    return { .status = status, .headers = {}, .body = std::move(body) };
}

} // namespace

class CodecTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CodecTest);
    CPPUNIT_TEST(submissionIsDecoded);
    CPPUNIT_TEST(faultySubmissionsAreRefused);
    CPPUNIT_TEST(tableIsDecoded);
    CPPUNIT_TEST(faultyTablesAreRefused);
    CPPUNIT_TEST(reportIsDecoded);
    CPPUNIT_TEST(reportOfAnotherWriterNamesNoWorker);
    CPPUNIT_TEST(settingsAreDecoded);
    CPPUNIT_TEST(taskNamesRoundTrip);
    CPPUNIT_TEST(listsOfAWorkerAreDecoded);
    CPPUNIT_TEST(unreadableListIsNoAnswer);
    CPPUNIT_TEST(refusalsAreTold);
    CPPUNIT_TEST(onlyWhatDidNotRunIsSaidNotToHaveRun);
    CPPUNIT_TEST(randomAndMutatedBytesBreakNothing);
    CPPUNIT_TEST_SUITE_END();

    void submissionIsDecoded()
    {
        // Guards against fields that are taken for others.
        const auto spec = decodeSubmission(submission);
        CPPUNIT_ASSERT(spec);
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, spec->steps.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), spec->steps[0].dataRack.value());
        CPPUNIT_ASSERT(spec->steps[1].isGang && spec->steps[1].isCheckpointing);
        CPPUNIT_ASSERT(spec->steps[1].estimatedRunTime == 7s);
        CPPUNIT_ASSERT_EQUAL(uint32_t { 0 }, spec->steps[1].dependencies.front());
    }

    // Guards against bodies of other types, cut short, too deep or too large that are accepted.
    void faultySubmissionsAreRefused()
    {
        const std::string whole = submission;
        for (size_t length = 0; length < whole.size(); ++length)
            CPPUNIT_ASSERT(!decodeSubmission(whole.substr(0, length)));
        for (const char* body : { "[]", "{}", R"({"steps":{}})", R"({"steps":[1]})", R"({"steps":[{"count":"4"}]})",
                 R"({"steps":[{"count":0}]})", R"({"steps":[{"count":1,"after":[0]}]})",
                 R"({"steps":[{"count":1,"cpu":-5}]})", R"({"steps":[{"count":1e300}]})",
                 R"({"spec":5,"steps":[{"count":1}]})" })
            CPPUNIT_ASSERT_MESSAGE(body, !decodeSubmission(body));
        CPPUNIT_ASSERT(!decodeSubmission(std::string(100'000, '[')));
        CPPUNIT_ASSERT(!decodeSubmission(R"({"spec":")" + std::string(5000, 'x') + R"(","steps":[{"count":1}]})"));
    }

    void tableIsDecoded()
    {
        // Guards against a table that is read back in another form than it was sent.
        const auto decoded = decodeTable(table);
        CPPUNIT_ASSERT(decoded && checkQueueTable(*decoded));
        CPPUNIT_ASSERT_EQUAL(uint64_t { 7 }, decoded->version);
        CPPUNIT_ASSERT_EQUAL(std::string(table), decoded->document);
        const Queue& queue = decoded->queues.front();
        CPPUNIT_ASSERT_EQUAL(uint32_t { 2200 }, queue.stretchPermille);
        CPPUNIT_ASSERT(queue.permission.isNeeded && queue.permission.perWorker == 5800us);
        CPPUNIT_ASSERT(decoded->resolve("h.example", "/a/x"));
        CPPUNIT_ASSERT(!decoded->resolve("h.example", "/b/x"));
    }

    // Guards against an invalid configuration that is acknowledged.
    void faultyTablesAreRefused()
    {
        const auto isValid = [](const json& body) {
            const auto decoded = decodeTable(body.dump());
            return decoded && checkQueueTable(*decoded);
        };
        const json whole = json::parse(table);
        CPPUNIT_ASSERT(isValid(whole));
        auto unknownPool = whole;
        unknownPool["routes"][0]["service"] = "other";
        auto noTimeout = whole;
        noTimeout["routes"][0]["timeoutMs"] = 0;
        auto samePlace = whole;
        samePlace["routes"].push_back(whole["routes"][0]);
        samePlace["routes"][1]["name"] = "r2";
        auto noVersion = whole;
        noVersion.erase("version");
        auto noRoutes = whole;
        noRoutes["routes"] = "none";
        for (const auto& body : { unknownPool, noTimeout, samePlace, noVersion, noRoutes })
            CPPUNIT_ASSERT_MESSAGE(body.dump(), !isValid(body));
        const std::string text = table;
        for (size_t length = 0; length < text.size(); ++length)
            CPPUNIT_ASSERT(!decodeTable(text.substr(0, length)));
    }

    void reportIsDecoded()
    {
        // Guards against lives that are taken for each other.
        const auto decoded = decodeReport(WorkerId("i-1"), report);
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(int64_t { 1700000000000 }, decoded->profile.incarnation.startTimeMs);
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), decoded->profile.rack.value());
        CPPUNIT_ASSERT_EQUAL(int64_t { 16000 }, decoded->profile.capacity.millicores.count());
        CPPUNIT_ASSERT(!decoded->profile.isDraining);
    }

    // Guards against entries of other writers that get work.
    void reportOfAnotherWriterNamesNoWorker()
    {
        const json whole = json::parse(report);
        for (const char* field : { "service", "address", "zone", "state", "capacity", "sequence" }) {
            auto lacking = whole;
            lacking.erase(field);
            CPPUNIT_ASSERT_MESSAGE(field, !decodeReport(WorkerId("i"), lacking.dump()));
            auto other = whole;
            other[field] = json::array({ 1 });
            CPPUNIT_ASSERT_MESSAGE(field, !decodeReport(WorkerId("i"), other.dump()));
        }
        auto state = whole;
        state["state"] = "resting";
        CPPUNIT_ASSERT(!decodeReport(WorkerId("i"), state.dump()));
        CPPUNIT_ASSERT(!decodeReport(WorkerId("i"), "\xff\xfe{"));
    }

    void settingsAreDecoded()
    {
        // Guards against bounds of another deployment that are not followed, and fields to come that stop the process.
        const auto decoded = decodeSettings(settings);
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT(decoded->scheduler.maxLease == 6s);
        CPPUNIT_ASSERT(decoded->scheduler.gangStartTimeout == 4s);
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, decoded->toleratedLosses);
        CPPUNIT_ASSERT(decoded->isFirstStart && decoded->operatorListen && !decoded->callerListen);
        for (const char* faulty : { "", "{}", "[1]", R"({"node":"n","zone":"z","ip":"x","internalPortRange":[1]})",
                 R"({"node":"n","zone":"z","ip":"x","internalPortRange":[1,2],"seeds":["nowhere"]})" })
            CPPUNIT_ASSERT_MESSAGE(faulty, !decodeSettings(faulty));
    }

    void taskNamesRoundTrip()
    {
        // Guards against a run that is taken for that of another task.
        const TaskRef task { .step = { WorkflowId("5c0e7a21d94b36f8"), 3, 1 }, .index = 17 };
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.3.1.17"), formatTask(task));
        CPPUNIT_ASSERT(parseTask(formatTask(task)) == task);
        for (const char* faulty : { "", "a", "a.1.2", "a.1.2.x", "a.1.2.-3", ".1.2.3", "a.1.2.99999999999", "a.1..2" })
            CPPUNIT_ASSERT_MESSAGE(faulty, !parseTask(faulty));
    }

    void listsOfAWorkerAreDecoded()
    {
        // Guards against ends that are counted as attempts although they are none.
        const auto decoded = decodeLookAnswer(answer(200,
            R"({"clockMs":5,"born":9,"running":[["a.0.1.17",2,"cp",41,980]],"ended":[[58,"a.0.1.9",1,"done",""],[59,"a.0.1.8",1,"lapsed","x"]]})"));
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(std::string("cp"), decoded->running.front().checkpoint);
        CPPUNIT_ASSERT_EQUAL(uint32_t { 41 }, decoded->running.front().percent);
        CPPUNIT_ASSERT(decoded->ended[0].outcome == RunOutcome::Done && decoded->ended[1].outcome == RunOutcome::Lost);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 59 }, decoded->ended[1].number);
    }

    // Guards against runs that count as gone because their row could not be read.
    void unreadableListIsNoAnswer()
    {
        for (const char* body : { "", "{}", R"({"clockMs":"5"})", R"({"clockMs":5,"running":{}})",
                 R"({"clockMs":5,"running":[["a",2]]})", R"({"clockMs":5,"ended":[[1,"a.0.0.0",1,"vanished",""]]})",
                 R"({"clockMs":5,"ended":[["1","a.0.0.0",1,"done",""]]})" })
            CPPUNIT_ASSERT_MESSAGE(body, !decodeLookAnswer(answer(200, body)));
        CPPUNIT_ASSERT(decodeLookAnswer(answer(421, "{}")).error().code == ErrorCode::Conflict);
    }

    void refusalsAreTold()
    {
        // Guards against a refusal that is taken for a start, or for silence.
        const std::vector<std::pair<const char*, WorkerRequestStatus>> reasons { { "fence",
                                                                                     WorkerRequestStatus::Fenced },
            { "old", WorkerRequestStatus::Outdated }, { "late", WorkerRequestStatus::LeaseExpired },
            { "room", WorkerRequestStatus::NoCapacity }, { "ticket", WorkerRequestStatus::NoPermission } };
        for (const auto& [word, verdict] : reasons)
            CPPUNIT_ASSERT(decodeOrderAnswer(answer(409, json { { "reason", word } }.dump())).status == verdict);
        CPPUNIT_ASSERT(decodeOrderAnswer(answer(409, "{}")).status == WorkerRequestStatus::NoResponse);
        CPPUNIT_ASSERT(decodeOrderAnswer(answer(503, "")).status == WorkerRequestStatus::Unhealthy);
        CPPUNIT_ASSERT(decodeOrderAnswer(answer(500, "")).status == WorkerRequestStatus::NoResponse);
        CPPUNIT_ASSERT(decodeOrderAnswer(answer(200, R"({"clockMs":7,"born":3})")).startTimeMs == 3);
    }

    // Guards against "not accepted" for what may have been accepted.
    void onlyWhatDidNotRunIsSaidNotToHaveRun()
    {
        const auto reply = [](ControlStatus verdict) {
            ControlReply made;
            made.status = verdict;
            return encodeReply(made).status;
        };
        CPPUNIT_ASSERT_EQUAL(200, reply(ControlStatus::Done));
        CPPUNIT_ASSERT_EQUAL(404, reply(ControlStatus::NoSuchQueue));
        CPPUNIT_ASSERT_EQUAL(429, reply(ControlStatus::Refused));
        CPPUNIT_ASSERT_EQUAL(503, reply(ControlStatus::NotReady));
        CPPUNIT_ASSERT_EQUAL(504, reply(ControlStatus::Uncertain));
        const Expected<ControlReply> timeout = makeError(ErrorCode::Timeout, "no answer");
        const Expected<ControlReply> unsent = makeError(ErrorCode::Unavailable, "no leader");
        CPPUNIT_ASSERT_EQUAL(504, encodeReply(timeout).status);
        CPPUNIT_ASSERT_EQUAL(503, encodeReply(unsent).status);
    }

    // Guards against bytes from outside that end the process.
    void randomAndMutatedBytesBreakNothing()
    {
        std::mt19937 random(7);
        const std::vector<std::string> samples { submission, table, report, settings,
            R"({"clockMs":5,"running":[["a.0.1.17",2,"cp",41]],"ended":[[58,"a.0.1.9",1,"done",""]]})",
            R"({"granted":[["i-1","t"]],"validMs":3000})",
            encodeControlCall(SubmitCall { { "h", "/a/b" }, *decodeSubmission(submission) }) };
        for (int i = 0; i < 20'000; ++i) {
            std::string bytes = samples[random() % samples.size()];
            if (random() % 4 == 0)
                bytes.assign(random() % 64, '\0');
            for (unsigned changes = 1 + random() % 4; changes && !bytes.empty(); --changes)
                bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
            static_cast<void>(decodeSubmission(bytes));
            static_cast<void>(decodeTable(bytes));
            static_cast<void>(decodeReport(WorkerId("i"), bytes));
            static_cast<void>(decodeSettings(bytes));
            static_cast<void>(decodeLookAnswer(answer(200, bytes)));
            static_cast<void>(decodeOrderAnswer(answer(409, bytes)));
            static_cast<void>(decodePermitReply(answer(200, bytes)));
            static_cast<void>(decodeControlCall(bytes));
            static_cast<void>(decodePermissionResponse(bytes));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

} // namespace hickoryknot::platform
