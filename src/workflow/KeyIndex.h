#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "workflow/KeyDigest.h"
#include "workflow/WorkflowIds.h"

namespace hickoryknot::workflow {

struct Organisation;

/// Finds the organisation of a key among tens of thousands. The first bytes of the digest choose a bucket, and the
/// whole digest is then compared in constant time. What the choice of a bucket may show of a digest's first bytes helps
/// nobody to find a key with that digest.
class KeyIndex {
public:
    KeyIndex() = default;
    explicit KeyIndex(const std::vector<Organisation>&);

    bool isEmpty() const { return m_owners.empty(); }
    /// Null if no organisation has this key.
    const OrganisationName* find(const KeyDigest&) const;

    /// An index is derived from the organisations beside it, which are compared themselves.
    friend bool operator==(const KeyIndex&, const KeyIndex&) { return true; }

private:
    struct Entry {
        KeyDigest key;
        uint32_t name; // Index into m_names.
    };

    std::vector<OrganisationName> m_names;
    std::unordered_multimap<uint64_t, Entry> m_owners; // By the first bytes of the digest.
};

} // namespace hickoryknot::workflow
