#pragma once

#include <algorithm>

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
    /// True if each dimension that is required at all is available; the others may be overcommitted.
    constexpr bool isCoveredBy(const Resources& available) const
    {
        const auto isEnough = [](auto demand, auto have) { return demand.count() <= 0 || demand <= have; };
        return isEnough(millicores, available.millicores) && isEnough(mebibytes, available.mebibytes)
            && isEnough(accelerators, available.accelerators);
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
    /// The smaller and the larger amount in each dimension.
    friend constexpr Resources minOf(const Resources& a, const Resources& b)
    {
        return { .millicores = std::min(a.millicores, b.millicores),
            .mebibytes = std::min(a.mebibytes, b.mebibytes),
            .accelerators = std::min(a.accelerators, b.accelerators) };
    }
    friend constexpr Resources maxOf(const Resources& a, const Resources& b)
    {
        return { .millicores = std::max(a.millicores, b.millicores),
            .mebibytes = std::max(a.mebibytes, b.mebibytes),
            .accelerators = std::max(a.accelerators, b.accelerators) };
    }
    friend constexpr bool operator==(const Resources&, const Resources&) = default;
};

} // namespace hickoryknot
