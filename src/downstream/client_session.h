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
#include "transport/arrival_times.h"
#include "transport/stream.h"

namespace heathflow::downstream {

class ClientSession;

// Keeps the sessions, and is told of each change of their state.
class ClientSessionOwner {
 public:
  virtual ~ClientSessionOwner() = default;
  // The connection has ended; the owner may release the session, but not within the call.
  virtual void onSessionOver(ClientSession& session) = 0;
  // A request has begun.
  virtual void onSessionBusy(ClientSession& session) = 0;
  // The open request has its answer, or was cancelled.
  virtual void onSessionResting(ClientSession& session) = 0;
  // No further request is read: what was written still goes out, then the connection ends.
  virtual void onSessionLingering(ClientSession& session) = 0;
};

// A session answers requests strictly in the order in which they came: the next one is looked at when the one
// before it has its final answer. Each has its time from its own last byte on.
class ClientSession final : public routing::Requester, private transport::StreamOwner {
 public:
  // What all sessions share.
  struct Shared {
    explicit Shared(const std::vector<std::string>& classNames) : names(classNames) {
      for (std::size_t i = 0; i < names.size(); ++i) {
        classes.emplace(names[i], static_cast<std::uint32_t>(i));
      }
    }
    Shared(const Shared&) = delete;
    Shared& operator=(const Shared&) = delete;
    std::vector<std::string> names;                               // of the classes, by their index
    std::unordered_map<std::string_view, std::uint32_t> classes;  // the index of each name
    std::unordered_set<std::string> open;                         // the ids of the open requests
    std::uint64_t connections = 0;                                // accepted so far
    // Where families are named: the protocols, by index, in which a group is served. Empty: all.
    std::unordered_map<GroupId, std::vector<bool>> spoken;
  };

  // 'protocol' is the index of the endpoints' side of the same protocol in the pool; 'name' is the protocol's
  // name and outlives the session, as all references do.
  ClientSession(transport::EventLoop& loop, ClientSessionOwner& owner, routing::Router& router,
                Shared& shared, stats::Observer& observer, std::size_t protocol, std::string_view name,
                std::unique_ptr<protocol::ClientSide> side);
  ~ClientSession() override;

  // Takes over an accepted connection. False where it can't be watched; it then stays the caller's.
  bool adopt(transport::UniqueFd&& fd);
  // There are too many clients: the first request gets a fatal error, and the connection ends.
  void rejectConnection();
  // Closes the connection as soon as it is idle. A client that has sent no request yet may still send one,
  // unless 'closeNewcomers' is set: it then gets an error that says that the gateway shuts down.
  void drain(bool closeNewcomers);
  // Closes the connection in order if it is idle with nothing unread, or with a part of a message that does
  // not go on. Says whether it did.
  bool closeIfIdle();
  // Closes a lingering connection at once, to free its descriptor.
  void closeLingering() { over(stats::CloseReason::LingerEnded); }
  // Whether the client has ever sent something that could be understood.
  bool known() const { return known_; }
  // Whether it has asked more than once what could be understood.
  bool returned() const { return requests_ > 1; }
  // Since when no request is open, in microseconds of the loop's clock.
  Micros restingSince() const { return restingSince_; }

  std::string_view wire() const override;
  std::string_view name() const override { return id_; }
  bool hasRoom(std::size_t size) const override;
  bool passOn(const protocol::Answer& answer, std::string_view bytes) override;
  void onRoom() override { process(); }
  void served(const protocol::Answer& answer, std::string_view bytes) override;
  void rejected(Micros retryAfter) override;
  void failed() override;

 private:
  void onInput() override;
  void onDrained() override;
  void onEnd(transport::StreamEnd how) override;
  void noteArrivals();
  void dropInput(std::size_t size);
  void process();
  void beginRequest();
  std::string_view problemWith(const protocol::Asked& asked) const;
  Request requestOf(const protocol::Asked& asked) const;
  bool handleStep(const protocol::ClientSide::Step& step);
  void rejectRequest(std::string_view message);
  void cancelRequest();
  stats::LogContext about() const;
  void note(stats::Topic topic, const std::string& text) const;
  void trace(const std::string& text) const;
  bool fits(const protocol::Answer& answer);
  void onRequestTimeout();
  void onAnswered();
  void finishRequest();
  // Sends a fatal error and closes the connection in order.
  void closeWithError(protocol::ClientSide::Reason reason, std::string_view message, stats::CloseReason why);
  void linger(stats::CloseReason why, Micros limit);
  bool mayClose() const;
  void over(stats::CloseReason why);
  // Tells the guard that this connection is closed from here, and notes why.
  void closing(stats::CloseReason why);

  transport::EventLoop& loop_;
  ClientSessionOwner& owner_;
  routing::Router& router_;
  Shared& shared_;
  stats::Observer& observer_;
  transport::Stream stream_;
  transport::Timer readTimeout_;     // for reading what the client no longer waits for
  transport::Timer requestTimeout_;  // for the first request, and for the rest of a message that has begun
  transport::Timer nextTurn_;        // continues with the input
  std::size_t protocol_;
  std::string_view protocolName_;
  std::uint64_t number_;          // of the connection
  std::optional<GroupId> group_;  // of the request that is open, or was last
  std::unique_ptr<protocol::ClientSide> side_;
  transport::ArrivalTimes arrivals_;  // of the bytes in the input
  Micros fullSince_ = 0;  // since when the socket may hold more than the input has room for; 0: no
  Micros partSince_ = 0;  // since when a part of a message is all of the input; 0: it is not
  RequestId request_ = 0;
  std::size_t held_ = 0;  // the open request's bytes at the front of the input
  std::string id_;        // the open request's
  Micros restingSince_ = 0;
  Micros deadline_ = 0;         // the open request's
  bool busy_ = false;           // a request is open
  bool bound_ = false;          // a part of its answer has been passed on
  bool processing_ = false;     // process() is running
  bool asked_ = false;          // a request has come on this connection
  bool known_ = false;          // something has come that could be understood
  std::uint64_t requests_ = 0;  // understood so far
  bool draining_ = false;       // to be closed when idle
  bool rejecting_ = false;      // no request is served
  bool lingering_ = false;      // nothing more is read; what is written still goes out
  bool over_ = false;           // the connection has ended
  bool closed_ = false;         // why it is closed has been counted
};

}  // namespace heathflow::downstream
