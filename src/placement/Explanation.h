#pragma once

#include <string>
#include <vector>

#include "placement/EngineState.h"
#include "placement/ReservationBook.h"

namespace hickoryknot {

/// Writes the sentences of explain() for one job: row and column, the numbers compared and what would have to change.
class Explanation {
public:
    Explanation(
        const EngineState& state, const ReservationBook& reservations, JobIndex job, TimePoint now, WallTime wall);

    std::string text();

private:
    void add(const std::string& sentence);
    void addSummary();
    void addRuns();
    void addRun(const Run&);
    std::string whyHere(const Run&) const;
    std::string whyThen(const Run&) const;
    void addWait();
    bool addBackOff();
    bool addHours();
    bool addMaxRunning();
    bool addQuota();
    bool addReservation();
    void addCapacity();
    void addNoRoom();
    void addOutOfService();
    void addTurn();
    void addUrgency();
    uint32_t tasksAtOnce() const;

    const EngineState& m_state;
    const ReservationBook& m_reservations;
    const JobRecord& m_job;
    const RowRecord& m_row;
    JobIndex m_index;
    TimePoint m_now;
    uint32_t m_minuteOfDay;
    std::string m_text;
};

} // namespace hickoryknot
