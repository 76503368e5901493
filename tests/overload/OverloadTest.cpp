#include <algorithm>
#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <iostream>
#include <optional>
#include <thread>

#include <nlohmann/json.hpp>

#include "net/MessageFrame.h"
#include "overload/Crowd.h"
#include "overload/OverloadHosts.h"
#include "overload/ProcessUsage.h"

namespace hickoryknot::overload {

namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t kibibyte = 1024;
constexpr size_t mebibyte = kibibyte * kibibyte;
/// Only ends a test that hangs.
constexpr std::chrono::seconds hangGuard { 30 };
/// How long the crowd stays at least: shorter than the server's time limit for one request, so that all of it is there
/// at once.
constexpr std::chrono::seconds crowdTime { 5 };
constexpr std::chrono::milliseconds retryDelay { 200 };
constexpr std::chrono::milliseconds samplePeriod { 20 };

constexpr size_t clientCount = 128;
constexpr size_t smallChunkClientCount = 200;
constexpr size_t slowReaderCount = 100;
constexpr size_t idleCount = 300;
constexpr size_t linkClientCount = 64;
/// Just below the limit of the ports that accept the least, 1 MiB.
constexpr size_t unfinishedBodyBytes = 960 * kibibyte;
constexpr size_t largeChunkBytes = 64 * kibibyte;
constexpr size_t smallChunkBytes = 8;
constexpr size_t smallChunkBodyBytes = 320 * kibibyte;
constexpr size_t oversizeBodyBytes = 8 * mebibyte;
constexpr size_t requestsPerReader = 64;

std::string chunk(size_t bytes)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes);
    return size + std::string(bytes, 'x') + "\r\n";
}

std::string repeat(const std::string& text, size_t count)
{
    std::string result;
    for (size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

std::string head(const std::string& requestLine, const std::string& field)
{
    return requestLine + " HTTP/1.1\r\nHost: callers.example\r\n" + field + "\r\n\r\n";
}

} // namespace

/// Clients that exceed the documented limits, against each port of the system's own processes. Only what does not
/// depend on the speed of the machine is checked: the process lives, its memory and descriptors stay under the limits
/// of its settings, and an ordinary request is answered.
class OverloadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OverloadTest);
    CPPUNIT_TEST(callersAnnouncedBodies);
    CPPUNIT_TEST(callersOversizeBodies);
    CPPUNIT_TEST(callersLargeChunks);
    CPPUNIT_TEST(callersSmallChunks);
    CPPUNIT_TEST(callersSlowReaders);
    CPPUNIT_TEST(callersIdleConnections);
    CPPUNIT_TEST(readinessLargeChunks);
    CPPUNIT_TEST(readinessIdleConnections);
    CPPUNIT_TEST(operatorsAnnouncedBodies);
    CPPUNIT_TEST(operatorsOversizeBodies);
    CPPUNIT_TEST(operatorsLargeChunks);
    CPPUNIT_TEST(operatorsSmallChunks);
    CPPUNIT_TEST(operatorsSlowReaders);
    CPPUNIT_TEST(operatorsIdleConnections);
    CPPUNIT_TEST(serveAnnouncedBodies);
    CPPUNIT_TEST(serveOversizeBodies);
    CPPUNIT_TEST(serveLargeChunks);
    CPPUNIT_TEST(serveSmallChunks);
    CPPUNIT_TEST(serveSlowReaders);
    CPPUNIT_TEST(serveIdleConnections);
    CPPUNIT_TEST(entryCallsLargeChunks);
    CPPUNIT_TEST(entryCallsIdleConnections);
    CPPUNIT_TEST(controlCallsAnnouncedBodies);
    CPPUNIT_TEST(controlCallsLargeChunks);
    CPPUNIT_TEST(controlCallsIdleConnections);
    CPPUNIT_TEST(messagesLongFrames);
    CPPUNIT_TEST(messagesIdleConnections);
    CPPUNIT_TEST_SUITE_END();

    struct Target {
        Endpoint endpoint;
        ChildProcess* process;
        size_t memoryMb;
        /// Request line of the crowd's uploads and of its downloads.
        std::string upload;
        std::string download;
        std::function<bool()> answersOrdinaryRequest;
    };

    std::unique_ptr<OverloadHosts> m_hosts;

    static bool hasStatus(const Endpoint& endpoint, const HttpRequest& request, int status)
    {
        const auto response = exchange(endpoint, request);
        return response && response->status == status;
    }

    static bool eventually(const std::function<bool()>& condition)
    {
        const auto end = Clock::now() + hangGuard;
        while (!condition()) {
            if (Clock::now() > end)
                return false;
            std::this_thread::sleep_for(retryDelay);
        }
        return true;
    }

    OverloadHosts& startRoles(bool hasLargeTable)
    {
        m_hosts = std::make_unique<OverloadHosts>(OverloadHosts::Kind::Roles);
        auto table = nlohmann::json::parse(OverloadHosts::largeTable());
        if (!hasLargeTable)
            table.erase("comment");
        const HttpRequest put { .method = "PUT", .target = "/config", .headers = {}, .body = table.dump() };
        CPPUNIT_ASSERT_MESSAGE(
            "the table is not accepted", eventually([&] { return hasStatus(m_hosts->operators(), put, 200); }));
        return *m_hosts;
    }

    // The entry host asks the leader about a job that does not exist.
    bool answersCaller() const
    {
        return hasStatus(m_hosts->callers(),
            { .method = "GET", .target = "/batch/none", .headers = { { "Host", "callers.example" } } }, 410);
    }

    Target callers()
    {
        auto& hosts = startRoles(false);
        return { hosts.callers(), &hosts.entryProcess(), entryMemoryMb, "POST /batch/crowd", "GET /batch/none",
            [this] { return answersCaller(); } };
    }

    Target readiness()
    {
        auto& hosts = startRoles(false);
        return { hosts.readiness(), &hosts.entryProcess(), entryMemoryMb, "POST /", "GET /",
            [this] { return hasStatus(m_hosts->readiness(), {}, 200); } };
    }

    Target operators()
    {
        auto& hosts = startRoles(true);
        return { hosts.operators(), &hosts.controlProcess(), controlMemoryMb, "PUT /config", "GET /config",
            [this] { return hasStatus(m_hosts->operators(), { .method = "GET", .target = "/config" }, 200); } };
    }

    Target serve()
    {
        m_hosts = std::make_unique<OverloadHosts>(OverloadHosts::Kind::Serve);
        return { m_hosts->serve(), &m_hosts->serveProcess(), serveMemoryMb, "POST /v1/jobs", "GET /metrics",
            [this] { return hasStatus(m_hosts->serve(), { .method = "GET", .target = "/v1/health" }, 200); } };
    }

    Target entryCalls()
    {
        auto& hosts = startRoles(false);
        return { hosts.entryCalls(), &hosts.entryProcess(), entryMemoryMb, "POST /fleet/permit", "GET /metrics",
            [this] { return hasStatus(m_hosts->entryCalls(), { .method = "GET", .target = "/metrics" }, 200); } };
    }

    // The calls of the entry host arrive at this port.
    Target controlCalls()
    {
        auto& hosts = startRoles(false);
        return { hosts.controlCalls(), &hosts.controlProcess(), controlMemoryMb, "POST /fleet/call", "GET /metrics",
            [this] { return answersCaller(); } };
    }

    Target messages()
    {
        auto& hosts = startRoles(false);
        return { hosts.messages(), &hosts.controlProcess(), controlMemoryMb, {}, {},
            [this] { return acknowledgesProbe(m_hosts->messages()); } };
    }

    /// Plays the crowd against the target. All checks are made before the test fails, so that it reports all figures.
    void play(const Target& target, size_t clients, const std::vector<Crowd::Script>& scripts)
    {
        CPPUNIT_ASSERT_MESSAGE("no answer before the crowd came", eventually(target.answersOrdinaryRequest));
        const pid_t pid = target.process->pid();
        const auto start = readUsage(pid);
        ProcessUsage peak = start;
        std::atomic<bool> isSampling { true };
        std::thread sampler([&] {
            while (isSampling) {
                const auto usage = readUsage(pid);
                peak.residentBytes = std::max(peak.residentBytes, usage.residentBytes);
                peak.openDescriptors = std::max(peak.openDescriptors, usage.openDescriptors);
                peak.openSockets = std::max(peak.openSockets, usage.openSockets);
                std::this_thread::sleep_for(samplePeriod);
            }
        });
        bool hasAnsweredBeside = false;
        {
            Crowd crowd(target.endpoint, clients, scripts);
            std::this_thread::sleep_for(crowdTime);
            hasAnsweredBeside = eventually(target.answersOrdinaryRequest);
        }
        const bool hasAnsweredAfter = eventually(target.answersOrdinaryRequest);
        const size_t memoryBound = target.memoryMb * mebibyte;
        // What stays after the crowd is at most a quarter of the machine's memory.
        const size_t remainderBound = start.residentBytes + memoryBound / 4;
        const bool hasReleased = eventually([&] { return readUsage(pid).residentBytes <= remainderBound; });
        const auto end = readUsage(pid);
        isSampling = false;
        sampler.join();

        std::cout << "\n  resident MB: " << start.residentBytes / mebibyte << " at the start, at most "
                  << peak.residentBytes / mebibyte << " of " << target.memoryMb << ", " << end.residentBytes / mebibyte
                  << " of " << remainderBound / mebibyte << " after the crowd; descriptors: at most "
                  << peak.openDescriptors << " of " << maxDescriptors << ", sockets " << peak.openSockets << " of "
                  << maxDescriptors - fileDescriptors << "; answered beside the crowd: " << hasAnsweredBeside
                  << ", after it: " << hasAnsweredAfter << std::endl;
        std::string failures;
        const auto check = [&](bool isMet, const char* failure) {
            if (!isMet)
                failures += std::string(failures.empty() ? "" : "; ") + failure;
        };
        check(!target.process->exitCode(), "the process has ended");
        check(peak.residentBytes <= memoryBound, "the resident memory exceeds the limit");
        check(hasReleased, "the memory is not released after the crowd has left");
        check(peak.openDescriptors <= maxDescriptors, "the descriptors exceed the limit");
        check(peak.openSockets <= maxDescriptors - fileDescriptors, "sockets use the descriptors kept for files");
        check(hasAnsweredBeside, "no answer beside the crowd");
        check(hasAnsweredAfter, "no answer after the crowd");
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
        m_hosts.reset();
    }

    // Half announces 1 GiB, half 1,000,000 bytes, which is within the limit and is never sent in full.
    void playAnnouncedBodies(const Target& target)
    {
        const std::string part(64 * kibibyte, 'x');
        play(target, clientCount,
            { { head(target.upload, "Content-Length: 1073741824"), part, 16 },
                { head(target.upload, "Content-Length: 1000000"), part, 15 } });
    }

    // Bodies far over the limit, half of them without an announced length.
    void playOversizeBodies(const Target& target)
    {
        const std::string part(largeChunkBytes, 'x');
        play(target, clientCount,
            { { head(target.upload, "Transfer-Encoding: chunked"), chunk(largeChunkBytes),
                  oversizeBodyBytes / largeChunkBytes },
                { head(target.upload, "Content-Length: " + std::to_string(oversizeBodyBytes)), part,
                    oversizeBodyBytes / largeChunkBytes } });
    }

    void playLargeChunks(const Target& target)
    {
        play(target, clientCount,
            { { head(target.upload, "Transfer-Encoding: chunked"), chunk(largeChunkBytes),
                unfinishedBodyBytes / largeChunkBytes } });
    }

    void playSmallChunks(const Target& target)
    {
        constexpr size_t chunksPerPart = 1024;
        play(target, smallChunkClientCount,
            { { head(target.upload, "Transfer-Encoding: chunked"), repeat(chunk(smallChunkBytes), chunksPerPart),
                smallChunkBodyBytes / smallChunkBytes / chunksPerPart } });
    }

    void playSlowReaders(const Target& target)
    {
        play(
            target, slowReaderCount, { { repeat(head(target.download, "X-Reader: slow"), requestsPerReader), {}, 0 } });
    }

    // Half is idle after a request, half has sent nothing.
    void playIdleConnections(const Target& target)
    {
        const std::string request = target.download.empty() ? "" : head(target.download, "X-Reader: idle");
        play(target, idleCount, { { request, {}, 0 }, { {}, {}, 0 } });
    }

    // Guards against reserving the announced length of a body, and against holding bodies that are never completed.
    void callersAnnouncedBodies() { playAnnouncedBodies(callers()); }
    void operatorsAnnouncedBodies() { playAnnouncedBodies(operators()); }
    void serveAnnouncedBodies() { playAnnouncedBodies(serve()); }
    void controlCallsAnnouncedBodies() { playAnnouncedBodies(controlCalls()); }

    // Guards against reading bodies beyond the limit into memory.
    void callersOversizeBodies() { playOversizeBodies(callers()); }
    void operatorsOversizeBodies() { playOversizeBodies(operators()); }
    void serveOversizeBodies() { playOversizeBodies(serve()); }

    // Guards against many unfinished bodies, each within the limit, that together exhaust the memory.
    void callersLargeChunks() { playLargeChunks(callers()); }
    void readinessLargeChunks() { playLargeChunks(readiness()); }
    void operatorsLargeChunks() { playLargeChunks(operators()); }
    void serveLargeChunks() { playLargeChunks(serve()); }
    void entryCallsLargeChunks() { playLargeChunks(entryCalls()); }
    void controlCallsLargeChunks() { playLargeChunks(controlCalls()); }

    // Guards against chunks that cost more memory than their bytes.
    void callersSmallChunks() { playSmallChunks(callers()); }
    void operatorsSmallChunks() { playSmallChunks(operators()); }
    void serveSmallChunks() { playSmallChunks(serve()); }

    // Guards against responses that accumulate for clients that do not read them.
    void callersSlowReaders() { playSlowReaders(callers()); }
    void operatorsSlowReaders() { playSlowReaders(operators()); }
    void serveSlowReaders() { playSlowReaders(serve()); }

    // Guards against connections that use up the descriptors and lock out ordinary clients.
    void callersIdleConnections() { playIdleConnections(callers()); }
    void readinessIdleConnections() { playIdleConnections(readiness()); }
    void operatorsIdleConnections() { playIdleConnections(operators()); }
    void serveIdleConnections() { playIdleConnections(serve()); }
    void entryCallsIdleConnections() { playIdleConnections(entryCalls()); }
    void controlCallsIdleConnections() { playIdleConnections(controlCalls()); }
    void messagesIdleConnections() { playIdleConnections(messages()); }

    // Guards against reserving the announced length of messages that are never completed.
    void messagesLongFrames()
    {
        constexpr uint32_t announced = 4 * mebibyte - 1;
        std::string header;
        message_frame::append(header, 1, {});
        for (size_t i = 0; i < 4; ++i)
            header[i] = static_cast<char>(announced >> (24 - 8 * i));
        play(messages(), linkClientCount, { { header, std::string(largeChunkBytes, 'x'), 32 } });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

} // namespace hickoryknot::overload
