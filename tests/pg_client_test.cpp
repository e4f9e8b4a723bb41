// The client side of PostgreSQL's protocol: answers of endpoints, in any pieces.
#include "protocol/pg_client.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

#include "standins/pg_bytes.h"

namespace heathflow::protocol {
namespace {

namespace pg = test::pg;
using Event = PgClient::Event;
using Kind = PgAnswer::Kind;

struct Endpoint {
  PgClient client;
  std::string input;
  Buffer out{1024};

  Event feed(std::string_view bytes) {
    input += bytes;
    return client.feed(input, out);
  }
  void consume() {
    input.erase(0, client.parsedBytes());
    client.onConsumed();
  }
  // Completes the startup and sends a query.
  void ask() {
    EXPECT_EQ(feed(pg::welcome()), Event::Ready);
    consume();
    client.onQueryWritten();
  }
  // Completes a query with the answer, and sends the next one.
  void answerAndAskAgain(const std::string& answer) {
    ASSERT_EQ(feed(answer), Event::Answered);
    consume();
    ASSERT_TRUE(client.usable());
    client.onQueryWritten();
  }
  std::string value() const { return std::string(of(client.answer().value)); }
  std::string_view of(const Slice& slice) const { return slice.of(input); }
};

TEST(PgClientStart, NamesUserAndDatabase) {
  Buffer out(1024);
  PgClient client;
  ASSERT_TRUE(client.start(out));
  EXPECT_EQ(out.view(), pg::startup());
}

TEST(PgClientStart, IsReadyHoweverTheWelcomeIsSplit) {
  const std::string whole = pg::message('R', pg::u32(0)) + pg::message('K', pg::u32(1) + pg::u32(2)) +
                            pg::message('N', "Sx" + std::string(2, '\0')) +
                            pg::parameter("mode", "read-only") + pg::ready();
  for (std::size_t at = 0; at < whole.size(); ++at) {
    Endpoint endpoint;
    ASSERT_EQ(endpoint.feed(std::string_view(whole).substr(0, at)), Event::NeedMore) << at;
    ASSERT_EQ(endpoint.feed(std::string_view(whole).substr(at)), Event::Ready) << at;
    ASSERT_TRUE(endpoint.client.usable());
  }
}

TEST(PgClientStart, ReportsARejectedStartup) {
  Endpoint endpoint;
  EXPECT_EQ(endpoint.feed(pg::error("53300", "FATAL")), Event::Rejected);
  EXPECT_EQ(endpoint.of(endpoint.client.answer().code), "53300");
  EXPECT_FALSE(endpoint.client.usable());
}

TEST(PgClientStart, SendsNoPassword) {
  Endpoint endpoint;
  EXPECT_EQ(endpoint.feed(pg::message('R', pg::u32(3))), Event::Broken);
}

TEST(PgClientAnswers, ARowIsKeptByteForByteHoweverItIsSplit) {
  // A value that looks like messages of its own.
  const std::string value = std::string("Z\0\0\0\5I", 6) + pg::complete() + "HTTP/1.1 200 OK\r\n\r\n";
  const std::string whole = pg::rowDescription() + pg::message('N', std::string(1, '\0')) +
                            pg::dataRow(value) + pg::complete() + pg::parameter("mode", "read-write") +
                            pg::parameter("wal_time", "1767225600123") + pg::ready();
  for (std::size_t at = 0; at < whole.size(); ++at) {
    Endpoint endpoint;
    endpoint.ask();
    ASSERT_EQ(endpoint.feed(std::string_view(whole).substr(0, at)), Event::NeedMore) << at;
    ASSERT_EQ(endpoint.feed(std::string_view(whole).substr(at)), Event::Answered) << at;
    const PgAnswer& answer = endpoint.client.answer();
    ASSERT_EQ(answer.kind, Kind::Row);
    ASSERT_EQ(endpoint.of(answer.value), value);
    ASSERT_EQ(endpoint.of(answer.rowDescription), pg::rowDescription());
    ASSERT_EQ(endpoint.of(answer.dataRow), pg::dataRow(value));
    ASSERT_EQ(endpoint.of(answer.commandComplete), pg::complete());
    ASSERT_EQ(answer.primary, true);
    ASSERT_EQ(answer.positionMs, 1767225600123);
    ASSERT_EQ(endpoint.client.parsedBytes(), whole.size());
    ASSERT_TRUE(endpoint.client.usable());
  }
}

TEST(PgClientAnswers, FieldsOfTheAnswerBeforeAreNotKept) {
  Endpoint endpoint;
  endpoint.ask();
  ASSERT_EQ(endpoint.feed(pg::row("one") + pg::parameter("mode", "read-only") +
                          pg::parameter("stats", "x0=1,x1=0") + pg::ready()),
            Event::Answered);
  EXPECT_EQ(endpoint.client.answer().primary, false);
  EXPECT_EQ(endpoint.of(endpoint.client.answer().report), "x0=1,x1=0");
  endpoint.consume();
  endpoint.client.onQueryWritten();
  ASSERT_EQ(endpoint.feed(pg::row("two") + pg::ready()), Event::Answered);
  EXPECT_EQ(endpoint.of(endpoint.client.answer().value), "two");
  EXPECT_EQ(endpoint.client.answer().primary, std::nullopt);
  EXPECT_TRUE(endpoint.of(endpoint.client.answer().report).empty());
}

TEST(PgClientAnswers, AnErrorIsReadWithItsCode) {
  Endpoint endpoint;
  endpoint.ask();
  EXPECT_EQ(endpoint.feed(pg::error("25006") + pg::parameter("mode", "read-only")), Event::NeedMore);
  EXPECT_EQ(endpoint.feed(pg::ready()), Event::Answered);
  EXPECT_EQ(endpoint.client.answer().kind, Kind::Error);
  EXPECT_EQ(endpoint.of(endpoint.client.answer().code), "25006");
  EXPECT_EQ(endpoint.client.answer().primary, false);
}

TEST(PgClientAnswers, AFatalErrorIsCompleteAtOnceAndEndsTheConnection) {
  Endpoint endpoint;
  endpoint.ask();
  EXPECT_EQ(endpoint.feed(pg::error("XX000", "FATAL")), Event::Answered);
  EXPECT_FALSE(endpoint.client.usable());
}

TEST(PgClientAnswers, AreCompleteAtACloseOnceTheCommandIsComplete) {
  Endpoint endpoint;
  endpoint.ask();
  EXPECT_FALSE(endpoint.client.completeAtClose());
  endpoint.feed(pg::rowDescription() + pg::dataRow("v"));
  EXPECT_TRUE(endpoint.client.answerStarted());
  EXPECT_FALSE(endpoint.client.completeAtClose());
  endpoint.feed(pg::complete());
  EXPECT_TRUE(endpoint.client.completeAtClose());
  EXPECT_EQ(endpoint.client.answer().kind, Kind::Row);
}

// An error after a complete row that only explains why the connection is closed must not replace the row.
TEST(PgClientAnswers, ARowRemainsTheAnswerIfTheEndpointThenShutsDown) {
  Endpoint endpoint;
  endpoint.ask();
  EXPECT_EQ(endpoint.feed(pg::row("v") + pg::error("57P01", "FATAL")), Event::Answered);
  EXPECT_EQ(endpoint.client.answer().kind, Kind::Row);
  EXPECT_FALSE(endpoint.client.usable());
}

TEST(PgClientAnswers, WithoutARowAreEmpty) {
  Endpoint endpoint;
  endpoint.ask();
  EXPECT_EQ(endpoint.feed(pg::complete("SELECT 0") + pg::ready()), Event::Answered);
  EXPECT_EQ(endpoint.client.answer().kind, Kind::Empty);
}

std::string rowAnswer(std::string_view value) {
  return pg::row(value) + pg::parameter("mode", "read-only") + pg::ready();
}

// An endpoint may return the same value twice. The reply to the empty query shows that this is no copy.
TEST(PgClientCopies, AnAnswerThatRepeatsTheOneBeforeIsVerified) {
  const std::string next = rowAnswer("same") + pg::emptyQueryReply();
  for (std::size_t at = 0; at < next.size(); ++at) {
    Endpoint endpoint;
    endpoint.ask();
    endpoint.answerAndAskAgain(rowAnswer("same"));
    ASSERT_EQ(endpoint.feed(std::string_view(next).substr(0, at)), Event::NeedMore) << at;
    EXPECT_FALSE(endpoint.client.completeAtClose()) << at;
    ASSERT_EQ(endpoint.feed(std::string_view(next).substr(at)), Event::Answered) << at;
    EXPECT_EQ(endpoint.out.view(), pg::query(""));
    EXPECT_EQ(endpoint.value(), "same");
    EXPECT_EQ(endpoint.client.answer().primary, false);
    EXPECT_TRUE(endpoint.client.usable());
    EXPECT_EQ(endpoint.client.takeSurplusAnswers(), 0U);
  }
}

TEST(PgClientCopies, AnAnswerThatDiffersIsNotVerified) {
  Endpoint endpoint;
  endpoint.ask();
  endpoint.answerAndAskAgain(rowAnswer("one"));
  endpoint.answerAndAskAgain(rowAnswer("two"));
  endpoint.answerAndAskAgain(pg::error("53300") + pg::ready());
  endpoint.answerAndAskAgain(rowAnswer("two"));
  EXPECT_TRUE(endpoint.out.empty());
}

// Failure: the second copy of an answer is taken for the answer to the next query.
TEST(PgClientCopies, ACopyIsNotTakenForTheNextAnswer) {
  const std::string next = rowAnswer("one") + rowAnswer("two");
  for (std::size_t at = 0; at < next.size(); ++at) {
    Endpoint endpoint;
    endpoint.ask();
    endpoint.answerAndAskAgain(rowAnswer("one"));
    ASSERT_EQ(endpoint.feed(std::string_view(next).substr(0, at)), Event::NeedMore) << at;
    ASSERT_EQ(endpoint.feed(std::string_view(next).substr(at)), Event::Answered) << at;
    EXPECT_EQ(endpoint.value(), "two");
    EXPECT_EQ(endpoint.client.takeSurplusAnswers(), 1U);
    endpoint.consume();
    EXPECT_FALSE(endpoint.client.usable()) << "the empty query has no reply yet";
    EXPECT_TRUE(endpoint.client.awaitsEmptyQueryReply());
    EXPECT_EQ(endpoint.feed(pg::emptyQueryReply()), Event::Ready);
    EXPECT_TRUE(endpoint.client.usable());
  }
}

// Failure: a copied rejection is taken for the proof that the next write has not run.
TEST(PgClientCopies, ACopiedErrorIsNotTakenForTheNextAnswer) {
  for (const char* code : {"53300", "25006", "72000", "XX000"}) {
    Endpoint endpoint;
    endpoint.ask();
    endpoint.answerAndAskAgain(pg::error(code) + pg::ready());
    EXPECT_EQ(endpoint.feed(pg::error(code) + pg::ready()), Event::NeedMore) << code;
    EXPECT_EQ(endpoint.feed(rowAnswer("two")), Event::Answered) << code;
    EXPECT_EQ(endpoint.value(), "two") << code;
  }
}

// Failure: a rejection of the empty query is taken for the proof that the query has not run.
TEST(PgClientCopies, AnErrorBehindARepeatedAnswerCountsOnlyWithTheReplyToTheEmptyQuery) {
  Endpoint endpoint;
  endpoint.ask();
  endpoint.answerAndAskAgain(rowAnswer("one"));
  EXPECT_EQ(endpoint.feed(rowAnswer("one") + pg::error("53300")), Event::NeedMore);
  EXPECT_FALSE(endpoint.client.completeAtClose());
  EXPECT_EQ(endpoint.feed(pg::ready()), Event::NeedMore);
  EXPECT_FALSE(endpoint.client.completeAtClose());
  EXPECT_EQ(endpoint.out.view(), pg::query("")) << "one is enough";
  EXPECT_EQ(endpoint.feed(pg::emptyQueryReply()), Event::Answered);
  EXPECT_EQ(endpoint.client.answer().kind, Kind::Error);
  EXPECT_EQ(endpoint.of(endpoint.client.answer().code), "53300");
  EXPECT_TRUE(endpoint.client.usable());
  EXPECT_EQ(endpoint.client.takeSurplusAnswers(), 1U);
}

// Failure: the end of a connection behind an answer is taken for the proof that the query has not run.
TEST(PgClientCopies, AFatalErrorBehindARepeatedAnswerProvesNothing) {
  for (const std::string& repeated : {pg::row("one"), rowAnswer("one")}) {
    Endpoint endpoint;
    endpoint.ask();
    endpoint.answerAndAskAgain(rowAnswer("one"));
    EXPECT_EQ(endpoint.feed(repeated + pg::error("53300", "FATAL")), Event::Broken);
  }
}

TEST(PgClientCopies, WhatTheEndpointReportsOfItselfMakesNoDifference) {
  Endpoint endpoint;
  endpoint.ask();
  endpoint.answerAndAskAgain(rowAnswer("one"));
  const std::string copy = pg::parameter("mode", "read-write") + pg::parameter("wal_time", "7") +
                           pg::message('N', std::string(1, '\0')) + pg::row("one") + pg::ready();
  EXPECT_EQ(endpoint.feed(copy), Event::NeedMore);
  EXPECT_EQ(endpoint.feed(rowAnswer("two")), Event::Answered);
  EXPECT_EQ(endpoint.client.answer().primary, false) << "of the copy";
  EXPECT_EQ(endpoint.client.answer().positionMs, std::nullopt) << "of the copy";
}

TEST(PgClientCopies, AnswersBehindTheAnswerAreDiscardedUntilTheReplyToTheEmptyQuery) {
  Endpoint endpoint;
  endpoint.ask();
  endpoint.answerAndAskAgain(rowAnswer("one"));
  ASSERT_EQ(endpoint.feed(rowAnswer("one") + rowAnswer("two")), Event::Answered);
  endpoint.consume();
  EXPECT_EQ(endpoint.feed(rowAnswer("two")), Event::NeedMore);
  EXPECT_EQ(endpoint.feed(pg::emptyQueryReply()), Event::Ready);
  EXPECT_EQ(endpoint.client.takeSurplusAnswers(), 2U);
  endpoint.consume();
  endpoint.client.onQueryWritten();
  EXPECT_EQ(endpoint.feed(pg::emptyQueryReply()), Event::NeedMore) << "a copy of the reply";
  EXPECT_EQ(endpoint.feed(rowAnswer("three")), Event::Answered);
  EXPECT_EQ(endpoint.value(), "three");
}

// The end of a copy whose beginning is missing.
TEST(PgClientCopies, AnAnswerWithoutARowIsVerified) {
  Endpoint endpoint;
  endpoint.ask();
  endpoint.answerAndAskAgain(rowAnswer("one"));
  EXPECT_EQ(endpoint.feed(pg::complete() + pg::ready()), Event::NeedMore);
  EXPECT_EQ(endpoint.feed(rowAnswer("two")), Event::Answered);
  EXPECT_EQ(endpoint.value(), "two");
}

TEST(PgClientCopies, ACopyIsNoAnswerIfTheConnectionEndsBehindIt) {
  Endpoint endpoint;
  endpoint.ask();
  endpoint.answerAndAskAgain(rowAnswer("one"));
  endpoint.feed(pg::row("one"));
  EXPECT_FALSE(endpoint.client.completeAtClose()) << "before ReadyForQuery";
  endpoint.feed(pg::ready());
  EXPECT_FALSE(endpoint.client.completeAtClose());
}

TEST(PgClientCopies, NoiseBehindACopyBreaksTheConnection) {
  for (const std::string& noise : {std::string("noise\r\n\r\n"), pg::welcome(), pg::ready()}) {
    Endpoint endpoint;
    endpoint.ask();
    endpoint.answerAndAskAgain(rowAnswer("one"));
    ASSERT_EQ(endpoint.feed(rowAnswer("one")), Event::NeedMore);
    EXPECT_EQ(endpoint.feed(noise), Event::Broken);
  }
}

// Unsolicited bytes must not be taken for the answer to the next request.
TEST(PgClientAnswers, UnsolicitedBytesBreakTheConnection) {
  Endpoint endpoint;
  EXPECT_EQ(endpoint.feed(pg::welcome()), Event::Ready);
  endpoint.consume();
  EXPECT_EQ(endpoint.feed(pg::row("stray")), Event::Broken);
}

TEST(PgClientAnswers, OutOfOrderOrMalformedBreakTheConnection) {
  const std::string twoColumns = pg::message('T', pg::u16(2));
  const std::string wrongCount = pg::message('D', pg::u16(2) + pg::u32(0) + pg::u32(0));
  const std::string wrongSize = pg::message('D', pg::u16(1) + pg::u32(9) + "short");
  for (const std::string& bytes :
       {pg::ready(), pg::dataRow("first"), twoColumns, pg::rowDescription() + wrongCount,
        pg::rowDescription() + wrongSize, pg::rowDescription() + pg::rowDescription(),
        pg::rowDescription() + pg::dataRow("a") + pg::dataRow("b"), pg::row("a") + pg::row("b"),
        pg::message('G', ""), "T" + pg::u32(2), "D" + pg::u32(1 << 30)}) {
    Endpoint endpoint;
    endpoint.ask();
    EXPECT_EQ(endpoint.feed(bytes), Event::Broken) << bytes;
    EXPECT_FALSE(endpoint.client.usable());
  }
}

TEST(PgClientAnswers, InvalidPositionsAreIgnored) {
  for (const char* value : {"", "soon", "12x", "-5", "99999999999999999999"}) {
    Endpoint endpoint;
    endpoint.ask();
    EXPECT_EQ(endpoint.feed(pg::row("v") + pg::parameter("wal_time", value) + pg::ready()), Event::Answered);
    EXPECT_EQ(endpoint.client.answer().positionMs, std::nullopt) << value;
  }
}

TEST(PgClientAnswers, SurviveMutatedInput) {
  const std::string whole = pg::row("a value") + pg::parameter("mode", "read-only") +
                            pg::parameter("wal_time", "1767225600123") + pg::ready();
  std::mt19937 random(11);
  std::size_t broken = 0;
  std::size_t rows = 0;
  for (int round = 0; round < 3000; ++round) {
    std::string bytes = whole;
    for (int i = 0; i < 1 + round % 3; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    Endpoint endpoint;
    endpoint.ask();
    const Event event = endpoint.feed(bytes);
    broken += event == Event::Broken ? 1 : 0;
    ASSERT_LE(endpoint.client.parsedBytes(), bytes.size());
    if (event != Event::Answered || endpoint.client.answer().kind != Kind::Row) continue;
    ++rows;
    const PgAnswer& answer = endpoint.client.answer();
    for (const Slice& slice : {answer.rowDescription, answer.dataRow, answer.commandComplete, answer.value}) {
      ASSERT_LE(slice.at + slice.size, bytes.size());
    }
  }
  EXPECT_GT(broken, 0U);
  EXPECT_GT(rows, 0U);
}

}  // namespace
}  // namespace heathflow::protocol
