#include "protocol/Base64.h"

#include <array>
#include <cstdint>

namespace hickoryknot {

namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr uint8_t invalidDigit = 255;

constexpr std::array<uint8_t, 256> makeDigits()
{
    std::array<uint8_t, 256> digits {};
    digits.fill(invalidDigit);
    for (size_t i = 0; i < alphabet.size(); ++i)
        digits[static_cast<unsigned char>(alphabet[i])] = static_cast<uint8_t>(i);
    return digits;
}

constexpr std::array<uint8_t, 256> digits = makeDigits();

uint32_t byteAt(std::string_view text, size_t index) { return static_cast<unsigned char>(text[index]); }

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (size_t i = 0; i < bytes.size(); i += 3) {
        const size_t count = std::min<size_t>(3, bytes.size() - i);
        uint32_t group = byteAt(bytes, i) << 16;
        if (count > 1)
            group |= byteAt(bytes, i + 1) << 8;
        if (count > 2)
            group |= byteAt(bytes, i + 2);
        for (size_t digit = 0; digit < 4; ++digit)
            text.push_back(digit <= count ? alphabet[group >> (18 - 6 * digit) & 63] : '=');
    }
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    const size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    const size_t length = text.size() - padding;
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    uint32_t group = 0;
    uint32_t bits = 0;
    for (size_t i = 0; i < length; ++i) {
        const uint8_t digit = digits[byteAt(text, i)];
        if (digit == invalidDigit)
            return std::nullopt;
        group = (group << 6 | digit) & 0xFFFFFF;
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes.push_back(static_cast<char>(group >> bits & 0xFF));
        }
    }
    // Unused trailing bits must be zero, so that the encoding is canonical.
    if ((group & ((1U << bits) - 1)) != 0)
        return std::nullopt;
    return bytes;
}

} // namespace hickoryknot
