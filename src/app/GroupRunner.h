#pragma once

#include <functional>
#include <memory>
#include <string>

#include "app/HostSettings.h"
#include "consensus/LogGroup.h"
#include "consensus/StateMachine.h"
#include "core/Error.h"

namespace hickoryknot {

class DutyThread;

struct GroupRunnerSettings {
    /// Name on the wire and of the folder: cell or zone.
    std::string name;
    LogGroupSettings log;
    /// Name of the cell, which the folder records.
    std::string cell;
    /// Empty on a host without a disk.
    std::string folder;
};

/// Runs one replicated log on the control thread: hands its messages to the network and its writes to the storage
/// thread, and tells when leadership begins and ends.
class GroupRunner {
public:
    /// Sends a message to a host; called on the control thread.
    using SendMessage = std::function<void(const HostId&, const std::string& group, std::string bytes)>;
    /// Runs work on the control thread later; called from the storage thread.
    using PostToControl = std::function<void(std::function<void()>)>;

    /// Leadership with its term, once the state holds all entries of earlier terms, or its end.
    using LeadershipChanged = std::function<void(bool isLeader, uint64_t term, TimePoint now)>;

    struct Links {
        SendMessage send;
        PostToControl postToControl;
        LeadershipChanged leadershipChanged;
        DutyThread& storage;
    };

    /// Errors as RecordStore::open() and LogGroup::open().
    static Expected<std::unique_ptr<GroupRunner>> open(const GroupRunnerSettings&, StateMachine&, Links, TimePoint now);

    void step(std::string_view bytes, TimePoint now);
    void tick(TimePoint now);

    /// As LogGroup::propose(), but the completion runs later, outside of the group, so that it may propose again.
    void propose(std::string payload, TimePoint now, LogGroup::ProposeCompletion);

    /// Waits until this host's state holds everything committed before the call; leader only.
    void readBarrier(TimePoint now, LogGroup::Completion);

    /// Hands leadership to another voter if this host leads.
    void handOver(TimePoint now);

    /// Adds a learner, or a voter that counts once it has caught up. Ends in an event line.
    void addMember(const HostId&, bool isVoter, TimePoint now);
    void removeMember(const HostId&, TimePoint now);

    /// Forms the group anew around the one surviving voter that the cell's record names.
    void formAnew(uint64_t generation, const std::vector<HostId>& voters, TimePoint now);

    const LogGroup& group() const { return *m_group; }

    /// A moment at which a quorum round had not yet begun that has since been confirmed, if this host leads.
    std::optional<TimePoint> confirmedRound(TimePoint now) const;

private:
    GroupRunner(GroupRunnerSettings, Links);

    void pump(TimePoint now);
    void reportMemberChange(std::string what, const Expected<void>&);
    void reportRole(TimePoint now);
    void barrierEnded(uint64_t term, bool isReadable, TimePoint now);
    void reportStorage();

    GroupRunnerSettings m_settings;
    Links m_links;
    std::unique_ptr<LogGroup> m_group;
    std::vector<std::function<void()>> m_completions;
    std::optional<HostId> m_reportedLeader;
    uint64_t m_reportedTerm { 0 };
    /// Term in which leadership has been told, while it lasts.
    std::optional<uint64_t> m_leadingTerm;
    TimePoint m_nextBarrier { TimePoint::min() };
    bool m_isBarrierPending { false };
    bool m_hasReportedFailure { false };
    bool m_isPumping { false };
};

} // namespace hickoryknot
