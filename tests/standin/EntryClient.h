#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/HttpClient.h"

namespace hickoryknot {

/// Posts to one of several entry hosts and moves to the next one after a failure.
class EntryClient {
public:
    /// Answer body, or nothing after a failure.
    using Completion = std::function<void(std::optional<std::string>)>;

    /// `first` picks the entry host to begin with, so that many stand-ins spread over them.
    EntryClient(boost::asio::io_context&, std::vector<Endpoint> entries, size_t first);

    void post(std::string target, std::string body, Duration deadline, Completion);

private:
    const std::vector<Endpoint> m_entries;
    HttpClient m_client;
    size_t m_current;
};

} // namespace hickoryknot
