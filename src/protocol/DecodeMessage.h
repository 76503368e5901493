#pragma once

#include <functional>
#include <string_view>

#include "core/Error.h"
#include "core/Time.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

/// Parses one message, calls `read` for its fields and rejects fields that were not read.
Expected<void> readMessage(std::string_view text, size_t maxBytes, const std::function<void(ObjectReader&)>& read);

/// Decodes one message; `read` returns it.
template <typename Message, typename Read>
Expected<Message> decodeMessage(std::string_view text, size_t maxBytes, Read read)
{
    Message message;
    const auto result = readMessage(text, maxBytes, [&](ObjectReader& reader) { message = read(reader); });
    if (!result)
        return tl::unexpected(result.error());
    return message;
}

/// Whole milliseconds, rounded down so that a lease is never extended in transit.
inline int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace hickoryknot
