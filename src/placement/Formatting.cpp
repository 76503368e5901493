#include "placement/Formatting.h"

#include <fmt/format.h>
#include <vector>

namespace hickoryknot {

namespace {

std::string formatCores(Millicores amount)
{
    const double cores = static_cast<double>(amount.count()) / 1000;
    return fmt::format("{:g} {}", cores, amount.count() == 1000 ? "core" : "cores");
}

std::string formatAccelerators(Accelerators amount)
{
    return fmt::format("{} {}", amount.count(), amount.count() == 1 ? "accelerator" : "accelerators");
}

std::string joinList(const std::vector<std::string>& parts)
{
    std::string text;
    for (size_t i = 0; i < parts.size(); ++i)
        text += (i == 0 ? "" : i + 1 == parts.size() ? " and " : ", ") + parts[i];
    return text;
}

} // namespace

std::string formatResources(const Resources& amount)
{
    std::vector<std::string> parts;
    if (amount.millicores.count())
        parts.push_back(formatCores(amount.millicores));
    if (amount.mebibytes.count())
        parts.push_back(fmt::format("{} MiB", amount.mebibytes.count()));
    if (amount.accelerators.count())
        parts.push_back(formatAccelerators(amount.accelerators));
    return parts.empty() ? "nothing" : joinList(parts);
}

std::string formatQuota(const Resources& quota)
{
    const auto part = [](bool hasLimit, const std::string& limit, const char* unit) {
        return hasLimit ? limit : fmt::format("any number of {}", unit);
    };
    return joinList({ part(quota.millicores.count(), formatCores(quota.millicores), "cores"),
        part(quota.mebibytes.count(), fmt::format("{} MiB", quota.mebibytes.count()), "MiB"),
        part(quota.accelerators.count(), formatAccelerators(quota.accelerators), "accelerators") });
}

std::string formatRoundedDuration(Duration duration)
{
    const int64_t milliseconds = duration.count() / 1000;
    if (milliseconds < 1000)
        return fmt::format("{} ms", milliseconds);
    const int64_t seconds = milliseconds / 1000;
    if (seconds < 120)
        return fmt::format("{} s", seconds);
    if (seconds < 7200)
        return fmt::format("{} min", seconds / 60);
    return fmt::format("{} h {} min", seconds / 3600, seconds / 60 % 60);
}

} // namespace hickoryknot
