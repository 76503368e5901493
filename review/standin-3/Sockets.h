#pragma once

#include <netinet/in.h>

namespace review {

struct Address;

sockaddr_in socketAddress(const Address&);
/// A listening socket; -1 if the port isn't free.
int listenOn(const Address&);

} // namespace review
