// A model of a list service, without I/O: it serves one call at a time, each at its cost, and rejects calls
// that would wait too long. Times are of any one clock.
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
  Micros patience = 1'000'000;                // a call that would wait longer is rejected at once
  std::optional<unsigned> retryAfterSeconds;  // of rejections
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
    std::optional<Micros> waitEnds;  // of a long poll: the end of its wait
  };

  explicit ListModel(ListCosts costs) : costs_(costs) {}

  // Sets the list; its revision grows by one. Watches get a removed entry as Gone.
  void set(std::vector<ListedEntry> entries);
  // The service comes back with an older state of itself.
  void goBackTo(std::int64_t revision) { revision_ = revision; }
  // While it is down every call is reset.
  void setDown(bool down) { down_ = down; }
  // This share of calls is reset. Drawn by a seed, for with every n-th call the resets would hit the same
  // caller again and again.
  void setResetShare(double share, std::uint64_t seed) {
    resetShare_ = share;
    random_.seed(seed);
  }
  // It is overloaded: this share of calls, and of answers to watches, is rejected.
  void setRejectShare(double share) { rejectShare_ = share; }
  // Complete lists have only so many entries; nothing: all.
  void limitEntries(std::optional<std::size_t> entries) { entryLimit_ = entries; }

  // A call has come in.
  // @param since  the revision that the caller has; below 0: it wants the complete list.
  // @return       the answer, or nothing where the call waits for a change, see answerWatch().
  std::optional<Answer> call(Micros now, std::int64_t since, bool mayWait);
  // The answer to a call that waited, after a change or at the end of its wait.
  Answer answerWatch(Micros now, std::int64_t since);
  bool newerThan(std::int64_t since) const { return since != revision_; }

  const std::vector<ListedEntry>& entries() const { return entries_; }
  std::int64_t revision() const { return revision_; }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t turnedAway() const { return turnedAway_; }
  std::uint64_t resets() const { return resets_; }
  std::uint64_t completeLists() const { return completeLists_; }
  const ListCosts& costs() const { return costs_; }
  // When calls came in.
  const BurstCounter& arrivals() const { return arrivals_; }

 private:
  Answer serve(Micros now, std::int64_t since);
  bool draw(double share);
  Answer reject(Micros now);
  // Fills in the body and returns how many lines it has.
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
  std::optional<std::size_t> entryLimit_;
  Micros busyUntil_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t turnedAway_ = 0;
  std::uint64_t resets_ = 0;
  std::uint64_t completeLists_ = 0;
  BurstCounter arrivals_{100'000};
};

}  // namespace heathflow::emulator
