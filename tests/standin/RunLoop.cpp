#include "RunLoop.h"

#include <boost/asio/signal_set.hpp>
#include <chrono>

namespace hickoryknot {

void runLoop(boost::asio::io_context& io, const std::function<void()>& leave, const std::function<bool()>& hasLeft)
{
    int signalCount = 0;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    std::function<void()> wait = [&] {
        signals.async_wait([&](boost::system::error_code error, int) {
            if (error)
                return;
            if (++signalCount == 1)
                leave();
            wait();
        });
    };
    wait();
    while (signalCount < 2 && !hasLeft())
        io.run_one_for(std::chrono::milliseconds(100));
}

} // namespace hickoryknot
