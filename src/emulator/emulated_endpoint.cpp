#include "emulator/emulated_endpoint.h"

#include <optional>
#include <utility>

#include "protocol/request_comment.h"

namespace heathflow::emulator {
namespace {

constexpr Micros kMicrosPerMilli = 1000;

// Seconds with three decimals, as a report tells a position.
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
  server_.door = [this](test::Line& line) { welcome(line); };
  server_.answer = [this](test::Line& line, const std::string& statement) { asked(line, statement); };
  server_.healthCheck = [this](test::Line& line, const std::string&) { healthChecked(line); };
}

void EmulatedEndpoint::die() {
  model_.die(loop_.now());
  server_.shut();
  shut_ = true;
  delayedActions_.clear();
}

void EmulatedEndpoint::start() {
  draining_ = false;
  model_.start(loop_.now());
  model_.goOn();
  startedAt_ = loop_.now();
  if (std::exchange(shut_, false)) server_.reopen();
}

void EmulatedEndpoint::sayAt(Micros at, test::Line& line, std::function<std::string()> what, bool thenClose) {
  delayedActions_.at(at, [&line, what = std::move(what), thenClose] {
    const std::string words = what();
    if (!line.ended && !line.stream.closed()) line.say(words);
    if (thenClose) line.hangUp();
  });
}

void EmulatedEndpoint::welcome(test::Line& line) {
  const EndpointModel::Welcome verdict = model_.connect(loop_.now());
  if (!verdict.taken)
    return sayAt(
        verdict.at, line, [] { return test::pg::error("53300", "FATAL"); }, true);
  line.onGone = [this] { model_.disconnected(); };
  sayAt(verdict.at, line, [] { return test::pg::welcome(); });
}

void EmulatedEndpoint::asked(test::Line& line, const std::string& statement) {
  const auto comment = protocol::parseRequestComment(statement);
  if (!comment) return line.say(test::pg::error("08P01") + test::pg::ready());
  const std::string id(comment->id);
  const Micros now = loop_.now();
  const EndpointModel::Verdict verdict = model_.ask(now, comment->write);
  switch (verdict.kind) {
    case EndpointModel::Verdict::Kind::Full:
      return line.say(test::pg::error("53300") + test::pg::ready());
    case EndpointModel::Verdict::Kind::NotPrimary:
      return line.say(test::pg::error("25006") + test::EndpointStandIn::news(false) + test::pg::ready());
    case EndpointModel::Verdict::Kind::Served:
      break;
  }
  std::optional<Micros> told;
  if (comment->timeoutMs) told = *comment->timeoutMs * kMicrosPerMilli;
  judge_.attemptReceived(id, name_, now, verdict.position, told);
  sayAt(verdict.at, line, [this, id, position = verdict.position] {
    judge_.requestExecuted(id, name_, loop_.now());
    return test::pg::row(id) + test::EndpointStandIn::news(model_.primary(), position / kMicrosPerMilli) +
           test::pg::ready();
  });
}

void EmulatedEndpoint::healthChecked(test::Line& line) {
  if (draining_) return line.say(test::pg::error("57P03") + test::pg::ready());
  const std::string role = model_.primary() ? "1" : "0";
  line.say(test::pg::row("x0=" + secondsOf(model_.position(loop_.now())) + ",x1=" + role) +
           test::pg::ready());
}

}  // namespace heathflow::emulator
