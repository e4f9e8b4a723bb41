// One client's connection: takes its requests one at a time and writes their answers in order.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "protocol/pg_server.h"
#include "routing/router.h"
#include "transport/stream.h"

namespace heathflow::routing {

class ClientSession;

class ClientSessionOwner {
 public:
  virtual ~ClientSessionOwner() = default;
  virtual void onSessionOver(ClientSession& session) = 0;
  // It has taken a request, answered its last one, or has been told its last.
  virtual void onSessionBusy(ClientSession& session) = 0;
  virtual void onSessionResting(ClientSession& session) = 0;
  virtual void onSessionEnding(ClientSession& session) = 0;
};

class ClientSession final : public Requester, private transport::StreamOwner {
 public:
  // What all sessions share: the classes by name, and the ids of the requests that are open.
  struct Shared {
    std::unordered_map<std::string_view, std::uint32_t> classes;
    std::unordered_set<std::string> open;
  };

  ClientSession(transport::EventLoop& loop, ClientSessionOwner& owner, Router& router, Shared& shared,
                Observer& observer);
  ~ClientSession() override;

  bool adopt(transport::UniqueFd fd);
  // Every request is refused and the connection ends with the first: there are too many clients.
  void turnAway();
  // Ends as soon as it stands between requests. One that has not asked yet may do so first, unless told not
  // to.
  void leave(bool evenUnasked);
  // Closes it where it stands between requests with nothing unread, or with a part of a message that does not
  // go on; says whether it did.
  bool closeIfIdle();
  // Closes one that has been told its last and only drops what still comes.
  void closeEnding() { over(); }
  // Whether it has ever asked what could be understood; since when it stands without a request.
  bool known() const { return known_; }
  Micros restingSince() const { return restingSince_; }

  std::string_view statement() const override;
  void served(const protocol::Answer& answer, std::string_view bytes) override;
  void refused(Micros retryAfter) override;
  void failed() override;

 private:
  void onInput() override;
  void onDrained() override;
  void onEnd(transport::StreamEnd how) override;
  void process();
  void ask();
  void rejectRequest(std::string_view code, std::string_view message);
  void overdue();
  void answered();
  // Says a fatal error as the last word.
  void endWith(std::string_view code, std::string_view message);
  void endAfterOutput();
  void over();

  transport::EventLoop& loop_;
  ClientSessionOwner& owner_;
  Router& router_;
  Shared& shared_;
  Observer& observer_;
  transport::Stream stream_;
  transport::Timer farewell_;  // the connection ends then, whatever is unread
  transport::Timer due_;       // by when it must have asked, or gone on with what it has begun
  transport::Timer nextTurn_;  // more of the input is looked at
  protocol::PgServer server_;
  Micros readAt_ = 0;     // when the last bytes came
  Micros partSince_ = 0;  // since when a part of a message stands alone in the input; 0: none does
  RequestId request_ = 0;
  std::size_t requestSize_ = 0;  // what its message takes at the front of the input
  protocol::Slice statement_;
  std::string id_;  // of the request, while it is open
  Micros restingSince_ = 0;
  Micros deadline_ = 0;      // of the request
  bool busy_ = false;        // a request has no answer yet
  bool processing_ = false;  // the input is being worked on further up the stack
  bool asked_ = false;
  bool known_ = false;
  bool leaving_ = false;
  bool turnedAway_ = false;
  bool ending_ = false;  // all has been said: what is written still goes out
  bool over_ = false;
};

}  // namespace heathflow::routing
