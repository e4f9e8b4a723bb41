// The log position of each session's last write, used with SessionTokenSource::Gateway.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "policy/policy_context.h"

namespace heathflow::policy {

class SessionTokens {
 public:
  // Returns the position that a read of the session has to see; kNever: none.
  LogPosition positionOf(std::uint64_t session) const;
  // Records that a write of the session may have been committed, at this position at the latest.
  void observeWrite(std::uint64_t session, LogPosition latest, Micros now);

 private:
  // Drops tokens past their lifetime, to bound memory. A session without a token then needs the newest
  // position that was dropped.
  void dropOldTokens(Micros now);

  static constexpr std::size_t kMinSizeToDrop = 4096;

  std::unordered_map<std::uint64_t, LogPosition> positions_;
  LogPosition newestDropped_ = kNever;
  std::size_t dropAtSize_ = kMinSizeToDrop;
};

}  // namespace heathflow::policy
