#pragma once

#include <algorithm>
#include <vector>

#include "core/Ids.h"
#include "placement/CapacityGrid.h"
#include "placement/Interner.h"
#include "placement/PlacementWorker.h"

namespace hickoryknot {

/// How many known workers have the same capacity.
struct CapacityClass {
    Resources capacity;
    uint32_t workers { 0 };
};

/// Workers by index with an index of their free capacity. Callers change a record and then call reindex().
class WorkerTable {
public:
    explicit WorkerTable(bool protectsAccelerators)
        : m_protectsAccelerators(protectsAccelerators)
    {
    }

    /// The worker's index; an unknown one gets an entry without capacity.
    WorkerIndex intern(const WorkerId&);
    WorkerIndex find(const WorkerId& worker) const { return m_names.find(worker); }
    const WorkerId& name(WorkerIndex worker) const { return m_names.name(worker); }
    const RackId& rackName(RackIndex rack) const { return m_racks.name(rack); }

    PlacementWorker& operator[](WorkerIndex worker) { return m_records[worker]; }
    const PlacementWorker& operator[](WorkerIndex worker) const { return m_records[worker]; }
    uint32_t size() const { return static_cast<uint32_t>(m_records.size()); }
    uint32_t racks() const { return static_cast<uint32_t>(m_rackWorkers.size()); }
    const std::vector<WorkerIndex>& workersOfRack(RackIndex rack) const { return m_rackWorkers[rack]; }

    /// Sets capacity, rack and availability; true if anything changed.
    bool announce(WorkerIndex, const Resources& capacity, const RackId&, bool isLeaving);
    void forget(WorkerIndex);
    /// Brings the capacity index in line with the record.
    void reindex(WorkerIndex);

    uint32_t knownCount() const { return m_knownCount; }
    const Resources& total() const { return m_total; }
    /// The distinct capacities of the known workers; usually few.
    const std::vector<CapacityClass>& capacityClasses() const { return m_capacityClasses; }

    /// What `need` may use on the worker: not reserved, and not set aside for free accelerators if it needs none.
    Resources openFor(WorkerIndex worker, const Resources& need) const
    {
        const PlacementWorker& record = m_records[worker];
        return need.accelerators.count() ? record.open() : record.open() - setAside(record);
    }
    bool fits(WorkerIndex worker, const Resources& need) const
    {
        return m_records[worker].isOpen() && need.fitsInto(openFor(worker, need));
    }

    /// Visits workers that may fit `need`, tightest first; workers with free accelerators last if it needs none.
    template <typename Visitor> void search(const Resources& need, Visitor&& visit) const
    {
        if (need.accelerators.count()) {
            m_withAccelerators.search(need, visit);
            return;
        }
        bool goesOn = true;
        m_plain.search(need, [&](WorkerIndex worker) { return goesOn = visit(worker); });
        if (goesOn)
            m_besideAccelerators.search(need, visit);
    }

    /// Visits workers with free accelerators whose whole open capacity may fit `need`, tightest first.
    template <typename Visitor> void searchBesideAccelerators(const Resources& need, Visitor&& visit) const
    {
        m_withAccelerators.search(need, visit);
    }

    /// How many times `need` goes into `amount`.
    static uint32_t timesInto(const Resources& need, const Resources& amount)
    {
        int64_t times = UINT32_MAX;
        const auto limit = [&times](int64_t part, int64_t whole) {
            if (part > 0)
                times = std::min(times, std::max<int64_t>(whole, 0) / part);
        };
        limit(need.millicores.count(), amount.millicores.count());
        limit(need.mebibytes.count(), amount.mebibytes.count());
        limit(need.accelerators.count(), amount.accelerators.count());
        return static_cast<uint32_t>(times);
    }
    /// The larger of the processor, memory and accelerator shares of `part` in the known workers' total.
    double dominantShare(const Resources& part) const;

private:
    void countCapacity(const Resources&, bool isAdded);
    Resources setAside(const PlacementWorker&) const;
    void setRack(WorkerIndex, const RackId&);

    bool m_protectsAccelerators;
    Interner<WorkerId> m_names;
    Interner<RackId> m_racks;
    std::vector<PlacementWorker> m_records;
    std::vector<std::vector<WorkerIndex>> m_rackWorkers;
    uint32_t m_knownCount { 0 };
    Resources m_total;
    std::vector<CapacityClass> m_capacityClasses;

    // Rebuildable index: workers without and with free accelerators, by what work without accelerators may use, and
    // workers with free accelerators by what is open.
    CapacityGrid m_plain;
    CapacityGrid m_besideAccelerators;
    CapacityGrid m_withAccelerators;
};

} // namespace hickoryknot
