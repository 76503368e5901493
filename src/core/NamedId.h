#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace hickoryknot {

/// Strongly typed string id as received from outside; the tag makes the ids of each kind a type of their own.
/// Valid ids have 1 to 128 characters out of letters, digits and `._:-`.
template <typename Tag> class NamedId {
public:
    NamedId() = default;
    explicit NamedId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    /// True if the text is a valid id.
    static bool isValid(std::string_view text)
    {
        if (text.empty() || text.size() > 128)
            return false;
        for (const char c : text) {
            const bool isAllowed = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
                || c == '.' || c == '_' || c == ':' || c == '-';
            if (!isAllowed)
                return false;
        }
        return true;
    }

    friend auto operator<=>(const NamedId&, const NamedId&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const NamedId&, const NamedId&) = default;

private:
    std::string m_value;
};

} // namespace hickoryknot

template <typename Tag> struct std::hash<hickoryknot::NamedId<Tag>> {
    size_t operator()(const hickoryknot::NamedId<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
