#include "subset/subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <random>
#include <utility>

namespace heathflow::subset {

std::vector<std::size_t> rendezvous(const std::string& group, const Names& gateways, std::size_t count) {
  const std::uint64_t seed = XXH3_64bits(group.data(), group.size());
  std::vector<std::pair<std::uint64_t, std::size_t>> scores(gateways.size());
  for (std::size_t i = 0; i < gateways.size(); ++i)
    scores[i] = {XXH3_64bits_withSeed(gateways[i].data(), gateways[i].size(), seed), i};
  const std::size_t taken = std::min(count, scores.size());
  // Of equal hashes, which are as good as never, the name decides, so that the order given does not.
  const auto higher = [&](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : gateways[a.second] < gateways[b.second];
  };
  std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(taken), scores.end(),
                    higher);
  std::vector<std::size_t> out(taken);
  for (std::size_t i = 0; i < taken; ++i) out[i] = scores[i].second;
  return out;
}

std::vector<std::size_t> dealt(std::size_t group, std::size_t gateways, std::size_t count) {
  const std::size_t taken = std::min(count, gateways);
  if (taken == 0) return {};
  const std::size_t hands = gateways / taken;
  std::vector<std::size_t> order(gateways);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::shuffle(order.begin(), order.end(), std::mt19937_64(group / hands));
  const auto first = order.begin() + static_cast<std::ptrdiff_t>(group % hands * taken);
  return {first, first + static_cast<std::ptrdiff_t>(taken)};
}

}  // namespace heathflow::subset
