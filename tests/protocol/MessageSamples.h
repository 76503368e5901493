#pragma once

#include <cstdint>
#include <functional>
#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"

namespace hickoryknot {

/// A message type with a generator of valid documents.
struct MessageSample {
    std::string name;
    /// A random valid document.
    std::function<std::string(pcg32&)> make;
    /// Decodes and encodes again.
    std::function<Expected<std::string>(std::string_view)> reencode;
};

/// All message types that have a codec.
const std::vector<MessageSample>& messageSamples();

} // namespace hickoryknot
