#include "workflow/WorkerRequests.h"

#include <array>
#include <cstddef>

namespace hickoryknot::workflow {

const char* workerRequestStatusName(WorkerRequestStatus status)
{
    constexpr std::array names { "done", "fenced", "outdated", "tooLate", "noRoom", "noPermit", "unhealthy",
        "wrongLife", "invalid", "noAnswer", "notSent" };
    return names[static_cast<size_t>(status)];
}

} // namespace hickoryknot::workflow
