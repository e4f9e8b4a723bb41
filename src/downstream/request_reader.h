// Validates a parsed client request and converts it into a request of the routing policy.
#pragma once

#include <cstddef>
#include <string_view>

#include "downstream/client_connection_context.h"
#include "policy/routing_policy.h"
#include "protocol/wire.h"
#include "settings/settings.h"

namespace heathflow::downstream {

// Returns why a request can't be served, as an error text for the client; empty if it can.
// @param protocol  the index of the client's protocol.
std::string_view findProblem(const protocol::RequestMetadata& asked, const ClientConnectionContext& context,
                             const settings::InstanceSettings& settings, std::size_t protocol);

// Converts a request for which findProblem() has returned an empty text.
// @param arrivedAt  the arrival time of its last byte, from which its timeout counts.
Request toRequest(const protocol::RequestMetadata& asked, const ClientConnectionContext& context,
                  const settings::InstanceSettings& settings, Micros arrivedAt, Micros now);

}  // namespace heathflow::downstream
