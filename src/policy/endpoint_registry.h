// The known endpoints and groups, from the endpoint list.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "policy/endpoint_state.h"
#include "policy/policy_context.h"

namespace heathflow::policy {

class EndpointRegistry {
 public:
  explicit EndpointRegistry(PolicyContext& context)
      : context_(context), preferenceSeed_(context.randomBits()) {}

  // Applies a list or a change to it, which also confirms the list.
  void apply(const EndpointsChanged& event);
  // Marks the list as expired: endpoints are used only with evidence from health checks.
  void expire(const EndpointListExpired& criteria);
  bool listExpired() const { return expired_.has_value(); }

  // Returns whether the list has expired and no health check has shown that the endpoint may still be used.
  bool lacksEvidence(const EndpointState& endpoint) const;
  // Returns whether a health check can still give the missing evidence. Call only while listExpired().
  bool healthCheckMayGiveEvidence(const EndpointState& endpoint) const;

  EndpointState* find(EndpointId id);
  EndpointState& at(EndpointId id) { return endpoints_.at(id); }
  bool hasGroup(GroupId id) const { return groups_.contains(id); }
  EndpointGroup& groupOf(GroupId id);
  std::map<GroupId, EndpointGroup>& groups() { return groups_; }

 private:
  void update(const Endpoint& listed);
  EndpointState& findOrAdd(const Endpoint& listed);
  void observeRestart(EndpointState& endpoint, const Endpoint& listed);
  void remove(EndpointState& endpoint);
  bool mayBeForgotten(const EndpointState& endpoint) const;

  PolicyContext& context_;
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  std::map<GroupId, EndpointGroup> groups_;
  std::uint64_t preferenceSeed_;
  std::uint64_t listNumber_ = 0;  // of lists and changes applied so far
  std::optional<EndpointListExpired> expired_;
};

}  // namespace heathflow::policy
