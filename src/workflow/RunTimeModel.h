#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/Error.h"
#include "core/Time.h"
#include "workflow/FinishedRun.h"
#include "workflow/ResidualHistogram.h"
#include "workflow/RunTimeEstimate.h"

namespace hickoryknot::workflow {

/// Learns from finished runs how long work takes and how fast workers are, for callers whose estimates are far off and
/// workers that differ in speed without reporting it. Without samples it returns the declared estimate and speed 1.
///
/// log(run time) = f(log(declared)) - log(speed of the worker) + residual, where f is a regression line for each kind
/// of work that starts as the identity. Its state is bounded. Deterministic and not thread-safe.
class RunTimeModel {
public:
    /// Kinds and workers beyond these numbers replace those without samples for longest.
    static constexpr size_t maxKinds = 256;
    static constexpr size_t maxWorkers = 2048;

    /// Ignores runs without a worker and censored ones of several workers.
    void recordEnd(const FinishedRun&, TimePoint now);

    /// Expected run time on a worker of speed 1.
    RunTimeEstimate expectedRunTime(const WorkKind&, Duration declared) const;

    /// Work that the worker does per unit of time; 1 is usual. 1 if it is not known.
    double speedOf(const WorkerIncarnation&) const;
    /// Speeds of the known workers; 1 without any.
    struct SpeedRange {
        double slowest { 1 };
        double fastest { 1 };
    };
    SpeedRange speedRange() const;

    /// How well estimates have matched the run times of late.
    struct Accuracy {
        /// Median of |log(estimate / run time)|.
        double declaredError { 0 };
        double learnedError { 0 };
        /// Sums over all complete runs since the leadership began.
        Duration expected { 0 };
        Duration actual { 0 };
        uint64_t runs { 0 };
    };
    Accuracy accuracy() const;
    /// Increases with each sample.
    uint64_t revision() const { return m_revision; }

    /// Summary for the replicated record, from which restore() continues: at most 32 kinds and 1,024 workers, those
    /// with the latest samples.
    std::string summary() const;
    /// Corrupt: not a summary; the model is then empty. An empty text is a summary of an empty model.
    Expected<void> restore(std::string_view summary, TimePoint now);

private:
    struct Kind {
        Kind();

        // Weighted moments of x = log(declared) and of d = log(run time at speed 1) - x.
        double weight { 0 };
        double meanX { 0 };
        double meanD { 0 };
        double sumXX { 0 };
        double sumXD { 0 };
        /// Of the clipped residuals.
        double varianceWeight;
        double varianceSum;
        ResidualHistogram residuals;
        uint64_t lastUse { 0 };

        double variance() const { return varianceSum / varianceWeight; }
        /// Expected d at x.
        double offsetAt(double x) const;
        void add(double x, double d, double sampleWeight);
    };
    struct Worker {
        double precision { 0 };
        double sum { 0 }; // Of log(speed), weighted by precision.
        TimePoint lastAt;
        uint64_t lastUse { 0 };
    };

    /// Variance of log(speed) between workers before it is known: most within a factor of 1.6.
    static constexpr double priorSpeedVariance = 0.06;

    static uint64_t keyOf(const WorkerIncarnation&);
    double logSpeedOf(const Worker&) const;
    double uncertaintyOf(const Worker& worker) const { return 1 / (worker.precision + 1 / m_speedVariance); }
    const Worker* find(const WorkerIncarnation&) const;
    void addToWorker(const WorkerIncarnation&, double logSpeed, double variance, TimePoint now);
    void normalise();
    template <typename Map> static void evictOldest(Map&, size_t limit);

    std::map<WorkKind, Kind> m_kinds;
    std::map<uint64_t, Worker> m_workers; // By hash of the incarnation.
    double m_speedVariance { priorSpeedVariance }; // Of log(speed) between workers.
    uint64_t m_revision { 0 };
    ResidualHistogram m_declaredErrors;
    ResidualHistogram m_learnedErrors;
    Duration m_expected { 0 };
    Duration m_actual { 0 };
    uint64_t m_runs { 0 };
};

} // namespace hickoryknot::workflow
