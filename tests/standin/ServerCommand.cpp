#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cxxopts.hpp>
#include <memory>
#include <stdexcept>

#include "BackendServer.h"
#include "Commands.h"
#include "RunLoop.h"
#include "net/EndpointText.h"

namespace hickoryknot {

namespace {

cxxopts::Options makeOptions()
{
    cxxopts::Options options("hickoryknot_standin server", "Stand-in backend servers");
    options.add_options()("entry", "entry hosts, ip:port,...", cxxopts::value<std::string>()) //
        ("listen", "address and first port; port 0 takes free ports",
            cxxopts::value<std::string>()->default_value("127.0.0.1:0")) //
        ("id", "server id; with --count, -0, -1, ... is appended",
            cxxopts::value<std::string>()->default_value("server")) //
        ("count", "servers in this process", cxxopts::value<uint32_t>()->default_value("1")) //
        ("zone", "availability zone", cxxopts::value<std::string>()->default_value("z1")) //
        ("rack", "rack", cxxopts::value<std::string>()->default_value("r1")) //
        ("slots", "requests at once", cxxopts::value<uint32_t>()->default_value("8")) //
        ("connections", "announced connection limit", cxxopts::value<uint32_t>()->default_value("60")) //
        ("work-ms", "time per request", cxxopts::value<uint32_t>()->default_value("5")) //
        ("late-ms", "extra time before the answer", cxxopts::value<uint32_t>()->default_value("0")) //
        ("fail-rate", "share answered 503, not started", cxxopts::value<double>()->default_value("0")) //
        ("vanish-rate", "share whose connection is closed midway", cxxopts::value<double>()->default_value("0")) //
        ("answer-twice", "send each answer twice") //
        ("leave-after-s", "leave after this time", cxxopts::value<uint32_t>()->default_value("0")) //
        ("leave-grace-ms", "time to serve on while leaving", cxxopts::value<uint32_t>()->default_value("3000")) //
        ("seed", "seed of the rates", cxxopts::value<uint64_t>()->default_value("1")) //
        ("log", "file for start and finish lines", cxxopts::value<std::string>()->default_value("")) //
        ("help", "show this text");
    return options;
}

BackendServerSettings readSettings(const cxxopts::ParseResult& flags, uint32_t index)
{
    const auto listen = parseEndpoint(flags["listen"].as<std::string>());
    const auto entries = parseEndpoints(flags["entry"].as<std::string>());
    if (!listen || !entries)
        throw std::invalid_argument(listen ? entries.error().message : listen.error().message);
    const auto milliseconds = [&](const char* name) { return std::chrono::milliseconds(flags[name].as<uint32_t>()); };
    const auto port = listen->port == 0 ? 0 : listen->port + index;
    const auto id = flags["id"].as<std::string>();
    return { .id = ServerId(flags["count"].as<uint32_t>() > 1 ? id + "-" + std::to_string(index) : id),
        .zone = ZoneId(flags["zone"].as<std::string>()),
        .rack = RackId(flags["rack"].as<std::string>()),
        .listen = { listen->address, static_cast<uint16_t>(port) },
        .entries = *entries,
        .slots = flags["slots"].as<uint32_t>(),
        .connectionLimit = flags["connections"].as<uint32_t>(),
        .work = milliseconds("work-ms"),
        .responseDelay = milliseconds("late-ms"),
        .failRate = flags["fail-rate"].as<double>(),
        .vanishRate = flags["vanish-rate"].as<double>(),
        .duplicatesResponses = flags.count("answer-twice") > 0,
        .leaveAfter = std::chrono::seconds(flags["leave-after-s"].as<uint32_t>()),
        .leaveGrace = milliseconds("leave-grace-ms"),
        .seed = flags["seed"].as<uint64_t>() + index };
}

} // namespace

int runServerCommand(int argc, char** argv)
{
    auto options = makeOptions();
    const auto flags = options.parse(argc, argv);
    if (flags.count("help")) {
        std::puts(options.help().c_str());
        return 0;
    }
    boost::asio::io_context io;
    LineLog log(flags["log"].as<std::string>());
    std::vector<std::unique_ptr<BackendServer>> servers;
    for (uint32_t i = 0; i < flags["count"].as<uint32_t>(); ++i) {
        servers.push_back(std::make_unique<BackendServer>(io, readSettings(flags, i), log));
        servers.back()->start();
    }
    const auto leave = [&] { std::for_each(servers.begin(), servers.end(), [](auto& server) { server->leave(); }); };
    runLoop(io, leave, [&] {
        return std::all_of(servers.begin(), servers.end(), [](const auto& server) { return server->hasLeft(); });
    });
    return 0;
}

} // namespace hickoryknot
