// The time for which an endpoint list may be used without confirmation by the list service.
#include "discovery/list_lease.h"

#include <gtest/gtest.h>

namespace heathflow::discovery {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;

TEST(ListLease, EndsSixSecondsAfterTheLastConfirmation) {
  ListLease lease(kS, false);
  EXPECT_EQ(lease.endsAt(), 7 * kS);
  lease.renew(3 * kS);
  EXPECT_EQ(lease.endsAt(), 9 * kS);
  lease.callFailed(4 * kS);
  EXPECT_EQ(lease.endsAt(), 9 * kS);
  lease.serviceMoved(4 * kS);
  EXPECT_EQ(lease.endsAt(), 8 * kS);
}

// A delayed answer does not contain changes made after it was written.
TEST(ListLease, StartsWhenTheListWasCorrectAndNotWhenItArrived) {
  ListLease lease(0, false);
  lease.renew(3 * kS);
  lease.watchStarted(3 * kS, 2 * kS);
  lease.renew(4 * kS);
  EXPECT_EQ(lease.endsAt(), 10 * kS);
}

// A change since the last confirmation may count by now.
TEST(ListLease, EndsWithAWatchThatTimedOut) {
  ListLease lease(0, false);
  lease.renew(3 * kS);
  lease.watchStarted(3 * kS, 10 * kS);
  lease.watchTimedOut(13700 * kMs);
  EXPECT_EQ(lease.endsAt(), 13700 * kMs);
  lease.renew(20 * kS);
  lease.watchStarted(20 * kS, 2 * kS);
  lease.watchTimedOut(22700 * kMs);
  EXPECT_EQ(lease.endsAt(), 26 * kS);
}

// An endpoint's return may be recorded up to 2 s late, so that a list confirms only connections that are
// older than it by 2 s.
TEST(ListLease, ConfirmsConnectionsThatAreOlderThanTheList) {
  ListLease lease(kS, false);
  EXPECT_FALSE(lease.latestConnectedSince());
  lease.renew(10 * kS);
  EXPECT_EQ(lease.latestConnectedSince(), 8 * kS);
  lease.watchStarted(10 * kS, 60 * kS);
  lease.watchEnded(40 * kS);
  EXPECT_EQ(lease.latestConnectedSince(), 8 * kS);
}

TEST(ListLease, LastsUntilTwoSecondsAfterTheWaitOfAWatch) {
  ListLease lease(kS, false);
  lease.renew(3 * kS);
  lease.watchStarted(3 * kS, 2 * kS);
  EXPECT_EQ(lease.endsAt(), 9 * kS);
  lease.watchStarted(3 * kS, 10 * kS);
  EXPECT_EQ(lease.endsAt(), 15 * kS);
}

// A change after the rejection counts 6 s later; one before it may have waited in the service's queue for 3
// s.
TEST(ListLease, EndsSoonAfterAWatchWasRejected) {
  ListLease lease(0, false);
  lease.renew(3 * kS);
  lease.watchStarted(3 * kS, 60 * kS);
  lease.watchEnded(4 * kS);
  EXPECT_EQ(lease.endsAt(), 9 * kS) << "as without a watch";
  lease.renew(10 * kS);
  lease.watchStarted(10 * kS, 60 * kS);
  lease.watchEnded(40 * kS);
  EXPECT_EQ(lease.endsAt(), 43 * kS);
}

// A cached list may be of any age. Where changes are pushed they count at once, so that it has no lease at
// all.
TEST(ListLease, OfACachedListEndsWithTheFirstFailure) {
  ListLease polled(kS, false);
  EXPECT_EQ(polled.endsAt(), 7 * kS);
  polled.callFailed(2 * kS);
  EXPECT_EQ(polled.endsAt(), 2 * kS);
  EXPECT_EQ(ListLease(kS, true).endsAt(), kS);
}

}  // namespace
}  // namespace heathflow::discovery
