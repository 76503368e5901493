#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "core/Time.h"

namespace hickoryknot::soak {

class SoakCluster;

/// Sends malformed, truncated and random messages to every port of the hosts: bodies, headers and frames. None of them
/// is a valid message, so they must not change anything, and no process may end because of them.
class SoakNoise {
public:
    SoakNoise(SoakCluster&, uint64_t seed);

    /// Called about every 10 ms.
    void advance();
    uint64_t sent() const { return m_sent; }

private:
    std::string randomBytes(size_t maxSize);
    std::string malformedBody();
    std::string malformedRequest();
    std::string malformedFrame();

    SoakCluster& m_cluster;
    std::mt19937_64 m_random;
    uint64_t m_sent { 0 };
};

} // namespace hickoryknot::soak
