#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string_view>

#include "control/CourierMessage.h"
#include "control/DeferredCall.h"
#include "control/WorkerClient.h"

namespace hickoryknot {

class HostMessageLinks;

/// Carries orders of the leader to workers and hands their answers back. It decides nothing: an order that comes late
/// is refused by the worker, because its lease has ended or its fence is too low. For one io_context's thread.
class OrderCourier {
public:
    OrderCourier(boost::asio::io_context&, const HostId& self, HostMessageLinks&, WorkerClient&);
    ~OrderCourier();

    /// Takes a message with orders; one of an earlier leader than the latest is dropped.
    void take(std::string_view bytes);

private:
    void carryOut(const CourierOrders&);
    void flush();

    HostMessageLinks& m_links;
    WorkerClient& m_workers;
    DeferredCall m_flush;
    HostId m_leader; // With the highest fence so far.
    CourierAnswers m_answers;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace hickoryknot
