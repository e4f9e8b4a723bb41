#include "emulator/judge.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace heathflow::emulator {
namespace {

constexpr std::size_t kBreachesKept = 1000;
constexpr std::array<const char*, kRules> kNames = {"one answer",    "no second effect",
                                                    "drains kept",   "cold members spared",
                                                    "no stale read", "nothing for the afterDisconnect",
                                                    "time told",     "invariants kept"};
constexpr Micros kMicrosPerSecond = 1'000'000;

}  // namespace

const char* nameOf(Rule rule) { return kNames.at(static_cast<std::size_t>(rule)); }

void Judge::breach(Rule rule, Micros at, const std::string& who, const std::string& what) {
  ++counts_[static_cast<std::size_t>(rule)];
  if (breaches_.size() < kBreachesKept) breaches_.push_back({rule, at, who, what});
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
  const std::string& who = known.request.gateway;
  if (known.over) return;
  if (how == RequestResult::Broken) {
    known.over = true;
    return breach(Rule::OneAnswer, at, who, id + ": its connection ended without an answer");
  }
  if (++known.answers > 1) return breach(Rule::OneAnswer, at, who, id + ": a second answer");
  if (at > known.request.at + known.request.patience + limits_.slack)
    breach(Rule::OneAnswer, at, who, id + ": its answer came after its client's time");
  if (how == RequestResult::Rejected && known.mayHaveRun && !known.request.rejectable)
    breach(Rule::NoSecondEffect, at, who, id + ": refused though it may have run");
  known.rejected = how == RequestResult::Rejected;
  if (how == RequestResult::Served && known.request.bound && known.lastPosition == 0)
    breach(Rule::OneAnswer, at, who, id + ": served with what no member gave");
}

void Judge::clientDisconnected(const std::string& id, Micros at) {
  const auto found = known_.find(id);
  if (found == known_.end()) return;
  found->second.over = true;
  found->second.disconnectedAt = at;
}

void Judge::gatewayEndedWithOpenRequests(const std::string& gateway, Micros at) {
  for (auto& [id, known] : known_) {
    if (known.request.gateway != gateway || known.over || known.answers > 0) continue;
    known.over = true;
    breach(Rule::OneAnswer, at, gateway, id + ": its driver was ended with the answer owing");
  }
}

void Judge::attemptSent(const std::string& id, const std::string& endpoint, Micros at) {
  const auto found = known_.find(id);
  if (found != known_.end()) found->second.sent[endpoint] = at;
}

void Judge::checkSending(const Known& known, const std::string& id, Micros sentAt,
                         std::optional<Micros> told) {
  if (known.exempt) return;
  if (known.disconnectedAt && sentAt > *known.disconnectedAt + limits_.afterDisconnect)
    breach(
        Rule::NoAttemptAfterDisconnect, sentAt, known.request.gateway,
        id + ": begun " + std::to_string(sentAt - *known.disconnectedAt) + " us after its client had gone");
  const Micros left = known.request.at + known.request.patience - sentAt;
  if (told && *told > left + limits_.deadlineSlack)
    breach(Rule::DeadlineForwarded, sentAt, known.request.gateway,
           id + ": its member was told " + std::to_string(*told) + " us, its client had " +
               std::to_string(left));
}

void Judge::gatewayKilled(const std::string& gateway, Micros at) {
  for (auto& [id, known] : known_) {
    if (known.request.gateway == gateway && known.request.at <= at && known.answers == 0)
      known.over = known.exempt = true;
  }
}

void Judge::attemptReceived(const std::string& id, const std::string& endpoint, Micros arrived,
                            Micros position, std::optional<Micros> timeTold) {
  const auto found = known_.find(id);
  Micros at = arrived;
  if (found != known_.end()) {
    const auto sentAt = found->second.sent.find(endpoint);
    if (sentAt != found->second.sent.end()) at = sentAt->second;
  }
  const std::string who = found == known_.end() ? "" : found->second.request.gateway;
  const auto told = notifications_.notifiedNotReadySince(who, endpoint, at);
  if (told && at > *told + limits_.drainGrace)
    breach(Rule::DrainsRespected, at, who,
           id + ": sent to " + endpoint + " " + std::to_string(at - *told) +
               " us after its driver was told that it drains or is gone");
  if (const auto cold = cold_.find(endpoint); cold != cold_.end()) {
    std::vector<Micros>& sent = cold->second.sent;
    sent.push_back(at);
    std::erase_if(sent, [&](Micros when) { return when <= at - limits_.overloadWindow; });
    const double can = cold->second.perSecond * static_cast<double>(limits_.overloadWindow) /
                       static_cast<double>(kMicrosPerSecond);
    const double allowed = limits_.overloadMultiple * can;
    if (static_cast<double>(sent.size()) > allowed + 3 * std::sqrt(allowed) + 3)
      breach(Rule::SlowStartRespected, at, who,
             endpoint + ": " + std::to_string(sent.size()) + " requests while it is cold");
  }
  if (found == known_.end()) return;
  Known& known = found->second;
  checkSending(known, id, at, timeTold);
  if (known.rejected && !known.request.rejectable && !known.mayHaveRun)
    breach(Rule::NoSecondEffect, at, who, id + ": reached " + endpoint + " though it was refused");
  known.mayHaveRun = true;
  known.lastPosition = std::max<Micros>(1, position);
  if (known.request.bound && position < at - *known.request.bound)
    breach(Rule::NoStaleRead, at, who,
           id + ": read at " + endpoint + " from data too old by " +
               std::to_string(at - *known.request.bound - position) + " us");
}

void Judge::requestExecuted(const std::string& id, const std::string& endpoint, Micros at) {
  const auto found = known_.find(id);
  if (found == known_.end()) return;
  Known& known = found->second;
  if (++known.effects > 1 && !known.request.repeatable)
    breach(Rule::NoSecondEffect, at, known.request.gateway, id + ": a second effect, at " + endpoint);
}

void Judge::endpointWarmingUp(const std::string& endpoint, Micros, double requestsPerSecond) {
  cold_[endpoint].perSecond = requestsPerSecond;
}
void Judge::endpointWarm(const std::string& endpoint) { cold_.erase(endpoint); }

const std::vector<Breach>& Judge::finish(Micros at) {
  for (auto& [id, known] : known_) {
    if (known.over || known.answers > 0) continue;
    if (at <= known.request.at + known.request.patience + limits_.slack) continue;
    known.over = true;
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
