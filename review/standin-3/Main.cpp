#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>

#include "Cases.h"
#include "Cell.h"

/// Plays one case: reviewcell3 CASE PROGRAM RECORD.
int main(int argc, char** argv)
{
    using namespace review;
    const std::map<std::string, Verdict (*)(const CaseOptions&, Record&)> cases {
        { "config-storm", runConfigStorm },
        { "refused-submission", runRefusedSubmission },
        { "gang-checkpoint", runGangCheckpoint },
        { "late-submission", runLateSubmission },
        { "foreign-report", runForeignReport },
    };
    const auto found = argc == 4 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: reviewcell3 CASE PROGRAM RECORD\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    Record record(argv[3]);
    try {
        const auto verdict
            = found->second({ .program = argv[2], .hasTrouble = !trouble || std::string(trouble) != "0" }, record);
        record.write("exit code " + std::to_string(static_cast<int>(verdict)));
        return static_cast<int>(verdict);
    } catch (const std::exception& error) {
        record.write(std::string("the case could not run: ") + error.what());
        return 2;
    }
}
