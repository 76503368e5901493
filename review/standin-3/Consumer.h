#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Cell.h"
#include "Http.h"

namespace review {

/// Sends calls of consumers and the operator, and records them.
class Consumer {
public:
    Consumer(Cell&, Record&);

    /// Sends this configuration, to one control host after the other, until it is acknowledged; false if it is not in
    /// time.
    bool putConfig(const nlohmann::json& config, int64_t timeoutMs, size_t firstHost = 0);
    /// Waits until all entry hosts report that they are ready.
    bool waitUntilReady(int64_t timeoutMs);

    HttpMessage submission(const std::string& id, const nlohmann::json& job) const;
    /// The same on another queue.
    HttpMessage submission(const std::string& prefix, const std::string& id, const nlohmann::json& job) const;
    /// Status of the response; 0: none in time.
    int submit(const Cell::Host& entry, const std::string& id, const nlohmann::json& job);
    /// Like a consumer: repeats the submission at the other hosts as long as its outcome is open.
    bool submitUntilAccepted(const std::string& id, const nlohmann::json& job, int64_t timeoutMs);
    int cancel(const Cell::Host& entry, const std::string& id);
    /// The state; "410" if there is no such job, empty without an answer.
    std::string state(const Cell::Host& entry, const std::string& id);

private:
    HttpMessage request(const std::string& method, const std::string& id) const;

    Cell& m_cell;
    Record& m_record;
};

/// A configuration with one queue without advice and one service without admission control.
nlohmann::json smallConfig(uint64_t version);

} // namespace review
