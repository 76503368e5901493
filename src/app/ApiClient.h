#pragma once

#include <string>
#include <vector>

#include "core/Error.h"
#include "core/Time.h"
#include "net/HttpMessage.h"

namespace hickoryknot {

/// Blocking client for the entry hosts, used by the commands. Not thread-safe.
class ApiClient {
public:
    explicit ApiClient(std::vector<Endpoint> entryHosts);

    /// Tries the entry hosts in turn until one responds. A request that may have reached a host is sent to the next one
    /// only if `isIdempotent`. Unavailable: no host responded.
    Expected<HttpResponse> call(const std::string& method, const std::string& target, const std::string& body,
        Duration deadline, bool isIdempotent);

    /// Same as call() for a GET.
    Expected<HttpResponse> get(const std::string& target, Duration deadline = 10s);

private:
    std::vector<Endpoint> m_entryHosts;
};

} // namespace hickoryknot
