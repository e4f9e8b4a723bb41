#include "downstream/request_reader.h"

#include <algorithm>
#include <cstdint>
#include <limits>

#include "common/hash.h"
#include "transport/clock.h"

namespace heathflow::downstream {
namespace {

using transport::kMicrosPerMilli;

constexpr std::size_t kMaxIdLength = 128;
// A client's timeout is limited to one day.
constexpr std::int64_t kMaxTimeoutMs = 86'400'000;
// A position beyond this would overflow in microseconds.
constexpr std::int64_t kMaxPositionMs = std::numeric_limits<std::int64_t>::max() / kMicrosPerMilli;

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
  const RequestClassSettings& entry = settings.policy.classes[classIndex->second];
  if (asked.write && *asked.write != (entry.consistency == Consistency::Write)) {
    return "the statement is not of its class";
  }
  if (entry.idempotency == Idempotency::WithKey && !asked.keyed)
    return "the request has no key, which its class needs";
  return {};
}

Request toRequest(const protocol::RequestMetadata& asked, const ClientConnectionContext& context,
                  const settings::InstanceSettings& settings, const wallclock::EndpointTime& endpointTime,
                  Micros arrivedAt, Micros now) {
  const std::uint32_t classIndex = context.classIndexes.find(asked.className)->second;
  const RequestClassSettings& entry = settings.policy.classes[classIndex];
  Request request;
  request.group = *asked.group;
  request.classIndex = classIndex;
  request.isClientRetry = asked.isClientRetry;
  const Micros timeout =
      asked.timeoutMs ? std::min(*asked.timeoutMs, kMaxTimeoutMs) * kMicrosPerMilli : entry.requestTimeout;
  request.deadline = arrivedAt + timeout;
  if (entry.consistency == Consistency::Session || entry.consistency == Consistency::Write) {
    // 0 stands for no session.
    request.session = asked.session.empty() ? 0 : std::max<std::uint64_t>(1, hashOf(asked.session));
  }
  if (asked.afterMs) {
    const Micros lastWriteAt = std::min(*asked.afterMs, kMaxPositionMs) * kMicrosPerMilli;
    request.timeSinceLastWrite = now - endpointTime.fromSessionToken(lastWriteAt, now);
  }
  return request;
}

}  // namespace heathflow::downstream
