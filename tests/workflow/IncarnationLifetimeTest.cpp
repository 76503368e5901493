#include <cppunit/extensions/HelperMacros.h>

#include "workflow/IncarnationLifetime.h"

namespace hickoryknot::workflow {

class IncarnationLifetimeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(IncarnationLifetimeTest);
    CPPUNIT_TEST(laterIncarnationIsNotTakenForThisOne);
    CPPUNIT_TEST(slowClockIsRecognised);
    CPPUNIT_TEST(youngIncarnationStaysUnknown);
    CPPUNIT_TEST(reportAloneProvesNothing);
    CPPUNIT_TEST(delayedReportDoesNotProlongTheLifetime);
    CPPUNIT_TEST(reorderedResponsesAreRecognised);
    CPPUNIT_TEST(stoppedClockIsReadAnew);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration oneWay = 2ms;
    IncarnationLifetime m_lifetime;
    TimePoint m_now { 1000s };

    // Reading of a clock that started at `startedAt` and runs at `rate`.
    static WorkerClockMs read(TimePoint startedAt, TimePoint now, double rate = 1)
    {
        return static_cast<WorkerClockMs>(static_cast<double>((now - startedAt).count()) * rate / 1000);
    }

    // The worker responds to a request that is sent now.
    void poll(TimePoint startedAt, double rate = 1)
    {
        const TimePoint sentAt = m_now;
        m_now += 2 * oneWay;
        m_lifetime.addResponse(read(startedAt, sentAt + oneWay, rate), sentAt, m_now);
    }

    // Identifies the response to a request that is sent now, by an incarnation that started at `startedAt`.
    MessageSender sender(TimePoint startedAt, double rate = 1)
    {
        const TimePoint sentAt = m_now;
        m_now += 2 * oneWay;
        return m_lifetime.senderOf(read(startedAt, sentAt + oneWay, rate), sentAt, m_now);
    }

    // Guards against the response of a later incarnation, at any time after the known one was last seen, that counts as
    // proof of the known one.
    void laterIncarnationIsNotTakenForThisOne()
    {
        for (const double rate : { 0.98, 0.99, 1.0 }) {
            for (Duration age = 0ms; age <= 20s; age += 700ms) {
                for (Duration silence = 0ms; silence <= 4s; silence += 300ms) {
                    for (Duration restart = 0ms; restart <= silence; restart += 150ms) {
                        m_lifetime = {};
                        const TimePoint startedAt = m_now;
                        m_now += 100ms;
                        poll(startedAt, rate);
                        m_now += age;
                        poll(startedAt, rate);
                        const TimePoint restartedAt = m_now + restart;
                        m_now += silence;
                        CPPUNIT_ASSERT(MessageSender::Addressee != sender(restartedAt, 1));
                    }
                }
            }
        }
    }

    // Guards against responses that are not recognised because the clock runs slow, as it may.
    void slowClockIsRecognised()
    {
        for (const double rate : { 0.98, 0.99, 1.0 }) {
            m_lifetime = {};
            const TimePoint startedAt = m_now;
            poll(startedAt, rate);
            for (int i = 0; i < 100; ++i) {
                m_now += 1s;
                poll(startedAt, rate);
                m_now += 3s;
                CPPUNIT_ASSERT(MessageSender::Addressee == sender(startedAt, rate));
            }
            CPPUNIT_ASSERT(MessageSender::Other == sender(m_now - 50ms, rate));
        }
    }

    // Guards against proof by a lifetime that is shorter than what the bounds of the clock leave open.
    void youngIncarnationStaysUnknown()
    {
        const TimePoint startedAt = m_now;
        poll(startedAt);
        CPPUNIT_ASSERT(MessageSender::Unknown == sender(startedAt));
        m_now += 1s;
        poll(startedAt);
        CPPUNIT_ASSERT(MessageSender::Addressee == sender(startedAt));
    }

    // Guards against an upper bound of the clock from a message of unknown age.
    void reportAloneProvesNothing()
    {
        const TimePoint startedAt = m_now;
        m_now += 10s;
        m_lifetime.addReport(read(startedAt, m_now), m_now);
        m_now += 1s;
        m_lifetime.addReport(read(startedAt, m_now), m_now);
        CPPUNIT_ASSERT(MessageSender::Unknown == sender(startedAt));
        CPPUNIT_ASSERT(!m_lifetime.wasRunningAt(m_now - 2s));
    }

    // Guards against a report that a partition has delayed and that counts as a sign of life at its arrival.
    void delayedReportDoesNotProlongTheLifetime()
    {
        const TimePoint startedAt = m_now;
        m_now += 10s;
        poll(startedAt);
        const TimePoint reportedAt = m_now + 1s;
        m_now += 6s;
        m_lifetime.addReport(read(startedAt, reportedAt), m_now);
        CPPUNIT_ASSERT(m_lifetime.wasRunningAt(reportedAt - 50ms));
        CPPUNIT_ASSERT(!m_lifetime.wasRunningAt(reportedAt + 1ms));
    }

    // Guards against a live worker that looks like another one because a response overtook an earlier one.
    void reorderedResponsesAreRecognised()
    {
        const TimePoint startedAt = m_now;
        m_now += 1s;
        poll(startedAt);
        m_now += 5s;
        poll(startedAt);
        const TimePoint sentAt = m_now;
        const WorkerClockMs early = read(startedAt, sentAt + oneWay);
        m_now += 300ms;
        poll(startedAt);
        CPPUNIT_ASSERT(MessageSender::Addressee == m_lifetime.senderOf(early, sentAt, m_now));
    }

    // Guards against a worker that stays unrecognised because its clock once stood still.
    void stoppedClockIsReadAnew()
    {
        TimePoint startedAt = m_now;
        m_now += 10s;
        poll(startedAt);
        m_now += 5s;
        startedAt += 4s;
        CPPUNIT_ASSERT(MessageSender::Other == sender(startedAt));
        // The response to a poll names the incarnation.
        poll(startedAt);
        m_now += 1s;
        CPPUNIT_ASSERT(MessageSender::Addressee == sender(startedAt));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IncarnationLifetimeTest);

} // namespace hickoryknot::workflow
