#include "program/gateway.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "discovery/cached_list_trust.h"
#include "discovery/crash_loop_delay.h"

namespace heathflow::program {
namespace {

using transport::Micros;
constexpr Micros kMicrosPerSecond = 1'000'000;

// Used for idle connections if the settings have no limit: the kernel's default TCP keepalive time, 2 hours.
constexpr Micros kDefaultIdleTimeout = 7'200'000'000;

// After SIGTERM the process is killed no sooner than the longest request timeout, capped at 3 s, plus 0.7 s.
// Requests are answered 0.5 s earlier, so that clients can still read the answers.
constexpr Micros kMaxRequestTimeoutBeforeKill = 3'000'000;
constexpr Micros kKillAfterRequestTimeout = 700'000;
constexpr Micros kAnswerBeforeKill = 500'000;

// A mean latency is stored in the snapshot only if it is the mean of at least this many answers.
constexpr std::uint64_t kMinAnswersForLatency = 50;

// Half of the memory is for the connections' buffers, the rest for the program, its request state and lists.
constexpr std::size_t kBufferMemoryDivisor = 2;

// Returns the time from SIGTERM within which all requests must be answered.
Micros shutdownTimeout(const PolicySettings& settings) {
  Micros longest = 0;
  for (const RequestClassSettings& entry : settings.classes)
    longest = std::max(longest, entry.requestTimeout);
  return std::min(longest, kMaxRequestTimeoutBeforeKill) + kKillAfterRequestTimeout - kAnswerBeforeKill;
}

discovery::DiscoveryScheduleSettings scheduleSettings(const Config& config,
                                                      const std::optional<snapshot::Snapshot>& earlier) {
  discovery::DiscoveryScheduleSettings out;
  out.gatewayName = config.name;
  // If lists are pushed, each gateway has a list service of its own, which serves no other gateway.
  out.dedicatedService = !config.settings.policy.discoveryIsPolled;
  out.gatewayCount = out.dedicatedService ? 1 : config.settings.policy.gatewayCount;
  out.maxPollInterval = config.settings.policy.maxPollInterval;
  out.seed = config.seed;
  if (!earlier) return out;
  out.callCost = earlier->callCost;
  out.startDelay = discovery::crashLoopDelay(earlier->earlyCrashes, out.maxPollInterval);
  return out;
}

// Sets the initial latency to the one that an earlier incarnation measured.
settings::InstanceSettings withInitialLatency(settings::InstanceSettings settings,
                                              const std::optional<snapshot::Snapshot>& earlier) {
  if (earlier) settings.policy.initialLatency = earlier->initialLatency;
  return settings;
}

upstream::ConnectionPool::Timeouts poolTimeouts(const settings::InstanceSettings& settings) {
  return {settings.policy.connectTimeout, settings.idleTime > 0 ? settings.idleTime : kDefaultIdleTimeout};
}

// Returns whether an error is about the address and not about a lack of resources.
bool isAddressError(int error) {
  return error == EADDRINUSE || error == EADDRNOTAVAIL || error == EACCES || error == EPERM ||
         error == EINVAL;
}

}  // namespace

Gateway::Gateway(transport::EventLoop& loop, const Config& config, stats::Observer& observer,
                 const installation::Installation& installation,
                 const std::optional<snapshot::Snapshot>& earlier)
    : loop_(loop),
      config_(config),
      installation_(installation),
      protocols_(makeProtocols(installation)),
      budget_(config.sockets, observer.counters),
      pool_(loop, poolProtocols(protocols_), poolTimeouts(config.settings), budget_, observer),
      router_(loop, withInitialLatency(config.settings, earlier), config.seed, pool_, observer),
      observer_(observer),
      directory_(pool_, defaultPorts(protocols_), familyPorts(protocols_, installation), observer),
      schedule_(scheduleSettings(config, earlier), loop.now()),
      watch_(
          loop, config.discovery, schedule_, observer,
          [this](const protocol::EndpointList& list) { onList(list); },
          [this] {
            router_.endpointsChanged({EndpointsChanged::Scope::Failed, {}});
          },
          [this](std::optional<Micros> latestConnectedSince) {
            router_.listExpired({discovery::kNotificationTimeout, latestConnectedSince});
          }),
      context_(config.settings.classNames) {
  if (earlier) snapshot_ = *earlier;
  loop.memory().setLimit(config.memory / kBufferMemoryDivisor);
  loop.memory().addReclaimer(context_.incompleteMessages);
  router_.onSubscribe([this] { watch_.subscribe(); });
  for (const installation::Family& family : installation_.families) {
    std::vector<bool>& served = context_.servedProtocols[family.cluster];
    for (const auto& protocol : protocols_) served.push_back(family.supports(protocol->name()));
  }
  installation::Listener platform;
  platform.name = "listen";
  platform.address = config.listen;
  platform.protocol = kPlatformProtocol;
  addListener(platform);
  for (const installation::Listener& listener : installation_.listeners) addListener(listener);
}

Gateway::~Gateway() { loop_.memory().removeReclaimer(context_.incompleteMessages); }

void Gateway::addListener(const installation::Listener& settings) {
  std::size_t index = 0;
  while (index + 1 < protocols_.size() && protocols_[index]->name() != settings.protocol) ++index;
  Listener added;
  added.address = settings.address;
  added.name = settings.name;
  added.protocol = makeProtocol(settings.protocol, installation_, &settings);
  added.listener = std::make_unique<downstream::ClientListener>(loop_, router_, pool_, budget_, observer_,
                                                                *added.protocol, index, context_);
  listeners_.push_back(std::move(added));
}

std::optional<ListenError> Gateway::listen() {
  for (Listener& listener : listeners_) {
    if (listener.listener->listening()) continue;
    const int error = listener.listener->listen(listener.address);
    if (error != 0) return listenError(listener, error);
    if (const auto bound = listener.listener->boundTo()) listener.protocol->setListenAddress(toText(*bound));
  }
  return {};
}

ListenError Gateway::listenError(const Listener& listener, int error) const {
  const bool platform = &listener == &listeners_.front();
  ListenError out;
  out.systemError = error;
  out.text = platform ? "configuration key 'listen'" : "listener '" + listener.name + "'";
  out.text += isAddressError(error)
                  ? (platform ? " holds" : " has") + std::string(" an address that can't be bound: ")
                  : ": the listening socket can't be opened: ";
  out.text += std::strerror(error);
  return out;
}

void Gateway::start() {
  const protocol::EndpointList list = initialList();
  snapshot_.source = toText(config_.discovery);
  if (!installation_.snapshot.file.empty()) snapshot_.list = list;
  watch_.startFrom(list.revision);
  router_.endpointsChanged(directory_.apply(list, loop_.now(), false));
  router_.start();
  router_.checker().servingStarted();
  // If lists are pushed, the policy does not subscribe. The gateway receives pushed lists over the same watch
  // as polled ones, so it subscribes itself.
  if (!config_.settings.policy.discoveryIsPolled) watch_.subscribe();
}

// Returns the newest list known before discovery has answered, from the configuration or the snapshot.
protocol::EndpointList Gateway::initialList() const {
  protocol::EndpointList known = config_.known;
  known.complete = true;
  discovery::CachedListSettings settings;
  settings.maxPollInterval = config_.settings.policy.maxPollInterval;
  settings.maxAge = installation_.snapshot.maxListAgeSeconds * kMicrosPerSecond;
  settings.healthChecksAllowed = config_.settings.policy.healthChecksAllowed;
  const auto cached = snapshot::trustedList(snapshot_, loop_.now(), settings);
  // Revisions of different list services can't be compared.
  const bool sameSource = snapshot_.source == toText(config_.discovery);
  return cached && sameSource && cached->revision > known.revision ? *cached : known;
}

void Gateway::reload(const Config& updated) {
  watch_.moveTo(updated.discovery);
  // The current list is from the previous address until the new one has answered.
  newListSource_ = toText(updated.discovery);
}

// Applies a complete list or a list of changes. The snapshot always holds the complete list, because the next
// incarnation needs that one.
void Gateway::onList(const protocol::EndpointList& list) {
  if (!installation_.snapshot.file.empty()) {
    snapshot_.listValidAsOf = loop_.now();
    if (!newListSource_.empty()) snapshot_.source = std::exchange(newListSource_, {});
    protocol::apply(list, snapshot_.list);
  }
  router_.endpointsChanged(directory_.apply(list, loop_.now(), true));
}

snapshot::Snapshot Gateway::currentSnapshot() const {
  snapshot::Snapshot out = snapshot_;
  out.name = config_.name;
  out.writtenAt = loop_.now();
  out.callCost = schedule_.callCost();
  const stats::Counters& counters = observer_.counters;
  const auto served = counters.attemptsEnded[static_cast<std::size_t>(AttemptOutcome::Ok)];
  if (served >= kMinAnswersForLatency)
    out.initialLatency = static_cast<Micros>(counters.successfulAttemptTime / served);
  return out;
}

void Gateway::beginShutdown(std::function<void()> done) {
  // A second signal restarts neither the timeout nor the shutdown of the listeners.
  if (std::exchange(shuttingDown_, true)) return;
  router_.shutDown(loop_.now() + shutdownTimeout(config_.settings.policy));
  listenersShuttingDown_ = listeners_.size();
  const auto allDone = std::make_shared<std::function<void()>>(std::move(done));
  for (Listener& listener : listeners_) {
    listener.listener->beginShutdown([this, allDone] {
      if (--listenersShuttingDown_ == 0) (*allDone)();
    });
  }
}

}  // namespace heathflow::program
