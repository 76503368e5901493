#pragma once

#include <concepts>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/NamedId.h"
#include "core/Resources.h"
#include "core/Time.h"

namespace hickoryknot {

/// Encodes fields as one flat CBOR array. The encoding is deterministic. Structures are encoded through their overload
/// of `visitFields`, which lists the members for both FieldWriter and FieldReader.
class FieldWriter {
public:
    FieldWriter();
    ~FieldWriter();

    template <typename... Fields> void operator()(const Fields&... fields) { (put(fields), ...); }

    /// Everything is written in the newest format.
    static constexpr uint64_t format() { return std::numeric_limits<uint64_t>::max(); }

    /// Returns the encoded bytes and resets the writer.
    std::string finish();

private:
    void putUnsigned(uint64_t);
    void putSigned(int64_t);
    void putBytes(std::string_view);

    void put(const std::string& value) { putBytes(value); }
    void put(Duration value) { putSigned(value.count()); }
    template <std::unsigned_integral T> void put(T value) { putUnsigned(value); }
    template <std::signed_integral T> void put(T value) { putSigned(value); }
    template <typename T>
    requires std::is_enum_v<T>
    void put(T value) { putUnsigned(static_cast<uint64_t>(value)); }
    template <typename Tag> void put(const NamedId<Tag>& value) { putBytes(value.value()); }
    template <typename Tag> void put(Quantity<Tag> value) { putSigned(value.count()); }
    template <typename T> void put(const std::vector<T>& values)
    {
        putUnsigned(values.size());
        for (const auto& value : values)
            put(value);
    }
    template <typename T>
    requires std::is_class_v<T>
    void put(const T& value) { visitFields(*this, value); }

    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hickoryknot
