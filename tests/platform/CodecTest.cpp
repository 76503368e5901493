#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <random>
#include <tuple>

#include "CallerCodec.h"
#include "PlatformSettings.h"
#include "TaskNames.h"
#include "WorkerCodec.h"
#include "control/ControlCall.h"
#include "control/PermissionCall.h"
#include "workflow/WorkflowCommand.h"

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
const char* const tableWithOrganisations
    = R"({"version":8,"routes":[{"name":"r1","host":"h.example","pathPrefix":"/a/","timeoutMs":3000,"service":"s"},)"
      R"({"name":"r2","host":"h.example","pathPrefix":"/b/","timeoutMs":3000,"service":"s","public":true}],)"
      R"("services":[{"name":"s"}],"tenants":[{"name":"Bäcker & Söhne","apiKeys":["secret-1","secret-2"],"priority":3,)"
      R"("weight":2.3,"maxCount":{"cpu":40000,"memMb":81920,"gpu":2},"later":[]},{"name":"b","apiKeys":[]}]})";
const char* const report
    = R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","warmupLeftMs":0,)"
      R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"clockMs":482113,"sequence":4,"born":1700000000000})";
const char* const settings
    = R"({"node":"n","zone":"z","ip":"10.1.0.16","internalPortRange":[7720,7735],"seeds":["10.1.0.16:8166"],"bootstrap":true,)"
      R"("dataDir":"/data","listen":{"control":"10.1.0.16:8166"},"faultTolerance":{"machines":2},)"
      R"("bounds":{"holdMaxMs":6000,"stopMs":400,"gangMs":4000,"graceS":6,"contactMs":3000},"later":{"unknown":[1]}})";

HttpResponse httpResponse(int status, std::string body)
{
    return { .status = status, .headers = {}, .body = std::move(body) };
}

} // namespace

class CodecTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CodecTest);
    CPPUNIT_TEST(submissionIsDecoded);
    CPPUNIT_TEST(invalidSubmissionsAreRejected);
    CPPUNIT_TEST(tableIsDecoded);
    CPPUNIT_TEST(invalidTablesAreRejected);
    CPPUNIT_TEST(organisationsAreDecoded);
    CPPUNIT_TEST(invalidOrganisationsAreRejectedWithoutTheirKeys);
    CPPUNIT_TEST(keyIsTakenFromTheAuthorizationHeader);
    CPPUNIT_TEST(missingKeyAndTakenIdHaveStatusesOfTheirOwn);
    CPPUNIT_TEST(reportIsDecoded);
    CPPUNIT_TEST(invalidReportsAreRejected);
    CPPUNIT_TEST(oddReportsNameNoWorker);
    CPPUNIT_TEST(deeplyNestedInputIsRejected);
    CPPUNIT_TEST(durationsOutOfRangeAreRejected);
    CPPUNIT_TEST(settingsAreDecoded);
    CPPUNIT_TEST(taskNamesRoundTrip);
    CPPUNIT_TEST(pollResponseIsDecoded);
    CPPUNIT_TEST(invalidPollResponsesAreRejected);
    CPPUNIT_TEST(fullListOfEndsMayBeCutShort);
    CPPUNIT_TEST(missingListIsNoEmptyList);
    CPPUNIT_TEST(rejectionReasonsAreDecoded);
    CPPUNIT_TEST(onlyCallsNotExecutedAreReportedSo);
    CPPUNIT_TEST(numbersBeyondTheirTypeAreRejected);
    CPPUNIT_TEST(randomAndMutatedInputIsHandled);
    CPPUNIT_TEST_SUITE_END();

    void submissionIsDecoded()
    {
        // Guards against confusing fields.
        const auto spec = decodeSubmission(submission);
        CPPUNIT_ASSERT(spec);
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, spec->steps.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), spec->steps[0].dataRack.value());
        CPPUNIT_ASSERT(spec->steps[1].isGang && spec->steps[1].isCheckpointing);
        CPPUNIT_ASSERT(spec->steps[1].estimatedRunTime == 7s);
        CPPUNIT_ASSERT_EQUAL(uint32_t { 0 }, spec->steps[1].dependencies.front());
    }

    // Guards against accepting bodies that are truncated, too deep, too large or of the wrong type.
    void invalidSubmissionsAreRejected()
    {
        const std::string valid = submission;
        for (size_t length = 0; length < valid.size(); ++length)
            CPPUNIT_ASSERT(!decodeSubmission(valid.substr(0, length)));
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
        // Guards against returning a table in another form than it was sent.
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

    // Guards against acknowledging an invalid configuration.
    void invalidTablesAreRejected()
    {
        const auto isValid = [](const json& body) {
            const auto decoded = decodeTable(body.dump());
            return decoded && checkQueueTable(*decoded);
        };
        const json valid = json::parse(table);
        CPPUNIT_ASSERT(isValid(valid));
        auto unknownPool = valid;
        unknownPool["routes"][0]["service"] = "other";
        auto noTimeout = valid;
        noTimeout["routes"][0]["timeoutMs"] = 0;
        auto duplicateRoute = valid;
        duplicateRoute["routes"].push_back(valid["routes"][0]);
        duplicateRoute["routes"][1]["name"] = "r2";
        auto noVersion = valid;
        noVersion.erase("version");
        auto noRoutes = valid;
        noRoutes["routes"] = "none";
        for (const auto& body : { unknownPool, noTimeout, duplicateRoute, noVersion, noRoutes })
            CPPUNIT_ASSERT_MESSAGE(body.dump(), !isValid(body));
        const std::string text = table;
        for (size_t length = 0; length < text.size(); ++length)
            CPPUNIT_ASSERT(!decodeTable(text.substr(0, length)));
    }

    // Guards against keys that are kept as they were written, and weights that are cut to whole numbers.
    void organisationsAreDecoded()
    {
        const auto decoded = decodeTable(tableWithOrganisations);
        CPPUNIT_ASSERT(decoded && checkQueueTable(*decoded) && decoded->organisations.size() == 2);
        CPPUNIT_ASSERT(!decoded->queues[0].isPublic && decoded->queues[1].isPublic);
        const Organisation& first = decoded->organisations[0];
        CPPUNIT_ASSERT_EQUAL(std::string("Bäcker & Söhne"), first.name.value());
        CPPUNIT_ASSERT(first.keys.size() == 2 && first.keys[1].matches(KeyDigest::of("secret-2")));
        CPPUNIT_ASSERT_EQUAL(int64_t { 81'920 }, first.limit.mebibytes.count());
        const auto recorded = decodeCommands(encodeCommands({ ReplaceTable { *decoded } }));
        CPPUNIT_ASSERT(recorded && std::get<ReplaceTable>(recorded->front()).table == *decoded);
        CPPUNIT_ASSERT(decoded->organisations[1].keys.empty() && decoded->organisations[1].limit == Resources());
    }

    // Guards against an invalid organisation in force, and against an error that shows a key or hides the culprit.
    void invalidOrganisationsAreRejectedWithoutTheirKeys()
    {
        const json valid = json::parse(tableWithOrganisations);
        const std::vector<std::tuple<const char*, json, std::string>> cases { { "name", "", "name" },
            { "name", 7, "name" }, { "name", std::string(129, 'n'), "name" }, { "apiKeys", "secret", "apiKeys" },
            { "apiKeys", json::array({ "" }), "apiKeys" }, { "apiKeys", json::array({ "secret", 5 }), "apiKeys" },
            { "apiKeys", json::array({ "secret" + std::string(251, 'k') }), "apiKeys" },
            { "apiKeys", json(std::vector<std::string>(65, "secret")), "apiKeys" }, { "weight", -0.5, "weight" },
            { "weight", "secret", "weight" }, { "weight", 1e300, "weight" }, { "maxCount", 5, "maxCount" },
            { "maxCount", json::parse(R"({"cpu":-1})"), "cpu" }, { "maxCount", json::parse(R"({"gpu":0.5})"), "gpu" } };
        for (const auto& [field, value, named] : cases) {
            auto body = valid;
            body["tenants"][0][field] = value;
            const auto decoded = decodeTable(body.dump());
            const Expected<void> checked
                = decoded ? checkQueueTable(*decoded) : Expected<void>(tl::unexpected(decoded.error()));
            CPPUNIT_ASSERT_MESSAGE(field, !checked);
            const auto& message = checked.error().message;
            CPPUNIT_ASSERT_MESSAGE(message, message.find("field " + named) != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(message, message.find("organisation") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(message, message.find("secret") == std::string::npos);
        }
        for (const json& odd : { json("secret"), json::array({ "secret" }), json(std::vector<json>(1025)) }) {
            auto body = valid;
            body["tenants"] = odd;
            CPPUNIT_ASSERT(decodeTable(body.dump()).error().message.find("tenants") != std::string::npos);
        }
    }

    // Guards against refusing valid callers for how their client writes the header, and against keys that leave the
    // entry host.
    void keyIsTakenFromTheAuthorizationHeader()
    {
        for (const char* header : { "Bearer k 1", "bearer k 1", "BEARER   k 1 \t" })
            CPPUNIT_ASSERT_MESSAGE(header, decodeAuthorization(header).matches(KeyDigest::of("k 1")));
        for (const std::string& header : { std::string(), std::string("Bearer   "), std::string("Basic k 1"),
                 std::string("Bearerk 1"), "Bearer " + std::string(257, 'k') })
            CPPUNIT_ASSERT_MESSAGE(header, decodeAuthorization(header).isEmpty());
        const CancelCall call { { .requestedHost = "h", .path = "/a/b", .key = decodeAuthorization("Bearer k 1") } };
        const auto bytes = encodeControlCall(call);
        CPPUNIT_ASSERT(bytes.find("k 1") == std::string::npos);
        CPPUNIT_ASSERT(std::get<CancelCall>(*decodeControlCall(bytes)).address.key.matches(KeyDigest::of("k 1")));
    }

    // Guards against callers that take a missing key for a lost workflow or a fault of the host.
    void missingKeyAndTakenIdHaveStatusesOfTheirOwn()
    {
        ControlReply reply;
        reply.status = ControlStatus::Unauthorised;
        CPPUNIT_ASSERT_EQUAL(401, encodeReply(reply).status);
        CPPUNIT_ASSERT(encodeStatusReply(reply).headers == HttpHeaders({ { "WWW-Authenticate", "Bearer" } }));
        reply.status = ControlStatus::IdTaken;
        CPPUNIT_ASSERT_EQUAL(409, encodeReply(*decodeControlReply(encodeControlReply(reply))).status);
    }

    void reportIsDecoded()
    {
        // Guards against confusing incarnations of a worker.
        const auto decoded = decodeWorkerReport(WorkerId("i-1"), report);
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(int64_t { 1700000000000 }, decoded->profile.incarnation.startTimeMs);
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), decoded->profile.rack.value());
        CPPUNIT_ASSERT_EQUAL(int64_t { 16000 }, decoded->profile.capacity.millicores.count());
        CPPUNIT_ASSERT(!decoded->profile.isDraining);
    }

    // Guards against sending work to something that is not a worker.
    void invalidReportsAreRejected()
    {
        const json valid = json::parse(report);
        for (const char* field : { "service", "address", "zone", "version", "slots", "state", "warmupLeftMs",
                 "capacity", "labels", "clockMs", "sequence" }) {
            auto withoutField = valid;
            withoutField.erase(field);
            CPPUNIT_ASSERT_MESSAGE(field, !decodeWorkerReport(WorkerId("i"), withoutField.dump()));
            auto withWrongType = valid;
            withWrongType[field] = json::array({ 1 });
            CPPUNIT_ASSERT_MESSAGE(field, !decodeWorkerReport(WorkerId("i"), withWrongType.dump()));
        }
        for (const char* field : { "cpu", "memMb", "gpu" }) {
            auto withoutField = valid;
            withoutField["capacity"].erase(field);
            CPPUNIT_ASSERT_MESSAGE(field, !decodeWorkerReport(WorkerId("i"), withoutField.dump()));
            auto withWrongType = valid;
            withWrongType["capacity"][field] = "16000";
            CPPUNIT_ASSERT_MESSAGE(field, !decodeWorkerReport(WorkerId("i"), withWrongType.dump()));
        }
        for (const json& start : { json("now"), json(1.5), json(-1), json::array() }) {
            auto withWrongStart = valid;
            withWrongStart["born"] = start;
            CPPUNIT_ASSERT_MESSAGE(start.dump(), !decodeWorkerReport(WorkerId("i"), withWrongStart.dump()));
        }
        auto invalidState = valid;
        invalidState["state"] = "resting";
        CPPUNIT_ASSERT(!decodeWorkerReport(WorkerId("i"), invalidState.dump()));
        CPPUNIT_ASSERT(!decodeWorkerReport(WorkerId("i"), "\xff\xfe{"));
    }

    void settingsAreDecoded()
    {
        // Guards against ignoring the bounds of a deployment and against failing on unknown fields.
        const auto decoded = decodeSettings(settings);
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT(decoded->scheduler.maxLease == 6s);
        CPPUNIT_ASSERT(decoded->scheduler.gangStartTimeout == 4s);
        // One contact time and one heartbeat, within which the start must arrive.
        CPPUNIT_ASSERT(decoded->scheduler.maxProfileAge < 4500ms && decoded->scheduler.maxProfileAge > 3s);
        CPPUNIT_ASSERT_EQUAL(size_t { 2 }, decoded->toleratedLosses);
        CPPUNIT_ASSERT(decoded->isFirstStart && decoded->operatorEndpoint && !decoded->callerEndpoint);
        for (const char* invalid : { "", "{}", "[1]", R"({"node":"n","zone":"z","ip":"x","internalPortRange":[1]})",
                 R"({"node":"n","zone":"z","ip":"x","internalPortRange":[1,2],"seeds":["nowhere"]})" })
            CPPUNIT_ASSERT_MESSAGE(invalid, !decodeSettings(invalid));
        // Guards against limits of the machine that are ignored, or that leave no room for a body of the largest size.
        auto limited = json::parse(settings);
        limited["limits"] = { { "memoryMb", 384.0 }, { "maxFds", 4096 } };
        const auto machine = decodeSettings(limited.dump());
        CPPUNIT_ASSERT(machine && machine->maxDescriptors == 4096);
        for (const size_t bytes : memoryBudgetFor(*machine).poolBytes)
            CPPUNIT_ASSERT(bytes > size_t { 4 } << 20 && bytes <= size_t { 48 } << 20);
        limited["limits"] = { { "memoryMb", 0 } };
        CPPUNIT_ASSERT(!decodeSettings(limited.dump()));
    }

    // Guards against reports of another writer that are recorded and then cannot be used, or do not fit into the log.
    void oddReportsNameNoWorker()
    {
        const auto decode = [](const char* field, const json& value) {
            auto document = json::parse(report);
            document[field] = value;
            return decodeWorkerReport(WorkerId("w"), document.dump());
        };
        CPPUNIT_ASSERT(decode("address", "[::1]:80"));
        for (const char* address : { "10.0.0.1:99999", "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:80x",
                 "10.0.0.1", "example:80", ":80", "" })
            CPPUNIT_ASSERT_MESSAGE(address, !decode("address", address));
        for (const char* number : { "1e400", "1e300", "18446744073709551616", "-1", "0.5" }) {
            std::string body = report;
            body.replace(body.find("16000"), 5, number);
            CPPUNIT_ASSERT_MESSAGE(number, !decodeWorkerReport(WorkerId("w"), body));
        }
        for (const char* field : { "service", "zone", "address" })
            CPPUNIT_ASSERT_MESSAGE(field, !decode(field, std::string(1 << 20, 'x')));
        CPPUNIT_ASSERT(!decode("labels", json::array({ "a", std::string(1 << 20, 'x') })));
        CPPUNIT_ASSERT(!decode("labels", std::vector<std::string>(100'000, "a")));
    }

    // Guards against a process that one message ends.
    void deeplyNestedInputIsRejected()
    {
        for (const char* opening : { "[", "{\"a\":", "[{\"a\":" }) {
            std::string body = R"({"capacity":)";
            while (body.size() < size_t { 4 } << 20)
                body += opening;
            CPPUNIT_ASSERT(!decodeWorkerReport(WorkerId("w"), body));
            CPPUNIT_ASSERT(!decodeTable(body));
            CPPUNIT_ASSERT(!decodeSubmission(body));
            CPPUNIT_ASSERT(!decodePollResponse(httpResponse(200, body)));
        }
        const std::string nested(size_t { 4 } << 20, '\x81');
        CPPUNIT_ASSERT(!decodeControlCall(nested));
        CPPUNIT_ASSERT(!decodeCommands(nested));
    }

    // Guards against times that overflow when they are added to the present one.
    void durationsOutOfRangeAreRejected()
    {
        for (const char* number : { "1e300", "-1", "1e12" }) {
            std::string body = table;
            body.replace(body.find("410.0"), 5, number);
            CPPUNIT_ASSERT_MESSAGE(number, !decodeTable(body));
            const std::string grants = R"({"granted":[],"validMs":)" + std::string(number) + "}";
            CPPUNIT_ASSERT_MESSAGE(number, !decodePermissionServiceResponse(httpResponse(200, grants)));
            const std::string job
                = R"({"spec":"","steps":[{"count":1,"longRunning":true,"targetMs":)" + std::string(number) + "}]}";
            CPPUNIT_ASSERT_MESSAGE(number, !decodeSubmission(job));
        }
    }

    void taskNamesRoundTrip()
    {
        // Guards against confusing runs of different tasks.
        const TaskRef task { .step = { WorkflowId("5c0e7a21d94b36f8"), 3, 1 }, .index = 17 };
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.3.1.17"), formatTask(task));
        CPPUNIT_ASSERT(parseTask(formatTask(task)) == task);
        for (const char* invalid : { "", "a", "a.1.2", "a.1.2.x", "a.1.2.-3", ".1.2.3", "a.1.2.99999999999", "a.1..2" })
            CPPUNIT_ASSERT_MESSAGE(invalid, !parseTask(invalid));
    }

    void pollResponseIsDecoded()
    {
        // Guards against counting ends as failed attempts that are not.
        const auto decoded = decodePollResponse(httpResponse(200,
            R"({"clockMs":5,"born":9,"running":[["a.0.1.17",2,"cp",41,980]],"ended":[[58,"a.0.1.9",1,"done",""],[59,"a.0.1.8",1,"lapsed","x"]]})"));
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(std::string("cp"), decoded->running.front().checkpoint);
        CPPUNIT_ASSERT_EQUAL(uint32_t { 41 }, decoded->running.front().percent);
        CPPUNIT_ASSERT(decoded->ended[0].outcome == RunOutcome::Done && decoded->ended[1].outcome == RunOutcome::Lost);
        CPPUNIT_ASSERT_EQUAL(uint64_t { 59 }, decoded->ended[1].number);
    }

    // Guards against treating runs as ended because their row is invalid.
    void invalidPollResponsesAreRejected()
    {
        for (const char* body : { "", "{}", R"({"clockMs":"5"})", R"({"clockMs":5,"running":{}})",
                 R"({"clockMs":5,"running":[["a",2]]})", R"({"clockMs":5,"ended":[[1,"a.0.0.0",1,"vanished",""]]})",
                 R"({"clockMs":5,"ended":[["1","a.0.0.0",1,"done",""]]})" })
            CPPUNIT_ASSERT_MESSAGE(body, !decodePollResponse(httpResponse(200, body)));
        CPPUNIT_ASSERT(decodePollResponse(httpResponse(421, "{}")).error().code == ErrorCode::Conflict);
    }

    // Guards against taking the ends that fit in one response for all of them.
    void fullListOfEndsMayBeCutShort()
    {
        constexpr size_t listLimit = 500; // Of the platform's protocol.
        json ended = json::array();
        const auto decode = [&] {
            const json body { { "clockMs", 5 }, { "running", json::array() }, { "ended", ended } };
            const auto decoded = decodePollResponse(httpResponse(200, body.dump()));
            CPPUNIT_ASSERT(decoded);
            return *decoded;
        };
        // In any order: an end that follows a later one would count as received already.
        for (size_t number = listLimit - 1; number > 0; --number)
            ended.push_back({ number, "a.0.0." + std::to_string(number), 1, "done", "" });
        CPPUNIT_ASSERT(!decode().hasMoreEnds);
        ended.push_back({ listLimit, "a.0.0.0", 1, "done", "" });
        const auto full = decode();
        CPPUNIT_ASSERT(full.hasMoreEnds);
        for (size_t i = 0; i < listLimit; ++i)
            CPPUNIT_ASSERT_EQUAL(uint64_t { i + 1 }, full.ended[i].number);
    }

    // Guards against runs that count as lost, and workers that count as denied, because a response lacks its list.
    void missingListIsNoEmptyList()
    {
        CPPUNIT_ASSERT(decodePollResponse(httpResponse(200, R"({"clockMs":5,"running":[],"ended":[]})")));
        for (const char* body : { R"({"clockMs":5,"running":[]})", R"({"clockMs":5,"ended":[]})",
                 R"({"clockMs":5,"running":null,"ended":[]})" })
            CPPUNIT_ASSERT_MESSAGE(body, !decodePollResponse(httpResponse(200, body)));
        CPPUNIT_ASSERT(decodePermissionServiceResponse(httpResponse(200, R"({"granted":[]})")));
        for (const char* body : { "{}", R"({"granted":null})", R"({"validMs":5})" })
            CPPUNIT_ASSERT_MESSAGE(body, !decodePermissionServiceResponse(httpResponse(200, body)));
    }

    // Guards against numbers that are cut off: 4294967297 is not run 1, and 4294967296 is not step 0.
    void numbersBeyondTheirTypeAreRejected()
    {
        for (const char* body : { R"({"clockMs":5,"running":[["a.0.0.0",4294967297]]})",
                 R"({"clockMs":5,"ended":[[1,"a.0.0.0",4294967297,"done",""]]})" })
            CPPUNIT_ASSERT_MESSAGE(body, !decodePollResponse(httpResponse(200, body)));
        const auto submitted = decodeSubmission(R"({"steps":[{"count":1},{"count":1,"after":[4294967296]}]})");
        CPPUNIT_ASSERT(!submitted || !checkWorkflowSpec(*submitted));
        auto wrongPort = json::parse(settings);
        for (const int64_t port : { -1, 0, 65536, 65537 }) {
            wrongPort["internalPortRange"] = { port, 65539 };
            CPPUNIT_ASSERT_MESSAGE(std::to_string(port), !decodeSettings(wrongPort.dump()));
        }
    }

    void rejectionReasonsAreDecoded()
    {
        // Guards against treating a rejection as a start or as a missing response.
        const std::vector<std::pair<const char*, WorkerRequestStatus>> reasons { { "fence",
                                                                                     WorkerRequestStatus::Fenced },
            { "old", WorkerRequestStatus::Outdated }, { "late", WorkerRequestStatus::LeaseExpired },
            { "room", WorkerRequestStatus::NoCapacity }, { "ticket", WorkerRequestStatus::NoPermission } };
        for (const auto& [word, status] : reasons)
            CPPUNIT_ASSERT(decodeRunResponse(httpResponse(409, json { { "reason", word } }.dump())).status == status);
        CPPUNIT_ASSERT(decodeRunResponse(httpResponse(409, "{}")).status == WorkerRequestStatus::NoResponse);
        CPPUNIT_ASSERT(decodeRunResponse(httpResponse(503, "")).status == WorkerRequestStatus::Unhealthy);
        CPPUNIT_ASSERT(decodeRunResponse(httpResponse(500, "")).status == WorkerRequestStatus::NoResponse);
        CPPUNIT_ASSERT(decodeRunResponse(httpResponse(200, R"({"clockMs":7,"born":3})")).startTimeMs == 3);
    }

    // Guards against reporting "not accepted" for a call that may have been accepted.
    void onlyCallsNotExecutedAreReportedSo()
    {
        const auto reply = [](ControlStatus status) {
            ControlReply result;
            result.status = status;
            return encodeReply(result).status;
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

    // Guards against crashes on invalid input.
    void randomAndMutatedInputIsHandled()
    {
        std::mt19937 random(7);
        const std::vector<std::string> samples { submission, table, tableWithOrganisations, report, settings,
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
            static_cast<void>(decodeWorkerReport(WorkerId("i"), bytes));
            static_cast<void>(decodeSettings(bytes));
            static_cast<void>(decodePollResponse(httpResponse(200, bytes)));
            static_cast<void>(decodeRunResponse(httpResponse(409, bytes)));
            static_cast<void>(decodePermissionServiceResponse(httpResponse(200, bytes)));
            static_cast<void>(decodeControlCall(bytes));
            static_cast<void>(decodePermissionResponse(bytes));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

} // namespace hickoryknot::platform
