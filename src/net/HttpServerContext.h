#pragma once

#include <memory>
#include <unordered_set>

#include "net/HttpServer.h"

namespace hickoryknot {

class HttpServerConnection;

/// State shared by the connections of one server. Not thread-safe: used only on the io_context's thread.
struct HttpServerContext {
    HttpServerSettings settings;
    HttpServer::Handler handler;
    std::unordered_set<std::shared_ptr<HttpServerConnection>> connections;
    size_t requestsInProgress { 0 };
    bool isDraining { false };
};

} // namespace hickoryknot
