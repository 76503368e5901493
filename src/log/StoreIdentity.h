#pragma once

#include <compare>
#include <cstdint>

namespace hickoryknot {

/// Random number that names one data folder; 0 names none.
enum class StoreId : uint64_t { None = 0 };

/// Random number that names one run of one process.
enum class SessionId : uint64_t { None = 0 };

/// Tells the runs of one host apart. A new folder has a new store id; an older copy of a folder has the same store id
/// and an incarnation or a log that is behind what other hosts have seen.
struct StoreIdentity {
    StoreId store { StoreId::None };
    uint64_t incarnation { 0 }; // Counts the openings of the store.
    SessionId session { SessionId::None };

    friend bool operator==(const StoreIdentity&, const StoreIdentity&) = default;
};

} // namespace hickoryknot
