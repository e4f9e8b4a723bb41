// A snapshot with the list of another list service, whose revisions are not comparable.
#include <gtest/gtest.h>

#include "race_test.h"
#include "standins/gateway_rig.h"
#include "standins/temporary_file.h"

namespace heathflow::test {
namespace {

constexpr std::int64_t kCachedRevision = 41;

// A gateway whose snapshot contains a list from the given address; empty: from its current list service.
class RestartedGateway {
 public:
  explicit RestartedGateway(const std::string& source)
      : loop(transport::Clock::manual(transport::Clock().now())), discovery(loop), endpoint(loop) {
    endpoint.primary = true;
    discovery.endpoints = "[" + entry("m0", endpoint.address(), true) + "]";
    discovery.revision = 2 * kCachedRevision;
    GatewayOptions options;
    options.knownRevision = 1;
    config = program::parseConfig(configText(options, discovery.address(), discovery.endpoints));
    installation.snapshot.file = folder.path() + "/n0.snapshot";
    snapshot::Snapshot earlier;
    earlier.name = "n0";
    earlier.listValidAsOf = loop.now();
    earlier.source = source.empty() ? discovery.address() : source;
    protocol::EndpointList list = config.known;
    list.revision = kCachedRevision;
    list.endpoints.push_back(list.endpoints.front());
    list.endpoints.back().id = "removed-before-the-move";
    earlier.list = list;
    gateway = std::make_unique<program::Gateway>(loop, config, notes, installation, earlier);
    if (const auto error = gateway->listen()) throw std::runtime_error(error->text);
    gateway->start();
  }
  std::string firstCall() {
    until(loop, [this] { return !discovery.calls.empty(); });
    return discovery.calls.empty() ? "" : discovery.calls.front();
  }

  transport::EventLoop loop;
  DiscoveryStandIn discovery;
  EndpointStandIn endpoint;
  TemporaryFolder folder;
  LogRecorder notes;
  program::Config config;
  installation::Installation installation;
  std::unique_ptr<program::Gateway> gateway;
};

TEST(SnapshotSource, OfTheSameServiceContinuesFromItsRevision) {
  RestartedGateway restarted("");
  EXPECT_NE(restarted.firstCall().find("since=" + std::to_string(kCachedRevision)), std::string::npos);
}

// Guards against an endpoint that was removed before the move of the service and stays in the list for ever.
TEST(SnapshotSource, OfAnotherServiceDoesNotContinueFromItsRevision) {
  RestartedGateway restarted("127.0.0.9:8500");
  EXPECT_EQ(restarted.firstCall().find("since=" + std::to_string(kCachedRevision)), std::string::npos);
}

}  // namespace
}  // namespace heathflow::test
