// Snapshot files written by an earlier build (commit 8036c39) must decode field by field, and encode to the
// same bytes.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

#include "snapshot/snapshot.h"

namespace heathflow::snapshot {
namespace {

using Phase = protocol::ListedEndpoint::Phase;
using Ports = std::vector<std::pair<std::string, std::uint16_t>>;

std::string storedFile(const std::string& name) {
  std::ifstream file(std::string(HEATHFLOW_SOURCE) + "/tests/snapshots/" + name, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

TEST(SnapshotCompatibility, AFileOfVersion2IsReadFieldForField) {
  const std::string bytes = storedFile("version2-with-list.snapshot");
  ASSERT_FALSE(bytes.empty());
  std::string problem;
  const auto snapshot = decode(bytes, "gateway-7", problem);
  ASSERT_TRUE(snapshot) << problem;
  EXPECT_EQ(snapshot->name, "gateway-7");
  EXPECT_EQ(snapshot->writtenAt, 1'700'000'000'123'456);
  EXPECT_EQ(snapshot->listValidAsOf, 1'699'999'999'000'001);
  EXPECT_EQ(snapshot->source, "127.0.0.3:8500");
  EXPECT_EQ(snapshot->callCost, 20'000);
  EXPECT_EQ(snapshot->initialLatency, 4'200);
  EXPECT_EQ(snapshot->earlyCrashes, 2U);
  EXPECT_EQ(snapshot->list.revision, 4'294'967'337);
  EXPECT_TRUE(snapshot->list.complete);
  ASSERT_EQ(snapshot->list.endpoints.size(), 2U);
  const protocol::ListedEndpoint& primary = snapshot->list.endpoints[0];
  EXPECT_EQ(primary.id, "s-1");
  EXPECT_EQ(primary.hostPort, "127.0.0.2:5432");
  EXPECT_EQ(primary.locality, "zone-a");
  EXPECT_EQ(primary.cell, 3U);
  EXPECT_EQ(primary.phase, Phase::Ready);
  EXPECT_EQ(primary.size, 1.5);
  EXPECT_EQ(primary.upSinceMs, 1'699'999'000'000);
  EXPECT_TRUE(primary.primary);
  EXPECT_EQ(primary.ports, (Ports{{"bolt", 7687}, {"other", 65535}}));
  const protocol::ListedEndpoint& draining = snapshot->list.endpoints[1];
  EXPECT_EQ(draining.id, "s-2");
  EXPECT_EQ(draining.hostPort, "127.0.0.4:5433");
  EXPECT_EQ(draining.locality, "zone-b");
  EXPECT_EQ(draining.cell, 70'000U);
  EXPECT_EQ(draining.phase, Phase::Terminating);
  EXPECT_EQ(draining.size, 0.25);
  EXPECT_EQ(draining.upSinceMs, 0);
  EXPECT_FALSE(draining.primary);
  EXPECT_EQ(draining.ports, Ports{});
  EXPECT_EQ(encode(*snapshot), bytes);
}

TEST(SnapshotCompatibility, AFileOfVersion2WithoutAListIsReadFieldForField) {
  const std::string bytes = storedFile("version2-without-list.snapshot");
  ASSERT_FALSE(bytes.empty());
  std::string problem;
  const auto snapshot = decode(bytes, "gateway-8", problem);
  ASSERT_TRUE(snapshot) << problem;
  EXPECT_EQ(snapshot->name, "gateway-8");
  EXPECT_EQ(snapshot->writtenAt, 1'700'000'000'000'000);
  EXPECT_EQ(snapshot->listValidAsOf, 0);
  EXPECT_EQ(snapshot->source, "");
  EXPECT_EQ(snapshot->callCost, std::nullopt);
  EXPECT_EQ(snapshot->initialLatency, 0);
  EXPECT_EQ(snapshot->earlyCrashes, 1U);
  EXPECT_EQ(snapshot->list.revision, 0);
  EXPECT_TRUE(snapshot->list.endpoints.empty());
  EXPECT_EQ(encode(*snapshot), bytes);
}

}  // namespace
}  // namespace heathflow::snapshot
