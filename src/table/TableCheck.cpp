#include "table/TableCheck.h"

#include <fmt/format.h>
#include <unordered_map>

#include "table/RowColumns.h"

namespace hickoryknot {

namespace {

using Effect = std::string (*)(const Row& before, const Row& after);

std::string seconds(Duration value) { return fmt::format("{:g} s", static_cast<double>(value / 1ms) / 1000); }

std::string limitOf(int64_t value, const char* unit)
{
    return value ? fmt::format("at most {} {}", value, unit) : "no limit";
}

std::string effectOfWeight(const Row& before, const Row& after)
{
    return fmt::format("When there is not enough for all, work of this row gets {} turns than before, measured against "
                       "the weights of the other rows. Nothing changes while there is room for all.",
        after.weight > before.weight ? "more" : "fewer");
}

std::string effectOfPriority(const Row& before, const Row& after)
{
    return fmt::format("Waiting work of this row now goes {} than it did; it goes before all work of a lower priority. "
                       "Running work is not touched.",
        after.priority > before.priority ? "earlier" : "later");
}

std::string effectOfRepeatable(const Row&, const Row& after)
{
    return after.isRepeatable ? "New work may be started again when it may already have run, so it can run twice. Work "
                                "already recorded keeps the old rule."
                              : "New work runs at most once; if its outcome is lost it ends as unknown and is not "
                                "tried again. Each such request needs one durable record.";
}

std::string effectOfTargetWait(const Row&, const Row& after)
{
    return fmt::format("The burn report counts work of this row as late when it waits longer than {} before it starts. "
                       "Work goes in the same order as before.",
        seconds(after.targetWait));
}

std::string effectOfWaitBound(const Row& before, const Row& after)
{
    return fmt::format("A request that has waited {} is answered not run. {}", seconds(after.waitBound),
        after.waitBound < before.waitBound
            ? "More requests will be turned away under load, and the others wait less."
            : "Fewer requests will be turned away under load, but they may wait longer.");
}

std::string effectOfQueueBound(const Row&, const Row& after)
{
    return fmt::format("Each entry host lets at most {} requests of this row wait; the next one is answered not run at "
                       "once. Requests already waiting stay.",
        after.queueBound);
}

std::string effectOfMaxRunning(const Row& before, const Row& after)
{
    const bool isTighter = after.maxRunning && (!before.maxRunning || after.maxRunning < before.maxRunning);
    return fmt::format("Tasks and requests of this row that run at once: {}. {}",
        limitOf(after.maxRunning, "in the cell"),
        isTighter ? "Running work is not stopped; new work waits until fewer run." : "More may run at once.");
}

std::string effectOfRetryBudget(const Row&, const Row& after)
{
    return fmt::format("For every 100 first attempts at most {} retries are made; beyond that a failed request is "
                       "answered without another try.",
        after.retryBudgetPercent);
}

std::string effectOfHours(const Row&, const Row& after)
{
    if (after.hours.startMinute == after.hours.endMinute)
        return "Work of this row may start at any time of the day.";
    return "Work of this row starts only in these hours (UTC); work submitted outside waits. Running work is not "
           "stopped at the end of the hours.";
}

std::string effectOfPlacement(const Row&, const Row& after)
{
    return after.placement == PlacementStyle::Spread
        ? "New tasks go to many workers and racks, so that one failure hits few of them, at the cost of more workers "
          "in "
          "use. Running tasks are not moved."
        : "New tasks fill few workers, so that others stay free for large tasks; one failure can hit more of them. "
          "Running tasks are not moved.";
}

std::string effectOfCutOff(const Row&, const Row& after)
{
    return after.cutOff == CutOffRule::Stop
        ? "In a zone that is cut off, work of this row stops within about 5 s and then may start in another zone."
        : "In a zone that is cut off, work of this row goes on there, and nobody starts it anywhere else; if the zone "
          "is "
          "lost, the work waits until it returns.";
}

std::string effectOfPreemptible(const Row&, const Row& after)
{
    return after.isPreemptible ? "Running tasks may be stopped for urgent work and are started again later; what they "
                                 "did since their last checkpoint is lost."
                               : "Running tasks are no longer stopped for urgent work, so urgent work may wait longer.";
}

std::string effectOfUrgent(const Row&, const Row& after)
{
    return after.isUrgent ? "Work of this row starts within 8 s even if preemptible work must be stopped for it."
                          : "Work of this row no longer stops preemptible work and waits its turn.";
}

std::string effectOfQuota(const char* what, int64_t before, int64_t after, const char* unit)
{
    const bool isTighter = after && (!before || after < before);
    return fmt::format("All running tasks of the team together get {}: {}. {}", what, limitOf(after, unit),
        isTighter ? "Running tasks are not stopped; new ones wait until there is room in the quota."
                  : "Tasks that wait for the quota may start.");
}

const std::unordered_map<std::string_view, Effect>& effects()
{
    static const std::unordered_map<std::string_view, Effect> table {
        { "weight", effectOfWeight },
        { "priority", effectOfPriority },
        { "repeatable", effectOfRepeatable },
        { "targetWaitMs", effectOfTargetWait },
        { "waitBoundMs", effectOfWaitBound },
        { "queueBound", effectOfQueueBound },
        { "maxRunning", effectOfMaxRunning },
        { "retryBudgetPercent", effectOfRetryBudget },
        { "hours", effectOfHours },
        { "placement", effectOfPlacement },
        { "cutOff", effectOfCutOff },
        { "preemptible", effectOfPreemptible },
        { "urgent", effectOfUrgent },
        { "quotaMillicores",
            [](const Row& a, const Row& b) {
                return effectOfQuota("processors", a.quota.millicores.count(), b.quota.millicores.count(),
                    "millicores (1000 are one core)");
            } },
        { "quotaMebibytes",
            [](const Row& a, const Row& b) {
                return effectOfQuota("memory", a.quota.mebibytes.count(), b.quota.mebibytes.count(), "MiB");
            } },
        { "quotaAccelerators",
            [](const Row& a, const Row& b) {
                return effectOfQuota(
                    "accelerators", a.quota.accelerators.count(), b.quota.accelerators.count(), "accelerators");
            } },
    };
    return table;
}

std::string withUnit(const RowColumn& column, const Row& row)
{
    const auto text = column.format(row);
    return column.type == ColumnType::Number && !column.unit.empty() ? fmt::format("{} {}", text, column.unit) : text;
}

void explainDifferences(const Row& before, const Row& after, std::vector<std::string>& explanations)
{
    for (const auto& column : rowColumns()) {
        const auto effect = effects().find(column.name);
        if (effect == effects().end() || column.format(before) == column.format(after))
            continue;
        explanations.push_back(fmt::format("Row '{}', column {}: {} becomes {}. {}", after.name.value(), column.name,
            withUnit(column, before), withUnit(column, after), effect->second(before, after)));
    }
}

const Row* findAnyKind(const Table& table, const RowName& name)
{
    const Row* row = table.find(RowKind::Class, name);
    return row ? row : table.find(RowKind::Team, name);
}

void explainAddition(const Row& row, std::vector<std::string>& explanations)
{
    explanations.push_back(
        fmt::format("Row '{}' is new: {} Columns not named below have their defaults.", row.name.value(),
            row.kind == RowKind::Class ? "requests and jobs may name this class from now on."
                                       : "jobs of this team count against its quota from now on."));
    Row defaults;
    defaults.name = row.name;
    defaults.kind = row.kind;
    explainDifferences(defaults, row, explanations);
}

std::string explainRemoval(const Row& row)
{
    if (row.kind == RowKind::Team)
        return fmt::format("Row '{}' goes: jobs of this team have no quota any more. Running tasks are not touched.",
            row.name.value());
    return fmt::format("Row '{}' goes: new requests and jobs that name this class are refused. Work already recorded "
                       "goes on under the last values of the row.",
        row.name.value());
}

} // namespace

Expected<std::vector<std::string>> explainChange(const Table& table, const TableChange& change)
{
    if (const auto checked = table.check(change); !checked)
        return tl::unexpected(checked.error());
    std::vector<std::string> explanations;
    for (const auto& row : change.rows) {
        if (const Row* before = findAnyKind(table, row.name))
            explainDifferences(*before, row, explanations);
        else
            explainAddition(row, explanations);
    }
    for (const auto& name : change.removed)
        explanations.push_back(explainRemoval(*findAnyKind(table, name)));
    if (explanations.empty())
        explanations.emplace_back("Nothing changes: all values are the same as in the table.");
    return explanations;
}

} // namespace hickoryknot
