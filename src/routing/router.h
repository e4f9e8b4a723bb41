// Glue around the decision module: tells it what happens and does what it says. It decides nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "logic.h"
#include "protocol/pg_message.h"
#include "routing/member_pool.h"
#include "routing/observer.h"
#include "settings/settings.h"

namespace heathflow::routing {

// Who asks. Gets one final answer, unless it has left.
class Requester {
 public:
  virtual ~Requester() = default;
  // The statement as it came, for as long as there is no final answer.
  virtual std::string_view statement() const = 0;
  virtual void served(const protocol::Answer& answer, std::string_view bytes) = 0;
  virtual void refused(Micros retryAfter) = 0;
  virtual void failed() = 0;
};

class Router {
 public:
  Router(transport::EventLoop& loop, settings::InstanceSettings settings, std::uint64_t seed,
         MemberPool& pool, Observer& observer);
  ~Router();

  // Where the module's wish for news of members goes.
  void onSubscribe(std::function<void()> subscribe) { subscribe_ = std::move(subscribe); }
  // Runs what the module wanted at its start.
  void start() { run(); }

  void membersChanged(MembersChanged event) { post(std::move(event)); }
  // 'patience': where the statement tells for how long the client waits; it is rewritten for each attempt.
  // The id is set before anything else happens, for the answer may come within the call.
  void submit(Requester& requester, Request request, protocol::Slice patience, RequestId& id);
  void left(RequestId request);
  // The process ends: what has no answer by then gets one.
  void stopping(Micros by) { post(Stopping{by}); }

  const settings::InstanceSettings& settings() const { return settings_; }

 private:
  struct AttemptState;
  struct RequestState;
  struct ProbeState;
  struct Ring {
    Micros at;
    std::uint64_t order;
    std::uint64_t token;
    bool operator>(const Ring& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void post(Event event);
  void run();
  void perform(const Action& action);
  void attempt(const Attempt& action);
  void cancel(const Cancel& action);
  void probe(MemberId member);
  void startProbe(ProbeState& probe, bool onNewOne);
  void finish(RequestState& state);
  void attemptEnded(AttemptState& attempt, Outcome outcome, const ExchangeEnd* end);
  void attemptOverdue(AttemptState& attempt);
  void probeOverdue(ProbeState& probe);
  void probeEnded(ProbeState& probe, ProbeEnded event);
  Requester* settle(RequestId id, std::uint64_t& counter);
  void eraseIfDone(RequestId id);
  void ringDue();

  transport::EventLoop& loop_;
  settings::InstanceSettings settings_;
  MemberPool& pool_;
  Observer& observer_;
  std::function<void()> subscribe_;
  std::unordered_map<RequestId, std::unique_ptr<RequestState>> requests_;
  std::unordered_map<MemberId, std::unique_ptr<ProbeState>> probes_;
  std::priority_queue<Ring, std::vector<Ring>, std::greater<>> rings_;
  transport::Timer ringTimer_;
  std::deque<Event> events_;
  std::vector<Action> actions_;
  RequestId lastId_ = 0;
  std::uint64_t ringOrder_ = 0;
  bool running_ = false;
  Logic logic_;
};

}  // namespace heathflow::routing
