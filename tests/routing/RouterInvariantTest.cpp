#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <pcg_random.hpp>

#include "RouterFixture.h"

namespace hickoryknot {

using namespace routertest;

namespace {

// Drives one router with random events and checks its promises after each of them.
class RandomHost {
public:
    explicit RandomHost(uint64_t seed)
        : m_random(seed, 3)
        , m_setup({ makeRow("lookup"), makeRow("order", false), makeRow("slow") }, 4, 2, { .seed = seed })
    {
        for (size_t i = 0; i < 4; ++i)
            m_usable[serverName(i)] = at(1000s);
    }

    void run()
    {
        for (int step = 0; step < 600; ++step) {
            m_now += Duration(m_random(20000));
            oneEvent();
            carryOut();
        }
        finishAll();
        CPPUNIT_ASSERT_EQUAL(size_t(0), m_setup.router.requestsInProgress());
        CPPUNIT_ASSERT(m_setup.router.serverUsage().empty());
        CPPUNIT_ASSERT_EQUAL(uint32_t(0), m_setup.router.demand());
        for (const auto& [ticket, fate] : m_fates)
            CPPUNIT_ASSERT_EQUAL(1, fate.answers);
    }

private:
    struct Fate {
        bool isRepeatable { true };
        bool isGranted { false };
        // Sends that were neither refused nor failed before a byte left.
        int possibleRuns { 0 };
        int answers { 0 };
    };

    void oneEvent()
    {
        Router& router = m_setup.router;
        RouterActions& actions = m_setup.actions;
        const uint32_t choice = m_random(100);
        if (choice < 45)
            submitOne();
        else if (choice < 75)
            answerOne();
        else if (choice < 92)
            router.tick(m_now, actions);
        else if (choice < 94)
            changeShares();
        else if (choice < 95)
            router.setTableLease({ .expiry = m_now + Duration(m_random(900000)) }, m_now, actions);
        else if (choice < 97)
            changeServers();
        else if (choice < 98)
            router.setForwardTargets({ { ZoneId("east"), m_random(4) } });
        else if (!m_fates.empty())
            router.onCallerDisconnect(std::next(m_fates.begin(), m_random(m_fates.size()))->first, m_now, actions);
    }

    void submitOne()
    {
        static const char* rows[] = { "lookup", "order", "slow", "missing" };
        auto submission = makeRequest(rows[m_random(16) % 4], Duration(1000 + m_random(400000)));
        const bool isRepeatable = submission.row != RowName("order");
        // Registers the ticket before its first actions are looked at.
        const RequestHandle ticket = m_setup.submit(std::move(submission), m_now);
        m_fates[ticket].isRepeatable = isRepeatable;
    }

    void changeShares()
    {
        m_slots = m_random(4);
        m_leasedUntil = m_now + Duration(m_random(500000));
        m_setup.router.setShares(makeShares(4, m_slots), m_leasedUntil, m_now, m_setup.actions);
    }

    void changeServers()
    {
        auto views = makeServers(4, m_now + Duration(m_random(1000000)));
        views[m_random(4)].isLeaving = true;
        views.resize(1 + m_random(4));
        m_usable.clear();
        for (const TrackedServer& view : views) {
            if (!view.isLeaving && m_now < view.freshUntil)
                m_usable[view.server] = view.freshUntil;
        }
        m_setup.router.setServers(views, m_now, m_setup.actions);
    }

    // Answers one open send, record or forward; now and then twice.
    void answerOne()
    {
        if (m_open.empty())
            return;
        const size_t index = m_random(m_open.size());
        const RouterAction action = m_open[index];
        if (m_random(10))
            m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(index));
        std::visit([this](const auto& open) { reply(open); }, action);
    }

    void reply(const SendToServer& sent)
    {
        Router& router = m_setup.router;
        Fate& fate = m_fates[sent.handle];
        // A send that was replied to before gets a duplicate answer, which must change nothing.
        const bool isFirstReply = m_replied.insert({ { sent.handle, sent.attempt }, true }).second;
        const uint32_t kind = isFirstReply ? m_random(4) : 0;
        if (kind == 0) {
            router.onServerResponse(sent.handle, sent.attempt, "x", m_now, m_setup.actions);
        } else if (kind == 1) {
            --fate.possibleRuns;
            router.onServerRejection(sent.handle, sent.attempt, m_now, m_setup.actions);
        } else {
            if (kind == 2)
                --fate.possibleRuns;
            router.onSendFailure(sent.handle, sent.attempt, kind == 3, m_now, m_setup.actions);
        }
    }

    void reply(const RecordStart& record)
    {
        const auto verdict = static_cast<StartRecordResult>(std::min(m_random(5), 2U));
        m_fates[record.handle].isGranted |= verdict == StartRecordResult::Granted;
        m_setup.router.onStartRecordResult(
            record.handle, verdict, { OutcomeKind::Unknown, "recorded", "", "" }, m_now, m_setup.actions);
    }

    void reply(const ForwardToZone& forward)
    {
        if (m_random(2)) {
            m_setup.router.onForwardResponse(
                forward.handle, { OutcomeKind::Done, "ok", "", "" }, m_now, m_setup.actions);
            return;
        }
        const bool wasSent = m_random(2);
        m_setup.router.onForwardFailure(forward.handle, wasSent, m_now, m_setup.actions);
    }

    void reply(const RecordOutcome& record)
    {
        m_setup.router.onOutcomeRecordFinished(record.handle, m_now, m_setup.actions);
    }
    void reply(const RespondToCaller&) { }

    void carryOut()
    {
        for (const RouterAction& action : std::exchange(m_setup.actions, {})) {
            if (const auto* sent = std::get_if<SendToServer>(&action)) {
                Fate& fate = m_fates[sent->handle];
                CPPUNIT_ASSERT_EQUAL(0, fate.answers);
                ++fate.possibleRuns;
                const bool isRepeatable = sent->request->row != RowName("order");
                CPPUNIT_ASSERT(isRepeatable || (fate.possibleRuns == 1 && fate.isGranted));
                checkShare(sent->server);
            }
            if (const auto* answer = std::get_if<RespondToCaller>(&action)) {
                Fate& fate = m_fates[answer->handle];
                CPPUNIT_ASSERT_EQUAL(1, ++fate.answers);
                CPPUNIT_ASSERT(answer->outcome.kind != OutcomeKind::NotRun || fate.possibleRuns == 0);
                CPPUNIT_ASSERT(answer->outcome.kind != OutcomeKind::Cancelled || fate.possibleRuns == 0);
                continue;
            }
            const auto* record = std::get_if<RecordOutcome>(&action);
            if (!record || record->isAwaited)
                m_open.push_back(action);
        }
    }

    // A server gets work only while it is fresh, and not beyond this host's share of it.
    void checkShare(const ServerId& server)
    {
        CPPUNIT_ASSERT(m_now < m_leasedUntil);
        CPPUNIT_ASSERT(m_usable.contains(server) && m_now < m_usable[server]);
        for (const ServerUsage& use : m_setup.router.serverUsage())
            CPPUNIT_ASSERT(use.server != server || use.running <= m_slots);
    }

    // Replies to everything and lets all deadlines pass.
    void finishAll()
    {
        m_now += 700s;
        m_setup.router.tick(m_now, m_setup.actions);
        carryOut();
        while (!m_open.empty()) {
            answerOne();
            carryOut();
        }
        m_setup.router.tick(m_now, m_setup.actions);
        carryOut();
    }

    pcg32 m_random;
    Setup m_setup;
    TimePoint m_now { at(1s) };
    uint32_t m_slots { 2 };
    TimePoint m_leasedUntil { at(1000s) };
    std::map<ServerId, TimePoint> m_usable;
    std::vector<RouterAction> m_open;
    std::map<RequestHandle, Fate> m_fates;
    std::map<std::pair<RequestHandle, uint32_t>, bool> m_replied;
};

} // namespace

class RouterInvariantTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RouterInvariantTest);
    CPPUNIT_TEST(everyRequestEndsInOneTrueAnswer);
    CPPUNIT_TEST(oneSeedGivesOneSequence);
    CPPUNIT_TEST_SUITE_END();

    // Guards against lost, doubled and untrue answers, doubled runs and leaked slots under random events.
    void everyRequestEndsInOneTrueAnswer()
    {
        for (uint64_t seed = 1; seed <= 400; ++seed)
            RandomHost(seed).run();
    }

    // Guards against decisions that depend on addresses or hash order.
    void oneSeedGivesOneSequence()
    {
        const auto serversOf = [](uint64_t seed) {
            std::string servers;
            Setup setup({ makeRow("lookup") }, 10, 2, { .seed = seed });
            for (int i = 0; i < 20; ++i)
                setup.submit(makeRequest("lookup"), at(1s));
            for (const SendToServer& sent : setup.take<SendToServer>())
                servers += sent.server.value();
            return servers;
        };
        CPPUNIT_ASSERT_EQUAL(serversOf(5), serversOf(5));
        CPPUNIT_ASSERT(serversOf(5) != serversOf(6));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterInvariantTest);

} // namespace hickoryknot
