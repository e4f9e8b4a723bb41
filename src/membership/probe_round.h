// The order in which gateways are probed: each once in a round, in a random order drawn for each round.
#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace heathflow::membership {

class ProbeRound {
 public:
  // A gateway that has just joined gets a random position in the current round.
  // @param position from 0 to 1.
  void insert(const std::string& name, double position);
  // A gateway that has returned is probed next.
  void insertNext(const std::string& name) { names_.push_back(name); }
  // The next gateway to probe; nothing where there is none.
  // @param mayProbe whether a gateway can still be probed.
  // @param candidates the gateways of a new round.
  std::optional<std::string> next(const std::function<bool(const std::string&)>& mayProbe,
                                  const std::function<std::vector<std::string>()>& candidates,
                                  std::mt19937_64& random);

 private:
  std::optional<std::string> nextOfThisRound(const std::function<bool(const std::string&)>& mayProbe);

  std::vector<std::string> names_;  // the next one is the last
};

}  // namespace heathflow::membership
