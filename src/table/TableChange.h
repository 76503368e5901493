#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "table/Row.h"

namespace hickoryknot {

/// A change that an operator asks for: rows to add or replace and rows to remove, against one base version.
struct TableChange {
    uint64_t baseVersion { 0 };
    RequestId request {};
    /// Who asks, as named by the operator's client; shown to operators who lose a race.
    std::string changedBy {};
    std::vector<Row> rows {};
    std::vector<RowName> removed {};
};

/// First outcome of a table change; a resend of the same request id gets it again.
struct TableChangeResult {
    /// True if the change is part of `version`.
    bool isAccepted { false };
    /// The version that the change made, or the version in force when it was refused.
    uint64_t version { 0 };
    /// The operator and request that made `version` when a change lost the race.
    std::string wonBy {};
    RequestId wonByRequest {};
    /// Code of a refusal: version_conflict, request_id_reused, invalid_change.
    std::string reason {};
    /// One sentence for people.
    std::string sentence {};

    friend bool operator==(const TableChangeResult&, const TableChangeResult&) = default;
};

} // namespace hickoryknot
