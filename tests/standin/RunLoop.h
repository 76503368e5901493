#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace hickoryknot {

/// Runs the event loop until `hasLeft` returns true. Calls `leave` on the first SIGTERM or SIGINT; a second signal ends
/// the loop immediately.
void runLoop(boost::asio::io_context&, const std::function<void()>& leave, const std::function<bool()>& hasLeft);

} // namespace hickoryknot
