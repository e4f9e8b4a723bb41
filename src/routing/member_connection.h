// One connection to a member. It carries one query at a time and nothing of it before it is up.
#pragma once

#include <optional>
#include <string_view>

#include "logic.h"
#include "protocol/pg_client.h"
#include "transport/stream.h"

namespace heathflow::routing {

class MemberConnection;

// How far an exchange had come when it ended.
enum class Stage { Connecting, PartlyWritten, Written, Answering };

struct ExchangeEnd {
  enum class Cause {
    Answered,    // with a whole answer
    TurnedDown,  // the connection was, by the member's word
    Broken,      // the connection ended
    Spoilt,      // the member spoke, but what came makes no sense
    Unwanted,    // nothing was to be written any more when it could have been
  } cause = Cause::Broken;
  Stage stage = Stage::Connecting;
  const protocol::Answer* answer = nullptr;  // where there is one
  std::string_view bytes;                    // that its slices lie in
  bool dropped = false;                      // the member's machine had taken the connection, and broke it
};

// What a connection is used for: one query and its answer.
class Exchange {
 public:
  virtual ~Exchange() = default;
  // The connection is up. False: nothing is to be written any more.
  virtual bool writeQuery(transport::Buffer& out) = 0;
  // Told once, unless the exchange was given up.
  virtual void onExchangeEnd(const ExchangeEnd& end) = 0;
};

class MemberConnectionOwner {
 public:
  virtual ~MemberConnectionOwner() = default;
  virtual void onIdle(MemberConnection& connection) = 0;
  // It is of no more use. 'unasked': it ended, or spoke, while nothing was asked of it.
  virtual void onDone(MemberConnection& connection, bool unasked) = 0;
  virtual void onProtocolError(MemberConnection& connection) = 0;
  virtual void onConnectFailed(MemberConnection& connection) = 0;
};

class MemberConnection final : private transport::StreamOwner {
 public:
  MemberConnection(transport::EventLoop& loop, MemberConnectionOwner& owner, MemberId member);

  // Opens the connection; all of its start must be over within the limit. False: no socket was to be had or
  // the address can't be reached at all.
  bool connect(const transport::Endpoint& endpoint, Micros limit, int& error);
  // Takes on an exchange, now or as soon as the connection is up.
  void begin(Exchange& exchange);
  // The exchange is given up: the connection closes at once and the exchange hears no more of it.
  void abandon();
  void close();

  MemberId member() const { return member_; }
  const transport::Endpoint& endpoint() const { return endpoint_; }
  // Whether an idle one may be used: nothing has come in since.
  bool fresh() const { return client_.usable() && stream_.quiet(); }
  Stage stage() const;
  // The query's last byte has been handed on: what happens from then on may have run.
  bool writtenWhole() const { return stage() == Stage::Written || stage() == Stage::Answering; }
  // It is out, and nothing has come for it.
  bool silent() const { return stage() == Stage::Written && stream_.input().empty(); }

 private:
  void onOpen() override;
  void onInput() override;
  void onDrained() override {}
  void onEnd(transport::StreamEnd how) override;
  void writeQuery();
  void finish(ExchangeEnd::Cause cause, const protocol::Answer* answer, bool dropped = false);

  transport::EventLoop& loop_;
  MemberConnectionOwner& owner_;
  MemberId member_;
  transport::Endpoint endpoint_;
  transport::Stream stream_;
  transport::Timer startLimit_;
  protocol::PgClient client_;
  Exchange* exchange_ = nullptr;
  bool opened_ = false;  // the member's machine has taken it
  bool up_ = false;
  bool asked_ = false;  // the query has been handed to the stream
};

}  // namespace heathflow::routing
