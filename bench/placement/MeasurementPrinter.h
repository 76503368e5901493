#pragma once

#include <string>
#include <vector>

namespace hickoryknot {

/// Prints one measurement per line with machine, commit and seed.
class MeasurementPrinter {
public:
    MeasurementPrinter(std::string commit, unsigned long seed);

    void print(const std::string& workload, const std::string& variant, const std::string& measurement, double value,
        const char* unit) const;

    /// The quantile at `part` (0 to 1) of the values; 0 if there are none.
    static double quantile(std::vector<double> values, double fraction);

private:
    std::string m_commit;
    unsigned long m_seed;
    std::string m_machine;
};

} // namespace hickoryknot
