#include "core/Hash.h"
#include "state/StateFields.h"
#include "state/ZoneState.h"

namespace hickoryknot {

namespace {

// Incremented when the snapshot layout changes.
constexpr uint64_t snapshotFormat = 1;

} // namespace

std::string ZoneState::snapshot() const
{
    FieldWriter writer;
    writer(snapshotFormat, m_zone, static_cast<uint64_t>(m_data.jobs.size()));
    for (const auto& [number, job] : m_data.jobs)
        writer(job);
    writer(m_data.workers);
    m_data.requests.write(writer);
    writer(m_data.nextJob, m_data.nextEpoch, m_data.cutOffVersion, m_data.cellRevision, m_data.nowMs);
    return writer.finish();
}

Expected<void> ZoneState::restore(std::string_view snapshot)
{
    FieldReader reader(snapshot);
    Data data;
    uint64_t format = 0;
    uint64_t jobs = 0;
    ZoneId zone;
    reader(format, zone, jobs);
    if (format != snapshotFormat || zone != m_zone)
        reader.fail();
    for (uint64_t i = 0; i < jobs && reader.isOk(); ++i) {
        ZoneJob job;
        reader(job);
        const JobNumber number = job.number;
        data.jobs.insert_or_assign(number, std::move(job));
    }
    reader(data.workers);
    data.requests.read(reader);
    reader(data.nextJob, data.nextEpoch, data.cutOffVersion, data.cellRevision, data.nowMs);
    // The worker index of an assigned task must be in range, since it is used without a check.
    for (const auto& [number, job] : data.jobs) {
        for (const auto& task : job.tasks) {
            if (task.phase == TaskPhase::Assigned && task.worker >= data.workers.size())
                reader.fail();
        }
    }
    if (auto finished = reader.finish(); !finished)
        return finished;
    m_data = std::move(data);
    rebuildIndexes();
    return {};
}

uint64_t ZoneState::digest() const
{
    const auto bytes = snapshot();
    return hashBytes(bytes);
}

} // namespace hickoryknot
