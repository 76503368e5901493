#pragma once

#include <optional>

#include "state/FieldReader.h"
#include "state/FieldWriter.h"

namespace hickoryknot {

/// Optional values are encoded as a flag followed by the value, or by a default value if there is none.
template <typename T> void writeOptional(FieldWriter& writer, const std::optional<T>& value)
{
    writer(value.has_value(), value.value_or(T {}));
}

template <typename T> void readOptional(FieldReader& reader, std::optional<T>& value)
{
    bool isSet = false;
    T content {};
    reader(isSet, content);
    value = isSet ? std::optional(std::move(content)) : std::nullopt;
}

} // namespace hickoryknot
