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
    file("certificate_file", true, "Certificate chain that callers are shown, PEM."),
    file("key_file", true, "Private key of the certificate, PEM."),
    file("ca_file", false, "Certificates that sign those of callers, PEM; without it callers are asked for none."),
};

constexpr std::array peerTlsFields{
    file("certificate_file", true, "Certificate chain that other proxies are shown, PEM."),
    file("key_file", true, "Private key of the certificate, PEM."),
    file("ca_file", true, "Certificates that sign those of the other proxies, PEM; both sides show one."),
};

constexpr std::int64_t maxDrainMillis = 600000;

constexpr FieldInfo policy(std::string_view name, std::string_view meaning)
{
    return {name, FieldType::Boolean, "", false, "true", 0, 0, meaning};
}

constexpr std::array policiesFields{
    policy("refuse_when_cut_off", "Statements that no member reached may run are refused at once."),
    policy("refuse_by_forecast", "Statements that are not likely to be served in time are refused at once."),
    policy("unlist_when_cut_off", "A VM that is cut off says that it is not ready."),
    policy("move_silent_reads", "A read whose member falls silent runs at another."),
    policy("leave_room", "Half of the connections to a member are for statements that have waited."),
    policy("visit", "With more VMs than a member takes connections, VMs open them when they need one."),
    policy("pause_lagging", "A replica that refused a read as lagging is passed over for a moment."),
    policy("prefer_own_zone", "Members of the own availability zone are preferred."),
    policy("spare_primary", "Reads leave the primary a little room."),
    policy("pool_quotas", "An organisation's rate is held by one VM of each availability zone for all; otherwise each VM has an equal part."),
};

constexpr std::array sessionsFields{
    field("vm_name", FieldType::Name, true, "Name of this VM; a process that is started again keeps it."),
    field("ready_address", FieldType::Address, true, "Tells the platform here whether this VM takes new clients."),
    field("promotion_address", FieldType::Address, true, "The platform's call that makes a member the primary."),
    FieldInfo{"drain_ms", FieldType::Integer, "ms", false, "6000", 1000, maxDrainMillis, "Time from the request to end until the platform kills the process."},
    FieldInfo{"policies", FieldType::Object, "", false, "", 0, 0, "Switches policies off, for experiments; all are on if absent.", &policiesObject},
};

constexpr std::array settingsFields{
    field("name", FieldType::Name, false, "Name of the process in its log; the advertised address if absent."),
    field("availability_zone", FieldType::Name, true, "Availability zone that the VM stands in, as the configuration names it."),
    field("caller_address", FieldType::Address, true, "Listens here for callers."),
    field("peer_address", FieldType::Address, true, "Listens here for other proxies."),
    field("advertised_address", FieldType::Address, false, "Where other proxies reach this one; peer_address if absent. Needed if that is 0.0.0.0 or [::]."),
    field("platform_address", FieldType::Address, true, "The platform's object API."),
    field("metrics_address", FieldType::Address, false, "Serves metrics here for Prometheus; none if absent."),
    FieldInfo{"seeds", FieldType::Addresses, "", false, "[]", 0, maxSeeds, "Peer addresses of proxies to ask when the platform cannot be reached."},
    file("log_file", false, "Log events are appended to this file; standard error if absent."),
    FieldInfo{"log_level", FieldType::Choice, "", false, R"("info")", 0, 0, "Events below this severity are not written.", nullptr, "debug info warning error"},
    FieldInfo{"caller_tls", FieldType::Object, "", false, "", 0, 0, "TLS towards callers; plain text if absent.", &callerTlsObject},
    FieldInfo{"peer_tls", FieldType::Object, "", false, "", 0, 0, "TLS between proxies; plain text if absent.", &peerTlsObject},
    FieldInfo{"sessions",
              FieldType::Object,
              "",
              false,
              "",
              0,
              0,
              "Serves database sessions on the users' platform in place of figward's own protocol.",
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
        return policies;
    }
    const auto isOn = [&](std::string_view name) { return booleanField(*node, policiesObject, name); };
    policies.refusesWhenCutOff_ = isOn("refuse_when_cut_off");
    policies.refusesByForecast_ = isOn("refuse_by_forecast");
    policies.notReadyWhenCutOff_ = isOn("unlist_when_cut_off");
    policies.movesUnansweredReads_ = isOn("move_silent_reads");
    policies.keepsReserve_ = isOn("leave_room");
    policies.usesTemporaryConnections_ = isOn("visit");
    policies.skipsLagging_ = isOn("pause_lagging");
    policies.prefersOwnZone_ = isOn("prefer_own_zone");
    policies.deprioritisesPrimary_ = isOn("spare_primary");
    policies.poolsQuota_ = isOn("pool_quotas");
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

bool isWildcard(std::string_view address)
{
    return address.starts_with("0.0.0.0:") || address.starts_with("[::]:");
}

/** A proxy that told others to reach it at 0.0.0.0 would be sent nothing: each of them would call itself. */
void checkAdvertised(const JsonNode &root, TextProblems &problems)
{
    const JsonNode *advertised = findMember(root, "advertised_address");
    const std::string_view name = advertised != nullptr ? "advertised_address" : "peer_address";
    const JsonNode *effective = findMember(root, name);
    if (effective != nullptr && isWildcard(effective->text_)) {
        problems.add(TextProblemKind::InvalidValue,
                     effective->offset_,
                     childPointer("", name),
                     "other proxies cannot reach this address; give advertised_address the IP number of this VM");
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
