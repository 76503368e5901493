#pragma once

#include <cstdint>

namespace hickoryknot::workflow {

/// Which incarnation of a worker sent a response. Requests name the worker only, so a later incarnation may execute a
/// request to an earlier one, and not every response names its sender.
enum class MessageSender : uint8_t {
    Addressee, // Certainly the incarnation that was addressed.
    Other, // Certainly another one.
    Unknown,
};

} // namespace hickoryknot::workflow
