#include "subset/subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <random>
#include <utility>

namespace heathflow::subset {

std::vector<std::size_t> rendezvousSubset(const std::string& group, const Names& gateways,
                                          std::size_t count) {
  const std::uint64_t seed = XXH3_64bits(group.data(), group.size());
  std::vector<std::pair<std::uint64_t, std::size_t>> scores(gateways.size());
  for (std::size_t i = 0; i < gateways.size(); ++i)
    scores[i] = {XXH3_64bits_withSeed(gateways[i].data(), gateways[i].size(), seed), i};
  const std::size_t size = std::min(count, scores.size());
  // Equal hashes are ordered by name, so that the order of the input has no effect.
  const auto higher = [&](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : gateways[a.second] < gateways[b.second];
  };
  std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(size), scores.end(), higher);
  std::vector<std::size_t> out(size);
  for (std::size_t i = 0; i < size; ++i) out[i] = scores[i].second;
  return out;
}

std::vector<std::size_t> deterministicSubset(std::size_t group, std::size_t gateways, std::size_t count) {
  const std::size_t size = std::min(count, gateways);
  if (size == 0) return {};
  const std::size_t groupsPerRound = gateways / size;
  std::vector<std::size_t> order(gateways);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::shuffle(order.begin(), order.end(), std::mt19937_64(group / groupsPerRound));
  const auto first = order.begin() + static_cast<std::ptrdiff_t>(group % groupsPerRound * size);
  return {first, first + static_cast<std::ptrdiff_t>(size)};
}

}  // namespace heathflow::subset
