#pragma once

#include <memory>
#include <unordered_set>

#include "net/HttpServer.h"

namespace hickoryknot {

class HttpServerConnection;

/// What the connections of one server share. Used on the io_context's thread only.
struct HttpServerContext {
    HttpServerSettings settings;
    HttpServer::Handler handler;
    std::unordered_set<std::shared_ptr<HttpServerConnection>> connections;
    size_t requestsInProgress { 0 };
    bool isDraining { false };
};

} // namespace hickoryknot
