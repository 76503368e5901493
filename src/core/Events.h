#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace hickoryknot {

/// Log events. Numbers are stable and never reused. docs/events.md lists each event with its meaning.
enum class Event : uint16_t {
    HostStarted = 100,
    HostStopping = 101,
    HostStopped = 102,
    SettingsRejected = 103,
    DrainStarted = 104,
    SettingsReloaded = 105,
    LinesLeftOut = 106,
    ListenFailed = 110,
    RequestRejected = 111,
    PeerUnreachable = 112,
    PeerReachable = 113,
    LeaderLost = 114,
    LeaderFound = 115,
    PermissionFailed = 116,
    CourierFound = 117,
    CourierSilent = 118,
    CallUnauthorised = 119,
    ClientsLimited = 120,
    LeaderChanged = 200,
    StorageRecovered = 210,
    StorageFailed = 211,
    TornTailCut = 212,
    SnapshotWritten = 213,
    SnapshotInstalled = 214,
    MemberChanged = 220,
    ForeignDisk = 221,
    TableChanged = 300,
    TableChangeRefused = 301,
    TableLeaseLost = 302,
    TableLeaseRegained = 303,
    JobAccepted = 400,
    JobFinished = 401,
    JobCancelled = 402,
    JobMoved = 403,
    TaskPlaced = 410,
    TaskEnded = 411,
    TaskLeaseExpired = 412,
    TaskStopped = 413,
    PermissionAnswered = 414,
    OrderNotTaken = 415,
    RunMoved = 416,
    LeadershipTaken = 420,
    LeadershipEnded = 421,
    WorkerJoined = 500,
    WorkerSilent = 501,
    WorkerLeaving = 502,
    WorkerOnProbation = 503,
    ServerJoined = 510,
    ServerSilent = 511,
    ServerLeaving = 512,
    RequestRetried = 600,
    RequestNotRun = 601,
    RequestUnknown = 602,
};

/// Entry of the event catalogue.
struct EventDescription {
    Event event;
    std::string_view name;
    std::string_view meaning;
};

/// All events in ascending order of their numbers.
std::span<const EventDescription> eventCatalogue();

std::string_view eventName(Event);

} // namespace hickoryknot
