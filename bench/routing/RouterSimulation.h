#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/Router.h"

namespace hickoryknot {

/// One class of requests in the simulation.
struct LoadClass {
    Row row;
    /// Requests per second of a Poisson process.
    double arrivalsPerSecond { 0 };
    /// Mean of the exponential service time.
    Duration meanService { 10ms };
    Duration deadline { 10s };
};

/// Results of the requests of one class.
struct LoadResult {
    uint64_t submitted { 0 };
    uint64_t done { 0 };
    uint64_t notRun { 0 };
    uint64_t unknown { 0 };
    /// Server time of the completed requests.
    Duration slotTime { 0 };
    std::vector<Duration> waits;

    /// Quantile `q` of the waiting time before start; zero without starts.
    Duration waitQuantile(double q)
    {
        if (waits.empty())
            return Duration(0);
        const auto rank = static_cast<std::ptrdiff_t>(q * static_cast<double>(waits.size() - 1));
        std::nth_element(waits.begin(), waits.begin() + rank, waits.end());
        return waits[static_cast<size_t>(rank)];
    }
};

struct SimulationSettings {
    RouterSettings router {};
    uint32_t servers { 40 };
    uint32_t slots { 8 };
    /// Number of servers, from the first, that fail every request after `failureLatency`.
    uint32_t failingServers { 0 };
    Duration failureLatency { 200us };
    Duration runTime { 60s };
    uint64_t seed { 1 };
};

/// Discrete-event simulation of callers and backend servers around one router, in virtual time.
class RouterSimulation {
public:
    RouterSimulation(SimulationSettings settings, std::vector<LoadClass> classes)
        : m_settings(settings)
        , m_classes(std::move(classes))
        , m_results(m_classes.size())
        , m_random(settings.seed, 11)
        , m_router(settings.router)
    {
        // Several classes may use the same row.
        std::vector<Row> rows;
        for (const LoadClass& load : m_classes) {
            if (std::ranges::find(rows, load.row.name, &Row::name) == rows.end())
                rows.push_back(load.row);
        }
        m_router.setTable(rows, 1, m_now, m_actions);
        std::vector<TrackedServer> trackedServers;
        std::vector<ServerShare> shares;
        for (uint32_t i = 0; i < settings.servers; ++i) {
            const ServerId server("server-" + std::to_string(1000 + i));
            trackedServers.push_back(
                { server, 1, "127.0.0.1", static_cast<uint16_t>(i), settings.slots, 60, false, TimePoint::max() });
            shares.push_back({ server, 1, {}, { settings.slots, 60 } });
        }
        m_router.setServers(trackedServers, m_now, m_actions);
        m_router.setShares(shares, TimePoint::max(), m_now, m_actions);
    }

    /// Runs for `runTime` of virtual time, and then until all requests have ended.
    void run()
    {
        const TimePoint end = m_now + m_settings.runTime;
        for (uint32_t i = 0; i < m_classes.size(); ++i)
            scheduleArrival(i);
        while (!m_events.empty()) {
            const auto tick = m_router.nextTick();
            if (tick && *tick < m_events.top().at) {
                m_now = std::max(m_now, *tick);
                m_router.tick(m_now, m_actions);
            } else {
                const Event event = m_events.top();
                m_events.pop();
                m_now = std::max(m_now, event.at);
                processEvent(event, event.at < end);
            }
            executeActions();
        }
    }

    std::vector<LoadResult>& results() { return m_results; }
    const RouterCounts& counts() const { return m_router.counts(); }

private:
    struct Event {
        TimePoint at;
        bool isArrival { false };
        uint32_t loadClass { 0 };
        RequestHandle handle {};
        uint32_t attempt { 0 };
        bool isFailure { false };
        Duration service { 0 };

        friend bool operator>(const Event& a, const Event& b) { return a.at > b.at; }
    };

    Duration exponential(double meanMicros)
    {
        const double uniform = (m_random() + 1.0) / 4294967297.0;
        return Duration(std::llround(-std::log(uniform) * meanMicros));
    }

    void scheduleArrival(uint32_t loadClass)
    {
        const Duration gap = exponential(1e6 / m_classes[loadClass].arrivalsPerSecond);
        m_events.push({ .at = m_now + gap, .isArrival = true, .loadClass = loadClass });
    }

    void processEvent(const Event& event, bool acceptsArrivals)
    {
        if (event.isArrival) {
            if (!acceptsArrivals)
                return;
            scheduleArrival(event.loadClass);
            RequestSubmission submission;
            submission.row = m_classes[event.loadClass].row.name;
            submission.deadline = m_classes[event.loadClass].deadline;
            ++m_results[event.loadClass].submitted;
            submission.request = RequestId("r");
            m_classByHandle[m_router.submit(std::move(submission), SubmitOrigin::Caller, m_now, m_actions)]
                = event.loadClass;
        } else if (event.isFailure) {
            m_router.onSendFailure(event.handle, event.attempt, true, m_now, m_actions);
        } else {
            m_results[event.loadClass].slotTime += event.service;
            m_router.onServerResponse(event.handle, event.attempt, {}, m_now, m_actions);
        }
    }

    void executeActions()
    {
        for (const RouterAction& action : m_actions) {
            if (const auto* sent = std::get_if<SendToServer>(&action))
                startOnServer(*sent);
            else if (const auto* response = std::get_if<RespondToCaller>(&action))
                count(*response);
        }
        m_actions.clear();
    }

    void startOnServer(const SendToServer& sent)
    {
        // The port of a simulated server is its index.
        const uint32_t loadClass = m_classByHandle.at(sent.handle);
        const bool isFailure = sent.port < m_settings.failingServers;
        const Duration service = isFailure ? m_settings.failureLatency
                                           : exponential(static_cast<double>(m_classes[loadClass].meanService.count()));
        m_events.push({ .at = m_now + service,
            .loadClass = loadClass,
            .handle = sent.handle,
            .attempt = sent.attempt,
            .isFailure = isFailure,
            .service = service });
    }

    void count(const RespondToCaller& response)
    {
        LoadResult& result = m_results[m_classByHandle.at(response.handle)];
        m_classByHandle.erase(response.handle);
        result.done += response.outcome.kind == OutcomeKind::Done;
        result.notRun += response.outcome.kind == OutcomeKind::NotRun;
        result.unknown += response.outcome.kind == OutcomeKind::Unknown;
        if (response.hasStarted)
            result.waits.push_back(response.waited);
    }

    SimulationSettings m_settings;
    std::vector<LoadClass> m_classes;
    std::vector<LoadResult> m_results;
    pcg32 m_random;
    TimePoint m_now { TimePoint(1000s) };
    Router m_router;
    RouterActions m_actions;
    std::unordered_map<RequestHandle, uint32_t> m_classByHandle;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

} // namespace hickoryknot
