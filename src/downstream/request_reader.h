// Validates what a client states of its request and translates it into the policy's terms.
#pragma once

#include <cstddef>
#include <string_view>

#include "downstream/client_connection_context.h"
#include "policy/routing_policy.h"
#include "protocol/wire.h"
#include "settings/settings.h"
#include "wallclock/endpoint_time.h"

namespace heathflow::downstream {

// @param protocol  the index of the client's protocol.
// @return why the request can't be served; empty where it can.
std::string_view findProblem(const protocol::RequestMetadata& asked, const ClientConnectionContext& context,
                             const settings::InstanceSettings& settings, std::size_t protocol);

// Of a request for which findProblem() has found nothing.
// @param arrivedAt  when its last byte arrived, from which on the client waits.
Request toRequest(const protocol::RequestMetadata& asked, const ClientConnectionContext& context,
                  const settings::InstanceSettings& settings, const wallclock::EndpointTime& endpointTime,
                  Micros arrivedAt, Micros now);

}  // namespace heathflow::downstream
