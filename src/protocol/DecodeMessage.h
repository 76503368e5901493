#pragma once

#include <functional>
#include <string_view>

#include "core/Error.h"
#include "core/Time.h"
#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

/// Parses one message, lets `read` take its fields and refuses what is left over.
Expected<void> readMessage(std::string_view text, size_t maxBytes, const std::function<void(ObjectReader&)>& read);

/// Decodes with `read`, which returns the message.
template <typename Message, typename Read>
Expected<Message> decodeMessage(std::string_view text, size_t maxBytes, Read read)
{
    Message message;
    const auto result = readMessage(text, maxBytes, [&](ObjectReader& reader) { message = read(reader); });
    if (!result)
        return tl::unexpected(result.error());
    return message;
}

/// Whole milliseconds, rounded down so that a lease never grows on its way.
inline int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace hickoryknot
