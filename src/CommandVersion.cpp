#include "Command.h"

#include <iostream>

namespace Figward {

void addVersionCommand(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("version", "Print the version");
    command->callback([] { std::cout << "figward " FIGWARD_VERSION "\n"; });
}

} // namespace Figward
