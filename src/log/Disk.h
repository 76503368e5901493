#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/Error.h"

namespace hickoryknot {

/// Interface to the files of one folder, named without a path. Errors have code Storage (NotFound for a missing file).
/// Data counts as durable only after sync() of its file, names only after syncFolder(). Not thread safe.
class Disk {
public:
    virtual ~Disk() = default;

    /// Appends bytes to a file and creates it if missing. After an error an unknown part has been written.
    virtual Expected<void> append(const std::string& name, std::string_view bytes) = 0;

    /// Makes the content of a file durable.
    virtual Expected<void> sync(const std::string& name) = 0;

    /// Makes created, renamed and removed names durable.
    virtual Expected<void> syncFolder() = 0;

    /// The whole content of a file.
    virtual Expected<std::string> read(const std::string& name) = 0;

    /// The names of all files in ascending order.
    virtual Expected<std::vector<std::string>> list() = 0;

    /// Renames a file; replaces an existing file of that name.
    virtual Expected<void> rename(const std::string& from, const std::string& to) = 0;

    virtual Expected<void> remove(const std::string& name) = 0;

    /// Truncates a file to `size` bytes.
    virtual Expected<void> truncate(const std::string& name, uint64_t size) = 0;

    /// The path of the folder, for error messages.
    virtual std::string description() const = 0;
};

} // namespace hickoryknot
