#pragma once

#include <string>

#include "Scene.h"

namespace hickoryknot::review {

struct CaseOptions {
    std::string folder;
    std::string recordFile;
    bool hasTrouble { true };
};

/// A minion is cut off for some seconds while more than 500 of its tasks end.
Verdict playManyEnds(const CaseOptions&);
/// A status report of another writer arrives, with a service that isn't in the configuration.
Verdict playForeignReport(const CaseOptions&);
/// One machine crashes three times, and a task that lasts is on it.
Verdict playUnstableMinion(const CaseOptions&);
/// A task that lasts fails some times in a row on the only minion of its kind.
Verdict playFailingService(const CaseOptions&);
/// A route with advice is replaced by another one at its place while a job of its queue is at work.
Verdict playReplacedRoute(const CaseOptions&);
/// An entry process stands still with a consumer's submission, and the consumer cancels.
Verdict playPausedEntry(const CaseOptions&);
/// A burst of urgent jobs waits for the only minion of its kind, and a job without requirements comes after it.
Verdict playWaitingBurst(const CaseOptions&);

} // namespace hickoryknot::review
