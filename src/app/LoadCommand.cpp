#include "app/LoadCommand.h"

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cxxopts.hpp>
#include <stdexcept>

#include "app/LoadRun.h"
#include "net/EndpointText.h"
#include "protocol/ProtocolLimits.h"

namespace hickoryknot {

namespace {

cxxopts::Options makeOptions()
{
    cxxopts::Options options("hickoryknot load", "Sends requests at a fixed rate and prints outcomes and latencies");
    options.add_options()("entry", "entry hosts, ip:port,...", cxxopts::value<std::string>()) //
        ("row", "row that the requests and jobs name", cxxopts::value<std::string>()) //
        ("rate", "short requests per second", cxxopts::value<double>()->default_value("100")) //
        ("seconds", "length of the run", cxxopts::value<double>()->default_value("10")) //
        ("connections", "connections over all entry hosts", cxxopts::value<uint32_t>()->default_value("64")) //
        ("seed", "seed of random choices and part of each request id",
            cxxopts::value<uint64_t>()->default_value("1")) //
        ("not-repeatable-percent", "share that is marked not repeatable",
            cxxopts::value<uint32_t>()->default_value("0")) //
        ("jobs-per-second", "jobs per second", cxxopts::value<double>()->default_value("0")) //
        ("job-command", "command of each task", cxxopts::value<std::string>()->default_value("run:1000")) //
        ("job-tasks", "tasks per job", cxxopts::value<uint32_t>()->default_value("1")) //
        ("team", "team that the requests and jobs name", cxxopts::value<std::string>()->default_value("load")) //
        ("home-zone", "home zone of the request ids; without it, the cell", cxxopts::value<std::string>()) //
        ("deadline-ms", "deadline of each request", cxxopts::value<uint32_t>()->default_value("5000")) //
        ("body-bytes", "size of each request's body", cxxopts::value<uint32_t>()->default_value("64")) //
        ("resends", "sends after a failure, each to the next entry host",
            cxxopts::value<uint32_t>()->default_value("0")) //
        ("check-answers", "count answers that lack the request's own id") //
        ("log", "file for one line per request", cxxopts::value<std::string>()->default_value("")) //
        ("json", "print one JSON document") //
        ("help", "show this text");
    return options;
}

template <typename Number>
Number inRange(const cxxopts::ParseResult& flags, const char* name, Number least, Number most)
{
    const auto value = flags[name].as<Number>();
    // Written so that NaN fails, too.
    if (value >= least && value <= most)
        return value;
    throw std::invalid_argument(
        std::string("--") + name + " must be from " + std::to_string(least) + " to " + std::to_string(most));
}

template <typename Id> Id readId(const cxxopts::ParseResult& flags, const char* name)
{
    const auto text = flags[name].as<std::string>();
    if (!Id::isValid(text))
        throw std::invalid_argument(
            std::string("--") + name + " must be 1 to 128 characters of letters, digits and ._:-");
    return Id(text);
}

LoadSettings readSettings(const cxxopts::ParseResult& flags)
{
    constexpr double maxRate = 1'000'000;
    constexpr double maxSeconds = 24 * 3600;
    auto entries = parseEndpoints(flags["entry"].as<std::string>());
    if (!entries)
        throw std::invalid_argument("--entry: " + entries.error().message);
    const std::chrono::duration<double> seconds(inRange<double>(flags, "seconds", 0, maxSeconds));
    LoadSettings settings;
    settings.entries = std::move(*entries);
    settings.row = readId<RowName>(flags, "row");
    settings.team = readId<TeamId>(flags, "team");
    if (flags.count("home-zone"))
        settings.homeZone = readId<ZoneId>(flags, "home-zone");
    settings.rate = inRange<double>(flags, "rate", 0, maxRate);
    settings.jobsPerSecond = inRange<double>(flags, "jobs-per-second", 0, maxRate);
    settings.length = std::chrono::duration_cast<Duration>(seconds);
    settings.connections = inRange<uint32_t>(flags, "connections", 1, 10'000);
    settings.notRepeatablePercent = inRange<uint32_t>(flags, "not-repeatable-percent", 0, 100);
    settings.deadline = std::chrono::milliseconds(inRange<uint32_t>(flags, "deadline-ms", 1, 600'000));
    settings.bodyBytes = inRange<uint32_t>(flags, "body-bytes", 0, protocol_limits::maxRequestBodyBytes);
    settings.jobCommand = flags["job-command"].as<std::string>();
    settings.tasksPerJob = inRange<uint32_t>(flags, "job-tasks", 1, protocol_limits::maxTasksPerJob);
    settings.seed = flags["seed"].as<uint64_t>();
    settings.resends = inRange<uint32_t>(flags, "resends", 0, 100);
    settings.checksAnswers = flags.count("check-answers") > 0;
    settings.logFile = flags["log"].as<std::string>();
    return settings;
}

} // namespace

int runLoadCommand(int argc, char** argv)
{
    auto options = makeOptions();
    try {
        const auto flags = options.parse(argc, argv);
        if (flags.count("help")) {
            std::puts(options.help().c_str());
            return 0;
        }
        boost::asio::io_context io;
        LoadRun load(io, readSettings(flags));
        const auto report = load.run();
        std::fputs((flags.count("json") ? report.toJson() + "\n" : report.toText()).c_str(), stdout);
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "hickoryknot load: %s\n", error.what());
        return 2;
    }
}

} // namespace hickoryknot
