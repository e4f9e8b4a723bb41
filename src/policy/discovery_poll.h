// When the endpoint list is polled: until a watch stands, and again after it failed.
#pragma once

#include <cstdint>

#include "policy/policy_context.h"

namespace heathflow::policy {

class DiscoveryPoll {
 public:
  explicit DiscoveryPoll(PolicyContext& context) : context_(context) {}

  // First polls are spread at random.
  void start();
  void observeTimer(std::uint64_t pollNumber);
  void observeList();
  // The watch may have broken.
  void observeFailure();

 private:
  // At least a second, so that no settings make the gateway poll without pause.
  Micros maxInterval() const;
  void schedule(Micros after);

  PolicyContext& context_;
  bool polled_ = false;
  bool watching_ = false;
  int failures_ = 0;  // in a row
  std::uint64_t pollNumber_ = 0;
};

}  // namespace heathflow::policy
