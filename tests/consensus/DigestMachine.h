#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <xxhash.h>

#include "consensus/StateMachine.h"

namespace hickoryknot {

/// A state machine that stores all payloads and a hash chain over them and their indices.
class DigestMachine final : public StateMachine {
public:
    std::string apply(uint64_t index, std::string_view payload) override
    {
        m_digest = XXH3_64bits_withSeed(payload.data(), payload.size(), m_digest + index);
        m_payloads.emplace(payload);
        return "applied " + std::string(payload);
    }

    std::string snapshot() const override { return nlohmann::json { m_digest, m_payloads }.dump(); }

    Expected<void> restore(std::string_view snapshot) override
    {
        const auto json = nlohmann::json::parse(snapshot, nullptr, false);
        if (json.is_discarded())
            return makeError(ErrorCode::Corrupt, "not a snapshot");
        m_digest = json.at(0).get<uint64_t>();
        m_payloads = json.at(1).get<std::set<std::string>>();
        return {};
    }

    uint64_t digest() const override { return m_digest; }
    bool contains(const std::string& payload) const { return m_payloads.contains(payload); }

private:
    uint64_t m_digest { 0 };
    std::set<std::string> m_payloads;
};

} // namespace hickoryknot
