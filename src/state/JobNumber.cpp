#include "state/JobNumber.h"

#include <charconv>
#include <fmt/format.h>

namespace hickoryknot {

namespace {

constexpr std::string_view cellHome = "cell";

std::optional<uint32_t> parseNumber(std::string_view text)
{
    uint32_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isWhole = failure == std::errc() && end == text.data() + text.size();
    return isWhole && !text.empty() ? std::optional(number) : std::nullopt;
}

std::string_view homeName(bool isCellJob, const ZoneId& zone)
{
    return isCellJob ? cellHome : std::string_view(zone.value());
}

// Zone names may contain colons, so the last colon is the separator.
std::optional<std::pair<std::string_view, uint32_t>> splitJobId(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    const auto number = parseNumber(text.substr(colon + 1));
    return number ? std::optional(std::pair(text.substr(0, colon), *number)) : std::nullopt;
}

} // namespace

JobId makeJobId(JobNumber job, const ZoneId& zone)
{
    return JobId(fmt::format("{}:{}", homeName(job.isCellJob, zone), job.number));
}

TaskId makeTaskId(JobNumber job, uint32_t taskIndex, const ZoneId& zone)
{
    return TaskId(fmt::format("{}:{}.{}", homeName(job.isCellJob, zone), job.number, taskIndex));
}

std::optional<JobNumber> parseJobId(const JobId& id, const ZoneId& zone)
{
    const auto parts = splitJobId(id.value());
    if (!parts || (parts->first != cellHome && parts->first != zone.value()))
        return std::nullopt;
    return JobNumber { .number = parts->second, .isCellJob = parts->first == cellHome };
}

std::optional<std::pair<JobNumber, uint32_t>> parseTaskId(const TaskId& id, const ZoneId& zone)
{
    const auto& text = id.value();
    const size_t dot = text.rfind('.');
    if (dot == std::string::npos)
        return std::nullopt;
    const auto task = parseNumber(std::string_view(text).substr(dot + 1));
    const auto job = parseJobId(JobId(text.substr(0, dot)), zone);
    return task && job ? std::optional(std::pair(*job, *task)) : std::nullopt;
}

std::optional<std::optional<ZoneId>> homeOfJob(const JobId& id)
{
    const auto parts = splitJobId(id.value());
    if (!parts)
        return std::nullopt;
    if (parts->first == cellHome)
        return std::optional<ZoneId> {};
    return std::optional(ZoneId(std::string(parts->first)));
}

} // namespace hickoryknot
