#include "app/OperatorCommands.h"

#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "app/CommandContext.h"
#include "protocol/ErrorCodec.h"

namespace hickoryknot {

namespace {

ExitCode printResource(
    CommandContext& context, const std::string& target, const std::string& key, const std::vector<std::string>& columns)
{
    const auto document = context.get(target);
    if (!document)
        return context.exitCode();
    context.printList(*document, key, columns);
    return ExitCode::Success;
}

} // namespace

ExitCode runHostsCommand(CommandContext& context)
{
    return printResource(context, "/v1/hosts", "hosts",
        { "host", "zone", "address", "state", "cellRole", "zoneRole", "tableVersion", "lastHeardMs" });
}

ExitCode runWorkersCommand(CommandContext& context)
{
    return printResource(context, "/v1/workers", "workers",
        { "worker", "zone", "rack", "state", "tasks", "usedMillicores", "millicores", "usedMebibytes", "mebibytes",
            "usedAccelerators", "accelerators" });
}

ExitCode runServersCommand(CommandContext& context)
{
    return printResource(context, "/v1/servers", "servers",
        { "server", "zone", "rack", "address", "state", "slots", "connections", "inFlight" });
}

ExitCode runDrainCommand(CommandContext& context)
{
    const auto result = context.call("POST", "/v1/drain", "{}", 10s, true);
    if (!result)
        return context.exitCode();
    std::cout << (context.wantsJson() ? result->dump(2) : result->value("sentence", "")) << '\n';
    return ExitCode::Success;
}

ExitCode runReportCommand(CommandContext& context)
{
    const auto& arguments = context.arguments();
    if (arguments.size() != 1 || arguments[0] != "burn")
        return CommandContext::usage("report takes burn");
    const std::string format = context.wantsJson() ? "json" : context.flags().count("html") ? "html" : "text";
    auto response = context.api().get("/v1/report/burn?format=" + format);
    if (!response || response->status != 200) {
        std::cerr << "hickoryknot: " << (response ? decodeError(response->body).message : response.error().message)
                  << '\n';
        return ExitCode::Failure;
    }
    std::cout << response->body;
    return ExitCode::Success;
}

} // namespace hickoryknot
