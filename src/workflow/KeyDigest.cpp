#include "workflow/KeyDigest.h"

#include <cstring>
#include <sodium/crypto_generichash.h>
#include <sodium/utils.h>

namespace hickoryknot::workflow {

KeyDigest KeyDigest::of(std::string_view key)
{
    KeyDigest digest;
    digest.m_bytes.resize(crypto_generichash_BYTES);
    crypto_generichash(reinterpret_cast<unsigned char*>(digest.m_bytes.data()), digest.m_bytes.size(),
        reinterpret_cast<const unsigned char*>(key.data()), key.size(), nullptr, 0);
    return digest;
}

uint64_t KeyDigest::prefix() const
{
    uint64_t value = 0;
    if (m_bytes.size() >= sizeof(value))
        std::memcpy(&value, m_bytes.data(), sizeof(value));
    return value;
}

bool KeyDigest::matches(const KeyDigest& other) const
{
    return !isEmpty() && m_bytes.size() == other.m_bytes.size()
        && sodium_memcmp(m_bytes.data(), other.m_bytes.data(), m_bytes.size()) == 0;
}

} // namespace hickoryknot::workflow
