#include "FleetMeasure.h"

#include <cstdio>
#include <string_view>

int main(int argc, char **argv)
{
    using namespace Figward::Testing;
    const std::string_view what = argc > 1 ? argv[1] : "";
    if (what == "configuration") {
        measureConfiguration();
    } else if (what == "moves") {
        measureMoves();
    } else if (what == "throughput") {
        measureThroughput();
    } else if (what == "restart") {
        measureRestart();
    } else if (what == "slopes") {
        measureSlopes();
    } else if (what == "cpu") {
        measureCpu();
    } else if (what == "memory") {
        measureMemory();
    } else {
        std::puts("figward_fleet_measure configuration|moves|throughput|restart|slopes|cpu|memory");
        return 2;
    }
    return 0;
}
