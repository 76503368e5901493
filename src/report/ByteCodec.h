#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickoryknot {

/// Encodes unsigned integers as LEB128 varints and strings with a length prefix.
class ByteWriter {
public:
    void writeVarint(uint64_t value)
    {
        for (; value >= 0x80; value >>= 7)
            m_bytes += static_cast<char>(value | 0x80);
        m_bytes += static_cast<char>(value);
    }

    void writeString(std::string_view value)
    {
        writeVarint(value.size());
        m_bytes += value;
    }

    const std::string& bytes() const { return m_bytes; }

private:
    std::string m_bytes;
};

/// Decodes the output of ByteWriter. After the first error every read returns zero or an empty string, and isValid() is
/// false.
class ByteReader {
public:
    explicit ByteReader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    uint64_t readVarint()
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

    /// Reads an integer of at most `max`; larger ones are an error.
    uint64_t readVarint(uint64_t max)
    {
        const uint64_t value = readVarint();
        return value <= max ? value : fail();
    }

    /// Reads a string of at most `maxSize` bytes; longer ones are an error.
    std::string_view readString(size_t maxSize)
    {
        const uint64_t size = readVarint(maxSize);
        if (size > m_bytes.size()) {
            fail();
            return {};
        }
        const std::string_view value = m_bytes.substr(0, size);
        m_bytes.remove_prefix(size);
        return value;
    }

    bool isValid() const { return m_isValid; }
    bool isAtEnd() const { return m_bytes.empty(); }

private:
    uint64_t fail()
    {
        m_isValid = false;
        m_bytes = {};
        return 0;
    }

    std::string_view m_bytes;
    bool m_isValid { true };
};

} // namespace hickoryknot
