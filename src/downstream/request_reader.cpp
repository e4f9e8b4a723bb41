#include "downstream/request_reader.h"

#include <algorithm>
#include <cstdint>

#include "common/hash.h"
#include "transport/clock.h"

namespace heathflow::downstream {
namespace {

using transport::kMicrosPerMilli;

constexpr std::size_t kMaxIdLength = 128;
constexpr std::int64_t kMaxTimeoutMs = 86'400'000;  // one day
constexpr Micros kMaxTokenLead = 86'400'000'000;    // one day
// A client may have rounded the position of its last write down to a millisecond.
constexpr Micros kTokenRounding = kMicrosPerMilli;

// Returns the position that a session token names. One that is too far in the future to be right is reduced
// to kMaxTokenLead ahead of 'now', so that it can be calculated with.
LogPosition sessionTokenOf(std::int64_t lastWriteAtMs, Micros now) {
  const std::int64_t latestMs = (now + kMaxTokenLead) / kMicrosPerMilli;
  return LogPosition{std::min(lastWriteAtMs, latestMs) * kMicrosPerMilli + kTokenRounding};
}

}  // namespace

std::string_view findProblem(const protocol::RequestMetadata& asked, const ClientConnectionContext& context,
                             const settings::InstanceSettings& settings, std::size_t protocol) {
  if (asked.id.empty() || asked.id.size() > kMaxIdLength) return "the request has no id, or no usual one";
  if (!asked.group) return "the request names no cluster";
  const auto served = context.servedProtocols.find(*asked.group);
  if (served != context.servedProtocols.end() && !served->second[protocol]) {
    return "the cluster is not served in this protocol";
  }
  const auto classIndex = context.classIndexes.find(asked.className);
  if (classIndex == context.classIndexes.end()) return "the request has no class, or one that is not known";
  const RequestClassSettings& requestClass = settings.policy.classes[classIndex->second];
  if (asked.write && *asked.write != (requestClass.consistency == Consistency::Write)) {
    return "the statement is not of its class";
  }
  if (requestClass.idempotency == Idempotency::WithKey && !asked.keyed)
    return "the request has no key, which its class needs";
  return {};
}

Request toRequest(const protocol::RequestMetadata& asked, const ClientConnectionContext& context,
                  const settings::InstanceSettings& settings, Micros arrivedAt, Micros now) {
  const std::uint32_t classIndex = context.classIndexes.find(asked.className)->second;
  const RequestClassSettings& requestClass = settings.policy.classes[classIndex];
  Request request;
  request.group = *asked.group;
  request.classIndex = classIndex;
  request.isClientRetry = asked.isClientRetry;
  const Micros timeout = asked.timeoutMs ? std::min(*asked.timeoutMs, kMaxTimeoutMs) * kMicrosPerMilli
                                         : requestClass.requestTimeout;
  request.deadline = arrivedAt + timeout;
  if (requestClass.consistency == Consistency::Session || requestClass.consistency == Consistency::Write) {
    // 0 means that the request belongs to no session.
    request.session = asked.session.empty() ? 0 : std::max<std::uint64_t>(1, hashOf(asked.session));
  }
  if (asked.afterMs) request.sessionToken = sessionTokenOf(*asked.afterMs, now);
  return request;
}

}  // namespace heathflow::downstream
