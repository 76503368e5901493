#include "state/RequestTime.h"

#include <charconv>
#include <string_view>

namespace hickoryknot {

namespace {

// 13 digits cover the years 2001 to 2286; numbers of other lengths are not timestamps.
constexpr size_t timestampDigits = 13;

std::optional<int64_t> parseDigits(std::string_view text)
{
    int64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = failure == std::errc() && end == text.data() + text.size();
    return isWhole && value >= 0 ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<UnixMs> requestTimestamp(const RequestId& id)
{
    const std::string_view text = id.value();
    const size_t last = text.rfind('-');
    if (last == std::string_view::npos || last == 0 || !parseDigits(text.substr(last + 1)))
        return std::nullopt;
    const size_t first = text.rfind('-', last - 1);
    if (first == std::string_view::npos || first == 0 || last - first - 1 != timestampDigits)
        return std::nullopt;
    return parseDigits(text.substr(first + 1, timestampDigits));
}

} // namespace hickoryknot
