#include "protocol/ObjectReader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <nlohmann/json.hpp>

#include "protocol/Base64.h"

namespace hickoryknot {

using nlohmann::json;

namespace {

constexpr const char* idRequirement = "must be a string of 1 to 128 characters out of letters, digits and ._:-";

// All tags have the same id format.
bool isIdText(const json& value)
{
    return value.is_string() && NamedId<void>::isValid(value.get_ref<const std::string&>());
}

std::string range(const std::string& min, const std::string& max) { return "from " + min + " to " + max; }

bool isNumericAddress(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> address {};
    return inet_pton(AF_INET, text.c_str(), address.data()) == 1
        || inet_pton(AF_INET6, text.c_str(), address.data()) == 1;
}

} // namespace

ObjectReader::ObjectReader(const json& value, std::optional<Error>& error)
    : ObjectReader(value, error, { nullptr, "", std::nullopt })
{
}

ObjectReader::ObjectReader(const json& value, std::optional<Error>& error, Location location)
    : m_object(value)
    , m_error(error)
    , m_location(location)
{
    if (!value.is_object() && !m_error) {
        const auto objectPath = path();
        m_error = Error { ErrorCode::InvalidArgument,
            (objectPath.empty() ? "the message" : objectPath) + " must be an object" };
    }
}

uint64_t ObjectReader::unsignedInteger(const char* name, uint64_t min, uint64_t max)
{
    const json* value = find(name);
    if (!value)
        return min;
    const bool isWhole = value->is_number_unsigned() || (value->is_number_integer() && value->get<int64_t>() >= 0);
    if (isWhole && value->get<uint64_t>() >= min && value->get<uint64_t>() <= max)
        return value->get<uint64_t>();
    fail(name, "must be a whole number " + range(std::to_string(min), std::to_string(max)));
    return min;
}

uint64_t ObjectReader::unsignedIntegerOr(const char* name, uint64_t min, uint64_t max, uint64_t fallback)
{
    return has(name) ? unsignedInteger(name, min, max) : fallback;
}

int64_t ObjectReader::signedInteger(const char* name, int64_t min, int64_t max)
{
    const json* value = find(name);
    if (!value)
        return min;
    // Larger unsigned values would become negative in the conversion.
    const bool isInRange = value->is_number_integer()
        && (!value->is_number_unsigned() || value->get<uint64_t>() <= static_cast<uint64_t>(INT64_MAX))
        && value->get<int64_t>() >= min && value->get<int64_t>() <= max;
    if (isInRange)
        return value->get<int64_t>();
    fail(name, "must be a whole number " + range(std::to_string(min), std::to_string(max)));
    return min;
}

Duration ObjectReader::milliseconds(const char* name, Duration max)
{
    const auto maxMs = std::chrono::duration_cast<std::chrono::milliseconds>(max).count();
    return std::chrono::milliseconds(unsignedInteger(name, 0, static_cast<uint64_t>(maxMs)));
}

bool ObjectReader::boolean(const char* name)
{
    const json* value = find(name);
    if (value && value->is_boolean())
        return value->get<bool>();
    if (value)
        fail(name, "must be true or false");
    return false;
}

std::optional<bool> ObjectReader::optionalBoolean(const char* name)
{
    return has(name) ? std::optional(boolean(name)) : std::nullopt;
}

std::string ObjectReader::string(const char* name, size_t minBytes, size_t maxBytes)
{
    const json* value = find(name);
    if (!value)
        return {};
    const std::string requirement
        = "must be a string of " + range(std::to_string(minBytes), std::to_string(maxBytes) + " bytes");
    if (!value->is_string()) {
        fail(name, requirement);
        return {};
    }
    const auto& content = value->get_ref<const std::string&>();
    if (content.size() >= minBytes && content.size() <= maxBytes)
        return content;
    fail(name, requirement, content.size() > maxBytes ? ErrorCode::TooLarge : ErrorCode::InvalidArgument);
    return {};
}

std::string ObjectReader::bytes(const char* name, size_t maxBytes)
{
    const std::string encodedName = std::string(name) + "Base64";
    const auto encoded = m_object.is_object() ? m_object.find(encodedName) : m_object.end();
    if (has(name) && encoded != m_object.end()) {
        fail(name, "must not stand beside " + encodedName);
        return {};
    }
    if (has(name))
        return string(name, 0, maxBytes);
    if (!m_object.is_object() || encoded == m_object.end())
        return {};
    // base64() keeps a reference to the name; the key in the document outlives this call, `encodedName` does not.
    return base64(encoded.key().c_str(), maxBytes);
}

std::string ObjectReader::base64(const char* name, size_t maxBytes)
{
    const auto decoded = decodeBase64(string(name, 0, (maxBytes + 2) / 3 * 4));
    if (decoded && decoded->size() <= maxBytes)
        return *decoded;
    fail(name, "must be base64 of 0 to " + std::to_string(maxBytes) + " bytes");
    return {};
}

std::string ObjectReader::numericAddress(const char* name)
{
    const json* value = find(name);
    if (!value)
        return {};
    if (value->is_string() && isNumericAddress(value->get_ref<const std::string&>()))
        return value->get<std::string>();
    fail(name, "must be a numeric IPv4 or IPv6 address");
    return {};
}

size_t ObjectReader::enumIndex(const char* name, std::span<const char* const> names)
{
    const json* value = find(name);
    if (!value)
        return 0;
    std::string requirement = "must be one of";
    for (size_t i = 0; i < names.size(); ++i) {
        if (value->is_string() && value->get_ref<const std::string&>() == names[i])
            return i;
        requirement += std::string(i ? ", " : " ") + names[i];
    }
    fail(name, requirement);
    return 0;
}

Resources ObjectReader::resources(
    const char* millicores, const char* mebibytes, const char* accelerators, int64_t factor)
{
    const auto amount = [&](const char* name, int64_t max) {
        return static_cast<int64_t>(unsignedInteger(name, 0, static_cast<uint64_t>(max * factor)));
    };
    return { Millicores(amount(millicores, protocol_limits::maxMillicores)),
        Mebibytes(amount(mebibytes, protocol_limits::maxMebibytes)),
        Accelerators(amount(accelerators, protocol_limits::maxAccelerators)) };
}

void ObjectReader::eachObject(const char* name, const std::function<void(ObjectReader&)>& read)
{
    const json* elements = list(name, 0);
    for (size_t i = 0; elements && i < elements->size() && !m_error; ++i) {
        ObjectReader element((*elements)[i], m_error, { this, name, i });
        read(element);
        element.finish();
    }
}

bool ObjectReader::optionalObject(const char* name, const std::function<void(ObjectReader&)>& read)
{
    if (!has(name))
        return false;
    if (const json* value = find(name)) {
        ObjectReader object(*value, m_error, { this, name, std::nullopt });
        read(object);
        object.finish();
    }
    return true;
}

void ObjectReader::finish()
{
    if (m_error)
        return;
    for (const auto& field : m_object.items()) {
        if (std::find(m_readFields.begin(), m_readFields.end(), field.key()) == m_readFields.end())
            return fail(field.key(), "is not a field of this message");
    }
}

bool ObjectReader::has(const char* name) const { return !m_error && m_object.contains(name); }

const json* ObjectReader::find(const char* name)
{
    if (m_error)
        return nullptr;
    m_readFields.emplace_back(name);
    const auto found = m_object.find(name);
    if (found != m_object.end())
        return &*found;
    fail(name, "is missing");
    return nullptr;
}

std::string ObjectReader::idText(const char* name)
{
    const json* value = find(name);
    if (!value)
        return {};
    if (isIdText(*value))
        return value->get<std::string>();
    fail(name, idRequirement);
    return {};
}

void ObjectReader::eachId(const char* name, size_t minLength, const std::function<void(std::string)>& handle)
{
    const json* elements = list(name, minLength);
    for (size_t i = 0; elements && i < elements->size() && !m_error; ++i) {
        if (isIdText((*elements)[i]))
            handle((*elements)[i].get<std::string>());
        else
            fail(std::string(name) + "[" + std::to_string(i) + "]", idRequirement);
    }
}

const json* ObjectReader::list(const char* name, size_t minLength)
{
    const json* value = find(name);
    if (!value || (value->is_array() && value->size() >= minLength))
        return value;
    fail(name,
        "must be a list of " + range(std::to_string(minLength), std::to_string(protocol_limits::maxListLength))
            + " elements");
    return nullptr;
}

std::string ObjectReader::path() const
{
    if (!m_location.parent)
        return {};
    const auto own = m_location.parent->path(m_location.field);
    return m_location.index ? own + "[" + std::to_string(*m_location.index) + "]" : own;
}

std::string ObjectReader::path(std::string_view field) const
{
    const auto prefix = path();
    return prefix.empty() ? std::string(field) : prefix + "." + std::string(field);
}

void ObjectReader::fail(std::string_view field, const std::string& requirement, ErrorCode code)
{
    if (!m_error)
        m_error = Error { code, path(field) + " " + requirement };
}

} // namespace hickoryknot
