#include "Settings.h"

#include <array>

namespace Figward {

namespace {

constexpr std::int64_t maxPath = 4096;
constexpr std::int64_t maxSeeds = 64;

constexpr FieldInfo field(std::string_view name, FieldType type, bool required, std::string_view meaning)
{
    return {name, type, "", required, "", 0, 0, meaning};
}

constexpr FieldInfo file(std::string_view name, bool required, std::string_view meaning)
{
    return {name, FieldType::Text, "", required, "", 1, maxPath, meaning};
}

constexpr std::array callerTlsFields{
    file("certificate_file", true, "Certificate chain that is presented to callers, PEM."),
    file("key_file", true, "Private key of the certificate, PEM."),
    file("ca_file", false, "CA certificates that verify those of callers, PEM; if absent, callers need no certificate."),
};

constexpr std::array peerTlsFields{
    file("certificate_file", true, "Certificate chain that is presented to other proxies, PEM."),
    file("key_file", true, "Private key of the certificate, PEM."),
    file("ca_file", true, "CA certificates that verify those of the other proxies, PEM; both sides present a certificate."),
};

constexpr std::int64_t maxDrainMillis = 600000;

constexpr FieldInfo policy(std::string_view name, std::string_view meaning, std::string_view enabled = "true")
{
    return {name, FieldType::Boolean, "", false, enabled, 0, 0, meaning};
}

constexpr std::array policiesFields{
    policy("refuse_when_cut_off", "Statements that no reachable member may run are refused at once."),
    policy("refuse_by_forecast", "Statements that are unlikely to be served in time are refused at once."),
    policy("unlist_when_cut_off", "A VM that is cut off reports that it is not ready."),
    policy("move_silent_reads", "A read whose member becomes unresponsive is retried at another member."),
    policy("leave_room", "Half of the connections to a member are reserved for statements that have waited."),
    policy("visit", "If there are more VMs than connections to a member, VMs open temporary connections on demand."),
    policy("pause_lagging", "A replica that refused a read because it lags is skipped for a short time."),
    policy("prefer_own_zone", "Members in the VM's own availability zone are preferred."),
    policy("spare_primary", "Reads leave some capacity of the primary free."),
    policy("pool_quotas", "One VM of each availability zone enforces an organisation's rate limit for all; otherwise each VM enforces an equal share."),
    policy("forward_reads", "Where connections are scarce, a read is forwarded to the VM of the zone that keeps connections for its organisation."),
    policy("share_lag", "Where connections are scarce, a replica that refused a read of any VM as lagging far behind is avoided by all VMs.", "false"),
    policy("admit_urgent_first", "An organisation that is short of quota uses it for its most urgent operations first."),
    policy("shed_under_pressure", "While statements of a group wait too long, operations of less urgent priorities are refused at once.", "false"),
    policy("eject_outliers", "Members that fail or delay more statements than the others of their group are avoided.", "false"),
    policy("share_fairly", "Waiting statements of one priority share the members by the configured rates of their organisations."),
};

constexpr std::array sessionsFields{
    field("vm_name", FieldType::Name, true, "Name of this VM; it stays the same when the process restarts."),
    field("ready_address", FieldType::Address, true, "Address of the readiness endpoint, which tells the platform whether this VM accepts new clients."),
    field("promotion_address", FieldType::Address, true, "Address of the platform's promotion API, which makes a member the primary."),
    FieldInfo{"drain_ms",
              FieldType::Integer,
              "ms",
              false,
              "6000",
              1000,
              maxDrainMillis,
              "Time from the termination signal until the platform kills the process."},
    FieldInfo{"policies", FieldType::Object, "", false, "", 0, 0, "Switches policies on or off; each has its default if absent.", &policiesObject},
};

constexpr std::array settingsFields{
    field("name", FieldType::Name, false, "Name of the process in its log; the advertised address if absent."),
    field("availability_zone", FieldType::Name, true, "Availability zone in which the VM runs, as named in the configuration."),
    field("caller_address", FieldType::Address, true, "Listening address for callers."),
    field("peer_address", FieldType::Address, true, "Listening address for other proxies."),
    field("advertised_address",
          FieldType::Address,
          false,
          "Address at which other proxies reach this one; peer_address if absent. Required if that is 0.0.0.0 or [::]."),
    field("platform_address", FieldType::Address, true, "Address of the platform's object API."),
    field("metrics_address", FieldType::Address, false, "Listening address for Prometheus metrics; no metrics are served if absent."),
    FieldInfo{"seeds", FieldType::Addresses, "", false, "[]", 0, maxSeeds, "Peer addresses of proxies to contact when the platform is unreachable."},
    file("log_file", false, "Log events are appended to this file; standard error if absent."),
    FieldInfo{"log_level", FieldType::Choice, "", false, R"("info")", 0, 0, "Events below this severity are not written.", nullptr, "debug info warning error"},
    FieldInfo{"caller_tls", FieldType::Object, "", false, "", 0, 0, "TLS for connections from callers; plain text if absent.", &callerTlsObject},
    FieldInfo{"peer_tls", FieldType::Object, "", false, "", 0, 0, "TLS for connections between proxies; plain text if absent.", &peerTlsObject},
    FieldInfo{"sessions",
              FieldType::Object,
              "",
              false,
              "",
              0,
              0,
              "Serves database sessions on the users' platform instead of figward's own protocol.",
              &sessionsObject},
};

LogLevel readLevel(std::string_view name)
{
    if (name == "debug") {
        return LogLevel::Debug;
    }
    if (name == "warning") {
        return LogLevel::Warning;
    }
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

std::optional<TlsFiles> readTls(const JsonNode &root, std::string_view name, const ObjectInfo &info)
{
    const JsonNode *node = findMember(root, name);
    if (node == nullptr) {
        return std::nullopt;
    }
    return TlsFiles{textField(*node, info, "certificate_file"), textField(*node, info, "key_file"), textField(*node, info, "ca_file")};
}

SessionPolicies readPolicies(const JsonNode &sessions)
{
    SessionPolicies policies;
    const JsonNode *node = findMember(sessions, "policies");
    if (node == nullptr) {
        policies.sharesLag_ = false;
        policies.shedsUnderPressure_ = false;
        policies.ejectsOutliers_ = false;
        return policies;
    }
    const auto isEnabled = [&](std::string_view name) { return booleanField(*node, policiesObject, name); };
    policies.refusesWhenCutOff_ = isEnabled("refuse_when_cut_off");
    policies.refusesByForecast_ = isEnabled("refuse_by_forecast");
    policies.notReadyWhenCutOff_ = isEnabled("unlist_when_cut_off");
    policies.movesUnansweredReads_ = isEnabled("move_silent_reads");
    policies.keepsReserve_ = isEnabled("leave_room");
    policies.usesTemporaryConnections_ = isEnabled("visit");
    policies.skipsLagging_ = isEnabled("pause_lagging");
    policies.prefersOwnZone_ = isEnabled("prefer_own_zone");
    policies.deprioritisesPrimary_ = isEnabled("spare_primary");
    policies.poolsQuota_ = isEnabled("pool_quotas");
    policies.forwardsReads_ = isEnabled("forward_reads");
    policies.sharesLag_ = isEnabled("share_lag");
    policies.admitsUrgentFirst_ = isEnabled("admit_urgent_first");
    policies.shedsUnderPressure_ = isEnabled("shed_under_pressure");
    policies.ejectsOutliers_ = isEnabled("eject_outliers");
    policies.sharesFairly_ = isEnabled("share_fairly");
    return policies;
}

std::optional<SessionSettings> readSessions(const JsonNode &root)
{
    const JsonNode *node = findMember(root, "sessions");
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto text = [&](std::string_view name) { return textField(*node, sessionsObject, name); };
    return SessionSettings{
        text("vm_name"), text("ready_address"), text("promotion_address"), integerField(*node, sessionsObject, "drain_ms"), readPolicies(*node)};
}

Settings readSettings(const JsonNode &root)
{
    const auto text = [&](std::string_view name) { return textField(root, settingsObject, name); };
    Settings settings;
    settings.zone_ = ZoneId(text("availability_zone"));
    settings.callerAddress_ = text("caller_address");
    settings.peerAddress_ = text("peer_address");
    settings.advertisedAddress_ = text("advertised_address");
    if (settings.advertisedAddress_.empty()) {
        settings.advertisedAddress_ = settings.peerAddress_;
    }
    settings.name_ = text("name");
    if (settings.name_.empty()) {
        settings.name_ = settings.advertisedAddress_;
    }
    settings.platformAddress_ = text("platform_address");
    settings.metricsAddress_ = text("metrics_address");
    for (const JsonNode &seed : itemsField(root, "seeds")) {
        settings.seeds_.push_back(seed.text_);
    }
    settings.logFile_ = text("log_file");
    settings.logLevel_ = readLevel(text("log_level"));
    settings.callerTls_ = readTls(root, "caller_tls", callerTlsObject);
    settings.peerTls_ = readTls(root, "peer_tls", peerTlsObject);
    settings.sessions_ = readSessions(root);
    return settings;
}

bool isWildcard(std::string_view text)
{
    return text.starts_with("0.0.0.0:") || text.starts_with("[::]:");
}

/** Reports a wildcard address as the advertised address: a proxy that connects to 0.0.0.0 reaches itself, so nothing would arrive at this one. */
void checkAdvertised(const JsonNode &root, TextProblems &problems)
{
    const JsonNode *advertised = findMember(root, "advertised_address");
    const std::string_view name = advertised != nullptr ? "advertised_address" : "peer_address";
    const JsonNode *address = findMember(root, name);
    if (address != nullptr && isWildcard(address->text_)) {
        problems.add(TextProblemKind::InvalidValue,
                     address->offset_,
                     childPointer("", name),
                     "other proxies cannot reach this address; set advertised_address to an IP address of this VM");
    }
}

} // namespace

constinit const ObjectInfo callerTlsObject{"caller_tls", callerTlsFields};
constinit const ObjectInfo peerTlsObject{"peer_tls", peerTlsFields};
constinit const ObjectInfo policiesObject{"policies", policiesFields};
constinit const ObjectInfo sessionsObject{"sessions", sessionsFields};
constinit const ObjectInfo settingsObject{"settings", settingsFields};

CheckedSettings checkSettings(std::string_view text)
{
    TextProblems problems(text);
    const std::optional<JsonNode> root = parseJsonDocument(text, problems);
    if (root) {
        checkObject(*root, settingsObject, "", problems);
        checkAdvertised(*root, problems);
    }
    CheckedSettings result{.settings_ = std::nullopt, .problems_ = problems.take()};
    if (result.problems_.empty()) {
        result.settings_ = readSettings(*root);
    }
    return result;
}

} // namespace Figward
