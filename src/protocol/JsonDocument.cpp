#include "protocol/JsonDocument.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "protocol/Base64.h"
#include "protocol/ProtocolLimits.h"
#include "protocol/Utf8.h"

namespace hickoryknot {

using nlohmann::json;

namespace {

/// SAX handler that builds the document and aborts when a limit is exceeded, before memory is allocated.
class DocumentBuilder {
public:
    bool null() { return add(nullptr); }
    bool boolean(bool value) { return add(value); }
    bool number_integer(json::number_integer_t value) { return add(value); } // NOLINT
    bool number_unsigned(json::number_unsigned_t value) { return add(value); } // NOLINT
    bool number_float(json::number_float_t value, const std::string&) { return add(value); } // NOLINT
    bool string(std::string& value) { return add(std::move(value)); }
    bool binary(json::binary_t&) { return fail(ErrorCode::InvalidArgument, "binary values are not allowed"); }
    bool start_object(size_t) { return open(json::object()); } // NOLINT
    bool start_array(size_t) { return open(json::array()); } // NOLINT
    bool end_object() { return close(); } // NOLINT
    bool end_array() { return close(); } // NOLINT

    bool key(std::string& name)
    {
        if (m_openContainers.back()->contains(name))
            return fail(ErrorCode::InvalidArgument, "the field \"" + name + "\" appears twice");
        m_key = std::move(name);
        return true;
    }

    bool parse_error(size_t position, const std::string&, const nlohmann::detail::exception&) // NOLINT
    {
        return fail(ErrorCode::InvalidArgument, "the message is not JSON at byte " + std::to_string(position));
    }

    Expected<json> finish()
    {
        if (m_error)
            return tl::unexpected(std::move(*m_error));
        return std::move(m_root);
    }

private:
    bool fail(ErrorCode code, std::string message)
    {
        if (!m_error)
            m_error = Error { code, std::move(message) };
        return false;
    }

    /// Adds the value to the innermost open list or object.
    json* insert(json value)
    {
        if (m_openContainers.empty()) {
            m_root = std::move(value);
            return &m_root;
        }
        json& parent = *m_openContainers.back();
        if (parent.is_object())
            return &(parent[m_key] = std::move(value));
        if (parent.size() >= protocol_limits::maxListLength) {
            fail(ErrorCode::TooLarge,
                "a list has more than " + std::to_string(protocol_limits::maxListLength) + " elements");
            return nullptr;
        }
        parent.push_back(std::move(value));
        return &parent.back();
    }

    bool add(json value) { return insert(std::move(value)) != nullptr; }

    bool open(json value)
    {
        if (m_openContainers.size() >= protocol_limits::maxDepth) {
            return fail(ErrorCode::TooLarge,
                "the message is nested deeper than " + std::to_string(protocol_limits::maxDepth) + " levels");
        }
        json* inserted = insert(std::move(value));
        if (inserted)
            m_openContainers.push_back(inserted);
        return inserted != nullptr;
    }

    bool close()
    {
        m_openContainers.pop_back();
        return true;
    }

    json m_root;
    std::vector<json*> m_openContainers;
    std::string m_key;
    std::optional<Error> m_error;
};

} // namespace

Expected<json> parseDocument(std::string_view text, size_t maxBytes)
{
    if (text.size() > maxBytes) {
        return makeError(ErrorCode::TooLarge,
            "the message has " + std::to_string(text.size()) + " bytes; at most " + std::to_string(maxBytes)
                + " are allowed");
    }
    DocumentBuilder builder;
    json::sax_parse(text, &builder);
    return builder.finish();
}

std::string writeDocument(const json& document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

void putBytes(json& object, const char* name, const std::string& bytes)
{
    if (isUtf8(bytes))
        object[name] = bytes;
    else
        object[std::string(name) + "Base64"] = encodeBase64(bytes);
}

} // namespace hickoryknot
