#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Error.h"
#include "table/Row.h"
#include "table/TableChange.h"

namespace hickoryknot {

/// The operators' table: rows ordered by name, a monotonic version, and the outcomes of recent changes for
/// deduplication. Deterministic; not thread safe.
class Table {
public:
    /// Number of recent changes whose outcomes are kept. An older resend fails the base version check, so no change is
    /// applied twice.
    static constexpr size_t maxOutcomes = 1024;
    /// Limit on rows of both kinds; bounds the cost of a change and the size of a snapshot.
    static constexpr size_t maxRows = 4096;

    /// A change with its first outcome.
    struct RecordedChange {
        RequestId request;
        uint64_t contentHash { 0 };
        TableChangeResult result;

        friend bool operator==(const RecordedChange&, const RecordedChange&) = default;
    };

    /// The whole state, for snapshots.
    struct Content {
        uint64_t version { 1 };
        std::string changedBy;
        RequestId changedByRequest;
        std::vector<Row> rows;
        std::deque<RecordedChange> outcomes;
    };

    /// Version 1 with the class row `default`.
    Table();

    uint64_t version() const { return m_content.version; }
    const std::vector<Row>& rows() const { return m_content.rows; }
    const Content& content() const { return m_content; }

    /// Null if there is no such row.
    const Row* find(RowKind, const RowName&) const;
    const Row* findClass(const RowName& name) const { return find(RowKind::Class, name); }
    /// The class row `default`, which cannot be removed.
    const Row& defaultRow() const;

    /// Applies the change if its base version is the current version; otherwise returns a conflict with the current
    /// version and its author.
    TableChangeResult set(const TableChange&);

    /// InvalidArgument: the change is malformed, for example a duplicate row or the removal of a missing row or
    /// `default`.
    Expected<void> check(const TableChange&) const;

    /// Replaces the whole state.
    void restore(Content);

private:
    TableChangeResult evaluate(const TableChange&) const;
    void apply(const TableChange&);
    void recordOutcome(const TableChange&, uint64_t contentHash, const TableChangeResult&);

    Content m_content;
    // Derived from m_content.outcomes: request id to the sequence number of its outcome. Subtract m_droppedOutcomes to
    // get the position in m_content.outcomes.
    std::unordered_map<RequestId, uint64_t> m_outcomeIndex;
    uint64_t m_droppedOutcomes { 0 };
};

/// Hash over base version, rows and removed rows, to tell a resend from a reused request id.
uint64_t contentHash(const TableChange&);

} // namespace hickoryknot
