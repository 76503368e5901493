#pragma once

#include "core/Quantity.h"

namespace hickoryknot {

/// CPU, memory and accelerators: the capacity of a worker or the requirements of a task.
struct Resources {
    Millicores millicores;
    Mebibytes mebibytes;
    Accelerators accelerators;

    /// True if no dimension exceeds that of `capacity`.
    constexpr bool fitsInto(const Resources& capacity) const
    {
        return millicores <= capacity.millicores && mebibytes <= capacity.mebibytes
            && accelerators <= capacity.accelerators;
    }
    constexpr Resources& operator+=(const Resources& other)
    {
        millicores += other.millicores;
        mebibytes += other.mebibytes;
        accelerators += other.accelerators;
        return *this;
    }
    constexpr Resources& operator-=(const Resources& other)
    {
        millicores -= other.millicores;
        mebibytes -= other.mebibytes;
        accelerators -= other.accelerators;
        return *this;
    }
    friend constexpr Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend constexpr Resources operator-(Resources a, const Resources& b) { return a -= b; }
    friend constexpr Resources operator*(const Resources& a, int64_t factor)
    {
        return { a.millicores * factor, a.mebibytes * factor, a.accelerators * factor };
    }
    friend constexpr bool operator==(const Resources&, const Resources&) = default;
};

} // namespace hickoryknot
