#include "state/RequestExecution.h"

namespace hickoryknot {

CommandResult startRequest(RequestBook& book, const StartRequest& command, UnixMs nowMs)
{
    const auto standing = book.standing(command.request, command.contentHash, nowMs);
    if (standing == RequestStanding::Known) {
        const auto* record = book.find(command.request);
        return RequestKnown { .isRunning = record->phase == RequestPhase::Started, .outcome = record->outcome };
    }
    if (standing != RequestStanding::New)
        return standingError(standing, command.request);
    book.start(command.request, command.contentHash, command.host, command.deadlineMs);
    return RequestStarted {};
}

CommandResult endRequest(RequestBook& book, const EndRequest& command, UnixMs nowMs)
{
    auto first = book.end(command.request, command.outcome, nowMs);
    if (!first)
        return first.error();
    return RequestKnown { .outcome = std::move(*first) };
}

} // namespace hickoryknot
