#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <cxxopts.hpp>
#include <memory>
#include <stdexcept>
#include <thread>

#include "Commands.h"
#include "RunLoop.h"
#include "Worker.h"
#include "net/EndpointText.h"

namespace hickoryknot {

namespace {

cxxopts::Options makeOptions()
{
    cxxopts::Options options("hickoryknot_standin worker", "Stand-in workers; their tasks are timers");
    options.add_options()("entry", "entry hosts, ip:port,...", cxxopts::value<std::string>()) //
        ("id", "worker id; with --count, -0, -1, ... is appended",
            cxxopts::value<std::string>()->default_value("worker")) //
        ("count", "workers in this process", cxxopts::value<uint32_t>()->default_value("1")) //
        ("zone", "availability zone", cxxopts::value<std::string>()->default_value("z1")) //
        ("rack", "rack; with --per-rack, -0, -1, ... is appended",
            cxxopts::value<std::string>()->default_value("r1")) //
        ("per-rack", "workers per rack; 0 means all in one", cxxopts::value<uint32_t>()->default_value("0")) //
        ("millicores", "capacity", cxxopts::value<int64_t>()->default_value("16000")) //
        ("mebibytes", "capacity", cxxopts::value<int64_t>()->default_value("32768")) //
        ("accelerators", "capacity", cxxopts::value<int64_t>()->default_value("0")) //
        ("wait-ms", "long poll", cxxopts::value<uint32_t>()->default_value("500")) //
        ("fail-all", "every task fails at once") //
        ("lie-factor", "reported usage over asked", cxxopts::value<double>()->default_value("1")) //
        ("pause-after-s", "stop the whole process for a while after this time",
            cxxopts::value<uint32_t>()->default_value("0")) //
        ("pause-for-ms", "length of that pause", cxxopts::value<uint32_t>()->default_value("5000")) //
        ("leave-after-s", "leave after this time", cxxopts::value<uint32_t>()->default_value("0")) //
        ("log", "file for start and stop lines", cxxopts::value<std::string>()->default_value("")) //
        ("help", "show this text");
    return options;
}

std::string numbered(const std::string& name, bool isNumbered, uint32_t index)
{
    return isNumbered ? name + "-" + std::to_string(index) : name;
}

WorkerSettings readSettings(const cxxopts::ParseResult& flags, uint32_t index)
{
    const auto entries = parseEndpoints(flags["entry"].as<std::string>());
    if (!entries)
        throw std::invalid_argument(entries.error().message);
    const auto perRack = flags["per-rack"].as<uint32_t>();
    return { .id = WorkerId(numbered(flags["id"].as<std::string>(), flags["count"].as<uint32_t>() > 1, index)),
        .zone = ZoneId(flags["zone"].as<std::string>()),
        .rack = RackId(numbered(flags["rack"].as<std::string>(), perRack > 0, perRack > 0 ? index / perRack : 0)),
        .capacity = { .millicores = Millicores(flags["millicores"].as<int64_t>()),
            .mebibytes = Mebibytes(flags["mebibytes"].as<int64_t>()),
            .accelerators = Accelerators(flags["accelerators"].as<int64_t>()) },
        .entries = *entries,
        .firstEntry = index,
        .wait = std::chrono::milliseconds(flags["wait-ms"].as<uint32_t>()),
        .failsAll = flags.count("fail-all") > 0,
        .reportedUsageFactor = flags["lie-factor"].as<double>(),
        .leaveAfter = std::chrono::seconds(flags["leave-after-s"].as<uint32_t>()) };
}

// Blocks the only thread to simulate a paused machine; timers that expire meanwhile fire late.
void schedulePause(boost::asio::steady_timer& timer, const cxxopts::ParseResult& flags)
{
    const std::chrono::seconds after(flags["pause-after-s"].as<uint32_t>());
    if (after == 0s)
        return;
    timer.expires_after(after);
    timer.async_wait([length = flags["pause-for-ms"].as<uint32_t>()](boost::system::error_code error) {
        if (!error)
            std::this_thread::sleep_for(std::chrono::milliseconds(length));
    });
}

} // namespace

int runWorkerCommand(int argc, char** argv)
{
    auto options = makeOptions();
    const auto flags = options.parse(argc, argv);
    if (flags.count("help")) {
        std::puts(options.help().c_str());
        return 0;
    }
    boost::asio::io_context io;
    boost::asio::steady_timer pauseTimer(io);
    LineLog log(flags["log"].as<std::string>());
    std::vector<std::unique_ptr<Worker>> workers;
    for (uint32_t i = 0; i < flags["count"].as<uint32_t>(); ++i) {
        workers.push_back(std::make_unique<Worker>(io, readSettings(flags, i), log));
        workers.back()->start();
    }
    schedulePause(pauseTimer, flags);
    const auto leave = [&] { std::for_each(workers.begin(), workers.end(), [](auto& worker) { worker->leave(); }); };
    runLoop(io, leave, [&] {
        return std::all_of(workers.begin(), workers.end(), [](const auto& worker) { return worker->hasLeft(); });
    });
    return 0;
}

} // namespace hickoryknot
