#include "app/EventLog.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace hickoryknot {

namespace {

std::string& hostName()
{
    static std::string name;
    return name;
}

spdlog::level::level_enum spdlogLevel(EventLevel level)
{
    switch (level) {
    case EventLevel::Debug:
        return spdlog::level::debug;
    case EventLevel::Info:
        return spdlog::level::info;
    case EventLevel::Warning:
        return spdlog::level::warn;
    case EventLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

} // namespace

void EventLog::start(const std::string& host, const std::string& level, Target target)
{
    hostName() = host;
    spdlog::sink_ptr sink;
    if (target == Target::StandardOutput)
        sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    else
        sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    auto logger = std::make_shared<spdlog::logger>("events", std::move(sink));
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})", spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void EventLog::write(EventLevel level, Event event, std::string_view message, Fields fields)
{
    const auto native = spdlogLevel(level);
    if (!spdlog::should_log(native))
        return;

    // The JSON library handles escaping; the outer braces are removed because the log pattern adds them.
    nlohmann::ordered_json line;
    line["host"] = hostName();
    line["event"] = static_cast<uint16_t>(event);
    line["name"] = eventName(event);
    line["message"] = message;
    for (const auto& [key, value] : fields)
        line[std::string(key)] = value;
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    spdlog::log(native, "{}", std::string_view(text).substr(1, text.size() - 2));
}

void EventLog::flush() { spdlog::default_logger()->flush(); }

} // namespace hickoryknot
