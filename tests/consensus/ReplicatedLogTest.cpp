#include <cppunit/extensions/HelperMacros.h>

#include "consensus/ReplicatedLog.h"

namespace hickoryknot {

// Tests single rules message by message that random schedules exercise too rarely.
class ReplicatedLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReplicatedLogTest);
    CPPUNIT_TEST(commitsOnlyEntriesOfItsOwnTerm);
    CPPUNIT_TEST(acknowledgesOnlyWhatIsDurable);
    CPPUNIT_TEST(votesOnlyDurably);
    CPPUNIT_TEST(givesNoVoteInTheTermFoundOnDisk);
    CPPUNIT_TEST(keepsAcknowledgedSuffixOverSnapshot);
    CPPUNIT_TEST(refusesVotesWhileALeaderIsActive);
    CPPUNIT_TEST(confirmsReadsOnlyByALaterRound);
    CPPUNIT_TEST(changesMembersOneAtATime);
    CPPUNIT_TEST(fencesOlderGenerations);
    CPPUNIT_TEST(dropsMessagesOfSupersededRuns);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now { 10s };

    static StoreIdentity identityOf(const std::string& host, uint64_t incarnation = 1)
    {
        const uint64_t number = static_cast<unsigned char>(host.front());
        return { static_cast<StoreId>(number), incarnation, static_cast<SessionId>(number * 100 + incarnation) };
    }

    ReplicatedLog makeLog(RecoveredLog recovered = {}) const
    {
        ReplicatedLogSettings settings;
        settings.group = "log";
        settings.self = HostId("a");
        settings.identity = identityOf("a");
        for (const char* name : { "a", "b", "c" })
            settings.initialMembers.set({ HostId(name), identityOf(name).store, true, false });
        settings.seed = 1;
        settings.recovered = std::move(recovered);
        return { std::move(settings), m_now };
    }

    static RecoveredLog recoveredWith(Term term, std::vector<Term> entryTerms)
    {
        RecoveredLog recovered;
        recovered.wasEmpty = false;
        recovered.hardState.term = term;
        for (const Term entryTerm : entryTerms)
            recovered.entries.push_back({ recovered.entries.size() + 1, entryTerm, EntryKind::Payload, "x" });
        return recovered;
    }

    LogMessage from(const std::string& host, Term term, LogMessageBody body, uint64_t incarnation = 1) const
    {
        return { "log", HostId(host), identityOf(host, incarnation), HostId("a"), term, std::move(body) };
    }

    void persistAll(ReplicatedLog& log) const
    {
        while (const auto batch = log.popWriteBatch())
            log.onPersisted(batch->sequence, m_now);
    }

    void confirmIdentity(ReplicatedLog& log) const
    {
        for (const char* name : { "b", "c" })
            log.step(from(name, 0, IdentityCheckResponse { identityOf("a"), false, false }), m_now);
        CPPUNIT_ASSERT(log.mayVote());
    }

    void elect(ReplicatedLog& log)
    {
        confirmIdentity(log);
        m_now += 700ms;
        log.tick(m_now);
        log.step(from("b", log.term(), VoteResponse { log.term() + 1, true, true }), m_now);
        CPPUNIT_ASSERT(!log.isLeader());
        persistAll(log);
        log.step(from("b", log.term(), VoteResponse { log.term(), false, true }), m_now);
        CPPUNIT_ASSERT(log.isLeader());
        persistAll(log);
        log.drainMessages();
    }

    void acknowledge(ReplicatedLog& log, const std::string& host, LogIndex match, uint64_t round)
    {
        log.step(from(host, log.term(), AppendResponse { true, true, match, 0, 0, round }), m_now);
    }

    template <typename Body> static std::vector<Body> bodies(const std::vector<OutgoingMessage>& messages)
    {
        std::vector<Body> found;
        for (const auto& outgoing : messages) {
            if (const auto* body = std::get_if<Body>(&outgoing.message.body))
                found.push_back(*body);
        }
        return found;
    }

    // Guards against committing an entry of an older term by counting replicas, which a later leader may still replace.
    void commitsOnlyEntriesOfItsOwnTerm()
    {
        auto log = makeLog(recoveredWith(2, { 1, 2 }));
        elect(log);
        acknowledge(log, "b", 2, 1);
        acknowledge(log, "c", 2, 1);
        CPPUNIT_ASSERT_EQUAL(LogIndex(0), log.commitIndex());
        acknowledge(log, "b", 3, 1);
        CPPUNIT_ASSERT_EQUAL(LogIndex(3), log.commitIndex());
    }

    // Guards against acknowledging entries before they are synced.
    void acknowledgesOnlyWhatIsDurable()
    {
        auto log = makeLog();
        confirmIdentity(log);
        log.step(from("b", 1, AppendRequest { 0, 0, { { 1, 1, EntryKind::Payload, "x" } }, 0, 1, {} }), m_now);
        CPPUNIT_ASSERT(bodies<AppendResponse>(log.drainMessages()).empty());
        const auto batch = log.popWriteBatch();
        CPPUNIT_ASSERT(bodies<AppendResponse>(log.drainMessages()).empty());
        log.onPersisted(batch->sequence, m_now);
        CPPUNIT_ASSERT_EQUAL(size_t(1), bodies<AppendResponse>(log.drainMessages()).size());
    }

    // Guards against a vote that is lost in a crash.
    void votesOnlyDurably()
    {
        auto log = makeLog();
        confirmIdentity(log);
        log.drainMessages();
        log.step(from("b", 1, VoteRequest { 1, 0, 0, false, false }), m_now);
        CPPUNIT_ASSERT(bodies<VoteResponse>(log.drainMessages()).empty());
        persistAll(log);
        CPPUNIT_ASSERT(bodies<VoteResponse>(log.drainMessages()).front().isGranted);
    }

    // Guards against a second vote in a term whose first vote is missing on an older copy of the disk.
    void givesNoVoteInTheTermFoundOnDisk()
    {
        auto log = makeLog(recoveredWith(5, { 1 }));
        confirmIdentity(log);
        m_now += 1s;
        log.drainMessages();
        log.step(from("b", 5, VoteRequest { 5, 1, 1, false, false }), m_now);
        log.step(from("b", 6, VoteRequest { 6, 1, 1, false, false }), m_now);
        persistAll(log);
        const auto responses = bodies<VoteResponse>(log.drainMessages());
        CPPUNIT_ASSERT_EQUAL(size_t(2), responses.size());
        CPPUNIT_ASSERT(!responses[0].isGranted && responses[1].isGranted);
    }

    // Guards against a late snapshot removing entries that were acknowledged meanwhile.
    void keepsAcknowledgedSuffixOverSnapshot()
    {
        auto log = makeLog(recoveredWith(1, { 1, 1, 1 }));
        const Membership members = log.membership();
        log.step(from("b", 1, SnapshotChunk { 2, 1, members, 0, 0, 0, "", 1 }), m_now);
        CPPUNIT_ASSERT_EQUAL(LogIndex(3), log.lastIndex());
        CPPUNIT_ASSERT_EQUAL(LogIndex(2), log.commitIndex());
        CPPUNIT_ASSERT(!log.popInstalledSnapshot());
    }

    // Guards against a new leader while the lease of the old one may still be valid.
    void refusesVotesWhileALeaderIsActive()
    {
        auto log = makeLog();
        confirmIdentity(log);
        log.step(from("b", 1, AppendRequest {}), m_now);
        m_now += 250ms;
        log.step(from("c", 1, VoteRequest { 2, 0, 0, true, false }), m_now);
        log.step(from("c", 2, VoteRequest { 2, 0, 0, false, false }), m_now);
        persistAll(log);
        CPPUNIT_ASSERT_EQUAL(Term(1), log.term());
        CPPUNIT_ASSERT(!bodies<VoteResponse>(log.drainMessages()).front().isGranted);
        log.step(from("c", 2, VoteRequest { 2, 0, 0, false, true }), m_now);
        CPPUNIT_ASSERT_EQUAL(Term(2), log.term());
    }

    // Guards against a read that relies on responses to messages sent before it began.
    void confirmsReadsOnlyByALaterRound()
    {
        auto log = makeLog();
        elect(log);
        acknowledge(log, "b", 1, 1);
        const auto round = log.startReadRound(m_now);
        CPPUNIT_ASSERT(round.has_value());
        log.drainMessages();
        acknowledge(log, "c", 1, 1);
        CPPUNIT_ASSERT(log.confirmedRound() < *round);
        acknowledge(log, "c", 1, *round);
        CPPUNIT_ASSERT(log.confirmedRound() >= *round);
    }

    // Guards against two concurrent membership changes, whose majorities need not overlap.
    void changesMembersOneAtATime()
    {
        auto log = makeLog();
        elect(log);
        acknowledge(log, "b", 1, 1);
        CPPUNIT_ASSERT(log.removeMember(HostId("c"), m_now).has_value());
        const auto second = log.removeMember(HostId("b"), m_now);
        CPPUNIT_ASSERT(!second && second.error().code == ErrorCode::Conflict);
    }

    // Guards against a member of the old group deposing the survivor of a forced membership replacement.
    void fencesOlderGenerations()
    {
        auto log = makeLog(recoveredWith(3, { 1 }));
        confirmIdentity(log);
        CPPUNIT_ASSERT(log.replaceMembers(1, { { HostId("a"), true } }, m_now).has_value());
        for (int i = 0; i < 100 && !log.isLeader(); ++i) {
            m_now += 10ms;
            log.tick(m_now);
            persistAll(log);
        }
        CPPUNIT_ASSERT(log.isLeader());
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), generationOf(log.term()));
        log.step(from("b", 900, AppendRequest { 1, 1, { { 2, 900, EntryKind::Payload, "old" } }, 2, 1, {} }), m_now);
        CPPUNIT_ASSERT(log.isLeader());
        CPPUNIT_ASSERT_EQUAL(size_t(1), log.membership().members().size());
    }

    // Guards against delayed messages of an earlier incarnation of a host counting for the current one.
    void dropsMessagesOfSupersededRuns()
    {
        auto log = makeLog();
        elect(log);
        log.step(from("b", 0, IdentityCheck { 1, 0 }, 2), m_now);
        acknowledge(log, "b", 1, 1);
        CPPUNIT_ASSERT_EQUAL(LogIndex(0), log.commitIndex());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicatedLogTest);

} // namespace hickoryknot
