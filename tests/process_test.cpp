// Runs the built program: its configuration, and the signals that it handles.
#include <gtest/gtest.h>
#include <signal.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "process_rig.h"
#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

std::size_t linesOf(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

TEST(ProgramStart, EndsOnABadConfigurationWithOneLine) {
  ProcessRig rig;
  const std::string good = rig.config();
  const auto without = [&](const std::string& part, const std::string& replacement) {
    std::string text = good;
    const std::size_t at = text.find(part);
    EXPECT_NE(at, std::string::npos) << part;
    return text.replace(at, part.size(), replacement);
  };
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"not json", "JSON"},
      {without("\"listen\":\"127.0.0.1:0\",", ""), "'listen'"},
      {without("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"nowhere\""), "'listen'"},
      {without("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"xyz\""), "'seed'"},
      {without("\"memory_mb\":192", "\"memory_mb\":-1"), "'memory_mb'"},
      {without("\"sockets\":256", "\"sockets\":\"many\""), "'sockets'"},
      {without("\"known\":{\"revision\":1,", "\"known\":{"), "'known'"},
      {without("\"MaxAttempts\":10,", ""), "'MaxAttempts'"},
      {without("\"settings\":{", "\"other\":{"), "'settings'"},
  };
  for (const auto& [config, key] : cases) {
    Process process(config);
    ASSERT_TRUE(rig.until([&] { return process.over(); })) << key;
    EXPECT_GT(process.status(), 0) << key;
    EXPECT_TRUE(process.says(key)) << process.log();
    EXPECT_EQ(linesOf(process.log()), 1U) << process.log();
  }
}

TEST(ProgramStart, LogsThatItsAddressIsInUse) {
  ProcessRig rig;
  std::string config = rig.config();
  const std::string listen = "127.0.0.1:0";
  config.replace(config.find(listen), listen.size(), rig.endpoint.address());
  Process process(config);
  ASSERT_TRUE(rig.until([&] { return process.over(); }));
  EXPECT_GT(process.status(), 0);
  EXPECT_TRUE(process.says("'listen'"));
}

TEST(ProgramSignals, TermServesRequestsInFlightAndEndsInOrder) {
  ProcessRig rig;
  Line* pending = nullptr;
  rig.endpoint.answer = [&](Line& line, const std::string&) { pending = &line; };
  Process process(rig.config());
  ASSERT_TRUE(rig.until([&] { return process.says("serves at"); }));
  ClientStandIn client(rig.loop, process.socketAddress());
  client.ask(request("save", "1"));
  ASSERT_TRUE(rig.until([&] { return pending != nullptr; }));
  process.signal(SIGTERM);
  ASSERT_TRUE(rig.until([&] { return process.says("shutting down"); }));
  EXPECT_FALSE(process.over());
  pending->say(rig.endpoint.value("the last"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "the last");
  ASSERT_TRUE(rig.until([&] { return process.over(); }));
  EXPECT_EQ(process.status(), 0);
  EXPECT_TRUE(process.says("requests: accepted=1 served=1 rejected=0 failed=0 cancelled=0"));
}

// Guards against a kill after SIGTERM while a request in flight has no answer.
TEST(ProgramSignals, TermAnswersRequestsThatNoEndpointAnswersInTime) {
  ProcessRig rig;
  bool received = false;
  rig.endpoint.answer = [&](Line&, const std::string&) { received = true; };
  Process process(rig.config());
  ASSERT_TRUE(rig.until([&] { return process.says("serves at"); }));
  ClientStandIn unsafe(rig.loop, process.socketAddress());
  unsafe.ask(request("save", "1"));
  ASSERT_TRUE(rig.until([&] { return received; }));
  process.signal(SIGTERM);
  ASSERT_TRUE(unsafe.answered());
  EXPECT_EQ(unsafe.types(), "EZ");
  EXPECT_NE(unsafe.code(), "53300");
  ASSERT_TRUE(rig.until([&] { return process.over(); }));
  EXPECT_EQ(process.status(), 0);
}

TEST(ProgramSignals, Usr1PrintsTheCountersAndPipeIsIgnored) {
  ProcessRig rig;
  Process process(rig.config());
  ASSERT_TRUE(rig.until([&] { return process.says("serves at"); }));
  process.signal(SIGPIPE);
  ClientStandIn client(rig.loop, process.socketAddress());
  client.ask(request("save", "1"));
  ASSERT_TRUE(client.answered());
  process.signal(SIGUSR1);
  ASSERT_TRUE(rig.until([&] { return process.says("descriptors: now="); }));
  EXPECT_TRUE(process.says("requests: accepted=1 served=1"));
  EXPECT_TRUE(process.says("attempts: started=1 written=1 ok=1"));
  EXPECT_FALSE(process.over());
}

// The address of discovery changes: the pending call is closed, the complete list is requested at the new
// address, and a request in flight is served.
TEST(ProgramSignals, HupMovesDiscoveryAndCostsNoRequest) {
  ProcessRig rig;
  Line* pending = nullptr;
  rig.endpoint.answer = [&](Line& line, const std::string&) { pending = &line; };
  Process process(rig.config());
  ASSERT_TRUE(rig.until([&] { return process.says("serves at") && rig.discovery.waiting != nullptr; }));
  ClientStandIn client(rig.loop, process.socketAddress());
  client.ask(request("save", "1"));
  ASSERT_TRUE(rig.until([&] { return pending != nullptr; }));
  EndpointStandIn added(rig.loop, kLoopback + 1);
  added.primary = true;
  DiscoveryStandIn second(rig.loop);
  second.endpoints = "[" + entry("m1", added.address(), true) + "]";
  process.configure(configText({}, second.address(), rig.discovery.endpoints));
  process.signal(SIGHUP);
  ASSERT_TRUE(rig.until([&] { return second.waiting != nullptr; }));
  EXPECT_EQ(second.calls[0], "GET /v1/endpoints HTTP/1.1") << "the complete list";
  EXPECT_TRUE(rig.until([&] { return rig.discovery.openLines() == 0; }));
  pending->say(rig.endpoint.value("as it was"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "as it was");
  client.ask(request("save", "2"));
  ASSERT_TRUE(client.answered(2));
  EXPECT_EQ(client.value(1), "from " + added.address());
  // A second reload right before the shutdown.
  DiscoveryStandIn third(rig.loop);
  third.endpoints = second.endpoints;
  process.configure(configText({}, third.address(), rig.discovery.endpoints));
  process.signal(SIGHUP);
  ASSERT_TRUE(rig.until([&] { return third.waiting != nullptr; }));
  process.signal(SIGTERM);
  ASSERT_TRUE(rig.until([&] { return process.over(); }));
  EXPECT_EQ(process.status(), 0);
}

TEST(ProgramSignals, HupWithAFileThatCanNotBeUsedChangesNothing) {
  ProcessRig rig;
  Process process(rig.config());
  ASSERT_TRUE(rig.until([&] { return process.says("serves at") && rig.discovery.waiting != nullptr; }));
  const std::size_t calls = rig.discovery.calls.size();
  DiscoveryStandIn second(rig.loop);
  std::string lacking = configText({}, second.address(), rig.discovery.endpoints);
  const std::string key = "\"MaxAttempts\":10,";
  lacking.erase(lacking.find(key), key.size());
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"{", "JSON"}, {lacking, "'MaxAttempts'"}, {"", "JSON"}};
  std::size_t lines = linesOf(process.log());
  for (const auto& [text, mark] : cases) {
    process.configure(text);
    process.signal(SIGHUP);
    ASSERT_TRUE(rig.until([&] { return linesOf(process.log()) > lines; })) << mark;
    EXPECT_EQ(linesOf(process.log()), ++lines) << process.log();
    const std::size_t last = process.log().rfind("configuration reload rejected, keeping the previous one");
    ASSERT_NE(last, std::string::npos) << process.log();
    EXPECT_NE(process.log().find(mark, last), std::string::npos) << process.log();
  }
  process.removeConfiguration();
  process.signal(SIGHUP);
  ASSERT_TRUE(rig.until([&] { return linesOf(process.log()) > lines; }));
  EXPECT_TRUE(process.says("NODE_CONFIG"));
  ClientStandIn client(rig.loop, process.socketAddress());
  client.ask(request("save", "1"));
  EXPECT_TRUE(client.answered());
  EXPECT_TRUE(second.calls.empty());
  EXPECT_EQ(rig.discovery.calls.size(), calls) << "the watch stays open";
}

TEST(ProgramSignals, ARestartBindsTheSameAddressAtOnce) {
  ProcessRig rig;
  auto first = std::make_unique<Process>(rig.config());
  ASSERT_TRUE(rig.until([&] { return first->says("serves at"); }));
  const transport::SocketAddress socketAddress = first->socketAddress();
  ClientStandIn client(rig.loop, socketAddress);
  client.ask(request("save", "1"));
  ASSERT_TRUE(client.answered());
  first->signal(SIGKILL);
  ASSERT_TRUE(rig.until([&] { return first->over(); }));
  EXPECT_TRUE(client.gone());
  std::string config = rig.config();
  const std::string listen = "127.0.0.1:0";
  config.replace(config.find(listen), listen.size(), toText(socketAddress));
  Process second(config);
  ASSERT_TRUE(rig.until([&] { return second.says("serves at") || second.over(); }));
  ClientStandIn again(rig.loop, socketAddress);
  again.ask(request("save", "2"));
  EXPECT_TRUE(again.answered());
  EXPECT_EQ(again.types(), "TDCZ");
}

}  // namespace
}  // namespace heathflow::test
