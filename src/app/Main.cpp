#include "RoleCommands.h"
#include "app/Commands.h"

int main(int argc, char** argv)
{
    if (const auto code = hickoryknot::platform::runRoleCommand(argc, argv))
        return *code;
    return hickoryknot::runCommand(argc, argv);
}
