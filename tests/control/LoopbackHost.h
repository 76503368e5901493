#pragma once

#include <string>
#include <unistd.h>

#include "core/Ids.h"

namespace hickoryknot {

/// A loopback address that is unique to this test process, so that tests can run in parallel.
inline HostId loopbackHost(int number)
{
    const int process = getpid() % 60'000;
    return HostId("127." + std::to_string(20 + process / 250 % 200) + "." + std::to_string(process % 250) + "."
        + std::to_string(number) + ":7720");
}

} // namespace hickoryknot
