// The emulated list service for large lists and many callers: the protocol of ListService without its costs.
// An answer is made once for all callers that hold the same revision, and everything is counted.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/burst_counter.h"
#include "emulator/list_model.h"
#include "standins/standins.h"
#include "transport/event_loop.h"

namespace heathflow::emulator {

class ListFeed final : public test::Listening {
 public:
  // The revision that it has at first.
  static constexpr std::int64_t kFirstRevision = 100;

  // What has crossed its connections so far.
  struct Traffic {
    std::uint64_t calls = 0;
    std::uint64_t bytesIn = 0;   // of the calls
    std::uint64_t bytesOut = 0;  // of the answers, with their heads
    std::uint64_t completeLists = 0;
    std::uint64_t deltas = 0;  // answers with something new that are no whole list
  };

  ListFeed(transport::EventLoop& loop, std::vector<ListedEntry> entries);

  // One endpoint begins to drain or, where it does, is ready again. Watches that wait are told.
  void change(std::size_t endpoint);
  // Watches that wait and hold this revision or a newer one. A gateway calls again once it has taken a list
  // in, so that these are the gateways at which it is in force.
  std::size_t watching(std::int64_t since) const;
  // For how long the watches that wait now asked to, in the mean; 0 without one.
  Micros meanWait() const;
  std::int64_t revision() const { return revision_; }
  std::size_t size() const { return entries_.size(); }
  const Traffic& traffic() const { return traffic_; }
  // When calls came in since it was last up.
  const BurstCounter& arrivals() const { return arrivals_; }

  // Down: connections break and new ones are rejected, until it is up again. Changes go on.
  void goDown();
  void comeUp();

  // The paths of all calls by their order, where they are kept.
  bool keepsCalls = false;
  std::vector<std::string> calls;

 private:
  struct Waiting {
    std::int64_t since = 0;
    Micros wait = 0;
    std::unique_ptr<transport::Timer> limit;
  };
  using Text = std::shared_ptr<const std::string>;

  void onLineInput(test::Line& line) override;
  void called(test::Line& line, const std::string& call);
  void hold(test::Line& line, std::int64_t since, Micros wait);
  void answer(test::Line& line, std::int64_t since);
  bool wantsAll(std::int64_t since) const { return since < kFirstRevision || since > revision_; }
  Text responseTo(std::int64_t since);
  Text makeResponse(bool whole, const std::vector<std::size_t>& endpoints) const;

  std::vector<ListedEntry> entries_;
  std::vector<std::size_t> changed_;  // the endpoint that each revision after the first has changed
  std::int64_t revision_ = kFirstRevision;
  std::map<std::int64_t, Text> made_;  // of this revision, by the caller's; of whole lists below the first
  std::unordered_map<test::Line*, Waiting> waiting_;
  Traffic traffic_;
  BurstCounter arrivals_;
};

}  // namespace heathflow::emulator
