// An emulated deployment on loopback that plays a scenario: real gateway processes, emulated endpoints, an
// emulated list service, clients, and faults. All processes and sockets are closed with the object.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "emulator/delayed_actions.h"
#include "emulator/deployment_results.h"
#include "emulator/endpoint_set.h"
#include "emulator/gateway_process.h"
#include "emulator/judge.h"
#include "emulator/link.h"
#include "emulator/list_service.h"
#include "emulator/results_recorder.h"
#include "emulator/scenario.h"
#include "standins/temporary_file.h"

namespace heathflow::emulator {

class Deployment {
 public:
  // Called for each second of the play when it is over. Returns false to end the play early.
  using OnRow = std::function<bool(std::size_t number, const TimelineRow&)>;

  // @throws std::runtime_error  if the scenario needs the fault library and its path is missing, or a file of
  // a
  //                             gateway can't be written.
  Deployment(transport::EventLoop& loop, const Scenario& scenario, ProgramPaths programs);
  Deployment(transport::EventLoop& loop, const Scenario& scenario, std::string program)
      : Deployment(loop, scenario, ProgramPaths{std::move(program), "", ""}) {}
  ~Deployment();

  // The folder of the gateways' settings and snapshots; it is removed with the deployment.
  const std::string& folder() const { return folder_.path(); }
  // Plays the scenario and returns its results. Called once.
  DeploymentResults play(const OnRow& onRow = {});

 private:
  struct Interval {
    Micros from = 0;
    Micros until = 0;
  };

  // ---- Play (deployment.cpp) ----
  void startListService();
  void startAllGateways();
  void runUntil(Micros end, const OnRow& onRow);
  void awaitOpenRequests();
  void tick();
  void closeRow();
  void recordAnswer(const Answer& answer);
  void collectCounters();
  void collectLogs();
  DeploymentResults finish();
  void schedule(Micros after, std::function<void()> action);
  void note(const std::string& text) { recorder_.note(text); }

  // ---- Gateway processes (deployment_gateways.cpp) ----
  void createGateways();
  void createClients(GatewayProcess& gateway);
  std::string configurationOf(const GatewayProcess& gateway) const;
  void startGateway(GatewayProcess& gateway);
  void checkGateway(GatewayProcess& gateway);
  void recordUnexpectedExit(GatewayProcess& gateway);
  void connectClients(GatewayProcess& gateway, const transport::SocketAddress& address);
  void checkStartTime(GatewayProcess& gateway);
  void reloadGateway(GatewayProcess& gateway);
  void terminateGateway(GatewayProcess& gateway);
  void sendTerminationSignals(GatewayProcess& gateway);
  void restartTerminatedGateway(GatewayProcess& gateway);
  Micros earliestKillAfterTerm() const;

  // ---- List service (deployment_list.cpp) ----
  transport::SocketAddress listAddressOf(const GatewayProcess& gateway) const;
  void publishEndpoints();
  void listServiceDown(ListService& service);
  void listServiceUp(ListService& service);
  // @param overLink  whether the answer goes over the gateway's link, which may be cut.
  void onListCall(std::size_t listener, const ListModel::Answer& answer, bool overLink);
  void reportListAnswer(const GatewayProcess& gateway, const ListModel::Answer& answer, bool overLink);
  std::vector<ListService*> listServices();

  // ---- Faults (deployment_faults.cpp) ----
  void applyFault(const FaultEvent& event);
  void killGateways(const FaultEvent& event);
  void rollGateways(const FaultEvent& event);
  void pauseGateways(const FaultEvent& event);
  void resumeGateways(std::size_t count);
  void leaveLogsUnread(const FaultEvent& event);
  void reloadGateways(const FaultEvent& event);
  void killPrimaries(const FaultEvent& event);
  void drainEndpoints(const FaultEvent& event);
  void restartEndpoints(const std::vector<EmulatedEndpoint*>& chosen, Micros stopAfter, Micros downtime);
  void takeListServiceDown(const FaultEvent& event);
  void revertListService(const FaultEvent& event);
  void moveListService(const FaultEvent& event);
  void overloadListService(const FaultEvent& event);
  void cutListLinks(const FaultEvent& event);
  void impairLinks(std::vector<std::unique_ptr<StreamLink>>& links, const FaultEvent& event);

  transport::EventLoop& loop_;
  Scenario scenario_;
  ProgramPaths programs_;
  test::TemporaryFolder folder_;  // outlives the gateways
  Judge judge_;
  ListService service_;
  std::unique_ptr<ListService> movedService_;  // the list service at its new address, once it has moved
  EndpointSet endpoints_;
  std::vector<std::unique_ptr<StreamLink>> listLinks_;  // from each gateway to the list service
  std::vector<Interval> listCuts_;                      // the newest cut of each list link
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;
  DelayedActions delayedActions_;
  ResultsRecorder recorder_;
};

}  // namespace heathflow::emulator
