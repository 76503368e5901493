#include "overload/ProcessUsage.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace hickoryknot::overload {

namespace fs = std::filesystem;

namespace {

constexpr size_t bytesPerKilobyte = 1024;

} // namespace

ProcessUsage readUsage(pid_t pid)
{
    ProcessUsage usage;
    const fs::path folder = "/proc/" + std::to_string(pid);
    std::ifstream status(folder / "status");
    for (std::string word; status >> word;) {
        if (word != "VmRSS:")
            continue;
        status >> usage.residentBytes;
        usage.residentBytes *= bytesPerKilobyte;
    }
    std::error_code error;
    for (fs::directory_iterator entry(folder / "fd", error), end; !error && entry != end; entry.increment(error)) {
        ++usage.openDescriptors;
        std::error_code closedMeanwhile;
        if (fs::read_symlink(entry->path(), closedMeanwhile).string().starts_with("socket:"))
            ++usage.openSockets;
    }
    return usage;
}

} // namespace hickoryknot::overload
