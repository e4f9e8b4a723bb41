#include "emulator/site.h"

#include <signal.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "faultshim/fault_plan.h"
#include "snapshot/snapshot.h"
#include "standins/gateway_rig.h"

namespace heathflow::emulator {
namespace {

using Json = nlohmann::ordered_json;

constexpr Micros kMicrosPerMilli = 1000;
constexpr Micros kMicrosPerSecond = 1'000'000;
constexpr Micros kTick = 50 * kMicrosPerMilli;
constexpr Micros kBurst = 100 * kMicrosPerMilli;
// The list learns of a new primary so much later than the endpoints do.
constexpr Micros kListLearns = 300 * kMicrosPerMilli;
// From a drain's word to the endpoint's end.
constexpr Micros kDrainLasts = kMicrosPerSecond;
// The revision that the service has at the start, above what gateways know.
constexpr std::int64_t kServiceRevision = 100;
// DEPLOY and PROTOCOL: the kill comes no sooner than the longest deadline (3 s at most) and 0.7 s after
// SIGTERM, with the bench's slack, and new connections keep coming for 0.2 to 0.4 s.
constexpr Micros kKillDeadlineMost = 3'000'000;
constexpr Micros kKillAfterDeadline = 750'000;
// A series of signals: the second pair comes right behind the first, a further SIGTERM much later.
constexpr Micros kSecondPair = 3 * kMicrosPerMilli;
constexpr Micros kLastSignal = 400 * kMicrosPerMilli;
constexpr Micros kStillComing = 300'000;
// From the start of a process to its first line, on a busy machine.
constexpr Micros kAtFirstLine = 200 * kMicrosPerMilli;
constexpr Micros kReadyWithin = 10 * kMicrosPerSecond;
constexpr Micros kSlowPath = 60 * kMicrosPerMilli;
constexpr transport::SocketAddress kAnyPort{test::kLoopback, 0};
// Breaches that are told one by one.
constexpr std::size_t kBreachesTold = 20;
constexpr int kExitedWell = 0;
// The counters' last line, by which they are whole.
constexpr const char* kLastCounter = "upstream_connections.opened_for_requests";
constexpr std::string_view kGivenUp = "rejected_by_reason.";
// Phases as the list service writes them.
constexpr const char* kTerminating = "Terminating";
constexpr const char* kGone = "Gone";

double real(std::uint64_t count) { return static_cast<double>(count); }
double milliseconds(Micros time) { return static_cast<double>(time) / kMicrosPerMilli; }

// STANDING and its bench's slack: an answer may come half a second late, and earns nothing then. Calls that
// hold a process up do so for 0.15 s at the most.
JudgeLimits limitsOf(const Scenario& scenario) {
  JudgeLimits out;
  if (scenario.faults.empty()) return out;
  out.slack = 500 * kMicrosPerMilli;
  out.departed += faultshim::kLongestHoldUp;
  out.told += faultshim::kLongestHoldUp;
  return out;
}

// What a path does while that holds.
Fault pathFaultOf(Happening::Kind kind) {
  using Is = Happening::Kind;
  Fault out;
  out.cutForth = kind == Is::CutEndpoints || kind == Is::CutList;
  out.cutBack = out.cutForth || kind == Is::HangEndpoints;
  out.resets = kind == Is::ResetEndpoints;
  if (kind == Is::SlowEndpoints) out.delay = out.jitter = kSlowPath;
  return out;
}

std::size_t partOf(double share, std::size_t of) {
  return std::min(of, static_cast<std::size_t>(std::ceil(share * static_cast<double>(of))));
}

}  // namespace

struct Site::Gateway {
  std::string name;
  std::size_t number = 0;
  std::size_t door = 0;
  std::size_t elsewhere = 0;  // its door where the service has moved to
  std::string settingsFile;
  std::unique_ptr<Child> child;
  std::unique_ptr<Load> load;
  std::unique_ptr<RoughClients> rough;
  std::unique_ptr<ClientCrowd> crowd;  // of this life
  Micros startedAt = 0;
  bool serving = false;
  bool resting = false;  // on purpose: it ends, or is stopped
  bool listed = false;   // it has had a list
};

bool Outcomes::rulesKept() const {
  return crashes.empty() && std::all_of(broken.begin(), broken.end(), [](std::size_t n) { return n == 0; });
}

std::string Outcomes::json() const {
  Json out;
  out["scenario"] = scenario;
  out["requests"] = {{"asked", asked},      {"unreached", unreached}, {"served", served},
                     {"refused", rejected}, {"failed", failed},       {"refused_with_room", rejectedWithRoom},
                     {"p50_us", p50},       {"p99_us", p99},          {"first_served_us", firstServed}};
  out["list"] = {{"calls", calls},
                 {"failed", callsFailed},
                 {"most_in_100ms", mostCalls},
                 {"calls_until_listed", callsUntilListed},
                 {"failed_until_listed", callsFailedUntilListed}};
  if (lastList) out["list"]["last_us"] = *lastList;
  out["members"] = {{"connections", connections},
                    {"most_in_100ms", mostConnections},
                    {"turned_away", connectionsTurnedAway},
                    {"probes", healthChecks}};
  for (std::size_t i = 0; i < kRules; ++i) out["broken"][nameOf(static_cast<Rule>(i))] = broken[i];
  out["breaches"] = Json::array();
  for (const Breach& breach : breaches)
    out["breaches"].push_back(
        {{"rule", nameOf(breach.rule)}, {"at_us", breach.at}, {"driver", breach.who}, {"what", breach.what}});
  out["crashes"] = crashes;
  out["counters"] = counters;
  out["seconds"] = Json::array();
  for (const Second& one : seconds) {
    out["seconds"].push_back({{"served", one.served},
                              {"refused", one.rejected},
                              {"failed", one.failed},
                              {"refused_with_room", one.rejectedWithRoom},
                              {"drivers", one.gatewaysUp},
                              {"calls", one.callsOfList},
                              {"connections", one.connectionsAtEndpoints},
                              {"p50_us", one.p50},
                              {"p99_us", one.p99},
                              {"notes", one.notes}});
  }
  return out.dump(1);
}

double Outcomes::percentOfAnswers(std::uint64_t count) const {
  return 100 * real(count) / std::max<double>(1, real(served + rejected + failed));
}

std::string Outcomes::row(unsigned gateways) const {
  const double asking = std::max<double>(1, real(callsUntilListed));
  std::ostringstream out;
  out.precision(2);
  out << std::fixed << milliseconds(lastList.value_or(0)) << ' ' << real(callsUntilListed) / gateways << ' '
      << 100 * real(callsFailedUntilListed) / asking << ' ' << mostCalls << ' ' << mostConnections << ' '
      << percentOfAnswers(rejected) << ' ' << percentOfAnswers(rejectedWithRoom) << ' '
      << milliseconds(firstServed) << ' ' << connections << ' ' << (rulesKept() ? 1 : 0);
  return out.str();
}

std::string Outcomes::table() const {
  std::ostringstream out;
  out.precision(1);
  out << std::fixed;
  out << "requests: " << asked << " asked, " << served << " served, " << rejected << " refused ("
      << percentOfAnswers(rejected) << "%, " << percentOfAnswers(rejectedWithRoom) << "% with room), "
      << failed << " failed, " << unreached << " found no driver; median " << milliseconds(p50) << " ms, 99% "
      << milliseconds(p99) << " ms\n";
  out << "list service: " << calls << " calls, " << callsFailed << " failed, most in 100 ms " << mostCalls;
  if (lastList) {
    out << ", every driver has its list after " << milliseconds(*lastList) << " ms and " << callsUntilListed
        << " calls, " << callsFailedUntilListed << " of them failed";
  }
  out << "\nmembers: " << connections << " connections, most in 100 ms at one " << mostConnections << ", "
      << connectionsTurnedAway << " turned away; " << healthChecks << " probes\n";
  out << "given up by the drivers, by reason:";
  for (const auto& [name, value] : counters) {
    if (name.starts_with(kGivenUp) && value > 0) out << ' ' << name.substr(kGivenUp.size()) << ' ' << value;
  }
  out << "\n";
  for (std::size_t i = 0; i < kRules; ++i) {
    out << nameOf(static_cast<Rule>(i)) << ": "
        << (broken[i] == 0 ? std::string("kept") : "BROKEN " + std::to_string(broken[i]) + " times") << "\n";
  }
  for (std::size_t i = 0; i < std::min(kBreachesTold, breaches.size()); ++i)
    out << "  " << milliseconds(breaches[i].at) << " ms " << breaches[i].who << " " << breaches[i].what
        << "\n";
  for (const std::string& crash : crashes) out << "CRASHED: " << crash << "\n";
  out << "the slowest start took " << milliseconds(slowestStart) << " ms; the rig was late by up to "
      << milliseconds(late) << " ms\n";
  return out.str();
}

std::string Outcomes::columns() const {
  std::ostringstream out;
  out << "# second served refused failed p99_ms connections calls drivers\n";
  for (std::size_t i = 0; i < seconds.size(); ++i) {
    const Second& one = seconds[i];
    out << i + 1 << ' ' << one.served << ' ' << one.rejected << ' ' << one.failed << ' '
        << milliseconds(one.p99) << ' ' << one.connectionsAtEndpoints << ' ' << one.callsOfList << ' '
        << one.gatewaysUp << "\n";
  }
  return out.str();
}

Site::Site(transport::EventLoop& loop, const Scenario& scenario, Programs programs)
    : loop_(loop),
      scenario_(scenario),
      programs_(std::move(programs)),
      judge_(limitsOf(scenario)),
      service_(loop, scenario.list),
      later_(loop) {
  if (!scenario_.faults.empty() && programs_.faults.empty())
    throw std::runtime_error("the scenario has failing calls, and no library for them was named");
  buildEndpoints();
  service_.model().goBackTo(kServiceRevision);
  service_.model().resetShare(scenario_.resetShare, scenario_.seed);
  service_.onAnswer = [this](std::size_t door, const ListModel::Answer& answer) {
    called(door, answer, true);
  };
  buildGateways();
}

void Site::buildEndpoints() {
  for (unsigned group = 0; group < scenario_.groups; ++group) {
    for (unsigned i = 0; i <= scenario_.replicas; ++i) {
      EndpointCosts costs = scenario_.endpoint;
      const std::size_t number = endpoints_.size();
      // The last replicas are the bad ones, a group after the other.
      const std::size_t fromEnd = (scenario_.replicas - i) * scenario_.groups + group;
      if (i > 0 && fromEnd < scenario_.bad)
        costs.service = static_cast<Micros>(scenario_.badBy * static_cast<double>(costs.service));
      endpoints_.push_back(std::make_unique<EmulatedEndpoint>(
          loop_, "m" + std::to_string(number), group, costs, i == 0, scenario_.seed + number, judge_));
      if (!needsPaths(scenario_)) continue;
      const auto to = transport::parseSocketAddress(endpoints_.back()->address());
      endpointPaths_.push_back(std::make_unique<StreamLink>(loop_, kAnyPort, to.value_or(kAnyPort),
                                                            Weather({}, scenario_.seed + number)));
      endpointPaths_.back()->onForth = [this, number](std::string_view bytes) { noteSending(number, bytes); };
    }
  }
}

void Site::buildGateways() {
  for (unsigned i = 0; i < scenario_.gateways; ++i) {
    auto gateway = std::make_unique<Gateway>();
    gateway->name = "n" + std::to_string(i);
    gateway->number = i;
    gateway->door = service_.addDoor();
    const std::string settings = settingsOf(*gateway);
    if (!settings.empty()) {
      gateway->settingsFile = folder_.path() + "/" + gateway->name + ".xml";
      std::ofstream(gateway->settingsFile) << settings;
    }
    if (scenario_.learned > 0 || scenario_.initialLatency > 0) {
      snapshot::Snapshot earlier;
      earlier.name = gateway->name;
      if (scenario_.learned > 0) earlier.callCost = scenario_.learned;
      earlier.initialLatency = scenario_.initialLatency;
      std::string problem;
      const std::string file = folder_.path() + "/" + gateway->name + ".snapshot";
      if (!snapshot::save(file, earlier, files::Durable::No, problem)) throw std::runtime_error(problem);
    }
    if (needsPaths(scenario_)) {
      listPaths_.push_back(std::make_unique<StreamLink>(loop_, kAnyPort, service_.door(gateway->door),
                                                        Weather({}, scenario_.seed + i)));
    }
    gateways_.push_back(std::move(gateway));
  }
}

// The settings of a gateway's installation; empty where it needs none.
std::string Site::settingsOf(const Gateway& gateway) const {
  const bool keeps = scenario_.snapshot || scenario_.learned > 0 || scenario_.initialLatency > 0;
  if (!keeps && programs_.traces.empty()) return "";
  std::string out = "<heathflow xmlns=\"urn:heathflow:settings:1\" version=\"1\">";
  if (!programs_.traces.empty()) out += "<log form=\"text\" level=\"trace\"/>";
  if (keeps) out += "<snapshot file=\"" + folder_.path() + "/" + gateway.name + ".snapshot\" every=\"1\"/>";
  return out + "</heathflow>\n";
}

emulator::Environment Site::environmentOf(const Gateway& gateway) const {
  const std::size_t faulty = partOf(scenario_.faultsShare, scenario_.gateways);
  if (scenario_.faults.empty() || gateway.number >= faulty) return {};
  std::string problem;
  auto plan = faultshim::parsePlan(scenario_.faults, problem).value_or(faultshim::FaultPlan{});
  plan.seed += scenario_.seed * 1009 + gateway.number * 31 + (gateway.child ? gateway.child->lives() : 0);
  return withFaults(programs_.faults, plan.text());
}

std::string Site::addressOf(std::size_t endpoint) const {
  return endpointPaths_.empty() ? endpoints_[endpoint]->address()
                                : toText(endpointPaths_[endpoint]->socketAddress());
}

transport::SocketAddress Site::listDoorOf(const Gateway& gateway) const {
  if (elsewhere_) return elsewhere_->door(gateway.elsewhere);
  return listPaths_.empty() ? service_.door(gateway.door) : listPaths_[gateway.number]->socketAddress();
}

// A request on its way to an endpoint: by its id, as the statement's comment has it.
void Site::noteSending(std::size_t endpoint, std::string_view bytes) {
  constexpr std::string_view kMark = "/* id=";
  for (std::size_t at = bytes.find(kMark); at != std::string_view::npos; at = bytes.find(kMark, at + 1)) {
    const std::size_t from = at + kMark.size();
    const std::size_t end = bytes.find(',', from);
    if (end == std::string_view::npos) return;
    judge_.sent(std::string(bytes.substr(from, end - from)), endpoints_[endpoint]->name(), loop_.now());
  }
}

Site::~Site() = default;

std::vector<ListedEntry> Site::listOf() const {
  std::vector<ListedEntry> out;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const auto& endpoint = endpoints_[i];
    ListedEntry entry;
    entry.id = endpoint->name();
    entry.hostPort = addressOf(i);
    entry.cell = endpoint->group();
    entry.upSinceMs = endpoint->startedAt() / kMicrosPerMilli;
    entry.primary = endpoint->model().primary();
    const auto phase = phases_.find(endpoint->name());
    if (phase != phases_.end()) entry.phase = phase->second;
    if (entry.phase != kGone) out.push_back(entry);
  }
  return out;
}

std::string Site::configOf(std::size_t number) const {
  test::GatewayOptions options;
  options.name = "n" + std::to_string(number);
  options.gateways = scenario_.gateways;
  options.aimMs = 500;
  options.deadlineMs = scenario_.deadline / kMicrosPerMilli;
  options.aimMs = std::min(options.aimMs, options.deadlineMs);
  options.connectTimeoutMs = 250;
  options.idleMs = 60'000;
  options.maxAgeMs = scenario_.bound / kMicrosPerMilli;
  options.warmUpMs = scenario_.endpoint.slowStartDuration / kMicrosPerMilli;
  std::ostringstream seed;
  seed << std::hex << (scenario_.seed * 0x9E3779B97F4A7C15U + number * 0xD1B54A32D192ED03U);
  options.seed = seed.str();
  const Gateway& gateway = *gateways_[number];
  const transport::SocketAddress discovery = listDoorOf(gateway);
  std::vector<ListedEntry> known;
  if (scenario_.known != KnownList::None) known = listOf();
  if (scenario_.known == KnownList::Gone) {
    for (ListedEntry& entry : known) {
      entry.id = "old-" + entry.id;
      entry.hostPort = "127.0.0.1:1";  // nobody is there
    }
  }
  if (scenario_.known == KnownList::Current) options.knownRevision = service_.model().revision();
  return test::configText(options, toText(discovery), textOf(known));
}

void Site::startGateway(Gateway& gateway) {
  gateway.serving = gateway.resting = false;
  gateway.startedAt = loop_.now();
  judge_.notifications().started(gateway.name, loop_.now());
  if (gateway.child) {
    gateway.child->surround(environmentOf(gateway));
    gateway.child->restart();
    return;
  }
  std::vector<std::string> arguments;
  if (!gateway.settingsFile.empty()) arguments = {"serve", "--config", gateway.settingsFile};
  gateway.child = std::make_unique<Child>(programs_.gateway, configOf(gateway.number), std::move(arguments),
                                          environmentOf(gateway));
}

// What the endpoints are by now, at the service and where it has moved to.
void Site::publish() {
  for (const auto& endpoint : endpoints_)
    judge_.notifications().changed(endpoint->name(), stateOf(endpoint->name()), loop_.now());
  service_.set(listOf());
  if (elsewhere_) elsewhere_->set(listOf());
}

void Site::later(Micros after, std::function<void()> what) {
  later_.at(loop_.now() + after, std::move(what));
}

void Site::note(const std::string& text) { second().notes.push_back(text); }

// Who has come up serves; one that has ended by itself has crashed.
void Site::tick() {
  for (const auto& gateway : gateways_) {
    if (!gateway->child) continue;
    const auto socketAddress = gateway->child->socketAddress();
    if (gateway->child->over() && !gateway->resting) {
      gateway->resting = true;
      gateway->load->leadTo({});
      gateway->rough->leadTo({});
      std::string last = gateway->child->events().empty() ? "" : gateway->child->events().back().text;
      outcomes_.crashes.push_back(gateway->name + ", status " + std::to_string(gateway->child->status()) +
                                  ": " + last);
    } else if (!gateway->serving && !gateway->resting && socketAddress) {
      gateway->serving = true;
      gateway->load->leadTo(socketAddress);
      gateway->rough->leadTo(socketAddress);
      if (scenario_.idleClients > 0) {
        gateway->crowd = std::make_unique<ClientCrowd>(loop_, *socketAddress);
        gateway->crowd->grow(scenario_.idleClients);
      }
      outcomes_.slowestStart = std::max(outcomes_.slowestStart, loop_.now() - gateway->startedAt);
    } else {
      checkStart(*gateway);
    }
  }
  for (const auto& endpoint : endpoints_) {
    const EndpointModel& model = endpoint->model();
    if (!model.alive() || model.warmth(loop_.now()) >= 1) {
      judge_.warm(endpoint->name());
    } else {
      judge_.coldCapacity(endpoint->name(), loop_.now(), model.capacity(loop_.now()));
    }
  }
  if (loop_.now() - secondAt_ >= kMicrosPerSecond) closeSecond();
}

// STANDING: ready within 10 s; told once.
void Site::checkStart(Gateway& gateway) {
  if (gateway.serving || gateway.resting || loop_.now() - gateway.startedAt <= kReadyWithin) return;
  gateway.startedAt = loop_.now();
  outcomes_.slowestStart = std::max(outcomes_.slowestStart, kReadyWithin);
  outcomes_.crashes.push_back(gateway.name + " is not ready within 10 s");
}

void Site::closeSecond() {
  Second& now = second();
  std::uint64_t connections = 0;
  for (const auto& endpoint : endpoints_)
    connections += endpoint->model().connectionsTaken() + endpoint->model().connectionsTurnedAway();
  std::uint64_t calls = service_.model().calls() + (elsewhere_ ? elsewhere_->model().calls() : 0);
  now.connectionsAtEndpoints = connections - std::exchange(connectionsBefore_, connections);
  now.callsOfList = calls - std::exchange(callsBefore_, calls);
  now.gatewaysUp = static_cast<unsigned>(std::count_if(
      gateways_.begin(), gateways_.end(), [](const auto& d) { return d->serving && !d->resting; }));
  now.p50 = latencies_.quantile(0.5);
  now.p99 = latencies_.quantile(0.99);
  latencies_ = {};
  secondAt_ += kMicrosPerSecond;
  outcomes_.seconds.emplace_back();
}

void Site::answered(const Answer& answer) {
  switch (answer.how) {
    case Answered::Served:
      ++second().served;
      ++outcomes_.served;
      latencies_.add(answer.at - answer.intended);
      all_.add(answer.at - answer.intended);
      if (outcomes_.firstServed == 0) outcomes_.firstServed = answer.at - startedAt_;
      return;
    case Answered::Rejected: {
      ++second().rejected;
      ++outcomes_.rejected;
      const bool toPrimary = answer.kind == Kind::Status || answer.kind == Kind::Save;
      const bool room = std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& endpoint) {
        return endpoint->group() == answer.group && !phases_.contains(endpoint->name()) &&
               (!toPrimary || endpoint->model().primary()) && endpoint->model().hasRoom(answer.at);
      });
      if (!room) return;
      ++second().rejectedWithRoom;
      ++outcomes_.rejectedWithRoom;
      return;
    }
    default:
      ++second().failed;
      ++outcomes_.failed;
  }
}

ListedState Site::stateOf(const std::string& endpoint) const {
  const auto phase = phases_.find(endpoint);
  if (phase == phases_.end()) return ListedState::Ready;
  return phase->second == kGone ? ListedState::Gone : ListedState::Draining;
}

// The service has written an answer to a gateway.
void Site::noteTold(const Gateway& gateway, const ListModel::Answer& answer, bool overPath) {
  const Cut cut = overPath && !listCuts_.empty() ? listCuts_[gateway.number] : Cut{};
  if (loop_.now() < cut.until) {
    judge_.notifications().writtenIntoSilence(gateway.name, loop_.now(),
                                              {cut.from, cut.until, answer.waitEnds});
  } else {
    judge_.notifications().written(gateway.name, loop_.now());
  }
}

// Who has been sent elsewhere reaches the service there.
void Site::serviceDown(ListService& service) {
  service.goDown();
  if (!elsewhere_ || &service == elsewhere_.get()) judge_.notifications().serviceDown(loop_.now());
}

void Site::serviceUp(ListService& service) {
  service.comeUp();
  judge_.notifications().serviceUp(loop_.now());
}

void Site::called(std::size_t door, const ListModel::Answer& answer, bool overPath) {
  if (door > 0 && !gateways_[door - 1]->listed) {
    ++outcomes_.callsUntilListed;
    if (answer.kind != ListModel::Answer::Kind::Served) ++outcomes_.callsFailedUntilListed;
  }
  if (answer.kind != ListModel::Answer::Kind::Served) {
    ++outcomes_.callsFailed;
    if (door > 0) judge_.notifications().callFailed(gateways_[door - 1]->name, loop_.now());
    return;
  }
  if (door == 0) return;
  Gateway& gateway = *gateways_[door - 1];
  noteTold(gateway, answer, overPath);
  if (std::exchange(gateway.listed, true)) return;
  if (--listsMissing_ == 0) outcomes_.lastList = loop_.now() - startedAt_;
}

void Site::killPrimaries(Micros lasts) {
  std::vector<EmulatedEndpoint*> fallen;
  for (const auto& endpoint : endpoints_) {
    if (endpoint->model().primary() && endpoint->model().alive()) fallen.push_back(endpoint.get());
  }
  for (EmulatedEndpoint* endpoint : fallen) endpoint->die();
  for (const auto& endpoint : endpoints_) endpoint->model().stall(loop_.now());
  later(lasts, [this, fallen] {
    for (EmulatedEndpoint* old : fallen) {
      EmulatedEndpoint* best = nullptr;
      for (const auto& endpoint : endpoints_) {
        if (endpoint->group() != old->group() || !endpoint->model().alive()) continue;
        if (best == nullptr || endpoint->model().position(loop_.now()) > best->model().position(loop_.now()))
          best = endpoint.get();
      }
      if (best != nullptr) best->model().lead();
    }
    for (const auto& endpoint : endpoints_) {
      if (endpoint->model().alive()) endpoint->model().goOn();
    }
    note("replicas lead");
  });
  later(lasts + kListLearns, [this] { publish(); });
  later(lasts + kMicrosPerSecond, [this, fallen] {
    for (EmulatedEndpoint* endpoint : fallen) endpoint->start();
    publish();
    note("the old primaries are back, cold");
  });
}

void Site::restartEndpoints(double share, Micros lasts, bool drain) {
  // Replicas first: a primary goes only where all go.
  std::vector<EmulatedEndpoint*> chosen;
  for (const bool primaries : {false, true}) {
    for (const auto& endpoint : endpoints_) {
      if (endpoint->model().alive() && endpoint->model().primary() == primaries)
        chosen.push_back(endpoint.get());
    }
  }
  chosen.resize(partOf(share, chosen.size()));
  std::erase_if(chosen,
                [share](EmulatedEndpoint* endpoint) { return share < 1 && endpoint->model().primary(); });
  const Micros goAfter = drain ? kDrainLasts : 0;
  if (drain) {
    for (EmulatedEndpoint* endpoint : chosen) {
      phases_[endpoint->name()] = kTerminating;
      endpoint->setDraining(true);
    }
    publish();
  }
  const auto led = std::make_shared<std::vector<EmulatedEndpoint*>>();
  later(goAfter, [this, chosen, led] {
    for (EmulatedEndpoint* endpoint : chosen) {
      if (endpoint->model().primary()) led->push_back(endpoint);
      endpoint->die();
      phases_[endpoint->name()] = kGone;
    }
    publish();
  });
  later(goAfter + lasts, [this, chosen, led] {
    for (EmulatedEndpoint* endpoint : chosen) {
      endpoint->start();
      phases_.erase(endpoint->name());
    }
    for (EmulatedEndpoint* endpoint : *led) endpoint->model().lead();
    publish();
    note("members are back, cold");
  });
}

void Site::rollGateways(double share, Micros lasts) {
  const std::size_t count = partOf(share, gateways_.size());
  for (std::size_t i = 0; i < count; ++i) {
    Gateway& gateway = *gateways_[i];
    const Micros at = lasts * static_cast<Micros>(i) / static_cast<Micros>(count);
    later(at, [this, &gateway] { endGateway(gateway); });
    // The kernel has its ports again, and what was out has its answer.
    later(at + (scenario_.hardStops ? killAfterTerm() : 2 * kMicrosPerSecond),
          [this, &gateway] { startAgain(gateway); });
  }
}

// A process that is not at its first line yet takes a signal by the system's own effect, which no program can
// help; a platform that starts one waits for it too.
void Site::reloadGateway(Gateway& gateway) {
  const Micros due = gateway.startedAt + kAtFirstLine;
  if (loop_.now() >= due) return gateway.child->signal(SIGHUP);
  later(due - loop_.now(), [this, &gateway] { reloadGateway(gateway); });
}

void Site::endGateway(Gateway& gateway) {
  gateway.resting = true;
  gateway.rough->leadTo({});
  if (!scenario_.hardStops) {
    gateway.load->rest();
  } else {
    gateway.load->mayCross();
    later(kStillComing, [&gateway] { gateway.load->keepOnly(); });
  }
  if (!scenario_.signalSeries) return gateway.child->signal(SIGTERM);
  const auto pair = [&gateway] {
    gateway.child->signal(SIGHUP);
    gateway.child->signal(SIGTERM);
  };
  pair();
  later(kSecondPair, pair);
  later(kLastSignal, [&gateway] { gateway.child->signal(SIGTERM); });
}

// SIGKILL comes as early as a platform may send it.
Micros Site::killAfterTerm() const {
  return std::min(scenario_.deadline, kKillDeadlineMost) + kKillAfterDeadline;
}

// What was told to end a while ago, or is killed now.
void Site::startAgain(Gateway& gateway) {
  if (!gateway.child->over()) {
    scenario_.hardStops ? judge_.endedOwing(gateway.name, loop_.now())
                        : judge_.killed(gateway.name, loop_.now());
  } else if (gateway.child->status() != kExitedWell) {
    outcomes_.crashes.push_back(gateway.name + " ended with status " +
                                std::to_string(gateway.child->status()));
  }
  gateway.load->leadTo({});
  startGateway(gateway);
}

// Of the first so many paths, for a time.
void Site::changePaths(std::vector<std::unique_ptr<StreamLink>>& links, double share, Micros lasts,
                       const Fault& fault) {
  const std::size_t count = partOf(share, links.size());
  // The last ones first: the first endpoints are primaries.
  for (std::size_t i = links.size() - count; i < links.size(); ++i)
    links[i]->change(Weather({fault}, scenario_.seed + i));
  later(lasts, [this, &links, count] {
    for (std::size_t i = links.size() - count; i < links.size(); ++i)
      links[i]->change(Weather({}, scenario_.seed + i));
    note("paths are whole again");
  });
}

void Site::begin(const Happening& happening) {
  using Is = Happening::Kind;
  note(std::string(nameOf(happening.kind)));
  const std::size_t count = partOf(happening.share, gateways_.size());
  switch (happening.kind) {
    case Is::KillGateways:
      for (std::size_t i = 0; i < count; ++i) {
        Gateway& gateway = *gateways_[i];
        gateway.resting = true;
        judge_.killed(gateway.name, loop_.now());
        gateway.load->leadTo({});
        gateway.rough->leadTo({});
        gateway.child->kill();
      }
      return later(happening.lasts, [this, count] {
        for (std::size_t i = 0; i < count; ++i)
          later(static_cast<Micros>(i), [this, i] { startGateway(*gateways_[i]); });
        note(std::to_string(count) + " drivers start again");
      });
    case Is::RollGateways:
      return rollGateways(happening.share, happening.lasts);
    case Is::PauseGateways:
      for (std::size_t i = 0; i < count; ++i) {
        gateways_[i]->load->rest();
        gateways_[i]->rough->leadTo({});
        judge_.killed(gateways_[i]->name, loop_.now());  // its silence is the rig's doing
        gateways_[i]->child->pause();
      }
      return later(happening.lasts, [this, count] {
        for (std::size_t i = 0; i < count; ++i) {
          gateways_[i]->child->resume();
          // What was still on its way as it was stopped.
          judge_.killed(gateways_[i]->name, loop_.now());
          gateways_[i]->load->leadTo({});
          gateways_[i]->serving = false;
        }
        note("drivers go on");
      });
    case Is::KillPrimary:
      return killPrimaries(happening.lasts);
    case Is::RestartEndpoints:
      return restartEndpoints(happening.share, happening.lasts, false);
    case Is::DrainEndpoints:
      return restartEndpoints(happening.share, happening.lasts, true);
    case Is::ListDown:
      serviceDown(service_);
      return later(happening.lasts, [this] {
        serviceUp(service_);
        note("the list service is back");
      });
    case Is::ListOlder:
      serviceDown(service_);
      return later(happening.lasts, [this] {
        service_.model().goBackTo(kServiceRevision / 2);
        publish();
        serviceUp(service_);
        note("the list service is back with an older state");
      });
    case Is::LogsUnread:
      // One that starts has yet to say where it serves.
      for (std::size_t i = 0; i < count; ++i) gateways_[i]->child->setDeaf(gateways_[i]->serving);
      return later(happening.lasts, [this, count] {
        for (std::size_t i = 0; i < count; ++i) gateways_[i]->child->setDeaf(false);
        note("logs are read again");
      });
    case Is::ReloadGateways:
      for (std::size_t i = 0; i < count; ++i) reloadGateway(*gateways_[i]);
      return;
    case Is::CutEndpoints:
    case Is::HangEndpoints:
    case Is::SlowEndpoints:
    case Is::ResetEndpoints:
      return changePaths(endpointPaths_, happening.share, happening.lasts, pathFaultOf(happening.kind));
    case Is::CutList:
      listCuts_.resize(listPaths_.size());
      for (std::size_t i = listPaths_.size() - partOf(happening.share, listPaths_.size());
           i < listPaths_.size(); ++i)
        listCuts_[i] = {loop_.now(), loop_.now() + happening.lasts};
      return changePaths(listPaths_, happening.share, happening.lasts, pathFaultOf(happening.kind));
    case Is::ListMoves:
      elsewhere_ = std::make_unique<ListService>(loop_, scenario_.list);
      elsewhere_->onAnswer = [this](std::size_t door, const ListModel::Answer& answer) {
        called(door, answer, false);
      };
      elsewhere_->model().goBackTo(kServiceRevision / 2);
      elsewhere_->set(listOf());
      judge_.notifications().serviceUp(loop_.now());
      for (const auto& gateway : gateways_) {
        gateway->elsewhere = elsewhere_->addDoor();
        gateway->child->configure(configOf(gateway->number));
        judge_.notifications().moved(gateway->name, std::max(loop_.now(), gateway->startedAt + kAtFirstLine));
        reloadGateway(*gateway);
      }
      return later(happening.lasts, [this] { serviceDown(service_); });
    case Is::ListCrowded:
      for (ListService* service : {&service_, elsewhere_.get()}) {
        if (service != nullptr) service->model().setCrowded(happening.share);
      }
      return later(happening.lasts, [this] {
        for (ListService* service : {&service_, elsewhere_.get()}) {
          if (service != nullptr) service->model().setCrowded(0);
        }
        note("the list service has room again");
      });
  }
}

Outcomes Site::play(const std::function<bool(std::size_t number, const Second&)>& onSecond) {
  outcomes_.scenario = scenario_.name;
  outcomes_.seconds.emplace_back();
  listsMissing_ = gateways_.size();
  loop_.turn(0);
  startedAt_ = secondAt_ = loop_.now();
  if (scenario_.cold) {
    for (const auto& endpoint : endpoints_) {
      const bool led = endpoint->model().primary();
      endpoint->start();
      if (led) endpoint->model().lead();
    }
  }
  publish();
  if (scenario_.listUpAt > 0) {
    serviceDown(service_);
    later(scenario_.listUpAt, [this] {
      serviceUp(service_);
      note("the list service is up");
    });
  }
  Micros due = 0;
  transport::Timer ticking(loop_, [&] {
    // What a start of many processes takes is no word on the rig's own pace.
    if (due != 0) outcomes_.late = std::max(outcomes_.late, loop_.now() - due);
    tick();
    due = loop_.now() + kTick;
    ticking.arm(due);
  });
  ticking.arm(loop_.now() + kTick);
  const std::size_t busy = partOf(scenario_.busyShare, gateways_.size());
  for (const auto& gateway : gateways_) {
    const double rate = scenario_.perGateway * (gateway->number < busy ? scenario_.busyTimes : 1);
    gateway->load = std::make_unique<Load>(
        loop_, gateway->name,
        Arrivals(rate, scenario_.mix, scenario_.groups, scenario_.seed * 7919 + gateway->number, startedAt_),
        scenario_.patience, scenario_.bound, judge_, [this](const Answer& answer) { answered(answer); },
        scenario_.leaving, scenario_.seed * 104'729 + gateway->number);
    gateway->rough = std::make_unique<RoughClients>(loop_, gateway->name, scenario_.rough, scenario_.groups,
                                                    scenario_.patience,
                                                    scenario_.seed * 15'485'863 + gateway->number, judge_);
    startGateway(*gateway);
    // Starting hundreds takes a while, in which those that are up must not find endpoints and list service
    // frozen.
    loop_.turn(0);
  }
  for (const Happening& happening : scenario_.happenings)
    later(happening.at, [this, happening] { begin(happening); });
  const Micros end = startedAt_ + scenario_.length;
  bool goOn = true;
  std::size_t told = 0;
  while (goOn && loop_.now() < end) {
    loop_.turn(kTick);
    for (; goOn && told + 1 < outcomes_.seconds.size(); ++told) {
      if (onSecond) goOn = onSecond(told, outcomes_.seconds[told]);
    }
  }
  // What is out still gets its answer.
  for (const auto& gateway : gateways_) {
    gateway->load->stop();
    gateway->rough->stop();
  }
  const Micros last = loop_.now() + scenario_.patience + kMicrosPerSecond;
  const auto open = [&] {
    return std::any_of(gateways_.begin(), gateways_.end(), [](const auto& d) { return d->load->open() > 0; });
  };
  while (loop_.now() < last && open()) loop_.turn(kTick);
  return finish();
}

void Site::gatherCounters() {
  for (const auto& gateway : gateways_) gateway->child->signal(SIGUSR1);
  const Micros end = loop_.now() + 3 * kMicrosPerSecond;
  const auto told = [](const auto& gateway) {
    return gateway->child->over() || gateway->child->counters().contains(kLastCounter);
  };
  while (loop_.now() < end && !std::all_of(gateways_.begin(), gateways_.end(), told)) loop_.turn(kTick);
  for (const auto& gateway : gateways_) {
    for (const auto& [name, value] : gateway->child->counters()) outcomes_.counters[name] += value;
  }
}

// What the gateways' own guards saw, of all their lives.
void Site::gatherViolations() {
  for (const auto& gateway : gateways_) {
    for (const LogEvent& event : gateway->child->linesWith("invariants: broken"))
      judge_.seen(Rule::InvariantsKept, event.at, gateway->name, event.text);
    if (programs_.traces.empty()) continue;
    std::ofstream log(programs_.traces + "/" + gateway->name + ".log");
    for (const LogEvent& event : gateway->child->events())
      log << event.at - startedAt_ << ' ' << event.text << '\n';
  }
}

Outcomes Site::finish() {
  gatherCounters();
  gatherViolations();
  if (outcomes_.seconds.size() > 1) outcomes_.seconds.pop_back();  // the one that is not over
  judge_.finish(loop_.now());
  for (std::size_t i = 0; i < kRules; ++i) outcomes_.broken[i] = judge_.count(static_cast<Rule>(i));
  outcomes_.breaches = judge_.breaches();
  for (Breach& breach : outcomes_.breaches) breach.at -= startedAt_;
  for (const auto& gateway : gateways_) {
    outcomes_.asked += gateway->load->asked();
    outcomes_.unreached += gateway->load->unreached();
  }
  outcomes_.p50 = all_.quantile(0.5);
  outcomes_.p99 = all_.quantile(0.99);
  for (ListService* service : {&service_, elsewhere_.get()}) {
    if (service == nullptr) continue;
    outcomes_.calls += service->model().calls();
    outcomes_.mostCalls = std::max(outcomes_.mostCalls, service->model().arrivals().mostWithin(kBurst));
  }
  for (const auto& endpoint : endpoints_) {
    const EndpointModel& model = endpoint->model();
    outcomes_.connections += model.connectionsTaken() + model.connectionsTurnedAway();
    outcomes_.connectionsTurnedAway += model.connectionsTurnedAway();
    outcomes_.mostConnections = std::max(outcomes_.mostConnections, model.connects().mostWithin(kBurst));
    outcomes_.healthChecks += endpoint->healthChecks();
  }
  return outcomes_;
}

}  // namespace heathflow::emulator
