// One client's connection, in whatever protocol: takes its requests one at a time and writes their answers in
// order.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "protocol/wire.h"
#include "routing/router.h"
#include "transport/stream.h"

namespace heathflow::routing {

class ClientSession;

class ClientSessionOwner {
 public:
  virtual ~ClientSessionOwner() = default;
  virtual void onSessionOver(ClientSession& session) = 0;
  // It has taken a request, answered its last one, or only lingers from now on.
  virtual void onSessionBusy(ClientSession& session) = 0;
  virtual void onSessionResting(ClientSession& session) = 0;
  virtual void onSessionLingering(ClientSession& session) = 0;
};

class ClientSession final : public Requester, private transport::StreamOwner {
 public:
  // What all sessions share: the classes by name, and the ids of the requests that are open.
  struct Shared {
    explicit Shared(const std::vector<std::string>& classNames) : names(classNames) {
      for (std::size_t i = 0; i < names.size(); ++i) {
        classes.emplace(names[i], static_cast<std::uint32_t>(i));
      }
    }
    Shared(const Shared&) = delete;
    Shared& operator=(const Shared&) = delete;
    std::vector<std::string> names;
    std::unordered_map<std::string_view, std::uint32_t> classes;
    std::unordered_set<std::string> open;
    std::uint64_t connections = 0;  // ever taken in
    // Where families are named: in which protocols, by index, a group is served. Empty: in all.
    std::unordered_map<GroupId, std::vector<bool>> spoken;
  };

  // 'protocol': the index by which the members' side of the same protocol is known; 'name' is the protocol's,
  // and outlives the session.
  ClientSession(transport::EventLoop& loop, ClientSessionOwner& owner, Router& router, Shared& shared,
                Observer& observer, std::size_t protocol, std::string_view name,
                std::unique_ptr<protocol::ClientSide> side);
  ~ClientSession() override;

  bool adopt(transport::UniqueFd fd);
  // Every request is refused and the connection ends with the first: there are too many clients.
  void turnAway();
  // Ends as soon as it stands between requests. One that has not asked yet may do so first, unless told not
  // to; it is then told that the process ends.
  void leave(bool evenUnasked);
  // Ends it, with a lingering close, where it stands between requests with nothing unread, or with a part of
  // a message that does not go on; says whether it did.
  bool closeIfIdle();
  // Closes one that only lingers: its place is wanted.
  void closeLingering() { over(); }
  // Whether it has ever asked what could be understood, and whether it has done so more than once; since when
  // it stands without a request.
  bool known() const { return known_; }
  bool returned() const { return requests_ > 1; }
  Micros restingSince() const { return restingSince_; }

  std::string_view wire() const override;
  bool hasRoom(std::size_t size) const override;
  bool passOn(const protocol::Answer& answer, std::string_view bytes) override;
  void onRoom() override { process(); }
  void served(const protocol::Answer& answer, std::string_view bytes) override;
  void refused(Micros retryAfter) override;
  void failed() override;

 private:
  void onInput() override;
  void onDrained() override;
  void onEnd(transport::StreamEnd how) override;
  void process();
  void ask();
  bool take(const protocol::ClientSide::Step& step);
  void rejectRequest(std::string_view message);
  void takeBack();
  void note(Topic topic, const std::string& text) const;
  bool fits(const protocol::Answer& answer);
  void overdue();
  void answered();
  void rest();
  // Says a fatal error as the last word.
  void endWith(protocol::ClientSide::Reason reason, std::string_view message);
  void linger(Micros limit);
  bool mayClose() const;
  void over();

  transport::EventLoop& loop_;
  ClientSessionOwner& owner_;
  Router& router_;
  Shared& shared_;
  Observer& observer_;
  transport::Stream stream_;
  transport::Timer readTimeout_;     // by when it must have read what it no longer waits for
  transport::Timer requestTimeout_;  // by when it must have asked, or gone on with what it has begun
  transport::Timer nextTurn_;        // more of the input is looked at
  std::size_t protocol_;
  std::string_view protocolName_;
  std::uint64_t number_;          // of the connection
  std::optional<GroupId> group_;  // of the request that is open, or was last
  std::unique_ptr<protocol::ClientSide> side_;
  Micros readAt_ = 0;     // when the last bytes came
  Micros partSince_ = 0;  // since when a part of a message stands alone in the input; 0: none does
  RequestId request_ = 0;
  std::size_t held_ = 0;  // what the open request takes at the front of the input
  std::string id_;        // of the request, while it is open
  Micros restingSince_ = 0;
  Micros deadline_ = 0;      // of the request
  bool busy_ = false;        // a request has no answer yet
  bool bound_ = false;       // and a part of it has been passed on
  bool processing_ = false;  // the input is being worked on further up the stack
  bool asked_ = false;
  bool known_ = false;
  std::uint64_t requests_ = 0;  // understood so far
  bool leaving_ = false;
  bool turnedAway_ = false;
  bool lingering_ = false;  // all has been said: what is written still goes out
  bool over_ = false;
};

}  // namespace heathflow::routing
