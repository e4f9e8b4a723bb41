// An emulated endpoint on loopback: PostgreSQL's protocol around a MemberModel, in its own time. It tells the
// judge what it saw.
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
  std::int64_t startedAt() const { return startedAt_; }  // 0: long ago
  std::uint64_t healthChecks() const { return server_.healthChecks; }

  // Its process ends: connections break, new ones are rejected.
  void die();
  // It starts, cold; one that is up starts anew where it stands.
  void start();
  // Whether it turns health checks away, as one does that was told to drain; it goes on serving what it is
  // sent.
  void setDraining(bool draining) { draining_ = draining; }

 private:
  void welcome(test::Line& line);
  void asked(test::Line& line, const std::string& statement);
  void healthChecked(test::Line& line);
  // Says something later, if its life and the connection last as long.
  void sayAt(Micros at, test::Line& line, std::function<std::string()> what, bool thenClose = false);

  transport::EventLoop& loop_;
  std::string name_;
  std::uint32_t group_;
  EndpointModel model_;
  Judge& judge_;
  test::EndpointStandIn server_;
  DelayedActions delayedActions_;
  std::int64_t startedAt_ = 0;
  bool shut_ = false;
  bool draining_ = false;
};

}  // namespace heathflow::emulator
