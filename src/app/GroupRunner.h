#pragma once

#include <functional>
#include <memory>
#include <string>

#include "app/HostSettings.h"
#include "consensus/LogGroup.h"
#include "consensus/StateMachine.h"
#include "core/Error.h"

namespace hickoryknot {

class Disk;
class WorkQueueThread;

struct GroupRunnerSettings {
    /// Name used on the wire and for the folder: cell or zone.
    std::string name;
    LogGroupSettings log;
    /// Name of the cell, which is stored in the folder.
    std::string cell;
    /// Empty on a host without a disk.
    std::string folder;
    /// Time between attempts to use a failed disk again.
    Duration repairInterval { 500ms };
};

/// Runs one replicated log on the control thread: passes its messages to the network and its writes to the storage
/// thread, and reports the start and end of leadership.
class GroupRunner {
public:
    /// Sends a message to a host; called on the control thread.
    using SendMessage = std::function<void(const HostId&, const std::string& group, std::string bytes)>;
    /// Posts work to the control thread; called from the storage thread.
    using PostToControl = std::function<void(std::function<void()>)>;

    /// Reports the start of leadership, once all entries of earlier terms are applied, and its end.
    using LeadershipChanged = std::function<void(bool isLeader, uint64_t term, TimePoint now)>;

    struct Dependencies {
        SendMessage send;
        PostToControl postToControl;
        LeadershipChanged leadershipChanged;
        WorkQueueThread& storage;
        /// Opens the data folder; by default as a FileDisk.
        std::function<Expected<std::unique_ptr<Disk>>(const std::string& folder)> openDisk {};
    };

    /// Errors: see RecordStore::open() and LogGroup::open().
    static Expected<std::unique_ptr<GroupRunner>> open(
        const GroupRunnerSettings&, StateMachine&, Dependencies, TimePoint now);

    void step(std::string_view bytes, TimePoint now);
    void tick(TimePoint now);

    /// Like LogGroup::propose(), but the completion is called outside of the group, so that it may propose again.
    void propose(std::string payload, TimePoint now, LogGroup::ProposeCompletion);

    /// Completes once this host has applied everything committed before the call; leader only.
    void readBarrier(TimePoint now, LogGroup::Completion);

    /// Transfers leadership to another voter if this host leads.
    void transferLeadership(TimePoint now);

    /// Adds a learner, or a voter that votes once it has caught up. The result is logged.
    void addMember(const HostId&, bool isVoter, TimePoint now);
    void removeMember(const HostId&, TimePoint now);

    /// Re-forms the group with the surviving voter named in the cell's zone record.
    void reformGroup(uint64_t generation, const std::vector<HostId>& voters, TimePoint now);

    const LogGroup& group() const { return *m_group; }

    /// If this host leads: a lower bound for the start time of the latest quorum round that has been confirmed.
    std::optional<TimePoint> confirmedRound(TimePoint now) const;

private:
    GroupRunner(GroupRunnerSettings, Dependencies);

    void processReady(TimePoint now);
    void reportMemberChange(std::string what, const Expected<void>&);
    void updateLeadership(TimePoint now);
    void repairStore(TimePoint now);
    void onRepairAttempted(const Expected<void>&, TimePoint now);
    void endLeadership(TimePoint now);
    void onBarrierResult(uint64_t term, bool isReadable, TimePoint now);
    void logRecovery();

    GroupRunnerSettings m_settings;
    Dependencies m_dependencies;
    std::unique_ptr<LogGroup> m_group;
    std::vector<std::function<void()>> m_completions;
    std::optional<HostId> m_reportedLeader;
    uint64_t m_reportedTerm { 0 };
    /// Term for which leadership was reported, until its end is reported.
    std::optional<uint64_t> m_leadingTerm;
    TimePoint m_nextBarrier { TimePoint::min() };
    bool m_isBarrierPending { false };
    bool m_hasReportedFailure { false };
    bool m_isRepairing { false };
    TimePoint m_nextRepair { TimePoint::min() };
    bool m_isProcessing { false };
};

} // namespace hickoryknot
