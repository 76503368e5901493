#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hickoryknot::workflow {

/// Digest of an organisation's key. Hosts keep, compare and send digests only, so that no record or log line of theirs
/// shows a key.
class KeyDigest {
public:
    KeyDigest() = default;

    /// Digest of a key as the caller sent it.
    static KeyDigest of(std::string_view key);
    /// True for a default-constructed digest, which stands for a call without a key and equals no key's digest.
    bool isEmpty() const { return m_bytes.empty(); }
    /// First eight bytes, for an index; zero for an empty digest.
    uint64_t prefix() const;
    /// Takes the same time wherever the digests differ.
    bool matches(const KeyDigest&) const;

    friend auto operator<=>(const KeyDigest&, const KeyDigest&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const KeyDigest&, const KeyDigest&) = default;

    template <typename V> friend void visitFields(V& visit, KeyDigest& x) { visit(x.m_bytes); }
    template <typename V> friend void visitFields(V& visit, const KeyDigest& x) { visit(x.m_bytes); }

private:
    std::string m_bytes;
};

} // namespace hickoryknot::workflow
