// The trust in a cached endpoint list by its age, and the start delay of a gateway that crashes repeatedly.
#include "discovery/cached_list_trust.h"

#include <gtest/gtest.h>

#include "discovery/crash_loop_delay.h"

namespace heathflow::discovery {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;

TEST(CachedListTrust, ShrinksWithTheAgeOfTheList) {
  const CachedListSettings settings{10 * kS, 600 * kS, true};
  EXPECT_TRUE(trustInCachedList(9 * kS, settings).roles);
  EXPECT_FALSE(trustInCachedList(11 * kS, settings).roles);
  EXPECT_TRUE(trustInCachedList(11 * kS, settings).endpoints);
  EXPECT_TRUE(trustInCachedList(11 * kS, settings).drains);
  EXPECT_FALSE(trustInCachedList(601 * kS, settings).endpoints);
  EXPECT_FALSE(trustInCachedList(-2 * kS, settings).endpoints) << "from the future";
  EXPECT_TRUE(trustInCachedList(-kS / 2, settings).endpoints);
  const CachedListSettings withoutHealthChecks{10 * kS, 600 * kS, false};
  EXPECT_TRUE(trustInCachedList(11 * kS, withoutHealthChecks).roles) << "there is no other source of roles";
}

TEST(CrashLoopDelay, GrowsWithEachEarlyCrashWithinThePollInterval) {
  EXPECT_EQ(crashLoopDelay(0, 10 * kS), 0);
  EXPECT_EQ(crashLoopDelay(1, 10 * kS), 0) << "one crash is not a crash loop";
  EXPECT_EQ(crashLoopDelay(2, 10 * kS), 500 * kMs);
  EXPECT_EQ(crashLoopDelay(3, 10 * kS), kS);
  EXPECT_EQ(crashLoopDelay(1000, 10 * kS), 5 * kS);
}

}  // namespace
}  // namespace heathflow::discovery
