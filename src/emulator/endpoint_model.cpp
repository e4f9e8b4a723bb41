#include "emulator/endpoint_model.h"

#include <algorithm>

#include "common/uniform.h"

namespace heathflow::emulator {
namespace {

constexpr Micros kMicrosPerSecond = 1'000'000;
// The cost of a request lies evenly between these shares of the mean.
constexpr double kCostLeast = 0.5, kCostSpan = 1.0;

}  // namespace

void EndpointModel::start(Micros now) {
  alive_ = true;
  startedAt_ = now;
  acceptsAt_ = now;
  connections_ = 0;
  std::fill(free_.begin(), free_.end(), now);
  waiting_.clear();
}

void EndpointModel::die(Micros now) {
  alive_ = false;
  stalledAt_ = position(now);
  primary_ = false;
  connections_ = 0;
}

double EndpointModel::warmth(Micros now) const {
  if (startedAt_ == 0 || costs_.slowStartDuration <= 0) return 1;
  const double age = static_cast<double>(std::max<Micros>(0, now - startedAt_));
  const double share = std::min(1.0, age / static_cast<double>(costs_.slowStartDuration));
  return costs_.slowStartInitialShare + (1 - costs_.slowStartInitialShare) * share;
}

double EndpointModel::capacity(Micros now) const {
  return warmth(now) * costs_.slots * static_cast<double>(kMicrosPerSecond) /
         static_cast<double>(std::max<Micros>(1, costs_.service));
}

EndpointModel::Welcome EndpointModel::connect(Micros now) {
  connects_.add(now);
  acceptsAt_ = std::max(acceptsAt_, now) + costs_.accept;
  const bool taken = connections_ < costs_.connections;
  taken ? ++taken_ : ++turnedAway_;
  if (taken) ++connections_;
  return {taken, acceptsAt_};
}

void EndpointModel::disconnected() { connections_ -= connections_ > 0 ? 1 : 0; }

EndpointModel::Verdict EndpointModel::ask(Micros now, bool write) {
  Verdict out;
  out.at = now;
  out.position = position(now);
  while (!waiting_.empty() && waiting_.front() <= now) waiting_.pop_front();
  if (write && !primary_) {
    out.kind = Verdict::Kind::NotPrimary;
  } else if (waiting_.size() >= costs_.queue) {
    out.kind = Verdict::Kind::Full;
  } else {
    const auto slot = std::min_element(free_.begin(), free_.end());
    const Micros begin = std::max(now, *slot);
    const double luck = uniformUnit(random_());
    const double cost = (kCostLeast + kCostSpan * luck) * static_cast<double>(costs_.service) / warmth(begin);
    if (begin > now) waiting_.push_back(begin);
    *slot = begin + static_cast<Micros>(cost);
    out.at = *slot;
  }
  return out;
}

bool EndpointModel::hasCapacity(Micros now) const {
  return alive_ && *std::min_element(free_.begin(), free_.end()) <= now;
}

void EndpointModel::lead() {
  primary_ = true;
  stalledAt_ = 0;
}
void EndpointModel::stall(Micros now) {
  if (stalledAt_ == 0) stalledAt_ = position(now);
}
void EndpointModel::goOn() { stalledAt_ = 0; }

Micros EndpointModel::position(Micros now) const {
  if (stalledAt_ != 0) return stalledAt_;
  return primary_ ? now : now - costs_.lag;
}

}  // namespace heathflow::emulator
