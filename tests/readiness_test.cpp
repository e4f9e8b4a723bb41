// A starting process is ready with the list in its configuration, whatever the list service does: it answers
// an empty query, which the platform's front end waits for, and serves requests.
#include <gtest/gtest.h>

#include <functional>

#include "program_process.h"
#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

// The behavior of the list service on every call.
enum class Discovery { Silent, Unreachable, Overloaded, Resets, StopsHalfway };

struct Start {
  Discovery discovery;
  const char* lists;  // the setting 'Discovery': "ask" or "push"
};

class Readiness : public testing::TestWithParam<Start> {
 protected:
  // Answers according to the parameter; a silent service accepts connections and sends nothing.
  void act(Line& line) {
    switch (GetParam().discovery) {
      case Discovery::Silent:
      case Discovery::Unreachable:
        return;
      case Discovery::Overloaded:
        return line.say(DiscoveryStandIn::response("", 503));
      case Discovery::Resets:
        return line.hangUp();
      case Discovery::StopsHalfway:
        return line.say("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"revision\":2,\"complete\":true,");
    }
  }
};

class ScriptedDiscovery final : public Listening {
 public:
  ScriptedDiscovery(transport::EventLoop& loop, std::function<void(Line&)> act)
      : Listening(loop), act_(std::move(act)) {
    resets = true;
  }

 private:
  void onLineInput(Line& line) override { act_(line); }
  std::function<void(Line&)> act_;
};

TEST_P(Readiness, DoesNotWaitForDiscovery) {
  transport::EventLoop loop;
  EndpointStandIn endpoint(loop, kLoopback);
  endpoint.primary = true;
  ScriptedDiscovery discovery(loop, [this](Line& line) { act(line); });
  if (GetParam().discovery == Discovery::Unreachable) discovery.shut();
  GatewayOptions options;
  options.discovery = GetParam().lists;
  options.gateways = 300;
  Process process(
      configText(options, discovery.address(), "[" + entry("m0", endpoint.address(), true) + "]"));
  // One start, and two restarts after the process was killed.
  for (unsigned incarnation = 1; incarnation <= 3; ++incarnation) {
    ASSERT_TRUE(until(loop, [&] { return process.socketAddress().port != 0; })) << process.log();
    ClientStandIn front(loop, process.socketAddress());
    front.ask("");
    ASSERT_TRUE(front.answered());
    EXPECT_EQ(front.types(), "IZ") << "an empty query";
    front.forget();
    front.ask(request("save", "incarnation" + std::to_string(incarnation)));
    ASSERT_TRUE(front.answered());
    if (std::string(GetParam().lists) == "push") {
      // A pushed list counts from the start, but there is none yet: the request is rejected at once.
      EXPECT_EQ(front.types(), "EZ");
      EXPECT_TRUE(endpoint.statements.empty());
    } else {
      EXPECT_EQ(front.value(), "from " + endpoint.address());
    }
    if (incarnation == 3) break;
    process.kill();
    process.restart();
  }
}

const char* nameOf(Discovery discovery) {
  switch (discovery) {
    case Discovery::Silent:
      return "Silent";
    case Discovery::Unreachable:
      return "Unreachable";
    case Discovery::Overloaded:
      return "Overloaded";
    case Discovery::Resets:
      return "Resets";
    case Discovery::StopsHalfway:
      return "StopsHalfway";
  }
  return "";
}

INSTANTIATE_TEST_SUITE_P(
    Starts, Readiness,
    testing::Values(Start{Discovery::Silent, "ask"}, Start{Discovery::Unreachable, "ask"},
                    Start{Discovery::Overloaded, "ask"}, Start{Discovery::Resets, "ask"},
                    Start{Discovery::StopsHalfway, "ask"}, Start{Discovery::Silent, "push"},
                    Start{Discovery::Unreachable, "push"}, Start{Discovery::Overloaded, "push"}),
    [](const testing::TestParamInfo<Start>& start) {
      return std::string(nameOf(start.param.discovery)) + (start.param.lists[0] == 'a' ? "Polled" : "Pushed");
    });

}  // namespace
}  // namespace heathflow::test
