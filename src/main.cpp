/** \file
 * The one binary: hands the command line to the command that it names.
 */
#include "Command.h"

int main(int argc, char **argv)
{
    return Figward::runCommandLine(argc, argv);
}
