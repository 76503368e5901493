#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "workflow/EarlyCancellation.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

struct QueueTable;

/// Cancellations of workflows that were not known, as part of the replicated state. A submission can be overtaken by
/// the cancellation of its caller, who has given it up; it must then not be accepted. Entries never make room for
/// others: they stay until they are removed. Each organisation has a part of the capacity that the others cannot use.
class EarlyCancellations {
public:
    /// Number of entries that the organisations share, for a few megabytes of a snapshot. While the organisations of
    /// the table stay the same, there are at most this many. One that joins has its part of them whatever the others
    /// hold.
    static constexpr size_t capacity = 65'536;

    using Key = EarlyCancellation::Key;

    /// False if the organisation has used up its part; nothing has changed then. True if the entry is known already.
    bool add(const EarlyCancellation&, const QueueTable&);
    /// Unknown keys are ignored.
    void remove(const std::vector<Key>&);
    bool contains(const Key& key) const { return m_entries.contains(key); }

    /// True if a submission for this organisation must not be accepted. A cancellation holds for the organisation whose
    /// caller made it. It also holds if no key was needed when it was made or is needed now, because the submission and
    /// its cancellation may then be those of one caller.
    bool covers(const WorkflowId&, const OrganisationName&, const QueueName&, const QueueTable&) const;

    size_t size() const { return m_entries.size(); }
    /// Ordered by key.
    std::vector<EarlyCancellation> entries() const { return { m_entries.begin(), m_entries.end() }; }
    /// Replaces the entries by those of a snapshot.
    void restore(std::vector<EarlyCancellation>);

private:
    struct KeyOrder {
        using is_transparent = void; // Lets a key be looked up.
        bool operator()(const EarlyCancellation& a, const EarlyCancellation& b) const { return a.key < b.key; }
        bool operator()(const EarlyCancellation& a, const Key& b) const { return a.key < b; }
        bool operator()(const Key& a, const EarlyCancellation& b) const { return a < b.key; }
    };

    /// Number of entries that one organisation may have.
    size_t shareOf(const OrganisationName&, const QueueTable&) const;

    std::set<EarlyCancellation, KeyOrder> m_entries;
    std::map<OrganisationName, size_t> m_countByOrganisation; // Without zeros.
};

} // namespace hickoryknot::workflow
