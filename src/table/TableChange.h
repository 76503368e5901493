#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "table/Row.h"

namespace hickoryknot {

/// An operator's change of the table: rows to add or replace and rows to remove, against one base version.
struct TableChange {
    uint64_t baseVersion { 0 };
    RequestId request {};
    /// Author of the change as given by the client; shown to operators whose change conflicts with it.
    std::string changedBy {};
    std::vector<Row> rows {};
    std::vector<RowName> removed {};
};

/// Outcome of a table change; a resend of the same request id returns the first outcome.
struct TableChangeResult {
    /// True if the change is part of `version`.
    bool isAccepted { false };
    /// The version that the change created, or the current version if it was rejected.
    uint64_t version { 0 };
    /// After a version conflict: the operator and request that created `version`.
    std::string wonBy {};
    RequestId wonByRequest {};
    /// Reason code of a rejection: version_conflict, request_id_reused, invalid_change.
    std::string reason {};
    /// One sentence for operators.
    std::string message {};

    friend bool operator==(const TableChangeResult&, const TableChangeResult&) = default;
};

} // namespace hickoryknot
