#include "app/JobCommands.h"

#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "app/CommandContext.h"
#include "app/SteadyTime.h"

namespace hickoryknot {

namespace {

constexpr Duration callMargin = 5s;

/// A request id as docs/protocol.md recommends it: caller, Unix time in milliseconds, random part.
std::string makeRequestId()
{
    std::random_device device;
    const auto milliseconds
        = std::chrono::duration_cast<std::chrono::milliseconds>(wallNow().time_since_epoch()).count();
    return "cli-" + std::to_string(milliseconds) + "-" + std::to_string(device());
}

/// Fields that requests and jobs have in common.
nlohmann::json makeSubmission(const CommandContext& context)
{
    const auto& flags = context.flags();
    nlohmann::json body;
    body["requestId"] = flags.count("request-id") ? flags["request-id"].as<std::string>() : makeRequestId();
    body["row"] = flags.count("row") ? flags["row"].as<std::string>() : "default";
    body["attempt"] = flags.count("attempt") ? flags["attempt"].as<uint32_t>() : 1;
    if (flags.count("team"))
        body["team"] = flags["team"].as<std::string>();
    if (flags.count("home-zone"))
        body["homeZone"] = flags["home-zone"].as<std::string>();
    if (flags.count("not-repeatable"))
        body["repeatable"] = false;
    else if (flags.count("repeatable"))
        body["repeatable"] = true;
    return body;
}

/// Sends a submission to one host only. A resend to another host would be deduplicated by its request id, but must be
/// marked as a resend by its attempt number.
ExitCode submit(CommandContext& context, const std::string& target, const nlohmann::json& body, Duration deadline)
{
    const auto outcome = context.call("POST", target, body.dump(), deadline + callMargin, false);
    if (!outcome) {
        std::cerr << "hickoryknot: request id " << body["requestId"].get<std::string>() << "\n";
        return context.exitCode();
    }
    return context.printOutcome(*outcome);
}

ExitCode printStatus(const CommandContext& context, const nlohmann::json& status)
{
    if (context.wantsJson()) {
        std::cout << status.dump(2) << '\n';
    } else {
        std::cout << status.value("jobId", "") << " is " << status.value("phase", "") << ": "
                  << status.value("queuedTasks", 0) << " queued, " << status.value("runningTasks", 0) << " running, "
                  << status.value("succeededTasks", 0) << " succeeded, " << status.value("failedTasks", 0) << " failed";
        if (status.contains("zone") && status["zone"].is_string())
            std::cout << ", zone " << status["zone"].get<std::string>();
        std::cout << '\n';
    }
    if (!status.contains("result"))
        return ExitCode::Success;
    return context.wantsJson() ? CommandContext::exitCodeOf(status["result"]) : context.printOutcome(status["result"]);
}

} // namespace

ExitCode runRequestCommand(CommandContext& context)
{
    nlohmann::json body = makeSubmission(context);
    const auto deadline = context.flags()["deadline-ms"].as<uint32_t>();
    body["deadlineMs"] = deadline;
    body["body"] = context.flags()["body"].as<std::string>();
    return submit(context, "/v1/requests", body, std::chrono::milliseconds(deadline));
}

ExitCode runSubmitCommand(CommandContext& context)
{
    const auto& flags = context.flags();
    nlohmann::json body = makeSubmission(context);
    if (!body.contains("team"))
        body["team"] = "default";
    body["kind"] = flags["kind"].as<std::string>();
    body["tasks"] = flags["tasks"].as<uint32_t>();
    body["millicores"] = flags["millicores"].as<int64_t>();
    body["mebibytes"] = flags["mebibytes"].as<int64_t>();
    body["accelerators"] = flags["accelerators"].as<int64_t>();
    body["expectedRunMs"] = flags["expected-run-ms"].as<uint64_t>();
    body["command"] = flags["command"].as<std::string>();
    return submit(context, "/v1/jobs", body, 10s);
}

ExitCode runStatusCommand(CommandContext& context)
{
    if (context.arguments().size() != 1)
        return CommandContext::usage("status takes one job id");
    const auto status = context.get("/v1/jobs/" + context.arguments()[0]);
    return status ? printStatus(context, *status) : context.exitCode();
}

ExitCode runWaitCommand(CommandContext& context)
{
    if (context.arguments().size() != 1)
        return CommandContext::usage("wait takes one job id");
    const auto waitMs = context.flags()["deadline-ms"].as<uint32_t>();
    const auto status = context.call("GET", "/v1/jobs/" + context.arguments()[0] + "/wait?ms=" + std::to_string(waitMs),
        "", std::chrono::milliseconds(waitMs) + callMargin, true);
    return status ? printStatus(context, *status) : context.exitCode();
}

ExitCode runCancelCommand(CommandContext& context)
{
    if (context.arguments().empty())
        return CommandContext::usage("cancel takes at least one job id");
    const nlohmann::json body {
        { "requestId",
            context.flags().count("request-id") ? context.flags()["request-id"].as<std::string>() : makeRequestId() },
        { "ids", context.arguments() },
    };
    const auto results = context.call("POST", "/v1/jobs/cancel", body.dump(), 10s, true);
    if (!results)
        return context.exitCode();
    context.printList(*results, "jobs", { "jobId", "result" });
    return ExitCode::Success;
}

ExitCode runExplainCommand(CommandContext& context)
{
    if (context.arguments().size() != 1)
        return CommandContext::usage("explain takes one job id");
    const auto explanation = context.get("/v1/jobs/" + context.arguments()[0] + "/explain");
    if (!explanation)
        return context.exitCode();
    if (context.wantsJson())
        std::cout << explanation->dump(2) << '\n';
    else
        std::cout << explanation->value("explanation", "") << '\n';
    return ExitCode::Success;
}

} // namespace hickoryknot
