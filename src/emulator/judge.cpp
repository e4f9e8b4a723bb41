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
  Known& known = known_[request.id];
  known = Known{};
  known.request = request;
}

void Judge::requestAnswered(const std::string& id, Micros at, RequestResult how) {
  ++answers_[static_cast<std::size_t>(how)];
  const auto found = known_.find(id);
  if (found == known_.end()) return breach(Rule::OneAnswer, at, "", id + ": an answer that nobody asked for");
  Known& known = found->second;
  const std::string& gateway = known.request.gateway;
  if (known.closed) return;
  if (how == RequestResult::Broken) {
    known.closed = true;
    return breach(Rule::OneAnswer, at, gateway, id + ": its connection ended without an answer");
  }
  if (++known.answers > 1) return breach(Rule::OneAnswer, at, gateway, id + ": a second answer");
  if (at > known.request.at + known.request.patience + limits_.slack)
    breach(Rule::OneAnswer, at, gateway, id + ": its answer came after its client's time");
  if (how == RequestResult::Rejected && known.mayHaveRun && !known.request.rejectable)
    breach(Rule::NoSecondEffect, at, gateway, id + ": refused though it may have run");
  known.rejected = how == RequestResult::Rejected;
  if (how == RequestResult::Served && known.request.bound && known.lastPosition == 0)
    breach(Rule::OneAnswer, at, gateway, id + ": served with what no member gave");
}

void Judge::clientDisconnected(const std::string& id, Micros at) {
  const auto found = known_.find(id);
  if (found == known_.end()) return;
  found->second.closed = true;
  found->second.disconnectedAt = at;
}

void Judge::gatewayEndedWithOpenRequests(const std::string& gateway, Micros at) {
  for (auto& [id, known] : known_) {
    if (known.request.gateway != gateway || known.closed || known.answers > 0) continue;
    known.closed = true;
    breach(Rule::OneAnswer, at, gateway, id + ": its driver was ended with the answer owing");
  }
}

void Judge::attemptSent(const std::string& id, const std::string& endpoint, Micros at) {
  const auto found = known_.find(id);
  if (found != known_.end()) found->second.sent[endpoint] = at;
}

void Judge::checkAttempt(const Known& known, const std::string& id, Micros sentAt,
                         std::optional<Micros> forwardedTimeout) {
  if (known.exempt) return;
  if (known.disconnectedAt && sentAt > *known.disconnectedAt + limits_.afterDisconnect)
    breach(
        Rule::NoAttemptAfterDisconnect, sentAt, known.request.gateway,
        id + ": begun " + std::to_string(sentAt - *known.disconnectedAt) + " us after its client had gone");
  const Micros left = known.request.at + known.request.patience - sentAt;
  if (forwardedTimeout && *forwardedTimeout > left + limits_.timeoutSlack)
    breach(Rule::TimeoutForwarded, sentAt, known.request.gateway,
           id + ": its member was told " + std::to_string(*forwardedTimeout) + " us, its client had " +
               std::to_string(left));
}

void Judge::gatewayKilled(const std::string& gateway, Micros at) {
  for (auto& [id, known] : known_) {
    if (known.request.gateway == gateway && known.request.at <= at && known.answers == 0)
      known.closed = known.exempt = true;
  }
}

void Judge::attemptReceived(const std::string& id, const std::string& endpoint, Micros receivedAt,
                            Micros position, std::optional<Micros> forwardedTimeout) {
  const auto found = known_.find(id);
  Micros sentAt = receivedAt;
  if (found != known_.end()) {
    const auto sent = found->second.sent.find(endpoint);
    if (sent != found->second.sent.end()) sentAt = sent->second;
  }
  const std::string gateway = found == known_.end() ? "" : found->second.request.gateway;
  checkNotified(gateway, id, endpoint, sentAt);
  checkSlowStart(gateway, endpoint, sentAt);
  if (found == known_.end()) return;
  Known& known = found->second;
  checkAttempt(known, id, sentAt, forwardedTimeout);
  if (known.rejected && !known.request.rejectable && !known.mayHaveRun)
    breach(Rule::NoSecondEffect, sentAt, gateway, id + ": reached " + endpoint + " though it was refused");
  known.mayHaveRun = true;
  known.lastPosition = std::max<Micros>(1, position);
  if (known.request.bound && position < sentAt - *known.request.bound)
    breach(Rule::NoStaleRead, sentAt, gateway,
           id + ": read at " + endpoint + " from data too old by " +
               std::to_string(sentAt - *known.request.bound - position) + " us");
}

void Judge::checkNotified(const std::string& gateway, const std::string& id, const std::string& endpoint,
                          Micros sentAt) {
  const auto notified = notifications_.notifiedNotReadySince(gateway, endpoint, sentAt);
  if (!notified || sentAt <= *notified + limits_.drainGrace) return;
  breach(Rule::DrainsRespected, sentAt, gateway,
         id + ": sent to " + endpoint + " " + std::to_string(sentAt - *notified) +
             " us after its driver was told that it drains or is gone");
}

// The budget of an endpoint in slow start: what it can serve within the window times the multiple, and three
// standard deviations of chance beyond that.
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
           endpoint + ": " + std::to_string(sent.size()) + " requests while it is cold");
}

void Judge::requestExecuted(const std::string& id, const std::string& endpoint, Micros at) {
  const auto found = known_.find(id);
  if (found == known_.end()) return;
  Known& known = found->second;
  if (++known.effects > 1 && !known.request.repeatable)
    breach(Rule::NoSecondEffect, at, known.request.gateway, id + ": a second effect, at " + endpoint);
}

void Judge::endpointWarmingUp(const std::string& endpoint, Micros, double requestsPerSecond) {
  slowStarts_[endpoint].requestsPerSecond = requestsPerSecond;
}
void Judge::endpointWarm(const std::string& endpoint) { slowStarts_.erase(endpoint); }

const std::vector<Breach>& Judge::finish(Micros at) {
  for (auto& [id, known] : known_) {
    if (known.closed || known.answers > 0) continue;
    if (at <= known.request.at + known.request.patience + limits_.slack) continue;
    known.closed = true;
    breach(Rule::OneAnswer, at, known.request.gateway, id + ": never answered");
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
