#include "core/CborArrays.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace hickoryknot {

using nlohmann::json;

namespace {

/// Builds the document. Stops at the depth limit, because the parser of the library recurses for each level.
class ArrayBuilder final : public json::json_sax_t {
public:
    explicit ArrayBuilder(size_t maxDepth)
        : m_maxDepth(maxDepth)
    {
    }

    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); }
    bool number_unsigned(number_unsigned_t value) override { return add(value); }
    bool number_float(number_float_t value, const string_t&) override { return add(value); }
    bool string(string_t& value) override { return add(std::move(value)); }
    bool binary(binary_t& value) override { return add(std::move(value)); }
    bool start_object(size_t) override { return false; }
    bool key(string_t&) override { return false; }
    bool end_object() override { return false; }
    bool start_array(size_t) override
    {
        if (m_openArrays.size() >= m_maxDepth)
            return false;
        m_openArrays.push_back(insert(json::array()));
        return true;
    }
    bool end_array() override
    {
        m_openArrays.pop_back();
        return true;
    }
    bool parse_error(size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

    json release() { return std::move(m_root); }

private:
    bool add(json value) { return insert(std::move(value)); }
    json* insert(json value)
    {
        if (m_openArrays.empty())
            return &(m_root = std::move(value));
        return &m_openArrays.back()->emplace_back(std::move(value));
    }

    size_t m_maxDepth;
    json m_root;
    std::vector<json*> m_openArrays; // Only the innermost one grows, so these pointers stay valid.
};

} // namespace

Expected<json> parseCborArrays(std::string_view bytes, size_t maxDepth)
{
    ArrayBuilder builder(maxDepth);
    if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor))
        return makeError(ErrorCode::InvalidArgument, "not CBOR of arrays, or nested too deeply");
    return builder.release();
}

} // namespace hickoryknot
