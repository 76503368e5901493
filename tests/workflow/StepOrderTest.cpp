#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <list>
#include <map>

#include "WorkflowSamples.h"
#include "workflow/ReadyStep.h"
#include "workflow/StepOrder.h"

namespace hickoryknot::workflow {

namespace {

/// A workflow of one step.
struct Job {
    StepSpec spec;
    ReadyStep step;
    size_t running { 0 };
    bool isServed { false };

    bool isOpen() const { return running || !step.tasks.empty(); }
};

/// Served and submitted workflows of one kind by size.
struct Served {
    double all;
    double largestTenth;
    double rest;
};

} // namespace

class StepOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StepOrderTest);
    CPPUNIT_TEST(noSizeStarvesUnderLastingOverload);
    CPPUNIT_TEST(begunWorkIsNotLateUntilItHasNoValue);
    CPPUNIT_TEST(begunGangWithTimeLeftDelaysNoOther);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration tick = 100ms;
    static constexpr Duration runTime = 3s;
    static constexpr size_t slots = 200;
    static constexpr uint32_t narrowTasks = 10;
    static constexpr uint32_t wideTasks = 80;
    /// One workflow in ten is wide.
    static constexpr int wideEvery = 10;
    /// Tasks of one step that find permitted room in one pass.
    static constexpr size_t tasksPerPass = 3;

    std::list<Job> m_jobs;
    TimePoint m_now { 100s };

    Job& add(uint32_t tasks)
    {
        Job& job = m_jobs.emplace_back();
        job.spec = samples::step(tasks);
        job.spec.estimatedRunTime = runTime;
        job.step = { .ref = { WorkflowId("id" + std::to_string(100'000 + m_jobs.size())), 0, 0 },
            .spec = &job.spec,
            .queue = samples::queue(),
            .deadline = m_now + 4 * runTime + 3s,
            .expiresAt = m_now + 3 * (4 * runTime + 3s),
            .criticalPath = runTime };
        for (uint32_t i = 0; i < tasks; ++i)
            job.step.tasks.push_back({ .index = i, .nextRun = 1 });
        return job;
    }

    // Plays workflows of one kind that come at `load` times the capacity, with the room taken in the scheduling order.
    Served play(double load, Duration length)
    {
        const double tasksPerJob = (wideTasks + narrowTasks * (wideEvery - 1.0)) / wideEvery;
        const double jobsPerTick = load * slots / tasksPerJob * (std::chrono::duration<double>(tick) / runTime);
        std::multimap<TimePoint, Job*> ends;
        size_t free = slots;
        double due = 0;
        const TimePoint end = m_now + length;
        for (; m_now < end; m_now += tick) {
            for (due += jobsPerTick; due >= 1; --due)
                add(m_jobs.size() % wideEvery == 0 ? wideTasks : narrowTasks);
            for (; !ends.empty() && ends.begin()->first <= m_now; ends.erase(ends.begin())) {
                Job& job = *ends.begin()->second;
                ++free;
                --job.running;
                job.isServed = !job.isOpen() && m_now <= job.step.expiresAt;
            }
            std::vector<Job*> waiting;
            for (auto& job : m_jobs) {
                if (!job.step.tasks.empty())
                    waiting.push_back(&job);
            }
            std::sort(waiting.begin(), waiting.end(),
                [&](const Job* a, const Job* b) { return StepOrder(a->step, m_now) < StepOrder(b->step, m_now); });
            for (Job* job : waiting) {
                for (size_t i = 0; i < tasksPerPass && free && !job->step.tasks.empty(); ++i, --free) {
                    job->step.tasks.pop_back();
                    job->step.isBegun = true;
                    ++job->running;
                    ends.emplace(m_now + runTime, job);
                }
            }
        }
        return count();
    }

    // Leaves out workflows that can still be served.
    Served count() const
    {
        size_t served[2] {};
        size_t submitted[2] {};
        for (const auto& job : m_jobs) {
            if (job.step.expiresAt > m_now && !job.isServed)
                continue;
            const size_t isWide = job.spec.count == wideTasks;
            served[isWide] += job.isServed;
            ++submitted[isWide];
        }
        const auto share
            = [](size_t part, size_t whole) { return static_cast<double>(part) / static_cast<double>(whole); };
        return { .all = share(served[0] + served[1], submitted[0] + submitted[1]),
            .largestTenth = share(served[1], submitted[1]),
            .rest = share(served[0], submitted[0]) };
    }

public:
    // Guards against workflows with many tasks that are served less than half as often as all of their kind, while more
    // work comes than fits: they lost their place to new ones when they were late, although most of their tasks had
    // run.
    void noSizeStarvesUnderLastingOverload()
    {
        for (const double load : { 0.9, 1.2, 1.5, 2.0 }) {
            m_jobs.clear();
            const Served served = play(load, 300s);
            const std::string message = "load " + std::to_string(load) + ": all " + std::to_string(served.all)
                + ", largest tenth " + std::to_string(served.largestTenth) + ", rest " + std::to_string(served.rest);
            CPPUNIT_ASSERT_MESSAGE(message, served.largestTenth >= served.all / 2);
            // Those that are served use at most the capacity; the others are to lose little of it.
            CPPUNIT_ASSERT_MESSAGE(message, served.rest >= 0.8 * std::min(1.0, 1 / load));
        }
    }

    // Guards against work that is given up when it is almost done, and against work without value that delays other
    // work because it has begun.
    void begunWorkIsNotLateUntilItHasNoValue()
    {
        ReadyStep begun = add(narrowTasks).step;
        m_now = begun.latestStart() + 1s;
        const ReadyStep late = begun;
        begun.isBegun = true;
        const ReadyStep fresh = add(narrowTasks).step;
        const auto comesFirst
            = [&](const ReadyStep& a, const ReadyStep& b) { return StepOrder(a, m_now) < StepOrder(b, m_now); };
        CPPUNIT_ASSERT(comesFirst(begun, fresh) && comesFirst(fresh, late));
        CPPUNIT_ASSERT(!StepOrder(begun, m_now).isLate() && StepOrder(late, m_now).isLate());
        CPPUNIT_ASSERT_EQUAL(StepOrder(fresh, m_now).level(), StepOrder(begun, m_now).level());
        m_now = begun.expiresAt;
        CPPUNIT_ASSERT(comesFirst(fresh, begun));
        // Of more urgent work none waits for it.
        ReadyStep urgent = fresh;
        urgent.queue.priority = 0;
        begun.queue.priority = 1;
        m_now = begun.latestStart() + 1s;
        CPPUNIT_ASSERT(comesFirst(urgent, begun));
    }

    // Guards against gangs that have time left and keep those with less from their place.
    void begunGangWithTimeLeftDelaysNoOther()
    {
        Job& first = add(narrowTasks);
        m_now += 1s;
        Job& second = add(narrowTasks);
        first.spec.isGang = second.spec.isGang = true;
        second.step.isBegun = true;
        CPPUNIT_ASSERT(StepOrder(first.step, m_now) < StepOrder(second.step, m_now));
        m_now = second.step.latestStart() + 1s;
        CPPUNIT_ASSERT(StepOrder(second.step, m_now) < StepOrder(first.step, m_now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepOrderTest);

} // namespace hickoryknot::workflow
