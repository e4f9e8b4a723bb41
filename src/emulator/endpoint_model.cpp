#include "emulator/endpoint_model.h"

#include <algorithm>

#include "common/uniform.h"
#include "emulator/units.h"

namespace heathflow::emulator {
namespace {

// The cost of a request is distributed uniformly: from this share of the mean cost, over this range.
constexpr double kMinCostShare = 0.5, kCostShareRange = 1.0;

}  // namespace

void EndpointModel::start(Micros now) {
  alive_ = true;
  startedAt_ = now;
  nextAcceptAt_ = now;
  connections_ = 0;
  std::fill(slotFreeAt_.begin(), slotFreeAt_.end(), now);
  queuedUntil_.clear();
}

void EndpointModel::stop(Micros now) {
  alive_ = false;
  replicationStoppedAt_ = position(now);
  primary_ = false;
  connections_ = 0;
}

double EndpointModel::speedShare(Micros now) const {
  if (startedAt_ == 0 || costs_.slowStartDuration <= 0) return 1;
  const double age = static_cast<double>(std::max<Micros>(0, now - startedAt_));
  const double share = std::min(1.0, age / static_cast<double>(costs_.slowStartDuration));
  return costs_.slowStartInitialShare + (1 - costs_.slowStartInitialShare) * share;
}

double EndpointModel::capacity(Micros now) const {
  return speedShare(now) * costs_.slots * static_cast<double>(kMicrosPerSecond) /
         static_cast<double>(std::max<Micros>(1, costs_.service));
}

EndpointModel::ConnectResult EndpointModel::connect(Micros now) {
  connects_.add(now);
  nextAcceptAt_ = std::max(nextAcceptAt_, now) + costs_.accept;
  const bool accepted = connections_ < costs_.connections;
  accepted ? ++accepted_ : ++rejected_;
  if (accepted) ++connections_;
  return {accepted, nextAcceptAt_};
}

void EndpointModel::disconnected() { connections_ -= connections_ > 0 ? 1 : 0; }

EndpointModel::RequestOutcome EndpointModel::request(Micros now, bool write) {
  RequestOutcome out;
  out.at = now;
  out.position = position(now);
  while (!queuedUntil_.empty() && queuedUntil_.front() <= now) queuedUntil_.pop_front();
  if (write && !primary_) {
    out.kind = RequestOutcome::Kind::NotPrimary;
  } else if (queuedUntil_.size() >= costs_.queue) {
    out.kind = RequestOutcome::Kind::Full;
  } else {
    const auto slot = std::min_element(slotFreeAt_.begin(), slotFreeAt_.end());
    const Micros begin = std::max(now, *slot);
    const double draw = uniformUnit(random_());
    const double cost =
        (kMinCostShare + kCostShareRange * draw) * static_cast<double>(costs_.service) / speedShare(begin);
    if (begin > now) queuedUntil_.push_back(begin);
    *slot = begin + static_cast<Micros>(cost);
    out.at = *slot;
  }
  return out;
}

bool EndpointModel::hasCapacity(Micros now) const {
  return alive_ && *std::min_element(slotFreeAt_.begin(), slotFreeAt_.end()) <= now;
}

void EndpointModel::becomePrimary() {
  primary_ = true;
  replicationStoppedAt_ = 0;
}
void EndpointModel::stopReplication(Micros now) {
  if (replicationStoppedAt_ == 0) replicationStoppedAt_ = position(now);
}
void EndpointModel::resumeReplication() { replicationStoppedAt_ = 0; }

Micros EndpointModel::position(Micros now) const {
  if (replicationStoppedAt_ != 0) return replicationStoppedAt_;
  return primary_ ? now : now - costs_.lag;
}

}  // namespace heathflow::emulator
