#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hickoryknot::message_frame {

/// A frame consists of the message length (4 bytes, big-endian), the message kind (1 byte) and the message.
inline constexpr size_t headerBytes = 5;
/// Kind of a frame without a message that requests an acknowledgement.
inline constexpr uint8_t probeKind = 0;
/// Byte that the receiver sends as an acknowledgement.
inline constexpr char ackByte = '+';

inline void append(std::string& buffer, uint8_t kind, std::string_view bytes)
{
    const auto size = static_cast<uint32_t>(bytes.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        buffer += static_cast<char>((size >> shift) & 0xff);
    buffer += static_cast<char>(kind);
    buffer += bytes;
}

inline uint32_t sizeOf(std::string_view header)
{
    uint32_t size = 0;
    for (size_t i = 0; i < 4; ++i)
        size = (size << 8) | static_cast<uint8_t>(header[i]);
    return size;
}

} // namespace hickoryknot::message_frame
