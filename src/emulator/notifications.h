// The time from which a change of the endpoint list counts as known to a gateway, by the operators' terms.
// The judge checks drains and removals by this model alone, which shares no constants and no code with the
// gateway. No I/O; all times are of the emulator's clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "transport/clock.h"

namespace heathflow::emulator {

using transport::Micros;

// The operators' terms.
struct NotificationTerms {
  // A change counts this long after the list service had it and could be reached, whether or not calls
  // succeed; over a watch whose path was cut, this long after the cut.
  Micros latestAfterChange = 6'000'000;
  // Over a long poll whose path was cut, a change counts this long after the end of its wait, if that is
  // later.
  Micros afterLongPoll = 2'000'000;
  // The state of the list service at a new address counts this long after the SIGHUP that announced the
  // address.
  Micros afterMove = 4'000'000;
  // Lists are pushed: a change counts at once, or from the start of a process that starts later.
  bool pushed = false;
};

enum class ListedState { Ready, Draining, Gone };

class Notifications {
 public:
  explicit Notifications(NotificationTerms terms = {}) : terms_(terms) {}

  // ---- The list service ----
  // The list has a new state of an endpoint. Endpoints are ready at first.
  void endpointChanged(const std::string& endpoint, ListedState state, Micros at);
  void serviceDown(Micros at);
  void serviceUp(Micros at);

  // ---- A gateway ----
  // A new incarnation starts without an answer. Earlier changes count from its first failed call on, or from
  // the latest time by the terms.
  void gatewayStarted(const std::string& gateway, Micros at);
  // The list service has written an answer to the gateway; it contains all changes so far.
  void answerWritten(const std::string& gateway, Micros at);
  // The list service has written an answer into a path that is cut. The answer may arrive once the path is
  // restored, so returns of endpoints in it count from then on: a gateway that knows of a return does not
  // have to respect the removal before it.
  struct CutPath {
    Micros since = 0;
    Micros until = 0;
    std::optional<Micros> waitEnds;  // of a long poll: the end of its wait
  };
  void answerWrittenIntoCutPath(const std::string& gateway, Micros at, const CutPath& cutPath);
  // A call of the gateway failed, was rejected, or was given up.
  void callFailed(const std::string& gateway, Micros at);
  // The gateway got a signal that the list service has a new address.
  void serviceMoved(const std::string& gateway, Micros at);

  // Returns since when, as of 'at', the gateway counts as notified that an endpoint drains or is removed;
  // nothing if the newest state that it counts as notified of is ready.
  std::optional<Micros> notifiedNotReadySince(const std::string& gateway, const std::string& endpoint,
                                              Micros at) const;

 private:
  struct Change {
    Micros at = 0;
    ListedState state = ListedState::Ready;
  };
  struct Span {
    Micros from = 0;
    std::optional<Micros> until;
  };
  // Changes up to 'upTo' count from 'at' on, but returns of endpoints from 'returnsFrom' on.
  struct Notice {
    Micros upTo = 0;
    Micros at = 0;
    Micros returnsFrom = 0;
    bool intoCutPath = false;
  };
  struct Incarnation {
    Micros startedAt = 0;
    std::optional<Micros> firstFailure;
    std::vector<Notice> notices;
  };
  Micros reachableFrom(Micros at) const;
  Micros countsFrom(const Incarnation& incarnation, const Change& change) const;

  NotificationTerms terms_;
  std::map<std::string, std::vector<Change>> changes_;  // by endpoint, in order of time
  std::vector<Span> outages_;
  std::map<std::string, Incarnation> incarnations_;  // the newest of each gateway
};

}  // namespace heathflow::emulator
