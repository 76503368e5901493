#include "workflow/RunTimeModel.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "core/Hash.h"
#include "state/FieldReader.h"
#include "state/FieldWriter.h"

namespace hickoryknot::workflow {

namespace {

/// Shorter times are treated as this long, because the reports of workers are no more precise.
constexpr Duration shortestTime = 1ms;
/// Variance of log(run time) before samples: estimates are off by up to a factor of three.
constexpr double priorVariance = 0.36;
/// Weight of that variance in samples.
constexpr double priorVarianceWeight = 2;
/// Weight of the declared estimate against the samples of a kind.
constexpr double declaredWeight = 1;
/// Ridge of the regression's slope as a multiple of the variance, which keeps the declared estimate while the samples
/// say nothing about it.
constexpr double slopeRidge = 2;
/// The slope of d: at -1 the declared estimate has no influence.
constexpr double minSlope = -1;
constexpr double maxSlope = 0.5;
/// Residuals count at most as this many standard deviations, so that runs that take several times as long do not move
/// the median.
constexpr double clipDeviations = 2.5;
/// The same for a worker, of which there are only a few samples.
constexpr double clipWorkerDeviations = 2;
/// Old samples of a kind fade by this factor with each new one: a memory of 200 runs, a few seconds of a busy queue.
constexpr double kindMemory = 1 - 1.0 / 200;
/// The same for a worker: 40 runs, some 40 s in a busy deployment.
constexpr double workerMemory = 1 - 1.0 / 40;
/// Time after which the samples of a worker have lost half of their weight, for workers with few runs.
constexpr Duration workerHalfLife = 300s;
/// Errors of estimates are reported over about this many runs.
constexpr double errorMemory = 1 - 1.0 / 1000;
/// Weight, in workers, of the variance of log(speed) that is assumed before it is known.
constexpr double priorSpeedWorkers = 5;
constexpr double minSpeedVariance = 0.0004;
constexpr double maxSpeedVariance = 1;
/// Samples between two normalisations, which look at all workers; fewer while the speeds are still being found out.
constexpr uint64_t normalisationInterval = 64;
constexpr uint64_t firstNormalisationInterval = 8;
/// The high quantile; what is beyond is a straggler.
constexpr double highFraction = 0.95;
/// Samples from which the histogram tells that quantile. Until then it is taken from the variance.
constexpr double minHistogramWeight = 20;
constexpr double highDeviations = 1.65;
/// Samples from which the histogram tells what becomes of a censored run.
constexpr double minCensoringWeight = 5;
/// Predictions stay in a range that durations can hold.
constexpr Duration longestTime = std::chrono::hours(24 * 365);

// Limits and units of the summary.
constexpr uint64_t summaryVersion = 1;
constexpr size_t maxSummaryKinds = 32;
constexpr size_t maxSummaryWorkers = 1024;
constexpr double fixedPoint = 1e6;
constexpr double speedUnit = 1e-3;
constexpr double precisionStepsPerOctave = 8;
constexpr size_t workerBytes = 11; // Eight of the hash, two of log(speed), one of the precision.
constexpr double maxMagnitude = 1e6; // Of any sum in a summary.

double logOf(Duration time) { return std::log(static_cast<double>(std::max(time, shortestTime).count())); }

Duration timeOf(double logTime)
{
    return Duration(static_cast<int64_t>(std::exp(std::min(logTime, logOf(longestTime)))));
}

int64_t toFixed(double value) { return std::llround(value * fixedPoint); }

void putLittleEndian(std::string& bytes, uint64_t value, size_t size)
{
    for (size_t i = 0; i < size; ++i)
        bytes.push_back(static_cast<char>(value >> (8 * i)));
}

uint64_t getLittleEndian(std::string_view bytes, size_t at, size_t size)
{
    uint64_t value = 0;
    for (size_t i = 0; i < size; ++i)
        value |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
    return value;
}

} // namespace

RunTimeModel::Kind::Kind()
    : varianceWeight(priorVarianceWeight)
    , varianceSum(priorVarianceWeight * priorVariance)
{
}

double RunTimeModel::Kind::offsetAt(double x) const
{
    if (weight <= 0)
        return 0;
    const double slope = std::clamp(sumXD / (sumXX + slopeRidge * variance()), minSlope, maxSlope);
    return meanD * weight / (weight + declaredWeight) + slope * (x - meanX);
}

void RunTimeModel::Kind::add(double x, double d, double sampleWeight)
{
    weight *= kindMemory;
    sumXX *= kindMemory;
    sumXD *= kindMemory;
    const double next = weight + sampleWeight;
    const double dx = x - meanX;
    const double dd = d - meanD;
    sumXX += sampleWeight * weight / next * dx * dx;
    sumXD += sampleWeight * weight / next * dx * dd;
    meanX += sampleWeight / next * dx;
    meanD += sampleWeight / next * dd;
    weight = next;
}

uint64_t RunTimeModel::keyOf(const WorkerIncarnation& incarnation)
{
    std::string text = incarnation.worker.value();
    text += '\0';
    text += incarnation.address;
    putLittleEndian(text, static_cast<uint64_t>(incarnation.startTimeMs), sizeof incarnation.startTimeMs);
    return hashBytes(text);
}

double RunTimeModel::logSpeedOf(const Worker& worker) const { return worker.sum * uncertaintyOf(worker); }

const RunTimeModel::Worker* RunTimeModel::find(const WorkerIncarnation& incarnation) const
{
    const auto found = m_workers.find(keyOf(incarnation));
    return found == m_workers.end() ? nullptr : &found->second;
}

template <typename Map> void RunTimeModel::evictOldest(Map& map, size_t limit)
{
    if (map.size() <= limit)
        return;
    map.erase(std::min_element(
        map.begin(), map.end(), [](const auto& a, const auto& b) { return a.second.lastUse < b.second.lastUse; }));
}

void RunTimeModel::recordEnd(const FinishedRun& run, TimePoint now)
{
    const bool isGang = run.workers.size() > 1;
    if (run.workers.empty() || (isGang && !run.isComplete))
        return;
    ++m_revision;
    double logSpeed = 0;
    double uncertainty = m_speedVariance;
    for (size_t i = 0; i < run.workers.size(); ++i) {
        const Worker* worker = find(run.workers[i]);
        const double candidate = worker ? logSpeedOf(*worker) : 0;
        if (i && candidate >= logSpeed)
            continue;
        logSpeed = candidate;
        uncertainty = worker ? uncertaintyOf(*worker) : m_speedVariance;
    }
    Kind& kind = m_kinds[run.kind];
    kind.lastUse = m_revision;
    evictOldest(m_kinds, maxKinds);

    const double x = logOf(run.declared);
    const double y = logOf(run.ran);
    const double offset = kind.offsetAt(x);
    const double variance = kind.variance();
    // The kind's own offset is uncertain until it has samples.
    const double kindVariance = variance + priorVariance / (1 + kind.weight);
    double residual = y + logSpeed - (x + offset);
    const bool tellsSpeed = !isGang && (run.isComplete || residual > 0);
    if (run.isComplete) {
        m_declaredErrors.fade(errorMemory);
        m_declaredErrors.add(std::abs(y - x), 1);
        m_learnedErrors.fade(errorMemory);
        m_learnedErrors.add(std::abs(residual), 1);
        m_expected += timeOf(x + offset - logSpeed);
        m_actual += run.ran;
        ++m_runs;
        kind.residuals.fade(kindMemory);
        kind.residuals.add(residual, 1);
    } else {
        const bool isKnown = kind.residuals.total() >= minCensoringWeight;
        const double expected = isKnown ? kind.residuals.meanAbove(residual) : std::max(residual, 0.0);
        kind.residuals.fade(kindMemory);
        kind.residuals.addCensored(residual, 1);
        residual = expected;
    }

    const double kindClip = clipDeviations * std::sqrt(variance + uncertainty);
    const double clipped = std::clamp(residual, -kindClip, kindClip);
    kind.varianceWeight = kind.varianceWeight * kindMemory + 1;
    const double ownClip = clipDeviations * std::sqrt(variance);
    const double own = std::clamp(residual, -ownClip, ownClip);
    kind.varianceSum = kind.varianceSum * kindMemory + own * own;
    kind.add(x, offset + clipped, variance / (variance + uncertainty));
    if (tellsSpeed) {
        const double workerClip = clipWorkerDeviations * std::sqrt(kindVariance + uncertainty);
        addToWorker(run.workers.front(), logSpeed - std::clamp(residual, -workerClip, workerClip), kindVariance, now);
    }
    if (m_revision % (m_revision < normalisationInterval ? firstNormalisationInterval : normalisationInterval) == 0)
        normalise();
}

void RunTimeModel::addToWorker(const WorkerIncarnation& incarnation, double logSpeed, double variance, TimePoint now)
{
    Worker& worker = m_workers[keyOf(incarnation)];
    worker.lastUse = m_revision;
    const double age = std::max(0.0, static_cast<double>((now - worker.lastAt).count()));
    const double memory = workerMemory * std::exp2(-age / static_cast<double>(workerHalfLife.count()));
    worker.precision = worker.precision * memory + 1 / variance;
    worker.sum = worker.sum * memory + logSpeed / variance;
    worker.lastAt = now;
    evictOldest(m_workers, maxWorkers);
}

// Moves a common factor of all speeds to the kinds of work, and learns how much workers differ: if they do not, the
// speed of each stays close to 1 even when its few runs were short or long.
void RunTimeModel::normalise()
{
    if (m_workers.empty())
        return;
    double sum = 0;
    for (const auto& [key, worker] : m_workers)
        sum += logSpeedOf(worker);
    const double mean = sum / static_cast<double>(m_workers.size());
    for (auto& [key, worker] : m_workers)
        worker.sum -= mean / uncertaintyOf(worker);
    for (auto& [key, kind] : m_kinds) {
        if (kind.weight > 0)
            kind.meanD -= mean * (kind.weight + declaredWeight) / kind.weight;
    }
    double weights = 0;
    double squares = 0;
    for (const auto& [key, worker] : m_workers) {
        const double noise = 1 / worker.precision;
        const double weight = 1 / ((noise + m_speedVariance) * (noise + m_speedVariance));
        const double logSpeed = worker.sum * noise;
        weights += weight;
        squares += weight * (logSpeed * logSpeed - noise);
    }
    const double priorWeight = priorSpeedWorkers * weights / static_cast<double>(m_workers.size());
    m_speedVariance = std::clamp(
        (squares + priorWeight * priorSpeedVariance) / (weights + priorWeight), minSpeedVariance, maxSpeedVariance);
}

RunTimeEstimate RunTimeModel::expectedRunTime(const WorkKind& work, Duration declared) const
{
    const auto found = m_kinds.find(work);
    if (found == m_kinds.end() || found->second.weight <= 0)
        return { .median = declared, .high = declared };
    const Kind& kind = found->second;
    const double x = logOf(declared);
    const double median = x + kind.offsetAt(x);
    const double spread = kind.residuals.total() >= minHistogramWeight ? kind.residuals.quantile(highFraction)
                                                                       : highDeviations * std::sqrt(kind.variance());
    return { .median = timeOf(median), .high = timeOf(median + std::max(spread, 0.0)) };
}

double RunTimeModel::speedOf(const WorkerIncarnation& incarnation) const
{
    const Worker* worker = find(incarnation);
    return worker ? std::exp(logSpeedOf(*worker)) : 1;
}

RunTimeModel::SpeedRange RunTimeModel::speedRange() const
{
    if (m_workers.empty())
        return {};
    const auto [slowest, fastest] = std::minmax_element(m_workers.begin(), m_workers.end(),
        [&](const auto& a, const auto& b) { return logSpeedOf(a.second) < logSpeedOf(b.second); });
    return { .slowest = std::exp(logSpeedOf(slowest->second)), .fastest = std::exp(logSpeedOf(fastest->second)) };
}

RunTimeModel::Accuracy RunTimeModel::accuracy() const
{
    return { .declaredError = m_declaredErrors.quantile(0.5),
        .learnedError = m_learnedErrors.quantile(0.5),
        .expected = m_expected,
        .actual = m_actual,
        .runs = m_runs };
}

std::string RunTimeModel::summary() const
{
    // The latest ones, in the order of their keys.
    const auto latest = [](const auto& map, size_t limit) {
        using Entry = typename std::remove_cvref_t<decltype(map)>::value_type;
        std::vector<const Entry*> entries;
        entries.reserve(map.size());
        for (const auto& entry : map)
            entries.push_back(&entry);
        if (entries.size() > limit) {
            std::nth_element(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(limit), entries.end(),
                [](const Entry* a, const Entry* b) { return a->second.lastUse > b->second.lastUse; });
            entries.resize(limit);
            std::sort(
                entries.begin(), entries.end(), [](const Entry* a, const Entry* b) { return a->first < b->first; });
        }
        return entries;
    };
    FieldWriter writer;
    const auto kinds = latest(m_kinds, maxSummaryKinds);
    writer(summaryVersion, toFixed(m_speedVariance), static_cast<uint64_t>(kinds.size()));
    for (const auto* entry : kinds) {
        const auto& [work, kind] = *entry;
        writer(work.queue, work.image, static_cast<uint64_t>(work.isGang), toFixed(kind.weight), toFixed(kind.meanX),
            toFixed(kind.meanD), toFixed(kind.sumXX), toFixed(kind.sumXD), toFixed(kind.varianceWeight),
            toFixed(kind.varianceSum), toFixed(kind.residuals.total()));
        std::string histogram;
        for (const uint16_t weight : kind.residuals.pack())
            putLittleEndian(histogram, weight, sizeof weight);
        writer(histogram);
    }
    std::string workers;
    for (const auto* entry : latest(m_workers, maxSummaryWorkers)) {
        const auto& [key, worker] = *entry;
        putLittleEndian(workers, key, sizeof key);
        const double logSpeed = std::clamp(worker.sum / worker.precision / speedUnit, -32e3, 32e3);
        putLittleEndian(workers, static_cast<uint16_t>(static_cast<int16_t>(std::lround(logSpeed))), sizeof(int16_t));
        const double steps = precisionStepsPerOctave * std::log2(1 + worker.precision);
        putLittleEndian(workers, static_cast<uint8_t>(std::clamp<int64_t>(std::lround(steps), 1, UINT8_MAX)), 1);
    }
    writer(workers);
    return writer.finish();
}

Expected<void> RunTimeModel::restore(std::string_view summary, TimePoint now)
{
    *this = {};
    if (summary.empty())
        return {};
    RunTimeModel restored;
    FieldReader reader(summary);
    const auto readFixed = [&](double& value) {
        int64_t fixed = 0;
        reader(fixed);
        value = static_cast<double>(fixed) / fixedPoint;
        if (std::abs(value) > maxMagnitude)
            reader.fail();
    };
    uint64_t version = 0;
    uint64_t kinds = 0;
    reader(version);
    readFixed(restored.m_speedVariance);
    reader(kinds);
    if (version != summaryVersion || kinds > maxSummaryKinds || restored.m_speedVariance < minSpeedVariance
        || restored.m_speedVariance > maxSpeedVariance)
        reader.fail();
    for (uint64_t i = 0; i < kinds && reader.isOk(); ++i) {
        WorkKind work;
        Kind kind;
        uint64_t isGang = 0;
        double total = 0;
        std::string histogram;
        reader(work.queue, work.image, isGang);
        work.isGang = isGang;
        for (double* value : { &kind.weight, &kind.meanX, &kind.meanD, &kind.sumXX, &kind.sumXD, &kind.varianceWeight,
                 &kind.varianceSum, &total })
            readFixed(*value);
        reader(histogram);
        std::array<uint16_t, ResidualHistogram::bins> packed {};
        const bool isValid = histogram.size() == packed.size() * sizeof packed[0] && isGang <= 1 && kind.weight >= 0
            && kind.sumXX >= 0 && kind.varianceWeight > 0 && kind.varianceSum > 0 && total >= 0;
        if (!isValid) {
            reader.fail();
            break;
        }
        for (size_t bin = 0; bin < packed.size(); ++bin)
            packed[bin] = static_cast<uint16_t>(getLittleEndian(histogram, bin * sizeof packed[0], sizeof packed[0]));
        kind.residuals.unpack(packed, total);
        restored.m_kinds.insert_or_assign(std::move(work), kind);
    }
    std::string workers;
    reader(workers);
    if (workers.size() % workerBytes || workers.size() > maxSummaryWorkers * workerBytes)
        reader.fail();
    if (auto finished = reader.finish(); !finished)
        return finished;
    for (size_t at = 0; at < workers.size(); at += workerBytes) {
        Worker worker;
        const auto logSpeed = static_cast<int16_t>(getLittleEndian(workers, at + 8, sizeof(int16_t)));
        const auto steps = static_cast<double>(std::max<uint64_t>(1, getLittleEndian(workers, at + 10, 1)));
        worker.precision = std::exp2(steps / precisionStepsPerOctave) - 1;
        worker.sum = logSpeed * speedUnit * worker.precision;
        worker.lastAt = now;
        restored.m_workers.insert_or_assign(getLittleEndian(workers, at, 8), worker);
    }
    *this = std::move(restored);
    return {};
}

} // namespace hickoryknot::workflow
