#include "protocol/ObjectReader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <nlohmann/json.hpp>

#include "protocol/Base64.h"

namespace hickoryknot {

using nlohmann::json;

namespace {

constexpr const char* idRule = "must be a string of 1 to 128 characters out of letters, digits and ._:-";

// The rule is the same for all tags.
bool isIdText(const json& value)
{
    return value.is_string() && NamedId<void>::isValid(value.get_ref<const std::string&>());
}

std::string range(const std::string& least, const std::string& most) { return "from " + least + " to " + most; }

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

ObjectReader::ObjectReader(const json& value, std::optional<Error>& error, Place place)
    : m_object(value)
    , m_error(error)
    , m_place(place)
{
    if (!value.is_object() && !m_error) {
        const auto where = path();
        m_error = Error { ErrorCode::InvalidArgument, (where.empty() ? "the message" : where) + " must be an object" };
    }
}

uint64_t ObjectReader::whole(const char* name, uint64_t least, uint64_t most)
{
    const json* value = find(name);
    if (!value)
        return least;
    const bool isWhole = value->is_number_unsigned() || (value->is_number_integer() && value->get<int64_t>() >= 0);
    if (isWhole && value->get<uint64_t>() >= least && value->get<uint64_t>() <= most)
        return value->get<uint64_t>();
    refuse(name, "must be a whole number " + range(std::to_string(least), std::to_string(most)));
    return least;
}

uint64_t ObjectReader::wholeOr(const char* name, uint64_t least, uint64_t most, uint64_t fallback)
{
    return has(name) ? whole(name, least, most) : fallback;
}

int64_t ObjectReader::signedWhole(const char* name, int64_t least, int64_t most)
{
    const json* value = find(name);
    if (!value)
        return least;
    // An unsigned value above the signed range would turn negative.
    const bool isInRange = value->is_number_integer()
        && (!value->is_number_unsigned() || value->get<uint64_t>() <= static_cast<uint64_t>(INT64_MAX))
        && value->get<int64_t>() >= least && value->get<int64_t>() <= most;
    if (isInRange)
        return value->get<int64_t>();
    refuse(name, "must be a whole number " + range(std::to_string(least), std::to_string(most)));
    return least;
}

Duration ObjectReader::milliseconds(const char* name, Duration most)
{
    const auto mostMs = std::chrono::duration_cast<std::chrono::milliseconds>(most).count();
    return std::chrono::milliseconds(whole(name, 0, static_cast<uint64_t>(mostMs)));
}

bool ObjectReader::flag(const char* name)
{
    const json* value = find(name);
    if (value && value->is_boolean())
        return value->get<bool>();
    if (value)
        refuse(name, "must be true or false");
    return false;
}

std::optional<bool> ObjectReader::optionalFlag(const char* name)
{
    return has(name) ? std::optional(flag(name)) : std::nullopt;
}

std::string ObjectReader::text(const char* name, size_t leastBytes, size_t mostBytes)
{
    const json* value = find(name);
    if (!value)
        return {};
    const std::string rule
        = "must be a string of " + range(std::to_string(leastBytes), std::to_string(mostBytes) + " bytes");
    if (!value->is_string()) {
        refuse(name, rule);
        return {};
    }
    const auto& content = value->get_ref<const std::string&>();
    if (content.size() >= leastBytes && content.size() <= mostBytes)
        return content;
    refuse(name, rule, content.size() > mostBytes ? ErrorCode::TooLarge : ErrorCode::InvalidArgument);
    return {};
}

std::string ObjectReader::bytes(const char* name, size_t mostBytes)
{
    const std::string encodedName = std::string(name) + "Base64";
    const auto encoded = m_object.is_object() ? m_object.find(encodedName) : m_object.end();
    if (has(name) && encoded != m_object.end()) {
        refuse(name, "must not stand beside " + encodedName);
        return {};
    }
    if (has(name))
        return text(name, 0, mostBytes);
    if (!m_object.is_object() || encoded == m_object.end())
        return {};
    // The key inside the document outlives this call, unlike the name built above.
    return base64(encoded.key().c_str(), mostBytes);
}

std::string ObjectReader::base64(const char* name, size_t mostBytes)
{
    const auto decoded = decodeBase64(text(name, 0, (mostBytes + 2) / 3 * 4));
    if (decoded && decoded->size() <= mostBytes)
        return *decoded;
    refuse(name, "must be base64 of 0 to " + std::to_string(mostBytes) + " bytes");
    return {};
}

std::string ObjectReader::numericAddress(const char* name)
{
    const json* value = find(name);
    if (!value)
        return {};
    if (value->is_string() && isNumericAddress(value->get_ref<const std::string&>()))
        return value->get<std::string>();
    refuse(name, "must be a numeric IPv4 or IPv6 address");
    return {};
}

size_t ObjectReader::choice(const char* name, std::span<const char* const> words)
{
    const json* value = find(name);
    if (!value)
        return 0;
    std::string rule = "must be one of";
    for (size_t i = 0; i < words.size(); ++i) {
        if (value->is_string() && value->get_ref<const std::string&>() == words[i])
            return i;
        rule += std::string(i ? ", " : " ") + words[i];
    }
    refuse(name, rule);
    return 0;
}

Resources ObjectReader::resources(
    const char* millicores, const char* mebibytes, const char* accelerators, int64_t factor)
{
    const auto amount = [&](const char* name, int64_t most) {
        return static_cast<int64_t>(whole(name, 0, static_cast<uint64_t>(most * factor)));
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
        if (std::find(m_known.begin(), m_known.end(), field.key()) == m_known.end())
            return refuse(field.key(), "is not a field of this message");
    }
}

bool ObjectReader::has(const char* name) const { return !m_error && m_object.contains(name); }

const json* ObjectReader::find(const char* name)
{
    if (m_error)
        return nullptr;
    m_known.emplace_back(name);
    const auto found = m_object.find(name);
    if (found != m_object.end())
        return &*found;
    refuse(name, "is missing");
    return nullptr;
}

std::string ObjectReader::idText(const char* name)
{
    const json* value = find(name);
    if (!value)
        return {};
    if (isIdText(*value))
        return value->get<std::string>();
    refuse(name, idRule);
    return {};
}

void ObjectReader::eachId(const char* name, size_t leastLength, const std::function<void(std::string)>& take)
{
    const json* elements = list(name, leastLength);
    for (size_t i = 0; elements && i < elements->size() && !m_error; ++i) {
        if (isIdText((*elements)[i]))
            take((*elements)[i].get<std::string>());
        else
            refuse(std::string(name) + "[" + std::to_string(i) + "]", idRule);
    }
}

const json* ObjectReader::list(const char* name, size_t leastLength)
{
    const json* value = find(name);
    if (!value || (value->is_array() && value->size() >= leastLength))
        return value;
    refuse(name,
        "must be a list of " + range(std::to_string(leastLength), std::to_string(protocol_limits::maxListLength))
            + " elements");
    return nullptr;
}

std::string ObjectReader::path() const
{
    if (!m_place.parent)
        return {};
    const auto own = m_place.parent->path(m_place.field);
    return m_place.index ? own + "[" + std::to_string(*m_place.index) + "]" : own;
}

std::string ObjectReader::path(std::string_view field) const
{
    const auto prefix = path();
    return prefix.empty() ? std::string(field) : prefix + "." + std::string(field);
}

void ObjectReader::refuse(std::string_view field, const std::string& rule, ErrorCode code)
{
    if (!m_error)
        m_error = Error { code, path(field) + " " + rule };
}

} // namespace hickoryknot
