// System calls transfer only a part of the bytes, or are interrupted. The rest must not wait for the next
// event.
#include <gtest/gtest.h>
#include <signal.h>

#include "faults.h"
#include "program/signals.h"
#include "program_process.h"
#include "race_test.h"
#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

class ShortTransfer : public ConnectionRace {};
INSTANTIATE_TEST_SUITE_P(Protocols, ShortTransfer, kBothProtocols, protocolName);

// Guards against never reading the rest after a short read, because the loop is edge-triggered.
TEST_P(ShortTransfer, AnswersEveryRequestWhereEveryTransferIsShort) {
  GatewayRig rig(speaking());
  const ScopedFaultPlan faults(planOf("seed=3;short-read=1;short-write=1;interrupt=0.2;interrupt-io=0.2"));
  ClientStandIn client(rig.loop, rig.socketAddress);
  for (int i = 0; i < 20; ++i) client.ask(request("any", "id" + std::to_string(i)));
  EXPECT_TRUE(client.answered(20));
  EXPECT_EQ(rig.counters().requestsServed, 20U);
  EXPECT_GT(faultshim::injectedCount(Fault::ShortRead), 0U);
}

TEST_P(ShortTransfer, AnswersEveryRequestWhereFewReadsAreShort) {
  GatewayRig rig(speaking());
  const ScopedFaultPlan faults(planOf("seed=11;short-read=0.1"));
  std::vector<std::unique_ptr<ClientStandIn>> clients;
  for (int i = 0; i < 8; ++i) clients.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
  for (int round = 0; round < 10; ++round) {
    for (std::size_t i = 0; i < clients.size(); ++i)
      clients[i]->ask(request("any", "id" + std::to_string(round) + "-" + std::to_string(i)));
  }
  for (const auto& client : clients) EXPECT_TRUE(client->answered(10));
  EXPECT_EQ(rig.counters().requestsServed, 80U);
}

// Guards against a change of the list that arrives in two parts and waits for the next change.
TEST(ShortRead, LosesNoChangeOfTheList) {
  GatewayRig rig;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const auto before = rig.counters().listUpdatesApplied;
  const ScopedFaultPlan faults(planOf("seed=2;short-read=1"));
  rig.discovery.tell("[" + rig.entryOf(1, "Terminating") + "]");
  EXPECT_TRUE(rig.until([&] { return rig.counters().listUpdatesApplied > before; }));
}

// Guards against a lost signal, because its descriptor is watched edge-triggered.
TEST(Signals, AreHandledWhereTheReadIsInterrupted) {
  transport::EventLoop loop;
  std::vector<int> got;
  program::Signals signals(loop, [&](int number) { got.push_back(number); });
  const ScopedFaultPlan faults(planOf("interrupt-io=1#3"));
  ::kill(::getpid(), SIGUSR1);
  EXPECT_TRUE(until(loop, [&] { return !got.empty(); }));
  EXPECT_EQ(got, std::vector<int>{SIGUSR1});
}

}  // namespace
}  // namespace heathflow::test
