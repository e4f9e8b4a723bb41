// The protocols of a gateway, and how its endpoints are reached in each. No other code knows which protocols
// exist.
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

// The protocol of the platform's listener and endpoints. It has index 0 in every gateway.
inline constexpr std::string_view kPlatformProtocol = "postgresql";

// Creates a protocol by name.
// @param listener  the listener whose settings the protocol gets; null: none.
// @throws std::runtime_error if the protocol is unknown.
std::unique_ptr<protocol::Protocol> makeProtocol(std::string_view name,
                                                 const installation::Installation& installation,
                                                 const installation::Listener* listener);

// Creates the platform's protocol, and each other one that a listener or a family uses.
Protocols makeProtocols(const installation::Installation& installation);

upstream::ConnectionPool::Protocols poolProtocols(const Protocols& protocols);

// Returns the ports of endpoints whose family has no settings: the platform's protocol is at the listed
// address, and others are reached only if the list names their port.
discovery::ProtocolPorts defaultPorts(const Protocols& protocols);
// Returns the ports of the endpoints of each family that has settings.
std::unordered_map<GroupId, discovery::ProtocolPorts> familyPorts(
    const Protocols& protocols, const installation::Installation& installation);

}  // namespace heathflow::program
