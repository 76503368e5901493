#pragma once

#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "core/Time.h"

namespace hickoryknot::review {

/// What a minion did on one accepted order to start a task.
struct LedgerRun {
    std::string task;
    uint32_t run { 0 };
    std::string minion;
    TimePoint startedAt;
    std::optional<TimePoint> endedAt;
    std::string how; // Empty while it runs; "crash" if the minion went down with it.
    std::optional<TimePoint> notedAt; // When `lastSeen` reached the end.
    bool hasLeaseLapsed { false }; // The minion's lease lapsed between the end and its confirmation.
};

/// Writes record.txt and judges what the minions have seen by the words of RULES.md.
class Record {
public:
    explicit Record(const std::string& file);

    void line(const std::string& text);

    /// Writes all runs to the file.
    void listRuns();

    size_t addRun(LedgerRun);
    LedgerRun& run(size_t index) { return m_runs[index]; }
    const std::vector<LedgerRun>& runs() const { return m_runs; }

    /// TWICE, first part: pairs of runs of one task that were at work at the same time on minions that were up.
    size_t overlappingRuns();
    /// TWICE, second part: starts after a run of the task had ended `done`, with that end taken note of then or later.
    size_t startsAfterDone();

private:
    std::string since(TimePoint) const;

    std::ofstream m_file;
    TimePoint m_start;
    std::vector<LedgerRun> m_runs;
};

} // namespace hickoryknot::review
