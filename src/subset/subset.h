// Which gateways serve a group of endpoints, so that not every gateway talks to every endpoint. Decisions
// only: equal names give equal answers everywhere, without communication. No program links it yet; scale runs
// measure it.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace heathflow::subset {

using Names = std::vector<std::string>;

// The indexes of the 'count' gateways with the highest hash of their own and the group's name, highest first;
// all of them where there are fewer (rendezvous hashing, Thaler and Ravishankar, "Using Name-Based Mappings
// to Increase Hit Rates", 1998). A gateway that goes is replaced by the next of each of its groups, and
// nothing else changes.
std::vector<std::size_t> rendezvousSubset(const std::string& group, const Names& gateways, std::size_t count);

// The indexes of 'count' of the gateways, by the group's number: they are shuffled for each round of groups
// that takes all of them, and distributed in order (deterministic subsetting, "Site Reliability Engineering",
// 2016, chapter 20). The numbers of groups of two gateways differ by one round at most; but when a gateway
// goes, the shuffles of all rounds change.
std::vector<std::size_t> deterministicSubset(std::size_t group, std::size_t gateways, std::size_t count);

}  // namespace heathflow::subset
