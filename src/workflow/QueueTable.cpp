#include "workflow/QueueTable.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <set>

#include "workflow/WorkflowFields.h"

namespace hickoryknot::workflow {

namespace {

/// A log entry has at most 4 MiB and holds the document and its rows.
constexpr size_t maxDocumentBytes = size_t { 3 } * 512 * 1024;
/// Document, rows and digests as recorded; leaves a batch of commands room for others in the log entry. Short keys have
/// digests longer than their text, so the bound of the document does not bound them.
constexpr size_t maxEncodedTableBytes = size_t { 7 } * 512 * 1024;

tl::unexpected<Error> invalid(std::string message) { return makeError(ErrorCode::InvalidArgument, std::move(message)); }

Expected<void> checkLimit(const Organisation& organisation, const char* dimension, int64_t value)
{
    if (value >= 0 && value <= maxOrganisationLimit)
        return {};
    return invalid(fmt::format("field maxCount.{} of organisation {} must be 0 or more and at most 2^53", dimension,
        organisation.name.value()));
}

Expected<void> checkOrganisation(const Organisation& organisation)
{
    const auto& name = organisation.name.value();
    if (organisation.keys.size() > maxKeysOfOrganisation)
        return invalid(fmt::format("field apiKeys of organisation {} has {} keys; at most {} are allowed", name,
            organisation.keys.size(), maxKeysOfOrganisation));
    if (std::any_of(organisation.keys.begin(), organisation.keys.end(), [](const auto& key) { return key.isEmpty(); }))
        return invalid(fmt::format("field apiKeys of organisation {} has an empty key", name));
    // False for a value that is not a number.
    const bool isWeightInRange = organisation.weight >= 0 && organisation.weight <= maxWeight;
    if (!isWeightInRange)
        return invalid(fmt::format("field weight of organisation {} must be 0 or more and at most 1e9", name));
    const Resources& limit = organisation.limit;
    if (auto checked = checkLimit(organisation, "cpu", limit.millicores.count()); !checked)
        return checked;
    if (auto checked = checkLimit(organisation, "memMb", limit.mebibytes.count()); !checked)
        return checked;
    return checkLimit(organisation, "gpu", limit.accelerators.count());
}

Expected<void> checkOrganisations(const std::vector<Organisation>& organisations)
{
    if (organisations.size() > maxOrganisations)
        return invalid(fmt::format(
            "field tenants has {} organisations; at most {} are allowed", organisations.size(), maxOrganisations));
    std::set<OrganisationName> names;
    std::map<KeyDigest, const Organisation*> owners;
    for (size_t i = 0; i < organisations.size(); ++i) {
        const Organisation& organisation = organisations[i];
        const auto& name = organisation.name.value();
        // The name itself may be too long to repeat.
        if (name.empty() || name.size() > maxOrganisationNameBytes)
            return invalid(fmt::format(
                "field name of organisation number {} must have 1 to {} bytes", i + 1, maxOrganisationNameBytes));
        if (!names.insert(organisation.name).second)
            return invalid(fmt::format("field name: organisation {} stands twice", name));
        if (auto checked = checkOrganisation(organisation); !checked)
            return checked;
        for (const auto& key : organisation.keys) {
            const Organisation* owner = owners.try_emplace(key, &organisation).first->second;
            if (owner != &organisation)
                return invalid(
                    fmt::format("field apiKeys: organisations {} and {} share a key", owner->name.value(), name));
        }
    }
    return {};
}

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

Authentication QueueTable::authenticate(const Queue& queue, const KeyDigest& key) const
{
    if (organisations.empty() || queue.isPublic)
        return { .isAuthorised = true, .organisation = {} };
    if (key.isEmpty())
        return {};
    if (!keyIndex.isEmpty()) {
        const OrganisationName* owner = keyIndex.find(key);
        return owner ? Authentication { .isAuthorised = true, .organisation = *owner } : Authentication {};
    }
    Authentication result;
    for (const auto& organisation : organisations) {
        for (const auto& known : organisation.keys) {
            if (known.matches(key))
                result = { .isAuthorised = true, .organisation = organisation.name };
        }
    }
    return result;
}

bool QueueTable::mayAccess(
    const QueueName& calledQueue, const OrganisationName& caller, const WorkflowOwner& owner) const
{
    if (organisations.empty())
        return true;
    if (!caller.isEmpty())
        return owner.organisation.isEmpty() || owner.organisation == caller;
    if (owner.queue == calledQueue)
        return true;
    const Queue* queue = find(owner.queue);
    return owner.organisation.isEmpty() && (!queue || queue->isPublic);
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
    if (auto checked = checkOrganisations(table.organisations); !checked)
        return checked;
    FieldWriter writer;
    writer(table);
    if (const size_t size = writer.finish().size(); size > maxEncodedTableBytes)
        return makeError(ErrorCode::TooLarge,
            fmt::format("the table takes {} bytes with its keys; at most {} are allowed", size, maxEncodedTableBytes));
    return {};
}

} // namespace hickoryknot::workflow
