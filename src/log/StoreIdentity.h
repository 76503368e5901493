#pragma once

#include <compare>
#include <cstdint>

namespace hickoryknot {

/// Random identifier of a data folder; 0 means none.
enum class StoreId : uint64_t { None = 0 };

/// Random identifier of one run of a process.
enum class SessionId : uint64_t { None = 0 };

/// Distinguishes the runs of one host. A new folder has a new store id; an older copy of a folder has the same store id
/// and an incarnation or a log that is behind what other hosts have observed.
struct StoreIdentity {
    StoreId store { StoreId::None };
    uint64_t incarnation { 0 }; // Number of times the store was opened.
    SessionId session { SessionId::None };

    friend bool operator==(const StoreIdentity&, const StoreIdentity&) = default;
};

} // namespace hickoryknot
