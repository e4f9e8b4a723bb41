// Batches and their replies: instances, endpoint lists, and the conversion of records.
#include "wirehost/host.h"

#include <gtest/gtest.h>

#include <cstring>
#include <random>

#include "bytes.h"
#include "settings_text.h"

namespace heathflow::wirehost {
namespace {

using test::fromHex;
using test::kSettingsText;
using test::toHex;

constexpr std::uint64_t kClock = 290500000000;

// Builds batches out of hexadecimal records.
class Batch {
 public:
  Batch& add(const std::string& hex) { return raw(fromHex(hex)); }
  Batch& raw(const std::string& bytes) {
    body_ += bytes;
    ++records_;
    return *this;
  }
  Batch& init(const std::string& text) {
    std::string bytes = fromHex("0900 0100000000000000");
    const auto size = static_cast<std::uint32_t>(text.size());
    bytes.append(reinterpret_cast<const char*>(&size), sizeof(size));
    return raw(bytes + text);
  }
  std::string to(Host& host, std::uint64_t clock = kClock) const {
    return host.handle({clock, static_cast<std::uint32_t>(kBatchHeaderSize + body_.size()), records_}, body_);
  }

 private:
  std::string body_;
  std::uint32_t records_ = 0;
};

const std::string kFor3 = "0600 03000000";
const std::string kList =
    "0200 00000000 02000000 00 0b00 01 0a124a07 5b1b 0000000000000000 0000803f 0000803f 00 "
    "00 0b00 01 0a9011f2 841b 0000000000000000 0000803f 00000000 00";
const std::string kCached = "0500 00000000 02 29000000";
// A write in group 11 with a far deadline.
const std::string kWrite =
    "0b00 c4913a5d 00003041 0100 00000000 00000000 0000 640ad2557c3bf091 0000 0000000044000000";

void start(Host& host) { Batch().add(kFor3).init(kSettingsText).add(kList).add(kCached).to(host); }

TEST(Host, AnswersAnEmptyBatch) {
  Host host;
  EXPECT_EQ(toHex(Batch().to(host)), "0800000000000000");
}

TEST(Host, SendsAWriteToTheListedPrimary) {
  Host host;
  start(host);
  const std::string reply = toHex(Batch().add(kFor3).add(kWrite).to(host));
  EXPECT_NE(reply.find("080003000000"), std::string::npos);
  EXPECT_NE(reply.find("0b00c4913a5d0a124a075b1b"), std::string::npos);
}

TEST(Host, AKilledInstanceForgetsAndStartsAnew) {
  Host host;
  start(host);
  Batch().add(kFor3).add("0300").init(kSettingsText).add(kList).add(kCached).to(host);
  EXPECT_NE(toHex(Batch().add(kFor3).add(kWrite).to(host)).find("0b00c4913a5d"), std::string::npos);
  Batch().add(kFor3).add("0300").to(host);
  EXPECT_THROW(Batch().add(kFor3).add(kWrite).to(host), FrameError);
}

TEST(Host, InstancesShareNothing) {
  Host host;
  start(host);
  const std::string alone = Batch().add(kFor3).add(kWrite).to(host);
  Host both;
  start(both);
  Batch().add("0600 05000000").init(kSettingsText).add(kList).add(kCached).to(both);
  Batch().add("0600 05000000").add(kWrite).to(both);
  EXPECT_EQ(toHex(Batch().add(kFor3).add(kWrite).to(both)), toHex(alone));
}

TEST(Host, ALaterListWithTheSameNumberTakesThePlaceOfTheFirst) {
  Host host;
  const std::string other =
      "0200 00000000 01000000 00 0b00 01 0a9011f2 841b 0000000000000000 0000803f 0000803f 00";
  Batch().add(kFor3).init(kSettingsText).add(kList).add(kCached).add(other).add(kCached).to(host);
  EXPECT_NE(toHex(Batch().add(kFor3).add(kWrite).to(host)).find("0b00c4913a5d0a9011f2841b"),
            std::string::npos);
}

TEST(Host, RejectsEventsWithoutAnInstanceOrAList) {
  Host host;
  EXPECT_THROW(Batch().add(kWrite).to(host), FrameError);
  EXPECT_THROW(Batch().add(kFor3).add(kWrite).to(host), FrameError);
  EXPECT_THROW(Batch().add(kFor3).init(kSettingsText).add("0500 09000000 02 29000000").to(host), FrameError);
  EXPECT_THROW(Batch().add(kFor3).init("{}").to(host), settings::SettingsError);
}

TEST(Host, UnknownStatusCodesCountAsMayHaveRun) {
  Host host;
  start(host);
  Batch().add(kFor3).add(kWrite).to(host);
  // An unknown status ends the only attempt: a write with a key waits for a retry and is not rejected.
  const std::string reply =
      toHex(Batch().add(kFor3).add("0700 c4913a5d 0000 0a124a07 5b1b 6300 44480000 00 00000000 00").to(host));
  EXPECT_EQ(reply.find("0d00c4913a5d"), std::string::npos);
}

TEST(Host, MutatedBatchesAreAnsweredOrRejectedWithOneLine) {
  std::mt19937 dice(23);
  int rejected = 0;
  int answered = 0;
  for (int round = 0; round < 3000; ++round) {
    Host host;
    start(host);
    std::string body =
        fromHex(kFor3 + kWrite + "0700 c4913a5d 0000 0a124a07 5b1b 0200 44480000 00 8e630000 00" +
                "0800 0a9011f2 841b 0100 78050000 02 2b87c64000000000" + kFor3 + kList + kCached +
                "0a00 4d00000000000000" + "0100 c4913a5d");
    for (unsigned flips = 1 + dice() % 4; flips > 0; --flips)
      body[dice() % body.size()] = static_cast<char>(dice());
    const std::uint64_t clock = dice() % 50 == 0 ? ~std::uint64_t{0} : kClock + dice() % 1000000;
    try {
      host.handle({clock, static_cast<std::uint32_t>(kBatchHeaderSize + body.size()), 9}, body);
      ++answered;
    } catch (const FrameError& error) {
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
      ++rejected;
    }
  }
  EXPECT_GT(rejected, 0);
  EXPECT_GT(answered, 0);
}

TEST(Host, ExtraReportValuesAreSkipped) {
  Host host;
  start(host);
  EXPECT_NO_THROW(Batch()
                      .add(kFor3)
                      .add("0800 0a9011f2 841b 0100 78050000 04 00000000 2b87c640 00000000 0000c07f")
                      .to(host));
}

}  // namespace
}  // namespace heathflow::wirehost
