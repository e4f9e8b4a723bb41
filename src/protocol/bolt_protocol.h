// Bolt as a protocol of the gateway.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "protocol/bolt_client.h"
#include "protocol/bolt_server.h"
#include "protocol/wire.h"

namespace heathflow::protocol {

class BoltProtocol final : public Protocol {
 public:
  BoltProtocol(BoltListenerSettings settings, BoltLogin login)
      : settings_(std::move(settings)), login_(std::move(login)) {}

  std::string_view name() const override { return "bolt"; }
  std::unique_ptr<ClientSide> makeClientSide() const override {
    return std::make_unique<BoltServer>(settings_);
  }
  std::unique_ptr<EndpointSide> makeEndpointSide() const override {
    return std::make_unique<BoltClient>(login_);
  }
  void setListenAddress(const std::string& address) override {
    if (settings_.advertised.empty()) settings_.advertised = address;
  }

 private:
  mutable BoltListenerSettings settings_;  // also counts the connections
  BoltLogin login_;
};

}  // namespace heathflow::protocol
