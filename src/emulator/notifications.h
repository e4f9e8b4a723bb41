// When a change of the list counts as told to a gateway, by the operators' pages: the one model by which the
// judge holds gateways to drains, removals and returns. It shares no constant and no code with the gateway.
// No I/O; times are of one clock, that of the emulator.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "transport/clock.h"

namespace heathflow::emulator {

using transport::Micros;

// The pages' spans. A test of the model may shorten them; the judge never does.
struct NotificationTerms {
  // STANDING: whatever else is allowed after a failed, rejected or given-up call, a change counts so long
  // after discovery had it and could be reached; a silent watch so long after it fell silent.
  Micros atTheLatest = 6'000'000;
  // STANDING: of a long poll that fell silent, so long after its wait is over, if that is later.
  Micros afterWait = 2'000'000;
  // STANDING: what a new place has counts so long after the SIGHUP that named it.
  Micros afterMove = 4'000'000;
  // Lists are pushed: what the agent has counts at once, from a process's first moment.
  bool pushed = false;
};

enum class ListedState { Ready, Draining, Gone };

class Notifications {
 public:
  explicit Notifications(NotificationTerms terms = {}) : terms_(terms) {}

  // ---- The service ----
  // It has a new state of an endpoint. An endpoint that was never named is ready.
  void changed(const std::string& endpoint, ListedState state, Micros at);
  // Nobody can reach it, from now on or no more.
  void serviceDown(Micros at);
  void serviceUp(Micros at);

  // ---- A gateway ----
  // A new process: it was told nothing in this life. What changed before counts from its first call that
  // fails, or from the latest time that the terms give.
  void started(const std::string& gateway, Micros at);
  // The service has written an answer to it, which tells all changes up to then.
  void written(const std::string& gateway, Micros at);
  // The same, into a path that has been cut since a time: a watch that fell silent then. What the path held
  // may arrive once it is whole again, and tells of returns from then on: a gateway that knows of one is not
  // held to the removal before it. 'waitEnds': of a long poll, when its wait would have been over.
  struct Silence {
    Micros since = 0;
    Micros until = 0;
    std::optional<Micros> waitEnds;
  };
  void answerWrittenIntoCutPath(const std::string& gateway, Micros at, const Silence& silence);
  // A call of it failed, was rejected, or was given up.
  void callFailed(const std::string& gateway, Micros at);
  // It was told by a signal that the service is elsewhere.
  void moved(const std::string& gateway, Micros at);

  // Since when it has been told, as of a time, that an endpoint drains or is gone; nothing where its newest
  // word is that the endpoint is ready.
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
  // What tells all changes up to 'upTo' counts at 'at', of returns at 'ofReturnsAt'.
  struct Word {
    Micros upTo = 0;
    Micros at = 0;
    Micros ofReturnsAt = 0;
    bool silent = false;  // it was written into silence
  };
  struct Life {
    Micros startedAt = 0;
    std::optional<Micros> firstFailure;
    std::vector<Word> words;
  };
  Micros reachableFrom(Micros at) const;
  Micros countsAt(const Life& life, const Change& change) const;

  NotificationTerms terms_;
  std::map<std::string, std::vector<Change>> changes_;  // by endpoint, in the order of their times
  std::vector<Span> outages_;
  std::map<std::string, Life> lives_;  // by gateway, the newest
};

}  // namespace heathflow::emulator
