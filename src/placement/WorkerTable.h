#pragma once

#include <algorithm>
#include <vector>

#include "core/Ids.h"
#include "placement/CapacityGrid.h"
#include "placement/Interner.h"
#include "placement/PlacementWorker.h"

namespace hickoryknot {

/// Number of known workers with the same capacity.
struct CapacityClass {
    Resources capacity;
    uint32_t workers { 0 };
};

/// Workers with a search index of their free capacity. Call reindex() after changing a record.
class WorkerTable {
public:
    explicit WorkerTable(bool protectsAccelerators)
        : m_protectsAccelerators(protectsAccelerators)
    {
    }

    /// Index of the worker; an unknown one gets a record without capacity.
    WorkerIndex intern(const WorkerId&);
    WorkerIndex find(const WorkerId& worker) const { return m_names.find(worker); }
    const WorkerId& name(WorkerIndex worker) const { return m_names.name(worker); }
    const RackId& rackName(RackIndex rack) const { return m_racks.name(rack); }

    PlacementWorker& operator[](WorkerIndex worker) { return m_records[worker]; }
    const PlacementWorker& operator[](WorkerIndex worker) const { return m_records[worker]; }
    uint32_t size() const { return static_cast<uint32_t>(m_records.size()); }
    uint32_t racks() const { return static_cast<uint32_t>(m_rackWorkers.size()); }
    const std::vector<WorkerIndex>& workersOfRack(RackIndex rack) const { return m_rackWorkers[rack]; }

    /// Sets capacity, rack and availability; returns true if anything changed.
    bool update(WorkerIndex, const Resources& capacity, const RackId&, bool isLeaving);
    /// Marks the worker as unknown; its index and its failure score are kept.
    void remove(WorkerIndex);
    /// Updates the search index from the record.
    void reindex(WorkerIndex);

    uint32_t knownCount() const { return m_knownCount; }
    const Resources& total() const { return m_total; }
    /// Distinct capacities of the known workers, usually few.
    const std::vector<CapacityClass>& capacityClasses() const { return m_capacityClasses; }

    /// Capacity that `need` may use on the worker: neither reserved nor, if it needs no accelerators, part of the
    /// accelerator reserve.
    Resources availableFor(WorkerIndex worker, const Resources& need) const
    {
        const PlacementWorker& record = m_records[worker];
        return need.accelerators.count() ? record.unreserved() : record.unreserved() - acceleratorReserve(record);
    }
    bool fits(WorkerIndex worker, const Resources& need) const
    {
        return m_records[worker].acceptsTasks() && need.fitsInto(availableFor(worker, need));
    }

    /// Visits workers that may fit `need`, tightest first. If it needs no accelerators, workers with free accelerators
    /// come last.
    template <typename Visitor> void search(const Resources& need, Visitor&& visit) const
    {
        if (need.accelerators.count()) {
            m_withAccelerators.search(need, visit);
            return;
        }
        bool shouldContinue = true;
        m_withoutAccelerators.search(need, [&](WorkerIndex worker) { return shouldContinue = visit(worker); });
        if (shouldContinue)
            m_outsideAcceleratorReserve.search(need, visit);
    }

    /// Visits workers with free accelerators that may fit `need` including the accelerator reserve, tightest first.
    template <typename Visitor> void searchAcceleratorWorkers(const Resources& need, Visitor&& visit) const
    {
        m_withAccelerators.search(need, visit);
    }

    /// How many times `need` fits into `amount`.
    static uint32_t fitCount(const Resources& need, const Resources& amount)
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
    /// Largest of the processor, memory and accelerator shares of `part` in the total capacity of the known workers.
    double dominantShare(const Resources& part) const;

private:
    void countCapacity(const Resources&, bool isAdded);
    Resources acceleratorReserve(const PlacementWorker&) const;
    void setRack(WorkerIndex, const RackId&);

    bool m_protectsAccelerators;
    Interner<WorkerId> m_names;
    Interner<RackId> m_racks;
    std::vector<PlacementWorker> m_records;
    std::vector<std::vector<WorkerIndex>> m_rackWorkers;
    uint32_t m_knownCount { 0 };
    Resources m_total;
    std::vector<CapacityClass> m_capacityClasses;

    // Search indexes, which can be rebuilt: workers without and with free accelerators by capacity outside of the
    // accelerator reserve, and workers with free accelerators by unreserved capacity.
    CapacityGrid m_withoutAccelerators;
    CapacityGrid m_outsideAcceleratorReserve;
    CapacityGrid m_withAccelerators;
};

} // namespace hickoryknot
