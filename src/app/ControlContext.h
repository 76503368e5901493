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

/// Another place that can answer a question about a job or the table.
struct Redirect {
    /// Missing: the cell's leader.
    std::optional<ZoneId> zone;
};

/// What the services of the control thread share.
struct ControlContext {
    explicit ControlContext(const HostSettings&);

    /// Finds the leader of the cell's group, or any voter.
    std::optional<HostId> findCellHost() const;
    /// Finds the leader of a zone's group, or any host of that zone other than this one.
    std::optional<HostId> findZoneHost(const ZoneId&, TimePoint now) const;

    Proposer::Target cellTarget();
    Proposer::Target zoneTarget(const ZoneId&);
    /// The group that keeps a request id: the given home zone's, or the cell's.
    Proposer::Target homeTarget(const std::optional<ZoneId>& homeZone);

    /// True if a host may act on rows of this kind: it holds the table lease, or the row keeps working when cut off.
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
    /// Addresses of all hosts known, from the settings and from peer messages.
    std::map<HostId, HostAddress> directory;
    HeldLease tableLease;
    bool isDraining { false };
};

/// Milliseconds since 1970 for commands.
UnixMs toUnixMs(WallTime);

} // namespace hickoryknot
