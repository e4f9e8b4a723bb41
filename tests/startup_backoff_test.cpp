// System calls fail during a start or a reload: transient errors are retried, others are final.
#include <gtest/gtest.h>
#include <signal.h>

#include <array>
#include <fstream>

#include "process_rig.h"
#include "standins/gateway_rig.h"
#include "standins/temporary_file.h"

namespace heathflow::test {
namespace {

emulator::Environment failing(const std::string& plan) {
  return emulator::withFaults(HEATHFLOW_FAULT_LIBRARY, plan);
}

// Faults with transient errors of each kind of system call that a start makes.
constexpr std::array kTransientFaults = {"socket=1#2",
                                         "create=1#2",
                                         "watch=1#3",
                                         "listen=1#2",
                                         "file-open=1#1",
                                         "file-read=1#1",
                                         "interrupt=0.3;interrupt-io=0.3"};

TEST(StartupBackoff, RetriesTransientErrors) {
  for (const char* plan : kTransientFaults) {
    ProcessRig rig;
    Process process(rig.config(), {}, failing(plan));
    ASSERT_TRUE(rig.until([&] { return process.says("serves at") || process.over(); })) << plan;
    ASSERT_FALSE(process.over()) << plan << ": " << process.log();
    ClientStandIn client(rig.loop, process.socketAddress());
    client.ask(request("any", "a"));
    EXPECT_TRUE(client.answered()) << plan;
    process.signal(SIGTERM);
    ASSERT_TRUE(rig.until([&] { return process.over(); })) << plan;
    EXPECT_EQ(process.status(), 0) << plan << ": " << process.log();
  }
}

// Guards against a signal that ends the process while a start is being retried.
TEST(EarlySignal, IsHandledAfterTheStart) {
  ProcessRig rig;
  Process process(rig.config(), {}, failing("file-open=1#6"));
  ASSERT_TRUE(rig.until([&] { return process.says("failed at startup, retrying") || process.over(); }));
  process.signal(SIGHUP);
  process.signal(SIGUSR1);
  ASSERT_TRUE(rig.until([&] { return process.says("serves at") || process.over(); }));
  ASSERT_FALSE(process.over()) << process.log();
  EXPECT_TRUE(rig.until([&] { return process.says("configuration reloaded"); }));
  process.signal(SIGTERM);
  ASSERT_TRUE(rig.until([&] { return process.over(); }));
  EXPECT_EQ(process.status(), 0) << process.log();
}

// The same while the installation's settings are read, which is the first step of the start.
TEST(EarlySignal, IsHandledAfterTheSettingsAreRead) {
  ProcessRig rig;
  TemporaryFolder folder;
  const std::string settings = folder.path() + "/heathflow.xml";
  std::ofstream(settings) << "<heathflow xmlns=\"urn:heathflow:settings:1\" version=\"1\"/>\n";
  Process process(rig.config(), {"serve", "--config", settings}, failing("file-open=1#6"));
  ASSERT_TRUE(rig.until([&] { return process.says("failed at startup, retrying") || process.over(); }));
  process.signal(SIGHUP);
  ASSERT_TRUE(rig.until([&] { return process.says("configuration reloaded") || process.over(); }));
  EXPECT_FALSE(process.over()) << process.log();
}

TEST(Reload, RetriesTransientErrors) {
  ProcessRig rig;
  DiscoveryStandIn elsewhere(rig.loop);
  elsewhere.endpoints = rig.discovery.endpoints;
  // The faults begin 1.5 s after the start, which has read the file by then.
  Process process(rig.config(), {}, failing("file-read=1@1500-60000#2"));
  ASSERT_TRUE(rig.until([&] { return process.says("serves at"); }));
  process.configure(configText({}, elsewhere.address(), rig.discovery.endpoints));
  const auto later = rig.loop.now() + 1'600'000;
  ASSERT_TRUE(rig.until([&] { return rig.loop.now() > later; }));
  process.signal(SIGHUP);
  EXPECT_TRUE(rig.until([&] { return !elsewhere.calls.empty(); })) << process.log();
}

TEST(StartupBackoff, EndsAtOnceWithTheErrorsNameWhereItIsNotTransient) {
  ProcessRig rig;
  std::string config = rig.config();
  const std::string listen = "127.0.0.1:0";
  config.replace(config.find(listen), listen.size(), "192.0.2.1:5432");
  Process process(config);
  ASSERT_TRUE(rig.until([&] { return process.over(); }));
  EXPECT_EQ(process.status(), 1);
  EXPECT_TRUE(process.says("'listen'")) << process.log();
  EXPECT_TRUE(process.says("Cannot assign requested address")) << process.log();
  EXPECT_FALSE(process.says("failed at startup, retrying")) << process.log();
}

// The message names the system error and does not report a problem with the address.
TEST(StartupBackoff, EndsAfterTheRetryTimeWithTheErrorsName) {
  ProcessRig rig;
  Process process(rig.config(), {}, failing("socket=1"));
  ASSERT_TRUE(rig.until([&] { return process.over(); }));
  EXPECT_EQ(process.status(), 1);
  EXPECT_TRUE(process.says("failed at startup, retrying")) << process.log();
  EXPECT_FALSE(process.says("holds an address that can't be bound")) << process.log();
}

}  // namespace
}  // namespace heathflow::test
