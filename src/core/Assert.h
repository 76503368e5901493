#pragma once

#include <cstdio>
#include <cstdlib>

/// Stops the process when an invariant of the program itself is broken. Errors that the world can cause are returned
/// instead.
#define HICKORYKNOT_ASSERT(condition, message)                                                                         \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            std::fprintf(stderr, "%s:%d: invariant broken: %s (%s)\n", __FILE__, __LINE__, message, #condition);       \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)
