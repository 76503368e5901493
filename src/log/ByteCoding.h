#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace hickoryknot {

/// Appends an integer to `bytes` in little endian order.
template <typename Number> void appendLittleEndian(std::string& bytes, Number number)
{
    for (size_t i = 0; i < sizeof(Number); ++i)
        bytes.push_back(static_cast<char>(static_cast<uint64_t>(number) >> (8 * i)));
}

/// Reads the little endian integer at `offset`. The caller checks the size.
template <typename Number> Number readLittleEndian(std::string_view bytes, size_t offset)
{
    uint64_t number = 0;
    for (size_t i = 0; i < sizeof(Number); ++i)
        number |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    return static_cast<Number>(number);
}

} // namespace hickoryknot
