#include "program/protocols.h"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

#include "protocol/bolt_protocol.h"
#include "protocol/pg_protocol.h"

namespace heathflow::program {
namespace {

// The name of the program towards clients and endpoints where the settings give none.
constexpr const char* kDefaultAgent = "heathflow";

std::unique_ptr<protocol::Protocol> makeBolt(const installation::Installation& installation,
                                             const installation::Listener* listener) {
  protocol::BoltListenerSettings listening;
  listening.agent = kDefaultAgent;
  if (listener != nullptr) {
    if (!listener->agent.empty()) listening.agent = listener->agent;
    listening.advertised = listener->advertise;
    listening.readClass = listener->readClass;
    listening.writeClass = listener->writeClass;
    listening.family = listener->family;
  }
  for (const installation::Family& family : installation.families) {
    listening.families.emplace(family.name, family.cluster);
  }
  protocol::BoltLogin login;
  login.agent = kDefaultAgent;
  if (installation.boltLogin) {
    login.principal = installation.boltLogin->principal;
    login.credentials = installation.boltLogin->credentials;
  }
  return std::make_unique<protocol::BoltProtocol>(std::move(listening), std::move(login));
}

}  // namespace

std::unique_ptr<protocol::Protocol> makeProtocol(std::string_view name,
                                                 const installation::Installation& installation,
                                                 const installation::Listener* listener) {
  if (name == kPlatformProtocol) return std::make_unique<protocol::PgProtocol>();
  if (name == "bolt") return makeBolt(installation, listener);
  throw std::runtime_error("the protocol '" + std::string(name) + "' is not known");
}

Protocols makeProtocols(const installation::Installation& installation) {
  Protocols out;
  const auto add = [&](std::string_view name) {
    for (const auto& protocol : out) {
      if (protocol->name() == name) return;
    }
    out.push_back(makeProtocol(name, installation, nullptr));
  };
  add(kPlatformProtocol);
  for (const auto& listener : installation.listeners) add(listener.protocol);
  for (const auto& family : installation.families) {
    for (const auto& spoken : family.protocols) add(spoken.protocol);
  }
  return out;
}

upstream::ConnectionPool::Protocols poolProtocols(const Protocols& protocols) {
  upstream::ConnectionPool::Protocols out;
  for (const auto& protocol : protocols) out.push_back(protocol.get());
  return out;
}

discovery::ProtocolPorts defaultPorts(const Protocols& protocols) {
  discovery::ProtocolPorts out;
  for (const auto& protocol : protocols) {
    out.push_back({std::string(protocol->name()), true, protocol->name() == kPlatformProtocol, 0});
  }
  return out;
}

std::unordered_map<GroupId, discovery::ProtocolPorts> familyPorts(
    const Protocols& protocols, const installation::Installation& installation) {
  std::unordered_map<GroupId, discovery::ProtocolPorts> out;
  for (const auto& family : installation.families) {
    discovery::ProtocolPorts& ports = out[family.cluster];
    for (const auto& protocol : protocols) {
      const auto spoken = std::find_if(family.protocols.begin(), family.protocols.end(),
                                       [&](const auto& entry) { return entry.protocol == protocol->name(); });
      if (spoken == family.protocols.end()) {
        ports.push_back({std::string(protocol->name()), false, false, 0});
      } else {
        ports.push_back({spoken->protocol, true, spoken->listed, spoken->port});
      }
    }
  }
  return out;
}

}  // namespace heathflow::program
