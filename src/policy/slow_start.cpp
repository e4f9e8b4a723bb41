#include "policy/slow_start.h"

#include <algorithm>

namespace heathflow::policy {
namespace {

// The share of PolicySettings::overloadMultiple that this gateway uses, and the maximum of the product.
constexpr double kAllowanceShare = 0.7;
constexpr double kMaxAllowance = 1.5;
constexpr double kFullCapacityWorkGain = 0.01;

// Growth of this gateway's share of an endpoint in slow start. An answer is in time within this multiple of
// its expected latency.
constexpr double kInTimeMultiple = 2;
constexpr double kGrowthPerWindow = 0.5;
constexpr double kMaxGrowth = 4;
constexpr double kGrowthDecreaseFactor = 0.7;

}  // namespace

Micros SlowStart::startOf(const EndpointState& endpoint) const {
  if (endpoint.outlier.isPresumedDead()) return context_.now();
  return std::max(endpoint.info.startedAt, endpoint.outlier.returnedAt());
}

double SlowStart::capacityShare(const EndpointState& endpoint) const {
  const PolicySettings& settings = context_.settings();
  const Micros startedAt = startOf(endpoint);
  if (startedAt <= 0 || settings.slowStartDuration <= 0) return 1;
  const auto age = toDouble(std::max<Micros>(0, context_.now() - startedAt));
  const double progress = std::min(1.0, age / toDouble(settings.slowStartDuration));
  return settings.slowStartInitialShare + (1 - settings.slowStartInitialShare) * progress;
}

// 1. The work that endpoints with their full capacity answer for this gateway is its share of their capacity.
//    The work that it sends to one in slow start, including rejected work, keeps that proportion.
// 2. If that is less than one request per window, single light requests are spaced out.
// 3. A gateway with little traffic uses an equal share of the capacity of one core of the endpoint.
// 4. The delay of the first request is scaled by the endpoint's preference, which differs between gateways.
bool SlowStart::admits(const EndpointState& endpoint, double work) const {
  const double capacity = capacityShare(endpoint);
  if (capacity >= 1) return true;
  const PolicySettings& settings = context_.settings();
  const SlowStartState& state = endpoint.slowStart;
  const auto window = toDouble(context_.overloadWindow());
  const double allowance = std::min(kMaxAllowance, kAllowanceShare * settings.overloadMultiple) * capacity *
                           fullCapacityWork_.value();
  if (state.sentWork.valueAt(context_.now(), context_.overloadWindow()) + work <= allowance) return true;
  if (endpoint.inFlight.requests > 0 || work > kHeavyWork) return false;

  const double oneCoreCapacity =
      settings.overloadMultiple * capacity * window / latency_.fullCapacityLatency();
  const double share =
      state.growth * std::max(allowance, kAllowanceShare * oneCoreCapacity / settings.gatewayCount);
  const Micros startedAt = startOf(endpoint);
  const bool first = state.sentWork.updatedAt() < startedAt;
  const Micros sinceLast = context_.now() - std::max(startedAt, state.sentWork.updatedAt());
  return toDouble(sinceLast) >= (first ? endpoint.preference : 1) * window * work / share;
}

void SlowStart::observeAnswer(const EndpointState& endpoint, double work) {
  if (capacityShare(endpoint) < 1) return;
  EndpointGroup& group = registry_.groupOf(endpoint.info.group);
  const auto atFullCapacity =
      std::count_if(group.endpoints.begin(), group.endpoints.end(), [this](EndpointId id) {
        const EndpointState& other = registry_.at(id);
        return other.listing.usable && capacityShare(other) >= 1;
      });
  const double answered = group.answeredWork.valueAt(context_.now(), context_.overloadWindow());
  fullCapacityWork_.add(answered / static_cast<double>(std::max<long>(1, atFullCapacity)),
                        kFullCapacityWorkGain);
  group.answeredWork.add(work, context_.now(), context_.overloadWindow());
}

void SlowStart::adjust(EndpointState& endpoint, Response response, Micros elapsed, double work) const {
  SlowStartState& state = endpoint.slowStart;
  const double capacity = capacityShare(endpoint);
  const double latencyRatio = toDouble(elapsed) * capacity / (latency_.fullCapacityLatency() * work);
  const double sinceAdjusted =
      toDouble(context_.now() - state.adjustedAt) / toDouble(context_.overloadWindow());
  const double step = kGrowthPerWindow * std::min(1.0, sinceAdjusted);
  if (response == Response::NotServed || response == Response::Slow || capacity >= 1)
    state.growth = 1;
  else if (response == Response::Failed || latencyRatio > kInTimeMultiple)
    state.growth = std::max(1.0, kGrowthDecreaseFactor * state.growth);
  else
    state.growth = std::min(kMaxGrowth, (1 + step) * state.growth);
  state.adjustedAt = context_.now();
}

}  // namespace heathflow::policy
