#include "app/Commands.h"

#include <array>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <string_view>

#include "app/CommandContext.h"
#include "app/HostSettings.h"
#include "app/JobCommands.h"
#include "app/LoadCommand.h"
#include "app/OperatorCommands.h"
#include "app/ServeCommand.h"
#include "app/TableCommands.h"
#include "net/EndpointText.h"

namespace hickoryknot {

namespace {

struct CommandDescription {
    std::string_view name;
    const char* arguments;
    const char* help;
    ExitCode (*run)(CommandContext&);
};

constexpr std::array commands {
    CommandDescription { "request", "", "Sends a short request and prints its whole answer", runRequestCommand },
    CommandDescription { "submit", "", "Submits a service, batch or gang job and prints its id", runSubmitCommand },
    CommandDescription { "status", "JOB", "Prints where a job is", runStatusCommand },
    CommandDescription { "wait", "JOB", "Waits up to --deadline-ms for the end of a job", runWaitCommand },
    CommandDescription { "cancel", "JOB...", "Cancels jobs, all with one record", runCancelCommand },
    CommandDescription {
        "explain", "JOB", "Says why a job runs where it does, or why it does not run yet", runExplainCommand },
    CommandDescription {
        "table", "get|set|check|remove|export|import ...", "Shows, checks and changes the table", runTableCommand },
    CommandDescription { "hosts", "", "Lists the entry hosts", runHostsCommand },
    CommandDescription { "workers", "", "Lists the workers", runWorkersCommand },
    CommandDescription { "servers", "", "Lists the backend servers", runServersCommand },
    CommandDescription { "drain", "", "Starts a planned stop of the first entry host given", runDrainCommand },
    CommandDescription { "report", "burn", "Prints the service-level burn report", runReportCommand },
};

cxxopts::Options makeOptions()
{
    cxxopts::Options options("hickoryknot", "");
    // clang-format off
    options.add_options()
        ("entry", "Entry hosts, ip:port separated by commas; or HICKORYKNOT_ENTRY", cxxopts::value<std::string>())
        ("json", "Prints JSON for programs")
        ("help", "Prints this text");
    options.add_options("Requests and jobs")
        ("request-id", "Id for resends: same id, same outcome (default: a new one)", cxxopts::value<std::string>())
        ("attempt", "1 for the first send of a request id, higher for a resend", cxxopts::value<uint32_t>())
        ("row", "Row of the table that steers the work (default: default)", cxxopts::value<std::string>())
        ("team", "Team whose quota counts; jobs without one belong to team default", cxxopts::value<std::string>())
        ("home-zone", "Availability zone that keeps the record, instead of the cell", cxxopts::value<std::string>())
        ("not-repeatable", "Runs at most once")
        ("repeatable", "May run again after a failure")
        ("deadline-ms", "Longest wait, 1 to 600000 ms", cxxopts::value<uint32_t>()->default_value("10000"))
        ("body", "Body of a request", cxxopts::value<std::string>()->default_value(""))
        ("kind", "service, batch or gang", cxxopts::value<std::string>()->default_value("batch"))
        ("tasks", "Tasks of the job", cxxopts::value<uint32_t>()->default_value("1"))
        ("millicores", "Processors per task in thousandths", cxxopts::value<int64_t>()->default_value("1000"))
        ("mebibytes", "Memory per task", cxxopts::value<int64_t>()->default_value("512"))
        ("accelerators", "Accelerators per task", cxxopts::value<int64_t>()->default_value("0"))
        ("expected-run-ms", "Expected run time of a task", cxxopts::value<uint64_t>()->default_value("60000"))
        ("command", "What the worker runs", cxxopts::value<std::string>()->default_value(""));
    options.add_options("Table and reports")
        ("base", "Version that the change is based on (default: the one in force)", cxxopts::value<uint64_t>())
        ("operator", "Name shown to operators who lose a race (default: user name)", cxxopts::value<std::string>())
        ("dry-run", "table import: only says what would change")
        ("html", "report: one self-contained HTML page");
    // clang-format on
    options.allow_unrecognised_options();
    return options;
}

void printHelp()
{
    std::cout << "Usage: hickoryknot COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n"
                 "  serve                Runs an entry host; see hickoryknot serve --help\n"
                 "  load                 Sends a measured load; see hickoryknot load --help\n";
    for (const auto& command : commands) {
        std::string head = std::string(command.name) + " " + command.arguments;
        head.resize(std::max<size_t>(head.size(), 20), ' ');
        std::cout << "  " << head << " " << command.help << '\n';
    }
    std::cout << makeOptions().help()
              << "\nExit codes: 0 done or accepted, 1 failed or no host answered, 2 wrong usage, 3 not run, 4 refused, "
                 "5 cancelled, 6 unknown, 7 "
                 "conflict\n";
}

Expected<std::vector<Endpoint>> parseEntryHosts(const cxxopts::ParseResult& flags)
{
    std::string text;
    if (flags.count("entry"))
        text = flags["entry"].as<std::string>();
    else if (const char* value = std::getenv("HICKORYKNOT_ENTRY"))
        text = value;
    if (text.empty())
        return makeError(
            ErrorCode::InvalidArgument, "no entry host is given; use --entry ip:port or HICKORYKNOT_ENTRY");
    return parseEndpoints(text);
}

ExitCode runClientCommand(const CommandDescription& command, int argc, char** argv)
{
    try {
        auto options = makeOptions();
        const auto flags = options.parse(argc, argv);
        if (flags.count("help")) {
            printHelp();
            return ExitCode::Success;
        }
        for (const auto& argument : flags.unmatched()) {
            if (argument.starts_with("--"))
                return CommandContext::usage("unknown flag '" + argument + "'");
        }
        auto entryHosts = parseEntryHosts(flags);
        if (!entryHosts)
            return CommandContext::usage(entryHosts.error().message);
        CommandContext context(flags, std::move(*entryHosts));
        return command.run(context);
    } catch (const cxxopts::exceptions::exception& error) {
        return CommandContext::usage(error.what());
    }
}

} // namespace

int runCommand(int argc, char** argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "serve")
        return static_cast<int>(runServeCommand(argc - 1, argv + 1));
    if (name == "load")
        return runLoadCommand(argc - 1, argv + 1);
    if (name.empty() || name == "--help" || name == "help") {
        printHelp();
        return static_cast<int>(name.empty() ? ExitCode::Usage : ExitCode::Success);
    }
    for (const auto& command : commands) {
        if (name == command.name)
            return static_cast<int>(runClientCommand(command, argc - 1, argv + 1));
    }
    return static_cast<int>(CommandContext::usage("unknown command '" + std::string(name) + "'"));
}

} // namespace hickoryknot
