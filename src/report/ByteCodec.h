#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickoryknot {

/// Writes numbers in as few bytes as they need, seven bits to a byte.
class ByteWriter {
public:
    void number(uint64_t value)
    {
        for (; value >= 0x80; value >>= 7)
            m_bytes += static_cast<char>(value | 0x80);
        m_bytes += static_cast<char>(value);
    }

    void text(std::string_view value)
    {
        number(value.size());
        m_bytes += value;
    }

    const std::string& bytes() const { return m_bytes; }

private:
    std::string m_bytes;
};

/// Reads what ByteWriter wrote. After the first fault every read gives zero or nothing and isGood() is false.
class ByteReader {
public:
    explicit ByteReader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    uint64_t number()
    {
        uint64_t value = 0;
        for (unsigned shift = 0; shift < 64 && !m_bytes.empty(); shift += 7) {
            const auto byte = static_cast<unsigned char>(m_bytes.front());
            m_bytes.remove_prefix(1);
            value |= static_cast<uint64_t>(byte & 0x7F) << shift;
            if (!(byte & 0x80))
                return value;
        }
        return fail();
    }

    /// A number that must not be larger than `most`.
    uint64_t number(uint64_t most)
    {
        const uint64_t value = number();
        return value <= most ? value : fail();
    }

    std::string_view text(size_t most)
    {
        const uint64_t size = number(most);
        if (size > m_bytes.size()) {
            fail();
            return {};
        }
        const std::string_view value = m_bytes.substr(0, size);
        m_bytes.remove_prefix(size);
        return value;
    }

    bool isGood() const { return m_isGood; }
    bool isAtEnd() const { return m_bytes.empty(); }

private:
    uint64_t fail()
    {
        m_isGood = false;
        m_bytes = {};
        return 0;
    }

    std::string_view m_bytes;
    bool m_isGood { true };
};

} // namespace hickoryknot
