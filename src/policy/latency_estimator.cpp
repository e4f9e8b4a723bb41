#include "policy/latency_estimator.h"

#include <algorithm>

namespace heathflow::policy {
namespace {

constexpr double kRelativeLatencyGain = 0.1;
constexpr double kRelativeLatencyMax = 20;
constexpr Micros kRelativeLatencyReset = 5 * kSecond;

constexpr double kClassGain = 0.02;
constexpr double kArrivalDecay = 0.999;
// Before there are answers, the work of a class is estimated from its latency objective. The estimate has the
// weight of this many answers.
constexpr double kObjectiveWeightInAnswers = 2;
// Initial latency estimate, as a share of the smallest latency objective.
constexpr double kInitialLatencyShare = 0.04;
// Weight of PolicySettings::initialLatency, in answers.
constexpr double kInitialLatencyWeight = 50;
constexpr double kBoundedLatencyShare = 0.5;

}  // namespace

double RelativeLatency::valueAt(Micros now) const {
  const double age = toDouble(now - updatedAt_) / toDouble(kRelativeLatencyReset);
  return 1 + (value_ - 1) * std::max(0.0, 1 - age);
}

void RelativeLatency::observe(Micros now, double ratio) {
  value_ = valueAt(now);
  value_ += kRelativeLatencyGain * (std::min(ratio, kRelativeLatencyMax) - value_);
  updatedAt_ = now;
}

void RelativeLatency::observeError(Micros now) { observe(now, kRelativeLatencyMax); }

LatencyEstimator::LatencyEstimator(const PolicyContext& context)
    : context_(context),
      latencies_(context.settings().classes.size()),
      arrivals_(context.settings().classes.size()) {
  double estimate = 0;
  for (const RequestClassSettings& requestClass : context.settings().classes) {
    const double classLatency = kInitialLatencyShare * toDouble(requestClass.latencyObjective);
    estimate = estimate > 0 ? std::min(estimate, classLatency) : classLatency;
  }
  fullCapacityLatency_ = MovingAverage(estimate, 0);
  if (const Micros known = context.settings().initialLatency; known > 0)
    fullCapacityLatency_ = MovingAverage(toDouble(known), kInitialLatencyWeight);
}

void LatencyEstimator::observeArrival(std::size_t classIndex) {
  for (double& count : arrivals_) count *= kArrivalDecay;
  arrivals_[classIndex] += 1;
  objectives_.add(toDouble(context_.classAt(classIndex).latencyObjective), kClassGain);
}

void LatencyEstimator::observeAnswer(std::size_t classIndex, Micros elapsed, double capacityShare) {
  latencies_[classIndex].add(toDouble(elapsed), kClassGain);
  latency_.add(toDouble(elapsed), kClassGain);
  fullCapacityLatency_.add(toDouble(elapsed) * capacityShare, kClassGain);
}

double LatencyEstimator::boundedLatencyOf(std::size_t classIndex) const {
  const Micros objective = context_.classAt(classIndex).latencyObjective;
  return std::min(latencies_[classIndex].value(), kBoundedLatencyShare * toDouble(objective));
}

double LatencyEstimator::workOf(std::size_t classIndex) const {
  const MovingAverage& classLatency = latencies_[classIndex];
  const auto objective = toDouble(context_.classAt(classIndex).latencyObjective);
  const double estimate = objectives_.value() > 0 ? objective / objectives_.value() : 1;
  if (classLatency.value() <= 0 || latency_.value() <= 0) return estimate;
  return (classLatency.samples() * classLatency.value() / latency_.value() +
          kObjectiveWeightInAnswers * estimate) /
         (classLatency.samples() + kObjectiveWeightInAnswers);
}

bool LatencyEstimator::isLongRead(std::size_t classIndex) const {
  return context_.classAt(classIndex).consistency == Consistency::Eventual && workOf(classIndex) > kHeavyWork;
}

double LatencyEstimator::longReadShare() const {
  double total = 0;
  double longReads = 0;
  for (std::size_t i = 0; i < arrivals_.size(); ++i) {
    const Consistency consistency = context_.classAt(i).consistency;
    if (consistency == Consistency::Write || consistency == Consistency::Strong) continue;
    const double work = arrivals_[i] * workOf(i);
    total += work;
    if (isLongRead(i)) longReads += work;
  }
  return total > 0 ? longReads / total : 0;
}

}  // namespace heathflow::policy
