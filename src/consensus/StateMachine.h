#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/Error.h"

namespace hickoryknot {

/// The state machine to which a replicated log applies its committed entries. Called on one thread, in log order. Must
/// be deterministic: the same entries give the same results and digests on every host.
class StateMachine {
public:
    virtual ~StateMachine() = default;

    /// Applies one committed payload and returns the encoded result for the proposer.
    virtual std::string apply(uint64_t index, std::string_view payload) = 0;

    /// Serializes the whole state.
    virtual std::string snapshot() const = 0;

    /// Replaces the state. Corrupt: the bytes are not a snapshot; the state is unchanged.
    virtual Expected<void> restore(std::string_view snapshot) = 0;

    /// Hash over the whole state, equal on all hosts after the same entries.
    virtual uint64_t digest() const = 0;
};

} // namespace hickoryknot
