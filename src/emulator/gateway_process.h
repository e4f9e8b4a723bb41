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

// Paths of the programs and folders for starting gateways.
struct ProgramPaths {
  std::string gateway;
  std::string faults;  // the fault library; needed if the scenario injects failing system calls
  std::string traces;  // the folder for the gateways' logs, at trace level; empty: none
};

struct GatewayProcess {
  std::string name;
  std::size_t number = 0;
  std::size_t listener = 0;       // its own listener at the list service
  std::size_t movedListener = 0;  // its own listener at the list service's new address
  std::string settingsFile;       // empty: none
  std::unique_ptr<ChildProcess> child;
  std::unique_ptr<ClientLoad> load;
  std::unique_ptr<MisbehavingClients> misbehavingClients;
  std::unique_ptr<IdleConnections> idleConnections;  // to the newest incarnation
  Micros startedAt = 0;
  bool serving = false;
  bool exitExpected = false;  // it was killed or terminated, or its exit is recorded
  bool hasList = false;       // the list service has sent it a list
};

// Returns the time from which signals may be sent to a gateway, as a platform waits too: before the process
// has installed its handlers, a signal has the system's default effect and ends it.
Micros signalsAllowedFrom(const GatewayProcess& gateway);

// Writes the files that a gateway reads at its first start: its settings, and a snapshot as from an earlier
// incarnation.
// @throws std::runtime_error  if the snapshot can't be written.
void writeStartFiles(GatewayProcess& gateway, const Scenario& scenario, const std::string& folder,
                     const std::string& traces);

// Returns the environment of a gateway's next incarnation, with the plan of its failing system calls if the
// scenario has one.
Environment environmentOf(const GatewayProcess& gateway, const Scenario& scenario,
                          const std::string& faultLibrary);

// Returns the configuration file of a gateway, in the form that the operators' platform writes.
// @param discovery  the address of the list service for this gateway.
// @param listed     the current endpoint list of this revision.
std::string configurationOf(const GatewayProcess& gateway, const Scenario& scenario,
                            const transport::SocketAddress& discovery, std::vector<ListedEntry> listed,
                            std::int64_t revision);

}  // namespace heathflow::emulator
