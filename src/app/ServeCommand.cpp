#include "app/ServeCommand.h"

#include <iostream>
#include <random>

#include "app/EventLog.h"
#include "app/HostProcess.h"
#include "app/SteadyTime.h"

namespace hickoryknot {

ExitCode runServeCommand(int argc, char** argv)
{
    auto parsed = parseHostSettings(argc, argv);
    if (!parsed) {
        std::cerr << "hickoryknot: " << parsed.error().message << '\n';
        return ExitCode::Usage;
    }
    if (!*parsed)
        return ExitCode::Success;
    HostSettings settings = std::move(**parsed);
    settings.incarnation = static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(wallNow().time_since_epoch()).count());
    if (!settings.seed) {
        std::random_device device;
        settings.seed = (static_cast<uint64_t>(device()) << 32) | device();
    }
    EventLog::start(settings.host.value(), settings.logLevel);

    HostProcess process(settings);
    if (auto started = process.start(); !started) {
        std::cerr << "hickoryknot: " << started.error().message << '\n';
        return ExitCode::Failure;
    }
    process.runUntilStopped();
    EventLog::flush();
    return ExitCode::Success;
}

} // namespace hickoryknot
