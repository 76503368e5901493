#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "Cases.h"

namespace {

constexpr int couldNotRun = 2;

} // namespace

int main(int count, char** arguments)
{
    using namespace review;
    if (count != 4) {
        std::cerr << "usage: review_standin_2 CASE PROGRAM RECORD\n";
        return couldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string name = arguments[1];
    const char* trouble = std::getenv("TROUBLE");
    const bool isTroubled = !trouble || std::string(trouble) != "0";
    std::string folder = (std::filesystem::temp_directory_path() / "hickoryknot-review-XXXXXX").string();
    if (!::mkdtemp(folder.data()))
        return couldNotRun;
    int result = couldNotRun;
    try {
        Record record(arguments[3]);
        result = runCase(name, { .program = arguments[2], .folder = folder }, isTroubled, record);
        record.write("result: " + std::to_string(result));
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
    }
    if (std::getenv("KEEP_FOLDER"))
        std::cerr << folder << "\n";
    else
        std::filesystem::remove_all(folder);
    return result;
}
