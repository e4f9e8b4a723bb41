// From when on a change of the endpoint list counts as known to a gateway, by the operators' terms. The judge
// holds gateways to drains and removals by this model alone, which shares no constant and no code with the
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

// The times of the operators' terms.
struct NotificationTerms {
  // Whatever becomes of calls, a change counts so long after the list service had it and could be reached;
  // over a watch whose path was cut, so long after the cut.
  Micros latestAfterChange = 6'000'000;
  // Over a long poll whose path was cut, so long after the end of its wait, if that is later.
  Micros afterLongPoll = 2'000'000;
  // What the list service has at a new address counts so long after the SIGHUP that named the address.
  Micros afterMove = 4'000'000;
  // Lists are pushed: a change counts at once, from the start of a process on.
  bool pushed = false;
};

enum class ListedState { Ready, Draining, Gone };

class Notifications {
 public:
  explicit Notifications(NotificationTerms terms = {}) : terms_(terms) {}

  // ---- The list service ----
  // It has a new state of an endpoint. Endpoints are ready at first.
  void endpointChanged(const std::string& endpoint, ListedState state, Micros at);
  void serviceDown(Micros at);
  void serviceUp(Micros at);

  // ---- A gateway ----
  // A new incarnation, which has had no answer yet. Earlier changes count from its first call that fails, or
  // from the latest time that the terms give.
  void gatewayStarted(const std::string& gateway, Micros at);
  // The list service has written an answer to it, which has all changes up to then.
  void answerWritten(const std::string& gateway, Micros at);
  // The same, over a path that is cut. The answer may arrive once the path is restored, and its returns of
  // endpoints count from then on: a gateway that knows of a return is not held to the removal before it.
  struct CutPath {
    Micros since = 0;
    Micros until = 0;
    std::optional<Micros> waitEnds;  // of a long poll: the end of its wait
  };
  void answerWrittenIntoCutPath(const std::string& gateway, Micros at, const CutPath& cutPath);
  // A call of it failed, was rejected, or was given up.
  void callFailed(const std::string& gateway, Micros at);
  // It got a signal that the list service has a new address.
  void serviceMoved(const std::string& gateway, Micros at);

  // @return  since when the gateway counts as notified, at a time, that an endpoint drains or is removed;
  //          nothing where the newest state that it counts as notified of is ready.
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
  // Changes up to 'upTo' count from 'at' on, returns of endpoints from 'returnsFrom' on.
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
  std::map<std::string, std::vector<Change>> changes_;  // by endpoint, in the order of their times
  std::vector<Span> outages_;
  std::map<std::string, Incarnation> incarnations_;  // by gateway, the newest
};

}  // namespace heathflow::emulator
