#include "workflow/RunEnd.h"

#include <array>
#include <cstddef>

namespace hickoryknot::workflow {

const char* runEndName(RunEnd end)
{
    constexpr std::array names { "done", "failed", "stopped", "lost", "broken", "alone", "neverStarted" };
    return names[static_cast<size_t>(end)];
}

} // namespace hickoryknot::workflow
