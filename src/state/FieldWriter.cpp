#include "state/FieldWriter.h"

#include <nlohmann/json.hpp>

namespace hickoryknot {

struct FieldWriter::Impl {
    nlohmann::json::array_t fields;
};

FieldWriter::FieldWriter()
    : m_impl(std::make_unique<Impl>())
{
}

FieldWriter::~FieldWriter() = default;

void FieldWriter::putUnsigned(uint64_t value) { m_impl->fields.emplace_back(value); }

void FieldWriter::putSigned(int64_t value) { m_impl->fields.emplace_back(value); }

// Binary strings, because responses of backend servers may not be UTF-8.
void FieldWriter::putBytes(std::string_view value)
{
    m_impl->fields.emplace_back(nlohmann::json::binary(std::vector<uint8_t>(value.begin(), value.end())));
}

std::string FieldWriter::finish()
{
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json(std::move(m_impl->fields)), bytes);
    m_impl->fields = {};
    return bytes;
}

} // namespace hickoryknot
