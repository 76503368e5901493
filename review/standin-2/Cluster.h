#pragma once

#include <string>
#include <vector>

#include "Http.h"
#include "Record.h"
#include "Worker.h"

namespace review {

struct ClusterOptions {
    /// The product's program, which the build command of the deploy file makes.
    std::string program;
    /// An existing empty folder for data, settings and logs.
    std::string folder;
    size_t workers { 8 };
};

/// A queue of the configuration.
struct QueueOptions {
    std::string name;
    std::string prefix;
    int priority { 1 };
    int targetLatencyMs { 3000 };
    double stretch { 4 };
    /// Starts need a ticket of the advice service.
    bool needsTicket { false };
};

/// A small deployment on loopback addresses: three control hosts, three entry hosts and workers in three zones.
class Cluster {
public:
    Cluster(ClusterOptions options, Record& record);
    ~Cluster();

    /// Starts everything, applies the configuration and waits until the workers are known. False: not in time.
    bool start();
    /// Applies a configuration with these queues.
    bool putConfiguration(int version, const std::vector<QueueOptions>&);

    struct Host {
        std::string name;
        std::string role;
        std::string zone;
        std::string address;
        pid_t process { 0 };
    };
    std::vector<Host>& hosts() { return m_hosts; }
    void startHost(Host&, bool isFirstStart);
    void signalHost(Host&, int signal);
    /// Index in hosts() of the control host that leads; missing if none says so.
    std::optional<size_t> leader();

    Worker& worker(size_t index) { return *m_workers[index]; }
    size_t workerCount() const { return m_workers.size(); }
    /// All executions on all workers, by their start.
    std::vector<RunInterval> intervals() const;

    /// A call of a caller. Retried with the same id at the next entry host while there is no clear answer.
    std::optional<HttpMessage> call(
        const std::string& method, const std::string& path, const std::string& body = {}, int attempts = 5);
    /// The state of a job, or the status code if the answer holds no state.
    std::string stateOf(const std::string& job);

    static constexpr const char* prefix = "/jobs/";

private:
    std::string address(int number) const;
    /// Answers for the advice service, which allows the first worker alone for every step.
    std::optional<HttpMessage> advise(const HttpMessage&);

    const ClusterOptions m_options;
    Record& m_record;
    std::vector<Host> m_hosts;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::unique_ptr<HttpServer> m_advice;
    std::atomic<size_t> m_nextEntry { 0 };
};

} // namespace review
