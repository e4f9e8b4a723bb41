#include "settings/settings.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>

namespace heathflow::settings {
namespace {

using Json = nlohmann::json;

const Json& need(const Json& object, const char* key) {
  if (!object.is_object() || !object.contains(key)) {
    throw SettingsError(std::string("settings: the key '") + key + "' is missing");
  }
  return object.at(key);
}

[[noreturn]] void wrong(const char* key, const char* how) {
  throw SettingsError(std::string("settings: the key '") + key + "' holds a value " + how);
}

// No time, count or share is below 0 or beyond what it is kept in; where time begins may be.
enum class Sign { Positive, Any };

template <typename T, Sign kSign = Sign::Positive>
T read(const Json& object, const char* key) {
  const Json& value = need(object, key);
  if constexpr (std::is_arithmetic_v<T> && !std::is_same_v<T, bool>) {
    if (!value.is_number()) wrong(key, "of the wrong type");
    const auto given = value.get<double>();
    if (kSign == Sign::Positive && given < 0) wrong(key, "below 0");
    if (kSign == Sign::Any && given <= static_cast<double>(std::numeric_limits<T>::lowest()))
      wrong(key, "that is too small");
    if (given >= static_cast<double>(std::numeric_limits<T>::max())) wrong(key, "that is too large");
  }
  try {
    return value.get<T>();
  } catch (const Json::exception&) {
    wrong(key, "of the wrong type");
  }
}

template <typename T>
T readOr(const Json& object, const char* key, T fallback) {
  if (!object.is_object() || !object.contains(key) || object.at(key).is_null()) return fallback;
  return read<T>(object, key);
}

// Words that are not known take the most cautious meaning: the last line of each of these.
Consistency consistencyOf(const std::string& word) {
  if (word == "fresh") return Consistency::Strong;
  if (word == "session") return Consistency::Session;
  if (word == "bounded") return Consistency::BoundedStaleness;
  if (word == "any") return Consistency::Eventual;
  return Consistency::Write;
}

Idempotency effectOf(const std::string& word) {
  if (word == "retryable") return Idempotency::Idempotent;
  if (word == "dedup") return Idempotency::WithKey;
  return Idempotency::None;
}

KeyScope scopeOf(const std::string& word) {
  if (word == "all") return KeyScope::Global;
  if (word == "cell") return KeyScope::Group;
  if (word == "zone") return KeyScope::Zone;
  return KeyScope::Endpoint;
}

StaleReadBehavior staleReadBehaviorOf(const std::string& word) {
  if (word == "refuse") return StaleReadBehavior::Rejects;
  if (word == "wait") return StaleReadBehavior::Waits;
  return StaleReadBehavior::ServesStale;
}

SessionTokenSource tokenModeOf(const std::string& word) {
  if (word == "carried") return SessionTokenSource::Client;
  if (word == "remembered") return SessionTokenSource::Gateway;
  return SessionTokenSource::None;
}

RequestClassSettings readClass(const Json& entry) {
  RequestClassSettings out;
  out.latencyObjective = read<Micros>(entry, "Aim");
  out.objectivePerEstimatedWork = readOr<double>(entry, "AimStretch", 0.0);
  out.deadline = read<Micros>(entry, "Deadline");
  out.priorityWeight = readOr<double>(entry, "Value", 1.0);
  out.lateValueShare = readOr<double>(entry, "LateShare", 0.0);
  out.idempotency = effectOf(read<std::string>(entry, "Effect"));
  out.keyScope = scopeOf(readOr<std::string>(entry, "Group", ""));
  out.keyWindow = readOr<Micros>(entry, "Window", 0);
  return out;
}

ReportLayout readLayout(const Json& report) {
  ReportLayout layout;
  layout.fields = readOr<std::vector<std::string>>(report, "Fields", {});
  const auto& fields = layout.fields;
  for (std::size_t i = 0; i < fields.size(); ++i) {
    if (fields[i] == "x0") layout.position = static_cast<int>(i);
    if (fields[i] == "x1") layout.role = static_cast<int>(i);
    if (fields[i] == "busy_reqs") layout.held = static_cast<int>(i);
  }
  return layout;
}

// Guards against another deployment's values where a key is missing: what is taken in its place follows from
// the other settings or is the most cautious there is, and it is said.
void noteMissing(InstanceSettings& out) {
  PolicySettings& logic = out.logic;
  const auto note = [&](const std::string& what) { out.notes.push_back("settings: " + what); };
  if (logic.connectTimeout <= 0) {
    for (const RequestClassSettings& entry : logic.classes)
      logic.connectTimeout = std::max(logic.connectTimeout, entry.deadline);
    note("no 'ConnectTimeout': a connection may take as long as the longest deadline");
  }
  if (out.idleTime <= 0) note("no 'ConnIdle': idle connections to members are kept");
  if (logic.discoveryIsPolled && logic.maxPollInterval <= 0)
    note("no 'AskWithin': the list is asked for every second");
  for (std::size_t i = 0; i < logic.classes.size(); ++i) {
    const RequestClassSettings& entry = logic.classes[i];
    const std::string name = "class '" + out.classNames[i] + "': ";
    if (entry.consistency == Consistency::BoundedStaleness && entry.maxStaleness <= 0)
      note(name + "no 'MaxAge': its reads go to primaries");
    if (entry.idempotency == Idempotency::WithKey && entry.keyWindow <= 0)
      note(name + "no 'Window': it is never repeated once it may have run");
  }
}

}  // namespace

InstanceSettings parseSettings(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) throw SettingsError("settings: the text is not JSON");
  if (!json.is_object()) throw SettingsError("settings: the text is not a JSON object");

  InstanceSettings out;
  PolicySettings& logic = out.logic;
  const Json& classes = need(json, "Classes");
  if (!classes.is_array()) wrong("Classes", "of the wrong type");
  for (const Json& entry : classes) {
    logic.classes.push_back(readClass(entry));
    out.classNames.push_back(readOr<std::string>(entry, "Name", ""));
  }

  const Json& family = need(json, "FamilyInfo");
  const auto words = read<std::vector<std::string>>(family, "Consistency");
  const auto ages = readOr<std::vector<Micros>>(family, "MaxAge", {});
  for (std::size_t i = 0; i < logic.classes.size(); ++i) {
    logic.classes[i].consistency = i < words.size() ? consistencyOf(words[i]) : Consistency::Write;
    logic.classes[i].maxStaleness = i < ages.size() ? ages[i] : 0;
  }
  logic.staleReads = staleReadBehaviorOf(readOr<std::string>(family, "Guards", ""));
  logic.catchUpTimeout = readOr<Micros>(family, "CatchUpWait", 0);
  logic.sessionTokens = tokenModeOf(readOr<std::string>(family, "TokenMode", ""));
  out.positionZero = read<Micros, Sign::Any>(family, "PositionZero");
  logic.responsesReportPosition = readOr<bool>(family, "Positions", false);
  logic.zone = readOr<std::uint32_t>(json, "Az", 0);
  if (json.contains("Charges"))
    logic.crossZoneTrafficHasCost = readOr<double>(json.at("Charges"), "CrossZone", 0.0) > 0;
  logic.gatewayCount = std::max(1u, readOr<unsigned>(json, "Balancers", 1u));
  logic.timerResolution = readOr<Micros>(json, "Tick", 0);
  logic.discoveryIsPolled = readOr<std::string>(json, "Discovery", "") != "push";

  const Json& limits = need(json, "Limits");
  logic.healthChecksAllowed = readOr<bool>(limits, "Probing", false);
  logic.cancellationAllowed = readOr<bool>(limits, "Cancel", false);
  logic.hedgingAllowed = readOr<bool>(limits, "ParallelTries", false);
  logic.retryAfterAllowed = readOr<bool>(limits, "RetryAfter", false);
  logic.maxRetryAfter = readOr<Micros>(limits, "MaxRetryAfter", 0);
  logic.maxAttempts = read<unsigned>(limits, "MaxAttempts");
  logic.connectTimeout = readOr<Micros>(limits, "ConnectTimeout", 0);
  out.idleTime = readOr<Micros>(limits, "ConnIdle", 0);

  const Json& contract = need(json, "Contract");
  logic.maxPollInterval = readOr<Micros>(contract, "AskWithin", 0);
  logic.removalIsAdvisory = readOr<bool>(contract, "GoneIsAdvice", false);
  out.drainGrace = readOr<Micros>(contract, "DrainGrace", 0);
  logic.responseSlack = readOr<Micros>(contract, "AnswerSlack", 0);
  logic.slowStartInitialShare = readOr<double>(contract, "ColdFrom", 1.0);
  logic.slowStartDuration = readOr<Micros>(contract, "WarmUp", 0);
  logic.overloadWindow = readOr<Micros>(contract, "Fall", 0);
  logic.overloadMultiple = readOr<double>(contract, "FallMultiple", 1.0);

  if (json.contains("Report")) {
    out.report = readLayout(json.at("Report"));
    logic.healthChecksReportPosition = out.report.position >= 0;
    logic.healthChecksReportRole = out.report.role >= 0;
  }
  noteMissing(out);
  return out;
}

}  // namespace heathflow::settings
