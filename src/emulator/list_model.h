// A model of a list service, without I/O: it serves one call at a time, each at its cost, and rejects calls
// that would wait too long. All times are of one clock, whichever it is.
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
  Micros call = 0;                            // per served call
  Micros line = 0;                            // per entry in an answer
  Micros patience = 1'000'000;                // a call that would wait longer is rejected at once
  std::optional<unsigned> retryAfterSeconds;  // Retry-After of rejections
};

struct ListedEntry {
  std::string id;
  std::string hostPort;
  std::uint32_t cell = 0;
  std::string phase = "Ready";
  std::int64_t upSinceMs = 0;
  bool primary = false;
};

// Returns the entries as the JSON array that the list service writes.
std::string textOf(const std::vector<ListedEntry>& entries);

class ListModel {
 public:
  struct Answer {
    enum class Kind { Served, Rejected, Reset } kind = Kind::Served;
    Micros at = 0;  // when it is sent
    std::string body;
    std::optional<Micros> waitEnds;  // of a long poll: the end of its wait
  };

  explicit ListModel(ListCosts costs) : costs_(costs) {}

  // Sets the list and increments its revision. Callers that watch get a removed entry as Gone.
  void set(std::vector<ListedEntry> entries);
  // Sets an older revision, as of a service that has lost its newest state.
  void goBackTo(std::int64_t revision) { revision_ = revision; }
  // While the service is down, every call is reset.
  void setDown(bool down) { down_ = down; }
  // Resets this share of calls, drawn at random: resetting every n-th call could hit the same caller again
  // and again.
  void setResetShare(double share, std::uint64_t seed) {
    resetShare_ = share;
    random_.seed(seed);
  }
  // Rejects this share of calls and of answers to watches, as an overloaded service does.
  void setRejectShare(double share) { rejectShare_ = share; }
  // Limits complete lists to this many entries; nothing: no limit.
  void limitEntries(std::optional<std::size_t> entries) { entryLimit_ = entries; }

  // Handles a call.
  // @param since  the caller's revision; below 0: it wants the complete list.
  // @return       the answer; nothing if the call waits for a change, see answerWatch().
  std::optional<Answer> call(Micros now, std::int64_t since, bool mayWait);
  // Returns the answer to a call that has waited, after a change or at the end of its wait.
  Answer answerWatch(Micros now, std::int64_t since);
  bool newerThan(std::int64_t since) const { return since != revision_; }

  const std::vector<ListedEntry>& entries() const { return entries_; }
  std::int64_t revision() const { return revision_; }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t rejected() const { return rejected_; }
  std::uint64_t resets() const { return resets_; }
  std::uint64_t completeLists() const { return completeLists_; }
  const ListCosts& costs() const { return costs_; }
  // The arrival times of calls.
  const BurstCounter& arrivals() const { return arrivals_; }

 private:
  Answer serve(Micros now, std::int64_t since);
  bool draw(double share);
  Answer reject(Micros now);
  // Writes the body of the answer and returns how many entries it has.
  std::size_t write(std::int64_t since, Answer& answer) const;

  ListCosts costs_;
  std::vector<ListedEntry> entries_;
  std::map<std::string, std::pair<std::int64_t, ListedEntry>>
      changes_;  // by id: the revision of the last change, and the entry since then
  std::int64_t revision_ = 0;
  bool down_ = false;
  double resetShare_ = 0;
  double rejectShare_ = 0;
  std::mt19937_64 random_;
  std::optional<std::size_t> entryLimit_;
  Micros busyUntil_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t rejected_ = 0;
  std::uint64_t resets_ = 0;
  std::uint64_t completeLists_ = 0;
  BurstCounter arrivals_{100'000};
};

}  // namespace heathflow::emulator
