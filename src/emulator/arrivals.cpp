#include "emulator/arrivals.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace heathflow::emulator {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr std::array<const char*, 4> kNames = {"view", "any", "status", "save"};

}  // namespace

const char* nameOf(RequestKind kind) { return kNames.at(static_cast<std::size_t>(kind)); }

Arrivals::Arrivals(double perSecond, const Mix& mix, unsigned groups, std::uint64_t seed, Micros from)
    : perSecond_(perSecond), mix_(mix), groups_(std::max(1U, groups)), random_(seed), next_(from) {
  drawNext();
}

void Arrivals::drawNext() {
  if (perSecond_ <= 0) {
    next_ = std::numeric_limits<Micros>::max();
    return;
  }
  const double gap = -std::log(1 - random()) / perSecond_;
  next_ += std::max<Micros>(1, static_cast<Micros>(gap * kMicrosPerSecond));
}

Arrivals::Arrival Arrivals::take() {
  Arrival out;
  out.at = next_;
  const double all = mix_.view + mix_.any + mix_.status + mix_.save;
  double left = random() * all;
  out.kind = RequestKind::Save;
  for (const auto& [kind, share] :
       {std::pair(RequestKind::View, mix_.view), std::pair(RequestKind::Any, mix_.any),
        std::pair(RequestKind::Status, mix_.status)}) {
    if (left < share) {
      out.kind = kind;
      break;
    }
    left -= share;
  }
  out.group = static_cast<unsigned>(random() * groups_);
  drawNext();
  return out;
}

}  // namespace heathflow::emulator
