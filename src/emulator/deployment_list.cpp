// The list service of a deployment, and the reports to the judge of its answers to each gateway.
#include <utility>

#include "emulator/deployment.h"

namespace heathflow::emulator {
namespace {

// The revision of the service at the start; newer than the one in the gateways' configuration.
constexpr std::int64_t kInitialRevision = 100;

}  // namespace

void Deployment::startListService() {
  service_.model().goBackTo(kInitialRevision);
  service_.model().setResetShare(scenario_.resetShare, scenario_.seed);
  service_.onAnswer = [this](std::size_t listener, const ListModel::Answer& answer) {
    onListCall(listener, answer, true);
  };
}

transport::SocketAddress Deployment::listAddressOf(const GatewayProcess& gateway) const {
  if (movedService_) return movedService_->listenerAddress(gateway.movedListener);
  return listLinks_.empty() ? service_.listenerAddress(gateway.listener)
                            : listLinks_[gateway.number]->socketAddress();
}

// Sets the current endpoints at the list service, and at its new address if it has moved.
void Deployment::publishEndpoints() {
  endpoints_.reportStates();
  service_.set(endpoints_.entries());
  if (movedService_) movedService_->set(endpoints_.entries());
}

// Once the service has moved, gateways use its new address: only an outage there is reported to the judge.
void Deployment::listServiceDown(ListService& service) {
  service.goDown();
  if (!movedService_ || &service == movedService_.get()) judge_.notifications().serviceDown(loop_.now());
}

void Deployment::listServiceUp(ListService& service) {
  service.comeUp();
  judge_.notifications().serviceUp(loop_.now());
}

std::vector<ListService*> Deployment::listServices() {
  std::vector<ListService*> out = {&service_};
  if (movedService_) out.push_back(movedService_.get());
  return out;
}

void Deployment::onListCall(std::size_t listener, const ListModel::Answer& answer, bool overLink) {
  // Listeners count from 1; 0 is the service's own, which no gateway calls.
  GatewayProcess* gateway = listener == 0 ? nullptr : gateways_[listener - 1].get();
  const bool served = answer.kind == ListModel::Answer::Kind::Served;
  recorder_.recordListCall(served, gateway == nullptr || gateway->hasList);
  if (gateway == nullptr) return;
  if (!served) return judge_.notifications().callFailed(gateway->name, loop_.now());
  reportListAnswer(*gateway, answer, overLink);
  if (!std::exchange(gateway->hasList, true)) recorder_.recordFirstList(loop_.now());
}

// Tells the judge that the service has written an answer to a gateway.
void Deployment::reportListAnswer(const GatewayProcess& gateway, const ListModel::Answer& answer,
                                  bool overLink) {
  const Interval cut = overLink && !listCuts_.empty() ? listCuts_[gateway.number] : Interval{};
  if (loop_.now() < cut.until) {
    judge_.notifications().answerWrittenIntoCutPath(gateway.name, loop_.now(),
                                                    {cut.from, cut.until, answer.waitEnds});
  } else {
    judge_.notifications().answerWritten(gateway.name, loop_.now());
  }
}

}  // namespace heathflow::emulator
