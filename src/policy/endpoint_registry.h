// The endpoints and groups that a gateway knows, as the endpoint list names them.
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

  // Takes in a list or a change to one. The list counts as confirmed.
  void apply(const EndpointsChanged& event);
  // The list has expired: endpoints are used on evidence of their own.
  void expire(const EndpointListExpired& terms);
  bool listExpired() const { return expired_.has_value(); }

  // The list has expired, and the endpoint has not shown that it may still be used.
  bool lacksEvidence(const EndpointState& endpoint) const;
  // A health check may give an endpoint the evidence that it lacks. Only while listExpired().
  bool healthCheckMayGiveEvidence(const EndpointState& endpoint) const;

  EndpointState* find(EndpointId id);
  EndpointState& at(EndpointId id) { return endpoints_.at(id); }
  bool hasGroup(GroupId id) const { return groups_.contains(id); }
  EndpointGroup& groupOf(GroupId id);
  std::map<GroupId, EndpointGroup>& groups() { return groups_; }

 private:
  void update(const Endpoint& listed);
  EndpointState& enter(const Endpoint& listed);
  void observeRestart(EndpointState& endpoint, const Endpoint& listed);
  void remove(EndpointState& endpoint);
  bool mayBeForgotten(const EndpointState& endpoint) const;

  PolicyContext& context_;
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  std::map<GroupId, EndpointGroup> groups_;
  std::uint64_t preferenceSeed_;
  std::uint64_t listNumber_ = 0;  // lists taken in so far
  std::optional<EndpointListExpired> expired_;
};

}  // namespace heathflow::policy
