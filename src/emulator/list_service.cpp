#include "emulator/list_service.h"

#include <cstdlib>
#include <utility>

#include "emulator/units.h"

namespace heathflow::emulator {
namespace {

// Returns a number in the query of a call; 'otherwise' if there is none.
std::int64_t numberOf(const std::string& call, const std::string& name, std::int64_t otherwise) {
  const std::size_t at = call.find(name + "=");
  return at == std::string::npos ? otherwise : std::strtoll(call.c_str() + at + name.size() + 1, nullptr, 10);
}

std::string response(int status, const std::string& body, std::optional<unsigned> retryAfter = {}) {
  std::string out =
      "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  if (retryAfter) out += "Retry-After: " + std::to_string(*retryAfter) + "\r\n";
  return out + "\r\n" + body;
}

}  // namespace

ListService::ListService(transport::EventLoop& loop, ListCosts costs, std::uint32_t address)
    : Listening(loop, address), model_(costs), delayedActions_(loop) {}

std::size_t ListService::addListener() {
  listeners_.push_back(std::make_unique<Listener>(loop_, *this, listeners_.size() + 1));
  return listeners_.size();
}

const transport::SocketAddress& ListService::listenerAddress(std::size_t number) const {
  return number == 0 ? socketAddress() : listeners_.at(number - 1)->socketAddress();
}

void ListService::onInputFrom(test::Line& line, std::size_t listener) {
  for (;;) {
    const std::size_t end = line.got.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const std::string call = line.got.substr(0, line.got.find("\r\n"));
    line.got.erase(0, end + 4);
    onCall(line, call, listener);
  }
}

void ListService::onCall(test::Line& line, const std::string& call, std::size_t listener) {
  const std::int64_t since = numberOf(call, "since", -1);
  const Micros wait = numberOf(call, "timeout_ms", 0) * kMicrosPerMilli;
  const auto now = model_.call(loop_.now(), since, wait > kMicrosPerMilli);
  if (now) return answer(line, *now, listener);
  waiting_.push_back({&line, since, listener, loop_.now() + wait, nullptr});
  const auto entry = std::prev(waiting_.end());
  entry->limit = std::make_unique<transport::Timer>(loop_, [this, entry] {
    Waiting done = std::move(*entry);
    waiting_.erase(entry);
    answerWaiting(done);
    loop_.deleteLater(std::move(done.limit));
  });
  entry->limit->arm(loop_.now() + wait);
}

void ListService::answer(test::Line& line, const ListModel::Answer& what, std::size_t listener) {
  if (what.kind != ListModel::Answer::Kind::Served && onAnswer) onAnswer(listener, what);
  if (what.kind == ListModel::Answer::Kind::Reset) return line.hangUp();
  if (what.kind == ListModel::Answer::Kind::Rejected) {
    return line.say(response(503, "", model_.costs().retryAfterSeconds));
  }
  delayedActions_.at(what.at, [this, &line, what, listener] {
    if (line.ended || line.stream.closed()) return;
    line.say(response(200, what.body));
    if (onAnswer) onAnswer(listener, what);
  });
}

// Answers a call that has waited. A caller that has disconnected gets no answer and costs nothing.
void ListService::answerWaiting(Waiting& waiting) {
  if (waiting.line->ended || waiting.line->stream.closed()) return;
  ListModel::Answer out = model_.answerWatch(loop_.now(), waiting.since);
  out.waitEnds = waiting.waitEnds;
  answer(*waiting.line, out, waiting.listener);
}

void ListService::set(std::vector<ListedEntry> entries) {
  model_.set(std::move(entries));
  for (Waiting& waiting : std::exchange(waiting_, {})) {
    waiting.limit->disarm();
    answerWaiting(waiting);
  }
}

void ListService::goDown() {
  model_.setDown(true);
  waiting_.clear();
  delayedActions_.clear();
  shut();
  for (auto& listener : listeners_) listener->shut();
}

void ListService::comeUp() {
  model_.setDown(false);
  reopen();
  for (auto& listener : listeners_) listener->reopen();
}

}  // namespace heathflow::emulator
