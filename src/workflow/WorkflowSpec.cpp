#include "workflow/WorkflowSpec.h"

#include <algorithm>
#include <fmt/format.h>

#include "protocol/ProtocolLimits.h"

namespace hickoryknot::workflow {

namespace {

/// The caller-facing protocol promises 4,000 bytes.
constexpr size_t maxCommandBytes = 4096;
/// Steps per workflow and tasks per step; the record of a workflow must fit into one log message.
constexpr size_t maxSteps = 64;
constexpr uint32_t maxTasks = 2000;
constexpr uint32_t maxOccurrences = 1'000'000;
constexpr size_t maxLabelBytes = 128;

tl::unexpected<Error> invalid(std::string message) { return makeError(ErrorCode::InvalidArgument, std::move(message)); }

Expected<void> checkStep(const StepSpec& step, size_t index)
{
    if (step.count < 1 || step.count > maxTasks)
        return invalid(fmt::format("step {} has {} tasks; 1 to {} are allowed", index, step.count, maxTasks));
    const auto& size = step.perTask;
    const bool isSizeValid = size.millicores.count() >= 0 && size.millicores.count() <= protocol_limits::maxMillicores
        && size.mebibytes.count() >= 0 && size.mebibytes.count() <= protocol_limits::maxMebibytes
        && size.accelerators.count() >= 0 && size.accelerators.count() <= protocol_limits::maxAccelerators;
    if (!isSizeValid)
        return invalid(fmt::format("step {} asks for resources out of range", index));
    for (const uint32_t earlier : step.dependencies) {
        if (earlier >= index)
            return invalid(fmt::format("step {} depends on step {}, which is not an earlier one", index, earlier));
    }
    if (step.requiredLabel.size() > maxLabelBytes || step.image.size() > maxLabelBytes
        || step.dataRack.value().size() > maxLabelBytes)
        return invalid(fmt::format("step {} has a label, image or rack of more than {} bytes", index, maxLabelBytes));
    if (step.estimatedRunTime < Duration::zero() || step.estimatedRunTime > protocol_limits::maxRunTime)
        return invalid(fmt::format("step {} has an estimate out of range", index));
    return {};
}

} // namespace

Expected<void> checkWorkflowSpec(const WorkflowSpec& spec)
{
    if (spec.command.size() > maxCommandBytes)
        return makeError(ErrorCode::TooLarge, fmt::format("the command has more than {} bytes", maxCommandBytes));
    if (spec.steps.empty() || spec.steps.size() > maxSteps)
        return invalid(fmt::format("a workflow has 1 to {} steps", maxSteps));
    for (size_t i = 0; i < spec.steps.size(); ++i) {
        if (auto checked = checkStep(spec.steps[i], i); !checked)
            return checked;
    }
    if (spec.repeatCount > maxOccurrences || spec.intervalMs < 0 || spec.firstMs < 0)
        return invalid("the times of the occurrences are out of range");
    return {};
}

Duration criticalPathLength(const WorkflowSpec& spec)
{
    Duration longest { 0 };
    for (uint32_t i = 0; i < spec.steps.size(); ++i)
        longest = std::max(longest, criticalPathLengthFrom(spec, i));
    return longest;
}

Duration criticalPathLengthFrom(const WorkflowSpec& spec, uint32_t step)
{
    std::vector<Duration> runTimes;
    runTimes.reserve(spec.steps.size());
    for (const auto& declared : spec.steps)
        runTimes.push_back(declared.estimatedRunTime);
    return criticalPathLengthFrom(spec, step, runTimes);
}

Duration criticalPathLengthFrom(const WorkflowSpec& spec, uint32_t step, const std::vector<Duration>& runTimes)
{
    // Steps depend only on earlier ones, so a reverse pass visits each successor before its predecessors.
    std::vector<Duration> lengths(spec.steps.size());
    for (size_t i = spec.steps.size(); i-- > step;) {
        lengths[i] += runTimes[i];
        for (const uint32_t earlier : spec.steps[i].dependencies) {
            if (earlier >= step)
                lengths[earlier] = std::max(lengths[earlier], lengths[i]);
        }
    }
    return lengths[step];
}

} // namespace hickoryknot::workflow
