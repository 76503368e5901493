#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <unistd.h>

#include "Cases.h"

using namespace hickoryknot::review;

namespace {

/// A script may take 120 s in all.
constexpr unsigned maxSeconds = 115;

int usage()
{
    std::cerr << "usage: review_standin CASE RECORD-FILE\n";
    return static_cast<int>(Verdict::CouldNotRun);
}

} // namespace

int main(int argc, char** argv)
{
    const std::map<std::string, Verdict (*)(const CaseOptions&)> cases {
        { "many-ends", playManyEnds },
        { "foreign-report", playForeignReport },
        { "unstable-minion", playUnstableMinion },
        { "failing-service", playFailingService },
        { "replaced-route", playReplacedRoute },
        { "paused-entry", playPausedEntry },
        { "waiting-burst", playWaitingBurst },
    };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end())
        return usage();
    std::signal(SIGPIPE, SIG_IGN);
    // The kernel ends the processes of the cell with this one.
    std::signal(SIGALRM, [](int) { _exit(static_cast<int>(Verdict::CouldNotRun)); });
    alarm(maxSeconds);
    const char* trouble = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe)
    const auto folder
        = std::filesystem::temp_directory_path() / fmt::format("hickoryknot-review-{}-{}", argv[1], getpid());
    std::filesystem::create_directories(folder);
    const CaseOptions options {
        .folder = folder.string(), .recordFile = argv[2], .hasTrouble = !trouble || std::string(trouble) != "0"
    };
    Verdict verdict = Verdict::CouldNotRun;
    try {
        verdict = found->second(options);
    } catch (const std::exception& error) {
        std::cerr << "could not run: " << error.what() << '\n';
    }
    if (std::getenv("KEEP")) // NOLINT(concurrency-mt-unsafe)
        std::cout << "logs: " << folder << '\n';
    else
        std::filesystem::remove_all(folder);
    return static_cast<int>(verdict);
}
