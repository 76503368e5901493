#include "placement/WorkerTable.h"

namespace hickoryknot {

WorkerIndex WorkerTable::intern(const WorkerId& worker)
{
    const WorkerIndex index = m_names.intern(worker);
    if (index == m_records.size())
        m_records.emplace_back();
    return index;
}

bool WorkerTable::update(WorkerIndex worker, const Resources& capacity, const RackId& rack, bool isLeaving)
{
    PlacementWorker& record = m_records[worker];
    const bool isSame = record.isKnown && record.capacity == capacity && record.isLeaving == isLeaving
        && m_racks.name(record.rack) == rack;
    if (isSame)
        return false;
    setRack(worker, rack);
    if (record.isKnown)
        countCapacity(record.capacity, false);
    else
        ++m_knownCount;
    countCapacity(capacity, true);
    m_total += capacity - record.capacity;
    record.free += capacity - record.capacity;
    record.capacity = capacity;
    record.isKnown = true;
    record.isLeaving = isLeaving;
    reindex(worker);
    return true;
}

void WorkerTable::setRack(WorkerIndex worker, const RackId& rack)
{
    const RackIndex index = m_racks.intern(rack);
    if (index == m_rackWorkers.size())
        m_rackWorkers.emplace_back();
    std::vector<WorkerIndex>& current = m_rackWorkers[m_records[worker].rack];
    std::erase(current, worker);
    m_records[worker].rack = index;
    m_rackWorkers[index].push_back(worker);
}

void WorkerTable::remove(WorkerIndex worker)
{
    PlacementWorker& record = m_records[worker];
    if (!record.isKnown)
        return;
    --m_knownCount;
    countCapacity(record.capacity, false);
    m_total -= record.capacity;
    // The failure score is kept, because a restart doesn't make a worker more reliable.
    record.free -= record.capacity;
    record.capacity = {};
    record.isKnown = false;
    std::erase(m_rackWorkers[record.rack], worker);
    reindex(worker);
}

void WorkerTable::reindex(WorkerIndex worker)
{
    const PlacementWorker& record = m_records[worker];
    const bool hasAccelerators = record.acceptsTasks() && record.unreserved().accelerators.count() > 0;
    if (!record.acceptsTasks()) {
        m_withoutAccelerators.remove(worker);
        m_outsideAcceleratorReserve.remove(worker);
        m_withAccelerators.remove(worker);
        return;
    }
    const Resources open = availableFor(worker, {});
    if (hasAccelerators) {
        m_withoutAccelerators.remove(worker);
        m_outsideAcceleratorReserve.insertOrMove(worker, open);
        m_withAccelerators.insertOrMove(worker, record.unreserved());
        return;
    }
    m_outsideAcceleratorReserve.remove(worker);
    m_withAccelerators.remove(worker);
    m_withoutAccelerators.insertOrMove(worker, open);
}

Resources WorkerTable::acceleratorReserve(const PlacementWorker& record) const
{
    const int64_t free = record.unreserved().accelerators.count();
    if (!m_protectsAccelerators || free <= 0)
        return {};
    // Half of the proportional share of each free accelerator: enough to start most accelerator tasks, while the other
    // half remains usable for other tasks.
    const int64_t divisor = 2 * record.capacity.accelerators.count();
    return { Millicores(record.capacity.millicores.count() * free / divisor),
        Mebibytes(record.capacity.mebibytes.count() * free / divisor), {} };
}

void WorkerTable::countCapacity(const Resources& capacity, bool isAdded)
{
    const auto same = std::find_if(m_capacityClasses.begin(), m_capacityClasses.end(),
        [&](const CapacityClass& entry) { return entry.capacity == capacity; });
    if (isAdded && same == m_capacityClasses.end())
        m_capacityClasses.push_back({ capacity, 1 });
    else if (isAdded)
        ++same->workers;
    else if (!--same->workers)
        m_capacityClasses.erase(same);
}

double WorkerTable::dominantShare(const Resources& part) const
{
    const auto share = [](int64_t some, int64_t all) { return all > 0 ? static_cast<double>(some) / all : 0; };
    return std::max({ share(part.millicores.count(), m_total.millicores.count()),
        share(part.mebibytes.count(), m_total.mebibytes.count()),
        share(part.accelerators.count(), m_total.accelerators.count()) });
}

} // namespace hickoryknot
