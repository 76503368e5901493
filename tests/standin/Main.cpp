#include <cstdio>
#include <exception>
#include <string_view>

#include "Commands.h"

namespace {

int runCommand(int argc, char** argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "server")
        return hickoryknot::runServerCommand(argc - 1, argv + 1);
    if (name == "worker")
        return hickoryknot::runWorkerCommand(argc - 1, argv + 1);
    if (name == "link")
        return hickoryknot::runLinkCommand(argc - 1, argv + 1);
    std::fprintf(stderr, "usage: hickoryknot_standin server|worker|link [options], --help lists them\n");
    return 2;
}

} // namespace

// Simulates the environment of the entry hosts: backend servers, workers, and network links that can be cut.
int main(int argc, char** argv)
{
    try {
        return runCommand(argc, argv);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "hickoryknot_standin: %s\n", error.what());
        return 2;
    }
}
