#include "emulator/deployment.h"

#include <signal.h>

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "emulator/gateway_output.h"
#include "emulator/units.h"
#include "faultshim/fault_plan.h"

namespace heathflow::emulator {
namespace {

constexpr Micros kTick = 50 * kMicrosPerMilli;
constexpr Micros kCountersWithin = 3 * kMicrosPerSecond;
// With failing system calls an answer may come this long after its client's deadline.
constexpr Micros kSlackWithFaults = 500 * kMicrosPerMilli;

// Returns the judge's limits. Injected system call faults may delay a gateway, which is not its fault.
JudgeLimits limitsOf(const Scenario& scenario) {
  JudgeLimits out;
  if (scenario.faults.empty()) return out;
  out.slack = kSlackWithFaults;
  out.afterDisconnect += faultshim::kMaxHoldUp;
  out.timeoutSlack += faultshim::kMaxHoldUp;
  return out;
}

}  // namespace

Deployment::Deployment(transport::EventLoop& loop, const Scenario& scenario, ProgramPaths programs)
    : loop_(loop),
      scenario_(scenario),
      programs_(std::move(programs)),
      judge_(limitsOf(scenario)),
      service_(loop, scenario.list),
      endpoints_(loop, scenario_, judge_),
      delayedActions_(loop) {
  if (!scenario_.faults.empty() && programs_.faults.empty())
    throw std::runtime_error(
        "the scenario injects failing system calls, but the path of the fault library was not given");
  startListService();
  createGateways();
}

Deployment::~Deployment() = default;

DeploymentResults Deployment::play(const OnRow& onRow) {
  loop_.turn(0);
  recorder_.start(scenario_.name, gateways_.size(), loop_.now());
  if (scenario_.cold) endpoints_.startAllCold();
  publishEndpoints();
  if (scenario_.listUpAt > 0) {
    listServiceDown(service_);
    schedule(scenario_.listUpAt, [this] {
      listServiceUp(service_);
      note("the list service is up");
    });
  }
  Micros due = 0;
  transport::Timer ticking(loop_, [&] {
    // The first tick is not measured: starting all processes delays it.
    if (due != 0) recorder_.recordLateness(loop_.now() - due);
    tick();
    due = loop_.now() + kTick;
    ticking.arm(due);
  });
  ticking.arm(loop_.now() + kTick);
  startAllGateways();
  for (const FaultEvent& event : scenario_.faultEvents)
    schedule(event.at, [this, event] { applyFault(event); });
  runUntil(recorder_.startedAt() + scenario_.duration, onRow);
  awaitOpenRequests();
  return finish();
}

void Deployment::startAllGateways() {
  for (const auto& gateway : gateways_) {
    createClients(*gateway);
    startGateway(*gateway);
    // Starting hundreds of gateways takes a while. Meanwhile the endpoints and the list service have to
    // answer the gateways that are up.
    loop_.turn(0);
  }
}

void Deployment::runUntil(Micros end, const OnRow& onRow) {
  const auto& timeline = recorder_.results().timeline;
  bool goOn = true;
  std::size_t reported = 0;
  while (goOn && loop_.now() < end) {
    loop_.turn(kTick);
    for (; goOn && reported + 1 < timeline.size(); ++reported) {
      if (onRow) goOn = onRow(reported, timeline[reported]);
    }
  }
}

void Deployment::awaitOpenRequests() {
  for (const auto& gateway : gateways_) {
    gateway->load->stop();
    gateway->misbehavingClients->stop();
  }
  const Micros end = loop_.now() + scenario_.patience + kMicrosPerSecond;
  const auto anyOpen = [&] {
    return std::any_of(gateways_.begin(), gateways_.end(),
                       [](const auto& gateway) { return gateway->load->openRequests() > 0; });
  };
  while (loop_.now() < end && anyOpen()) loop_.turn(kTick);
}

void Deployment::tick() {
  for (const auto& gateway : gateways_) {
    if (gateway->child) checkGateway(*gateway);
  }
  endpoints_.reportSlowStart();
  if (recorder_.rowIsOver(loop_.now())) closeRow();
}

void Deployment::closeRow() {
  const std::uint64_t calls = service_.model().calls() + (movedService_ ? movedService_->model().calls() : 0);
  const auto gatewaysUp = std::count_if(gateways_.begin(), gateways_.end(), [](const auto& gateway) {
    return gateway->serving && !gateway->exitExpected;
  });
  recorder_.closeRow(endpoints_.connections(), calls, static_cast<unsigned>(gatewaysUp));
}

void Deployment::recordAnswer(const Answer& answer) {
  recorder_.recordAnswer(answer,
                         answer.result == RequestResult::Rejected && endpoints_.hasCapacityFor(answer));
}

void Deployment::schedule(Micros after, std::function<void()> action) {
  delayedActions_.at(loop_.now() + after, std::move(action));
}

void Deployment::collectCounters() {
  for (const auto& gateway : gateways_) gateway->child->signal(SIGUSR1);
  const Micros end = loop_.now() + kCountersWithin;
  const auto complete = [](const auto& gateway) {
    return gateway->child->over() || gateway->child->counters().contains(kLastCounter);
  };
  while (loop_.now() < end && !std::all_of(gateways_.begin(), gateways_.end(), complete)) loop_.turn(kTick);
  for (const auto& gateway : gateways_) {
    for (const auto& [name, value] : gateway->child->counters()) recorder_.results().counters[name] += value;
  }
}

// Reports the violations that the gateways' invariant checkers logged, and writes the logs to the trace
// folder if there is one.
void Deployment::collectLogs() {
  for (const auto& gateway : gateways_) {
    for (const LogEvent& event : gateway->child->linesContaining(kInvariantViolated))
      judge_.reportBreach(Rule::InvariantsKept, event.at, gateway->name, event.text);
    if (programs_.traces.empty()) continue;
    std::ofstream log(programs_.traces + "/" + gateway->name + ".log");
    for (const LogEvent& event : gateway->child->events())
      log << event.at - recorder_.startedAt() << ' ' << event.text << '\n';
  }
}

DeploymentResults Deployment::finish() {
  collectCounters();
  collectLogs();
  recorder_.finish();
  judge_.finish(loop_.now());
  DeploymentResults& results = recorder_.results();
  for (std::size_t i = 0; i < kRules; ++i) results.broken[i] = judge_.count(static_cast<Rule>(i));
  results.breaches = judge_.breaches();
  for (Breach& breach : results.breaches) breach.at -= recorder_.startedAt();
  for (const auto& gateway : gateways_) {
    results.requests += gateway->load->requests();
    results.unreached += gateway->load->unreached();
  }
  for (ListService* service : listServices()) {
    results.calls += service->model().calls();
    results.mostCalls = std::max(results.mostCalls, service->model().arrivals().mostWithin(kBurstWindow));
  }
  endpoints_.addTotals(results);
  return results;
}

}  // namespace heathflow::emulator
