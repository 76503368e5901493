#include "Record.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>
#include <map>

#include "app/SteadyTime.h"

namespace hickoryknot::review {

namespace {

/// Overlaps up to this long may be due to the order in which the stand-ins' events are handled.
constexpr Duration clockTolerance = 20ms;
/// The record names this many cases of one kind; all are counted.
constexpr size_t maxNamed = 10;

} // namespace

Record::Record(const std::string& file)
    : m_file(file)
    , m_start(steadyNow())
{
}

std::string Record::since(TimePoint at) const
{
    return fmt::format("{:.3f}", static_cast<double>((at - m_start).count()) / 1e6);
}

void Record::line(const std::string& text)
{
    m_file << since(steadyNow()) << ' ' << text << std::endl;
    std::cout << since(steadyNow()) << ' ' << text << std::endl;
}

void Record::listRuns()
{
    for (const auto& run : m_runs)
        m_file << fmt::format("run {} of {} on {}: {} to {} {}{}\n", run.run, run.task, run.minion,
            since(run.startedAt), run.endedAt ? since(*run.endedAt) : "-", run.how.empty() ? "at work" : run.how,
            run.notedAt ? ", taken note of at " + since(*run.notedAt) : "");
    m_file.flush();
}

size_t Record::addRun(LedgerRun entry)
{
    m_runs.push_back(std::move(entry));
    return m_runs.size() - 1;
}

size_t Record::overlappingRuns()
{
    const TimePoint now = steadyNow();
    std::map<std::string, std::vector<const LedgerRun*>> byTask;
    for (const auto& run : m_runs)
        byTask[run.task].push_back(&run);
    size_t count = 0;
    for (const auto& [task, runs] : byTask) {
        for (size_t i = 0; i < runs.size(); ++i) {
            for (size_t j = i + 1; j < runs.size(); ++j) {
                const auto& [a, b] = std::pair(*runs[i], *runs[j]);
                const TimePoint from = std::max(a.startedAt, b.startedAt);
                const TimePoint to = std::min(a.endedAt.value_or(now), b.endedAt.value_or(now));
                if (to - from <= clockTolerance)
                    continue;
                if (++count <= maxNamed)
                    line(fmt::format("TWICE: task {}: run {} on {} from {} to {}, and run {} on {} from {} to {}", task,
                        a.run, a.minion, since(a.startedAt), since(a.endedAt.value_or(now)), b.run, b.minion,
                        since(b.startedAt), since(b.endedAt.value_or(now))));
            }
        }
    }
    return count;
}

size_t Record::startsAfterDone()
{
    std::map<std::string, std::vector<const LedgerRun*>> byTask;
    for (const auto& run : m_runs)
        byTask[run.task].push_back(&run);
    size_t count = 0;
    for (const auto& [task, runs] : byTask) {
        for (const auto* later : runs) {
            for (const auto* earlier : runs) {
                const bool isNoted = earlier->how == "done" && earlier->notedAt && !earlier->hasLeaseLapsed;
                if (earlier == later || !isNoted || later->startedAt <= *earlier->endedAt)
                    continue;
                if (++count <= maxNamed)
                    line(fmt::format("TWICE: task {}: run {} on {} ended done at {}, taken note of at {}, and run {} "
                                     "started on {} at {}",
                        task, earlier->run, earlier->minion, since(*earlier->endedAt), since(*earlier->notedAt),
                        later->run, later->minion, since(later->startedAt)));
            }
        }
    }
    return count;
}

} // namespace hickoryknot::review
