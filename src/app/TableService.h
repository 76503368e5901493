#pragma once

#include <functional>
#include <string>
#include <vector>

#include "app/ControlContext.h"

namespace hickoryknot {

/// Reads, validates and changes the table. Not thread-safe: used only on the control thread.
class TableService {
public:
    /// JSON for the caller, or an error; `redirect` names the group whose leader can handle the request, if any.
    struct Response {
        Expected<std::string> json;
        std::optional<Redirect> redirect;
    };

    explicit TableService(ControlContext& context)
        : m_context(context)
    {
    }

    std::string get() const;

    /// Describes the effects of a change as JSON without applying it.
    Expected<std::string> check(const std::string& body) const;

    /// Changes the table. Replies once every known host has applied the version, or after `setDeadline`; the response
    /// lists the hosts and zones that have not applied it.
    void set(const std::string& body, TimePoint now, WallTime wall, std::function<void(Response)> reply);

    /// Replies to changes that every host has applied or whose deadline has passed. Must be called at least every 10
    /// ms.
    void tick(TimePoint now);

private:
    struct Waiter {
        uint64_t version { 0 };
        TimePoint deadline;
        std::string resultJson;
        std::function<void(Response)> reply;
    };

    void onRecorded(
        const Expected<std::string>&, const std::vector<std::string>& sentences, std::function<void(Response)> reply);

    ControlContext& m_context;
    std::vector<Waiter> m_waiters;
};

} // namespace hickoryknot
