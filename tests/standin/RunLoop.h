#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace hickoryknot {

/// Runs the loop. `leave` is called once on SIGTERM or SIGINT; a second signal ends at once. Returns when `hasLeft`.
void runLoop(boost::asio::io_context&, const std::function<void()>& leave, const std::function<bool()>& hasLeft);

} // namespace hickoryknot
