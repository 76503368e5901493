#include "state/RequestTime.h"

#include <charconv>
#include <string_view>

namespace hickoryknot {

namespace {

// Thirteen digits cover the years 2001 to 2286; other lengths are counters, not times.
constexpr size_t digitsOfTime = 13;

std::optional<int64_t> parseDigits(std::string_view text)
{
    int64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = failure == std::errc() && end == text.data() + text.size();
    return isWhole && value >= 0 ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<UnixMs> timeOfRequest(const RequestId& id)
{
    const std::string_view text = id.value();
    const size_t last = text.rfind('-');
    if (last == std::string_view::npos || last == 0 || !parseDigits(text.substr(last + 1)))
        return std::nullopt;
    const size_t first = text.rfind('-', last - 1);
    if (first == std::string_view::npos || first == 0 || last - first - 1 != digitsOfTime)
        return std::nullopt;
    return parseDigits(text.substr(first + 1, digitsOfTime));
}

} // namespace hickoryknot
