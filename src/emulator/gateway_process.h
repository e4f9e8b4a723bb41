// A gateway process of a deployment with its files and its clients.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "emulator/child_process.h"
#include "emulator/client_load.h"
#include "emulator/idle_connections.h"
#include "emulator/list_model.h"
#include "emulator/misbehaving_clients.h"
#include "emulator/scenario.h"

namespace heathflow::emulator {

// The programs and folders with which gateways are started.
struct ProgramPaths {
  std::string gateway;
  std::string faults;  // the library of failing system calls; needed where the scenario has any
  std::string traces;  // folder for the gateways' logs, at trace level; empty: none
};

struct GatewayProcess {
  std::string name;
  std::size_t number = 0;
  std::size_t listener = 0;       // its listener at the list service
  std::size_t movedListener = 0;  // its listener at the list service that has moved
  std::string settingsFile;       // empty: none
  std::unique_ptr<ChildProcess> child;
  std::unique_ptr<ClientLoad> load;
  std::unique_ptr<MisbehavingClients> misbehavingClients;
  std::unique_ptr<IdleConnections> idleConnections;  // to the newest incarnation
  Micros startedAt = 0;
  bool serving = false;
  bool exitExpected = false;  // the emulator ends or pauses it
  bool hasList = false;       // the list service has answered it
};

// A process that has not reached its first line takes a signal by the system's default effect; a platform
// waits for as long before it sends one.
Micros signalsAllowedFrom(const GatewayProcess& gateway);

// Writes the files that a gateway finds at its first start: settings, and a snapshot of an earlier
// incarnation.
// @throws std::runtime_error  where the snapshot can't be written.
void writeStartFiles(GatewayProcess& gateway, const Scenario& scenario, const std::string& folder,
                     const std::string& traces);

// The environment of a gateway's next incarnation: its failing system calls, where the scenario has any.
Environment environmentOf(const GatewayProcess& gateway, const Scenario& scenario,
                          const std::string& faultLibrary);

// The configuration of a gateway as the operators' platform writes it.
// @param discovery  where the list service is for this gateway.
// @param listed     the endpoint list as it is now, with its revision.
std::string configurationOf(const GatewayProcess& gateway, const Scenario& scenario,
                            const transport::SocketAddress& discovery, std::vector<ListedEntry> listed,
                            std::int64_t revision);

}  // namespace heathflow::emulator
