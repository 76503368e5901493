#include "workflow/WorkflowCommand.h"

#include "state/VariantCodec.h"
#include "workflow/WorkflowFields.h"

namespace hickoryknot::workflow {

std::string encodeCommands(const std::vector<WorkflowCommand>& commands)
{
    FieldWriter writer;
    writer(static_cast<uint64_t>(commands.size()));
    for (const auto& command : commands)
        writer(encodeVariant(command));
    writer(reportNumbersFormat);
    return writer.finish();
}

Expected<std::vector<WorkflowCommand>> decodeCommands(std::string_view bytes)
{
    FieldReader reader(bytes);
    std::vector<std::string> encoded;
    reader(encoded);
    // Entries that were written before the format was recorded end here.
    uint64_t format = organisationsFormat - 1;
    if (reader.hasMore())
        reader(format);
    if (auto finished = reader.finish(); !finished)
        return tl::unexpected(finished.error());
    std::vector<WorkflowCommand> commands;
    for (const auto& text : encoded) {
        auto command = decodeVariant<WorkflowCommand>(text, format);
        if (!command)
            return tl::unexpected(command.error());
        commands.push_back(std::move(*command));
    }
    return commands;
}

} // namespace hickoryknot::workflow
