#pragma once

#include <string>
#include <vector>

#include "placement/EngineState.h"
#include "placement/ReservationController.h"

namespace hickoryknot {

/// Builds the text of explain() for one job: the row and column that decided, the compared numbers and what would have
/// to change.
class Explanation {
public:
    Explanation(const EngineState& state, const ReservationController& reservations, JobIndex job, TimePoint now,
        WallTime wall);

    std::string text();

private:
    void add(const std::string& sentence);
    void addSummary();
    void addRuns();
    void addRun(const Run&);
    std::string workerReason(const Run&) const;
    std::string startTimeReason(const Run&) const;
    void addWait();
    bool addBackOff();
    bool addHours();
    bool addMaxRunning();
    bool addQuota();
    bool addReservation();
    void addCapacity();
    void addNoCapacity();
    void addUnavailableWorkers();
    void addQueueOrder();
    void addPreemption();
    uint32_t concurrentTasks() const;

    const EngineState& m_state;
    const ReservationController& m_reservations;
    const JobRecord& m_job;
    const RowRecord& m_row;
    JobIndex m_jobIndex;
    TimePoint m_now;
    uint32_t m_minuteOfDay;
    std::string m_text;
};

} // namespace hickoryknot
