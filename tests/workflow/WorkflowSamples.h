#pragma once

#include "workflow/WorkflowCommand.h"

namespace hickoryknot::workflow {

/// Sample commands and specifications for tests.
namespace samples {

inline const WorkflowId firstId("00000000000000a1");
inline const WorkflowId secondId("00000000000000a2");

inline StepSpec step(uint32_t count, int64_t millicores = 1000)
{
    StepSpec spec;
    spec.count = count;
    spec.perTask = { .millicores = Millicores(millicores), .mebibytes = Mebibytes(100), .accelerators = {} };
    spec.estimatedRunTime = 1s;
    return spec;
}

inline Queue queue(const char* name = "q", uint32_t priority = 0)
{
    Queue row;
    row.name = QueueName(name);
    row.callerHost = "host";
    row.urlPrefix = std::string("/") + name + "/";
    row.pool = PoolName("pool");
    row.priority = priority;
    row.maxAttempts = 2;
    row.stretchPermille = 2000;
    row.targetLatency = 1s;
    row.callTimeout = 3s;
    return row;
}

inline QueueTable table(uint64_t version = 1)
{
    QueueTable result;
    result.version = version;
    result.queues = { queue("q"), queue("low", 2) };
    result.pools = { { .name = PoolName("pool") } };
    result.document = "{}";
    return result;
}

inline AcceptWorkflow accept(const WorkflowId& id, std::vector<StepSpec> steps, const char* queueName = "q")
{
    AcceptWorkflow command;
    command.id = id;
    command.queue = QueueName(queueName);
    command.pool = PoolName("pool");
    command.maxAttempts = 2;
    command.spec.command = "run " + id.value();
    command.spec.steps = std::move(steps);
    return command;
}

inline WorkerIncarnation incarnation(const char* worker, int64_t startTimeMs = 1)
{
    return { .worker = WorkerId(worker), .startTimeMs = startTimeMs, .address = std::string("10.0.0.1:") + worker };
}

inline WorkerProfile profile(const char* worker, int64_t startTimeMs = 1, int64_t millicores = 4000)
{
    WorkerProfile result;
    result.incarnation = incarnation(worker, startTimeMs);
    result.pool = PoolName("pool");
    result.zone = ZoneId("z");
    result.rack = RackId("r1");
    result.labels = { "a", "r1" };
    result.capacity = { .millicores = Millicores(millicores), .mebibytes = Mebibytes(8000), .accelerators = {} };
    return result;
}

inline RunRef run(const WorkflowId& id, uint32_t step, uint32_t index, uint32_t number = 1)
{
    return { .task = { .step = { id, 0, step }, .index = index }, .run = number };
}

} // namespace samples
} // namespace hickoryknot::workflow
