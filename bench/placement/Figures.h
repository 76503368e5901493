#pragma once

#include <string>
#include <vector>

namespace hickoryknot {

/// Prints one line per figure with machine, commit and seed.
class Figures {
public:
    Figures(std::string commit, unsigned long seed);

    void print(const std::string& mix, const std::string& variant, const std::string& figure, double value,
        const char* unit) const;

    /// The value below which `part` (0 to 1) of the values lie; 0 without values.
    static double quantile(std::vector<double> values, double part);

private:
    std::string m_commit;
    unsigned long m_seed;
    std::string m_machine;
};

} // namespace hickoryknot
