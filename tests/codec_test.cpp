// Frames byte by byte: examples of the wire format, and truncated, oversized, mutated and unknown input.
#include "wirehost/codec.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "bytes.h"

namespace heathflow::wirehost {
namespace {

using test::fromHex;
using test::toHex;

Record only(const std::string& hex) {
  const std::string bytes = fromHex(hex);
  RecordReader reader(bytes, 1);
  Record record;
  EXPECT_TRUE(reader.next(record));
  Record none;
  EXPECT_FALSE(reader.next(none));
  // Views in the record dangle after the return, so tests check only their sizes.
  return record;
}

constexpr const char* kTwoInstances =
    "5a5c800000000000 54000000 05000000 0600 03000000 "
    "0b00 c4913a5d 00003041 0000 e02e0000 0040ce43 0000 640ad2557c3bf091 0100 da05840000000000 "
    "0a00 4d00000000000000 0600 05000000 0100 192b6f0e";

TEST(Decode, AnEmptyBatch) {
  const auto header = decodeHeader(fromHex("5a5c800000000000 10000000 00000000"));
  EXPECT_EQ(header.clock, 0x805c5aU);
  EXPECT_EQ(header.length, 16U);
  EXPECT_EQ(header.records, 0U);
}

TEST(Decode, EventsForTwoInstances) {
  const std::string frame = fromHex(kTwoInstances);
  const auto header = decodeHeader(frame);
  ASSERT_EQ(header.length, frame.size());
  RecordReader reader(std::string_view(frame).substr(kBatchHeaderSize), header.records);
  Record record;
  ASSERT_TRUE(reader.next(record));
  EXPECT_EQ(std::get<SelectInstanceRecord>(record).instance, 3U);
  ASSERT_TRUE(reader.next(record));
  const auto& call = std::get<RequestRecord>(record);
  EXPECT_EQ(call.request, 0x5d3a91c4U);
  EXPECT_FLOAT_EQ(call.group, 11.0F);
  EXPECT_EQ(call.estimatedWork, 12000U);
  EXPECT_FLOAT_EQ(call.tokenAgeMs, 412.5F);
  EXPECT_EQ(call.session, 0x91f03b7c55d20a64U);
  EXPECT_EQ(call.attributes, 1U);
  EXPECT_EQ(call.deadline, 0x8405daU);
  ASSERT_TRUE(reader.next(record));
  EXPECT_EQ(std::get<TimerRecord>(record).token, 0x4dU);
  ASSERT_TRUE(reader.next(record));
  EXPECT_EQ(std::get<SelectInstanceRecord>(record).instance, 5U);
  ASSERT_TRUE(reader.next(record));
  EXPECT_EQ(std::get<ClientDisconnectRecord>(record).request, 0x0e6f2b19U);
  EXPECT_FALSE(reader.next(record));
}

TEST(Decode, AListAndTheReferenceToIt) {
  const auto list = std::get<EndpointListRecord>(
      only("0200 00000000 02000000 00 0b00 01 0a124a07 5b1b 0000000000000000 0000803f 0000803f 00 "
           "00 0b00 01 0a9011f2 841b 20145d0000000000 0000c03f 00000000 00"));
  ASSERT_EQ(list.entries.size(), 2U);
  EXPECT_EQ(list.entries[0].cluster, 11U);
  EXPECT_EQ(list.entries[0].status, 1U);
  EXPECT_FLOAT_EQ(list.entries[0].listedPrimary, 1.0F);
  EXPECT_EQ(list.entries[1].startedAt, 0x5d1420U);
  EXPECT_FLOAT_EQ(list.entries[1].nominalSize, 1.5F);
  EXPECT_NE(list.entries[0].endpoint, list.entries[1].endpoint);
  const auto endpoints = std::get<EndpointsChangedRecord>(only("0500 00000000 02 29000000"));
  EXPECT_EQ(endpoints.scope, 2U);
  EXPECT_EQ(endpoints.version, 41U);
}

TEST(Decode, AttemptEndsHealthChecksStreamsPeersAndStops) {
  const auto end =
      std::get<AttemptEndRecord>(only("0700 c4913a5d 0000 0a124a07 5b1b 0100 44480000 01 8e630000 00"));
  EXPECT_EQ(end.status, 1U);
  EXPECT_EQ(end.elapsed, 18500U);
  EXPECT_EQ(end.requestFinished, 1U);
  EXPECT_EQ(end.roleAndPosition, 25486U);
  EXPECT_TRUE(end.report.empty());
  const auto ping =
      std::get<HealthCheckEndRecord>(only("0800 0a9011f2 841b 0100 78050000 02 2b87c64000000000"));
  ASSERT_EQ(ping.report.size(), 2U);
  EXPECT_NEAR(ping.report[0], 6.204, 0.001);
  const auto first = std::get<ResponseStreamingRecord>(only("0400 c4913a5d 22240000 0000 0a124a07 5b1b"));
  EXPECT_EQ(first.elapsed, 9250U);
  const auto peer = std::get<PeerMessageRecord>(only("0c00 0200 0400 68692037"));
  EXPECT_EQ(peer.from, 2U);
  EXPECT_EQ(peer.payload.size(), 4U);
  EXPECT_TRUE(std::holds_alternative<StopInstanceRecord>(only("0300")));
}

TEST(Decode, TruncatedFramesAreRejected) {
  const std::string frame = fromHex(kTwoInstances);
  for (std::size_t size = 0; size < frame.size(); ++size) {
    EXPECT_THROW(
        {
          const auto header = decodeHeader(std::string_view(frame).substr(0, size));
          RecordReader reader(std::string_view(frame).substr(kBatchHeaderSize, size - kBatchHeaderSize),
                              header.records);
          Record record;
          while (reader.next(record)) {
          }
        },
        FrameError)
        << size;
  }
}

TEST(Decode, BytesAfterTheLastRecordAreRejected) {
  const std::string bytes = fromHex("0300 00");
  RecordReader reader(bytes, 1);
  Record record;
  ASSERT_TRUE(reader.next(record));
  EXPECT_THROW(reader.next(record), FrameError);
}

TEST(Decode, CountsBeyondTheFrameAreRejectedBeforeAllocation) {
  for (const char* hex : {"0200 00000000 ffffffff", "0900 0000000000000000 ffffffff 7b7d",
                          "0800 0a9011f2 841b 0100 78050000 ff 00000000", "0c00 0200 ffff 6869"}) {
    const std::string bytes = fromHex(hex);
    RecordReader reader(bytes, 1);
    Record record;
    EXPECT_THROW(reader.next(record), FrameError) << hex;
  }
}

TEST(Decode, UnknownCodesAndShortLengthsAreRejected) {
  const std::string bytes = fromHex("6300 00000000");
  RecordReader reader(bytes, 1);
  Record record;
  EXPECT_THROW(reader.next(record), FrameError);
  EXPECT_THROW(decodeHeader(fromHex("5a5c800000000000 0f000000 00000000")), FrameError);
}

TEST(Decode, MutatedFramesAreReadOrRejectedWithoutOverrun) {
  const std::string frame = fromHex(kTwoInstances);
  std::mt19937 dice(11);
  int rejected = 0;
  int accepted = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string mutated = frame.substr(kBatchHeaderSize);
    for (unsigned flips = 1 + dice() % 3; flips > 0; --flips)
      mutated[dice() % mutated.size()] = static_cast<char>(dice());
    mutated.resize(mutated.size() - dice() % 3);
    mutated.shrink_to_fit();
    try {
      RecordReader reader(mutated, 5);
      Record record;
      while (reader.next(record)) {
      }
      ++accepted;
    } catch (const FrameError&) {
      ++rejected;
    }
  }
  EXPECT_GT(rejected, 0);
  EXPECT_GT(accepted, 0);
}

TEST(Encode, AnEmptyReply) {
  ReplyWriter writer;
  EXPECT_EQ(toHex(writer.finish()), "0800000000000000");
}

TEST(Encode, EveryActionAsTheWireShowsIt) {
  WireEndpoint endpoint = 0;
  const std::string raw = fromHex("0a124a07 5b1b");
  for (std::size_t i = 0; i < raw.size(); ++i) {
    endpoint |= static_cast<WireEndpoint>(static_cast<unsigned char>(raw[i])) << (8 * i);
  }
  const auto frameOf = [](auto&& write) {
    ReplyWriter writer;
    write(writer);
    return toHex(writer.finish()).substr(16);
  };
  EXPECT_EQ(frameOf([&](ReplyWriter& w) { w.selectInstance(3); }), "080003000000");
  EXPECT_EQ(frameOf([&](ReplyWriter& w) { w.sendAttempt(0x5d3a91c4, endpoint, 0x8194da); }),
            "0b00c4913a5d0a124a075b1bda94810000000000");
  EXPECT_EQ(frameOf([&](ReplyWriter& w) { w.rejectRequest(0x0e6f2b19, 250000); }), "0d00192b6f0e90d00300");
  EXPECT_EQ(frameOf([&](ReplyWriter& w) { w.cancelAttempt(0x5d3a91c4, 0); }), "0500c4913a5d0000");
  EXPECT_EQ(frameOf([&](ReplyWriter& w) { w.setTimer(0x4d, 500000); }), "0c004d0000000000000020a10700");
  EXPECT_EQ(frameOf([&](ReplyWriter& w) { w.subscribe(true); }), "070001");
  EXPECT_EQ(frameOf([&](ReplyWriter& w) { w.startHealthCheck(endpoint); }), "01000a124a075b1b");
  EXPECT_EQ(frameOf([&](ReplyWriter& w) { w.closeIdleConnections(endpoint); }), "04000a124a075b1b");
  EXPECT_EQ(frameOf([&](ReplyWriter& w) { w.failRequest(0x0e6f2b19); }), "0a00192b6f0e");
}

TEST(Encode, LengthAndCountCoverTheWholeFrame) {
  ReplyWriter writer;
  writer.selectInstance(3);
  writer.failRequest(1);
  EXPECT_EQ(toHex(writer.finish()),
            "1400000002000000080003000000"
            "0a0001000000");
  writer.clear();
  EXPECT_EQ(toHex(writer.finish()), "0800000000000000");
}

}  // namespace
}  // namespace heathflow::wirehost
