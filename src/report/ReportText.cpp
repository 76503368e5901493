#include "report/ReportText.h"

#include <fmt/format.h>

namespace hickoryknot {

namespace {

// Two units; the smaller one is omitted if it is zero.
std::string formatTwoUnits(int64_t large, const char* largeUnit, int64_t small, const char* smallUnit)
{
    return small ? fmt::format("{} {} {} {}", large, largeUnit, small, smallUnit)
                 : fmt::format("{} {}", large, largeUnit);
}

} // namespace

std::string formatDuration(Duration duration)
{
    const int64_t micros = duration.count();
    const int64_t seconds = micros / 1000000;
    if (micros < 1000)
        return fmt::format("{} us", micros);
    if (seconds < 1)
        return fmt::format("{:.3g} ms", static_cast<double>(micros) / 1e3);
    if (seconds < 60)
        return fmt::format("{:.3g} s", static_cast<double>(micros) / 1e6);
    if (seconds < 3600)
        return formatTwoUnits(seconds / 60, "min", seconds % 60, "s");
    return formatTwoUnits(seconds / 3600, "h", seconds % 3600 / 60, "min");
}

std::string formatWallTime(WallTime time)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const auto minutes = std::chrono::floor<std::chrono::minutes>(time - day).count();
    return fmt::format("{:04}-{:02}-{:02} {:02}:{:02} UTC", static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()), minutes / 60, minutes % 60);
}

std::string formatPercent(double share)
{
    const double percent = share * 100;
    if (percent > 0 && percent < 0.01)
        return "<0.01%";
    // Does not round up to 100%.
    if (percent < 100 && percent > 99.99)
        return ">99.99%";
    if (percent >= 100 || percent == 0)
        return fmt::format("{:.0f}%", percent);
    return percent > 99 ? fmt::format("{:.4g}%", percent) : fmt::format("{:.3g}%", percent);
}

std::string escapeHtml(const std::string& text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

} // namespace hickoryknot
