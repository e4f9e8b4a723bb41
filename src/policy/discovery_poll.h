// Schedules polls of the endpoint list until a watch is established, and again after the watch failed.
#pragma once

#include <cstdint>

#include "policy/policy_context.h"

namespace heathflow::policy {

class DiscoveryPoll {
 public:
  explicit DiscoveryPoll(PolicyContext& context) : context_(context) {}

  // Schedules the first poll, with a random delay so that gateways do not poll at the same time.
  void start();
  void observeTimer(std::uint64_t pollNumber);
  void observeList();
  // Schedules a poll with backoff, because the watch may have ended.
  void observeFailure();

 private:
  // Returns the configured maximum poll interval, but at least a second, so that no setting makes the gateway
  // poll without pause.
  Micros maxInterval() const;
  void schedule(Micros after);

  PolicyContext& context_;
  bool polled_ = false;
  bool watching_ = false;
  int failures_ = 0;  // in a row
  std::uint64_t pollNumber_ = 0;
};

}  // namespace heathflow::policy
