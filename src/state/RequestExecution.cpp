#include "state/RequestExecution.h"

namespace hickoryknot {

CommandResult startRequest(RequestTracker& tracker, const StartRequest& command, UnixMs nowMs)
{
    const auto idStatus = tracker.idStatus(command.request, command.contentHash, nowMs);
    if (idStatus == RequestIdStatus::Known) {
        const auto* record = tracker.find(command.request);
        return RequestKnown { .isRunning = record->phase == RequestPhase::Started, .outcome = record->outcome };
    }
    if (idStatus != RequestIdStatus::New)
        return requestIdError(idStatus, command.request);
    tracker.start(command.request, command.contentHash, command.host, command.deadlineMs);
    return RequestStarted {};
}

CommandResult endRequest(RequestTracker& tracker, const EndRequest& command, UnixMs nowMs)
{
    auto first = tracker.end(command.request, command.outcome, nowMs);
    if (!first)
        return first.error();
    return RequestKnown { .outcome = std::move(*first) };
}

} // namespace hickoryknot
