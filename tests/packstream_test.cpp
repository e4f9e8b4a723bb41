// PackStream and the framing of Bolt's messages, checked against an independent implementation.
#include "protocol/packstream.h"

#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "protocol/bolt_message.h"
#include "standins/bolt_bytes.h"

namespace heathflow::protocol {
namespace {

using packstream::DecodeError;
using packstream::Reader;
using packstream::Type;
namespace peer = test::bolt;

TEST(PackStreamIntegers, OfEveryWidthAreReadAndWrittenInTheShortestForm) {
  const std::int64_t most = std::numeric_limits<std::int64_t>::max();
  const std::int64_t least = std::numeric_limits<std::int64_t>::min();
  const std::vector<std::pair<std::int64_t, std::size_t>> cases = {
      {0, 1},          {127, 1},         {-16, 1},         {-17, 2},    {-128, 2},   {128, 3},
      {-129, 3},       {32767, 3},       {32768, 5},       {-32768, 3}, {-32769, 5}, {2147483647, 5},
      {2147483648, 9}, {-2147483648, 5}, {-2147483649, 9}, {most, 9},   {least, 9}};
  for (const auto& [value, size] : cases) {
    std::string bytes;
    packstream::addInteger(bytes, value);
    EXPECT_EQ(bytes.size(), size) << value;
    Reader reader(bytes);
    const auto header = reader.header();
    ASSERT_TRUE(header) << value;
    EXPECT_EQ(header->type, Type::Integer);
    EXPECT_EQ(header->integer, value);
    EXPECT_TRUE(reader.atEnd());
  }
}

TEST(PackStreamValues, OfEveryMarkerAreCheckedAndSkipped) {
  const std::vector<std::string> values = {
      peer::null(), peer::boolean(true), peer::boolean(false), peer::real(-1.5), peer::integer(70'000),
      peer::text(""), peer::text(std::string(15, 'a')), peer::text(std::string(16, 'a')),
      peer::text(std::string(300, 'a')), peer::text(std::string(70'000, 'a')), std::string("\xCC\x03xyz"),
      std::string("\xCD\x00\x03xyz", 6), std::string("\xCE\x00\x00\x00\x03xyz", 8), peer::list({}),
      peer::list(std::vector<std::string>(20, peer::integer(1))),
      peer::list(std::vector<std::string>(300, peer::integer(1))), peer::map({}),
      peer::map({{"k", peer::list({peer::map({{"k", peer::null()}})})}}),
      // A node, a path, dates, times, a duration, points.
      peer::structure('N', {peer::integer(1), peer::list({}), peer::map({}), peer::text("1")}),
      peer::structure('P', {peer::list({}), peer::list({}), peer::list({})}),
      peer::structure('D', {peer::integer(1)}),
      peer::structure('I', std::vector<std::string>(3, peer::integer(1))),
      peer::structure('E', std::vector<std::string>(4, peer::integer(1))),
      peer::structure('R', std::vector<std::string>(8, peer::integer(1)))};
  std::string all;
  for (const std::string& value : values) {
    EXPECT_EQ(packstream::check(value), DecodeError::None) << test::bolt::list({}).size();
    all += value;
    // Neither a truncated value nor one followed by a further byte is valid.
    for (std::size_t size = 0; size < std::min<std::size_t>(value.size(), 60); ++size) {
      EXPECT_NE(packstream::check(value.substr(0, size)), DecodeError::None);
    }
    EXPECT_NE(packstream::check(value + "\x01"), DecodeError::None);
  }
  Reader reader(all);
  for (std::size_t i = 0; i < values.size(); ++i) EXPECT_TRUE(reader.skip()) << i;
  EXPECT_TRUE(reader.atEnd());
}

TEST(PackStreamFlaws, AreReportedByKind) {
  const auto nested = [](unsigned depth) { return std::string(depth, '\x91') + "\x01"; };
  EXPECT_EQ(packstream::check(nested(packstream::kMaxDepth)), DecodeError::None);
  EXPECT_EQ(packstream::check(nested(packstream::kMaxDepth + 1)), DecodeError::TooDeep);
  EXPECT_EQ(packstream::check("\xC4"), DecodeError::UnknownMarker);
  EXPECT_EQ(packstream::check("\xD6\xFF\xFF\xFF\xFF\x01"), DecodeError::Truncated);
  EXPECT_EQ(packstream::check(std::string("\xD2\xB2\xD0\x5E\x00x", 6)), DecodeError::Truncated);
  EXPECT_EQ(packstream::check("\xA1\x01\x01"), DecodeError::KeyNotText);
  EXPECT_EQ(packstream::check("\xB1\x7A\x01"), DecodeError::UnknownStructure);
  EXPECT_EQ(packstream::check("\xB2\x44\x01\x01"), DecodeError::WrongFieldCount);
  // Duplicate keys in small and in large maps.
  for (const std::size_t entries : {2U, 16U, 17U, 200U}) {
    peer::Entries map;
    for (std::size_t i = 0; i < entries; ++i) map.emplace_back("k" + std::to_string(i), peer::integer(1));
    EXPECT_EQ(packstream::check(peer::map(map)), DecodeError::None) << entries;
    map.back().first = "k0";
    EXPECT_EQ(packstream::check(peer::map(map)), DecodeError::DuplicateKey) << entries;
  }
}

TEST(PackStreamTexts, MustBeValidUtf8) {
  for (const char* good : {"", "plain", "\xC2\x80", "\xDF\xBF", "\xE0\xA0\x80", "\xED\x9F\xBF",
                           "\xEF\xBF\xBF", "\xF0\x90\x80\x80", "\xF4\x8F\xBF\xBF", "twelve bytes\xC3\xA9"}) {
    EXPECT_TRUE(packstream::isUtf8(good)) << good;
  }
  for (const char* bad :
       {"\x80", "\xC0\x80", "\xC1\xBF", "\xC3", "\xC3\x28", "\xE0\x80\x80", "\xED\xA0\x80", "\xE2\x82",
        "\xF0\x80\x80\x80", "\xF4\x90\x80\x80", "\xF5\x80\x80\x80", "\xFF", "eight by\xE2\x28\xA1"}) {
    EXPECT_FALSE(packstream::isUtf8(bad));
  }
}

TEST(BoltChunks, FormTheSameMessageWhateverTheirSize) {
  const std::string payload =
      peer::structure(0x10, {peer::text(std::string(500, 's')), peer::map({}), peer::map({})});
  for (const std::size_t chunk : {1U, 7U, 100U, 65535U}) {
    const std::string bytes = peer::chunked(payload, chunk);
    bolt::ChunkScan scan;
    bolt::Frame frame;
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      frame = bolt::readFrame(std::string_view(bytes).substr(0, size), 10'000, scan);
      ASSERT_EQ(frame.kind, bolt::Frame::Kind::Partial) << chunk << " " << size;
    }
    frame = bolt::readFrame(bytes, 10'000, scan);
    ASSERT_EQ(frame.kind, bolt::Frame::Kind::Complete);
    EXPECT_EQ(frame.size, bytes.size());
    std::string scratch;
    EXPECT_EQ(bolt::payloadOf(bytes, frame, scratch), payload);
    EXPECT_EQ(bolt::tagOf(bytes), bolt::Tag::Run);
  }
}

TEST(BoltChunks, ThatAreTooLongAreRejectedByTheirHeader) {
  bolt::ChunkScan scan;
  EXPECT_EQ(bolt::readFrame("\xFF\xFF", 1000, scan).kind, bolt::Frame::Kind::TooLong);
  bolt::ChunkScan fresh;
  const std::string bytes = std::string("\x01\xF4", 2) + std::string(500, 'x') + std::string("\x01\xF5", 2);
  EXPECT_EQ(bolt::readFrame(bytes, 1000, fresh).kind, bolt::Frame::Kind::TooLong);
}

TEST(BoltHandshakes, ChooseTheFirstProposalWithASupportedVersion) {
  const auto proposals = [](std::vector<std::array<unsigned char, 4>> all) {
    std::string out;
    all.resize(4);
    for (const auto& one : all) out.append(reinterpret_cast<const char*>(one.data()), 4);
    return out;
  };
  EXPECT_EQ(bolt::chooseMinor(proposals({{0, 4, 4, 5}})), 4U);
  EXPECT_EQ(bolt::chooseMinor(proposals({{0, 2, 6, 5}})), 4U);
  EXPECT_EQ(bolt::chooseMinor(proposals({{0, 1, 6, 5}, {0, 0, 2, 5}})), 2U);
  EXPECT_EQ(bolt::chooseMinor(proposals({{0, 0, 4, 4}, {0, 0, 0, 5}})), 0U);
  EXPECT_EQ(bolt::chooseMinor(proposals({{0, 9, 2, 5}})), 2U) << "a range beyond the first version";
  EXPECT_EQ(bolt::chooseMinor(proposals({{0, 0, 5, 5}})), std::nullopt);
  EXPECT_EQ(bolt::chooseMinor(proposals({{0, 0, 4, 4}, {0, 0, 1, 255}})), std::nullopt);
  EXPECT_EQ(bolt::chooseMinor(proposals({})), std::nullopt);
}

TEST(BoltBookmarks, AreReadStrictly) {
  const auto read = bolt::parseBookmark("hf1:3:1767225600123:FB:own:mark");
  ASSERT_TRUE(read);
  EXPECT_EQ(read->group, 3U);
  EXPECT_EQ(read->positionMs, 1767225600123);
  EXPECT_EQ(read->endpointBookmark, "FB:own:mark");
  EXPECT_EQ(bolt::toText(*read), "hf1:3:1767225600123:FB:own:mark");
  for (const char* text : {"", "hf1:", "hf1:3", "hf1:3:5", "hf1:x:5:", "hf1:-3:5:", "hf1:3:-5:", "hf1:3:5x:",
                           "hf2:3:5:", "hf1:99999999999:5:", "hf1:3:99999999999999999999:", "FB:abc"}) {
    EXPECT_FALSE(bolt::parseBookmark(text)) << text;
  }
}

}  // namespace
}  // namespace heathflow::protocol
