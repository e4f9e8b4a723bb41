#include "emulator/list_feed.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>
#include <set>
#include <utility>

#include "emulator/units.h"

namespace heathflow::emulator {
namespace {

// The revision of a caller that has none, and the key of responses with the complete list.
constexpr std::int64_t kNoRevision = -1;
constexpr const char* kDraining = "Terminating";
constexpr const char* kReady = "Ready";
constexpr std::size_t kArrivalsKept = 100'000;

// Returns the number after a name in the call's path; 'otherwise' if there is none.
std::int64_t numberOf(const std::string& call, const std::string& name, std::int64_t otherwise) {
  const std::size_t at = call.find(name + "=");
  return at == std::string::npos ? otherwise : std::strtoll(call.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace

ListFeed::ListFeed(transport::EventLoop& loop, std::vector<ListedEntry> entries)
    : Listening(loop), entries_(std::move(entries)), arrivals_(kArrivalsKept) {}

void ListFeed::change(std::size_t endpoint) {
  ListedEntry& entry = entries_.at(endpoint);
  entry.phase = entry.phase == kReady ? kDraining : kReady;
  changed_.push_back(endpoint);
  ++revision_;
  responses_.clear();
  for (auto& [line, waiting] : std::exchange(waiting_, {})) answer(*line, waiting.since);
}

std::size_t ListFeed::watching(std::int64_t since) const {
  return static_cast<std::size_t>(std::count_if(
      waiting_.begin(), waiting_.end(), [&](const auto& entry) { return entry.second.since >= since; }));
}

Micros ListFeed::meanWait() const {
  if (waiting_.empty()) return 0;
  const Micros sum = std::accumulate(waiting_.begin(), waiting_.end(), Micros{0},
                                     [](Micros so, const auto& entry) { return so + entry.second.wait; });
  return sum / static_cast<Micros>(waiting_.size());
}

void ListFeed::goDown() {
  waiting_.clear();
  shut();
}

void ListFeed::comeUp() {
  arrivals_ = BurstCounter(kArrivalsKept);
  reopen();
}

void ListFeed::onLineInput(test::Line& line) {
  if (!line.onGone) line.onGone = [this, &line] { waiting_.erase(&line); };
  for (;;) {
    const std::size_t end = line.got.find("\r\n\r\n");
    if (end == std::string::npos) return;
    traffic_.bytesIn += end + 4;
    const std::string call = line.got.substr(0, line.got.find("\r\n"));
    line.got.erase(0, end + 4);
    onCall(line, call);
  }
}

void ListFeed::onCall(test::Line& line, const std::string& call) {
  ++traffic_.calls;
  arrivals_.add(loop_.now());
  if (keepsCalls) calls.push_back(call);
  const std::int64_t since = numberOf(call, "since", kNoRevision);
  const Micros wait = numberOf(call, "timeout_ms", 0) * kMicrosPerMilli;
  const bool mayWait = since == revision_ && wait > kMicrosPerMilli;
  if (mayWait) return keepWaiting(line, since, wait);
  answer(line, since);
}

void ListFeed::keepWaiting(test::Line& line, std::int64_t since, Micros wait) {
  Waiting& waiting = waiting_[&line];
  waiting.since = since;
  waiting.wait = wait;
  waiting.limit = std::make_unique<transport::Timer>(loop_, [this, &line] {
    auto over = waiting_.extract(&line);
    loop_.deleteLater(std::move(over.mapped().limit));
    answer(line, over.mapped().since);
  });
  waiting.limit->arm(loop_.now() + wait);
}

void ListFeed::answer(test::Line& line, std::int64_t since) {
  const Text text = responseTo(since);
  traffic_.bytesOut += text->size();
  if (needsCompleteList(since)) {
    ++traffic_.completeLists;
  } else if (since < revision_) {
    ++traffic_.deltas;
  }
  line.say(*text);
}

ListFeed::Text ListFeed::responseTo(std::int64_t since) {
  const bool complete = needsCompleteList(since);
  Text& response = responses_[complete ? kNoRevision : since];
  if (response) return response;
  std::vector<std::size_t> endpoints;
  if (complete) {
    endpoints.resize(entries_.size());
    std::iota(endpoints.begin(), endpoints.end(), std::size_t{0});
  } else {
    const std::set<std::size_t> changed(changed_.begin() + (since - kFirstRevision), changed_.end());
    endpoints.assign(changed.begin(), changed.end());
  }
  response = makeResponse(complete, endpoints);
  return response;
}

ListFeed::Text ListFeed::makeResponse(bool complete, const std::vector<std::size_t>& endpoints) const {
  std::vector<ListedEntry> entries;
  entries.reserve(endpoints.size());
  for (const std::size_t endpoint : endpoints) entries.push_back(entries_[endpoint]);
  const std::string body = "{\"revision\":" + std::to_string(revision_) +
                           ",\"complete\":" + (complete ? "true" : "false") +
                           ",\"members\":" + textOf(entries) + "}";
  return std::make_shared<const std::string>(
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

}  // namespace heathflow::emulator
