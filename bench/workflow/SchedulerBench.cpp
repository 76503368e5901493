#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cxxopts.hpp>
#include <deque>
#include <map>
#include <random>

#include "core/Hash.h"
#include "workflow/SchedulerObserver.h"
#include "workflow/WorkflowScheduler.h"
#include "workflow/WorkflowState.h"

// Measures the processor time of the leader's decisions and state updates, without network and disk, for a number of
// workers and submissions per second, and how long workflows take; optionally with estimates that are far off, workers
// of unequal speed and run times with a heavy tail. Workers respond immediately; the permission service serves one call
// at a time for each calling host, so that steps wait for it as they do in a deployment.

namespace hickoryknot::workflow {

namespace {

/// Collects how long workflows took.
class BenchObserver final : public SchedulerObserver {
public:
    std::map<QueueName, std::vector<double>> seconds;
    int64_t firstAcceptedMs { 0 }; // Earlier workflows are not counted.

private:
    void onTasksPlaced(const StepRef&, size_t, size_t, Duration, Duration) override { }
    void onStopRequested(const RunRef&, const char*) override { }
    void onRunMoved(const RunRef&, const WorkerIncarnation&, bool) override { }
    void onRunEnded(const RunRef&, const WorkerIncarnation&, RunOutcome) override { }
    void onWorkflowEnded(const WorkflowRecord& record, Duration age) override
    {
        if (record.acceptedMs >= firstAcceptedMs)
            seconds[record.queue].push_back(std::chrono::duration<double>(age).count());
    }
};

struct Options {
    size_t workers;
    double load;
    size_t permissionHosts;
    /// Declared estimates are off by up to this factor, besides the variation of run times.
    double estimateFactor;
    /// Two thirds of the workers run at 0.7 of the usual speed and a third at 1.7.
    bool hasUnevenWorkers;
    /// One run in thirty takes seven times as long.
    bool hasTails;
    bool learnsRunTimes;
    /// Workflows that are accepted earlier do not count for the printed times.
    Duration warmUp;
    uint64_t seed;
};

constexpr double slowSpeed = 0.7;
constexpr double fastSpeed = 1.7;
constexpr uint64_t runsPerLongRun = 30;
constexpr int64_t longRunFactor = 7;
/// Time after the last submission in which the accepted work may end.
constexpr Duration maxDrainTime = 60s;

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<size_t>(at)];
}

struct Run {
    RunRef run;
    TimePoint endsAt;
};

struct Worker {
    WorkerProfile profile;
    double speed { 1 };
    std::map<TaskRef, Run> runs;
    std::vector<ReportedEnd> ended;
    uint64_t lastEnd { 0 };
    std::optional<PollRequest> poll;
    TimePoint pollUntil;
};

constexpr WallTime epoch { std::chrono::hours(24 * 365 * 50) };

Queue makeQueue(const char* name, uint32_t priority, Duration perCall, Duration perWorker)
{
    Queue queue;
    queue.name = QueueName(name);
    queue.callerHost = "host";
    queue.urlPrefix = std::string("/") + name + "/";
    queue.pool = PoolName("pool");
    queue.priority = priority;
    queue.maxAttempts = 4;
    queue.stretchPermille = 2200;
    queue.targetLatency = 1s;
    queue.callTimeout = 3s;
    queue.permission = { .isNeeded = true, .perCall = perCall, .perWorker = perWorker, .validity = 2500ms };
    return queue;
}

class Bench {
public:
    explicit Bench(const Options& options)
        : m_options(options)
        , m_load(options.load)
        , m_scheduler(settingsOf(options), m_state, m_observer)
        , m_random(options.seed)
        , m_hostsFreeAt(options.permissionHosts)
    {
        m_observer.firstAcceptedMs = (epoch + (m_now + options.warmUp).time_since_epoch()).time_since_epoch() / 1ms;
        QueueTable table;
        table.version = 1;
        table.queues = { makeQueue("lookup", 0, 7ms, 110us), makeQueue("gang", 1, 410ms, 5800us),
            makeQueue("batch", 2, 66ms, 940us) };
        table.pools = { { .name = PoolName("pool") } };
        m_state.apply(1, encodeCommands({ ReplaceTable { table } }));
        m_scheduler.becomeLeader(1, m_now, epoch);
        for (size_t i = 0; i < options.workers; ++i) {
            Worker worker;
            worker.profile.incarnation = { .worker = WorkerId("w" + std::to_string(i)),
                .startTimeMs = 1,
                .address = "10.0.0.1:" + std::to_string(i + 1) };
            worker.profile.pool = PoolName("pool");
            if (options.hasUnevenWorkers)
                worker.speed = i % 3 ? slowSpeed : fastSpeed;
            worker.profile.capacity
                = { .millicores = Millicores(16000), .mebibytes = Mebibytes(32768), .accelerators = {} };
            m_workers.emplace(worker.profile.incarnation, worker);
        }
    }

    void run(int seconds)
    {
        // The time for which a leader of many workers collects events between scheduling cycles.
        constexpr Duration tick = 10ms;
        for (Duration passed { 0 }; passed < seconds * Duration(1s); passed += tick) {
            if (passed % Duration(1500ms) < tick)
                report();
            submit(tick);
            advance(tick);
        }
        printCost(seconds);
        drain(tick);
        printTimes();
    }

private:
    static SchedulerSettings settingsOf(const Options& options)
    {
        SchedulerSettings settings;
        settings.learnsRunTimes = options.learnsRunTimes;
        return settings;
    }

    void advance(Duration tick)
    {
        m_now += tick;
        endDueRuns();
        respondToDuePermissionRequests();
        ++m_cycles;
        const auto began = std::chrono::steady_clock::now();
        auto output = m_scheduler.advance(m_now, epoch + m_now.time_since_epoch());
        auto commands = std::exchange(m_submissions, {});
        commands.insert(commands.end(), output.commands.begin(), output.commands.end());
        if (!commands.empty()) {
            m_state.apply(1, encodeCommands(commands));
            m_scheduler.onBatchCommitted(output.batch, m_now);
        }
        m_spent += std::chrono::steady_clock::now() - began;
        respond(output);
    }

    void printCost(int seconds) const
    {
        const double spent = std::chrono::duration<double>(m_spent).count();
        std::printf("workers %zu, load %.2f: %.3f of a processor, %.2f ms a cycle, %.0f starts/s, %zu steps wait\n",
            m_workers.size(), m_load, spent / seconds, spent / static_cast<double>(m_cycles) * 1e3,
            static_cast<double>(m_starts) / seconds, m_scheduler.readyStepCount());
    }

    bool isActive() const
    {
        return std::any_of(m_state.workflows().begin(), m_state.workflows().end(),
            [](const auto& item) { return item.second.isActive(); });
    }

    // Lets the accepted work end, so that late work counts too.
    void drain(Duration tick)
    {
        for (Duration passed { 0 }; passed < maxDrainTime && isActive(); passed += tick) {
            if (passed % Duration(1500ms) < tick)
                report();
            advance(tick);
        }
    }

    void printTimes() const
    {
        std::printf("median error of run times: factor %.2f for the declared estimate, %.2f for the expected time\n",
            std::exp(quantile(m_declaredErrors, 0.5)), std::exp(quantile(m_expectedErrors, 0.5)));
        for (const auto& [queue, seconds] : m_observer.seconds) {
            const double objective = objectiveOf(queue);
            const auto late
                = std::count_if(seconds.begin(), seconds.end(), [&](double taken) { return taken > objective; });
            std::printf("%s: %zu ended, acceptance to end p50 %.2f s, p90 %.2f s, %.1f%% late, %.0f%% of tasks on fast "
                        "workers\n",
                queue.value().c_str(), seconds.size(), quantile(seconds, 0.5), quantile(seconds, 0.9),
                100 * static_cast<double>(late) / static_cast<double>(seconds.size()),
                100 * m_startsOf.at(queue).first / m_startsOf.at(queue).second);
        }
        const auto active = std::count_if(m_state.workflows().begin(), m_state.workflows().end(),
            [](const auto& item) { return item.second.isActive(); });
        std::printf("%td not ended\n", active);
    }

    // The queue's objective for the usual run time of its work, in seconds.
    double objectiveOf(const QueueName& name) const
    {
        const Queue& queue = *m_state.table().find(name);
        const Duration objective
            = m_runTimeOf.at(name) * static_cast<int64_t>(queue.stretchPermille) / 1000 + queue.targetLatency;
        return std::chrono::duration<double>(objective).count();
    }

    // Evenly distributed, and the same whatever is decided.
    static double fractionOf(const std::string& text) { return static_cast<double>(hashBytes(text) % 10'000) / 10'000; }

    // The members of a gang take the same time: that of the slowest.
    Duration runTimeOf(const StartRunRequest& request, const StepSpec& step) const
    {
        const StepRef& ref = request.run.task.step;
        const auto variation = static_cast<int64_t>(std::hash<std::string>()(describe(ref)) % 50);
        Duration runTime = m_baseRunTimes.at(ref.workflow) * (75 + variation) / 100;
        const std::string unit = "tail " + (step.isGang ? describe(ref) : describe(request.run.task));
        if (m_options.hasTails && hashBytes(unit) % runsPerLongRun == 0)
            runTime *= longRunFactor;
        double speed = m_workers.at(request.incarnation).speed;
        if (step.isGang) {
            const auto& runs = m_scheduler.runController().runs();
            const RunRef first { .task = { .step = ref, .index = 0 }, .run = 0 };
            for (auto run = runs.lower_bound(first); run != runs.end() && run->first.task.step == ref; ++run)
                speed = std::min(speed, m_workers.at(run->second.incarnation).speed);
        }
        return Duration(std::llround(static_cast<double>(runTime.count()) / speed));
    }

    void report()
    {
        ++m_sequence;
        for (const auto& [incarnation, worker] : m_workers)
            m_scheduler.onWorkerReport(
                { .profile = worker.profile, .sequence = m_sequence, .clock = m_now.time_since_epoch() / 1ms }, m_now);
    }

    void submit(Duration tick)
    {
        struct Workload {
            const char* queue;
            double perSecond;
            uint32_t count;
            int64_t millicores;
            Duration runTime;
            bool isGang;
        };
        // Workload mix of the users' larger deployment with 350 workers.
        constexpr std::array workloads { Workload { "lookup", 137, 3, 2500, 640ms, false },
            Workload { "gang", 4.7, 20, 4500, 5s, true }, Workload { "batch", 9.84, 25, 1700, 2700ms, false } };
        for (const auto& workload : workloads) {
            const double expected = workload.perSecond * m_load * static_cast<double>(m_workers.size()) / 350
                * static_cast<double>(tick.count()) / 1e6;
            std::poisson_distribution<int> arrivals(expected);
            for (int left = arrivals(m_random); left; --left) {
                StepSpec step;
                step.count = workload.count;
                step.perTask = {
                    .millicores = Millicores(workload.millicores), .mebibytes = Mebibytes(1400), .accelerators = {}
                };
                const double error = 2 * fractionOf("estimate " + std::to_string(m_nextId)) - 1;
                step.estimatedRunTime = Duration(std::llround(
                    static_cast<double>(workload.runTime.count()) * std::pow(m_options.estimateFactor, error)));
                step.isGang = workload.isGang;
                step.isCheckpointing = !workload.isGang;
                submitWorkflow(workload.queue, step, workload.runTime);
            }
        }
    }

    void submitWorkflow(const char* queue, const StepSpec& step, Duration runTime)
    {
        AcceptWorkflow accept;
        char id[17];
        std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++m_nextId));
        accept.id = WorkflowId(id);
        m_baseRunTimes.emplace(accept.id, runTime);
        accept.queue = QueueName(queue);
        m_runTimeOf[accept.queue] = runTime;
        accept.pool = PoolName("pool");
        accept.maxAttempts = 4;
        accept.spec.command = std::string(2400, 'x');
        accept.acceptedMs = (epoch + m_now.time_since_epoch()).time_since_epoch() / 1ms;
        accept.spec.steps = { step };
        m_submissions.emplace_back(std::move(accept));
    }

    void endDueRuns()
    {
        for (auto& item : m_workers) {
            Worker& worker = item.second;
            std::erase_if(worker.runs, [&](const auto& entry) {
                if (entry.second.endsAt > m_now)
                    return false;
                worker.ended.push_back({ .number = ++worker.lastEnd,
                    .run = entry.second.run,
                    .outcome = RunOutcome::Done,
                    .checkpoint = {} });
                return true;
            });
            if (worker.poll && (!worker.ended.empty() || m_now >= worker.pollUntil))
                respondToPoll(worker);
        }
    }

    void respondToPoll(Worker& worker)
    {
        const PollRequest request = *std::exchange(worker.poll, std::nullopt);
        PollResponse response {
            .clock = m_now.time_since_epoch() / 1ms, .startTimeMs = 1, .running = {}, .ended = worker.ended
        };
        for (const auto& [task, run] : worker.runs)
            response.running.push_back({ .run = run.run, .checkpoint = {} });
        const auto began = std::chrono::steady_clock::now();
        m_scheduler.onPollResponse(request, response, m_now - 1ms, m_now);
        m_spent += std::chrono::steady_clock::now() - began;
    }

    void respond(WorkflowScheduler::Output& output)
    {
        const auto spent = [&](auto call) {
            const auto began = std::chrono::steady_clock::now();
            call();
            m_spent += std::chrono::steady_clock::now() - began;
        };
        for (const auto& request : output.requests.starts) {
            ++m_starts;
            // Three quarters to five quarters of the estimate; members of a gang end together.
            const StepSpec& step
                = m_state.find(request.run.task.step.workflow)->spec.steps.at(request.run.task.step.step);
            const Duration runTime = runTimeOf(request, step);
            const auto errorOf = [&](Duration expected) {
                return std::abs(std::log(static_cast<double>(expected.count()) / static_cast<double>(runTime.count())));
            };
            auto& [fast, all] = m_startsOf[m_state.find(request.run.task.step.workflow)->queue];
            fast += m_workers.at(request.incarnation).speed > 1 ? 1 : 0;
            ++all;
            m_declaredErrors.push_back(errorOf(step.estimatedRunTime));
            if (const TrackedRun* run = m_scheduler.runController().find(request.run))
                m_expectedErrors.push_back(errorOf(run->expectedRunTime()));
            m_workers.at(request.incarnation).runs[request.run.task]
                = { .run = request.run, .endsAt = m_now + runTime };
            spent([&] {
                m_scheduler.onStartResponse(request,
                    { .status = WorkerRequestStatus::Done, .clock = m_now.time_since_epoch() / 1ms, .startTimeMs = 1 },
                    m_now, m_now);
            });
        }
        for (const auto& request : output.requests.stops) {
            Worker& worker = m_workers.at(request.incarnation);
            if (worker.runs.erase(request.run.task))
                worker.ended.push_back({ .number = ++worker.lastEnd,
                    .run = request.run,
                    .outcome = RunOutcome::Stopped,
                    .checkpoint = {} });
            spent([&] {
                m_scheduler.onStopResponse(request,
                    { .status = WorkerRequestStatus::Done, .clock = m_now.time_since_epoch() / 1ms, .startTimeMs = 1 },
                    m_now, m_now);
            });
        }
        for (const auto& request : output.requests.polls) {
            Worker& worker = m_workers.at(request.incarnation);
            std::erase_if(worker.ended, [&](const ReportedEnd& end) { return end.number <= request.lastRecordedEnd; });
            worker.poll = request;
            worker.pollUntil = m_now + request.maxWait;
        }
        for (const auto& request : output.permissionRequests) {
            TimePoint& freeAt = *std::min_element(m_hostsFreeAt.begin(), m_hostsFreeAt.end());
            freeAt = std::max(freeAt, m_now) + request.estimatedCallTime;
            m_pendingPermissions.emplace(freeAt, request);
        }
    }

    void respondToDuePermissionRequests()
    {
        while (!m_pendingPermissions.empty() && m_pendingPermissions.begin()->first <= m_now) {
            const PermissionRequest request = std::move(m_pendingPermissions.begin()->second);
            m_pendingPermissions.erase(m_pendingPermissions.begin());
            PermissionResponse response;
            for (const auto& worker : request.workers) {
                if (std::hash<std::string>()(worker.value() + describe(request.step)) % 2)
                    response.granted.push_back({ .worker = worker, .token = "ticket" });
            }
            const auto began = std::chrono::steady_clock::now();
            m_scheduler.onPermissionResponse(request, response, m_now);
            m_spent += std::chrono::steady_clock::now() - began;
        }
    }

    Options m_options;
    BenchObserver m_observer;
    std::map<WorkflowId, Duration> m_baseRunTimes;
    std::map<QueueName, Duration> m_runTimeOf;
    std::vector<double> m_declaredErrors; // |log(estimate / run time)|.
    std::vector<double> m_expectedErrors;
    std::map<QueueName, std::pair<double, double>> m_startsOf; // On fast workers, and on all.
    double m_load;
    TimePoint m_now { 1000s };
    WorkflowState m_state;
    WorkflowScheduler m_scheduler;
    std::map<WorkerIncarnation, Worker> m_workers;
    std::vector<WorkflowCommand> m_submissions;
    std::mt19937_64 m_random;
    uint64_t m_sequence { 0 };
    uint64_t m_nextId { 0 };
    size_t m_starts { 0 };
    size_t m_cycles { 0 };
    std::vector<TimePoint> m_hostsFreeAt; // When each host's last call to the permission service ends.
    std::multimap<TimePoint, PermissionRequest> m_pendingPermissions;
    std::chrono::steady_clock::duration m_spent { 0 };
};

} // namespace

} // namespace hickoryknot::workflow

int main(int argc, char** argv)
{
    cxxopts::Options options("bench_workflow", "Processor time of the leader's decisions");
    options.add_options()("workers", "Workers", cxxopts::value<size_t>()->default_value("350"))(
        "load", "Load as a fraction of the users' larger deployment", cxxopts::value<double>()->default_value("0.8"))(
        "seconds", "Simulated seconds", cxxopts::value<int>()->default_value("10"))(
        "permission-hosts", "Hosts that call the permission service", cxxopts::value<size_t>()->default_value("40"))(
        "estimate-factor", "Factor by which declared estimates are off", cxxopts::value<double>()->default_value("1"))(
        "uneven-workers", "Two thirds of the workers run at 0.7 of the usual speed and a third at 1.7")(
        "tails", "One run in thirty takes seven times as long")("no-model", "Run times are not learned")(
        "warm-up", "Seconds whose workflows do not count", cxxopts::value<int>()->default_value("0"))(
        "seed", "Seed of the arrivals", cxxopts::value<uint64_t>()->default_value("1"));
    const auto flags = options.parse(argc, argv);
    hickoryknot::workflow::Bench(
        { .workers = flags["workers"].as<size_t>(),
            .load = flags["load"].as<double>(),
            .permissionHosts = flags["permission-hosts"].as<size_t>(),
            .estimateFactor = flags["estimate-factor"].as<double>(),
            .hasUnevenWorkers = flags.count("uneven-workers") > 0,
            .hasTails = flags.count("tails") > 0,
            .learnsRunTimes = flags.count("no-model") == 0,
            .warmUp = flags["warm-up"].as<int>() * hickoryknot::Duration(std::chrono::seconds(1)),
            .seed = flags["seed"].as<uint64_t>() })
        .run(flags["seconds"].as<int>());
}
