#include "emulator/judge.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "emulator/units.h"

namespace heathflow::emulator {
namespace {

constexpr std::size_t kMaxBreaches = 1000;
constexpr std::array<const char*, kRules> kNames = {
    "one answer",    "no second effect",         "drains kept", "cold members spared",
    "no stale read", "nothing for the departed", "time told",   "invariants kept"};

}  // namespace

const char* nameOf(Rule rule) { return kNames.at(static_cast<std::size_t>(rule)); }

void Judge::breach(Rule rule, Micros at, const std::string& who, const std::string& what) {
  ++counts_[static_cast<std::size_t>(rule)];
  if (breaches_.size() < kMaxBreaches) breaches_.push_back({rule, at, who, what});
}

void Judge::requestSent(const ClientRequest& request) {
  ++requests_;
  TrackedRequest& tracked = tracked_[request.id];
  tracked = TrackedRequest{};
  tracked.request = request;
}

void Judge::requestAnswered(const std::string& id, Micros at, RequestResult result) {
  ++answers_[static_cast<std::size_t>(result)];
  const auto found = tracked_.find(id);
  if (found == tracked_.end())
    return breach(Rule::OneAnswer, at, "", id + ": an answer to an unknown request");
  TrackedRequest& tracked = found->second;
  const std::string& gateway = tracked.request.gateway;
  if (tracked.closed) return;
  if (result == RequestResult::Broken) {
    tracked.closed = true;
    return breach(Rule::OneAnswer, at, gateway, id + ": its connection ended without an answer");
  }
  if (++tracked.answers > 1) return breach(Rule::OneAnswer, at, gateway, id + ": a second answer");
  if (at > tracked.request.at + tracked.request.patience + limits_.slack)
    breach(Rule::OneAnswer, at, gateway, id + ": answered later than its client's deadline");
  if (result == RequestResult::Rejected && tracked.mayHaveRun && !tracked.request.rejectable)
    breach(Rule::NoSecondEffect, at, gateway, id + ": rejected although it may have run");
  tracked.rejected = result == RequestResult::Rejected;
  if (result == RequestResult::Served && tracked.request.bound && tracked.lastPosition == 0)
    breach(Rule::OneAnswer, at, gateway, id + ": served although no endpoint received it");
}

void Judge::clientDisconnected(const std::string& id, Micros at) {
  const auto found = tracked_.find(id);
  if (found == tracked_.end()) return;
  found->second.closed = true;
  found->second.disconnectedAt = at;
}

void Judge::gatewayEndedWithOpenRequests(const std::string& gateway, Micros at) {
  for (auto& [id, tracked] : tracked_) {
    if (tracked.request.gateway != gateway || tracked.closed || tracked.answers > 0) continue;
    tracked.closed = true;
    breach(Rule::OneAnswer, at, gateway, id + ": its gateway was killed before it answered");
  }
}

void Judge::attemptSent(const std::string& id, const std::string& endpoint, Micros at) {
  const auto found = tracked_.find(id);
  if (found != tracked_.end()) found->second.sent[endpoint] = at;
}

void Judge::checkAttempt(const TrackedRequest& tracked, const std::string& id, Micros sentAt,
                         std::optional<Micros> forwardedTimeout) {
  if (tracked.exempt) return;
  if (tracked.disconnectedAt && sentAt > *tracked.disconnectedAt + limits_.afterDisconnect)
    breach(Rule::NoAttemptAfterDisconnect, sentAt, tracked.request.gateway,
           id + ": attempt begun " + std::to_string(sentAt - *tracked.disconnectedAt) +
               " us after its client disconnected");
  const Micros left = tracked.request.at + tracked.request.patience - sentAt;
  if (forwardedTimeout && *forwardedTimeout > left + limits_.timeoutSlack)
    breach(Rule::TimeoutForwarded, sentAt, tracked.request.gateway,
           id + ": the timeout forwarded to the endpoint is " + std::to_string(*forwardedTimeout) +
               " us, the client's remaining time in us is " + std::to_string(left));
}

void Judge::gatewayKilled(const std::string& gateway, Micros at) {
  for (auto& [id, tracked] : tracked_) {
    if (tracked.request.gateway == gateway && tracked.request.at <= at && tracked.answers == 0)
      tracked.closed = tracked.exempt = true;
  }
}

void Judge::attemptReceived(const std::string& id, const std::string& endpoint, Micros receivedAt,
                            Micros position, std::optional<Micros> forwardedTimeout) {
  const auto found = tracked_.find(id);
  Micros sentAt = receivedAt;
  if (found != tracked_.end()) {
    const auto sent = found->second.sent.find(endpoint);
    if (sent != found->second.sent.end()) sentAt = sent->second;
  }
  const std::string gateway = found == tracked_.end() ? "" : found->second.request.gateway;
  checkNotified(gateway, id, endpoint, sentAt);
  checkSlowStart(gateway, endpoint, sentAt);
  if (found == tracked_.end()) return;
  TrackedRequest& tracked = found->second;
  checkAttempt(tracked, id, sentAt, forwardedTimeout);
  if (tracked.rejected && !tracked.request.rejectable && !tracked.mayHaveRun)
    breach(Rule::NoSecondEffect, sentAt, gateway,
           id + ": received by " + endpoint + " although it was rejected");
  tracked.mayHaveRun = true;
  tracked.lastPosition = std::max<Micros>(1, position);
  if (tracked.request.bound && position < sentAt - *tracked.request.bound)
    breach(Rule::NoStaleRead, sentAt, gateway,
           id + ": read at " + endpoint + ", beyond its staleness bound by " +
               std::to_string(sentAt - *tracked.request.bound - position) + " us");
}

void Judge::checkNotified(const std::string& gateway, const std::string& id, const std::string& endpoint,
                          Micros sentAt) {
  const auto notified = notifications_.notifiedNotReadySince(gateway, endpoint, sentAt);
  if (!notified || sentAt <= *notified + limits_.drainGrace) return;
  breach(Rule::DrainsRespected, sentAt, gateway,
         id + ": sent to " + endpoint + " " + std::to_string(sentAt - *notified) +
             " us after its gateway was notified that it drains or is removed");
}

// An endpoint in slow start may receive the requests that it can serve within the window, times the multiple,
// plus three standard deviations and three requests for chance.
void Judge::checkSlowStart(const std::string& gateway, const std::string& endpoint, Micros sentAt) {
  const auto found = slowStarts_.find(endpoint);
  if (found == slowStarts_.end()) return;
  std::vector<Micros>& sent = found->second.sent;
  sent.push_back(sentAt);
  std::erase_if(sent, [&](Micros when) { return when <= sentAt - limits_.overloadWindow; });
  const double capacity = found->second.requestsPerSecond * static_cast<double>(limits_.overloadWindow) /
                          static_cast<double>(kMicrosPerSecond);
  const double allowed = limits_.overloadMultiple * capacity;
  if (static_cast<double>(sent.size()) > allowed + 3 * std::sqrt(allowed) + 3)
    breach(Rule::SlowStartRespected, sentAt, gateway,
           endpoint + ": " + std::to_string(sent.size()) + " requests within the window in slow start");
}

void Judge::requestExecuted(const std::string& id, const std::string& endpoint, Micros at) {
  const auto found = tracked_.find(id);
  if (found == tracked_.end()) return;
  TrackedRequest& tracked = found->second;
  if (++tracked.effects > 1 && !tracked.request.repeatable)
    breach(Rule::NoSecondEffect, at, tracked.request.gateway, id + ": a second effect, at " + endpoint);
}

void Judge::endpointWarmingUp(const std::string& endpoint, Micros, double requestsPerSecond) {
  slowStarts_[endpoint].requestsPerSecond = requestsPerSecond;
}
void Judge::endpointWarm(const std::string& endpoint) { slowStarts_.erase(endpoint); }

const std::vector<Breach>& Judge::finish(Micros at) {
  for (auto& [id, tracked] : tracked_) {
    if (tracked.closed || tracked.answers > 0) continue;
    if (at <= tracked.request.at + tracked.request.patience + limits_.slack) continue;
    tracked.closed = true;
    breach(Rule::OneAnswer, at, tracked.request.gateway, id + ": never answered");
  }
  return breaches_;
}

std::size_t Judge::count(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }

std::string Judge::verdict() const {
  std::string out;
  for (std::size_t i = 0; i < kRules; ++i) {
    out += std::string(kNames[i]) + ": " +
           (counts_[i] == 0 ? "kept" : "BROKEN " + std::to_string(counts_[i]) + " times") + "\n";
  }
  return out;
}

}  // namespace heathflow::emulator
