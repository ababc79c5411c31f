/** \file
 * Opens many sessions to one proxy, each on a connection of its own, leaves them idle, and waits for a line on standard input.
 *
 * Usage: figward_idle_sessions ADDRESS COUNT. The proxy's memory is read from /proc/PID/status meanwhile.
 */
#include "CallerClient.h"

#include <iostream>

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: figward_idle_sessions ADDRESS COUNT\n";
        return 2;
    }
    const long count = std::strtol(argv[2], nullptr, 10);
    std::vector<std::unique_ptr<Figward::CallerClient>> clients;
    std::vector<std::unique_ptr<Figward::CallerStream>> streams;
    Figward::CallerSession session(Figward::ServiceId("ledger"), {1'700'000'000, 1});
    long answered = 0;
    for (long i = 0; i < count; ++i) {
        clients.push_back(std::make_unique<Figward::CallerClient>(argv[1]));
        streams.push_back(clients.back()->openStream());
        answered += streams.back()->execute(session.read(Figward::GroupId("ledger-1"), "get tyre")).ok() ? 1 : 0;
    }
    std::cout << answered << " sessions answered and idle" << std::endl;
    std::string line;
    std::getline(std::cin, line);
    return answered == count ? 0 : 1;
}
