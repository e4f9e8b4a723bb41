// Starts and reloads whose system calls fail: transient errors are retried, others end them.
#include <gtest/gtest.h>
#include <signal.h>

#include <array>
#include <fstream>

#include "process_site.h"
#include "standins/gateway_rig.h"
#include "standins/temporary_file.h"

namespace heathflow::test {
namespace {

emulator::Environment failing(const std::string& plan) {
  return emulator::withFaults(HEATHFLOW_FAULT_LIBRARY, plan);
}

// Transient errors of each kind of call that a start makes.
constexpr std::array kTransientFaults = {"socket=1#2",
                                         "create=1#2",
                                         "watch=1#3",
                                         "listen=1#2",
                                         "file-open=1#1",
                                         "file-read=1#1",
                                         "interrupt=0.3;interrupt-io=0.3"};

TEST(StartupBackoff, RetriesTransientErrors) {
  for (const char* plan : kTransientFaults) {
    ProcessSite site;
    Process process(site.config(), {}, failing(plan));
    ASSERT_TRUE(site.until([&] { return process.says("serves at") || process.over(); })) << plan;
    ASSERT_FALSE(process.over()) << plan << ": " << process.log();
    ClientStandIn client(site.loop, process.socketAddress());
    client.ask(request("any", "a"));
    EXPECT_TRUE(client.answered()) << plan;
    process.signal(SIGTERM);
    ASSERT_TRUE(site.until([&] { return process.over(); })) << plan;
    EXPECT_EQ(process.status(), 0) << plan << ": " << process.log();
  }
}

// Guards against a signal that ends the process while a start is being retried.
TEST(EarlySignal, IsHandledAfterTheStart) {
  ProcessSite site;
  Process process(site.config(), {}, failing("file-open=1#6"));
  ASSERT_TRUE(site.until([&] { return process.says("is tried again") || process.over(); }));
  process.signal(SIGHUP);
  process.signal(SIGUSR1);
  ASSERT_TRUE(site.until([&] { return process.says("serves at") || process.over(); }));
  ASSERT_FALSE(process.over()) << process.log();
  EXPECT_TRUE(site.until([&] { return process.says("was read again"); }));
  process.signal(SIGTERM);
  ASSERT_TRUE(site.until([&] { return process.over(); }));
  EXPECT_EQ(process.status(), 0) << process.log();
}

// The same while the settings of the installation are read, which comes first.
TEST(EarlySignal, IsHandledAfterTheSettingsAreRead) {
  ProcessSite site;
  TemporaryFolder folder;
  const std::string settings = folder.path() + "/heathflow.xml";
  std::ofstream(settings) << "<heathflow xmlns=\"urn:heathflow:settings:1\" version=\"1\"/>\n";
  Process process(site.config(), {"serve", "--config", settings}, failing("file-open=1#6"));
  ASSERT_TRUE(site.until([&] { return process.says("is tried again") || process.over(); }));
  process.signal(SIGHUP);
  ASSERT_TRUE(site.until([&] { return process.says("was read again") || process.over(); }));
  EXPECT_FALSE(process.over()) << process.log();
}

TEST(Reload, RetriesTransientErrors) {
  ProcessSite site;
  DiscoveryStandIn elsewhere(site.loop);
  elsewhere.endpoints = site.discovery.endpoints;
  // The start itself opens the file once.
  Process process(site.config(), {}, failing("file-read=1@1500-60000#2"));
  ASSERT_TRUE(site.until([&] { return process.says("serves at"); }));
  process.configure(configText({}, elsewhere.address(), site.discovery.endpoints));
  const auto later = site.loop.now() + 1'600'000;
  ASSERT_TRUE(site.until([&] { return site.loop.now() > later; }));
  process.signal(SIGHUP);
  EXPECT_TRUE(site.until([&] { return !elsewhere.calls.empty(); })) << process.log();
}

// An error that is not transient.
TEST(StartupBackoff, EndsAtOnceWithTheErrorsNameWhereItIsNotTransient) {
  ProcessSite site;
  std::string config = site.config();
  const std::string listen = "127.0.0.1:0";
  config.replace(config.find(listen), listen.size(), "192.0.2.1:5432");
  Process process(config);
  ASSERT_TRUE(site.until([&] { return process.over(); }));
  EXPECT_EQ(process.status(), 1);
  EXPECT_TRUE(process.says("'listen'")) << process.log();
  EXPECT_TRUE(process.says("Cannot assign requested address")) << process.log();
  EXPECT_FALSE(process.says("is tried again")) << process.log();
}

// The message names the system error and does not blame the address.
TEST(StartupBackoff, EndsAfterTheRetryTimeWithTheErrorsName) {
  ProcessSite site;
  Process process(site.config(), {}, failing("socket=1"));
  ASSERT_TRUE(site.until([&] { return process.over(); }));
  EXPECT_EQ(process.status(), 1);
  EXPECT_TRUE(process.says("is tried again")) << process.log();
  EXPECT_FALSE(process.says("holds an address that can't be had")) << process.log();
}

}  // namespace
}  // namespace heathflow::test
