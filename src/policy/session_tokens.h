// What reads of each session have to see of its last writes, used with SessionTokenSource::Gateway.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "policy/policy_context.h"
#include "policy/required_freshness.h"

namespace heathflow::policy {

class SessionTokens {
 public:
  // Returns what a read of the session has to see.
  RequiredFreshness tokenOf(std::uint64_t session) const;
  // Records a write of the session that may have been committed.
  // @param latest  the latest position or time of the commit.
  void observeWrite(std::uint64_t session, const RequiredFreshness& latest, const PolicyContext& context);

 private:
  // Drops tokens past their lifetime, to bound memory. A session without a token then needs the newest token
  // that was dropped.
  void dropOldTokens(const PolicyContext& context);

  static constexpr std::size_t kMinSizeToDrop = 4096;

  std::unordered_map<std::uint64_t, RequiredFreshness> tokens_;
  RequiredFreshness newestDropped_;
  std::size_t dropAtSize_ = kMinSizeToDrop;
};

}  // namespace heathflow::policy
