#include "settings/settings.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>

namespace heathflow::settings {
namespace {

using Json = nlohmann::json;

const Json& requiredValue(const Json& object, const char* key) {
  if (!object.is_object() || !object.contains(key)) {
    throw SettingsError(std::string("settings: the key '") + key + "' is missing");
  }
  return object.at(key);
}

[[noreturn]] void throwInvalidValue(const char* key, const char* problem) {
  throw SettingsError(std::string("settings: the key '") + key + "' holds a value " + problem);
}

// Times, counts and shares are at least 0 and must fit their type; 'PositionZero' may be negative.
enum class Sign { NonNegative, Any };

template <typename T, Sign kSign = Sign::NonNegative>
T read(const Json& object, const char* key) {
  const Json& value = requiredValue(object, key);
  if constexpr (std::is_arithmetic_v<T> && !std::is_same_v<T, bool>) {
    if (!value.is_number()) throwInvalidValue(key, "of the wrong type");
    const auto given = value.get<double>();
    if (kSign == Sign::NonNegative && given < 0) throwInvalidValue(key, "below 0");
    if (kSign == Sign::Any && given <= static_cast<double>(std::numeric_limits<T>::lowest()))
      throwInvalidValue(key, "that is too small");
    if (given >= static_cast<double>(std::numeric_limits<T>::max()))
      throwInvalidValue(key, "that is too large");
  }
  try {
    return value.get<T>();
  } catch (const Json::exception&) {
    throwInvalidValue(key, "of the wrong type");
  }
}

template <typename T>
T readOr(const Json& object, const char* key, T fallback) {
  if (!object.is_object() || !object.contains(key) || object.at(key).is_null()) return fallback;
  return read<T>(object, key);
}

// Each function here that takes a word maps an unknown one to the most cautious value, in its last line.
Consistency consistencyOf(const std::string& word) {
  if (word == "fresh") return Consistency::Strong;
  if (word == "session") return Consistency::Session;
  if (word == "bounded") return Consistency::BoundedStaleness;
  if (word == "any") return Consistency::Eventual;
  return Consistency::Write;
}

Idempotency idempotencyOf(const std::string& word) {
  if (word == "retryable") return Idempotency::Idempotent;
  if (word == "dedup") return Idempotency::WithKey;
  return Idempotency::None;
}

KeyScope keyScopeOf(const std::string& word) {
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

SessionTokenSource sessionTokenSourceOf(const std::string& word) {
  if (word == "carried") return SessionTokenSource::Client;
  if (word == "remembered") return SessionTokenSource::Gateway;
  return SessionTokenSource::None;
}

RequestClassSettings readClass(const Json& entry) {
  RequestClassSettings out;
  out.latencyObjective = read<Micros>(entry, "Aim");
  out.objectivePerEstimatedWork = readOr<double>(entry, "AimStretch", 0.0);
  out.requestTimeout = read<Micros>(entry, "Deadline");
  out.priorityWeight = readOr<double>(entry, "Value", 1.0);
  out.lateValueShare = readOr<double>(entry, "LateShare", 0.0);
  out.idempotency = idempotencyOf(read<std::string>(entry, "Effect"));
  out.keyScope = keyScopeOf(readOr<std::string>(entry, "Group", ""));
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
    if (fields[i] == "busy_reqs") layout.inFlight = static_cast<int>(i);
  }
  return layout;
}

void readFamily(const Json& family, InstanceSettings& out) {
  PolicySettings& policy = out.policy;
  const auto words = read<std::vector<std::string>>(family, "Consistency");
  const auto ages = readOr<std::vector<Micros>>(family, "MaxAge", {});
  for (std::size_t i = 0; i < policy.classes.size(); ++i) {
    policy.classes[i].consistency = i < words.size() ? consistencyOf(words[i]) : Consistency::Write;
    policy.classes[i].maxStaleness = i < ages.size() ? ages[i] : 0;
  }
  policy.staleReads = staleReadBehaviorOf(readOr<std::string>(family, "Guards", ""));
  policy.catchUpTimeout = readOr<Micros>(family, "CatchUpWait", 0);
  policy.sessionTokens = sessionTokenSourceOf(readOr<std::string>(family, "TokenMode", ""));
  out.positionZero = read<Micros, Sign::Any>(family, "PositionZero");
  policy.responsesReportPosition = readOr<bool>(family, "Positions", false);
}

void readLimits(const Json& limits, InstanceSettings& out) {
  PolicySettings& policy = out.policy;
  policy.healthChecksAllowed = readOr<bool>(limits, "Probing", false);
  policy.cancellationAllowed = readOr<bool>(limits, "Cancel", false);
  policy.hedgingAllowed = readOr<bool>(limits, "ParallelTries", false);
  policy.retryAfterAllowed = readOr<bool>(limits, "RetryAfter", false);
  policy.maxRetryAfter = readOr<Micros>(limits, "MaxRetryAfter", 0);
  policy.maxAttempts = read<unsigned>(limits, "MaxAttempts");
  policy.connectTimeout = readOr<Micros>(limits, "ConnectTimeout", 0);
  out.idleTime = readOr<Micros>(limits, "ConnIdle", 0);
}

void readContract(const Json& contract, InstanceSettings& out) {
  PolicySettings& policy = out.policy;
  policy.maxPollInterval = readOr<Micros>(contract, "AskWithin", 0);
  policy.removalIsAdvisory = readOr<bool>(contract, "GoneIsAdvice", false);
  out.drainGrace = readOr<Micros>(contract, "DrainGrace", 0);
  policy.responseSlack = readOr<Micros>(contract, "AnswerSlack", 0);
  policy.slowStartInitialShare = readOr<double>(contract, "ColdFrom", 1.0);
  policy.slowStartDuration = readOr<Micros>(contract, "WarmUp", 0);
  policy.overloadWindow = readOr<Micros>(contract, "Fall", 0);
  policy.overloadMultiple = readOr<double>(contract, "FallMultiple", 1.0);
}

// Adds a note on each of these optional settings that is missing. A missing connect timeout is set to the
// longest request timeout; the others keep their defaults, which are the most cautious values.
void noteMissing(InstanceSettings& out) {
  PolicySettings& policy = out.policy;
  const auto note = [&](const std::string& what) { out.notes.push_back("settings: " + what); };
  if (policy.connectTimeout <= 0) {
    for (const RequestClassSettings& entry : policy.classes)
      policy.connectTimeout = std::max(policy.connectTimeout, entry.requestTimeout);
    note("no 'ConnectTimeout': using the longest request timeout");
  }
  if (out.idleTime <= 0) note("no 'ConnIdle': idle connections to endpoints are kept open");
  if (policy.discoveryIsPolled && policy.maxPollInterval <= 0)
    note("no 'AskWithin': polling the endpoint list every second");
  for (std::size_t i = 0; i < policy.classes.size(); ++i) {
    const RequestClassSettings& entry = policy.classes[i];
    const std::string name = "class '" + out.classNames[i] + "': ";
    if (entry.consistency == Consistency::BoundedStaleness && entry.maxStaleness <= 0)
      note(name + "no 'MaxAge': sending its reads to primaries");
    if (entry.idempotency == Idempotency::WithKey && entry.keyWindow <= 0)
      note(name + "no 'Window': not retrying its requests once they may have run");
  }
}

}  // namespace

InstanceSettings parseSettings(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) throw SettingsError("settings: the text is not JSON");
  if (!json.is_object()) throw SettingsError("settings: the text is not a JSON object");

  InstanceSettings out;
  PolicySettings& policy = out.policy;
  const Json& classes = requiredValue(json, "Classes");
  if (!classes.is_array()) throwInvalidValue("Classes", "of the wrong type");
  for (const Json& entry : classes) {
    policy.classes.push_back(readClass(entry));
    out.classNames.push_back(readOr<std::string>(entry, "Name", ""));
  }

  readFamily(requiredValue(json, "FamilyInfo"), out);
  policy.zone = readOr<std::uint32_t>(json, "Az", 0);
  if (json.contains("Charges"))
    policy.crossZoneTrafficHasCost = readOr<double>(json.at("Charges"), "CrossZone", 0.0) > 0;
  policy.gatewayCount = std::max(1u, readOr<unsigned>(json, "Balancers", 1u));
  policy.timerResolution = readOr<Micros>(json, "Tick", 0);
  policy.discoveryIsPolled = readOr<std::string>(json, "Discovery", "") != "push";

  readLimits(requiredValue(json, "Limits"), out);
  readContract(requiredValue(json, "Contract"), out);
  if (json.contains("Report")) {
    out.report = readLayout(json.at("Report"));
    policy.healthChecksReportPosition = out.report.position >= 0;
    policy.healthChecksReportRole = out.report.role >= 0;
  }
  noteMissing(out);
  return out;
}

}  // namespace heathflow::settings
