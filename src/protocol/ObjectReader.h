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

/// Reads the fields of one JSON object under their limits. The first fault is kept with the path of its field; after
/// it, all calls return defaults, so that a decoder checks once, at its end.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json&, std::optional<Error>&);

    uint64_t whole(const char* name, uint64_t least, uint64_t most);
    /// Missing: `fallback`.
    uint64_t wholeOr(const char* name, uint64_t least, uint64_t most, uint64_t fallback);
    int64_t signedWhole(const char* name, int64_t least, int64_t most);
    /// Whole milliseconds.
    Duration milliseconds(const char* name, Duration most);
    bool flag(const char* name);
    std::optional<bool> optionalFlag(const char* name);
    std::string text(const char* name, size_t leastBytes, size_t mostBytes);
    /// Any bytes: the field `name`, or `name`Base64; neither means none.
    std::string bytes(const char* name, size_t mostBytes);
    /// Always base64.
    std::string base64(const char* name, size_t mostBytes);
    std::string numericAddress(const char* name);
    /// Index into the allowed words.
    size_t choice(const char* name, std::span<const char* const> words);

    template <typename Id> Id id(const char* name) { return Id(idText(name)); }
    template <typename Id> std::optional<Id> optionalId(const char* name)
    {
        return has(name) ? std::optional<Id>(id<Id>(name)) : std::nullopt;
    }
    template <typename Id> std::vector<Id> ids(const char* name, size_t leastLength = 0)
    {
        std::vector<Id> result;
        eachId(name, leastLength, [&](std::string text) { result.emplace_back(std::move(text)); });
        return result;
    }

    /// Three fields; `factor` widens the limits for sums over many workers.
    Resources resources(const char* millicores, const char* mebibytes, const char* accelerators, int64_t factor = 1);

    /// Calls `read` for each object of the list and refuses what it leaves unread.
    void eachObject(const char* name, const std::function<void(ObjectReader&)>& read);
    /// Calls `read` if the field is there; returns whether it is.
    bool optionalObject(const char* name, const std::function<void(ObjectReader&)>& read);

    /// Refuses fields that nobody asked for.
    void finish();

private:
    /// Where an object stands inside the message, spelled out only for a fault.
    struct Place {
        const ObjectReader* parent;
        const char* field;
        std::optional<size_t> index;
    };

    ObjectReader(const nlohmann::json&, std::optional<Error>&, Place);

    bool has(const char* name) const;
    const nlohmann::json* find(const char* name);
    std::string idText(const char* name);
    void eachId(const char* name, size_t leastLength, const std::function<void(std::string)>& take);
    const nlohmann::json* list(const char* name, size_t leastLength);
    std::string path() const;
    std::string path(std::string_view field) const;
    void refuse(std::string_view field, const std::string& rule, ErrorCode code = ErrorCode::InvalidArgument);

    const nlohmann::json& m_object;
    std::optional<Error>& m_error;
    const Place m_place;
    std::vector<std::string_view> m_known;
};

} // namespace hickoryknot
