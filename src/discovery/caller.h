// When a gateway calls the list service: the first time, and again after a failure; and how long a watch
// waits. Hundreds that start at once spread themselves by their names over the time that the service needs
// for all of them, within what the term on changes leaves (list_lease.h). Decisions only, under any one
// clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "common/uniform.h"
#include "discovery/list_lease.h"
#include "stats/call_failure.h"

namespace heathflow::discovery {

// A call without an answer for so long counts as silent: two such calls in a row and the waits after them
// leave the service time for a third within the term.
inline constexpr Micros kAnswerWithin = kToldWithin / 4;
// The answer of a call that may wait is due so long after the end of that wait.
inline constexpr Micros kAnswerAfterWait = 700'000;

using stats::CallFailure;
using stats::kCallFailures;
using stats::nameOf;

struct CallerSettings {
  std::string name;            // of this gateway; others have others
  unsigned gateways = 1;       // how many share the service
  bool ownService = false;     // it is this gateway's alone: calls cost nobody else anything
  Micros maxPollInterval = 0;  // how long a gateway may go without asking
  std::optional<Micros> cost;  // what one call takes the service, as far as it was learned in earlier lives
  Micros rest = 0;             // none before so much of this life has passed
  std::uint64_t seed = 0;
};

class Caller {
 public:
  Caller(const CallerSettings& settings, Micros now);

  bool ownService() const { return settings_.ownService; }
  // When the first call may go out.
  Micros first() const { return first_; }
  // A call brought no list: when the next one may go out. 'retryAfter': what the service asked for.
  Micros failed(Micros now, CallFailure how, std::optional<Micros> retryAfter = {});
  // The service is elsewhere from now on, which all gateways learn at once: when to call there.
  Micros moved(Micros now);
  // A call that had nothing to wait for brought a list after so long.
  void answered(Micros elapsed);
  // One that waited for news did; it tells nothing of the cost.
  void told();

  // How long one watch waits for news: as long as the service can bear that all gateways renew theirs so
  // often.
  Micros watchFor() const;

  // What a call takes the service at the most, as far as it is known: for the next life.
  std::optional<Micros> cost() const;

 private:
  double neededBy(double cost) const;
  Micros term() const;
  Micros windowOf(double cost) const;
  Micros slot() const;
  double random() { return uniformUnit(random_()); }

  CallerSettings settings_;
  std::mt19937_64 random_;
  Micros first_ = 0;
  double supposed_ = 0;            // the cost of a call as it is reckoned with
  std::optional<Micros> fastest_;  // of this life's calls
  int failures_ = 0;               // in a row
  int rejections_ = 0;             // among them
};

// A name's even place among all names, from 0 to 1 (xxHash).
double placeOf(const std::string& name);

}  // namespace heathflow::discovery
