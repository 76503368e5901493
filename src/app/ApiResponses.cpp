#include "app/ApiResponses.h"

#include <algorithm>

#include "protocol/ErrorCodec.h"

namespace hickoryknot {

HttpResponse jsonResponse(std::string body, int status)
{
    return { .status = status, .headers = {}, .body = std::move(body) };
}

HttpResponse errorResponse(const Error& error) { return jsonResponse(encodeError(error), httpStatus(error.code)); }

std::string queryValue(const std::string& query, std::string_view name)
{
    size_t first = 0;
    while (first < query.size()) {
        const size_t end = std::min(query.find('&', first), query.size());
        const std::string_view pair = std::string_view(query).substr(first, end - first);
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
            return std::string(pair.substr(name.size() + 1));
        first = end + 1;
    }
    return {};
}

} // namespace hickoryknot
