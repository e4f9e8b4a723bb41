#include "emulator/hollow.h"

#include <stdexcept>

namespace heathflow::emulator {
namespace {

// The buffers of all hollow gateways come from one budget of the loop, which each would set to its own.
constexpr std::size_t kMemoryOfAll = std::size_t{8} << 30;

}  // namespace

HollowGateway::HollowGateway(transport::EventLoop& loop, const std::string& configuration)
    : loop_(loop), config_(program::parseConfig(configuration)) {
  config_.memory = kMemoryOfAll;
}

void HollowGateway::start() {
  end();
  observer_ = std::make_unique<Silent>();
  gateway_ = std::make_unique<program::Gateway>(loop_, config_, *observer_);
  if (const auto error = gateway_->listen()) throw std::runtime_error(error->text);
  gateway_->start();
}

}  // namespace heathflow::emulator
