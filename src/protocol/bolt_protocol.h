// Bolt as routing uses it.
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
  BoltProtocol(BoltListening listening, BoltLogin login)
      : listening_(std::move(listening)), login_(std::move(login)) {}

  std::string_view name() const override { return "bolt"; }
  std::unique_ptr<ClientSide> towardsClient() const override {
    return std::make_unique<BoltServer>(listening_);
  }
  std::unique_ptr<EndpointSide> towardsEndpoint() const override {
    return std::make_unique<BoltClient>(login_);
  }
  void boundTo(const std::string& address) override {
    if (listening_.advertised.empty()) listening_.advertised = address;
  }

 private:
  mutable BoltListening listening_;  // counts its connections
  BoltLogin login_;
};

}  // namespace heathflow::protocol
