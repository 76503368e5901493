#include "app/TableService.h"

#include <nlohmann/json.hpp>

#include "app/SteadyTime.h"
#include "state/CellCommand.h"
#include "state/CommandResult.h"
#include "table/TableCheck.h"
#include "table/TableJson.h"

namespace hickoryknot {

namespace {

constexpr Duration recordDeadline = 5s;

/// Longer than the table lease plus its clock drift bound, after which every host has applied the version or lost its
/// lease.
constexpr Duration setDeadline = 5s;

/// Adds the hosts and zones that have not applied the version to the result.
std::string withAcknowledgement(const std::string& resultJson, const TableAcknowledgement& acknowledgement)
{
    auto document = nlohmann::json::parse(resultJson);
    document["isInForce"] = acknowledgement.isComplete;
    auto& notApplied = document["notApplied"] = nlohmann::json::array();
    for (const auto& host : acknowledgement.missingHosts)
        notApplied.push_back(host.value());
    auto& zones = document["notAppliedZones"] = nlohmann::json::array();
    for (const auto& zone : acknowledgement.missingZones)
        zones.push_back(zone.value());
    return document.dump();
}

} // namespace

std::string TableService::get() const
{
    return formatTableJson(m_context.cell.table().version(), m_context.cell.table().rows());
}

Expected<std::string> TableService::check(const std::string& body) const
{
    const auto& table = m_context.cell.table();
    const auto change = parseTableChangeJson(body, table);
    if (!change)
        return tl::unexpected(change.error());
    const auto sentences = explainChange(table, *change);
    if (!sentences)
        return tl::unexpected(sentences.error());
    nlohmann::json document;
    document["version"] = table.version();
    document["changes"] = *sentences;
    if (change->baseVersion != table.version())
        document["sentence"] = "The change is based on version " + std::to_string(change->baseVersion) + " but version "
            + std::to_string(table.version()) + " is in force; it would be refused.";
    return document.dump();
}

void TableService::set(const std::string& body, TimePoint now, WallTime wall, std::function<void(Response)> reply)
{
    if (!m_context.cellController->isLeader()) {
        reply(
            { makeError(ErrorCode::Unavailable, "the cell has no leader that this host can reach; nothing was changed"),
                Redirect {} });
        return;
    }
    auto change = parseTableChangeJson(body, m_context.cell.table());
    if (!change) {
        reply({ tl::unexpected(change.error()), std::nullopt });
        return;
    }
    // A resent change or one with an outdated base version has no effect to explain; the recorded result describes it.
    const auto sentences = explainChange(m_context.cell.table(), *change).value_or(std::vector<std::string> {});
    m_context.proposer->propose(m_context.cellTarget(),
        encodeCellCommand(SetTable { std::move(*change), toUnixMs(wall) }), Proposer::Repeat::Allowed,
        now + recordDeadline, now, [this, sentences, reply = std::move(reply)](const Expected<std::string>& result) {
            onRecorded(result, sentences, reply);
        });
}

void TableService::onRecorded(const Expected<std::string>& recorded, const std::vector<std::string>& sentences,
    std::function<void(Response)> reply)
{
    const auto result = recorded ? decodeCommandResult(*recorded) : tl::unexpected(recorded.error());
    if (!result) {
        reply({ tl::unexpected(result.error()), std::nullopt });
        return;
    }
    if (const auto* error = std::get_if<Error>(&*result)) {
        reply({ tl::unexpected(*error), std::nullopt });
        return;
    }
    const auto* change = std::get_if<TableChangeResult>(&*result);
    if (!change) {
        reply({ makeError(ErrorCode::Internal, "the log answered a table change with another kind of result"),
            std::nullopt });
        return;
    }
    const std::string json
        = formatTableChangeResultJson(*change, change->isAccepted ? sentences : std::vector<std::string> {});
    if (!change->isAccepted) {
        reply({ json, std::nullopt });
        return;
    }
    m_waiters.push_back({ change->version, steadyNow() + setDeadline, json, std::move(reply) });
}

void TableService::tick(TimePoint now)
{
    std::vector<std::pair<Waiter, TableAcknowledgement>> ready;
    std::erase_if(m_waiters, [&](Waiter& waiter) {
        auto acknowledgement = m_context.cellController->tableAcknowledgement(waiter.version, now);
        if (!acknowledgement.isComplete && now < waiter.deadline && m_context.cellController->isLeader())
            return false;
        ready.emplace_back(std::move(waiter), std::move(acknowledgement));
        return true;
    });
    for (auto& [waiter, acknowledgement] : ready)
        waiter.reply({ withAcknowledgement(waiter.resultJson, acknowledgement), std::nullopt });
}

} // namespace hickoryknot
