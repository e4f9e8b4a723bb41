// What a start does where a call of the system fails: what may pass is tried again for a bounded time, what
// can't ends the start. Decisions only.
#pragma once

#include <cstdint>

namespace heathflow::discovery {

using Micros = std::int64_t;

// STANDING: nine in ten restarted gateways are ready within 10 s. What a start waits for altogether, so that
// the rest of it stays within that.
inline constexpr Micros kStartWithin = 7'000'000;
// DEPLOY, SIGHUP: what the new configuration says counts 4 s later. Reading it again ends before that.
inline constexpr Micros kReloadWithin = 3'000'000;

// Whether an error number may mean no more than a moment's lack, of descriptors, memory or ports.
bool mayPass(int error);

// The waits between the tries of one start.
class StartRetry {
 public:
  explicit StartRetry(Micros within = kStartWithin) : within_(within) {}
  // How long to wait before the next try; below 0 where there is none.
  Micros next(int error);

 private:
  Micros within_;
  Micros waited_ = 0;
  Micros wait_ = 0;
};

}  // namespace heathflow::discovery
