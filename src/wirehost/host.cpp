#include "wirehost/host.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "common/overloaded.h"

namespace heathflow::wirehost {
namespace {

constexpr std::uint32_t kRoleBits = 4;
constexpr std::uint8_t kScopeDelta = 0;
constexpr std::uint8_t kScopeFull = 1;
constexpr std::uint8_t kScopeCached = 2;

// Later clock readings are rejected, so that their sums with durations stay in range.
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

Endpoint endpointOf(const Entry& entry) {
  Endpoint endpoint;
  endpoint.id = entry.endpoint;
  endpoint.group = entry.cluster;
  endpoint.status = statusOf(entry.status);
  endpoint.zone = entry.zone;
  endpoint.startedAt = timeOf(entry.startedAt);
  endpoint.size = entry.nominal;
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
    report.position = settings.positionZero + static_cast<Micros>(std::floor(roundedDown(*seconds) * 1e6));
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
  event.requestFinished = record.done != 0;
  const std::uint32_t role = record.progress % kRoleBits;
  if (role == 1) event.role = Role::Primary;
  if (role == 2) event.role = Role::Replica;
  const std::uint32_t millis = record.progress / kRoleBits;
  if (millis != 0) event.position = settings.positionZero + static_cast<Micros>(millis) * 1000;
  event.report = reportOf(settings, record.report);
  return event;
}

HealthCheckEnded healthCheckEndedOf(const InstanceSettings& settings, const PingRecord& record) {
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

RequestArrived requestArrivedOf(const InstanceSettings& settings, const CallRecord& record) {
  Request request;
  request.id = record.request;
  request.group = record.group >= 0 && record.group <= 65535 ? static_cast<GroupId>(record.group) : 65536;
  request.classIndex = record.classIndex;
  request.session = record.session;
  if (settings.policy.sessionTokens == SessionTokenSource::Client && record.tokenAgeMs > 0 &&
      record.tokenAgeMs < 1e12F) {
    request.timeSinceLastWrite =
        static_cast<Micros>(std::max(0.0, std::floor(roundedDown(record.tokenAgeMs) * 1e3)));
  }
  if ((record.attributes & 1U) != 0) request.estimatedWork = record.estimatedWork;
  request.isClientRetry = (record.attributes & 2U) != 0;
  request.deadline = timeOf(record.deadline);
  return RequestArrived{request};
}

}  // namespace

const ListRecord& Host::listOf(std::uint32_t buffer) const {
  const auto found = lists_.find(buffer);
  if (found == lists_.end())
    throw FrameError("a list that was never sent is named: " + std::to_string(buffer));
  return found->second;
}

EndpointsChanged Host::endpointsChangedOf(const EndpointsRecord& record) const {
  EndpointsChanged event;
  event.scope = scopeOf(record.scope);
  if (event.scope == EndpointsChanged::Scope::Failed) return event;
  for (const Entry& entry : listOf(record.buffer).rows) event.endpoints.push_back(endpointOf(entry));
  return event;
}

void Host::writeActions() {
  if (actions_.empty()) return;
  if (!replyNamesInstance_ || repliedInstance_ != currentInstance_) {
    writer_.at(currentInstance_);
    replyNamesInstance_ = true;
    repliedInstance_ = currentInstance_;
  }
  const auto limited = [](Micros value) {
    return static_cast<std::uint32_t>(
        std::clamp<Micros>(value, 0, std::numeric_limits<std::uint32_t>::max()));
  };
  for (const Action& action : actions_) {
    std::visit(Overloaded{
                   [&](const SendAttempt& a) {
                     writer_.forward(a.request, a.endpoint, static_cast<std::uint64_t>(a.abandonAt));
                   },
                   [&](const CancelAttempt& a) {
                     writer_.callOff(a.request, static_cast<std::uint16_t>(a.attempt));
                   },
                   [&](const RejectRequest& a) { writer_.reject(a.request, limited(a.retryAfter)); },
                   [&](const FailRequest& a) { writer_.error(a.request); },
                   [&](const StartHealthCheck& a) { writer_.inspect(a.endpoint); },
                   [&](const CloseIdleConnections& a) { writer_.release(a.endpoint); },
                   [&](const SubscribeToEndpoints&) { writer_.streamChanges(true); },
                   [&](const SetTimer& a) { writer_.defer(a.token, limited(a.after)); },
               },
               action);
  }
  actions_.clear();
}

void Host::start(const InitRecord& record) {
  InstanceSettings settings = parseSettings(record.settings);
  RoutingPolicy policy(settings.policy, record.seed, now_, actions_);
  instances_.insert_or_assign(currentInstance_, Instance{std::move(settings), std::move(policy)});
  writeActions();
}

void Host::apply(const Event& event) {
  instances_.at(currentInstance_).policy.handle(now_, event, actions_);
  writeActions();
}

// An event before an instance is named or for one that was not started is an error; ending an instance
// that was not started is not.
void Host::handleEvent(const Record& record) {
  if (!instanceNamed_) throw FrameError("an event stands before the first instance is named");
  if (const auto* init = std::get_if<InitRecord>(&record)) return start(*init);
  const auto found = instances_.find(currentInstance_);
  if (found == instances_.end()) {
    if (std::holds_alternative<KillRecord>(record)) return;
    throw FrameError("an event names an instance that was not started: " + std::to_string(currentInstance_));
  }
  const InstanceSettings& settings = found->second.settings;
  std::visit(Overloaded{
                 [&](const EndpointsRecord& r) { apply(endpointsChangedOf(r)); },
                 [&](const CallRecord& r) { apply(requestArrivedOf(settings, r)); },
                 [&](const EstablishedRecord& r) {
                   apply(ResponseStreaming{r.request, r.attempt});
                 },
                 [&](const PingRecord& r) { apply(healthCheckEndedOf(settings, r)); },
                 [&](const AttemptEndRecord& r) { apply(attemptEndedOf(settings, r)); },
                 [&](const RingRecord& r) { apply(TimerFired{r.label}); },
                 [&](const LeftRecord& r) { apply(ClientDisconnected{r.request}); },
                 [&](const KillRecord&) { instances_.erase(found); },
                 [&](const PeerRecord&) {},  // instances send nothing to each other
                 [&](const auto&) {},        // handled by handle() or above
             },
             record);
}

const std::string& Host::handle(const BatchHeader& header, std::string_view body) {
  writer_.clear();
  replyNamesInstance_ = false;
  instanceNamed_ = false;
  if (header.clock > kLatestTime) throw FrameError("the clock is out of range");
  now_ = timeOf(header.clock);

  RecordReader reader(body, header.records);
  Record record;
  while (reader.next(record)) {
    if (const auto* target = std::get_if<ForRecord>(&record)) {
      currentInstance_ = target->instance;
      instanceNamed_ = true;
    } else if (auto* list = std::get_if<ListRecord>(&record)) {
      lists_.insert_or_assign(list->buffer, std::move(*list));
    } else {
      handleEvent(record);
    }
  }
  return writer_.finish();
}

}  // namespace heathflow::wirehost
