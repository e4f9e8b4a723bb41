// The order in which gateways are probed: each one once per round, in an order shuffled for each round.
#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace heathflow::membership {

class ProbeRound {
 public:
  // Inserts a gateway that has just joined into the current round.
  // @param position the relative position in the round, from 0 to 1; a random one.
  void insert(const std::string& name, double position);
  // Inserts a gateway that has returned, so that it is probed next.
  void insertNext(const std::string& name) { names_.push_back(name); }
  // Returns the next gateway to probe; std::nullopt if there is none.
  // @param mayProbe returns whether a gateway can still be probed.
  // @param candidates returns the gateways for a new round.
  std::optional<std::string> next(const std::function<bool(const std::string&)>& mayProbe,
                                  const std::function<std::vector<std::string>()>& candidates,
                                  std::mt19937_64& random);

 private:
  std::optional<std::string> nextOfThisRound(const std::function<bool(const std::string&)>& mayProbe);

  std::vector<std::string> names_;  // the next one is the last
};

}  // namespace heathflow::membership
