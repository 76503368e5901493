#pragma once

#include <string>

namespace review {

class Cell;
class Fleet;
class Record;

enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

struct CaseOptions {
    std::string program;
    bool hasTrouble { true };
};

/// Hundreds of changes of a large configuration; CONFIG and LOST.
Verdict runConfigStorm(const CaseOptions&, Record&);
/// Open connections go silent while a route is dropped; REFUSED.
Verdict runRefusedSubmission(const CaseOptions&, Record&);
/// A worker crashes under a gang with checkpoints; UNASKED.
Verdict runGangCheckpoint(const CaseOptions&, Record&);
/// A submission reaches the system after its cancellation, with a change of leader between them; UNASKED.
Verdict runLateSubmission(const CaseOptions&, Record&);

/// A status report of another writer names the address of a minion; TWICE.
Verdict runForeignReport(const CaseOptions&, Record&);
} // namespace review
