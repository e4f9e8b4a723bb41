#include "emulator/protocol_only_gateway.h"

#include <stdexcept>

namespace heathflow::emulator {
namespace {

// All gateways of a process share the loop's buffer budget, and each sets it to its own memory limit.
constexpr std::size_t kSharedMemory = std::size_t{8} << 30;

}  // namespace

ProtocolOnlyGateway::ProtocolOnlyGateway(transport::EventLoop& loop, const std::string& configuration)
    : loop_(loop), config_(program::parseConfig(configuration)) {
  config_.memory = kSharedMemory;
}

void ProtocolOnlyGateway::start() {
  kill();
  observer_ = std::make_unique<SilentObserver>();
  gateway_ = std::make_unique<program::Gateway>(loop_, config_, *observer_);
  if (const auto error = gateway_->listen()) throw std::runtime_error(error->text);
  gateway_->start();
}

}  // namespace heathflow::emulator
