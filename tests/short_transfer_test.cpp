// System calls that move a part of what there is, or are interrupted: nothing may wait for more to come.
#include <gtest/gtest.h>
#include <signal.h>

#include "crossing.h"
#include "faults.h"
#include "program/signals.h"
#include "program_process.h"
#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

class ShortTransfer : public ClosingRule {};
INSTANTIATE_TEST_SUITE_P(Protocols, ShortTransfer, kBoth, nameOf);

// Edge-triggered, what a short read leaves behind is never announced again.
TEST_P(ShortTransfer, LeavesNoRequestUnansweredWhereEveryReadAndWriteIsShort) {
  GatewayRig rig(speaking());
  const InForce faults(planOf("seed=3;short-read=1;short-write=1;interrupt=0.2;interrupt-io=0.2"));
  ClientStandIn client(rig.loop, rig.socketAddress);
  for (int i = 0; i < 20; ++i) client.ask(request("any", "id" + std::to_string(i)));
  EXPECT_TRUE(client.answered(20));
  EXPECT_EQ(rig.counters().requestsServed, 20U);
  EXPECT_GT(faultshim::struck(Fault::ShortRead), 0U);
}

TEST_P(ShortTransfer, LeavesNoRequestUnansweredWhereFewReadsAreShort) {
  GatewayRig rig(speaking());
  const InForce faults(planOf("seed=11;short-read=0.1"));
  std::vector<std::unique_ptr<ClientStandIn>> clients;
  for (int i = 0; i < 8; ++i) clients.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
  for (int round = 0; round < 10; ++round) {
    for (std::size_t i = 0; i < clients.size(); ++i)
      clients[i]->ask(request("any", "id" + std::to_string(round) + "-" + std::to_string(i)));
  }
  for (const auto& client : clients) EXPECT_TRUE(client->answered(10));
  EXPECT_EQ(rig.counters().requestsServed, 80U);
}

// The watch's answer comes in two pieces: the change in it must not wait for the next one.
TEST(ShortRead, LeavesNoChangeOfTheListUnread) {
  GatewayRig rig;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const auto before = rig.counters().listsTaken;
  const InForce faults(planOf("seed=2;short-read=1"));
  rig.discovery.tell("[" + rig.entryOf(1, "Terminating") + "]");
  EXPECT_TRUE(rig.until([&] { return rig.counters().listsTaken > before; }));
}

// A signal's descriptor is announced once.
TEST(Signals, AreTakenWhereTheReadIsInterrupted) {
  transport::EventLoop loop;
  std::vector<int> got;
  program::Signals signals(loop, [&](int number) { got.push_back(number); });
  const InForce faults(planOf("interrupt-io=1#3"));
  ::kill(::getpid(), SIGUSR1);
  EXPECT_TRUE(until(loop, [&] { return !got.empty(); }));
  EXPECT_EQ(got, std::vector<int>{SIGUSR1});
}

}  // namespace
}  // namespace heathflow::test
