// Nobody reads the log: the gateway keeps serving, and logs later how many lines were dropped.
#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>

#include "program_process.h"
#include "standins/gateway_rig.h"
#include "standins/temporary_file.h"

namespace heathflow::test {
namespace {

// At the trace level each request logs about three lines. Together they exceed the 64 KiB that a pipe holds.
constexpr int kRequests = 1200;

TEST(UnreadLog, DelaysNoRequest) {
  transport::EventLoop loop;
  DiscoveryStandIn discovery(loop);
  EndpointStandIn endpoint(loop);
  endpoint.primary = true;
  discovery.endpoints = "[" + entry("m0", endpoint.address(), true) + "]";
  TemporaryFolder folder;
  const std::string settings = folder.path() + "/heathflow.xml";
  std::ofstream(settings)
      << "<heathflow xmlns=\"urn:heathflow:settings:1\" version=\"1\"><log level=\"trace\"/></heathflow>\n";
  Process process(configText({}, discovery.address(), discovery.endpoints), {"serve", "--config", settings});
  ASSERT_TRUE(until(loop, [&] { return process.says("serves at"); }));
  ClientStandIn client(loop, process.socketAddress());
  for (int i = 0; i < kRequests; ++i) {
    client.ask(request("any", "id" + std::to_string(i)));
    ASSERT_TRUE(client.answered()) << "request " << i;
    client.forget();
  }
  // The number of dropped lines is logged once the log is read again.
  EXPECT_TRUE(process.says("id0"));
  client.ask(request("any", "last"));
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(until(loop, [&] { return process.says("log lines dropped"); }));
  process.signal(SIGTERM);
  ASSERT_TRUE(until(loop, [&] { return process.over(); }));
  EXPECT_EQ(process.status(), 0);
}

}  // namespace
}  // namespace heathflow::test
