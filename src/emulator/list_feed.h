// An emulated list service for large lists and many callers. It speaks the protocol of ListService but models
// no costs. Callers with the same revision share one response, and all traffic is counted.
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
  // The revision at the start.
  static constexpr std::int64_t kFirstRevision = 100;

  // Totals over all connections.
  struct Traffic {
    std::uint64_t calls = 0;
    std::uint64_t bytesIn = 0;   // of calls
    std::uint64_t bytesOut = 0;  // of responses, with their headers
    std::uint64_t completeLists = 0;
    std::uint64_t deltas = 0;  // responses with changes only
  };

  ListFeed(transport::EventLoop& loop, std::vector<ListedEntry> entries);

  // Marks an endpoint as draining, or as ready again if it drains, and answers the waiting watches.
  void change(std::size_t endpoint);
  // Returns how many waiting watches have this revision or a newer one. A gateway calls again only once it
  // uses a list, so this is the number of gateways that use it.
  std::size_t watching(std::int64_t since) const;
  // Returns the mean wait that the waiting watches asked for; 0 if there are none.
  Micros meanWait() const;
  std::int64_t revision() const { return revision_; }
  std::size_t size() const { return entries_.size(); }
  const Traffic& traffic() const { return traffic_; }
  // The arrival times of calls since the service last came up.
  const BurstCounter& arrivals() const { return arrivals_; }

  // While the service is down, its connections break and new ones are reset; change() still works.
  void goDown();
  void comeUp();

  // The request lines of all calls in order, if 'keepsCalls' is set.
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
  void onCall(test::Line& line, const std::string& call);
  void keepWaiting(test::Line& line, std::int64_t since, Micros wait);
  void answer(test::Line& line, std::int64_t since);
  bool needsCompleteList(std::int64_t since) const { return since < kFirstRevision || since > revision_; }
  Text responseTo(std::int64_t since);
  Text makeResponse(bool complete, const std::vector<std::size_t>& endpoints) const;

  std::vector<ListedEntry> entries_;
  std::vector<std::size_t> changed_;  // the endpoint that changed at each revision after the first
  std::int64_t revision_ = kFirstRevision;
  std::map<std::int64_t, Text> responses_;  // for the current revision, by the caller's revision
  std::unordered_map<test::Line*, Waiting> waiting_;
  Traffic traffic_;
  BurstCounter arrivals_;
};

}  // namespace heathflow::emulator
