#include "app/HostSettings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "net/EndpointText.h"

namespace hickoryknot {

namespace {

/// A setting of the command: its flag, its help text and whether it is required.
struct SettingDescription {
    const char* flag;
    const char* help;
    bool isRequired;
};

constexpr std::array settingDescriptions {
    SettingDescription { "host-id", "Name of this host: 1 to 128 letters, digits and ._:-", true },
    SettingDescription { "zone", "Availability zone of this host", true },
    SettingDescription { "listen", "Address to listen on, numeric ip:port", true },
    SettingDescription { "hosts",
        "All hosts of the cell at its first start, comma separated: id@zone=ip:port, with +disk behind a host that has "
        "a data folder",
        true },
    SettingDescription { "data", "Folder for durable state; leave out on a host without a disk", false },
    SettingDescription { "cell", "Name of the cell (default: cell)", false },
    SettingDescription { "log-level", "Lowest level logged: debug, info, warning, error (default: info)", false },
    SettingDescription {
        "seed", "Seed of random choices, 1 to 18446744073709551615; 0 takes one from the system (default: 0)", false },
    SettingDescription { "max-connections",
        "Connections served at once, 16 to 65536; fewer if the process may open fewer descriptors (default: 2048)",
        false },
    SettingDescription { "memory-mb",
        "Memory that the process may use, 32 to 1048576 MB; bounds what requests and responses hold (default: 512)",
        false },
    SettingDescription { "drain-bound-ms",
        "Longest wait for requests in progress at a planned stop, 100 to 600000 ms (default: 60000)", false },
};

std::string variableName(std::string flag)
{
    std::replace(flag.begin(), flag.end(), '-', '_');
    std::transform(flag.begin(), flag.end(), flag.begin(), [](unsigned char c) { return std::toupper(c); });
    return "HICKORYKNOT_" + flag;
}

Expected<uint64_t> parseWhole(const std::string& flag, const std::string& text, uint64_t minimum, uint64_t maximum)
{
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < minimum || value > maximum) {
        return makeError(ErrorCode::InvalidArgument,
            "setting --" + flag + " is '" + text + "' but must be a whole number from " + std::to_string(minimum)
                + " to " + std::to_string(maximum));
    }
    return value;
}

std::vector<std::string> splitAtCommas(const std::string& text)
{
    std::vector<std::string> parts;
    size_t first = 0;
    while (first <= text.size()) {
        const size_t comma = std::min(text.find(',', first), text.size());
        if (comma > first)
            parts.push_back(text.substr(first, comma - first));
        first = comma + 1;
    }
    return parts;
}

/// Unvalidated values from flags and environment variables.
class RawSettings {
public:
    explicit RawSettings(const cxxopts::ParseResult& flags)
        : m_flags(flags)
    {
    }

    /// Returns the value of the flag, else of the environment variable, else nothing.
    std::optional<std::string> find(const std::string& flag) const
    {
        if (m_flags.count(flag))
            return m_flags[flag].as<std::string>();
        if (const char* value = std::getenv(variableName(flag).c_str()))
            return std::string(value);
        return std::nullopt;
    }

    Expected<std::string> require(const std::string& flag) const
    {
        const auto value = find(flag);
        if (!value || value->empty())
            return makeError(
                ErrorCode::InvalidArgument, "setting --" + flag + " (or " + variableName(flag) + ") is missing");
        return *value;
    }

private:
    const cxxopts::ParseResult& m_flags;
};

template <typename Id> Expected<Id> requireId(const RawSettings& raw, const std::string& flag)
{
    const auto text = raw.require(flag);
    if (!text)
        return tl::unexpected(text.error());
    if (!Id::isValid(*text))
        return makeError(ErrorCode::InvalidArgument,
            "setting --" + flag + " is '" + *text + "' but must be 1 to 128 letters, digits and ._:-");
    return Id(*text);
}

/// Rejects unknown variables with the product's prefix, since a misspelt one would be ignored silently.
Expected<void> checkVariableNames(char** environment)
{
    for (char** entry = environment; *entry; ++entry) {
        const std::string text(*entry);
        if (!text.starts_with("HICKORYKNOT_"))
            continue;
        const std::string name = text.substr(0, text.find('='));
        const bool isKnown = std::any_of(settingDescriptions.begin(), settingDescriptions.end(),
                                 [&](const auto& setting) { return variableName(setting.flag) == name; })
            || name == "HICKORYKNOT_ENTRY";
        if (!isKnown)
            return makeError(ErrorCode::InvalidArgument,
                "environment variable " + name + " names no setting; see hickoryknot serve --help");
    }
    return {};
}

Expected<void> readNumbers(const RawSettings& raw, HostSettings& settings)
{
    struct Number {
        const char* flag;
        uint64_t minimum;
        uint64_t maximum;
        void (*store)(HostSettings&, uint64_t);
    };
    static constexpr std::array numbers {
        Number { "seed", 0, UINT64_MAX, [](HostSettings& target, uint64_t value) { target.seed = value; } },
        Number {
            "max-connections", 16, 65536, [](HostSettings& target, uint64_t value) { target.maxConnections = value; } },
        Number { "memory-mb", 32, 1048576, [](HostSettings& target, uint64_t value) { target.memoryMb = value; } },
        Number { "drain-bound-ms", 100, 600000,
            [](HostSettings& target, uint64_t value) { target.drainBound = std::chrono::milliseconds(value); } },
    };
    for (const auto& number : numbers) {
        const auto text = raw.find(number.flag);
        if (!text)
            continue;
        const auto value = parseWhole(number.flag, *text, number.minimum, number.maximum);
        if (!value)
            return tl::unexpected(value.error());
        number.store(settings, *value);
    }
    return {};
}

Expected<void> readHosts(const RawSettings& raw, HostSettings& settings)
{
    const auto text = raw.require("hosts");
    if (!text)
        return tl::unexpected(text.error());
    for (const auto& part : splitAtCommas(*text)) {
        auto address = parseHostAddress(part);
        if (!address)
            return tl::unexpected(address.error());
        for (const auto& other : settings.hosts) {
            if (other.host == address->host)
                return makeError(
                    ErrorCode::InvalidArgument, "setting --hosts names host " + other.host.value() + " twice");
        }
        settings.hosts.push_back(std::move(*address));
    }
    return {};
}

/// Checks for conflicts between settings that are valid individually.
Expected<void> checkConsistency(const HostSettings& settings)
{
    for (const auto& address : settings.hosts) {
        if (address.host != settings.host)
            continue;
        if (address.zone != settings.zone)
            return makeError(ErrorCode::InvalidArgument,
                "setting --zone is " + settings.zone.value() + " but --hosts puts this host into "
                    + address.zone.value());
        if (address.hasDisk != !settings.dataFolder.empty())
            return makeError(ErrorCode::InvalidArgument,
                std::string("setting --hosts says that this host has ") + (address.hasDisk ? "a" : "no")
                    + " disk but --data says otherwise");
    }
    const bool hasVoter
        = std::any_of(settings.hosts.begin(), settings.hosts.end(), [](const auto& host) { return host.hasDisk; });
    if (!hasVoter)
        return makeError(
            ErrorCode::InvalidArgument, "setting --hosts names no host with +disk, so nothing could be kept");
    return {};
}

} // namespace

Expected<HostAddress> parseHostAddress(const std::string& text)
{
    std::string rest = text;
    HostAddress result;
    if (rest.ends_with("+disk")) {
        result.hasDisk = true;
        rest.resize(rest.size() - 5);
    }
    const size_t at = rest.find('@');
    const size_t equals = rest.find('=');
    if (at == std::string::npos || equals == std::string::npos || equals < at)
        return makeError(
            ErrorCode::InvalidArgument, "host '" + text + "' must be written id@zone=ip:port or id@zone=ip:port+disk");
    const std::string host = rest.substr(0, at);
    const std::string zone = rest.substr(at + 1, equals - at - 1);
    if (!HostId::isValid(host) || !ZoneId::isValid(zone))
        return makeError(ErrorCode::InvalidArgument,
            "host '" + text + "' must have an id and a zone of 1 to 128 letters, digits and ._:-");
    auto endpoint = parseEndpoint(rest.substr(equals + 1));
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    result.host = HostId(host);
    result.zone = ZoneId(zone);
    result.endpoint = *endpoint;
    return result;
}

Expected<std::optional<HostSettings>> parseHostSettings(int argc, const char* const* argv)
{
    cxxopts::Options options("hickoryknot serve",
        "Runs an entry host. Each setting is a flag or a variable HICKORYKNOT_<FLAG>; the flag wins.");
    for (const auto& setting : settingDescriptions)
        options.add_options()(setting.flag, std::string(setting.help) + (setting.isRequired ? " (required)" : ""),
            cxxopts::value<std::string>());
    options.add_options()("help", "Prints this text");

    try {
        const auto flags = options.parse(argc, argv);
        if (flags.count("help")) {
            std::cout << options.help()
                      << "\nExit codes: 0 stopped as planned, 1 failed while running, 2 a setting is wrong.\n";
            return std::optional<HostSettings>();
        }
        if (!flags.unmatched().empty())
            return makeError(ErrorCode::InvalidArgument,
                "unknown argument '" + flags.unmatched().front() + "'; see hickoryknot serve --help");

        const RawSettings raw(flags);
        HostSettings settings;
        if (auto checked = checkVariableNames(environ); !checked)
            return tl::unexpected(checked.error());
        auto host = requireId<HostId>(raw, "host-id");
        if (!host)
            return tl::unexpected(host.error());
        settings.host = *host;
        auto zone = requireId<ZoneId>(raw, "zone");
        if (!zone)
            return tl::unexpected(zone.error());
        settings.zone = *zone;
        const auto listen = raw.require("listen").and_then(parseEndpoint);
        if (!listen)
            return tl::unexpected(listen.error());
        settings.listen = *listen;
        settings.dataFolder = raw.find("data").value_or("");
        settings.cell = raw.find("cell").value_or("cell");
        settings.logLevel = raw.find("log-level").value_or("info");
        constexpr std::array levels { "debug", "info", "warning", "error" };
        if (std::find(levels.begin(), levels.end(), settings.logLevel) == levels.end())
            return makeError(ErrorCode::InvalidArgument,
                "setting --log-level is '" + settings.logLevel + "' but must be debug, info, warning or error");
        if (!RowName::isValid(settings.cell))
            return makeError(ErrorCode::InvalidArgument, "setting --cell must be 1 to 128 letters, digits and ._:-");
        if (auto read = readHosts(raw, settings); !read)
            return tl::unexpected(read.error());
        if (auto read = readNumbers(raw, settings); !read)
            return tl::unexpected(read.error());
        if (auto checked = checkConsistency(settings); !checked)
            return tl::unexpected(checked.error());
        return std::optional(std::move(settings));
    } catch (const cxxopts::exceptions::exception& error) {
        return makeError(ErrorCode::InvalidArgument, std::string(error.what()) + "; see hickoryknot serve --help");
    }
}

} // namespace hickoryknot
