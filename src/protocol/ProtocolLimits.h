#pragma once

#include <cstddef>
#include <cstdint>

#include "core/Time.h"

namespace hickoryknot::protocol_limits {

/// Bytes of one external message. Equal to the server's default body limit.
inline constexpr size_t maxMessageBytes = size_t { 1024 } * 1024;
/// Bytes of one message between hosts. Larger, since base64 adds a third to a forwarded payload.
inline constexpr size_t maxInternalMessageBytes = size_t { 4 } * 1024 * 1024;
/// Nesting depth of objects and lists. The deepest message uses four levels.
inline constexpr size_t maxDepth = 8;
/// Elements of one list: more than the tasks of the largest worker and the ids of one bulk cancellation.
inline constexpr size_t maxListLength = 10'000;
/// Bytes of a string that has no limit of its own.
inline constexpr size_t maxTextBytes = size_t { 4 } * 1024;
/// Bytes of a request's body before base64.
inline constexpr size_t maxRequestBodyBytes = size_t { 256 } * 1024;
/// Bytes of a backend server's response before base64.
inline constexpr size_t maxResponseBytes = size_t { 512 } * 1024;
/// Bytes of a forwarded proposal and its result before base64.
inline constexpr size_t maxProposalBytes = size_t { 2 } * 1024 * 1024;

/// Largest whole number that every JSON reader represents exactly (2^53 - 1).
inline constexpr uint64_t maxCounter = (uint64_t { 1 } << 53) - 1;
/// Processors of one worker or task: 10,000 cores.
inline constexpr int64_t maxMillicores = 10'000'000;
/// Memory of one worker or task: 1 PiB.
inline constexpr int64_t maxMebibytes = int64_t { 1024 } * 1024 * 1024;
inline constexpr int64_t maxAccelerators = 10'000;
/// Limit on the sums over a zone, as a multiple of the limits of one worker.
inline constexpr int64_t maxWorkersPerSum = 10'000;
/// Tasks of one job.
inline constexpr uint32_t maxTasksPerJob = 10'000;
/// Slots or connections of one backend server.
inline constexpr uint32_t maxServerSlots = 65'535;
/// Attempts of one request id.
inline constexpr uint32_t maxAttempts = 1'000'000;

/// Long poll of a worker heartbeat.
inline constexpr Duration maxHeartbeatWait = 30s;
/// Deadline of a short request.
inline constexpr Duration maxRequestDeadline = 600s;
/// Expected or measured run time of a task: 366 days.
inline constexpr Duration maxRunTime = 366 * 24 * 3600s;
/// Task, zone and slot leases.
inline constexpr Duration maxLease = 60s;

} // namespace hickoryknot::protocol_limits
