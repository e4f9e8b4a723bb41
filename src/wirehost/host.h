// Hosts many instances: hands each its own events and gathers their actions into one reply.
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
  // Takes the body of one batch, gives the reply frame. Throws FrameError or SettingsError.
  const std::string& handle(const BatchHeader& header, std::string_view body);

 private:
  struct Instance {
    InstanceSettings settings;
    RoutingPolicy logic;
  };
  struct Context;

  void start(const InitRecord& record);
  void apply(const Event& event);
  void reply();
  const ListRecord& listNumbered(std::uint32_t buffer) const;

  std::map<std::uint32_t, Instance> instances_;
  std::map<std::uint32_t, ListRecord> lists_;
  std::vector<Action> actions_;
  ReplyWriter writer_;
  Micros now_ = 0;
  std::uint32_t current_ = 0;
  bool named_ = false;          // a 'for' has been seen in this batch
  bool answering_ = false;      // the reply's last 'at' names the current instance
  std::uint32_t answered_ = 0;  // whom that 'at' names
};

}  // namespace heathflow::wirehost
