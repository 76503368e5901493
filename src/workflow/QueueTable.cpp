#include "workflow/QueueTable.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace hickoryknot::workflow {

namespace {

/// A log entry has at most 4 MiB and holds the document and its rows.
constexpr size_t maxDocumentBytes = size_t { 3 } * 512 * 1024;

tl::unexpected<Error> invalid(std::string message) { return makeError(ErrorCode::InvalidArgument, std::move(message)); }

} // namespace

std::optional<QueueTable::Target> QueueTable::resolve(std::string_view callerHost, std::string_view path) const
{
    const Queue* best = nullptr;
    for (const auto& queue : queues) {
        const bool matches = queue.callerHost == callerHost && path.starts_with(queue.urlPrefix);
        if (matches && (!best || queue.urlPrefix.size() > best->urlPrefix.size()))
            best = &queue;
    }
    if (!best)
        return std::nullopt;
    return Target { best, std::string(path.substr(best->urlPrefix.size())) };
}

const Queue* QueueTable::find(const QueueName& name) const
{
    const auto found = std::find_if(queues.begin(), queues.end(), [&](const Queue& q) { return q.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

const Pool* QueueTable::findPool(const PoolName& name) const
{
    const auto found = std::find_if(pools.begin(), pools.end(), [&](const Pool& p) { return p.name == name; });
    return found == pools.end() ? nullptr : &*found;
}

const Organisation* QueueTable::findOrganisation(const OrganisationName& name) const
{
    const auto found = std::find_if(
        organisations.begin(), organisations.end(), [&](const Organisation& o) { return o.name == name; });
    return found == organisations.end() ? nullptr : &*found;
}

Expected<void> checkQueueTable(const QueueTable& table)
{
    if (table.document.size() > maxDocumentBytes)
        return makeError(ErrorCode::TooLarge,
            fmt::format("the table has {} bytes; at most {} are allowed", table.document.size(), maxDocumentBytes));
    std::set<PoolName> pools;
    for (const auto& pool : table.pools) {
        if (!pools.insert(pool.name).second)
            return invalid(fmt::format("pool {} stands twice", pool.name.value()));
    }
    std::set<QueueName> names;
    std::set<std::pair<std::string, std::string>> places;
    for (const auto& queue : table.queues) {
        const auto& name = queue.name.value();
        if (!names.insert(queue.name).second)
            return invalid(fmt::format("queue {} stands twice", name));
        if (!queue.urlPrefix.starts_with('/'))
            return invalid(fmt::format("the path prefix of queue {} does not begin with a slash", name));
        if (!places.insert({ queue.callerHost, queue.urlPrefix }).second)
            return invalid(fmt::format("queue {} has the host and prefix of another queue", name));
        if (!pools.contains(queue.pool))
            return invalid(fmt::format("queue {} names pool {}, which is not in the table", name, queue.pool.value()));
        if (queue.callTimeout <= Duration::zero())
            return invalid(fmt::format("the call timeout of queue {} is zero", name));
    }
    return {};
}

} // namespace hickoryknot::workflow
