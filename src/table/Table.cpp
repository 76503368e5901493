#include "table/Table.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

#include "core/Assert.h"
#include "core/Hash.h"
#include "table/RowColumns.h"

namespace hickoryknot {

namespace {

constexpr const char* defaultRowName = "default";

bool isBefore(const Row& row, const RowName& name) { return row.name < name; }

Expected<void> invalidChange(std::string message) { return makeError(ErrorCode::InvalidArgument, std::move(message)); }

// Finds a row of either kind; null if there is none.
const Row* findByName(const std::vector<Row>& rows, const RowName& name)
{
    const auto at = std::lower_bound(rows.begin(), rows.end(), name, isBefore);
    return at != rows.end() && at->name == name ? &*at : nullptr;
}

} // namespace

Table::Table()
{
    Row row;
    row.name = RowName(defaultRowName);
    m_content.rows.push_back(row);
    m_content.changedBy = "hickoryknot";
}

const Row* Table::find(RowKind kind, const RowName& name) const
{
    const Row* row = findByName(m_content.rows, name);
    return row && row->kind == kind ? row : nullptr;
}

const Row& Table::defaultRow() const
{
    const Row* row = findClass(RowName(defaultRowName));
    HICKORYKNOT_ASSERT(row, "the row cannot be removed");
    return *row;
}

Expected<void> Table::check(const TableChange& change) const
{
    if (change.rows.empty() && change.removed.empty())
        return invalidChange("the change names no row");
    std::set<RowName> named;
    size_t added = 0;
    // Rows to add or replace.
    for (const auto& row : change.rows) {
        if (auto checked = checkRow(row); !checked)
            return checked;
        if (!named.insert(row.name).second)
            return invalidChange(fmt::format("row '{}' appears twice in the change", row.name.value()));
        const Row* old = findByName(m_content.rows, row.name);
        if (old && old->kind != row.kind)
            return invalidChange(fmt::format("row '{}' exists with another kind; remove it first", row.name.value()));
        added += !old;
    }
    // Rows to remove.
    for (const auto& name : change.removed) {
        if (!named.insert(name).second)
            return invalidChange(fmt::format("row '{}' appears twice in the change", name.value()));
        if (name.value() == defaultRowName)
            return invalidChange("row 'default' cannot be removed: work that names no other row uses it");
        if (!findByName(m_content.rows, name))
            return invalidChange(fmt::format("row '{}' is to be removed but does not exist", name.value()));
    }
    if (m_content.rows.size() + added - change.removed.size() > maxRows)
        return invalidChange(fmt::format("the table would have more than {} rows", maxRows));
    return {};
}

TableChangeResult Table::set(const TableChange& change)
{
    const uint64_t hash = contentHash(change);
    // A resend returns the first outcome; reuse of the id with other content is a client error.
    if (const auto recorded = m_outcomeIndex.find(change.request); recorded != m_outcomeIndex.end()) {
        const auto& first = m_content.outcomes[recorded->second - m_droppedOutcomes];
        if (first.contentHash == hash)
            return first.result;
        return { .version = version(),
            .reason = "request_id_reused",
            .message = fmt::format(
                "Request id {} was used before for another change; nothing was changed.", change.request.value()) };
    }
    auto result = evaluate(change);
    if (result.isAccepted)
        apply(change);
    recordOutcome(change, hash, result);
    return result;
}

TableChangeResult Table::evaluate(const TableChange& change) const
{
    if (change.baseVersion != version())
        return { .version = version(),
            .wonBy = m_content.changedBy,
            .wonByRequest = m_content.changedByRequest,
            .reason = "version_conflict",
            .message = fmt::format(
                "The change was made for version {}, but version {} by {} is in force; nothing was changed. Read the "
                "table again and repeat the change.",
                change.baseVersion, version(), m_content.changedBy) };
    if (const auto checked = check(change); !checked)
        return { .version = version(), .reason = "invalid_change", .message = checked.error().message };
    return { .isAccepted = true,
        .version = version() + 1,
        .message = fmt::format("The change is version {} of the table.", version() + 1) };
}

void Table::apply(const TableChange& change)
{
    auto& rows = m_content.rows;
    for (const auto& name : change.removed)
        std::erase_if(rows, [&](const Row& row) { return row.name == name; });
    for (const auto& row : change.rows) {
        const auto at = std::lower_bound(rows.begin(), rows.end(), row.name, isBefore);
        if (at != rows.end() && at->name == row.name)
            *at = row;
        else
            rows.insert(at, row);
    }
    ++m_content.version;
    m_content.changedBy = change.changedBy;
    m_content.changedByRequest = change.request;
}

void Table::recordOutcome(const TableChange& change, uint64_t hash, const TableChangeResult& result)
{
    auto& outcomes = m_content.outcomes;
    m_outcomeIndex[change.request] = m_droppedOutcomes + outcomes.size();
    outcomes.push_back({ .request = change.request, .contentHash = hash, .result = result });
    if (outcomes.size() <= maxOutcomes)
        return;
    m_outcomeIndex.erase(outcomes.front().request);
    outcomes.pop_front();
    ++m_droppedOutcomes;
}

void Table::restore(Content content)
{
    HICKORYKNOT_ASSERT(content.version >= 1, "a table has a version");
    m_content = std::move(content);
    m_outcomeIndex.clear();
    m_droppedOutcomes = 0;
    for (size_t i = 0; i < m_content.outcomes.size(); ++i)
        m_outcomeIndex[m_content.outcomes[i].request] = i;
}

uint64_t contentHash(const TableChange& change)
{
    // Names and values cannot contain the separators, so the text is unambiguous.
    std::string text = fmt::format("{}\n", change.baseVersion);
    for (const auto& row : change.rows) {
        for (const auto& column : rowColumns())
            text += column.format(row) + ",";
        text += "\n";
    }
    for (const auto& name : change.removed)
        text += "-" + name.value() + "\n";
    return hashBytes(text);
}

} // namespace hickoryknot
