#include "policy/session_tokens.h"

#include <algorithm>

namespace heathflow::policy {
namespace {

constexpr Micros kTokenLifetime = 60 * kSecond;

}  // namespace

LogPosition SessionTokens::positionOf(std::uint64_t session) const {
  const auto found = positions_.find(session);
  return found != positions_.end() ? found->second : newestDropped_;
}

void SessionTokens::observeWrite(std::uint64_t session, LogPosition latest, Micros now) {
  LogPosition& token = positions_.try_emplace(session, kNever).first->second;
  token = std::max(token, latest);
  if (positions_.size() >= dropAtSize_) dropOldTokens(now);
}

void SessionTokens::dropOldTokens(Micros now) {
  std::erase_if(positions_, [&](const auto& entry) {
    const bool old = now - entry.second > kTokenLifetime;
    if (old) newestDropped_ = std::max(newestDropped_, entry.second);
    return old;
  });
  dropAtSize_ = std::max(kMinSizeToDrop, 2 * positions_.size());
}

}  // namespace heathflow::policy
