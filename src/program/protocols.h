// The protocols of a gateway, and how its endpoints are reached in each. The one place that knows which
// protocols there are.
#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "discovery/endpoint_directory.h"
#include "installation/installation.h"
#include "protocol/wire.h"
#include "upstream/connection_pool.h"

namespace heathflow::program {

using Protocols = std::vector<std::unique_ptr<protocol::Protocol>>;

// The protocol of the platform's listener, and of its endpoints. It is the first one of each gateway.
inline constexpr std::string_view kPlatformProtocol = "postgresql";

// @param listener  whose settings the protocol gets; null: none.
// @throws std::runtime_error where the protocol is not known.
std::unique_ptr<protocol::Protocol> makeProtocol(std::string_view name,
                                                 const installation::Installation& installation,
                                                 const installation::Listener* listener);

// The platform's protocol, and each one that a listener or an endpoint speaks.
Protocols makeProtocols(const installation::Installation& installation);

upstream::ConnectionPool::Protocols poolProtocols(const Protocols& protocols);

// Of endpoints whose family has no settings: the platform's protocol at the listed address, others where the
// list names their port.
discovery::ProtocolPorts defaultPorts(const Protocols& protocols);
// Of families with settings.
std::unordered_map<GroupId, discovery::ProtocolPorts> familyPorts(
    const Protocols& protocols, const installation::Installation& installation);

}  // namespace heathflow::program
