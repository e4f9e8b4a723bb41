// Runs many instances of the routing policy: passes each its events and collects their actions in one reply.
#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "policy/routing_policy.h"
#include "settings/settings.h"
#include "wirehost/codec.h"

namespace heathflow::wirehost {

using settings::InstanceSettings;
using settings::parseSettings;

class Host {
 public:
  // Handles the body of one batch and returns the reply frame. Throws FrameError or SettingsError.
  const std::string& handle(const BatchHeader& header, std::string_view body);

 private:
  struct Instance {
    InstanceSettings settings;
    RoutingPolicy policy;
  };

  void handleEvent(const Record& record);
  void startInstance(const StartInstanceRecord& record);
  void apply(const Event& event);
  void writeActions();
  EndpointsChanged endpointsChangedOf(const EndpointsChangedRecord& record) const;
  const EndpointListRecord& findList(std::uint32_t listId) const;

  std::map<std::uint32_t, Instance> instances_;
  std::map<std::uint32_t, EndpointListRecord> lists_;
  std::vector<Action> actions_;
  ReplyWriter writer_;
  Micros now_ = 0;
  std::uint32_t currentInstance_ = 0;
  bool instanceSelected_ = false;      // this batch has selected an instance
  bool replySelectsInstance_ = false;  // the reply has selected an instance
  std::uint32_t replyInstance_ = 0;    // the instance that the reply selected last
};

}  // namespace heathflow::wirehost
