#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "core/Events.h"

namespace hickoryknot {

enum class EventLevel : uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// Writes structured log lines, one JSON object per line: time, level, host, event number, event name, message and
/// fields. Thread-safe after start().
class EventLog {
public:
    using Fields = std::initializer_list<std::pair<std::string_view, std::string>>;

    enum class Target : uint8_t {
        StandardError,
        StandardOutput,
    };

    /// Sets the host name included in every line and the minimum level: debug, info, warning or error.
    static void start(const std::string& host, const std::string& level, Target = Target::StandardError);

    static void write(EventLevel, Event, std::string_view message, Fields fields = {});

    /// Flushes buffered log lines.
    static void flush();
};

} // namespace hickoryknot
