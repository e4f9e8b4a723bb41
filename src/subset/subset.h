// Which gateways serve a group of endpoints, so that not every gateway talks to every endpoint. Decisions
// only: the names of those that are there are given, equal names give equal answers everywhere, and nobody is
// asked. No program links it yet; scale runs measure it.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace heathflow::subset {

using Names = std::vector<std::string>;

// The 'count' gateways with the highest hash of their own and the group's name, by their places in
// 'gateways', highest first; all of them where there are fewer (rendezvous hashing, Thaler and Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", 1998). One that goes leaves its place to the next of
// each of its groups and moves nobody else's.
std::vector<std::size_t> rendezvous(const std::string& group, const Names& gateways, std::size_t count);

// The same number of gateways by the group's own number: gateways are shuffled anew for each round of groups
// that takes all of them, and dealt out in order (deterministic subsetting, "Site Reliability Engineering",
// 2016, chapter 20). Every gateway has as many groups as any other, give or take one round; but when one
// goes, the shuffles of all rounds change.
std::vector<std::size_t> dealt(std::size_t group, std::size_t gateways, std::size_t count);

}  // namespace heathflow::subset
