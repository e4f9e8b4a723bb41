#include "policy/endpoint_registry.h"

#include <algorithm>
#include <random>

namespace heathflow::policy {
namespace {

// An unused endpoint is forgotten this long after it was last listed or, if that is later, after its
// OutlierDetection::silentSince().
constexpr Micros kForgetAfter = 10 * kSecond;
constexpr Micros kForgetAfterIfAdvisory = 3600 * kSecond;

}  // namespace

void EndpointRegistry::apply(const EndpointsChanged& event) {
  expired_.reset();
  ++listNumber_;
  for (const Endpoint& listed : event.endpoints) update(listed);
  for (auto& [id, endpoint] : endpoints_) {
    const bool missing =
        event.scope == EndpointsChanged::Scope::Full && endpoint.listing.listNumber != listNumber_;
    if (missing) remove(endpoint);
  }
  std::erase_if(endpoints_, [this](const auto& entry) { return mayBeForgotten(entry.second); });
  for (auto& [id, group] : groups_)
    std::erase_if(group.endpoints, [this](EndpointId endpoint) { return !endpoints_.contains(endpoint); });
}

void EndpointRegistry::expire(const EndpointListExpired& criteria) {
  expired_ = criteria;
  for (auto& [id, endpoint] : endpoints_) endpoint.evidence.observeExpiry(criteria);
}

bool EndpointRegistry::lacksEvidence(const EndpointState& endpoint) const {
  if (!expired_) return false;
  return !context_.settings().healthChecksAllowed || !endpoint.evidence.suffices(context_.now(), *expired_);
}

bool EndpointRegistry::healthCheckMayGiveEvidence(const EndpointState& endpoint) const {
  return context_.settings().healthChecksAllowed && endpoint.evidence.maySufficeAfterCheck(*expired_);
}

EndpointState* EndpointRegistry::find(EndpointId id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

EndpointGroup& EndpointRegistry::groupOf(GroupId id) {
  EndpointGroup& group = groups_[id];
  if (group.queue.classCount() == 0)
    group.queue.setClassCount(std::max<std::size_t>(1, context_.settings().classes.size()));
  return group;
}

void EndpointRegistry::update(const Endpoint& listed) {
  EndpointState& endpoint = findOrAdd(listed);
  ListingState& listing = endpoint.listing;
  listing.listedAt = context_.now();
  listing.listNumber = listNumber_;
  if (listed.status == EndpointStatus::Removed) return remove(endpoint);

  const bool restarted = listed.startedAt > endpoint.info.startedAt;
  if (restarted) observeRestart(endpoint, listed);
  Micros& listedPrimarySince = endpoint.role.listedPrimarySince;
  listedPrimarySince = !listed.listedPrimary          ? kNever
                       : listedPrimarySince == kNever ? context_.now()
                                                      : listedPrimarySince;
  const Micros startedAt = std::max(endpoint.info.startedAt, listed.startedAt);
  endpoint.info = listed;
  endpoint.info.startedAt = startedAt;
  // An advisory list may be wrong or old, so only a restart ends a drain.
  const bool stillDraining = listing.draining && context_.settings().removalIsAdvisory && !restarted;
  listing.draining = listed.status == EndpointStatus::Draining || stillDraining;
  listing.usable = !listing.draining;
  listing.unconfirmed = listing.unconfirmed && endpoint.outlier.silentSince() == kNever;
}

// Returns the state of a listed endpoint. Adds the endpoint if it is new, and moves it to its listed group.
EndpointState& EndpointRegistry::findOrAdd(const Endpoint& listed) {
  const auto [entry, isNew] = endpoints_.try_emplace(listed.id);
  EndpointState& endpoint = entry->second;
  if (!isNew && endpoint.info.group == listed.group) return endpoint;
  if (!isNew) std::erase(groupOf(endpoint.info.group).endpoints, listed.id);
  std::vector<EndpointId>& endpoints = groupOf(listed.group).endpoints;
  endpoints.insert(std::lower_bound(endpoints.begin(), endpoints.end(), listed.id), listed.id);
  endpoint.info = listed;
  if (isNew) {
    endpoint.limit = ConcurrencyLimit(ConcurrencyLimit::initialOf(context_.settings()));
    endpoint.preference = uniformUnit(std::mt19937_64(preferenceSeed_ ^ listed.id)());
    endpoint.listing.unconfirmed = context_.settings().removalIsAdvisory;
  }
  return endpoint;
}

// Resets what belongs to the previous process: failures, latency, a rejected write, and a claim to be the
// primary from before the restart. Lowers the concurrency limit to its initial value if it is above. Position
// and evidence stay, because they carry their own times.
void EndpointRegistry::observeRestart(EndpointState& endpoint, const Endpoint& listed) {
  if (endpoint.role.primaryAt < listed.startedAt) endpoint.role.primaryAt = kNever;
  endpoint.role.writeRejectedAt = kNever;
  endpoint.outlier.forgetFailures();
  endpoint.relativeLatency.reset();
  endpoint.limit.restrictTo(ConcurrencyLimit::initialOf(context_.settings()));
}

// Handles an endpoint that is listed as removed or missing from a full list. If the list is only advisory,
// the endpoint stays usable as the last choice until it fails.
void EndpointRegistry::remove(EndpointState& endpoint) {
  endpoint.listing.usable = endpoint.listing.usable && context_.settings().removalIsAdvisory;
  endpoint.listing.unconfirmed = context_.settings().removalIsAdvisory;
}

bool EndpointRegistry::mayBeForgotten(const EndpointState& endpoint) const {
  const ListingState& listing = endpoint.listing;
  const bool unused = (!listing.usable || listing.unconfirmed) && endpoint.inFlight.requests == 0 &&
                      !endpoint.healthCheck.inProgress;
  const Micros after = context_.settings().removalIsAdvisory ? kForgetAfterIfAdvisory : kForgetAfter;
  return unused && context_.now() - std::max(listing.listedAt, endpoint.outlier.silentSince()) > after;
}

}  // namespace heathflow::policy
