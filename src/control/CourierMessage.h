#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "workflow/WorkerRequests.h"

namespace hickoryknot {

/// Orders that a leader hands to a courier. Each has a number, under which its answer comes back.
struct CourierOrders {
    struct Start {
        uint64_t number { 0 };
        workflow::StartRunRequest order; // Without its command.
        uint32_t command { 0 }; // Index into commands: tasks of a step share one.
    };
    struct Stop {
        uint64_t number { 0 };
        workflow::StopRunRequest order;
    };
    struct Look {
        uint64_t number { 0 };
        workflow::PollRequest order;
    };

    HostId leader;
    uint64_t fence { 0 };
    std::vector<std::string> commands;
    std::vector<Start> starts;
    std::vector<Stop> stops;
    std::vector<Look> looks;

    bool isEmpty() const { return starts.empty() && stops.empty() && looks.empty(); }
};

/// What workers answered to orders of one leader.
struct CourierAnswers {
    struct Order {
        uint64_t number { 0 };
        workflow::RunResponse answer;
    };
    struct Look {
        uint64_t number { 0 };
        workflow::PollResponse answer;
    };
    struct FailedLook {
        uint64_t number { 0 };
        Error error;
    };

    HostId courier;
    uint64_t fence { 0 };
    std::vector<Order> orders;
    std::vector<Look> looks;
    std::vector<FailedLook> failedLooks;

    bool isEmpty() const { return orders.empty() && looks.empty() && failedLooks.empty(); }
};

std::string encodeCourierOrders(const CourierOrders&);
/// Corrupt: the bytes are no such message.
Expected<CourierOrders> decodeCourierOrders(std::string_view);

std::string encodeCourierAnswers(const CourierAnswers&);
/// Corrupt: the bytes are no such message.
Expected<CourierAnswers> decodeCourierAnswers(std::string_view);

} // namespace hickoryknot
