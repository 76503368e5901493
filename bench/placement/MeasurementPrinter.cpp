#include "MeasurementPrinter.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <thread>

namespace hickoryknot {

namespace {

std::string machineName()
{
    std::ifstream file("/proc/cpuinfo");
    for (std::string line; std::getline(file, line);) {
        const size_t colon = line.find(": ");
        if (!line.starts_with("model name") || colon == std::string::npos)
            continue;
        std::string name = line.substr(colon + 2);
        std::replace(name.begin(), name.end(), ' ', '_');
        return fmt::format("{}x{}", std::thread::hardware_concurrency(), name);
    }
    return fmt::format("{}x_unknown", std::thread::hardware_concurrency());
}

} // namespace

MeasurementPrinter::MeasurementPrinter(std::string commit, unsigned long seed)
    : m_commit(std::move(commit))
    , m_seed(seed)
    , m_machine(machineName())
{
}

void MeasurementPrinter::print(const std::string& workload, const std::string& variant, const std::string& measurement,
    double value, const char* unit) const
{
    fmt::print("{:<8} {:<20} {:<28} {:>12.3f} {:<8} machine={} commit={} seed={}\n", workload, variant, measurement,
        value, unit, m_machine, m_commit, m_seed);
    std::fflush(stdout);
}

double MeasurementPrinter::quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto position = static_cast<size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
    return values[position];
}

} // namespace hickoryknot
