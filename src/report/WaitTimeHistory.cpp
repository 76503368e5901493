#include "report/WaitTimeHistory.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

#include "report/ByteCodec.h"

namespace hickoryknot {

namespace {

constexpr std::string_view magic = "HKBURN1";
// Number of minutes that are encoded individually: covers the windows of 5 minutes and 1 hour, plus 12 minutes for slow
// responses.
constexpr WallMinute fineMinutes = 72;
constexpr WallMinute coarseMinutes = 5;
// How far the wall clock of another host may be ahead.
constexpr WallMinute maxClockSkewMinutes = 5;
constexpr uint64_t maxMinute = uint64_t(1) << 40;
constexpr uint64_t maxDurationMicros = uint64_t(1) << 50;
constexpr size_t checksumBytes = 8;

WallMinute minuteOf(WallTime time) { return std::chrono::floor<std::chrono::minutes>(time).time_since_epoch().count(); }

WallMinute hourOf(WallMinute minute) { return minute / 60; }

size_t waitBucketOf(Duration waited)
{
    size_t index = 0;
    while (index + 1 < WaitTimeHistory::waitBuckets && waited > WaitTimeHistory::waitBucketUpperBound(index))
        ++index;
    return index;
}

// Counters saturate instead of wrapping around.
void saturatingAdd(uint32_t& count, uint64_t by)
{
    count = static_cast<uint32_t>(std::min<uint64_t>(count + by, std::numeric_limits<uint32_t>::max()));
}

std::string checksum(std::string_view bytes)
{
    XXH64_canonical_t canonical;
    XXH64_canonicalFromHash(&canonical, XXH3_64bits(bytes.data(), bytes.size()));
    return { reinterpret_cast<const char*>(canonical.digest), checksumBytes };
}

} // namespace

Duration WaitTimeHistory::waitBucketUpperBound(size_t index)
{
    return index + 1 < waitBuckets ? Duration(1ms) * (int64_t(1) << index) : Duration::max();
}

WaitTimeHistory::RowBuckets* WaitTimeHistory::rowFor(const RowName& row)
{
    const auto found = m_rows.find(row);
    if (found != m_rows.end())
        return &found->second;
    if (m_rows.size() >= maxRows)
        return nullptr;
    RowBuckets& added = m_rows[row];
    added.perMinute.resize(minutes);
    added.perHour.resize(hours);
    return &added;
}

const WaitTimeHistory::RowBuckets* WaitTimeHistory::find(const RowName& row) const
{
    const auto found = m_rows.find(row);
    return found == m_rows.end() ? nullptr : &found->second;
}

// Advances the rings to a minute. Returns false if the minute is older than the retained span.
bool WaitTimeHistory::advance(RowBuckets& row, WallMinute minute)
{
    constexpr auto retained = static_cast<WallMinute>(minutes);
    if (minute <= row.newest)
        return minute > row.newest - retained;
    const WallMinute clearFrom = std::max(row.newest + 1, minute - retained + 1);
    for (WallMinute cleared = clearFrom; cleared <= minute; ++cleared)
        row.perMinute[static_cast<size_t>(cleared) % minutes] = {};
    const WallMinute clearHour = std::max(hourOf(row.newest) + 1, hourOf(minute) - static_cast<WallMinute>(hours) + 1);
    for (WallMinute cleared = clearHour; cleared <= hourOf(minute); ++cleared)
        row.perHour[static_cast<size_t>(cleared) % hours] = {};
    row.newest = minute;
    return true;
}

bool WaitTimeHistory::isRetained(const RowBuckets& row, WallMinute minute)
{
    return minute <= row.newest && minute > row.newest - static_cast<WallMinute>(minutes) && minute >= 0;
}

WaitTimeHistory::Minute WaitTimeHistory::at(const RowBuckets& row, WallMinute minute)
{
    return isRetained(row, minute) ? row.perMinute[static_cast<size_t>(minute) % minutes] : Minute {};
}

void WaitTimeHistory::add(RowBuckets& row, WallMinute minute, Minute counts)
{
    if (!advance(row, minute))
        return;
    Minute& bucket = row.perMinute[static_cast<size_t>(minute) % minutes];
    saturatingAdd(bucket.total, counts.total);
    saturatingAdd(bucket.late, counts.late);
}

void WaitTimeHistory::addWaits(RowBuckets& row, WallMinute minute, const WaitCounts& counts)
{
    if (!advance(row, minute))
        return;
    WaitCounts& bucket = row.perHour[static_cast<size_t>(hourOf(minute)) % hours];
    for (size_t i = 0; i < waitBuckets; ++i)
        saturatingAdd(bucket[i], counts[i]);
}

void WaitTimeHistory::record(const RowName& name, Duration targetWait, Duration waited, bool hasStarted, WallTime now)
{
    RowBuckets* row = rowFor(name);
    const WallMinute minute = minuteOf(now);
    if (!row || minute < 0)
        return;
    // If the wall clock was set back by more than a day, the row is reset, since its new records would be ignored
    // otherwise.
    if (minute + static_cast<WallMinute>(minutes) <= row->newest) {
        std::ranges::fill(row->perMinute, Minute {});
        std::ranges::fill(row->perHour, WaitCounts {});
        row->newest = minute;
    }
    row->targetWait = targetWait;
    add(*row, minute, { 1, !hasStarted || waited > targetWait ? 1U : 0U });
    WaitCounts waits {};
    waits[waitBucketOf(waited)] = 1;
    addWaits(*row, minute, waits);
}

void WaitTimeHistory::merge(const WaitTimeHistory& other, WallTime now)
{
    const WallMinute last = minuteOf(now) + maxClockSkewMinutes;
    const WallMinute first = minuteOf(now) - static_cast<WallMinute>(minutes) + 1;
    for (const auto& [name, otherRow] : other.m_rows) {
        RowBuckets* row = rowFor(name);
        if (!row)
            continue;
        if (row->targetWait == 0us)
            row->targetWait = otherRow.targetWait;
        for (WallMinute minute = first; minute <= last; ++minute) {
            const Minute counts = at(otherRow, minute);
            if (counts.total)
                add(*row, minute, counts);
        }
        for (WallMinute hour = hourOf(first); hour <= hourOf(last); ++hour) {
            const bool isRetainedHour = hour > hourOf(otherRow.newest) - static_cast<WallMinute>(hours);
            if (hour >= 0 && isRetainedHour && hour <= hourOf(otherRow.newest))
                addWaits(*row, std::min(hour * 60 + 59, last), otherRow.perHour[static_cast<size_t>(hour) % hours]);
        }
    }
}

WaitTimeHistory::WaitCounts WaitTimeHistory::waitsOf(const RowBuckets& row, WallMinute now)
{
    WaitCounts sum {};
    const WallMinute newestHour = hourOf(row.newest);
    for (WallMinute hour = std::max<WallMinute>(newestHour - static_cast<WallMinute>(hours) + 1, 0); hour <= newestHour;
         ++hour) {
        if (hour <= hourOf(now) - static_cast<WallMinute>(hours))
            continue;
        const WaitCounts& counts = row.perHour[static_cast<size_t>(hour) % hours];
        for (size_t i = 0; i < waitBuckets; ++i)
            saturatingAdd(sum[i], counts[i]);
    }
    return sum;
}

StartCounts WaitTimeHistory::sum(const RowName& name, size_t length, size_t ago, WallTime now) const
{
    StartCounts sum;
    const RowBuckets* row = find(name);
    if (!row)
        return sum;
    const WallMinute last = minuteOf(now) - static_cast<WallMinute>(ago);
    for (WallMinute minute = last - static_cast<WallMinute>(length) + 1; minute <= last; ++minute) {
        const Minute counts = at(*row, minute);
        sum.total += counts.total;
        sum.late += counts.late;
    }
    return sum;
}

std::array<uint64_t, WaitTimeHistory::waitBuckets> WaitTimeHistory::waits(const RowName& name, WallTime now) const
{
    std::array<uint64_t, waitBuckets> waits {};
    if (const RowBuckets* row = find(name))
        std::ranges::copy(waitsOf(*row, minuteOf(now)), waits.begin());
    return waits;
}

Duration WaitTimeHistory::targetWait(const RowName& name) const
{
    const RowBuckets* row = find(name);
    return row ? row->targetWait : Duration(0);
}

std::vector<RowName> WaitTimeHistory::rows() const
{
    std::vector<RowName> names;
    for (const auto& [name, row] : m_rows)
        names.push_back(name);
    return names;
}

std::string WaitTimeHistory::encode(WallTime now) const
{
    const WallMinute newest = minuteOf(now) + maxClockSkewMinutes;
    const WallMinute oldest = minuteOf(now) - static_cast<WallMinute>(minutes) + 1;
    const WallMinute fineFrom = minuteOf(now) - fineMinutes;
    ByteWriter writer;
    writer.writeVarint(m_rows.size());
    for (const auto& [name, row] : m_rows) {
        // A bucket of five minutes has the number of its first minute, a multiple of five on every host.
        std::map<WallMinute, StartCounts> spans;
        for (WallMinute minute = oldest; minute <= newest; ++minute) {
            const Minute counts = at(row, minute);
            if (!counts.total)
                continue;
            StartCounts& span = spans[minute > fineFrom ? minute : minute - minute % coarseMinutes];
            span.total += counts.total;
            span.late += counts.late;
        }
        writer.writeString(name.value());
        writer.writeVarint(static_cast<uint64_t>(std::max<int64_t>(row.targetWait.count(), 0)));
        writer.writeVarint(static_cast<uint64_t>(std::max<WallMinute>(row.newest, 0)));
        writer.writeVarint(spans.size());
        WallMinute previous = 0;
        for (const auto& [minute, span] : spans) {
            writer.writeVarint(static_cast<uint64_t>(minute - previous));
            writer.writeVarint(span.total);
            writer.writeVarint(span.late);
            previous = minute;
        }
        for (const uint32_t count : waitsOf(row, minuteOf(now)))
            writer.writeVarint(count);
    }
    const std::string body = std::string(magic) + writer.bytes();
    return body + checksum(body);
}

Expected<WaitTimeHistory> WaitTimeHistory::decode(std::string_view bytes)
{
    const auto corrupt
        = [](const char* what) { return makeError(ErrorCode::Corrupt, std::string("wait time history: ") + what); };
    if (bytes.size() < magic.size() + checksumBytes || !bytes.starts_with(magic))
        return corrupt("header is missing or of another version");
    const std::string_view body = bytes.substr(0, bytes.size() - checksumBytes);
    if (checksum(body) != bytes.substr(body.size()))
        return corrupt("checksum mismatch");

    WaitTimeHistory buckets;
    ByteReader reader(body.substr(magic.size()));
    constexpr uint64_t maxCount = std::numeric_limits<uint32_t>::max();
    const uint64_t rowCount = reader.readVarint(maxRows);
    for (uint64_t i = 0; i < rowCount && reader.isValid(); ++i) {
        const RowName name { std::string(reader.readString(128)) };
        if (!RowName::isValid(name.value()))
            return corrupt("invalid row name");
        RowBuckets& row = *buckets.rowFor(name);
        row.targetWait = Duration(reader.readVarint(maxDurationMicros));
        row.newest = static_cast<WallMinute>(reader.readVarint(maxMinute));
        const uint64_t spans = reader.readVarint(minutes);
        WallMinute minute = 0;
        for (uint64_t span = 0; span < spans && reader.isValid(); ++span) {
            minute += static_cast<WallMinute>(reader.readVarint(maxMinute));
            const uint64_t total = reader.readVarint();
            const uint64_t late = reader.readVarint();
            if (minute > row.newest || late > total)
                return corrupt("bucket out of range");
            add(row, minute,
                { static_cast<uint32_t>(std::min(total, maxCount)), static_cast<uint32_t>(std::min(late, maxCount)) });
        }
        WaitCounts waits {};
        for (uint32_t& count : waits)
            count = static_cast<uint32_t>(reader.readVarint(maxCount));
        addWaits(row, row.newest, waits);
    }
    if (!reader.isValid() || !reader.isAtEnd())
        return corrupt("truncated data or trailing bytes");
    return buckets;
}

} // namespace hickoryknot
