#pragma once

#include <compare>
#include <cstdint>

namespace hickoryknot {

/// Strongly typed integer amount of one unit; the tag makes each unit a type of its own.
template <typename Tag> class Quantity {
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(int64_t count)
        : m_count(count)
    {
    }

    constexpr int64_t count() const { return m_count; }

    constexpr Quantity& operator+=(Quantity other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr Quantity& operator-=(Quantity other)
    {
        m_count -= other.m_count;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return Quantity(a.m_count + b.m_count); }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return Quantity(a.m_count - b.m_count); }
    friend constexpr Quantity operator*(Quantity a, int64_t factor) { return Quantity(a.m_count * factor); }
    friend constexpr auto operator<=>(const Quantity&, const Quantity&) = default; // NOLINT(modernize-use-nullptr)
    friend constexpr bool operator==(const Quantity&, const Quantity&) = default;

private:
    int64_t m_count { 0 };
};

/// Thousandths of one CPU core.
using Millicores = Quantity<struct MillicoresTag>;
/// Units of 1,048,576 bytes (MiB).
using Mebibytes = Quantity<struct MebibytesTag>;
/// Accelerators are allocated whole.
using Accelerators = Quantity<struct AcceleratorsTag>;

} // namespace hickoryknot
