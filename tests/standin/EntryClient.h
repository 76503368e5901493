#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/HttpClient.h"

namespace hickoryknot {

/// Sends POST requests to one of several entry hosts and switches to the next one after a failure.
class EntryClient {
public:
    /// The response body, or nothing after a failure.
    using Completion = std::function<void(std::optional<std::string>)>;

    /// `first` selects the initial entry host, so that clients are distributed over the hosts.
    EntryClient(boost::asio::io_context&, std::vector<Endpoint> entries, size_t first);

    void post(std::string target, std::string body, Duration deadline, Completion);

private:
    const std::vector<Endpoint> m_entries;
    HttpClient m_client;
    size_t m_current;
};

} // namespace hickoryknot
