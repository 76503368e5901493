#include "control/InitialMembersFile.h"

#include <sstream>

#include "log/FileDisk.h"

namespace hickoryknot {

namespace {

constexpr const char* fileName = "founders";
constexpr const char* temporaryName = "founders.tmp";

} // namespace

Expected<std::vector<HostId>> loadOrStoreInitialMembers(
    const std::string& folder, const std::vector<HostId>& initialMembers)
{
    auto disk = FileDisk::open(folder);
    if (!disk)
        return tl::unexpected(disk.error());
    const auto text = (*disk)->read(fileName);
    if (!text && text.error().code != ErrorCode::NotFound)
        return tl::unexpected(text.error());
    if (text) {
        std::vector<HostId> storedMembers;
        std::istringstream lines(*text);
        for (std::string line; std::getline(lines, line);) {
            if (!HostId::isValid(line))
                return makeError(ErrorCode::Corrupt, folder + "/" + fileName + " holds an invalid host name");
            storedMembers.emplace_back(line);
        }
        return storedMembers;
    }
    if (initialMembers.empty())
        return std::vector<HostId>();
    std::string lines;
    for (const auto& host : initialMembers)
        lines += host.value() + "\n";
    if (auto removed = (*disk)->remove(temporaryName); !removed && removed.error().code != ErrorCode::NotFound)
        return tl::unexpected(removed.error());
    const auto written = (*disk)
                             ->append(temporaryName, lines)
                             .and_then([&] { return (*disk)->sync(temporaryName); })
                             .and_then([&] { return (*disk)->rename(temporaryName, fileName); })
                             .and_then([&] { return (*disk)->syncFolder(); });
    if (!written)
        return tl::unexpected(written.error());
    return initialMembers;
}

} // namespace hickoryknot
