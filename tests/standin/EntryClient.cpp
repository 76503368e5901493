#include "EntryClient.h"

namespace hickoryknot {

EntryClient::EntryClient(boost::asio::io_context& io, std::vector<Endpoint> entries, size_t first)
    : m_entries(std::move(entries))
    , m_client(io, { .maxConnectionsPerEndpoint = 2 })
    , m_current(first % m_entries.size())
{
}

void EntryClient::post(std::string target, std::string body, Duration deadline, Completion completion)
{
    const size_t used = m_current;
    m_client.send(m_entries[used], { .method = "POST", .target = std::move(target), .body = std::move(body) }, deadline,
        [this, used, completion = std::move(completion)](HttpClientResult result) {
            if (result.response && result.response->status == 200)
                return completion(std::move(result.response->body));
            // A concurrent failure may already have switched to the next host.
            if (m_current == used)
                m_current = (m_current + 1) % m_entries.size();
            completion(std::nullopt);
        });
}

} // namespace hickoryknot
