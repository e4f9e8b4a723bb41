// The program's command line, and a gateway with a settings file.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "program_process.h"
#include "standins/gateway_rig.h"
#include "standins/temporary_file.h"

namespace heathflow::test {
namespace {

struct CommandResult {
  std::string output;  // of both streams
  int status = 0;
};

CommandResult run(const std::string& arguments) {
  const std::string command = "env -u NODE_CONFIG " HEATHFLOW_PROGRAM " " + arguments + " 2>&1";
  std::FILE* pipe = ::popen(command.c_str(), "r");
  std::string output;
  std::array<char, 512> bytes{};
  while (std::fgets(bytes.data(), bytes.size(), pipe) != nullptr) output += bytes.data();
  const int status = ::pclose(pipe);
  return {output, WIFEXITED(status) ? WEXITSTATUS(status) : -1};
}

TEST(CommandLine, PrintsVersionAndUsage) {
  EXPECT_EQ(run("--version").status, 0);
  EXPECT_EQ(run("--version").output.substr(0, 10), "heathflow ");
  const auto [help, status] = run("--help");
  EXPECT_EQ(status, 0);
  for (const char* mark : {"serve", "check-config", "64 usage error"})
    EXPECT_NE(help.find(mark), std::string::npos) << mark;
  EXPECT_EQ(run("unknown-command").status, 64);
  EXPECT_EQ(run("check-config").status, 64);
  EXPECT_EQ(run("serve --unknown-option red").status, 64);
}

TEST(CommandLine, LogsAMissingConfiguration) {
  for (const char* arguments : {"", "serve"}) {
    const auto [output, status] = run(arguments);
    EXPECT_EQ(status, 2);
    EXPECT_EQ(output, "heathflow: the environment variable NODE_CONFIG is not set\n");
  }
}

TEST(CommandLine, ChecksSettingsFiles) {
  EXPECT_EQ(run("check-config " HEATHFLOW_SOURCE "/deploy/heathflow.xml").status, 0);
  const TemporaryFile bad(
      "<heathflow xmlns=\"urn:heathflow:settings:1\" version=\"1\">\n<log "
      "form=\"x\"/>\n<log/>\n</heathflow>");
  const auto [output, status] = run("check-config " + bad.path());
  EXPECT_EQ(status, 2);
  EXPECT_NE(output.find(bad.path() + ":2: element 'log'"), std::string::npos) << output;
  EXPECT_NE(output.find(bad.path() + ":3: element 'log'"), std::string::npos) << output;
  EXPECT_EQ(run("serve --config " + bad.path()).status, 2);
  EXPECT_EQ(run("check-config /no/such.xml").status, 2);
}

TEST(CommandLine, ServesBoltBesideThePlatformsListenerWithLogsAsJson) {
  transport::EventLoop loop;
  DiscoveryStandIn discovery(loop);
  EndpointStandIn rows(loop, kLoopback + 1);
  EndpointStandIn graph(loop, kLoopback + 1, Speaks::Bolt);
  rows.primary = graph.primary = true;
  discovery.endpoints = "[" +
                        entry("m0", rows.address(), true, "Ready", 0,
                              ",\"ports\":{\"bolt\":" + std::to_string(graph.socketAddress().port) + "}") +
                        "]";
  const TemporaryFile settings(R"(<heathflow xmlns="urn:heathflow:settings:1" version="1">
    <log form="json"/>
    <listeners><listener name="graph" address="127.0.0.1:0" protocol="bolt">
      <defaults read-class="any" write-class="save" family="terms"/></listener></listeners>
    <families><family name="terms" cluster="0">
      <protocol name="postgresql" listed="true"/><protocol name="bolt"/></family></families>
  </heathflow>)");
  Process process(configText({}, discovery.address(), discovery.endpoints),
                  {"serve", "--config", settings.path()});
  const auto until = [&](auto&& condition) { return test::until(loop, condition); };
  const auto addressAfter = [&](const std::string& mark) {
    const std::size_t at = process.log().find(mark) + mark.size();
    return transport::parseSocketAddress(process.log().substr(at, process.log().find('"', at) - at)).value();
  };
  ASSERT_TRUE(until([&] { return process.says("speaks bolt at ") || process.over(); }));
  ASSERT_FALSE(process.over()) << process.log();
  EXPECT_EQ(process.log().substr(0, 9), "{\"time\":\"");
  ClientStandIn client(loop, ProtocolAddress(addressAfter("speaks bolt at "), Speaks::Bolt));
  client.ask(request("save", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "from " + graph.address());
  ClientStandIn other(loop, ProtocolAddress(addressAfter("serves at ")));
  other.ask(request("save", "2"));
  ASSERT_TRUE(other.answered());
  EXPECT_EQ(other.value(), "from " + rows.address());
  // Guards against text from a client that forges a log line.
  other.forget();
  other.ask("SELECT 1 /* \"\n{\"level\":\"none\"} */");
  ASSERT_TRUE(other.answered());
  ASSERT_TRUE(until([&] { return process.says("can't be read"); }));
  EXPECT_TRUE(process.says("\"topic\":\"downstream\",\"connection\":2,\"protocol\":\"postgresql\",\"text\":"))
      << process.log();
  process.signal(SIGTERM);
  ASSERT_TRUE(until([&] { return process.over(); }));
  EXPECT_EQ(process.status(), 0);
}

}  // namespace
}  // namespace heathflow::test
