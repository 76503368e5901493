#pragma once

#include <cstdio>
#include <cstdlib>

/// Aborts the process if an invariant of the program does not hold. Errors from outside of the program, such as bad
/// input or a failed write, are returned as Error instead.
#define HICKORYKNOT_ASSERT(condition, message)                                                                         \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            std::fprintf(stderr, "%s:%d: invariant broken: %s (%s)\n", __FILE__, __LINE__, message, #condition);       \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)
