// PostgreSQL's protocol as a protocol of the gateway: simple queries whose comment holds the request's
// metadata.
#pragma once

#include <memory>

#include "protocol/pg_client.h"
#include "protocol/pg_server.h"
#include "protocol/wire.h"

namespace heathflow::protocol {

class PgClientSide final : public ClientSide {
 public:
  Step step(std::string_view bytes, std::size_t from, Buffer& out) override;
  std::optional<RequestMetadata> parseRequest(std::string_view request, std::string_view& problem) override;
  void writeAnswer(const Answer& answer, std::string_view bytes, std::int64_t nowMs, Buffer& out) override;
  void finishAnswer(Buffer& out) override;
  void writeRejection(std::int64_t retryAfterMs, Buffer& out) override;
  void writeFailure(Buffer& out) override;
  void writeInvalidRequest(std::string_view message, Buffer& out) override;
  void fatalError(Reason reason, std::string_view message, Buffer& out) override;

 private:
  void error(std::string_view code, std::string_view message, Buffer& out, std::string_view detail = {});

  PgServer server_;
};

class PgEndpointSide final : public EndpointSide {
 public:
  bool start(Buffer& out) override { return client_.start(out); }
  bool writeRequest(std::string_view request, Slice timeout, std::int64_t leftMs, Buffer& out) override;
  bool writeRequestPart(std::string_view, Buffer&) override { return false; }
  bool writeHealthCheck(Buffer& out) override;
  bool writeReadinessCheck(Buffer& out) override;
  Event feed(std::string_view bytes, bool full, Buffer& out) override;
  std::size_t parsedBytes() const override { return client_.parsedBytes(); }
  void onConsumed() override { client_.onConsumed(); }
  const Answer& answer() const override { return answer_; }
  std::size_t mayRunAfter() const override { return queryBytes_; }
  std::size_t mayPersistAfter() const override { return queryBytes_; }
  bool answerPending() const override { return client_.answerPending(); }
  bool answerStarted() const override { return client_.answerStarted(); }
  bool completeAtClose() const override { return client_.completeAtClose(); }
  bool usable() const override { return client_.usable(); }
  bool recover(Buffer&) override { return client_.awaitsEmptyQueryReply(); }
  std::size_t takeSurplusAnswers() override { return client_.takeSurplusAnswers(); }

 private:
  bool writeCheck(std::string_view statement, Buffer& out);
  void translate(std::string_view bytes);

  PgClient client_;
  Answer answer_;
  std::size_t queryBytes_ = kNever;  // size of the query's message
};

class PgProtocol final : public Protocol {
 public:
  std::string_view name() const override { return "postgresql"; }
  std::unique_ptr<ClientSide> makeClientSide() const override { return std::make_unique<PgClientSide>(); }
  std::unique_ptr<EndpointSide> makeEndpointSide() const override {
    return std::make_unique<PgEndpointSide>();
  }
};

}  // namespace heathflow::protocol
