#include "protocol/MessageSamples.h"

#include "protocol/CancelBatchCodec.h"
#include "protocol/ForwardedProposalCodec.h"
#include "protocol/JobStatusCodec.h"
#include "protocol/JobSubmissionCodec.h"
#include "protocol/OutcomeCodec.h"
#include "protocol/PeerMessageCodec.h"
#include "protocol/PeerReplyCodec.h"
#include "protocol/ProposalResultCodec.h"
#include "protocol/ProtocolLimits.h"
#include "protocol/RequestSubmissionCodec.h"
#include "protocol/ServerHeartbeatCodec.h"
#include "protocol/WorkRequestCodec.h"
#include "protocol/WorkerHeartbeatCodec.h"
#include "protocol/WorkerInstructionsCodec.h"

namespace hickoryknot {

using namespace protocol_limits;

namespace {

constexpr std::string_view idCharacters = "abcXYZ019._:-";

/// A random value of the range, often one of the bounds.
uint64_t unsignedInteger(pcg32& random, uint64_t min, uint64_t max)
{
    const uint32_t pick = random(8);
    if (pick < 2)
        return pick == 0 ? min : max;
    const uint64_t bits = (uint64_t { random() } << 32) | random();
    return max - min == UINT64_MAX ? bits : min + bits % (max - min + 1);
}

bool boolean(pcg32& random) { return random(2) == 1; }

template <typename Id> Id id(pcg32& random)
{
    std::string text(unsignedInteger(random, 1, 128), ' ');
    for (char& c : text)
        c = idCharacters[random(idCharacters.size())];
    return Id(text);
}

template <typename Id> std::optional<Id> optionalId(pcg32& random)
{
    return boolean(random) ? std::optional(id<Id>(random)) : std::nullopt;
}

std::optional<bool> optionalBoolean(pcg32& random)
{
    return boolean(random) ? std::optional(boolean(random)) : std::nullopt;
}

std::string bytes(pcg32& random, size_t min = 0)
{
    std::string text(min + random(40), ' ');
    const bool isAscii = boolean(random);
    for (char& c : text)
        c = static_cast<char>(isAscii ? 32 + random(95) : random(256));
    return text;
}

std::string text(pcg32& random, size_t min)
{
    std::string result(min + random(40), ' ');
    for (char& c : result)
        c = static_cast<char>(random(128));
    return result;
}

Duration milliseconds(pcg32& random, Duration max)
{
    const auto maxMs = std::chrono::duration_cast<std::chrono::milliseconds>(max).count();
    return std::chrono::milliseconds(unsignedInteger(random, 0, static_cast<uint64_t>(maxMs)));
}

Resources resources(pcg32& random, int64_t factor = 1)
{
    const auto amount = [&](int64_t max) {
        return static_cast<int64_t>(unsignedInteger(random, 0, static_cast<uint64_t>(max * factor)));
    };
    return { Millicores(amount(maxMillicores)), Mebibytes(amount(maxMebibytes)),
        Accelerators(amount(maxAccelerators)) };
}

Outcome outcome(pcg32& random)
{
    return { static_cast<OutcomeKind>(random(6)), text(random, 0), text(random, 0), bytes(random) };
}

template <typename Make> auto listOf(pcg32& random, Make make)
{
    std::vector<decltype(make())> list;
    for (uint32_t count = random(4); count > 0; --count)
        list.push_back(make());
    return list;
}

void fill(pcg32& random, WorkerHeartbeat& m)
{
    m.worker = id<WorkerId>(random);
    m.incarnation = unsignedInteger(random, 0, maxCounter);
    m.zone = id<ZoneId>(random);
    m.rack = id<RackId>(random);
    m.capacity = resources(random);
    m.term = unsignedInteger(random, 0, maxCounter);
    m.lastSequence = unsignedInteger(random, 0, maxCounter);
    m.running = listOf(random, [&] {
        return RunningTask { id<TaskId>(random), unsignedInteger(random, 0, maxCounter), resources(random) };
    });
    m.ended = listOf(random, [&] {
        return EndedTask { id<TaskId>(random), unsignedInteger(random, 0, maxCounter), static_cast<int>(random()),
            milliseconds(random, maxRunTime) };
    });
    m.isLeaving = boolean(random);
    m.wait = milliseconds(random, maxHeartbeatWait);
}

void fill(pcg32& random, WorkerInstructions& m)
{
    m.term = unsignedInteger(random, 0, maxCounter);
    m.sequence = unsignedInteger(random, 0, maxCounter);
    m.start = listOf(random, [&] {
        return StartTask { id<TaskId>(random), unsignedInteger(random, 0, maxCounter), id<JobId>(random),
            text(random, 1), resources(random), milliseconds(random, maxLease) };
    });
    m.stop = listOf(random, [&] {
        return StopTask { id<TaskId>(random), unsignedInteger(random, 0, maxCounter), boolean(random) };
    });
    m.renew = listOf(random, [&] {
        return RenewLease { id<TaskId>(random), unsignedInteger(random, 0, maxCounter),
            milliseconds(random, maxLease) };
    });
    m.acknowledged = listOf(random, [&] { return id<TaskId>(random); });
}

void fill(pcg32& random, ServerHeartbeat& m)
{
    m = { id<ServerId>(random), unsignedInteger(random, 0, maxCounter), unsignedInteger(random, 0, maxCounter),
        id<ZoneId>(random), id<RackId>(random), boolean(random) ? "10.1.2.3" : "fd00::1",
        static_cast<uint16_t>(unsignedInteger(random, 1, UINT16_MAX)),
        static_cast<uint32_t>(unsignedInteger(random, 1, maxServerSlots)),
        static_cast<uint32_t>(unsignedInteger(random, 1, maxServerSlots)),
        static_cast<uint32_t>(unsignedInteger(random, 0, maxServerSlots)), boolean(random) };
}

void fill(pcg32& random, RequestSubmission& m)
{
    m = { id<RequestId>(random), id<RowName>(random), optionalId<TeamId>(random).value_or(TeamId()),
        optionalBoolean(random), optionalId<ZoneId>(random),
        static_cast<uint32_t>(unsignedInteger(random, 1, maxAttempts)), milliseconds(random, maxRequestDeadline),
        bytes(random) };
}

void fill(pcg32& random, JobSubmission& m)
{
    m = { id<RequestId>(random), id<RowName>(random), id<TeamId>(random), static_cast<JobKind>(random(3)),
        static_cast<uint32_t>(unsignedInteger(random, 1, maxTasksPerJob)), resources(random),
        milliseconds(random, maxRunTime), optionalBoolean(random), text(random, 1), optionalId<ZoneId>(random),
        static_cast<uint32_t>(unsignedInteger(random, 1, maxAttempts)) };
}

void fill(pcg32& random, WorkRequest& m) { m = { id<RequestId>(random), bytes(random) }; }
void fill(pcg32& random, Outcome& m) { m = outcome(random); }

void fill(pcg32& random, JobStatus& m)
{
    m.job = id<JobId>(random);
    m.row = id<RowName>(random);
    m.team = id<TeamId>(random);
    m.kind = static_cast<JobKind>(random(3));
    m.phase = static_cast<JobPhase>(random(3));
    m.zone = optionalId<ZoneId>(random);
    m.epoch = unsignedInteger(random, 0, maxCounter);
    m.tasks = random();
    m.queuedTasks = random();
    m.runningTasks = random();
    m.succeededTasks = random();
    m.failedTasks = random();
    if (boolean(random))
        m.outcome = outcome(random);
}

void fill(pcg32& random, CancelBatch& m)
{
    m = { id<RequestId>(random), listOf(random, [&] { return id<JobId>(random); }) };
    m.jobs.push_back(id<JobId>(random));
}

void fill(pcg32& random, PeerMessage& m)
{
    m.host = id<HostId>(random);
    m.storeId = unsignedInteger(random, 0, UINT64_MAX);
    m.incarnation = unsignedInteger(random, 0, maxCounter);
    m.zone = id<ZoneId>(random);
    m.sequence = unsignedInteger(random, 0, maxCounter);
    m.appliedTableVersion = unsignedInteger(random, 0, maxCounter);
    m.leadsZone = boolean(random);
    m.zoneTerm = unsignedInteger(random, 0, maxCounter);
    m.zoneCutOffVersion = unsignedInteger(random, 0, maxCounter);
    m.zoneEpoch = unsignedInteger(random, 0, maxCounter);
    m.isDraining = boolean(random);
    m.address = "127.0.0.1";
    m.port = static_cast<uint16_t>(unsignedInteger(random, 1, UINT16_MAX));
    m.free = resources(random, maxWorkersPerSum);
}

void fill(pcg32& random, PeerReply& m)
{
    m.host = id<HostId>(random);
    m.leadsCell = boolean(random);
    m.cellTerm = unsignedInteger(random, 0, maxCounter);
    m.cellLeader = optionalId<HostId>(random);
    m.cellTableVersion = unsignedInteger(random, 0, maxCounter);
    m.zoneLease = milliseconds(random, maxLease);
    m.tableLease = milliseconds(random, maxLease);
}

void fill(pcg32& random, ForwardedProposal& m) { m = { bytes(random), milliseconds(random, maxRequestDeadline) }; }
void fill(pcg32& random, ProposalResult& m) { m = { unsignedInteger(random, 0, maxCounter), bytes(random) }; }

template <typename Message>
MessageSample sample(
    std::string name, std::string (*encode)(const Message&), Expected<Message> (*decode)(std::string_view))
{
    return { std::move(name),
        [encode](pcg32& random) {
            Message message;
            fill(random, message);
            return encode(message);
        },
        [encode, decode](std::string_view document) { return decode(document).map(encode); } };
}

} // namespace

const std::vector<MessageSample>& messageSamples()
{
    static const std::vector<MessageSample> samples {
        sample("worker heartbeat", encodeWorkerHeartbeat, decodeWorkerHeartbeat),
        sample("worker instructions", encodeWorkerInstructions, decodeWorkerInstructions),
        sample("server heartbeat", encodeServerHeartbeat, decodeServerHeartbeat),
        sample("request submission", encodeRequestSubmission, decodeRequestSubmission),
        sample("job submission", encodeJobSubmission, decodeJobSubmission),
        sample("work request", encodeWorkRequest, decodeWorkRequest),
        sample("outcome", encodeOutcome, decodeOutcome),
        sample("job status", encodeJobStatus, decodeJobStatus),
        sample("cancel batch", encodeCancelBatch, decodeCancelBatch),
        sample("peer message", encodePeerMessage, decodePeerMessage),
        sample("peer reply", encodePeerReply, decodePeerReply),
        sample("forwarded proposal", encodeForwardedProposal, decodeForwardedProposal),
        sample("proposal result", encodeProposalResult, decodeProposalResult),
    };
    return samples;
}

} // namespace hickoryknot
