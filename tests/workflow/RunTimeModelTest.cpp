#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

#include "workflow/RunTimeModel.h"

namespace hickoryknot::workflow {

class RunTimeModelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunTimeModelTest);
    CPPUNIT_TEST(emptyModelReturnsTheDeclaredEstimate);
    CPPUNIT_TEST(firstRunMovesTheEstimateOnlyPartly);
    CPPUNIT_TEST(biasedEstimateIsCorrected);
    CPPUNIT_TEST(uselessEstimateIsIgnored);
    CPPUNIT_TEST(exactEstimateIsKept);
    CPPUNIT_TEST(longRunsMoveTheHighQuantileOnly);
    CPPUNIT_TEST(followsChangedRunTimes);
    CPPUNIT_TEST(stoppedRunsCountAsAtLeastAsLong);
    CPPUNIT_TEST(runsThatAreStoppedEarlyShortenNothing);
    CPPUNIT_TEST(newIncarnationStartsAnew);
    CPPUNIT_TEST(speedsAreUsableAfterThreeRuns);
    CPPUNIT_TEST(equalWorkersKeepTheUsualSpeed);
    CPPUNIT_TEST(speedIsApartFromTheWork);
    CPPUNIT_TEST(gangCountsForItsKindOnly);
    CPPUNIT_TEST(stateIsBounded);
    CPPUNIT_TEST(summaryContinuesTheModel);
    CPPUNIT_TEST(corruptSummaryLeavesAnEmptyModel);
    CPPUNIT_TEST_SUITE_END();

    const WorkKind m_kind { .queue = QueueName("q"), .image = "image", .isGang = false };
    RunTimeModel m_model;
    TimePoint m_now { 1000s };
    std::mt19937_64 m_random { 5 };

    static WorkerIncarnation worker(size_t number, int64_t startTimeMs = 1)
    {
        return {
            .worker = WorkerId("w" + std::to_string(number)), .startTimeMs = startTimeMs, .address = "10.0.0.1:1"
        };
    }
    double uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(m_random); }
    // Log-uniform between 1 / factor and factor.
    double errorUpTo(double factor) { return std::pow(factor, uniform(-1, 1)); }
    static Duration scaled(Duration time, double factor)
    {
        return Duration(std::llround(static_cast<double>(time.count()) * factor));
    }

    void end(Duration declared, Duration ran, size_t on = 0, bool isComplete = true)
    {
        end(m_kind, declared, ran, on, isComplete);
    }
    void end(const WorkKind& kind, Duration declared, Duration ran, size_t on, bool isComplete = true)
    {
        m_now += 10ms;
        m_model.recordEnd(
            { .kind = kind, .workers = { worker(on) }, .declared = declared, .ran = ran, .isComplete = isComplete },
            m_now);
    }
    void assertMedian(Duration expected, Duration declared, double tolerance = 0.15)
    {
        const auto median = m_model.expectedRunTime(m_kind, declared).median;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0, std::log(static_cast<double>(median.count()) / static_cast<double>(expected.count())), tolerance);
    }

    // Guards against a new leader that decides by anything but the callers' estimates.
    void emptyModelReturnsTheDeclaredEstimate()
    {
        const auto estimate = m_model.expectedRunTime(m_kind, 640ms);
        CPPUNIT_ASSERT(estimate.median == Duration(640ms) && estimate.high == Duration(640ms));
        CPPUNIT_ASSERT_EQUAL(1.0, m_model.speedOf(worker(0)));
    }

    // Guards against a model that believes a single long run.
    void firstRunMovesTheEstimateOnlyPartly()
    {
        end(1s, 7s);
        const auto median = m_model.expectedRunTime(m_kind, 1s).median;
        CPPUNIT_ASSERT(median > Duration(1s) && median < Duration(2500ms));
    }

    // Guards against estimates that stay too short however often the work has run.
    void biasedEstimateIsCorrected()
    {
        for (size_t i = 0; i < 60; ++i) {
            const Duration declared = scaled(1s, uniform(0.5, 2));
            end(declared, scaled(3 * declared, uniform(0.9, 1.1)), i % 20);
        }
        assertMedian(3s, 1s);
        assertMedian(6s, 2s);
    }

    // Guards against a model that follows estimates which say nothing about the run time.
    void uselessEstimateIsIgnored()
    {
        for (size_t i = 0; i < 100; ++i)
            end(scaled(1s, errorUpTo(3)), scaled(1s, uniform(0.9, 1.1)), i % 20);
        assertMedian(1s, 350ms);
        assertMedian(1s, 3s);
    }

    // Guards against a model that makes good estimates worse.
    void exactEstimateIsKept()
    {
        for (size_t i = 0; i < 100; ++i) {
            const Duration declared = scaled(1s, errorUpTo(5));
            end(declared, declared, i % 20);
        }
        assertMedian(300ms, 300ms, 0.03);
        assertMedian(4s, 4s, 0.03);
    }

    // Guards against expected ends that follow the few very long runs, and against promises that ignore them.
    void longRunsMoveTheHighQuantileOnly()
    {
        for (size_t i = 0; i < 600; ++i)
            end(1s, scaled(1s, uniform(0.9, 1.1)) * (i % 30 ? 1 : 7), i % 50);
        assertMedian(1s, 1s, 0.1);
        CPPUNIT_ASSERT(m_model.expectedRunTime(m_kind, 1s).high < Duration(2s));
        for (size_t i = 0; i < 600; ++i)
            end(1s, scaled(1s, uniform(0.9, 1.1)) * (i % 12 ? 1 : 7), i % 50);
        assertMedian(1s, 1s, 0.1);
        CPPUNIT_ASSERT(m_model.expectedRunTime(m_kind, 1s).high > Duration(4s));
    }

    // Guards against a model that is right about the load of an hour ago.
    void followsChangedRunTimes()
    {
        for (size_t i = 0; i < 1000; ++i)
            end(1s, scaled(1s, uniform(0.9, 1.1)), i % 50);
        for (size_t i = 0; i < 400; ++i)
            end(1s, scaled(2s, uniform(0.9, 1.1)), i % 50);
        assertMedian(2s, 1s);
    }

    // Guards against an estimate that stays short because all long runs are stopped.
    void stoppedRunsCountAsAtLeastAsLong()
    {
        for (size_t i = 0; i < 40; ++i)
            end(1s, 3s, i % 20, false);
        CPPUNIT_ASSERT(m_model.expectedRunTime(m_kind, 1s).median > Duration(2s));
    }

    // Guards against preempted work that seems short because it was stopped after a moment.
    void runsThatAreStoppedEarlyShortenNothing()
    {
        for (size_t i = 0; i < 200; ++i)
            end(1s, scaled(1s, i % 2 ? 0.1 : uniform(0.9, 1.1)), i % 20, i % 2 == 0);
        assertMedian(1s, 1s, 0.1);
        for (size_t i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1, m_model.speedOf(worker(i)), 0.15);
    }

    // Guards against a machine that is judged by the one that had its name before.
    void newIncarnationStartsAnew()
    {
        for (size_t i = 0; i < 400; ++i)
            end(1s, i % 20 ? 1s : 3s, i % 20);
        CPPUNIT_ASSERT(m_model.speedOf(worker(0)) < 0.5);
        CPPUNIT_ASSERT_EQUAL(1.0, m_model.speedOf(worker(0, 2)));
    }

    // Guards against speeds that are learned when the busiest time is over.
    void speedsAreUsableAfterThreeRuns()
    {
        constexpr size_t workers = 350;
        size_t right = 0;
        const auto speed = [](size_t number) { return number % 3 ? 0.7 : 1.7; };
        for (size_t i = 0; i < 4 * workers; ++i) {
            const size_t on = i * 31 % workers;
            const bool isLong = std::uniform_int_distribution<int>(0, 29)(m_random) == 0;
            end(scaled(1s, errorUpTo(3)), scaled(1s, uniform(0.75, 1.25) * (isLong ? 7 : 1) / speed(on)), on);
        }
        for (size_t i = 0; i < workers; ++i)
            right += (m_model.speedOf(worker(i)) > 1.1) == (speed(i) > 1) ? 1 : 0;
        CPPUNIT_ASSERT(right >= workers * 9 / 10);
    }

    // Guards against work that is sent to some of equal workers because their runs happened to be short.
    void equalWorkersKeepTheUsualSpeed()
    {
        for (size_t i = 0; i < 2000; ++i)
            end(1s, scaled(1s, uniform(0.75, 1.25) * (i % 30 ? 1 : 7)), i * 31 % 100);
        const auto range = m_model.speedRange();
        CPPUNIT_ASSERT(range.slowest > 0.85 && range.fastest < 1.15);
    }

    // Guards against a worker that counts as slow because it got the work whose estimates are too low.
    void speedIsApartFromTheWork()
    {
        const WorkKind longer { .queue = QueueName("long"), .image = {}, .isGang = false };
        for (size_t i = 0; i < 1000; ++i) {
            const size_t on = i % 20;
            const bool isLonger = on == 0 || i % 3 == 0;
            end(isLonger ? longer : m_kind, 1s, scaled(isLonger ? 3s : 1s, uniform(0.9, 1.1)), on);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, m_model.speedOf(worker(0)), 0.15);
    }

    // Guards against a fast worker that counts as slow because it shared a gang with a slow one.
    void gangCountsForItsKindOnly()
    {
        for (size_t i = 0; i < 400; ++i)
            end(1s, i % 2 ? 600ms : 1400ms, i % 20);
        const double before = m_model.speedOf(worker(1));
        const WorkKind gang { .queue = QueueName("q"), .image = {}, .isGang = true };
        for (int i = 0; i < 30; ++i)
            m_model.recordEnd(
                { .kind = gang, .workers = { worker(0), worker(1) }, .declared = 1s, .ran = 1400ms }, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(before, m_model.speedOf(worker(1)), 0.05);
        // 1.4 s on the slower worker is 1 s or a little less at the usual speed.
        const auto median = m_model.expectedRunTime(gang, 1s).median;
        CPPUNIT_ASSERT(median > Duration(800ms) && median < Duration(1100ms));
    }

    // Guards against callers who fill the leader's memory with names of images.
    void stateIsBounded()
    {
        for (size_t i = 0; i < 2 * RunTimeModel::maxWorkers; ++i) {
            const WorkKind kind { .queue = QueueName("q"), .image = std::to_string(i), .isGang = false };
            end(kind, 1s, 2s, i);
        }
        CPPUNIT_ASSERT_EQUAL(1.0, m_model.speedOf(worker(0)));
        const WorkKind first { .queue = QueueName("q"), .image = "0", .isGang = false };
        CPPUNIT_ASSERT(m_model.expectedRunTime(first, 1s).median == Duration(1s));
        CPPUNIT_ASSERT(m_model.summary().size() < size_t { 32'768 });
    }

    void trainOnUnevenWorkers()
    {
        for (size_t i = 0; i < 3500; ++i)
            end(scaled(1s, errorUpTo(3)), scaled(1s, uniform(0.75, 1.25) / (i % 350 % 3 ? 0.7 : 1.7)), i % 350);
    }

    // Guards against a new leader that has to learn everything again, and against large log entries.
    void summaryContinuesTheModel()
    {
        trainOnUnevenWorkers();
        const auto summary = m_model.summary();
        CPPUNIT_ASSERT(summary.size() < size_t { 6'144 });
        RunTimeModel other;
        CPPUNIT_ASSERT(other.restore(summary, m_now));
        CPPUNIT_ASSERT(other.summary() == summary);
        for (size_t i = 0; i < 350; ++i)
            CPPUNIT_ASSERT_DOUBLES_EQUAL(m_model.speedOf(worker(i)), other.speedOf(worker(i)), 0.05);
        const auto before = m_model.expectedRunTime(m_kind, 2s);
        const auto after = other.expectedRunTime(m_kind, 2s);
        CPPUNIT_ASSERT(std::chrono::abs(before.median - after.median) < Duration(10ms));
        CPPUNIT_ASSERT(std::chrono::abs(before.high - after.high) < Duration(20ms));
    }

    // Guards against a leader that ends, or decides by nonsense, because of a damaged record.
    void corruptSummaryLeavesAnEmptyModel()
    {
        trainOnUnevenWorkers();
        const auto summary = m_model.summary();
        for (size_t size = 1; size < summary.size(); size += 7) {
            RunTimeModel other = m_model;
            CPPUNIT_ASSERT(!other.restore(summary.substr(0, size), m_now));
            CPPUNIT_ASSERT(other.expectedRunTime(m_kind, 2s).median == Duration(2s));
            CPPUNIT_ASSERT_EQUAL(1.0, other.speedOf(worker(0)));
        }
        CPPUNIT_ASSERT(m_model.restore({}, m_now));
        CPPUNIT_ASSERT_EQUAL(1.0, m_model.speedOf(worker(0)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTimeModelTest);

} // namespace hickoryknot::workflow
