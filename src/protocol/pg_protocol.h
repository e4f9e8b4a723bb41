// PostgreSQL's protocol as routing uses it: simple queries whose comment tells what they are.
#pragma once

#include <memory>

#include "protocol/pg_client.h"
#include "protocol/pg_server.h"
#include "protocol/wire.h"

namespace heathflow::protocol {

class PgClientSide final : public ClientSide {
 public:
  Step step(std::string_view bytes, std::size_t from, Buffer& out) override;
  std::optional<Asked> read(std::string_view request, std::string_view& problem) override;
  void pass(const Answer& answer, std::string_view bytes, std::int64_t nowMs, Buffer& out) override;
  void served(Buffer& out) override;
  void rejected(std::int64_t retryAfterMs, Buffer& out) override;
  void failed(Buffer& out) override;
  void rejected(std::string_view message, Buffer& out) override;
  void fatalError(Reason reason, std::string_view message, Buffer& out) override;

 private:
  void error(std::string_view code, std::string_view message, Buffer& out, std::string_view detail = {});

  PgServer server_;
};

class PgEndpointSide final : public EndpointSide {
 public:
  bool start(Buffer& out) override { return client_.start(out); }
  bool ask(std::string_view request, Slice timeout, std::int64_t leftMs, Buffer& out) override;
  bool more(std::string_view, Buffer&) override { return false; }
  bool askHealthCheck(Buffer& out) override;
  Event feed(std::string_view bytes, bool full, Buffer& out) override;
  std::size_t seen() const override { return client_.seen(); }
  void dropped() override { client_.dropped(); }
  const Answer& answer() const override { return answer_; }
  std::size_t runsFrom() const override { return asked_; }
  std::size_t effectFrom() const override { return asked_; }
  bool owes() const override { return !client_.usable(); }
  bool answering() const override { return client_.answering(); }
  bool wholeAtEnd() const override { return client_.wholeAtEnd(); }
  bool usable() const override { return client_.usable(); }
  bool tidy(Buffer&) override { return false; }

 private:
  void translate(std::string_view bytes);

  PgClient client_;
  Answer answer_;
  std::size_t asked_ = kNever;  // bytes of the query's message
};

class PgProtocol final : public Protocol {
 public:
  std::string_view name() const override { return "postgresql"; }
  std::unique_ptr<ClientSide> towardsClient() const override { return std::make_unique<PgClientSide>(); }
  std::unique_ptr<EndpointSide> towardsEndpoint() const override {
    return std::make_unique<PgEndpointSide>();
  }
};

}  // namespace heathflow::protocol
