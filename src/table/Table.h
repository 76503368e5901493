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

/// The operators' table: rows in order of kind and name, a version that only grows, and the first outcomes of changes.
/// Deterministic; not thread safe.
class Table {
public:
    /// Outcomes of this many latest changes are kept. A resend older than that fails on its base version, so a change
    /// is never applied twice.
    static constexpr size_t maxOutcomes = 1024;
    /// Classes and teams together; bounds the cost of a change and the size of a snapshot.
    static constexpr size_t maxRows = 4096;

    /// One change that has its first outcome.
    struct RecordedChange {
        RequestId request;
        uint64_t contentHash { 0 };
        TableChangeResult result;

        friend bool operator==(const RecordedChange&, const RecordedChange&) = default;
    };

    /// Whole content, for snapshots.
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

    /// The row of that kind and name, or null.
    const Row* find(RowKind, const RowName&) const;
    const Row* findClass(const RowName& name) const { return find(RowKind::Class, name); }

    /// Applies the change if its base version is the version in force; else says which version won and whose it is.
    TableChangeResult set(const TableChange&);

    /// InvalidArgument: the change itself is malformed: a row twice, removal of a missing row or of `default`.
    Expected<void> check(const TableChange&) const;

    /// Replaces everything.
    void restore(Content);

private:
    TableChangeResult decide(const TableChange&) const;
    void apply(const TableChange&);
    void remember(const TableChange&, uint64_t contentHash, const TableChangeResult&);

    Content m_content;
    // Rebuildable: request id to place in m_content.outcomes, counted from the first outcome ever recorded.
    std::unordered_map<RequestId, uint64_t> m_outcomeOf;
    uint64_t m_droppedOutcomes { 0 };
};

/// Hash over everything that the operator wrote except the request id.
uint64_t contentHash(const TableChange&);

} // namespace hickoryknot
