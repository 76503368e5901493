#pragma once

#include "core/Quantity.h"

namespace hickoryknot {

/// Processors, memory and accelerators that a worker has or a task asks for.
struct Resources {
    Millicores millicores;
    Mebibytes mebibytes;
    Accelerators accelerators;

    /// True if this fits into `capacity` in every dimension.
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
