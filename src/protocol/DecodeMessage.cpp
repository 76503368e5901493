#include "protocol/DecodeMessage.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "protocol/JsonDocument.h"
#include "protocol/ObjectReader.h"

namespace hickoryknot {

Expected<void> readMessage(std::string_view text, size_t maxBytes, const std::function<void(ObjectReader&)>& read)
{
    const auto document = parseDocument(text, maxBytes);
    if (!document)
        return tl::unexpected(document.error());
    std::optional<Error> error;
    ObjectReader reader(*document, error);
    read(reader);
    reader.finish();
    if (error)
        return tl::unexpected(std::move(*error));
    return {};
}

} // namespace hickoryknot
