#include "ConfigurationFields.h"

#include <array>

namespace Figward {

namespace {

constexpr std::int64_t maxServices = 1000;
constexpr std::int64_t maxGroups = 2000;
constexpr std::int64_t minMembers = 3;
constexpr std::int64_t maxMembers = 10;
constexpr std::int64_t maxClasses = 16;
constexpr std::int64_t maxConnections = 100'000;
constexpr std::int64_t maxSlots = 10'000;
constexpr std::int64_t minuteMillis = 60'000;
constexpr std::int64_t hourMillis = 60 * minuteMillis;
constexpr std::int64_t dayMillis = 24 * hourMillis;

/** Returns the schema of an optional integer field. */
constexpr FieldInfo optionalInteger(std::string_view name,
                                    std::string_view unit,
                                    std::string_view defaultValue,
                                    std::int64_t minimum,
                                    std::int64_t maximum,
                                    std::string_view meaning)
{
    return {name, FieldType::Integer, unit, false, defaultValue, minimum, maximum, meaning, nullptr};
}

/** Returns the schema of a required field that is not an integer. */
constexpr FieldInfo requiredField(std::string_view name, FieldType type, std::string_view meaning)
{
    return {name, type, "", true, "", 0, 0, meaning, nullptr};
}

constexpr std::array memberFields{
    requiredField("name", FieldType::Name, "Name of the member, unique in the whole configuration."),
    requiredField("zone", FieldType::Name, "Availability zone in which the member runs."),
    requiredField("address", FieldType::Address, "Address at which the member accepts connections, unique in the whole configuration."),
    FieldInfo{"leaving", FieldType::Boolean, "", false, "false", 0, 0, "A leaving member gets no new work; transactions that are open there finish.", nullptr},
};

constexpr std::array groupFields{
    requiredField("name", FieldType::Name, "Name of the database group, unique in the whole configuration; callers name it in each request."),
    FieldInfo{"connection_limit",
              FieldType::Integer,
              "connections",
              true,
              "",
              1,
              maxConnections,
              "Connections that the group accepts from all proxies together.",
              nullptr},
    FieldInfo{"slots", FieldType::Integer, "statements", true, "", 1, maxSlots, "Statements that the group runs at once.", nullptr},
    FieldInfo{"members",
              FieldType::Objects,
              "",
              true,
              "",
              minMembers,
              maxMembers,
              "The databases of the group: an odd number, or one more while one of them is leaving.",
              &memberObject},
};

constexpr std::array classFields{
    requiredField("name", FieldType::Name, "Name of the class of work, unique in its service; callers name it in each request."),
    optionalInteger("priority", "", "0", 0, 100, "Waiting requests of a class with a lower number are served first."),
};

constexpr std::array serviceFields{
    requiredField("name", FieldType::Name, "Name of the service, unique in the whole configuration; callers name it in each request."),
    FieldInfo{"depends_on",
              FieldType::Names,
              "",
              false,
              "[]",
              0,
              maxServices,
              "Services that this one needs; it is reported as impaired while one of them is.",
              nullptr},
    FieldInfo{"classes", FieldType::Objects, "", false, R"([{"name": "default"}])", 1, maxClasses, "Classes of work of the service's callers.", &classObject},
    FieldInfo{"groups", FieldType::Objects, "", true, "", 1, maxGroups, "The database groups of the service.", &groupObject},
};

constexpr std::array policyFields{
    optionalInteger("owners_per_group", "proxies", "3", 1, 9, "Proxies that hold connections to a group; only these probe it and replace its primary."),
    optionalInteger("probe_interval_ms", "ms", "100", 10, minuteMillis, "Time between two probes of a member by the first owner in rank."),
    optionalInteger("slow_probe_interval_ms", "ms", "1000", 10, minuteMillis, "Time between two probes of a member by the other owners."),
    optionalInteger("probe_timeout_ms", "ms", "100", 1, minuteMillis, "A probe that is not answered within this time counts as missed."),
    optionalInteger("missed_probes", "probes", "3", 1, 100, "Probes missed in a row before a member is suspected."),
    optionalInteger("statement_timeout_ms", "ms", "2000", 10, hourMillis, "The connection of a statement that is not answered within this time is closed."),
    optionalInteger("idle_connection_life_ms", "ms", "30000", 100, dayMillis, "A connection that is idle for this time is closed."),
    optionalInteger("queue_limit",
                    "requests",
                    "200",
                    1,
                    1'000'000,
                    "Maximum number of requests that wait at an owner of a group; further requests are refused at once."),
    optionalInteger("retry_budget_percent", "%", "20", 0, 100, "Retries allowed for every 100 new requests."),
    optionalInteger("key_retention_ms",
                    "ms",
                    "86400000",
                    minuteMillis,
                    366 * dayMillis,
                    "Idempotency keys of sessions older than this are forgotten; requests with such keys are refused."),
    optionalInteger("drain_timeout_ms", "ms", "30000", 0, hourMillis, "Transactions that are open at a draining proxy are rolled back after this."),
};

constexpr std::array configurationFields{
    FieldInfo{"policy", FieldType::Object, "", false, "{}", 0, 0, "Settings that all proxies share.", &policyObject},
    FieldInfo{"services", FieldType::Objects, "", true, "", 1, maxServices, "The services.", &serviceObject},
};

Duration millisField(const JsonNode &node, std::string_view name)
{
    return std::chrono::milliseconds(integerField(node, policyObject, name));
}

unsigned countField(const JsonNode &node, std::string_view name)
{
    return static_cast<unsigned>(integerField(node, policyObject, name));
}

} // namespace

constinit const ObjectInfo memberObject{"member", memberFields};
constinit const ObjectInfo groupObject{"group", groupFields};
constinit const ObjectInfo classObject{"class", classFields};
constinit const ObjectInfo serviceObject{"service", serviceFields};
constinit const ObjectInfo policyObject{"policy", policyFields};
constinit const ObjectInfo configurationObject{"configuration", configurationFields};

Policy readPolicy(const JsonNode &node)
{
    Policy policy;
    policy.ownersPerGroup_ = countField(node, "owners_per_group");
    policy.probeInterval_ = millisField(node, "probe_interval_ms");
    policy.slowProbeInterval_ = millisField(node, "slow_probe_interval_ms");
    policy.probeTimeout_ = millisField(node, "probe_timeout_ms");
    policy.missedProbes_ = countField(node, "missed_probes");
    policy.statementTimeout_ = millisField(node, "statement_timeout_ms");
    policy.idleConnectionLife_ = millisField(node, "idle_connection_life_ms");
    policy.queueLimit_ = countField(node, "queue_limit");
    policy.retryBudgetPercent_ = countField(node, "retry_budget_percent");
    policy.keyRetention_ = millisField(node, "key_retention_ms");
    policy.drainTimeout_ = millisField(node, "drain_timeout_ms");
    return policy;
}

} // namespace Figward
