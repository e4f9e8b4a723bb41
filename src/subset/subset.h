// Selects the gateways that serve a group of endpoints, so that not every gateway connects to every endpoint.
// Equal names give equal subsets in every process, without communication. Used only by the emulator's scale
// runs so far.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace heathflow::subset {

using Names = std::vector<std::string>;

// Returns the indexes of the `count` gateways with the highest hash of their own and the group's name,
// highest first, or of all gateways if there are fewer (rendezvous hashing; Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998). If a gateway is removed, each of its groups gets the
// gateway with the next highest hash, and nothing else changes.
std::vector<std::size_t> rendezvousSubset(const std::string& group, const Names& gateways, std::size_t count);

// Returns the indexes of `count` gateways for a group, by the group's number, or of all gateways if there are
// fewer. The gateways are shuffled once per round and assigned in that order, `count` to each group of the
// round, until fewer than `count` are left; those serve no group in this round (deterministic subsetting,
// "Site Reliability Engineering", 2016, chapter 20). If `count` divides `gateways`, the numbers of groups of
// any two gateways differ by at most one. If a gateway is removed, the shuffles of all rounds change.
std::vector<std::size_t> deterministicSubset(std::size_t group, std::size_t gateways, std::size_t count);

}  // namespace heathflow::subset
