#pragma once

#include <cstdint>

namespace hickoryknot {

// Indices into the flat tables of the placement engine.
using WorkerIndex = uint32_t;
using RackIndex = uint32_t;
using RowIndex = uint32_t;
using TeamIndex = uint32_t;
using ShapeIndex = uint32_t;
using JobIndex = uint32_t;
using QueueIndex = uint32_t;
using RunIndex = uint32_t;

/// "No entry" for every kind of index.
constexpr uint32_t noIndex = UINT32_MAX;

} // namespace hickoryknot
