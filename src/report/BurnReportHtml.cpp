#include <algorithm>
#include <fmt/format.h>

#include "report/BurnReport.h"
#include "report/ReportText.h"

namespace hickoryknot {

namespace {

// SVG units; plots scale with the page.
constexpr double plotWidth = 440;
constexpr double plotHeight = 150;
constexpr double plotLeft = 44;
constexpr double plotBottom = 26;
constexpr double plotTop = 10;

constexpr const char* style = R"(
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 62em; padding: 0 1em; color: #1b1b1b; }
table { border-collapse: collapse; width: 100%; }
th, td { padding: .3em .6em; text-align: right; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child { text-align: left; }
.over { color: #a40000; font-weight: 600; }
.missing { background: #fff3cd; padding: .5em .8em; }
figure { display: inline-block; width: 48%; min-width: 20em; margin: 0; vertical-align: top; }
figcaption { font-size: .85em; color: #555; }
svg { width: 100%; height: auto; }
svg rect { fill: #2e7d6b; }
svg rect.over { fill: #c0392b; }
svg text { font: 10px system-ui, sans-serif; fill: #555; }
)";

// Bar plot as SVG; bars are scaled to the largest value.
class BarPlot {
public:
    BarPlot(std::string title, size_t bars, double largest)
        : m_title(std::move(title))
        , m_barWidth((plotWidth - plotLeft) / static_cast<double>(bars))
        , m_largest(largest > 0 ? largest : 1)
    {
    }

    void bar(size_t index, double value, const std::string& tooltip, bool isOver)
    {
        // Empty bars are omitted; they would make up most of the page size.
        if (value <= 0)
            return;
        const double height = heightOf(value);
        m_body += fmt::format("<rect{} x=\"{:.4g}\" y=\"{:.4g}\" width=\"{:.4g}\" height=\"{:.4g}\">"
                              "<title>{}</title></rect>\n",
            isOver ? " class=\"over\"" : "", xOf(index) + 1, plotHeight - plotBottom - height, m_barWidth - 2, height,
            escapeHtml(tooltip));
    }

    void label(size_t index, const std::string& text)
    {
        m_body += fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"middle\">{}</text>\n",
            xOf(index) + m_barWidth / 2, plotHeight - plotBottom + 14, escapeHtml(text));
    }

    void horizontalLine(double value, const std::string& text, const char* colour)
    {
        const double y = plotHeight - plotBottom - heightOf(value);
        m_body += fmt::format("<line x1=\"{:.1f}\" x2=\"{:.1f}\" y1=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"{}\"/>\n"
                              "<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"end\">{}</text>\n",
            plotLeft, plotWidth, y, y, colour, plotLeft - 4, y + 3, escapeHtml(text));
    }

    std::string render() const
    {
        return fmt::format("<figure><figcaption>{}</figcaption><svg viewBox=\"0 0 {} {}\" role=\"img\" "
                           "aria-label=\"{}\">\n{}</svg></figure>\n",
            escapeHtml(m_title), plotWidth, plotHeight, escapeHtml(m_title), m_body);
    }

private:
    double xOf(size_t index) const { return plotLeft + m_barWidth * static_cast<double>(index); }
    double heightOf(double value) const
    {
        return std::min(value / m_largest, 1.0) * (plotHeight - plotBottom - plotTop);
    }

    std::string m_title;
    double m_barWidth;
    double m_largest;
    std::string m_body;
};

std::string waitLabel(size_t index)
{
    const Duration end = WaitTimeHistory::waitBucketUpperBound(index);
    return end == Duration::max() ? "more" : formatDuration(end);
}

std::string waitPlot(const BurnRow& row)
{
    const uint64_t largest = *std::ranges::max_element(row.waits);
    BarPlot plot("Waiting time before start, last 24 hours; red is beyond the target", row.waits.size(),
        static_cast<double>(largest));
    plot.horizontalLine(static_cast<double>(largest), std::to_string(largest), "#ddd");
    plot.horizontalLine(0, "0", "#999");
    for (size_t i = 0; i < row.waits.size(); ++i) {
        // A bucket whose lower bound is at or above the target contains only late starts.
        const bool isLate = i > 0 && WaitTimeHistory::waitBucketUpperBound(i - 1) >= row.targetWait;
        plot.bar(i, static_cast<double>(row.waits[i]), fmt::format("up to {}: {}", waitLabel(i), row.waits[i]), isLate);
        if (i % 4 == 0)
            plot.label(i, waitLabel(i));
    }
    return plot.render();
}

std::string burnPlot(const BurnRow& row)
{
    // The line at 1, the rate that the objective allows, is always visible.
    const double largest = std::max(2.0, *std::ranges::max_element(row.hourlyBurn));
    BarPlot plot("Burn rate by hour, oldest first; 1 uses up the budget exactly", row.hourlyBurn.size(), largest);
    plot.horizontalLine(largest, fmt::format("{:.3g}", largest), "#ddd");
    plot.horizontalLine(1, "1", "#c0392b");
    plot.horizontalLine(0, "0", "#999");
    for (size_t i = 0; i < row.hourlyBurn.size(); ++i) {
        const size_t ago = row.hourlyBurn.size() - i;
        plot.bar(i, row.hourlyBurn[i], fmt::format("{} to {} h ago: {:.2f}", ago, ago - 1, row.hourlyBurn[i]),
            row.hourlyBurn[i] > 1);
        if (ago % 6 == 0)
            plot.label(i, fmt::format("-{} h", ago));
    }
    return plot.render();
}

std::string tableRow(const BurnRow& row)
{
    std::string cells = fmt::format(
        "<tr><td>{}</td><td>{}</td>", escapeHtml(row.row.value()), escapeHtml(formatDuration(row.targetWait)));
    for (const BurnWindow& window : row.windows) {
        if (window.total)
            cells += fmt::format("<td{}>{:.2f}</td>", window.burnRate > 1 ? " class=\"over\"" : "", window.burnRate);
        else
            cells += "<td>-</td>";
    }
    const BurnWindow& day = row.windows.back();
    return cells
        + fmt::format("<td>{}</td><td>{}</td><td>{}</td></tr>\n", day.total, day.late,
            escapeHtml(formatPercent(day.budgetBurnt)));
}

} // namespace

std::string BurnReport::html() const
{
    std::string page = fmt::format("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n<title>Waiting "
                                   "time before start</title>\n<style>{}</style></head><body>\n",
        style);
    page += fmt::format("<h1>Waiting time before start</h1>\n<p>{}. Objective: {} of starts within the row's target "
                        "wait.</p>\n<p{}>{}</p>\n",
        formatWallTime(at), escapeHtml(formatPercent(objective)), hostsMissing.empty() ? "" : " class=\"missing\"",
        escapeHtml(coverage()));
    page += "<table><tr><th>row</th><th>target</th>";
    for (const char* title :
        { "burn 5 min", "burn 1 h", "burn 6 h", "burn 24 h", "starts 24 h", "late 24 h", "budget used" })
        page += fmt::format("<th>{}</th>", title);
    page += "</tr>\n";
    for (const BurnRow& row : rows)
        page += tableRow(row);
    page += "</table>\n";
    for (const BurnRow& row : rows) {
        page += fmt::format("<h2>{}</h2>\n<p>{}</p>\n", escapeHtml(row.row.value()), escapeHtml(row.summary));
        page += waitPlot(row) + burnPlot(row);
    }
    return page + "</body></html>\n";
}

} // namespace hickoryknot
