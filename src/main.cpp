/** \file
 * Entry point of the figward executable, which runs the command named on the command line.
 */
#include "Command.h"

int main(int argc, char **argv)
{
    return Figward::runCommandLine(argc, argv);
}
