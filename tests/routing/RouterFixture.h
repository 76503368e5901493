#pragma once

#include <string>
#include <vector>

#include "routing/Router.h"

namespace hickoryknot {

/// Test data for the router: rows, servers, shares and requests.
namespace routertest {

inline TimePoint at(Duration sinceStart) { return TimePoint(1000s + sinceStart); }

inline Row makeRow(const std::string& name, bool isRepeatable = true)
{
    Row row;
    row.name = RowName(name);
    row.isRepeatable = isRepeatable;
    row.waitBound = 2s;
    row.queueBound = 50;
    row.retryBudgetPercent = 100;
    return row;
}

inline ServerId serverName(size_t index) { return ServerId("s" + std::to_string(index)); }

inline std::vector<TrackedServer> makeServers(size_t count, TimePoint freshUntil)
{
    std::vector<TrackedServer> trackedServers;
    for (size_t i = 0; i < count; ++i) {
        trackedServers.push_back({ .server = serverName(i),
            .incarnation = 1,
            .address = "127.0.0.1",
            .port = static_cast<uint16_t>(9000 + i),
            .slots = 8,
            .connectionLimit = 60,
            .isLeaving = false,
            .freshUntil = freshUntil });
    }
    return trackedServers;
}

inline std::vector<ServerShare> makeShares(size_t count, uint32_t slots)
{
    std::vector<ServerShare> shares;
    for (size_t i = 0; i < count; ++i)
        shares.push_back({ serverName(i), 1, { 0, 0 }, { slots, slots } });
    return shares;
}

inline RequestSubmission makeRequest(const std::string& row, Duration deadline = 10s)
{
    static uint64_t count = 0;
    RequestSubmission submission;
    submission.request = RequestId("r-" + std::to_string(++count));
    submission.row = RowName(row);
    submission.deadline = deadline;
    return submission;
}

/// All actions of one type.
template <typename T> std::vector<T> actionsOfType(const RouterActions& actions)
{
    std::vector<T> found;
    for (const RouterAction& action : actions) {
        if (const T* match = std::get_if<T>(&action))
            found.push_back(*match);
    }
    return found;
}

/// A router with a table, servers and shares.
struct Setup {
    explicit Setup(std::vector<Row> rows, size_t servers = 3, uint32_t slots = 2, RouterSettings settings = {})
        : router(settings)
    {
        router.setTable(rows, 7, at(0s), actions);
        router.setServers(makeServers(servers, at(1000s)), at(0s), actions);
        router.setShares(makeShares(servers, slots), at(1000s), at(0s), actions);
    }

    RequestHandle submit(RequestSubmission submission, TimePoint now)
    {
        return router.submit(std::move(submission), SubmitOrigin::Caller, now, actions);
    }

    /// Returns the actions of one type since the last call and discards all others.
    template <typename T> std::vector<T> drain()
    {
        auto found = actionsOfType<T>(actions);
        actions.clear();
        return found;
    }

    RouterActions actions;
    Router router;
};

} // namespace routertest

} // namespace hickoryknot
