#include "emulator/judge.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace heathflow::emulator {
namespace {

constexpr std::size_t kBreachesKept = 1000;
constexpr std::array<const char*, kRules> kNames = {
    "one answer",    "no second effect",         "drains kept", "cold members spared",
    "no stale read", "nothing for the departed", "time told",   "invariants kept"};
constexpr Micros kMicrosPerSecond = 1'000'000;

}  // namespace

const char* nameOf(Rule rule) { return kNames.at(static_cast<std::size_t>(rule)); }

void Judge::breach(Rule rule, Micros at, const std::string& who, const std::string& what) {
  ++counts_[static_cast<std::size_t>(rule)];
  if (breaches_.size() < kBreachesKept) breaches_.push_back({rule, at, who, what});
}

void Judge::asked(const Asked& request) {
  ++requests_;
  Known& known = known_[request.id];
  known = Known{};
  known.asked = request;
}

void Judge::answered(const std::string& id, Micros at, Answered how) {
  ++answers_[static_cast<std::size_t>(how)];
  const auto found = known_.find(id);
  if (found == known_.end()) return breach(Rule::OneAnswer, at, "", id + ": an answer that nobody asked for");
  Known& known = found->second;
  const std::string& who = known.asked.gateway;
  if (known.over) return;
  if (how == Answered::Broken) {
    known.over = true;
    return breach(Rule::OneAnswer, at, who, id + ": its connection ended without an answer");
  }
  if (++known.answers > 1) return breach(Rule::OneAnswer, at, who, id + ": a second answer");
  if (at > known.asked.at + known.asked.patience + limits_.slack)
    breach(Rule::OneAnswer, at, who, id + ": its answer came after its client's time");
  if (how == Answered::Rejected && known.mayHaveRun && !known.asked.rejectable)
    breach(Rule::NoSecondEffect, at, who, id + ": refused though it may have run");
  known.rejected = how == Answered::Rejected;
  if (how == Answered::Served && known.asked.bound && known.lastPosition == 0)
    breach(Rule::OneAnswer, at, who, id + ": served with what no member gave");
}

void Judge::left(const std::string& id, Micros at) {
  const auto found = known_.find(id);
  if (found == known_.end()) return;
  found->second.over = true;
  found->second.leftAt = at;
}

void Judge::endedOwing(const std::string& gateway, Micros at) {
  for (auto& [id, known] : known_) {
    if (known.asked.gateway != gateway || known.over || known.answers > 0) continue;
    known.over = true;
    breach(Rule::OneAnswer, at, gateway, id + ": its driver was ended with the answer owing");
  }
}

void Judge::sent(const std::string& id, const std::string& endpoint, Micros at) {
  const auto found = known_.find(id);
  if (found != known_.end()) found->second.sent[endpoint] = at;
}

void Judge::checkSending(const Known& known, const std::string& id, Micros sentAt,
                         std::optional<Micros> told) {
  if (known.exempt) return;
  if (known.leftAt && sentAt > *known.leftAt + limits_.departed)
    breach(Rule::NothingForDeparted, sentAt, known.asked.gateway,
           id + ": begun " + std::to_string(sentAt - *known.leftAt) + " us after its client had gone");
  const Micros left = known.asked.at + known.asked.patience - sentAt;
  if (told && *told > left + limits_.told)
    breach(Rule::TimeTold, sentAt, known.asked.gateway,
           id + ": its member was told " + std::to_string(*told) + " us, its client had " +
               std::to_string(left));
}

void Judge::killed(const std::string& gateway, Micros at) {
  for (auto& [id, known] : known_) {
    if (known.asked.gateway == gateway && known.asked.at <= at && known.answers == 0)
      known.over = known.exempt = true;
  }
}

void Judge::reached(const std::string& id, const std::string& endpoint, Micros arrived, Micros position,
                    std::optional<Micros> timeTold) {
  const auto found = known_.find(id);
  Micros at = arrived;
  if (found != known_.end()) {
    const auto sentAt = found->second.sent.find(endpoint);
    if (sentAt != found->second.sent.end()) at = sentAt->second;
  }
  const std::string who = found == known_.end() ? "" : found->second.asked.gateway;
  const auto told = notifications_.toldNotReady(who, endpoint, at);
  if (told && at > *told + limits_.drainGrace)
    breach(Rule::DrainsKept, at, who,
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
      breach(Rule::ColdSpared, at, who,
             endpoint + ": " + std::to_string(sent.size()) + " requests while it is cold");
  }
  if (found == known_.end()) return;
  Known& known = found->second;
  checkSending(known, id, at, timeTold);
  if (known.rejected && !known.asked.rejectable && !known.mayHaveRun)
    breach(Rule::NoSecondEffect, at, who, id + ": reached " + endpoint + " though it was refused");
  known.mayHaveRun = true;
  known.lastPosition = std::max<Micros>(1, position);
  if (known.asked.bound && position < at - *known.asked.bound)
    breach(Rule::NoStaleRead, at, who,
           id + ": read at " + endpoint + " from data too old by " +
               std::to_string(at - *known.asked.bound - position) + " us");
}

void Judge::ran(const std::string& id, const std::string& endpoint, Micros at) {
  const auto found = known_.find(id);
  if (found == known_.end()) return;
  Known& known = found->second;
  if (++known.effects > 1 && !known.asked.repeatable)
    breach(Rule::NoSecondEffect, at, known.asked.gateway, id + ": a second effect, at " + endpoint);
}

void Judge::coldCapacity(const std::string& endpoint, Micros, double requestsPerSecond) {
  cold_[endpoint].perSecond = requestsPerSecond;
}
void Judge::warm(const std::string& endpoint) { cold_.erase(endpoint); }

const std::vector<Breach>& Judge::finish(Micros at) {
  for (auto& [id, known] : known_) {
    if (known.over || known.answers > 0) continue;
    if (at <= known.asked.at + known.asked.patience + limits_.slack) continue;
    known.over = true;
    breach(Rule::OneAnswer, at, known.asked.gateway, id + ": never answered");
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
