// The state that a gateway stores on disk for its next start.
#include "snapshot/snapshot.h"

#include <gtest/gtest.h>
#include <xxhash.h>

#include <filesystem>
#include <fstream>
#include <msgpack.hpp>
#include <tuple>
#include <vector>

#include "standins/temporary_file.h"

namespace heathflow::snapshot {
namespace {

constexpr Micros kS = 1'000'000;

Snapshot example() {
  Snapshot out;
  out.name = "n7";
  out.writtenAt = 1'700'000'000 * kS;
  out.listValidAsOf = out.writtenAt - kS;
  out.list.revision = 41;
  out.list.complete = true;
  protocol::ListedEndpoint endpoint;
  endpoint.id = "s-1";
  endpoint.hostPort = "127.0.0.2:5432";
  endpoint.locality = "a";
  endpoint.cell = 3;
  endpoint.size = 1.5;
  endpoint.upSinceMs = 1'699'999'000'000;
  endpoint.primary = true;
  endpoint.ports = {{"bolt", 7687}};
  out.list.endpoints = {endpoint};
  endpoint.id = "s-2";
  endpoint.primary = false;
  endpoint.phase = protocol::ListedEndpoint::Phase::Terminating;
  out.list.endpoints.push_back(endpoint);
  out.callCost = 20'000;
  out.earlyCrashes = 2;
  out.initialLatency = 4'200;
  return out;
}

TEST(Snapshots, AreReadAsTheyWereWritten) {
  std::string problem;
  const auto read = decode(encode(example()), "n7", problem);
  ASSERT_TRUE(read) << problem;
  EXPECT_EQ(encode(*read), encode(example()));
  EXPECT_EQ(read->list.revision, 41);
  ASSERT_EQ(read->list.endpoints.size(), 2U);
  EXPECT_EQ(read->list.endpoints[0].ports[0].second, 7687);
  EXPECT_EQ(read->list.endpoints[1].phase, protocol::ListedEndpoint::Phase::Terminating);
  EXPECT_EQ(read->callCost, 20'000);
  EXPECT_EQ(read->initialLatency, 4'200);
}

TEST(Snapshots, EveryTruncationAndEveryDamagedByteIsDetected) {
  const std::string bytes = encode(example());
  std::string problem;
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(decode(bytes.substr(0, size), "n7", problem)) << size;
    EXPECT_FALSE(problem.empty());
  }
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string damaged = bytes;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x10);
    EXPECT_FALSE(decode(damaged, "n7", problem)) << at;
  }
}

TEST(Snapshots, OfOtherGatewaysAndUnknownVersionsAreRejected) {
  std::string problem;
  EXPECT_FALSE(decode(encode(example()), "n8", problem));
  EXPECT_NE(problem.find("n7"), std::string::npos);
  std::string later = encode(example());
  later[19] = 3;  // the version, behind the magic text
  EXPECT_FALSE(decode(later, "n7", problem));
  EXPECT_NE(problem.find("version 3"), std::string::npos);
  later[19] = 0;
  EXPECT_FALSE(decode(later, "n7", problem));
}

// The format of version 0.2.0 of the program, which had no source of the list.
TEST(Snapshots, OfVersion1AreReadWithoutASource) {
  using Port = std::tuple<std::string, std::uint16_t>;
  using Entry = std::tuple<std::string, std::string, std::string, std::uint32_t, std::uint8_t, double,
                           std::int64_t, bool, std::vector<Port>>;
  const Entry entry{"s-1", "127.0.0.2:5432", "a", 3, 0, 1.5, 0, true, {}};
  msgpack::sbuffer content;
  msgpack::pack(content, std::make_tuple(std::string("n7"), 1'700'000'000 * kS, 1'699'999'999 * kS,
                                         std::int64_t{41}, std::vector<Entry>{entry}, std::int64_t{20'000},
                                         std::uint32_t{2}, std::int64_t{4'200}));
  std::string bytes = "heathflow-snapshot\n";
  bytes += std::string("\1\0\0\0", 4);
  const std::uint64_t sum = XXH3_64bits(content.data(), content.size());
  for (int i = 0; i < 8; ++i) bytes += static_cast<char>(sum >> (8 * i));
  bytes.append(content.data(), content.size());
  std::string problem;
  const auto read = decode(bytes, "n7", problem);
  ASSERT_TRUE(read) << problem;
  EXPECT_EQ(read->source, "");
  EXPECT_EQ(read->list.revision, 41);
  EXPECT_EQ(read->callCost, 20'000);
  EXPECT_EQ(read->earlyCrashes, 2U);
}

TEST(Snapshots, GiveNoRolesAfterThePollIntervalAndNoListAfterItsMaximumAge) {
  const discovery::CachedListSettings settings{10 * kS, 600 * kS, true};
  const Snapshot kept = example();
  const auto recent = trustedList(kept, kept.listValidAsOf + 5 * kS, settings);
  ASSERT_TRUE(recent);
  EXPECT_TRUE(recent->endpoints[0].primary);
  const auto old = trustedList(kept, kept.listValidAsOf + 60 * kS, settings);
  ASSERT_TRUE(old);
  EXPECT_FALSE(old->endpoints[0].primary);
  EXPECT_EQ(old->endpoints[1].phase, protocol::ListedEndpoint::Phase::Terminating);
  EXPECT_FALSE(trustedList(kept, kept.listValidAsOf + 601 * kS, settings));
  EXPECT_FALSE(trustedList(Snapshot{}, kS, settings)) << "there is no list";
}

struct Folder : test::TemporaryFolder {
  std::string file() const { return path() + "/n7.snapshot"; }
};

TEST(SnapshotFiles, AreWrittenReadAndReplaced) {
  const Folder folder;
  std::string problem;
  EXPECT_FALSE(load(folder.file(), "n7", problem));
  EXPECT_EQ(problem, "") << "at the first start there is no file";
  Snapshot kept = example();
  ASSERT_TRUE(save(folder.file(), kept, files::Durable::Yes, problem)) << problem;
  kept.list.revision = 42;
  ASSERT_TRUE(save(folder.file(), kept, files::Durable::Yes, problem)) << problem;
  const auto read = load(folder.file(), "n7", problem);
  ASSERT_TRUE(read) << problem;
  EXPECT_EQ(read->list.revision, 42);
  EXPECT_FALSE(std::filesystem::exists(folder.file() + ".new"));
  EXPECT_FALSE(save(folder.path() + "/none/n7.snapshot", kept, files::Durable::Yes, problem));
  EXPECT_NE(problem.find("can't be written"), std::string::npos);
}

TEST(SnapshotFiles, ThatCanNotBeUsedAreSetAside) {
  const Folder folder;
  std::string problem;
  std::ofstream(folder.file()) << encode(example()).substr(0, 40);
  EXPECT_FALSE(load(folder.file(), "n7", problem));
  EXPECT_NE(problem.find("set aside"), std::string::npos);
  EXPECT_FALSE(std::filesystem::exists(folder.file()));
  EXPECT_TRUE(std::filesystem::exists(folder.file() + ".unusable"));
}

TEST(EndpointLists, StayCompleteWhenChangesAreApplied) {
  protocol::EndpointList list = example().list;
  protocol::EndpointList changes;
  changes.revision = 42;
  protocol::ListedEndpoint removed = list.endpoints[0];
  removed.phase = protocol::ListedEndpoint::Phase::Gone;
  protocol::ListedEndpoint added = list.endpoints[0];
  added.id = "s-3";
  protocol::ListedEndpoint returned = list.endpoints[1];
  returned.phase = protocol::ListedEndpoint::Phase::Ready;
  changes.endpoints = {removed, added, returned};
  protocol::apply(changes, list);
  EXPECT_EQ(list.revision, 42);
  ASSERT_EQ(list.endpoints.size(), 2U);
  EXPECT_EQ(list.endpoints[0].id, "s-2");
  EXPECT_EQ(list.endpoints[0].phase, protocol::ListedEndpoint::Phase::Ready);
  EXPECT_EQ(list.endpoints[1].id, "s-3");
  changes.complete = true;
  changes.endpoints = {added};
  protocol::apply(changes, list);
  EXPECT_EQ(list.endpoints.size(), 1U);
}

}  // namespace
}  // namespace heathflow::snapshot
