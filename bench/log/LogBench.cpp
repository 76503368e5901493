#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <functional>
#include <numeric>
#include <pcg_random.hpp>
#include <vector>

#include "log/FileDisk.h"
#include "log/RecordStore.h"

using namespace hickoryknot;

namespace {

using Clock = std::chrono::steady_clock;

struct BenchSettings {
    std::string folder;
    double seconds { 2 };
    size_t payloadBytes { 256 };
    uint64_t seed { 1 };
};

std::string randomBytes(pcg32& random, size_t count)
{
    std::string bytes(count, '\0');
    for (auto& byte : bytes)
        byte = static_cast<char>(random(256));
    return bytes;
}

double microsecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

// Repeats an action for the given time and returns the sorted durations of the calls in microseconds.
std::vector<double> measure(double seconds, const std::function<bool()>& action)
{
    std::vector<double> durations;
    const auto start = Clock::now();
    while (microsecondsSince(start) < seconds * 1e6) {
        const auto before = Clock::now();
        if (!action())
            return {};
        durations.push_back(microsecondsSince(before));
    }
    std::sort(durations.begin(), durations.end());
    return durations;
}

double quantile(const std::vector<double>& sorted, double q)
{
    return sorted.empty() ? 0 : sorted[static_cast<size_t>(q * static_cast<double>(sorted.size() - 1))];
}

void printResult(
    const char* what, size_t recordsPerSync, const std::vector<double>& sorted, const BenchSettings& settings)
{
    const double total = std::accumulate(sorted.begin(), sorted.end(), 0.0);
    const double syncs = total > 0 ? static_cast<double>(sorted.size()) * 1e6 / total : 0;
    std::printf("%s records_per_sync=%zu records_per_s=%.0f syncs_per_s=%.0f p50_us=%.0f p99_us=%.0f payload_bytes=%zu "
                "seed=%llu\n",
        what, recordsPerSync, syncs * static_cast<double>(recordsPerSync), syncs, quantile(sorted, 0.5),
        quantile(sorted, 0.99), settings.payloadBytes, static_cast<unsigned long long>(settings.seed));
}

// Baseline: one small append and one sync, without records, checksums or segments.
bool benchBareSync(const BenchSettings& settings)
{
    auto disk = FileDisk::open(settings.folder + "/bare");
    if (!disk)
        return false;
    pcg32 random(settings.seed);
    const std::string bytes = randomBytes(random, settings.payloadBytes);
    const auto durations
        = measure(settings.seconds, [&] { return (*disk)->append("bare", bytes) && (*disk)->sync("bare"); });
    printResult("bare_sync", 1, durations, settings);
    return !durations.empty() && (*disk)->remove("bare");
}

bool benchRecords(const BenchSettings& settings, size_t recordsPerSync)
{
    const std::string folder = settings.folder + "/records-" + std::to_string(recordsPerSync);
    auto disk = FileDisk::open(folder);
    if (!disk)
        return false;
    auto store = RecordStore::open(std::move(*disk),
        { .cell = "bench",
            .group = "bench",
            .host = HostId("bench"),
            .session = static_cast<SessionId>(settings.seed + recordsPerSync) });
    if (!store) {
        std::fprintf(stderr, "%s\n", store.error().message.c_str());
        return false;
    }
    pcg32 random(settings.seed);
    const std::string payload = randomBytes(random, settings.payloadBytes);
    const auto durations = measure(settings.seconds, [&] {
        WriteBatch batch;
        for (size_t i = 0; i < recordsPerSync; ++i)
            batch.entries.push_back({ .index = (*store)->lastIndex() + 1 + i, .term = 1, .payload = payload });
        return (*store)->writeAndSync(batch).has_value();
    });
    printResult("durable_records", recordsPerSync, durations, settings);
    return !durations.empty();
}

} // namespace

// Prints one line per measurement: the bare sync latency of the disk and durable records per second at several batch
// sizes.
int main(int argc, char** argv)
{
    BenchSettings settings;
    cxxopts::Options options("bench_log", "Measures durable records per second on a folder that is new or empty");
    options.add_options()("folder", "new folder on the disk to measure", cxxopts::value(settings.folder))(
        "seconds", "time per figure", cxxopts::value(settings.seconds)->default_value("2"))(
        "payload", "bytes per record", cxxopts::value(settings.payloadBytes)->default_value("256"))(
        "seed", "of the payloads", cxxopts::value(settings.seed)->default_value("1"))("help", "print this");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") || settings.folder.empty()) {
            std::printf("%s", options.help().c_str());
            return parsed.count("help") ? 0 : 2;
        }
    } catch (const cxxopts::exceptions::exception& exception) {
        std::fprintf(stderr, "%s\n", exception.what());
        return 2;
    }
    bool hasSucceeded = benchBareSync(settings);
    for (const size_t recordsPerSync : { 1, 8, 64 })
        hasSucceeded = hasSucceeded && benchRecords(settings, recordsPerSync);
    return hasSucceeded ? 0 : 1;
}
