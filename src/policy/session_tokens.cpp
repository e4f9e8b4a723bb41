#include "policy/session_tokens.h"

#include <algorithm>

namespace heathflow::policy {
namespace {

constexpr Micros kTokenLifetime = 60 * kSecond;

}  // namespace

RequiredFreshness SessionTokens::tokenOf(std::uint64_t session) const {
  const auto found = tokens_.find(session);
  return found != tokens_.end() ? found->second : newestDropped_;
}

void SessionTokens::observeWrite(std::uint64_t session, const RequiredFreshness& latest,
                                 const PolicyContext& context) {
  tokens_[session].include(latest);
  if (tokens_.size() >= dropAtSize_) dropOldTokens(context);
}

void SessionTokens::dropOldTokens(const PolicyContext& context) {
  std::erase_if(tokens_, [&](const auto& entry) {
    const bool old = context.now() - entry.second.asProcessTime(context) > kTokenLifetime;
    if (old) newestDropped_.include(entry.second);
    return old;
  });
  dropAtSize_ = std::max(kMinSizeToDrop, 2 * tokens_.size());
}

}  // namespace heathflow::policy
