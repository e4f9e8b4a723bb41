// Since when bytes that wait in a buffer are there.
#include "transport/arrival_times.h"

#include <gtest/gtest.h>

namespace heathflow::transport {
namespace {

TEST(ArrivalTimesOf, BytesThatWaitAreThoseOfTheirOwnArrival) {
  ArrivalTimes times;
  times.add(10, 100);
  times.add(5, 200);
  times.add(0, 250);
  times.add(5, 300);
  EXPECT_EQ(times.waiting(), 20U);
  EXPECT_EQ(times.lastOf(1), 100);
  EXPECT_EQ(times.lastOf(10), 100);
  EXPECT_EQ(times.lastOf(11), 200);
  EXPECT_EQ(times.lastOf(15), 200);
  EXPECT_EQ(times.lastOf(16), 300);
  EXPECT_EQ(times.lastOf(20), 300);
}

TEST(ArrivalTimesOf, BytesThatWaitStayAsOthersLeave) {
  ArrivalTimes times;
  times.add(10, 100);
  times.add(10, 200);
  times.drop(4);
  EXPECT_EQ(times.lastOf(6), 100);
  EXPECT_EQ(times.lastOf(7), 200);
  times.drop(6);
  EXPECT_EQ(times.lastOf(1), 200);
  times.drop(10);
  EXPECT_EQ(times.waiting(), 0U);
  times.add(3, 400);
  EXPECT_EQ(times.lastOf(3), 400);
}

// However many pieces come, none counts as younger than it is, and order is kept.
TEST(ArrivalTimesOf, ManyPiecesAreNeverLaterThanTheyWere) {
  constexpr std::size_t kPieces = 10 * ArrivalTimes::kMostMarks + 7;
  ArrivalTimes times;
  for (std::size_t i = 1; i <= kPieces; ++i) times.add(2, static_cast<Micros>(i));
  Micros before = 0;
  for (std::size_t i = 1; i <= kPieces; ++i) {
    const Micros at = times.lastOf(2 * i);
    EXPECT_LE(at, static_cast<Micros>(i));
    EXPECT_GE(at, before);
    before = at;
  }
  // The ends of what there is stay told apart.
  EXPECT_EQ(times.lastOf(2), 1);
  EXPECT_EQ(times.lastOf(2 * kPieces), static_cast<Micros>(kPieces));
}

}  // namespace
}  // namespace heathflow::transport
