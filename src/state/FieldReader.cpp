#include "state/FieldReader.h"

#include <nlohmann/json.hpp>

#include "core/CborArrays.h"

namespace hickoryknot {

struct FieldReader::Impl {
    nlohmann::json fields;
    size_t next { 0 };
};

FieldReader::FieldReader(std::string_view bytes)
    : m_impl(std::make_unique<Impl>())
{
    if (auto fields = parseCborArrays(bytes, 1))
        m_impl->fields = std::move(*fields);
    m_isOk = m_impl->fields.is_array();
}

FieldReader::~FieldReader() = default;

size_t FieldReader::remaining() const { return m_isOk ? m_impl->fields.size() - m_impl->next : 0; }

uint64_t FieldReader::getUnsigned(uint64_t max)
{
    m_isOk = remaining() > 0 && m_impl->fields[m_impl->next].is_number_unsigned()
        && m_impl->fields[m_impl->next].get<uint64_t>() <= max;
    return m_isOk ? m_impl->fields[m_impl->next++].get<uint64_t>() : 0;
}

int64_t FieldReader::getSigned(int64_t min, int64_t max)
{
    // CBOR encodes non-negative signed numbers as unsigned.
    m_isOk = remaining() > 0 && m_impl->fields[m_impl->next].is_number_integer();
    if (!m_isOk)
        return 0;
    const auto& field = m_impl->fields[m_impl->next++];
    m_isOk = !field.is_number_unsigned()
        || field.get<uint64_t>() <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
    const int64_t value = m_isOk ? field.get<int64_t>() : 0;
    m_isOk = m_isOk && value >= min && value <= max;
    return m_isOk ? value : 0;
}

std::string FieldReader::getBytes()
{
    m_isOk = remaining() > 0 && m_impl->fields[m_impl->next].is_binary();
    if (!m_isOk)
        return {};
    const auto& bytes = m_impl->fields[m_impl->next++].get_binary();
    return { bytes.begin(), bytes.end() };
}

Expected<void> FieldReader::finish() const
{
    if (!m_isOk)
        return makeError(ErrorCode::Corrupt, "a field is missing, has the wrong type or is out of range");
    if (remaining())
        return makeError(ErrorCode::Corrupt, "more fields than expected");
    return {};
}

} // namespace hickoryknot
