// An emulated list service, without I/O: one call at a time, each with its cost, and what it does with
// callers that would wait too long. Times are of any one clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "emulator/burst_counter.h"
#include "transport/clock.h"

namespace heathflow::emulator {

using transport::Micros;

struct ListCosts {
  Micros call = 0;                            // of every call that is answered
  Micros line = 0;                            // of every line of an answer
  Micros patience = 1'000'000;                // a call that would wait longer is turned away at once
  std::optional<unsigned> retryAfterSeconds;  // said to those turned away
};

struct ListedEntry {
  std::string id;
  std::string hostPort;
  std::uint32_t cell = 0;
  std::string phase = "Ready";
  std::int64_t upSinceMs = 0;
  bool primary = false;
};

// Entries as the list service writes them, a JSON array.
std::string textOf(const std::vector<ListedEntry>& entries);

class ListModel {
 public:
  struct Answer {
    enum class Kind { Served, TurnedAway, Reset } kind = Kind::Served;
    Micros at = 0;  // when it goes out
    std::string body;
    std::optional<Micros> waitEnds;  // of one that waited: when that would have been over
  };

  explicit ListModel(ListCosts costs) : costs_(costs) {}

  // What the service holds from now on; its revision grows by one. An entry that was there before and is not
  // any more is told as Gone to those who watch.
  void set(std::vector<ListedEntry> entries);
  // The service comes back with an older state of itself.
  void goBackTo(std::int64_t revision) { revision_ = revision; }
  // While it is down every call breaks, and nobody's watch stands.
  void setDown(bool down) { down_ = down; }
  // This share of calls is reset, drawn by a seed: by their count alone, callers that come again until they
  // are served would leave each reset to the same one.
  void setResetShare(double share, std::uint64_t seed) {
    resetShare_ = share;
    random_.seed(seed);
  }
  // It has too many callers: this share of calls, and of watches that would be told news, is turned away.
  void setRejectShare(double share) { rejectShare_ = share; }
  // So many entries only are told, as if that were the whole list; nothing: all.
  void limitEntries(std::optional<std::size_t> entries) { partial_ = entries; }

  // A call that has come in at a time: its answer, and when it goes out. 'since': the revision that the
  // caller holds; below 0: it asks for the whole list. Nothing: it waits for news, see news().
  std::optional<Answer> call(Micros now, std::int64_t since, bool mayWait);
  // The answer to one that waited, at a time when there is something new or its time is up.
  Answer news(Micros now, std::int64_t since);
  bool newerThan(std::int64_t since) const { return since != revision_; }

  const std::vector<ListedEntry>& entries() const { return entries_; }
  std::int64_t revision() const { return revision_; }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t turnedAway() const { return turnedAway_; }
  std::uint64_t resets() const { return resets_; }
  std::uint64_t completeLists() const { return completeLists_; }
  const ListCosts& costs() const { return costs_; }
  // When they came in.
  const BurstCounter& arrivals() const { return arrivals_; }

 private:
  Answer serve(Micros now, std::int64_t since);
  bool drawn(double share);
  Answer turnedAway(Micros now);
  // Fills in the body; how many lines it has.
  std::size_t write(std::int64_t since, Answer& answer) const;

  ListCosts costs_;
  std::vector<ListedEntry> entries_;
  std::map<std::string, std::pair<std::int64_t, ListedEntry>>
      changes_;  // by id: when it last changed, and to what
  std::int64_t revision_ = 0;
  bool down_ = false;
  double resetShare_ = 0;
  double rejectShare_ = 0;
  std::mt19937_64 random_;
  std::optional<std::size_t> partial_;
  Micros busyUntil_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t turnedAway_ = 0;
  std::uint64_t resets_ = 0;
  std::uint64_t completeLists_ = 0;
  BurstCounter arrivals_{100'000};
};

}  // namespace heathflow::emulator
