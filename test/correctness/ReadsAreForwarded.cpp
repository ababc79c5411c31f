#include "ConnectionHolder.h"
#include "ConnectionPlan.h"
#include "ReadForwarding.h"
#include "WireHeartbeat.h"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>
#include <heartbeat.pb.h>
#include <map>
#include <random>

using namespace Figward;
using namespace testing;

namespace {

const ServiceId group("orders");

std::vector<std::string> vmNames(unsigned count)
{
    std::vector<std::string> names;
    for (unsigned vm = 0; vm < count; ++vm) {
        names.push_back(absl::StrCat("vm-", vm));
    }
    return names;
}

OrganisationId organisation(unsigned number)
{
    return OrganisationId(absl::StrCat("org-", number));
}

ForwardedRead exampleRead()
{
    ForwardedRead read{"vm-1", VmId(7), "10.0.0.1:80", ZoneId("zone-1"), 12, OrganisationId("org-1")};
    read.database_ = "dispatch";
    read.service_ = group;
    read.consistency_ = Consistency::ReadYourWrites;
    read.maxStaleness_ = std::chrono::milliseconds(1500);
    read.priority_ = 2;
    read.timeLeft_ = std::chrono::milliseconds(730);
    read.lastCommit_ = LogPoint{Term(3), Position(99)};
    read.values_ = {{"locale", "de"}, {"empty", ""}};
    read.statement_.id_ = "s1";
    read.statement_.kind_ = StatementKind::Execute;
    read.statement_.name_ = "stock";
    read.statement_.value_ = "17 'x'";
    read.shape_ = "SELECT stock";
    return read;
}

ForwardedReadResult exampleResult()
{
    ForwardedReadResult result{VmId(8), VmId(7), 12, ForwardedReadOutcome::Answered};
    result.reply_.rows_ = {"one", "", "three"};
    result.reply_.receipt_ = "receipt-s1";
    result.reply_.position_ = LogPoint{Term(3), Position(100)};
    return result;
}

/** Encodes \p read after \p change to its message. */
std::string changedRead(const std::function<void(figward::v1::ForwardedRead &)> &change)
{
    figward::v1::Beat beat;
    beat.ParseFromString(Wire::encodeForwardedRead(exampleRead()));
    change(*beat.mutable_forwarded_read());
    return beat.SerializeAsString();
}

std::string changedResult(const std::function<void(figward::v1::ForwardedReadResult &)> &change)
{
    figward::v1::Beat beat;
    beat.ParseFromString(Wire::encodeForwardedReadResult(exampleResult()));
    change(*beat.mutable_forwarded_read_result());
    return beat.SerializeAsString();
}

/** Returns a VM that forwards reads of the group: with organisations, too few connections, and another VM in its zone. */
SessionServiceState forwardingVm()
{
    SessionServiceState sessions;
    sessions.configuration_.emplace();
    sessions.configuration_->organisations_.emplace();
    sessions.configuration_->services_[group] = ServiceLimits{50, 0};
    sessions.entryVms_ = 66;
    sessions.zoneVms_ = 22;
    return sessions;
}

} // namespace

// Guards against VMs that choose different holders because they know the VMs in a different order.
TEST(ReadsAreForwarded, toTheSameHolderFromEveryVm)
{
    std::vector<std::string> vms = vmNames(22);
    std::vector<std::string> reversed(vms.rbegin(), vms.rend());
    for (unsigned number = 0; number < 100; ++number) {
        EXPECT_EQ(connectionHolder(organisation(number), group, vms), connectionHolder(organisation(number), group, reversed));
    }
    EXPECT_EQ(connectionHolder(organisation(1), group, {}), "");
}

// Guards against a VM that comes or goes and moves the connections of other holders.
TEST(ReadsAreForwarded, toOtherHoldersOnlyWhereAVmLeaves)
{
    const std::vector<std::string> vms = vmNames(22);
    const std::vector<std::string> fewer = vmNames(21);
    for (unsigned number = 0; number < 500; ++number) {
        const std::string before = connectionHolder(organisation(number), group, vms);
        const std::string after = connectionHolder(organisation(number), group, fewer);
        EXPECT_TRUE(before == after || before == vms.back()) << number;
    }
}

// Guards against a few VMs that hold the connections of most organisations, or of all groups of an organisation.
TEST(ReadsAreForwarded, toAllVmsAlike)
{
    const std::vector<std::string> vms = vmNames(22);
    std::map<std::string, unsigned> pairs;
    std::set<std::string> ofOne;
    for (unsigned number = 0; number < 75; ++number) {
        for (unsigned service = 0; service < 8; ++service) {
            const std::string holder = connectionHolder(organisation(number), ServiceId(absl::StrCat("group-", service)), vms);
            ++pairs[holder];
            if (number == 0) {
                ofOne.insert(holder);
            }
        }
    }
    EXPECT_EQ(pairs.size(), vms.size());
    for (const auto &[vm, count] : pairs) {
        EXPECT_THAT(count, AllOf(Ge(10U), Le(55U))) << vm << ": 27 on average";
    }
    EXPECT_GT(ofOne.size(), 3U);
}

// Guards against a part of the read that is lost on the way, such as a session value or the position that the read must include.
TEST(ReadsAreForwarded, wholeOverTheWire)
{
    const ForwardedRead sent = exampleRead();
    const std::optional<Wire::VmDatagram> datagram = Wire::decodeDatagram(Wire::encodeForwardedRead(sent));
    ASSERT_TRUE(datagram && std::holds_alternative<ForwardedRead>(*datagram));
    const ForwardedRead &read = std::get<ForwardedRead>(*datagram);
    EXPECT_EQ(read.name_, sent.name_);
    EXPECT_EQ(read.from_, sent.from_);
    EXPECT_EQ(read.address_, sent.address_);
    EXPECT_EQ(read.zone_, sent.zone_);
    EXPECT_EQ(read.number_, sent.number_);
    EXPECT_EQ(read.organisation_, sent.organisation_);
    EXPECT_EQ(read.database_, sent.database_);
    EXPECT_EQ(read.service_, sent.service_);
    EXPECT_EQ(read.consistency_, sent.consistency_);
    EXPECT_EQ(read.maxStaleness_, sent.maxStaleness_);
    EXPECT_EQ(read.priority_, sent.priority_);
    EXPECT_EQ(read.timeLeft_, sent.timeLeft_);
    EXPECT_EQ(read.lastCommit_, sent.lastCommit_);
    EXPECT_EQ(read.values_, sent.values_);
    EXPECT_EQ(read.statement_.id_, sent.statement_.id_);
    EXPECT_EQ(read.statement_.kind_, sent.statement_.kind_);
    EXPECT_EQ(read.statement_.name_, sent.statement_.name_);
    EXPECT_EQ(read.statement_.value_, sent.statement_.value_);
    EXPECT_EQ(read.shape_, sent.shape_);
}

TEST(ReadsAreForwarded, andAnsweredWholeOverTheWire)
{
    for (int code = 0; code <= static_cast<int>(ReplyCode::Other); ++code) {
        ForwardedReadResult sent = exampleResult();
        sent.reply_.code_ = static_cast<ReplyCode>(code);
        sent.reply_.text_ = "come back in 30 ms: full";
        const std::optional<Wire::VmDatagram> datagram = Wire::decodeDatagram(Wire::encodeForwardedReadResult(sent));
        ASSERT_TRUE(datagram && std::holds_alternative<ForwardedReadResult>(*datagram));
        const ForwardedReadResult &result = std::get<ForwardedReadResult>(*datagram);
        EXPECT_EQ(result.from_, sent.from_);
        EXPECT_EQ(result.to_, sent.to_);
        EXPECT_EQ(result.number_, sent.number_);
        EXPECT_EQ(result.outcome_, sent.outcome_);
        EXPECT_EQ(result.reply_.rows_, sent.reply_.rows_);
        EXPECT_EQ(result.reply_.code_, sent.reply_.code_);
        EXPECT_EQ(result.reply_.receipt_, sent.reply_.receipt_);
        EXPECT_EQ(result.reply_.text_, sent.reply_.text_);
        EXPECT_EQ(result.reply_.position_, sent.reply_.position_);
    }
    for (const ForwardedReadOutcome outcome : {ForwardedReadOutcome::Running, ForwardedReadOutcome::NotServed, ForwardedReadOutcome::TooLarge}) {
        const std::optional<Wire::VmDatagram> datagram = Wire::decodeDatagram(Wire::encodeForwardedReadResult({VmId(8), VmId(7), 12, outcome}));
        ASSERT_TRUE(datagram && std::holds_alternative<ForwardedReadResult>(*datagram));
        EXPECT_EQ(std::get<ForwardedReadResult>(*datagram).outcome_, outcome);
    }
}

// Guards against a datagram of a later version, or a damaged one, that is taken for another statement, consistency or outcome.
TEST(ReadsAreForwarded, notWithUnknownValues)
{
    using Read = figward::v1::ForwardedRead;
    using Result = figward::v1::ForwardedReadResult;
    EXPECT_TRUE(Wire::decodeDatagram(changedRead([](Read &) {})));
    EXPECT_FALSE(Wire::decodeDatagram(changedRead([](Read &read) { read.set_kind(static_cast<Read::Kind>(77)); })));
    EXPECT_FALSE(Wire::decodeDatagram(changedRead([](Read &read) { read.clear_kind(); })));
    EXPECT_FALSE(Wire::decodeDatagram(changedRead([](Read &read) { read.set_consistency(static_cast<Read::Consistency>(-1)); })));
    EXPECT_FALSE(Wire::decodeDatagram(changedRead([](Read &read) { read.clear_consistency(); })));
    EXPECT_FALSE(Wire::decodeDatagram(changedRead([](Read &read) { read.clear_number(); })));
    EXPECT_FALSE(Wire::decodeDatagram(changedRead([](Read &read) { read.clear_organisation(); })));
    EXPECT_FALSE(Wire::decodeDatagram(changedRead([](Read &read) { read.clear_service(); })));
    EXPECT_TRUE(Wire::decodeDatagram(changedResult([](Result &) {})));
    EXPECT_FALSE(Wire::decodeDatagram(changedResult([](Result &result) { result.set_outcome(static_cast<Result::Outcome>(9)); })));
    EXPECT_FALSE(Wire::decodeDatagram(changedResult([](Result &result) { result.clear_outcome(); })));
    EXPECT_FALSE(Wire::decodeDatagram(changedResult([](Result &result) { result.set_code(1000); })));
}

// Guards against times that overflow when they are added to the present.
TEST(ReadsAreForwarded, withTimesWithinBounds)
{
    const std::string datagram = changedRead([](figward::v1::ForwardedRead &read) {
        read.set_time_left(std::numeric_limits<std::uint64_t>::max());
        read.set_max_staleness(std::numeric_limits<std::uint64_t>::max() / 2);
    });
    const std::optional<Wire::VmDatagram> decoded = Wire::decodeDatagram(datagram);
    ASSERT_TRUE(decoded);
    const ForwardedRead &read = std::get<ForwardedRead>(*decoded);
    EXPECT_THAT(read.timeLeft_, AllOf(Gt(Duration(0)), Le(Duration(std::chrono::hours(24)))));
    EXPECT_THAT(read.maxStaleness_, AllOf(Gt(Duration(0)), Le(Duration(std::chrono::hours(24)))));
}

// Guards against datagrams that crash the VM or make it hold much memory.
TEST(ReadsAreForwarded, notIfMalformedOrOversized)
{
    EXPECT_FALSE(Wire::decodeDatagram(changedRead([](figward::v1::ForwardedRead &read) { read.set_text(std::string(60000, 'x')); })));
    EXPECT_FALSE(Wire::decodeDatagram(changedResult([](figward::v1::ForwardedReadResult &result) { result.add_rows(std::string(60000, 'x')); })));
    std::mt19937_64 random(7);
    for (const std::string &whole : {Wire::encodeForwardedRead(exampleRead()), Wire::encodeForwardedReadResult(exampleResult())}) {
        for (std::size_t size = 0; size < whole.size(); ++size) {
            Wire::decodeDatagram(whole.substr(0, size));
        }
        for (int round = 0; round < 20000; ++round) {
            std::string damaged = whole;
            damaged[random() % damaged.size()] = static_cast<char>(random());
            Wire::decodeDatagram(damaged);
        }
    }
}

// Guards against forwarding in deployments that it is not meant for, which must behave as without it.
TEST(ReadsAreForwarded, onlyWhereTheConfigurationCallsForIt)
{
    EXPECT_TRUE(forwardsReads(forwardingVm(), group));
    SessionServiceState sessions = forwardingVm();
    sessions.configuration_->organisations_.reset();
    EXPECT_FALSE(forwardsReads(sessions, group)) << "any connection serves any statement";
    sessions = forwardingVm();
    sessions.configuration_->services_[group].maxConnections_ = 3 * 66;
    EXPECT_FALSE(forwardsReads(sessions, group)) << "each VM has a share of the connections";
    sessions = forwardingVm();
    sessions.zoneVms_ = 1;
    EXPECT_FALSE(forwardsReads(sessions, group));
    sessions = forwardingVm();
    sessions.identity_.policies_.forwardsReads_ = false;
    EXPECT_FALSE(forwardsReads(sessions, group));
    EXPECT_FALSE(forwardsReads(forwardingVm(), ServiceId("unknown")));
    sessions = forwardingVm();
    sessions.configuration_.reset();
    EXPECT_FALSE(forwardsReads(sessions, group));
}

// Guards against idle connections of the holders that leave no room for statements, and against persistent connections that serve one organisation only.
TEST(ReadsAreForwarded, overConnectionsThatStayOpenAsLongAsThereIsRoom)
{
    ConnectionDemand demand{.limit_ = 50, .vms_ = 66, .persistent_ = true, .perSecond_ = 2, .forwardsReads_ = true};
    const ConnectionPlan plan = planConnections(demand);
    EXPECT_EQ(plan.maxIdle_, 0U);
    EXPECT_TRUE(plan.temporary_);
    EXPECT_NEAR(std::chrono::duration<double>(plan.idleTimeout_).count(), 0.5 * 50 / (66 * 2), 1e-4);
    demand.perSecond_ = 0;
    EXPECT_EQ(planConnections(demand).idleTimeout_, Duration(std::chrono::seconds(2)));
    demand.limit_ = 3 * 66;
    EXPECT_FALSE(planConnections(demand).temporary_) << "connections are not scarce";
}
