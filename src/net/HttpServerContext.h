#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

#include "net/HttpServer.h"

namespace hickoryknot {

class HttpServerConnection;

/// State shared by the connections of one server. Not thread-safe: used only on the io_context's thread.
struct HttpServerContext {
    using ConnectionList = std::list<HttpServerConnection*>;

    HttpServerSettings settings;
    HttpServer::Handler handler;
    std::unordered_set<std::shared_ptr<HttpServerConnection>> connections;
    size_t requestsInProgress { 0 };
    bool isDraining { false };
    /// Connections that wait for a request, those with an unfinished one, and those whose response is being written,
    /// each in the order in which that began.
    ConnectionList idle;
    ConnectionList unfinished;
    ConnectionList writing;
    size_t lingeringCloses { 0 };
    ClientLimitCounters counters;
    /// Size of the last response for targets with large responses, which is reserved before the next such request is
    /// handled. Bounded in number.
    std::map<std::string, size_t> largeResponses;
};

} // namespace hickoryknot
