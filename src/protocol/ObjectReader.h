#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "core/NamedId.h"
#include "core/Resources.h"
#include "core/Time.h"
#include "protocol/ProtocolLimits.h"

namespace hickoryknot {

/// Reads and validates the fields of one JSON object. The first error is kept, with the path of its field; all later
/// calls return defaults, so a decoder checks for errors only once, at the end.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json&, std::optional<Error>&);

    uint64_t unsignedInteger(const char* name, uint64_t min, uint64_t max);
    /// Returns `fallback` if the field is missing.
    uint64_t unsignedIntegerOr(const char* name, uint64_t min, uint64_t max, uint64_t fallback);
    int64_t signedInteger(const char* name, int64_t min, int64_t max);
    /// Whole milliseconds.
    Duration milliseconds(const char* name, Duration max);
    bool boolean(const char* name);
    std::optional<bool> optionalBoolean(const char* name);
    std::string string(const char* name, size_t minBytes, size_t maxBytes);
    /// Arbitrary bytes from the field `name` or `name`Base64; empty if both are missing.
    std::string bytes(const char* name, size_t maxBytes);
    std::string base64(const char* name, size_t maxBytes);
    std::string numericAddress(const char* name);
    /// Index into the allowed names.
    size_t enumIndex(const char* name, std::span<const char* const> names);

    template <typename Id> Id id(const char* name) { return Id(idText(name)); }
    template <typename Id> std::optional<Id> optionalId(const char* name)
    {
        return has(name) ? std::optional<Id>(id<Id>(name)) : std::nullopt;
    }
    template <typename Id> std::vector<Id> ids(const char* name, size_t minLength = 0)
    {
        std::vector<Id> result;
        eachId(name, minLength, [&](std::string text) { result.emplace_back(std::move(text)); });
        return result;
    }

    /// Reads three fields; `factor` scales the limits for sums over many workers.
    Resources resources(const char* millicores, const char* mebibytes, const char* accelerators, int64_t factor = 1);

    /// Calls `read` for each object of the list and rejects fields that were not read.
    void eachObject(const char* name, const std::function<void(ObjectReader&)>& read);
    /// Calls `read` if the field is present; returns whether it is.
    bool optionalObject(const char* name, const std::function<void(ObjectReader&)>& read);

    /// Rejects fields that were not read.
    void finish();

private:
    /// Position of an object inside the message; formatted as a path only for errors.
    struct Location {
        const ObjectReader* parent;
        const char* field;
        std::optional<size_t> index;
    };

    ObjectReader(const nlohmann::json&, std::optional<Error>&, Location);

    bool has(const char* name) const;
    const nlohmann::json* find(const char* name);
    std::string idText(const char* name);
    void eachId(const char* name, size_t minLength, const std::function<void(std::string)>& handle);
    const nlohmann::json* list(const char* name, size_t minLength);
    std::string path() const;
    std::string path(std::string_view field) const;
    void fail(std::string_view field, const std::string& requirement, ErrorCode code = ErrorCode::InvalidArgument);

    const nlohmann::json& m_object;
    std::optional<Error>& m_error;
    const Location m_location;
    std::vector<std::string_view> m_readFields;
};

} // namespace hickoryknot
