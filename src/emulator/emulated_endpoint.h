// An emulated endpoint on loopback: the PostgreSQL protocol around an EndpointModel. It reports the attempts
// that it receives to the judge.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "emulator/delayed_actions.h"
#include "emulator/endpoint_model.h"
#include "emulator/judge.h"
#include "standins/standins.h"
#include "transport/event_loop.h"

namespace heathflow::emulator {

class EmulatedEndpoint {
 public:
  EmulatedEndpoint(transport::EventLoop& loop, std::string name, std::uint32_t group,
                   const EndpointCosts& costs, bool primary, std::uint64_t seed, Judge& judge);

  const std::string& name() const { return name_; }
  std::uint32_t group() const { return group_; }
  std::string address() const { return server_.address(); }
  EndpointModel& model() { return model_; }
  const EndpointModel& model() const { return model_; }
  std::int64_t startedAt() const { return startedAt_; }  // 0: up since before the play
  std::uint64_t healthChecks() const { return server_.healthChecks; }

  // Stops the endpoint: its connections break, and new ones are reset.
  void stop();
  // Starts the endpoint, or restarts it if it is up; it is then in slow start.
  void start();
  // While it drains, the endpoint rejects health checks and still serves requests.
  void setDraining(bool draining) { draining_ = draining; }

 private:
  void onConnect(test::Line& line);
  void onStatement(test::Line& line, const std::string& statement);
  void onHealthCheck(test::Line& line);
  void onReadinessCheck(test::Line& line);
  // Sends bytes at a later time, unless the endpoint is stopped or the connection ends before.
  void sendAt(Micros at, test::Line& line, std::function<std::string()> what, bool thenClose = false);

  transport::EventLoop& loop_;
  std::string name_;
  std::uint32_t group_;
  EndpointModel model_;
  Judge& judge_;
  test::EndpointStandIn server_;
  DelayedActions delayedActions_;
  std::int64_t startedAt_ = 0;
  bool stopped_ = false;
  bool draining_ = false;
};

}  // namespace heathflow::emulator
