#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "core/Error.h"
#include "state/StateFields.h"

namespace hickoryknot {

/// Writes the index of the alternative and its fields. Append new alternatives at the end of a variant, so that log
/// entries of earlier versions stay readable.
template <typename Variant> std::string encodeVariant(const Variant& variant)
{
    FieldWriter writer;
    writer(static_cast<uint64_t>(variant.index()));
    std::visit([&](const auto& alternative) { writer(alternative); }, variant);
    return writer.finish();
}

/// Corrupt: unknown alternative, or its fields are invalid. `format` is that of the input; see FieldReader::format().
template <typename Variant>
Expected<Variant> decodeVariant(std::string_view bytes, uint64_t format = std::numeric_limits<uint64_t>::max())
{
    FieldReader reader(bytes);
    reader.setFormat(format);
    uint64_t index = 0;
    reader(index);
    Variant variant;
    const auto read = [&]<size_t at>() {
        if (index != at)
            return false;
        reader(variant.template emplace<at>());
        return true;
    };
    const bool isKnown = [&]<size_t... at>(std::index_sequence<at...>)
    {
        return (read.template operator()<at>() || ...);
    }
    (std::make_index_sequence<std::variant_size_v<Variant>>());
    if (!isKnown)
        return makeError(ErrorCode::Corrupt, "unknown kind of record");
    if (const auto finished = reader.finish(); !finished)
        return tl::unexpected(finished.error());
    return variant;
}

} // namespace hickoryknot
