// Arrival times of buffered bytes.
#include "transport/arrival_times.h"

#include <gtest/gtest.h>

namespace heathflow::transport {
namespace {

TEST(ArrivalTimesOf, BufferedBytesKeepTheirOwnTime) {
  ArrivalTimes times;
  times.add(10, 100);
  times.add(5, 200);
  times.add(0, 250);
  times.add(5, 300);
  EXPECT_EQ(times.bufferedBytes(), 20U);
  EXPECT_EQ(times.arrivalTimeOf(1), 100);
  EXPECT_EQ(times.arrivalTimeOf(10), 100);
  EXPECT_EQ(times.arrivalTimeOf(11), 200);
  EXPECT_EQ(times.arrivalTimeOf(15), 200);
  EXPECT_EQ(times.arrivalTimeOf(16), 300);
  EXPECT_EQ(times.arrivalTimeOf(20), 300);
}

TEST(ArrivalTimesOf, BufferedBytesAreKeptWhileOthersAreConsumed) {
  ArrivalTimes times;
  times.add(10, 100);
  times.add(10, 200);
  times.consume(4);
  EXPECT_EQ(times.arrivalTimeOf(6), 100);
  EXPECT_EQ(times.arrivalTimeOf(7), 200);
  times.consume(6);
  EXPECT_EQ(times.arrivalTimeOf(1), 200);
  times.consume(10);
  EXPECT_EQ(times.bufferedBytes(), 0U);
  times.add(3, 400);
  EXPECT_EQ(times.arrivalTimeOf(3), 400);
}

// Merging the times of many pieces must neither make a byte younger than it is nor change the order.
TEST(ArrivalTimesOf, ManyPiecesAreNeverTooLate) {
  constexpr std::size_t kPieces = 10 * ArrivalTimes::kMaxMarks + 7;
  ArrivalTimes times;
  for (std::size_t i = 1; i <= kPieces; ++i) times.add(2, static_cast<Micros>(i));
  Micros before = 0;
  for (std::size_t i = 1; i <= kPieces; ++i) {
    const Micros at = times.arrivalTimeOf(2 * i);
    EXPECT_LE(at, static_cast<Micros>(i));
    EXPECT_GE(at, before);
    before = at;
  }
  // The first and the last piece keep times of their own.
  EXPECT_EQ(times.arrivalTimeOf(2), 1);
  EXPECT_EQ(times.arrivalTimeOf(2 * kPieces), static_cast<Micros>(kPieces));
}

}  // namespace
}  // namespace heathflow::transport
