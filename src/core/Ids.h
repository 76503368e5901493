#pragma once

#include "core/NamedId.h"

namespace hickoryknot {

using HostId = NamedId<struct HostIdTag>;
using ZoneId = NamedId<struct ZoneIdTag>;
using RackId = NamedId<struct RackIdTag>;
using WorkerId = NamedId<struct WorkerIdTag>;
using ServerId = NamedId<struct ServerIdTag>;
using JobId = NamedId<struct JobIdTag>;
using TaskId = NamedId<struct TaskIdTag>;
using RequestId = NamedId<struct RequestIdTag>;
using RowName = NamedId<struct RowNameTag>;
using TeamId = NamedId<struct TeamIdTag>;

} // namespace hickoryknot
