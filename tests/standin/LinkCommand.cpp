#include <boost/asio/io_context.hpp>
#include <charconv>
#include <cstdio>
#include <cxxopts.hpp>
#include <memory>
#include <stdexcept>

#include "Commands.h"
#include "Link.h"
#include "RunLoop.h"
#include "net/EndpointText.h"
#include "net/HttpServer.h"

namespace hickoryknot {

namespace {

using Links = std::vector<std::unique_ptr<Link>>;

std::vector<Endpoint> readEndpoints(const cxxopts::ParseResult& flags, const char* name)
{
    auto endpoints = parseEndpoints(flags[name].as<std::string>());
    if (!endpoints)
        throw std::invalid_argument(endpoints.error().message);
    return *endpoints;
}

// Applies a command, such as /cut or /delay/20, to all links. Returns false for an unknown command.
bool applyCommand(Links& links, std::string_view target)
{
    constexpr std::string_view delayPrefix = "/delay/";
    uint32_t delayMs = 0;
    const bool isDelay = target.starts_with(delayPrefix);
    if (isDelay) {
        const auto digits = target.substr(delayPrefix.size());
        if (std::from_chars(digits.data(), digits.data() + digits.size(), delayMs).ec != std::errc())
            return false;
    } else if (target != "/cut" && target != "/cut-forward" && target != "/cut-backward" && target != "/restore") {
        return false;
    }
    for (const auto& link : links) {
        if (isDelay)
            link->setDelay(std::chrono::milliseconds(delayMs));
        else
            link->cut(target == "/cut" || target == "/cut-forward", target == "/cut" || target == "/cut-backward");
    }
    return true;
}

} // namespace

int runLinkCommand(int argc, char** argv)
{
    cxxopts::Options options("hickoryknot_standin link",
        "Forwards TCP. POST to the control port: /cut, /cut-forward, /cut-backward, /delay/<ms>, /restore");
    options.add_options()("listen", "where callers connect, ip:port,...", cxxopts::value<std::string>()) //
        ("target", "where each leads, ip:port,...", cxxopts::value<std::string>()) //
        ("control", "control port, ip:port", cxxopts::value<std::string>()) //
        ("help", "show this text");
    const auto flags = options.parse(argc, argv);
    if (flags.count("help")) {
        std::puts(options.help().c_str());
        return 0;
    }
    const auto listen = readEndpoints(flags, "listen");
    const auto target = readEndpoints(flags, "target");
    if (listen.size() != target.size())
        throw std::invalid_argument("--listen and --target must name equally many endpoints");

    boost::asio::io_context io;
    Links links;
    for (size_t i = 0; i < listen.size(); ++i) {
        links.push_back(std::make_unique<Link>(io, listen[i], target[i]));
        links.back()->start();
    }
    HttpServer control(io, { .listen = readEndpoints(flags, "control").front() },
        [&](const HttpRequest& request, const HttpServer::Responder& respond) {
            const bool isKnown = request.method == "POST" && applyCommand(links, request.target);
            respond({ .status = isKnown ? 200 : 404, .body = "{}" });
        });
    if (const auto started = control.start(); !started)
        throw std::invalid_argument(started.error().message);
    bool isLeaving = false;
    runLoop(
        io, [&] { isLeaving = true; }, [&] { return isLeaving; });
    return 0;
}

} // namespace hickoryknot
