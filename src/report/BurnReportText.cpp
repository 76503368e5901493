#include <fmt/format.h>

#include "report/BurnReport.h"
#include "report/ReportText.h"
#include "report/TextTable.h"

namespace hickoryknot {

namespace {

std::string budgetExhaustionCell(const BurnRow& row)
{
    if (!row.budgetExhaustedIn)
        return "lasts";
    return *row.budgetExhaustedIn == 0us ? "used up" : formatDuration(*row.budgetExhaustedIn);
}

} // namespace

std::string BurnReport::text() const
{
    std::vector<TextTable::Column> columns { { "row" }, { "target", TextAlign::Right } };
    for (const char* title : { "burn 5 min", "burn 1 h", "burn 6 h", "burn 24 h", "starts 24 h", "late 24 h",
             "budget used", "budget ends in" })
        columns.push_back({ title, TextAlign::Right });
    TextTable table(std::move(columns));
    for (const BurnRow& row : rows) {
        std::vector<std::string> cells { row.row.value(), formatDuration(row.targetWait) };
        for (const BurnWindow& window : row.windows)
            cells.push_back(window.total ? fmt::format("{:.2f}", window.burnRate) : "-");
        const BurnWindow& day = row.windows.back();
        cells.push_back(std::to_string(day.total));
        cells.push_back(std::to_string(day.late));
        cells.push_back(formatPercent(day.budgetBurnt));
        cells.push_back(budgetExhaustionCell(row));
        table.addRow(std::move(cells));
    }

    std::string text = fmt::format("Waiting time before start, {}. Objective: {} of starts within the row's target. "
                                   "{}\n\n",
        formatWallTime(at), formatPercent(objective), coverage());
    text += table.render() + "\n";
    for (const BurnRow& row : rows)
        text += row.summary + "\n";
    return text;
}

} // namespace hickoryknot
