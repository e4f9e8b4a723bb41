// Bolt's two state machines, fed with bytes in any pieces and with invalid bytes.
#include <gtest/gtest.h>

#include <random>

#include "protocol/bolt_client.h"
#include "protocol/bolt_server.h"
#include "standins/bolt_bytes.h"

namespace heathflow::protocol {
namespace {

namespace peer = test::bolt;
using Event = EndpointSide::Event;
using Step = ClientSide::Step;

// The state machine of an endpoint connection after a successful login.
class Endpoint {
 public:
  Endpoint() : client(login) {
    client.start(out);
    feed(peer::version());
    EXPECT_EQ(feed(peer::success()), Event::NeedMore);
    EXPECT_EQ(feed(peer::success()), Event::Ready);
    consume();
    out.consume(out.size());
  }
  Event feed(const std::string& bytes, bool full = false) {
    in += bytes;
    return client.feed(in, full, out);
  }
  void consume() {
    in.erase(0, client.parsedBytes());
    client.onConsumed();
  }
  std::string sent() {
    std::string bytes(out.view());
    out.consume(out.size());
    return bytes;
  }
  std::string passed() const {
    std::string bytes;
    for (const Slice& piece : client.answer().pieces) bytes += piece.of(in);
    return bytes;
  }
  BoltLogin login;
  transport::Buffer out{1 << 20};
  BoltClient client;
  std::string in;
};

const std::string kFields = peer::success({{"fields", peer::list({peer::text("n")})}});

TEST(BoltEndpoint, TheLoginFollowsTheNegotiatedVersion) {
  for (unsigned minor = 0; minor <= 4; ++minor) {
    BoltLogin login;
    login.principal = "driver";
    login.credentials = "secret";
    transport::Buffer out(4096);
    BoltClient client(login);
    ASSERT_TRUE(client.start(out));
    EXPECT_EQ(std::string(out.view()), peer::handshake(4, 4));
    out.consume(out.size());
    std::string in = peer::version(minor);
    EXPECT_EQ(client.feed(in, false, out), Event::NeedMore);
    std::string sent(out.view());
    const auto messages = peer::cut(sent);
    ASSERT_EQ(messages.size(), minor >= 1 ? 2U : 1U);
    EXPECT_EQ(messages.back().fields[0].at("credentials").text, "secret");
    EXPECT_EQ(messages[0].fields[0].has("credentials"), minor == 0);
    EXPECT_EQ(messages[0].fields[0].has("bolt_agent"), minor >= 3);
    in += minor >= 1 ? peer::success() + peer::success() : peer::success();
    EXPECT_EQ(client.feed(in, false, out), Event::Ready);
    EXPECT_TRUE(client.usable());
  }
}

TEST(BoltEndpoint, RejectedLoginsAndUnsupportedVersionsAreDetected) {
  Endpoint endpoint;
  BoltClient rejected(endpoint.login);
  transport::Buffer out(4096);
  rejected.start(out);
  std::string in = peer::version() + peer::failure("Neo.TransientError.Request.NoThreadsAvailable");
  EXPECT_EQ(rejected.feed(in, false, out), Event::Rejected);
  EXPECT_EQ(rejected.answer().kind, Answer::Kind::Overloaded);
  for (const std::string& version :
       {std::string(4, '\0'), peer::version(5), std::string("\0\0\4\4", 4), std::string("HTTP")}) {
    BoltClient other(endpoint.login);
    other.start(out);
    EXPECT_EQ(other.feed(version, false, out), Event::Broken);
  }
}

TEST(BoltEndpoint, AnAnswerIsCompleteWithItsSummaryHoweverItIsSplit) {
  const std::string whole = kFields + peer::noOp() + peer::record({peer::integer(1)}) +
                            peer::success({{"wal_time", peer::integer(1767225600123)},
                                           {"mode", peer::text("read-write")},
                                           {"stats", peer::text("x0=1,x1=1")}});
  for (std::size_t at = 0; at <= whole.size(); ++at) {
    Endpoint endpoint;
    ASSERT_TRUE(endpoint.client.writeRequest(peer::run("1") + peer::pull(), {}, 500, endpoint.out));
    const Event first = endpoint.feed(whole.substr(0, at));
    EXPECT_EQ(first, at == whole.size() ? Event::Answered : Event::NeedMore) << at;
    if (at < whole.size()) {
      ASSERT_EQ(endpoint.feed(whole.substr(at)), Event::Answered) << at;
    }
    EXPECT_EQ(endpoint.passed(), whole);
    EXPECT_EQ(endpoint.client.answer().kind, Answer::Kind::Value);
    EXPECT_EQ(endpoint.client.answer().positionMs, 1767225600123);
    EXPECT_EQ(endpoint.client.answer().primary, true);
    EXPECT_EQ(endpoint.client.answer().report.of(endpoint.in), "x0=1,x1=1");
    EXPECT_EQ(endpoint.client.answer().replies, 2U);
    EXPECT_TRUE(endpoint.client.usable());
  }
}

TEST(BoltEndpoint, TheByteAfterWhichARequestMayRunOrPersistIsKnown) {
  Endpoint endpoint;
  ASSERT_TRUE(endpoint.client.writeRequest(peer::run("1") + peer::pull(), {}, 500, endpoint.out));
  EXPECT_EQ(endpoint.client.mayRunAfter(), peer::run("1").size());
  EXPECT_EQ(endpoint.client.mayPersistAfter(), peer::run("1").size());
  Endpoint open;
  ASSERT_TRUE(open.client.writeRequest(peer::begin() + peer::run("1"), {}, 500, open.out));
  EXPECT_EQ(open.client.mayRunAfter(), peer::begin().size());
  EXPECT_EQ(open.client.mayPersistAfter(), EndpointSide::kNever);
  ASSERT_TRUE(open.client.writeRequestPart(peer::pull() + peer::plain(peer::kCommit), open.out));
  EXPECT_EQ(open.client.mayPersistAfter(), open.out.size()) << "with the last byte of COMMIT";
}

TEST(BoltEndpoint, OpenTransactionsAreAnsweredInPartsAndEndWithTheirCommit) {
  Endpoint endpoint;
  ASSERT_TRUE(endpoint.client.writeRequest(peer::begin(), {}, 500, endpoint.out));
  EXPECT_EQ(endpoint.feed(peer::success()), Event::Part);
  EXPECT_FALSE(endpoint.client.answerPending());
  endpoint.consume();
  ASSERT_TRUE(endpoint.client.writeRequestPart(peer::run("1") + peer::pull(), endpoint.out));
  EXPECT_TRUE(endpoint.client.answerPending());
  EXPECT_EQ(endpoint.feed(kFields), Event::Part) << "nothing is held back after the first part";
  endpoint.consume();
  EXPECT_EQ(endpoint.feed(peer::success()), Event::Part);
  endpoint.consume();
  ASSERT_TRUE(endpoint.client.writeRequestPart(peer::plain(peer::kCommit), endpoint.out));
  EXPECT_EQ(endpoint.feed(peer::success()), Event::Answered);
  EXPECT_TRUE(endpoint.client.usable());
}

// A connection to an endpoint that may send its answers twice. The connection has carried one request.
class ReusedEndpoint : public Endpoint {
 public:
  explicit ReusedEndpoint(const std::string& firstAnswer = kFields + value("first") + kSummary) {
    EXPECT_TRUE(writeRun());
    EXPECT_EQ(feed(firstAnswer), Event::Answered);
    consume();
    sent();
  }
  static std::string value(const std::string& text) { return peer::record({peer::text(text)}); }
  bool writeRun() { return client.writeRequest(peer::run("1") + peer::pull(), {}, 500, out); }
  bool writeBegin() { return client.writeRequest(peer::begin(), {}, 500, out); }
  // Feeds bytes, and consumes those that belong to no request.
  Event feedPastSurplus(const std::string& bytes) {
    Event event = feed(bytes);
    while (event == Event::Surplus) {
      consume();
      event = feed("");
    }
    return event;
  }
  static inline const std::string kSummary = peer::success({{"mode", peer::text("read-only")}});
};

// Failure: the second copy of an answer, which comes behind the next request, is taken for that one's answer.
TEST(BoltEndpointCopies, OfAnAnswerAreNotTakenForTheNextOne) {
  ReusedEndpoint endpoint;
  const std::string first = kFields + ReusedEndpoint::value("first") + ReusedEndpoint::kSummary;
  const std::string second = kFields + ReusedEndpoint::value("second") + ReusedEndpoint::kSummary;
  ASSERT_TRUE(endpoint.writeRun());
  EXPECT_EQ(endpoint.sent(), peer::plain(peer::kReset) + peer::run("1") + peer::pull());
  EXPECT_EQ(endpoint.feedPastSurplus(first + peer::success() + second), Event::Answered);
  EXPECT_EQ(endpoint.passed(), second);
  EXPECT_EQ(endpoint.client.takeSurplusAnswers(), 1U);
  EXPECT_TRUE(endpoint.client.usable());
}

// However the bytes are split; nothing of the copy starts the answer.
TEST(BoltEndpointCopies, AreDroppedHoweverTheyAreSplit) {
  const std::string first = kFields + ReusedEndpoint::value("first") + ReusedEndpoint::kSummary;
  const std::string second = kFields + ReusedEndpoint::value("second") + ReusedEndpoint::kSummary;
  ReusedEndpoint endpoint;
  ASSERT_TRUE(endpoint.writeRun());
  Event event = Event::NeedMore;
  const std::string copyAndReset = first + peer::success();
  for (const char byte : copyAndReset) {
    EXPECT_FALSE(endpoint.client.answerStarted());
    event = endpoint.feedPastSurplus(std::string(1, byte));
    EXPECT_EQ(event, Event::NeedMore);
  }
  for (const char byte : second) event = endpoint.feedPastSurplus(std::string(1, byte));
  EXPECT_EQ(event, Event::Answered);
  EXPECT_EQ(endpoint.passed(), second);
}

// Failure: a copy larger than the buffer ends the connection and fails the request behind it.
TEST(BoltEndpointCopies, MayBeLargerThanTheBuffer) {
  ReusedEndpoint endpoint;
  ASSERT_TRUE(endpoint.writeRun());
  EXPECT_EQ(endpoint.feedPastSurplus(kFields), Event::NeedMore);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(endpoint.feedPastSurplus(ReusedEndpoint::value(std::string(50'000, 'v'))), Event::NeedMore);
    EXPECT_TRUE(endpoint.in.empty());
  }
  const std::string second = kFields + ReusedEndpoint::value("second") + ReusedEndpoint::kSummary;
  EXPECT_EQ(endpoint.feedPastSurplus(ReusedEndpoint::kSummary + peer::success() + second), Event::Answered);
  EXPECT_EQ(endpoint.passed(), second);
}

// Failure: the copy of an empty reply, of LOGON on a new connection or of RESET, is taken for that to RUN.
TEST(BoltEndpointCopies, OfRepliesWithoutEntriesAreNotTakenForThatToRun) {
  const std::string answer = kFields + ReusedEndpoint::value("own") + ReusedEndpoint::kSummary;
  Endpoint fresh;
  ASSERT_TRUE(fresh.client.writeRequest(peer::run("1") + peer::pull(), {}, 500, fresh.out));
  EXPECT_EQ(fresh.sent(), peer::run("1") + peer::pull()) << "a new connection has nothing to drop";
  EXPECT_EQ(fresh.feed(peer::success() + answer), Event::Answered);
  EXPECT_EQ(fresh.passed(), answer);
  EXPECT_EQ(fresh.client.takeSurplusAnswers(), 1U);

  ReusedEndpoint reused;
  ASSERT_TRUE(reused.writeRun());
  EXPECT_EQ(reused.feedPastSurplus(peer::success() + peer::success() + answer), Event::Answered);
  EXPECT_EQ(reused.passed(), answer);
}

// Failure: such a copy is taken for the reply to BEGIN, and each later reply for the one before it.
TEST(BoltEndpointCopies, OfRepliesWithoutEntriesDoNotShiftATransaction) {
  ReusedEndpoint endpoint;
  const std::string transaction = peer::begin() + peer::run("1") + peer::pull() + peer::plain(peer::kCommit);
  ASSERT_TRUE(endpoint.client.writeRequest(transaction, {}, 500, endpoint.out));
  const std::string answer =
      peer::success() + kFields + ReusedEndpoint::value("own") + ReusedEndpoint::kSummary + peer::success();
  EXPECT_EQ(endpoint.feedPastSurplus(peer::success() + peer::success() + answer), Event::Answered);
  EXPECT_EQ(endpoint.passed(), answer);
  EXPECT_EQ(endpoint.client.answer().replies, 4U);
}

// A copy of such an answer can't be told from the reply to RESET and what follows it.
TEST(BoltEndpointCopies, OfAnAnswerThatResemblesAResetAreLeftWithTheConnection) {
  Endpoint endpoint;
  const std::string transaction = peer::begin() + peer::run("1") + peer::pull() + peer::plain(peer::kCommit);
  ASSERT_TRUE(endpoint.client.writeRequest(transaction, {}, 500, endpoint.out));
  EXPECT_EQ(endpoint.feed(peer::success() + kFields + peer::success() + peer::success()), Event::Answered);
  EXPECT_FALSE(endpoint.client.usable());
  endpoint.consume();
  EXPECT_FALSE(endpoint.client.recover(endpoint.out));
}

TEST(BoltEndpointCopies, OfAFailurePrecedeTheReplyToTheResetBehindIt) {
  Endpoint endpoint;
  ASSERT_TRUE(endpoint.client.writeRequest(peer::run("1") + peer::pull(), {}, 500, endpoint.out));
  const std::string failure =
      peer::failure("Neo.TransientError.Request.NoThreadsAvailable") + peer::ignored();
  EXPECT_EQ(endpoint.feed(failure), Event::Answered);
  endpoint.consume();
  ASSERT_TRUE(endpoint.client.recover(endpoint.out));
  EXPECT_EQ(endpoint.feed(failure + peer::success()), Event::Ready);
  EXPECT_EQ(endpoint.client.takeSurplusAnswers(), 1U);
  endpoint.consume();
  endpoint.sent();
  ASSERT_TRUE(endpoint.client.writeRequest(peer::run("2") + peer::pull(), {}, 500, endpoint.out));
  EXPECT_EQ(endpoint.sent(), peer::run("2") + peer::pull()) << "it has just been reset";
}

// Failure: a rejection that is not the request's own proves that a write never ran.
TEST(BoltEndpointCopies, AFailureBeforeTheReplyToResetProvesNothing) {
  for (const std::string& reply : {peer::failure("Neo.TransientError.Request.NoThreadsAvailable"),
                                   peer::ignored(), std::string("\0\2xx\0\0", 6)}) {
    ReusedEndpoint endpoint;
    ASSERT_TRUE(endpoint.writeRun());
    EXPECT_EQ(endpoint.feed(reply), Event::Broken);
  }
}

TEST(BoltEndpointCopies, AReplyToRunHasToNameTheFields) {
  ReusedEndpoint endpoint;
  ASSERT_TRUE(endpoint.writeRun());
  EXPECT_EQ(endpoint.feedPastSurplus(peer::success() + ReusedEndpoint::kSummary), Event::Broken);
}

// The bytes of RESET count: a request that was cut off before its RUN was complete has not run.
TEST(BoltEndpointCopies, TheResetCountsAmongTheBytesBeforeARequestMayRun) {
  ReusedEndpoint endpoint;
  ASSERT_TRUE(endpoint.writeRun());
  const std::size_t expected = peer::plain(peer::kReset).size() + peer::run("1").size();
  EXPECT_EQ(endpoint.client.mayRunAfter(), expected);
  EXPECT_EQ(endpoint.client.mayPersistAfter(), expected);
}

TEST(BoltEndpoint, IsUsableAgainAfterAFailureAndAReset) {
  Endpoint endpoint;
  ASSERT_TRUE(endpoint.client.writeRequest(peer::run("1") + peer::pull(), {}, 500, endpoint.out));
  EXPECT_EQ(endpoint.feed(peer::failure("Neo.ClientError.Statement.SyntaxError")), Event::NeedMore);
  EXPECT_EQ(endpoint.feed(peer::ignored()), Event::Answered);
  EXPECT_EQ(endpoint.client.answer().kind, Answer::Kind::Value);
  EXPECT_FALSE(endpoint.client.usable());
  endpoint.consume();
  endpoint.sent();
  ASSERT_TRUE(endpoint.client.recover(endpoint.out));
  EXPECT_EQ(endpoint.sent(), peer::plain(peer::kReset));
  EXPECT_EQ(endpoint.feed(peer::success()), Event::Ready);
  EXPECT_TRUE(endpoint.client.usable());
}

// Each status code of an endpoint maps to one kind of answer.
TEST(BoltEndpoint, StatusCodesDetermineTheAnswerAndWhetherItWasRolledBack) {
  struct Case {
    const char* code;
    Answer::Kind kind;
    bool rolledBack;
  };
  for (const Case& c :
       {Case{"Neo.TransientError.Request.NoThreadsAvailable", Answer::Kind::Overloaded, true},
        Case{"Neo.ClientError.Cluster.NotALeader", Answer::Kind::PreconditionFailed, true},
        Case{"Neo.ClientError.General.ForbiddenOnReadOnlyDatabase", Answer::Kind::PreconditionFailed, true},
        Case{"Neo.TransientError.Transaction.BookmarkTimeout", Answer::Kind::PreconditionFailed, true},
        Case{"Neo.TransientError.General.DatabaseUnavailable", Answer::Kind::Unavailable, true},
        Case{"Neo.TransientError.Transaction.DeadlockDetected", Answer::Kind::Error, true},
        Case{"Neo.ClientError.Security.AuthorizationExpired", Answer::Kind::Error, true},
        Case{"Neo.ClientError.Statement.SyntaxError", Answer::Kind::Value, false},
        Case{"Neo.DatabaseError.General.UnknownError", Answer::Kind::Error, false},
        Case{"Something.Else", Answer::Kind::Error, false}, Case{"", Answer::Kind::Error, false}}) {
    Endpoint endpoint;
    ASSERT_TRUE(endpoint.client.writeRequest(peer::run("1") + peer::pull(), {}, 500, endpoint.out));
    ASSERT_EQ(endpoint.feed(peer::failure(c.code) + peer::ignored()), Event::Answered) << c.code;
    EXPECT_EQ(endpoint.client.answer().kind, c.kind) << c.code;
    EXPECT_EQ(endpoint.client.answer().rolledBack, c.rolledBack) << c.code;
  }
  // Before its COMMIT a transaction has had no effect; after it, a failure that is not transient may have had
  // one.
  for (const bool commits : {false, true}) {
    Endpoint endpoint;
    ASSERT_TRUE(endpoint.client.writeRequest(
        peer::begin() + (commits ? peer::plain(peer::kCommit) : peer::run("1")), {}, 500, endpoint.out));
    ASSERT_EQ(endpoint.feed(peer::success() + peer::failure("Neo.DatabaseError.General.UnknownError")),
              Event::Answered);
    EXPECT_EQ(endpoint.client.answer().rolledBack, !commits);
  }
}

TEST(BoltEndpoint, InvalidMessagesBreakTheConnection) {
  const std::string value = peer::record({peer::integer(1)});
  for (const std::string& bytes :
       {value, kFields + value + peer::success() + peer::success(), kFields + peer::ignored(),
        peer::ignored(), kFields + peer::message(0x55, {}),
        kFields + peer::message(peer::kRecord, {peer::map({})}), kFields + peer::message(peer::kSuccess, {}),
        kFields + peer::chunked("\xB1\x71"), peer::chunked("x"),
        kFields + peer::message(peer::kSuccess, {peer::list({})}),
        kFields + "\xFF\xFF" + std::string(70'000, 'x') + "\xFF\xFF",
        kFields + peer::chunked("\xB1\x71\x91" + std::string(100, '\x91'))}) {
    Endpoint endpoint;
    ASSERT_TRUE(endpoint.client.writeRequest(peer::run("1") + peer::pull(), {}, 500, endpoint.out));
    const Event event = endpoint.feed(bytes);
    // Bytes after a complete answer are detected with the next feed.
    if (event == Event::Answered) {
      endpoint.consume();
      EXPECT_EQ(endpoint.feed(""), Event::Broken);
    } else {
      EXPECT_EQ(event, Event::Broken);
    }
    EXPECT_FALSE(endpoint.client.usable());
  }
}

TEST(BoltEndpoint, SurvivesMutatedInput) {
  const std::string whole =
      kFields + peer::record({peer::text("a value"), peer::integer(7)}) +
      peer::success({{"mode", peer::text("read-only")}, {"has_more", peer::boolean(false)}});
  std::mt19937 random(11);
  std::size_t broken = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string bytes = whole;
    for (int i = 0; i < 1 + round % 3; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    Endpoint endpoint;
    ASSERT_TRUE(endpoint.client.writeRequest(peer::run("1") + peer::pull(), {}, 500, endpoint.out));
    const Event event = endpoint.feed(bytes);
    broken += event == Event::Broken ? 1 : 0;
    ASSERT_LE(endpoint.client.parsedBytes(), bytes.size());
    if (event != Event::Answered) continue;
    for (const Slice& piece : endpoint.client.answer().pieces) ASSERT_LE(piece.at + piece.size, bytes.size());
  }
  EXPECT_GT(broken, 1000U);
}

// Drives the server side as a client connection does.
class Client {
 public:
  Client() {
    settings.agent = "test";
    settings.readClass = "r";
    settings.writeClass = "w";
    server = std::make_unique<BoltServer>(settings);
  }
  // Feeds all bytes; fails each request when no further message is accepted.
  void drive(std::string_view bytes, bool& fatal) {
    std::size_t from = 0;
    bool open = false;
    for (int turns = 0; turns < 100'000; ++turns) {
      const Step step = server->step(bytes, from, out);
      kinds += static_cast<char>('a' + static_cast<int>(step.kind));
      ASSERT_LE(from + step.consumed, bytes.size());
      if (step.kind == Step::Kind::Fatal || step.kind == Step::Kind::Disconnect) {
        fatal = step.kind == Step::Kind::Fatal;
        return;
      }
      if (step.kind == Step::Kind::NeedMore) {
        if (!open) return;
        server->writeFailure(out);
        open = false;
        bytes.remove_prefix(from);
        from = 0;
        continue;
      }
      if (step.kind == Step::Kind::Request) {
        std::string_view problem;
        if (!server->parseRequest(bytes.substr(0, step.consumed), problem)) {
          server->writeInvalidRequest(problem, out);
          bytes.remove_prefix(step.consumed);
        } else {
          open = true;
          from = step.consumed;
        }
      } else if (step.kind == Step::Kind::RequestPart) {
        from += step.consumed;
      } else if (step.kind == Step::Kind::Interrupt) {
        bytes.remove_prefix(from);
        from = 0;
        open = false;
      } else {
        bytes.remove_prefix(step.consumed);
      }
      out.consume(out.size());
    }
    FAIL() << "the input is never used up";
  }
  BoltListenerSettings settings;
  std::unique_ptr<BoltServer> server;
  transport::Buffer out{1 << 20};
  std::string kinds;
};

TEST(BoltServerStates, SurviveMutatedInput) {
  const std::string whole = peer::handshake() + peer::hello() + peer::logon() +
                            peer::run("MATCH", {{"mode", peer::text("r")}}) + peer::pull(10) +
                            peer::begin({{"tx_timeout", peer::integer(500)}}) + peer::run("CREATE") +
                            peer::pull() + peer::plain(peer::kCommit) + peer::plain(peer::kReset) +
                            peer::run("x") + peer::discard() + peer::plain(peer::kGoodbye);
  std::mt19937 random(17);
  std::size_t fatals = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string bytes = whole;
    for (int i = 0; i < round % 4; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    Client client;
    bool fatal = false;
    client.drive(bytes, fatal);
    fatals += fatal ? 1 : 0;
    if (round % 4 == 0) {
      EXPECT_FALSE(fatal) << client.kinds;
    }
  }
  EXPECT_GT(fatals, 1000U);
}

// A client that pipelines without end must not fill the gateway's memory: the number of unanswered messages
// of one request is limited.
TEST(BoltServerStates, LimitTheUnansweredMessagesOfOneRequest) {
  Client client;
  std::string bytes = peer::handshake() + peer::hello() + peer::logon() + peer::begin();
  for (int i = 0; i < 1000; ++i) bytes += peer::run("x") + peer::pull();
  std::size_t from = 0;
  std::size_t at = 0;
  std::size_t more = 0;
  for (;;) {
    const Step step = client.server->step(std::string_view(bytes).substr(at), from, client.out);
    if (step.kind == Step::Kind::NeedMore) break;
    if (step.kind == Step::Kind::Handled) {
      at += step.consumed;
    } else {
      from += step.consumed;
      ++more;
    }
  }
  EXPECT_EQ(more, BoltServer::kMaxUnanswered);
  client.out.consume(client.out.size());
  client.server->writeRejection(250, client.out);
  std::string written(client.out.view());
  const auto messages = peer::cut(written);
  ASSERT_EQ(messages.size(), BoltServer::kMaxUnanswered) << "each has its reply";
  EXPECT_EQ(messages[0].fields[0].at("retry_after_ms").integer, 250);
  for (std::size_t i = 1; i < messages.size(); ++i) EXPECT_EQ(messages[i].tag, peer::kIgnored);
}

}  // namespace
}  // namespace heathflow::protocol
