#include "protocol/Utf8.h"

#include <algorithm>
#include <cstdint>

namespace hickoryknot {

namespace {

bool isContinuation(char c) { return (static_cast<unsigned char>(c) & 0xC0) == 0x80; }

/// Length in bytes of the character with this lead byte; 0 if it is invalid.
size_t characterLength(unsigned char lead)
{
    if (lead < 0x80)
        return 1;
    if (lead >= 0xC2 && lead <= 0xDF)
        return 2;
    if (lead >= 0xE0 && lead <= 0xEF)
        return 3;
    return lead >= 0xF0 && lead <= 0xF4 ? 4 : 0;
}

/// Detects overlong forms, surrogates and values above U+10FFFF by their second byte.
bool isSecondByteAllowed(unsigned char lead, unsigned char second)
{
    switch (lead) {
    case 0xE0:
        return second >= 0xA0;
    case 0xED:
        return second <= 0x9F;
    case 0xF0:
        return second >= 0x90;
    case 0xF4:
        return second <= 0x8F;
    default:
        return true;
    }
}

} // namespace

bool isUtf8(std::string_view text)
{
    for (size_t i = 0; i < text.size();) {
        const auto lead = static_cast<unsigned char>(text[i]);
        const size_t length = characterLength(lead);
        if (length == 0 || text.size() - i < length)
            return false;
        const auto rest = text.substr(i + 1, length - 1);
        if (!std::all_of(rest.begin(), rest.end(), isContinuation))
            return false;
        if (!rest.empty() && !isSecondByteAllowed(lead, static_cast<unsigned char>(rest.front())))
            return false;
        i += length;
    }
    return true;
}

} // namespace hickoryknot
