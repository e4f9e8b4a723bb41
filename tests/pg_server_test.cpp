// The server side of PostgreSQL's protocol: messages of clients, in any pieces, and the replies.
#include "protocol/pg_server.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "standins/pg_bytes.h"

namespace heathflow::protocol {
namespace {

namespace pg = test::pg;
using Kind = PgServer::Step::Kind;

// Drives the state machine as a client connection does.
struct Client {
  Buffer output{1 << 20};
  PgServer server;
  std::string input;
  std::vector<std::string> statements;
  Kind last = Kind::NeedMore;
  bool over = false;

  void feed(std::string_view bytes) {
    input += bytes;
    while (!over) {
      const auto step = server.step(input, output);
      last = step.kind;
      if (step.kind == Kind::NeedMore) return;
      if (step.kind == Kind::Query) statements.emplace_back(step.statement.of(input));
      over = step.kind == Kind::Disconnect || step.kind == Kind::Fatal;
      input.erase(0, step.consumed);
    }
  }
  std::string written() const { return std::string(output.view()); }
  // The types of the messages written since start().
  std::string types() const {
    std::string bytes = written();
    std::string out;
    for (const auto& message : pg::cut(bytes)) out += message.type;
    EXPECT_TRUE(bytes.empty()) << "an incomplete message";
    return out;
  }
  std::string code() const {
    std::string bytes = written();
    for (const auto& message : pg::cut(bytes)) {
      if (message.type == 'E') return pg::field(message.body, 'C');
    }
    return "";
  }
  void start() {
    feed(pg::startup());
    output.consume(output.size());
  }
};

TEST(PgServerStartup, AcceptsAnyUserAtOnce) {
  Client client;
  client.feed(pg::startup());
  EXPECT_EQ(client.types().front(), 'R');
  EXPECT_EQ(client.types().back(), 'Z');
  EXPECT_TRUE(client.server.started());
}

TEST(PgServerStartup, AcceptsAQueryPipelinedBehindIt) {
  Client client;
  client.feed(pg::startup() + pg::query("SELECT 1"));
  EXPECT_EQ(client.statements, std::vector<std::string>{"SELECT 1"});
}

TEST(PgServerStartup, DeclinesEncryptionAndContinues) {
  Client client;
  client.feed(pg::special(80877103) + pg::special(80877104));
  EXPECT_EQ(client.written(), "NN");
  EXPECT_FALSE(client.server.started());
  client.output.consume(2);
  client.feed(pg::startup());
  EXPECT_EQ(client.types().back(), 'Z');
}

TEST(PgServerStartup, EndsWithACancelRequest) {
  Client client;
  client.feed(pg::u32(16) + pg::u32(80877102) + pg::u32(0) + pg::u32(0));
  EXPECT_EQ(client.last, Kind::Disconnect);
  EXPECT_TRUE(client.written().empty());
}

TEST(PgServerStartup, RejectsOtherMajorVersionsAndNegotiatesMinorOnes) {
  Client old;
  old.feed(pg::startup(2 << 16));
  EXPECT_EQ(old.last, Kind::Fatal);
  EXPECT_EQ(old.code(), "0A000");
  Client newer;
  newer.feed(pg::startup((3 << 16) + 2));
  EXPECT_EQ(newer.types().front(), 'v');
  EXPECT_TRUE(newer.server.started());
}

// A length is checked before its bytes are waited for; otherwise a client could make the gateway buffer them.
TEST(PgServerStartup, RejectsLengthsOutOfRange) {
  for (const std::uint32_t length : {0U, 7U, 10'001U, 0x7FFFFFFFU, 0xFFFFFFFFU}) {
    Client client;
    client.feed(pg::u32(length));
    EXPECT_EQ(client.last, Kind::Fatal) << length;
    EXPECT_EQ(client.code(), "08P01") << length;
  }
}

TEST(PgServerQueries, ThatAreEmptyAreAnsweredByTheGateway) {
  for (const char* statement : {"", ";", "  ;\n"}) {
    Client client;
    client.start();
    client.feed(pg::query(statement));
    EXPECT_EQ(client.types(), "IZ") << statement;
    EXPECT_TRUE(client.statements.empty());
  }
}

TEST(PgServerQueries, AreTheSameHoweverTheyAreSplit) {
  const std::string whole = pg::special(80877103) + pg::startup() + pg::query("SELECT 'a'") + pg::query("") +
                            pg::message('P', "x") + pg::message('S', "") + pg::query("SELECT 'b'") +
                            pg::message('X', "");
  Client reference;
  reference.feed(whole);
  ASSERT_EQ(reference.statements.size(), 2U);
  ASSERT_EQ(reference.last, Kind::Disconnect);
  for (std::size_t at = 1; at < whole.size(); ++at) {
    Client client;
    client.feed(std::string_view(whole).substr(0, at));
    client.feed(std::string_view(whole).substr(at));
    ASSERT_EQ(client.statements, reference.statements) << at;
    ASSERT_EQ(client.written(), reference.written()) << at;
    ASSERT_EQ(client.last, Kind::Disconnect) << at;
  }
  Client single;
  for (const char byte : whole) single.feed(std::string_view(&byte, 1));
  EXPECT_EQ(single.statements, reference.statements);
  EXPECT_EQ(single.written(), reference.written());
}

// Clients that prepare statements get one error up to their Sync, and the connection stays usable.
TEST(PgServerQueries, RejectTheExtendedProtocolUpToItsSync) {
  Client client;
  client.start();
  client.feed(pg::message('P', "p") + pg::message('B', "b") + pg::message('E', "e") +
              pg::query("SELECT 'skipped'"));
  EXPECT_EQ(client.types(), "E");
  EXPECT_EQ(client.code(), "0A000");
  client.feed(pg::message('S', ""));
  EXPECT_EQ(client.types(), "EZ");
  client.feed(pg::query("SELECT 'taken'"));
  EXPECT_EQ(client.statements, std::vector<std::string>{"SELECT 'taken'"});
}

TEST(PgServerQueries, RejectAFunctionCallAndStayUsable) {
  Client client;
  client.start();
  client.feed(pg::message('F', "f") + pg::query("SELECT 1"));
  EXPECT_EQ(client.types(), "EZ");
  EXPECT_EQ(client.statements.size(), 1U);
}

TEST(PgServerQueries, ThatAreMalformedEndTheConnection) {
  const std::vector<std::string> bad = {
      pg::message('?', "what"), "Q" + pg::u32(3),           "Q" + pg::u32(0xFFFFFFFF),
      "Q" + pg::u32(1 << 20),   pg::message('Q', "no end"), pg::message('Q', std::string("two\0ends\0", 9)),
      pg::message('Q', ""),
  };
  for (const std::string& bytes : bad) {
    Client client;
    client.start();
    client.feed(bytes);
    EXPECT_EQ(client.last, Kind::Fatal) << bytes;
    EXPECT_EQ(client.code(), "08P01") << bytes;
  }
}

// Whatever the input, the steps come to an end and consume no more than there is.
TEST(PgServerQueries, SurviveMutatedInput) {
  const std::string whole = pg::startup() + pg::query("SELECT 'a' /* id=1 */") + pg::message('P', "x") +
                            pg::message('S', "") + pg::query("");
  std::mt19937 random(7);
  std::size_t fatal = 0;
  for (int round = 0; round < 3000; ++round) {
    std::string bytes = whole;
    for (int i = 0; i < 1 + round % 4; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    PgServer server;
    Buffer output(1 << 20);
    std::string_view rest = bytes;
    for (int steps = 0;; ++steps) {
      ASSERT_LT(steps, 1000);
      const auto step = server.step(rest, output);
      ASSERT_LE(step.consumed, rest.size());
      if (step.kind == Kind::NeedMore) break;
      fatal += step.kind == Kind::Fatal ? 1 : 0;
      if (step.kind == Kind::Disconnect || step.kind == Kind::Fatal) break;
      ASSERT_GT(step.consumed, 0U);
      ASSERT_LE(step.statement.at + step.statement.size, step.consumed);
      rest.remove_prefix(step.consumed);
    }
  }
  EXPECT_GT(fatal, 0U);
}

}  // namespace
}  // namespace heathflow::protocol
