#pragma once

#include <functional>
#include <string>
#include <vector>

#include "app/ControlContext.h"

namespace hickoryknot {

/// Shows, checks and changes the table. For the control thread.
class TableService {
public:
    /// JSON for the caller, an error, or the place to ask instead.
    struct Answer {
        Expected<std::string> json;
        std::optional<Redirect> redirect;
    };

    explicit TableService(ControlContext& context)
        : m_context(context)
    {
    }

    std::string get() const;

    /// What a change would do, as JSON with sentences; changes nothing.
    Expected<std::string> check(const std::string& body) const;

    /// Changes the table. Answers once every known host has the version in force, or at the latest after `setDeadline`;
    /// the answer names the hosts and zones that have not applied it.
    void set(const std::string& body, TimePoint now, WallTime wall, std::function<void(Answer)> reply);

    /// Answers changes that are in force. At least every 10 ms.
    void tick(TimePoint now);

private:
    struct Waiter {
        uint64_t version { 0 };
        TimePoint deadline;
        std::string resultJson;
        std::function<void(Answer)> reply;
    };

    void recorded(
        const Expected<std::string>&, const std::vector<std::string>& sentences, std::function<void(Answer)> reply);

    ControlContext& m_context;
    std::vector<Waiter> m_waiters;
};

} // namespace hickoryknot
