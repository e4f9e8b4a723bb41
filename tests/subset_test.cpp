// Which gateways serve a group: balance, and what moves when one goes.
#include "subset/subset.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace heathflow::subset {
namespace {

Names namesOf(std::size_t count) {
  Names out;
  for (std::size_t i = 0; i < count; ++i) out.push_back("driver-" + std::to_string(i));
  return out;
}

std::set<std::string> namedBy(const std::vector<std::size_t>& places, const Names& gateways) {
  std::set<std::string> out;
  for (const std::size_t place : places) out.insert(gateways[place]);
  return out;
}

TEST(RendezvousSubset, IsTheSameWhateverTheOrderOfTheNames) {
  Names gateways = namesOf(50);
  const auto before = namedBy(rendezvous("group-7", gateways, 5), gateways);
  EXPECT_EQ(before.size(), 5U);
  std::reverse(gateways.begin(), gateways.end());
  EXPECT_EQ(namedBy(rendezvous("group-7", gateways, 5), gateways), before);
  EXPECT_NE(namedBy(rendezvous("group-8", gateways, 5), gateways), before);
}

TEST(RendezvousSubset, OfFewerGatewaysThanWantedIsAllOfThem) {
  EXPECT_EQ(rendezvous("group", namesOf(3), 5).size(), 3U);
  EXPECT_TRUE(rendezvous("group", {}, 5).empty());
}

TEST(RendezvousSubset, LosesOnlyTheOneThatGoesAndTakesTheNextForIt) {
  const Names all = namesOf(60);
  for (int number = 0; number < 200; ++number) {
    const std::string group = "group-" + std::to_string(number);
    const auto wider = rendezvous(group, all, 6);
    const auto before = namedBy({wider.begin(), wider.begin() + 5}, all);
    Names left = all;
    left.erase(left.begin() + 11);
    std::set<std::string> expected = before;
    if (expected.erase(all[11]) == 1) expected.insert(all[wider.back()]);
    EXPECT_EQ(namedBy(rendezvous(group, left, 5), left), expected);
  }
}

TEST(DealtSubset, GivesEachGatewayAsManyGroupsGiveOrTakeOneRound) {
  std::map<std::size_t, int> groups;
  for (std::size_t group = 0; group < 400; ++group) {
    const auto places = dealt(group, 100, 20);
    EXPECT_EQ(std::set<std::size_t>(places.begin(), places.end()).size(), 20U);
    for (const std::size_t place : places) ++groups[place];
  }
  // 400 groups in rounds of five take every gateway once a round.
  ASSERT_EQ(groups.size(), 100U);
  for (const auto& [place, count] : groups) EXPECT_EQ(count, 80) << place;
  EXPECT_TRUE(dealt(0, 0, 5).empty());
  EXPECT_EQ(dealt(0, 3, 5).size(), 3U);
}

}  // namespace
}  // namespace heathflow::subset
