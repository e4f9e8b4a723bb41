// Tests which gateways serve a group: the balance, and the changes when a gateway is removed.
#include "subset/subset.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace heathflow::subset {
namespace {

Names namesOf(std::size_t count) {
  Names out;
  for (std::size_t i = 0; i < count; ++i) out.push_back("gateway-" + std::to_string(i));
  return out;
}

std::set<std::string> namesAt(const std::vector<std::size_t>& indexes, const Names& gateways) {
  std::set<std::string> out;
  for (const std::size_t index : indexes) out.insert(gateways[index]);
  return out;
}

TEST(RendezvousSubset, IsTheSameWhateverTheOrderOfTheNames) {
  Names gateways = namesOf(50);
  const auto before = namesAt(rendezvousSubset("group-7", gateways, 5), gateways);
  EXPECT_EQ(before.size(), 5U);
  std::reverse(gateways.begin(), gateways.end());
  EXPECT_EQ(namesAt(rendezvousSubset("group-7", gateways, 5), gateways), before);
  EXPECT_NE(namesAt(rendezvousSubset("group-8", gateways, 5), gateways), before);
}

TEST(RendezvousSubset, OfFewerGatewaysThanWantedIsAllOfThem) {
  EXPECT_EQ(rendezvousSubset("group", namesOf(3), 5).size(), 3U);
  EXPECT_TRUE(rendezvousSubset("group", {}, 5).empty());
}

TEST(RendezvousSubset, ReplacesOnlyTheGatewayThatGoesByTheNext) {
  const Names all = namesOf(60);
  for (int number = 0; number < 200; ++number) {
    const std::string group = "group-" + std::to_string(number);
    const auto wider = rendezvousSubset(group, all, 6);
    const auto before = namesAt({wider.begin(), wider.begin() + 5}, all);
    Names remaining = all;
    remaining.erase(remaining.begin() + 11);
    std::set<std::string> expected = before;
    if (expected.erase(all[11]) == 1) expected.insert(all[wider.back()]);
    EXPECT_EQ(namesAt(rendezvousSubset(group, remaining, 5), remaining), expected);
  }
}

TEST(DeterministicSubset, GivesEachGatewayTheSameNumberOfGroups) {
  std::map<std::size_t, int> groups;
  for (std::size_t group = 0; group < 400; ++group) {
    const auto indexes = deterministicSubset(group, 100, 20);
    EXPECT_EQ(std::set<std::size_t>(indexes.begin(), indexes.end()).size(), 20U);
    for (const std::size_t index : indexes) ++groups[index];
  }
  // 400 groups make 80 rounds of five groups, and each round uses every gateway once.
  ASSERT_EQ(groups.size(), 100U);
  for (const auto& [index, count] : groups) EXPECT_EQ(count, 80) << index;
  EXPECT_TRUE(deterministicSubset(0, 0, 5).empty());
  EXPECT_EQ(deterministicSubset(0, 3, 5).size(), 3U);
}

}  // namespace
}  // namespace heathflow::subset
