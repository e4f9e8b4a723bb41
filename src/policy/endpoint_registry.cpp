#include "policy/endpoint_registry.h"

#include <algorithm>
#include <random>

namespace heathflow::policy {
namespace {

// For so long an endpoint is remembered that neither list nor answer has named.
constexpr Micros kForgetAfter = 10 * kSecond;
constexpr Micros kForgetAfterWhereAdvisory = 3600 * kSecond;

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

void EndpointRegistry::expire(const EndpointListExpired& terms) {
  expired_ = terms;
  for (auto& [id, endpoint] : endpoints_) endpoint.evidence.observeExpiry(terms);
}

bool EndpointRegistry::lacksEvidence(const EndpointState& endpoint) const {
  if (!expired_) return false;
  return !context_.settings().healthChecksAllowed || !endpoint.evidence.suffices(context_.now(), *expired_);
}

bool EndpointRegistry::healthCheckMayGiveEvidence(const EndpointState& endpoint) const {
  return context_.settings().healthChecksAllowed && endpoint.evidence.mayYetSuffice(*expired_);
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
  EndpointState& endpoint = enter(listed);
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
  // An advisory list may be wrong or old: only a new start ends a drain there.
  const bool stillDraining = listing.draining && context_.settings().removalIsAdvisory && !restarted;
  listing.draining = listed.status == EndpointStatus::Draining || stillDraining;
  listing.usable = !listing.draining;
  listing.unconfirmed = listing.unconfirmed && endpoint.outlier.silentSince() == kNever;
}

// The state of a listed endpoint, in its group.
EndpointState& EndpointRegistry::enter(const Endpoint& listed) {
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

// Failures, latency and a newer claim to be the primary are those of the process before. Position and
// evidence stay: they are bounded by times of their own.
void EndpointRegistry::observeRestart(EndpointState& endpoint, const Endpoint& listed) {
  if (endpoint.role.primaryAt < listed.startedAt) endpoint.role.primaryAt = kNever;
  endpoint.role.writeRejectedAt = kNever;
  endpoint.outlier.forgetFailures();
  endpoint.relativeLatency.reset();
  endpoint.limit.restrictTo(ConcurrencyLimit::initialOf(context_.settings()));
}

// Removed, or missing in the list. Where the list is only advice it stays usable as the last choice, until it
// fails.
void EndpointRegistry::remove(EndpointState& endpoint) {
  endpoint.listing.usable = endpoint.listing.usable && context_.settings().removalIsAdvisory;
  endpoint.listing.unconfirmed = context_.settings().removalIsAdvisory;
}

bool EndpointRegistry::mayBeForgotten(const EndpointState& endpoint) const {
  const ListingState& listing = endpoint.listing;
  const bool unused = (!listing.usable || listing.unconfirmed) && endpoint.inFlight.requests == 0 &&
                      !endpoint.healthCheck.inProgress;
  const Micros after = context_.settings().removalIsAdvisory ? kForgetAfterWhereAdvisory : kForgetAfter;
  return unused && context_.now() - std::max(listing.listedAt, endpoint.outlier.silentSince()) > after;
}

}  // namespace heathflow::policy
