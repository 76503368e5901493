// Benchmarks of the router: cost per request, fairness under overload, waiting time of short requests beside long ones,
// and goodput with failing servers. Prints one line per result. Takes no arguments; all loops are bounded and use fixed
// seeds.

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "RouterSimulation.h"
#include "routing/SlotAllocator.h"

namespace hickoryknot {

namespace {

class Stopwatch {
public:
    double seconds() const
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_startedAt).count();
    }

private:
    std::chrono::steady_clock::time_point m_startedAt { std::chrono::steady_clock::now() };
};

Row makeRow(const std::string& name)
{
    Row row;
    row.name = RowName(name);
    row.queueBound = 1000;
    return row;
}

std::vector<TrackedServer> makeServers(uint32_t count)
{
    std::vector<TrackedServer> trackedServers;
    for (uint32_t i = 0; i < count; ++i)
        trackedServers.push_back(
            { ServerId("server-" + std::to_string(1000 + i)), 1, "127.0.0.1", 9000, 8, 60, false, TimePoint::max() });
    return trackedServers;
}

// Keeps `inProgress` requests in the router; completes the oldest one for each new one.
void measureCost(const char* name, uint32_t rows, bool isRepeatable, uint32_t inProgress)
{
    constexpr uint32_t servers = 50;
    constexpr uint64_t requests = 400000;
    Router router;
    RouterActions actions;
    TimePoint now(1000s);
    std::vector<Row> table;
    for (uint32_t i = 0; i < rows; ++i) {
        table.push_back(makeRow("row-" + std::to_string(i)));
        table.back().isRepeatable = isRepeatable;
    }
    router.setTable(table, 1, now, actions);
    router.setServers(makeServers(servers), now, actions);
    std::vector<ServerShare> shares;
    for (const TrackedServer& tracked : makeServers(servers))
        shares.push_back({ tracked.server, 1, {}, { 8, 60 } });
    router.setShares(shares, TimePoint::max(), now, actions);

    struct Sent {
        RequestHandle handle {};
        uint32_t attempt { 0 };
    };
    std::vector<Sent> running;
    size_t oldest = 0;
    const auto executeActions = [&] {
        for (size_t i = 0; i < actions.size(); ++i) {
            const RouterAction action = std::move(actions[i]);
            if (const auto* sent = std::get_if<SendToServer>(&action))
                running.push_back({ sent->handle, sent->attempt });
            else if (const auto* start = std::get_if<RecordStart>(&action))
                router.onStartRecordResult(start->handle, StartRecordResult::Granted, {}, now, actions);
            else if (const auto* record = std::get_if<RecordOutcome>(&action))
                router.onOutcomeRecordFinished(record->handle, now, actions);
        }
        actions.clear();
    };

    const Stopwatch stopwatch;
    for (uint64_t i = 0; i < requests; ++i) {
        now += 20us;
        RequestSubmission submission;
        submission.request = RequestId("caller-1796342400000-1");
        submission.row = table[i % rows].name;
        submission.deadline = 5s;
        router.submit(std::move(submission), SubmitOrigin::Caller, now, actions);
        executeActions();
        if (router.requestsInProgress() > inProgress && oldest < running.size()) {
            router.onServerResponse(running[oldest].handle, running[oldest].attempt, {}, now, actions);
            ++oldest;
            executeActions();
        }
        if (i % 100 == 0) {
            router.tick(now, actions);
            executeActions();
        }
    }
    const double seconds = stopwatch.seconds();
    std::printf("cost %s rows=%u servers=%u in_progress=%u requests=%lu done=%lu ns_per_request=%.0f "
                "requests_per_s=%.0f\n",
        name, rows, servers, inProgress, requests, router.counts().done, seconds * 1e9 / requests, requests / seconds);
}

void measureGrants()
{
    constexpr uint32_t hosts = 9;
    constexpr uint32_t rounds = 2000;
    const auto trackedServers = makeServers(50);
    SlotAllocator allocator({ .hostCount = hosts, .takeoverDelay = Duration(0) });
    allocator.setServers(trackedServers);
    std::vector<SlotLeaseHolder> leases;
    for (uint32_t i = 0; i < hosts; ++i)
        leases.emplace_back(SlotLeaseHolderSettings { HostId("h" + std::to_string(i)), 1, i, hosts });
    TimePoint now(1000s);
    allocator.startGranting(1, now);
    pcg32 random(3);
    const Stopwatch stopwatch;
    for (uint32_t round = 0; round < rounds; ++round) {
        now += 250ms;
        allocator.renewLeaderLease(now);
        for (SlotLeaseHolder& lease : leases) {
            if (const auto grant
                = allocator.handleRequest(lease.makeRequest(trackedServers, {}, random(200), now), now))
                lease.adopt(*grant, now);
        }
    }
    std::printf(
        "cost grant hosts=%u servers=50 us_per_ask=%.1f\n", hosts, stopwatch.seconds() * 1e6 / (rounds * hosts));
}

// Three rows of one priority with weights 1:2:4 and different service times, each with a load above the whole capacity,
// and one row of a lower priority.
void measureFairness()
{
    std::vector<LoadClass> classes;
    for (const auto& [weight, service] : { std::pair(100U, 5), std::pair(200U, 20), std::pair(400U, 40) }) {
        LoadClass load { .row = makeRow("weight-" + std::to_string(weight)) };
        load.row.weight = weight;
        load.meanService = Duration(1ms) * service;
        load.arrivalsPerSecond = 1.2 * 80 * 1000.0 / service;
        classes.push_back(load);
    }
    LoadClass low { .row = makeRow("low"), .arrivalsPerSecond = 1000, .meanService = 10ms };
    low.row.priority = 10;
    classes.push_back(low);
    RouterSimulation simulation({ .servers = 10, .runTime = 60s }, classes);
    simulation.run();
    Duration total(0);
    for (size_t i = 0; i < 3; ++i)
        total += simulation.results()[i].slotTime;
    for (size_t i = 0; i < classes.size(); ++i) {
        const LoadResult& result = simulation.results()[i];
        const double share = static_cast<double>(result.slotTime.count()) / static_cast<double>(total.count());
        if (i < 3)
            std::printf("fairness row=%s share_of_server_time=%.3f share_by_weight=%.3f done=%lu not_run=%lu\n",
                classes[i].row.name.value().c_str(), share, classes[i].row.weight / 700.0, result.done, result.notRun);
        else
            std::printf("fairness row=low priority=10 done=%lu not_run=%lu\n", result.done, result.notRun);
    }
}

// Short lookups beside long requests at 90% load: in rows of different priority, and first come, first served in one
// row.
void measureShortRequestWait()
{
    LoadClass lookup { .row = makeRow("lookup"), .arrivalsPerSecond = 1440, .meanService = 10ms };
    LoadClass match { .row = makeRow("match"), .arrivalsPerSecond = 72, .meanService = 200ms };
    lookup.row.waitBound = match.row.waitBound = 30s;
    lookup.row.priority = 90;
    lookup.deadline = match.deadline = 60s;
    for (const bool isByPriority : { false, true }) {
        // In one row all requests are served in the order of arrival.
        const Row& rowOfMatch = isByPriority ? match.row : lookup.row;
        RouterSimulation simulation({ .servers = 4, .runTime = 300s },
            { lookup, { rowOfMatch, match.arrivalsPerSecond, match.meanService, match.deadline } });
        simulation.run();
        LoadResult& result = simulation.results()[0];
        std::printf("lookup_wait load=0.9 order=%s p50_ms=%.2f p99_ms=%.2f other_p99_ms=%.2f\n",
            isByPriority ? "priority" : "first_come", result.waitQuantile(0.5).count() / 1e3,
            result.waitQuantile(0.99).count() / 1e3, simulation.results()[1].waitQuantile(0.99).count() / 1e3);
    }
}

// Some of 40 servers fail every request immediately; the load is 80% of the capacity of the others.
void measureGoodput(uint32_t failing, bool usesBudget, bool usesScores)
{
    LoadClass load {
        .row = makeRow("lookup"), .arrivalsPerSecond = 0.8 * (40 - failing) * 8 * 100, .meanService = 10ms
    };
    load.row.retryBudgetPercent = 10;
    load.deadline = 1s;
    SimulationSettings settings { .failingServers = failing, .runTime = 30s };
    settings.router.usesRetryBudget = usesBudget;
    settings.router.usesFailureScores = usesScores;
    RouterSimulation simulation(settings, { load });
    simulation.run();
    LoadResult& result = simulation.results()[0];
    std::printf("goodput failing=%u/40 load=0.8 retry_budget=%s failure_scores=%s done=%.4f unknown=%.4f "
                "sends_per_request=%.3f wait_p99_ms=%.2f\n",
        failing, usesBudget ? "on" : "off", usesScores ? "on" : "off",
        static_cast<double>(result.done) / static_cast<double>(result.submitted),
        static_cast<double>(result.unknown) / static_cast<double>(result.submitted),
        static_cast<double>(simulation.counts().sends) / static_cast<double>(result.submitted),
        result.waitQuantile(0.99).count() / 1e3);
}

} // namespace

} // namespace hickoryknot

int main()
{
    using namespace hickoryknot;
    measureCost("short_path", 1, true, 100);
    measureCost("short_path", 150, true, 100);
    measureCost("not_repeatable", 10, false, 100);
    measureCost("overload", 1, true, 1200);
    measureCost("overload", 150, true, 2000);
    measureGrants();
    measureFairness();
    measureShortRequestWait();
    for (const uint32_t failing : { 2U, 20U }) {
        for (const bool usesBudget : { false, true }) {
            for (const bool usesScores : { false, true })
                measureGoodput(failing, usesBudget, usesScores);
        }
    }
    return 0;
}
