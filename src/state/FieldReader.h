#pragma once

#include <concepts>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "core/NamedId.h"
#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot {

/// Reads fields encoded by FieldWriter. Reading stops at the first invalid field; finish() returns the error.
class FieldReader {
public:
    explicit FieldReader(std::string_view bytes);
    ~FieldReader();

    template <typename... Fields> void operator()(Fields&... fields) { (get(fields), ...); }

    /// Format of the input, for fields that were added later; the newest one unless it is set.
    uint64_t format() const { return m_format; }
    void setFormat(uint64_t format) { m_format = format; }

    bool isOk() const { return m_isOk; }
    /// True if there are fields that were not read yet.
    bool hasMore() const { return m_isOk && remaining() > 0; }
    /// Marks the input as corrupt, for constraints that the caller checks.
    void fail() { m_isOk = false; }
    /// Corrupt: a field was missing, of another type or out of range, or there are more fields than were read.
    Expected<void> finish() const;

private:
    uint64_t getUnsigned(uint64_t max);
    int64_t getSigned(int64_t min, int64_t max);
    std::string getBytes();
    size_t remaining() const;

    void get(std::string& value) { value = getBytes(); }
    void get(Duration& value)
    {
        value = Duration(getSigned(std::numeric_limits<int64_t>::min(), std::numeric_limits<int64_t>::max()));
    }
    template <std::unsigned_integral T> void get(T& value)
    {
        value = static_cast<T>(getUnsigned(std::numeric_limits<T>::max()));
    }
    template <std::signed_integral T> void get(T& value)
    {
        value = static_cast<T>(getSigned(std::numeric_limits<T>::min(), std::numeric_limits<T>::max()));
    }
    // lastValueOf() is declared in StateFields.h.
    template <typename T>
    requires std::is_enum_v<T>
    void get(T& value) { value = static_cast<T>(getUnsigned(static_cast<uint64_t>(lastValueOf(T {})))); }
    template <typename Tag> void get(NamedId<Tag>& value) { value = NamedId<Tag>(getBytes()); }
    template <typename Tag> void get(Quantity<Tag>& value)
    {
        value = Quantity<Tag>(getSigned(std::numeric_limits<int64_t>::min(), std::numeric_limits<int64_t>::max()));
    }
    // Every element takes at least one field, so limiting the count to the remaining fields bounds the allocation.
    template <typename T> void get(std::vector<T>& values)
    {
        const size_t count = getUnsigned(remaining());
        values.clear();
        values.reserve(m_isOk ? count : 0);
        for (size_t i = 0; i < count && m_isOk; ++i)
            get(values.emplace_back());
    }
    template <typename T>
    requires std::is_class_v<T>
    void get(T& value) { visitFields(*this, value); }

    struct Impl;
    std::unique_ptr<Impl> m_impl;
    bool m_isOk { true };
    uint64_t m_format { std::numeric_limits<uint64_t>::max() };
};

} // namespace hickoryknot
