#pragma once

#include <map>
#include <memory>
#include <optional>

#include "app/GroupRunner.h"
#include "app/HostSettings.h"
#include "app/Proposer.h"
#include "lease/HeldLease.h"
#include "membership/HostRegistry.h"
#include "scheduler/CellController.h"
#include "scheduler/ZoneScheduler.h"
#include "state/CellState.h"
#include "state/ZoneState.h"

namespace hickoryknot {

/// The group whose leader can handle a request about a job or the table.
struct Redirect {
    /// Empty: the cell group.
    std::optional<ZoneId> zone;
};

/// State shared by the services of the control thread.
struct ControlContext {
    explicit ControlContext(const HostSettings&);

    /// Finds the leader of the cell's group, or any voter.
    std::optional<HostId> findCellHost() const;
    /// Finds the leader of a zone's group, or any host of that zone other than this one.
    std::optional<HostId> findZoneHost(const ZoneId&, TimePoint now) const;

    Proposer::Target cellTarget();
    Proposer::Target zoneTarget(const ZoneId&);
    /// The home group of a request id: the group of the home zone if given, else the cell group.
    Proposer::Target homeTarget(const std::optional<ZoneId>& homeZone);

    /// True if this host may serve the row: it holds the table lease, or the row has cutOff=keep.
    bool mayServe(const Row&, TimePoint now) const;
    bool holdsTableLease(TimePoint now) const;

    HostSettings settings;
    CellState cell;
    ZoneState zone;
    std::unique_ptr<GroupRunner> cellGroup;
    std::unique_ptr<GroupRunner> zoneGroup;
    std::unique_ptr<Proposer> proposer;
    std::unique_ptr<CellController> cellController;
    std::unique_ptr<ZoneScheduler> zoneScheduler;
    HostRegistry peers;
    /// Addresses of all known hosts, from the settings and from peer messages.
    std::map<HostId, HostAddress> directory;
    HeldLease tableLease;
    bool isDraining { false };
};

/// Converts to milliseconds since the Unix epoch, as used in commands.
UnixMs toUnixMs(WallTime);

} // namespace hickoryknot
