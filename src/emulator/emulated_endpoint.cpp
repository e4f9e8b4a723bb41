#include "emulator/emulated_endpoint.h"

#include <optional>
#include <utility>

#include "emulator/units.h"
#include "protocol/request_comment.h"

namespace heathflow::emulator {
namespace {

// Formats a time as seconds with three decimals, the format of log positions in load reports.
std::string secondsOf(Micros at) {
  const std::string millis = std::to_string(1000 + at / kMicrosPerMilli % 1000).substr(1);
  return std::to_string(at / 1'000'000) + "." + millis;
}

}  // namespace

EmulatedEndpoint::EmulatedEndpoint(transport::EventLoop& loop, std::string name, std::uint32_t group,
                                   const EndpointCosts& costs, bool primary, std::uint64_t seed, Judge& judge)
    : loop_(loop),
      name_(std::move(name)),
      group_(group),
      model_(costs, primary, seed),
      judge_(judge),
      server_(loop),
      delayedActions_(loop) {
  server_.keepsStatements = false;
  server_.onStartup = [this](test::Line& line) { onConnect(line); };
  server_.answer = [this](test::Line& line, const std::string& statement) { onStatement(line, statement); };
  server_.healthCheck = [this](test::Line& line, const std::string&) { onHealthCheck(line); };
  server_.readinessCheck = [this](test::Line& line, const std::string&) { onReadinessCheck(line); };
}

void EmulatedEndpoint::stop() {
  model_.stop(loop_.now());
  server_.shut();
  stopped_ = true;
  delayedActions_.clear();
}

void EmulatedEndpoint::start() {
  draining_ = false;
  model_.start(loop_.now());
  model_.resumeReplication();
  startedAt_ = loop_.now();
  if (std::exchange(stopped_, false)) server_.reopen();
}

void EmulatedEndpoint::sendAt(Micros at, test::Line& line, std::function<std::string()> what,
                              bool thenClose) {
  delayedActions_.at(at, [&line, what = std::move(what), thenClose] {
    const std::string bytes = what();
    if (!line.ended && !line.stream.closed()) line.say(bytes);
    if (thenClose) line.hangUp();
  });
}

void EmulatedEndpoint::onConnect(test::Line& line) {
  const EndpointModel::ConnectResult outcome = model_.connect(loop_.now());
  if (!outcome.accepted)
    return sendAt(
        outcome.at, line, [] { return test::pg::error("53300", "FATAL"); }, true);
  line.onGone = [this] { model_.disconnected(); };
  sendAt(outcome.at, line, [] { return test::pg::welcome(); });
}

void EmulatedEndpoint::onStatement(test::Line& line, const std::string& statement) {
  const auto comment = protocol::parseRequestComment(statement);
  if (!comment) return line.say(test::pg::error("08P01") + test::pg::ready());
  const std::string id(comment->id);
  const Micros now = loop_.now();
  const EndpointModel::RequestOutcome outcome = model_.request(now, comment->write);
  switch (outcome.kind) {
    case EndpointModel::RequestOutcome::Kind::Full:
      return line.say(test::pg::error("53300") + test::pg::ready());
    case EndpointModel::RequestOutcome::Kind::NotPrimary:
      return line.say(test::pg::error("25006") + test::EndpointStandIn::statusParameters(false) +
                      test::pg::ready());
    case EndpointModel::RequestOutcome::Kind::Served:
      break;
  }
  std::optional<Micros> forwardedTimeout;
  if (comment->timeoutMs) forwardedTimeout = *comment->timeoutMs * kMicrosPerMilli;
  judge_.attemptReceived(id, name_, now, outcome.position, forwardedTimeout);
  sendAt(outcome.at, line, [this, id, position = outcome.position] {
    judge_.requestExecuted(id, name_, loop_.now());
    return test::pg::row(id) +
           test::EndpointStandIn::statusParameters(model_.primary(), position / kMicrosPerMilli) +
           test::pg::ready();
  });
}

void EmulatedEndpoint::onReadinessCheck(test::Line& line) {
  line.say((draining_ ? test::pg::error("57P03") : test::pg::row("1")) + test::pg::ready());
}

void EmulatedEndpoint::onHealthCheck(test::Line& line) {
  if (draining_) return line.say(test::pg::error("57P03") + test::pg::ready());
  const std::string role = model_.primary() ? "1" : "0";
  line.say(test::pg::row("x0=" + secondsOf(model_.position(loop_.now())) + ",x1=" + role) +
           test::pg::ready());
}

}  // namespace heathflow::emulator
