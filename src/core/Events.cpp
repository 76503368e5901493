#include "core/Events.h"

#include <array>

namespace hickoryknot {

namespace {

constexpr auto catalogue = std::to_array<EventDescription>({
    { Event::HostStarted, "HostStarted", "the host listens and takes part in the cell" },
    { Event::HostStopping, "HostStopping",
        "a planned stop has begun, or the process ends because it stood still for too long" },
    { Event::HostStopped, "HostStopped", "every request in progress has ended and the process exits" },
    { Event::SettingsRejected, "SettingsRejected",
        "a setting is unknown, missing or out of range; the process exits with code 2" },
    { Event::DrainStarted, "DrainStarted", "the host takes no new work" },
    { Event::SettingsReloaded, "SettingsReloaded", "the settings file was read again and differed" },
    { Event::LinesLeftOut, "LinesLeftOut",
        "log lines were left out to bound the log; the line says how many, by event" },
    { Event::ListenFailed, "ListenFailed", "the address cannot be bound" },
    { Event::RequestRejected, "RequestRejected", "a request was malformed or over a limit" },
    { Event::PeerUnreachable, "PeerUnreachable", "another host has not answered for 1 s" },
    { Event::PeerReachable, "PeerReachable", "another host answers again" },
    { Event::LeaderLost, "LeaderLost", "no word of the leader in time; the host reports itself as not ready" },
    { Event::LeaderFound, "LeaderFound", "the leader answers; the host reports itself as ready" },
    { Event::PermissionFailed, "PermissionFailed", "the permission service did not answer a call" },
    { Event::CourierFound, "CourierFound", "a host carries orders to workers for the leader" },
    { Event::CourierSilent, "CourierSilent", "a host leaves orders for workers without an answer" },
    { Event::CallUnauthorised, "CallUnauthorised",
        "calls came without a valid key; at most one line a second, with the number of calls since the last one" },
    { Event::ClientsLimited, "ClientsLimited",
        "clients reached a limit of the host; the line counts refusals, dropped and evicted connections of a port" },
    { Event::LeaderChanged, "LeaderChanged", "a replicated log has a new leader or none" },
    { Event::StorageRecovered, "StorageRecovered", "the data folder was read" },
    { Event::StorageFailed, "StorageFailed", "a write or sync failed; the host acknowledges nothing more" },
    { Event::TornTailCut, "TornTailCut", "an incomplete record at the end of the log was removed" },
    { Event::SnapshotWritten, "SnapshotWritten", "a snapshot was stored and older segments removed" },
    { Event::SnapshotInstalled, "SnapshotInstalled", "a snapshot from the leader replaced the local state" },
    { Event::MemberChanged, "MemberChanged", "a host was added to or removed from a replicated log" },
    { Event::ForeignDisk, "ForeignDisk",
        "the data folder belongs to another host or an older incarnation; the host rejoins as a non-voter" },
    { Event::TableChanged, "TableChanged", "a new table version is in force on this host" },
    { Event::TableChangeRefused, "TableChangeRefused", "a table change was refused; the sentence says why" },
    { Event::TableLeaseLost, "TableLeaseLost",
        "the host has not heard from the cell leader in time and serves only rows with cutOff=keep" },
    { Event::TableLeaseRegained, "TableLeaseRegained", "the host hears from the cell leader again" },
    { Event::JobAccepted, "JobAccepted", "a job was recorded" },
    { Event::JobFinished, "JobFinished", "a job has its final outcome" },
    { Event::JobCancelled, "JobCancelled", "a job was cancelled" },
    { Event::JobMoved, "JobMoved", "a job was assigned to another availability zone" },
    { Event::TaskPlaced, "TaskPlaced", "a task was assigned to a worker" },
    { Event::TaskEnded, "TaskEnded", "a worker reported the end of a task" },
    { Event::TaskLeaseExpired, "TaskLeaseExpired", "the lease of a task ran out and the task may be placed again" },
    { Event::TaskStopped, "TaskStopped", "a worker was told to stop a task" },
    { Event::PermissionAnswered, "PermissionAnswered", "the permission service said which workers may run a step" },
    { Event::OrderNotTaken, "OrderNotTaken", "a worker did not take a start or did not answer" },
    { Event::RunMoved, "RunMoved", "a worker started again, and its new incarnation may have a run of the old one" },
    { Event::LeadershipTaken, "LeadershipTaken", "this host leads and has looked at everything that may run" },
    { Event::LeadershipEnded, "LeadershipEnded",
        "this host leads no longer; calls under way are not answered as done" },
    { Event::WorkerJoined, "WorkerJoined", "a worker announced itself" },
    { Event::WorkerSilent, "WorkerSilent", "a worker missed its heartbeats" },
    { Event::WorkerLeaving, "WorkerLeaving", "a worker announced that it leaves" },
    { Event::WorkerOnProbation, "WorkerOnProbation", "a worker failed too many tasks and gets probe tasks only" },
    { Event::ServerJoined, "ServerJoined", "a backend server announced itself" },
    { Event::ServerSilent, "ServerSilent", "a backend server missed its heartbeats and gets no new work" },
    { Event::ServerLeaving, "ServerLeaving", "a backend server announced that it leaves and gets no new work" },
    { Event::RequestRetried, "RequestRetried", "a request was sent to another backend server" },
    { Event::RequestNotRun, "RequestNotRun", "a request was answered not run" },
    { Event::RequestUnknown, "RequestUnknown", "a request was answered unknown" },
});

} // namespace

std::span<const EventDescription> eventCatalogue() { return catalogue; }

std::string_view eventName(Event event)
{
    for (const auto& description : catalogue) {
        if (description.event == event)
            return description.name;
    }
    return "UnknownEvent";
}

} // namespace hickoryknot
