#include "IdleConnections.h"

#include <gmock/gmock.h>
#include <random>

using namespace Figward;
using namespace testing;

namespace {

OrganisationId organisationOf(std::uint64_t connection)
{
    constexpr std::uint64_t organisations = 5;
    return OrganisationId(std::to_string(connection % organisations));
}

/** The connections of \p organisation among \p idle, by a search through all of them. */
std::vector<ConnectionId> searched(const std::vector<ConnectionId> &idle, const OrganisationId &organisation)
{
    std::vector<ConnectionId> found;
    std::ranges::copy_if(idle, std::back_inserter(found), [&](ConnectionId id) { return organisationOf(id.value()) == organisation; });
    return found;
}

} // namespace

// Guards against an index that differs from the list: a statement would then run on a connection that is in use, or of another organisation.
TEST(IdleConnectionsAreIndexed, asASearchThroughTheListFindsThem)
{
    std::mt19937_64 random(1);
    IdleConnections idle;
    std::vector<ConnectionId> expected;
    for (std::uint64_t next = 1; next <= 2000; ++next) {
        if (random() % 2 == 0 || expected.empty()) {
            addIdle(idle, ConnectionId(next), organisationOf(next));
            expected.emplace_back(next);
        } else {
            const ConnectionId removed = expected[random() % expected.size()];
            removeIdle(idle, removed, organisationOf(removed.value()));
            std::erase(expected, removed);
        }
        ASSERT_EQ(idle.all_, expected);
        for (std::uint64_t organisation = 0; organisation < 5; ++organisation) {
            ASSERT_EQ(idleOf(idle, organisationOf(organisation)), searched(expected, organisationOf(organisation)));
        }
    }
}

TEST(IdleConnectionsAreIndexed, withoutEntriesForOrganisationsThatHaveNone)
{
    IdleConnections idle;
    addIdle(idle, ConnectionId(1), OrganisationId("a"));
    removeIdle(idle, ConnectionId(2), OrganisationId("b"));
    removeIdle(idle, ConnectionId(1), OrganisationId("a"));
    EXPECT_THAT(idle.all_, IsEmpty());
    EXPECT_THAT(idle.byOrganisation_, IsEmpty());
}
