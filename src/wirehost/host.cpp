#include "wirehost/host.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "common/overloaded.h"

namespace heathflow::wirehost {
namespace {

constexpr std::uint32_t kRoleCodes = 4;
constexpr std::uint8_t kScopeDelta = 0;
constexpr std::uint8_t kScopeFull = 1;
constexpr std::uint8_t kScopeCached = 2;
// The age in a session token may have been rounded up by as much as this in transit.
constexpr Micros kTokenAgeRounding = 1000;

// A later clock reading of a batch is rejected, and later times in its records are replaced by this one, so
// that sums of times and durations stay in range.
constexpr std::uint64_t kLatestTime = std::numeric_limits<Micros>::max() / 4;

Micros timeOf(std::uint64_t reading) { return static_cast<Micros>(std::min(reading, kLatestTime)); }

// An attempt with an unknown status may have run and counts as an error.
AttemptOutcome outcomeOf(std::uint16_t status) {
  switch (status) {
    case 1:
      return AttemptOutcome::Ok;
    case 3:
      return AttemptOutcome::Overloaded;
    case 4:
      return AttemptOutcome::TimedOut;
    case 5:
      return AttemptOutcome::ConnectFailed;
    case 6:
      return AttemptOutcome::ConnectionReset;
    case 7:
      return AttemptOutcome::Cancelled;
    case 8:
      return AttemptOutcome::NotSent;
    case 9:
      return AttemptOutcome::PreconditionFailed;
    default:
      return AttemptOutcome::Error;
  }
}

EndpointStatus statusOf(std::uint8_t status) {
  if (status == 1) return EndpointStatus::Ready;
  return status == 0 ? EndpointStatus::Removed : EndpointStatus::Draining;
}

Endpoint endpointOf(const ListEntry& entry) {
  Endpoint endpoint;
  endpoint.id = entry.endpoint;
  endpoint.group = entry.cluster;
  endpoint.status = statusOf(entry.status);
  endpoint.zone = entry.zone;
  endpoint.startedAt = timeOf(entry.startedAt);
  endpoint.size = entry.nominalSize;
  endpoint.listedPrimary = entry.listedPrimary >= 0.5F;
  return endpoint;
}

std::optional<float> valueAt(const std::vector<float>& values, int index) {
  if (index < 0 || static_cast<std::size_t>(index) >= values.size()) return std::nullopt;
  if (!std::isfinite(values[static_cast<std::size_t>(index)])) return std::nullopt;
  return values[static_cast<std::size_t>(index)];
}

// The value may have been rounded up to a 32-bit float; the next smaller one is never too large.
double roundedDown(float value) { return std::nextafter(value, -std::numeric_limits<float>::infinity()); }

LoadReport reportOf(const InstanceSettings& settings, const std::vector<float>& values) {
  LoadReport report;
  if (const auto seconds = valueAt(values, settings.report.position); seconds && std::abs(*seconds) < 1e12F) {
    const auto sinceZero = static_cast<Micros>(std::floor(roundedDown(*seconds) * 1e6));
    report.position = LogPosition{settings.positionZero + sinceZero};
  }
  if (const auto role = valueAt(values, settings.report.role)) {
    report.role = *role >= 0.5F ? Role::Primary : Role::Replica;
  }
  if (const auto inFlight = valueAt(values, settings.report.inFlight)) report.inFlight = *inFlight;
  return report;
}

AttemptEnded attemptEndedOf(const InstanceSettings& settings, const AttemptEndRecord& record) {
  AttemptEnded event;
  event.request = record.request;
  event.attempt = record.attempt;
  event.endpoint = record.endpoint;
  event.outcome = outcomeOf(record.status);
  event.elapsed = record.elapsed;
  event.requestFinished = record.requestFinished != 0;
  const std::uint32_t role = record.roleAndPosition % kRoleCodes;
  if (role == 1) event.role = Role::Primary;
  if (role == 2) event.role = Role::Replica;
  const std::uint32_t millis = record.roleAndPosition / kRoleCodes;
  if (millis != 0) event.position = LogPosition{settings.positionZero + static_cast<Micros>(millis) * 1000};
  event.report = reportOf(settings, record.report);
  return event;
}

HealthCheckEnded healthCheckEndedOf(const InstanceSettings& settings, const HealthCheckEndRecord& record) {
  const AttemptOutcome outcome = outcomeOf(record.status);
  return HealthCheckEnded{record.endpoint, outcome == AttemptOutcome::Ok, record.elapsed,
                          reportOf(settings, record.report), outcome == AttemptOutcome::Overloaded};
}

EndpointsChanged::Scope scopeOf(std::uint8_t scope) {
  switch (scope) {
    case kScopeDelta:
      return EndpointsChanged::Scope::Delta;
    case kScopeFull:
    case kScopeCached:
      return EndpointsChanged::Scope::Full;
    default:
      return EndpointsChanged::Scope::Failed;
  }
}

// Returns the session token for the age of a session's last write. On the simulator all clocks agree.
LogPosition sessionTokenOf(float ageMs, Micros now) {
  const auto age = static_cast<Micros>(std::max(0.0, std::floor(roundedDown(ageMs) * 1e3)));
  return LogPosition{now - std::max<Micros>(0, age - kTokenAgeRounding)};
}

RequestArrived requestArrivedOf(const InstanceSettings& settings, const RequestRecord& record, Micros now) {
  Request request;
  request.id = record.request;
  request.group = record.group >= 0 && record.group <= 65535 ? static_cast<GroupId>(record.group) : 65536;
  request.classIndex = record.classIndex;
  request.session = record.session;
  if (settings.policy.sessionTokens == SessionTokenSource::Client && record.tokenAgeMs > 0 &&
      record.tokenAgeMs < 1e12F) {
    request.sessionToken = sessionTokenOf(record.tokenAgeMs, now);
  }
  if ((record.attributes & 1U) != 0) request.estimatedWork = record.estimatedWork;
  request.isClientRetry = (record.attributes & 2U) != 0;
  request.deadline = timeOf(record.deadline);
  return RequestArrived{request};
}

}  // namespace

const EndpointListRecord& Host::findList(std::uint32_t listId) const {
  const auto found = lists_.find(listId);
  if (found == lists_.end())
    throw FrameError("an event names an endpoint list that was never sent: " + std::to_string(listId));
  return found->second;
}

EndpointsChanged Host::endpointsChangedOf(const EndpointsChangedRecord& record) const {
  EndpointsChanged event;
  event.scope = scopeOf(record.scope);
  if (event.scope == EndpointsChanged::Scope::Failed) return event;
  for (const ListEntry& entry : findList(record.listId).entries) event.endpoints.push_back(endpointOf(entry));
  return event;
}

void Host::writeActions() {
  if (actions_.empty()) return;
  if (!replySelectsInstance_ || replyInstance_ != currentInstance_) {
    writer_.selectInstance(currentInstance_);
    replySelectsInstance_ = true;
    replyInstance_ = currentInstance_;
  }
  const auto clampToU32 = [](Micros value) {
    return static_cast<std::uint32_t>(
        std::clamp<Micros>(value, 0, std::numeric_limits<std::uint32_t>::max()));
  };
  for (const Action& action : actions_) {
    std::visit(
        Overloaded{
            [&](const SendAttempt& a) {
              writer_.sendAttempt(a.request, a.endpoint, static_cast<std::uint64_t>(a.abandonAt));
            },
            [&](const CancelAttempt& a) {
              writer_.cancelAttempt(a.request, static_cast<std::uint16_t>(a.attempt));
            },
            [&](const RejectRequest& a) { writer_.rejectRequest(a.request, clampToU32(a.retryAfter)); },
            [&](const FailRequest& a) { writer_.failRequest(a.request); },
            [&](const StartHealthCheck& a) { writer_.startHealthCheck(a.endpoint); },
            [&](const CloseIdleConnections& a) { writer_.closeIdleConnections(a.endpoint); },
            [&](const SubscribeToEndpoints&) { writer_.subscribe(true); },
            [&](const SetTimer& a) { writer_.setTimer(a.token, clampToU32(a.after)); },
        },
        action);
  }
  actions_.clear();
}

void Host::startInstance(const StartInstanceRecord& record) {
  InstanceSettings settings = parseSettings(record.settings);
  RoutingPolicy policy(settings.policy, record.seed, now_, actions_);
  instances_.insert_or_assign(currentInstance_, Instance{std::move(settings), std::move(policy)});
  writeActions();
}

void Host::apply(const Event& event) {
  instances_.at(currentInstance_).policy.handle(now_, event, actions_);
  writeActions();
}

// An event before an instance is selected or for one that was not started is an error; stopping an instance
// that was not started is not.
void Host::handleEvent(const Record& record) {
  if (!instanceSelected_) throw FrameError("an event precedes the first record that selects an instance");
  if (const auto* start = std::get_if<StartInstanceRecord>(&record)) return startInstance(*start);
  const auto found = instances_.find(currentInstance_);
  if (found == instances_.end()) {
    if (std::holds_alternative<StopInstanceRecord>(record)) return;
    throw FrameError("an event is addressed to an instance that was not started: " +
                     std::to_string(currentInstance_));
  }
  const InstanceSettings& settings = found->second.settings;
  std::visit(Overloaded{
                 [&](const EndpointsChangedRecord& r) { apply(endpointsChangedOf(r)); },
                 [&](const RequestRecord& r) { apply(requestArrivedOf(settings, r, now_)); },
                 [&](const ResponseStreamingRecord& r) {
                   apply(ResponseStreaming{r.request, r.attempt});
                 },
                 [&](const HealthCheckEndRecord& r) { apply(healthCheckEndedOf(settings, r)); },
                 [&](const AttemptEndRecord& r) { apply(attemptEndedOf(settings, r)); },
                 [&](const TimerRecord& r) { apply(TimerFired{r.token}); },
                 [&](const ClientDisconnectRecord& r) { apply(ClientDisconnected{r.request}); },
                 [&](const StopInstanceRecord&) { instances_.erase(found); },
                 [&](const PeerMessageRecord&) {},  // instances send nothing to each other
                 [&](const auto&) {},               // handled by handle() or above
             },
             record);
}

const std::string& Host::handle(const BatchHeader& header, std::string_view body) {
  writer_.clear();
  replySelectsInstance_ = false;
  instanceSelected_ = false;
  if (header.clock > kLatestTime) throw FrameError("the clock is out of range");
  now_ = timeOf(header.clock);

  RecordReader reader(body, header.records);
  Record record;
  while (reader.next(record)) {
    if (const auto* target = std::get_if<SelectInstanceRecord>(&record)) {
      currentInstance_ = target->instance;
      instanceSelected_ = true;
    } else if (auto* list = std::get_if<EndpointListRecord>(&record)) {
      lists_.insert_or_assign(list->listId, std::move(*list));
    } else {
      handleEvent(record);
    }
  }
  return writer_.finish();
}

}  // namespace heathflow::wirehost
