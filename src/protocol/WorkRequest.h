#pragma once

#include <string>

#include "core/Ids.h"

namespace hickoryknot {

/// A request that an entry host sends to a backend server as `POST /work`.
struct WorkRequest {
    RequestId request;
    std::string body;

    friend bool operator==(const WorkRequest&, const WorkRequest&) = default;
};

} // namespace hickoryknot
