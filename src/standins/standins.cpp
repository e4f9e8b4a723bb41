#include "standins/standins.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <stdexcept>

namespace heathflow::test {
namespace {

constexpr std::array<std::pair<const char*, const char*>, 7> kCodes = {{
    {"53300", "Neo.TransientError.Request.NoThreadsAvailable"},
    {"57P03", "Neo.TransientError.General.DatabaseUnavailable"},
    {"25006", "Neo.ClientError.Cluster.NotALeader"},
    {"72000", "Neo.TransientError.Transaction.BookmarkTimeout"},
    {"XX000", "Neo.DatabaseError.Statement.ExecutionFailed"},
    {"58000", "Neo.DatabaseError.General.UnknownError"},
    {"22023", "Neo.ClientError.Request.Invalid"},
}};

constexpr std::string_view kHealthCheck = "CALL heathflow.stats()";

}  // namespace

std::string boltCodeOf(const std::string& sqlstate) {
  for (const auto& [state, code] : kCodes) {
    if (sqlstate == state) return code;
  }
  throw std::runtime_error("there is no Bolt code for SQLSTATE " + sqlstate);
}

std::string sqlstateOf(const std::string& boltCode) {
  for (const auto& [state, code] : kCodes) {
    if (boltCode == code) return state;
  }
  return boltCode;
}

std::pair<std::string, bolt::Entries> boltRequest(const std::string& statement) {
  const std::size_t comment = statement.find(" /* ");
  bolt::Entries extra;
  bolt::Entries metadata;
  if (statement.substr(0, 6) == "SELECT") extra.emplace_back("mode", bolt::text("r"));
  std::string rest =
      comment == std::string::npos ? "" : statement.substr(comment + 4, statement.find(" */") - comment - 4);
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    const std::string item = rest.substr(0, comma);
    rest.erase(0, comma + 1);
    const std::size_t equals = item.find('=');
    const std::string name = item.substr(0, equals);
    const std::string value = item.substr(equals + 1);
    if (name == "d") extra.emplace_back("tx_timeout", bolt::integer(std::stoll(value)));
    if (name == "id") metadata.emplace_back("id", bolt::text(value));
    if (name == "c") metadata.emplace_back("class", bolt::text(value));
    if (name == "k") metadata.emplace_back("key", bolt::text(value));
    if (name == "cluster") metadata.emplace_back("cluster", bolt::integer(std::stoll(value)));
    if (name == "bookmark") extra.emplace_back("bookmarks", bolt::list({bolt::text(value)}));
  }
  extra.emplace_back("tx_metadata", bolt::map(metadata));
  return {statement.substr(0, comment), extra};
}

std::string statementOf(const std::string& query, const bolt::Value& extra) {
  const bolt::Value& metadata = extra.at("tx_metadata");
  std::string out = query + " /* id=" + metadata.at("id").text + ",c=" + metadata.at("class").text;
  if (extra.has("tx_timeout")) out += ",d=" + std::to_string(extra.at("tx_timeout").integer);
  if (metadata.has("key")) out += ",k=" + metadata.at("key").text;
  out += ",cluster=" + std::to_string(metadata.at("cluster").integer);
  if (!extra.at("bookmarks").parts.empty()) out += ",bookmark=" + extra.at("bookmarks").parts[0].text;
  return out + " */";
}

bolt::Entries EndpointStandIn::summary(std::int64_t positionMs) const {
  bolt::Entries out = {{"bookmark", bolt::text("own")},
                       {"mode", bolt::text(primary ? "read-write" : "read-only")}};
  if (positionMs != 0) out.emplace_back("wal_time", bolt::integer(positionMs));
  return out;
}

std::string EndpointStandIn::value(std::string_view text, std::int64_t positionMs) const {
  if (speaks == Speaks::Bolt) return half(text) + bolt::success(summary(positionMs));
  return pg::row(text) + statusParameters(primary, positionMs) + pg::ready();
}

std::string EndpointStandIn::report(const std::string& text) const {
  return speaks == Speaks::Bolt ? half(text) + bolt::success() : pg::row(text) + pg::ready();
}

std::string EndpointStandIn::error(const std::string& sqlstate) const {
  if (speaks == Speaks::Bolt) return bolt::failure(boltCodeOf(sqlstate)) + bolt::ignored();
  return pg::error(sqlstate) + statusParameters(primary) + pg::ready();
}

std::string EndpointStandIn::half(std::string_view text) const {
  if (speaks == Speaks::Bolt) {
    return bolt::success({{"fields", bolt::list({bolt::text("blob")})}}) + bolt::record({bolt::text(text)});
  }
  return pg::rowDescription() + pg::dataRow(text);
}

std::string EndpointStandIn::nonsense() const {
  return speaks == Speaks::Bolt ? bolt::chunked("utter nonsense") : "utter nonsense";
}

std::vector<std::string> EndpointStandIn::malformed() const {
  if (speaks == Speaks::Bolt) {
    return {nonsense(), bolt::record({bolt::text("first")}), half("v") + bolt::message(0x55, {}),
            half("v") + bolt::chunked("\xB1\x71\x91\xD0\xFF"
                                      "cut short"),
            bolt::ignored()};
  }
  std::vector<std::string> out = {
      pg::rowDescription() + "D" + pg::u32(0xFFFFFFF0U) + pg::u16(1),
      pg::rowDescription() + pg::message('D', pg::u16(1) + pg::u32(0x7FFFFFFF) + "v"),
      pg::rowDescription() + "D" + pg::u32(3'000'000'010U) + pg::u16(1) + "vvv",
      pg::rowDescription() + pg::message('q', pg::u16(1) + pg::u32(1) + "v"), "noise\r\n\r\n"};
  for (std::string& bytes : out) bytes.insert(0, statusParameters(false));
  return out;
}

void EndpointStandIn::onStatement(Line& line, const std::string& statement) {
  if (speaks == Speaks::Postgres && statement.empty()) return line.say(pg::emptyQueryReply());
  ++line.queries;
  if (statement == "SHOW stats" || statement == kHealthCheck) {
    ++healthChecks;
    healthCheck(line, statement);
  } else if (speaks == Speaks::Postgres && statement == "SELECT 1") {
    ++readinessChecks;
    readinessCheck(line, statement);
  } else {
    if (keepsStatements) statements.push_back(statement);
    answer(line, statement);
  }
}

void EndpointStandIn::onBolt(Line& line) {
  if (!line.started) {
    if (line.got.size() < bolt::handshake().size()) return;
    line.got.erase(0, bolt::handshake().size());
    line.started = true;
    line.say(bolt::version());
  }
  for (const bolt::Message& message : bolt::cut(line.got)) {
    if (message.tag == bolt::kHello || message.tag == bolt::kLogon) {
      line.greeted = message.tag == bolt::kLogon;
      line.say(bolt::success());
      continue;
    }
    tags.push_back(message.tag);
    const bool ofHealthCheck = message.tag == bolt::kRun && message.fields[0].text == kHealthCheck;
    if (!ofHealthCheck && line.statement != kHealthCheck && script && script(line, message)) continue;
    onBoltMessage(line, message);
  }
}

void EndpointStandIn::onBoltMessage(Line& line, const bolt::Message& message) {
  switch (message.tag) {
    case bolt::kRun: {
      const std::string& query = message.fields[0].text;
      line.statement = query == kHealthCheck ? query : statementOf(query, message.fields[2]);
      if (line.transaction) {
        statements.push_back(query);
        line.say(bolt::success({{"fields", bolt::list({bolt::text("blob")})}}));
      }
      return;
    }
    case bolt::kPull:
    case bolt::kDiscard:
      if (line.transaction) {
        line.say(bolt::record({bolt::text("from " + address())}) + bolt::success());
      } else {
        onStatement(line, std::exchange(line.statement, ""));
      }
      return;
    case bolt::kBegin:
      line.transaction = true;
      statements.push_back(statementOf("BEGIN", message.fields[0]));
      line.say(bolt::success());
      return;
    case bolt::kCommit:
    case bolt::kRollback:
      line.transaction = false;
      line.say(bolt::success(summary()));
      return;
    case bolt::kReset:
      line.transaction = false;
      line.say(bolt::success());
      return;
    default:
      line.hangUp();
  }
}

ClientStandIn::ClientStandIn(transport::EventLoop& loop, const ProtocolAddress& gateway, bool startup)
    : loop_(loop), speaks_(gateway.speaks), line_(loop, nullptr) {
  if (speaks_ == Speaks::Bolt) outstanding_ = {ReplyTo::Version, ReplyTo::Login, ReplyTo::Login};
  int error = 0;
  if (!line_.stream.connect(gateway.socketAddress, error))
    throw std::runtime_error("can't connect to the gateway at " + toText(gateway.socketAddress));
  if (!until(loop_, [&] { return line_.stream.open() || line_.ended; }) || line_.ended) {
    throw std::runtime_error("the gateway did not accept the connection");
  }
  if (startup) say(opening());
  if (startup && !until(loop_, [&] { return messages().size() > before_ && last().type == 'Z'; })) {
    throw std::runtime_error("the gateway did not complete the login");
  }
  forget();
}

std::string openingOf(Speaks speaks) {
  return speaks == Speaks::Bolt ? bolt::handshake() + bolt::hello() + bolt::logon() : pg::startup();
}

std::string askingOf(Speaks speaks, std::string_view statement) {
  if (speaks == Speaks::Postgres) return pg::query(statement);
  const auto [query, extra] = boltRequest(std::string(statement));
  return bolt::run(query, extra) + bolt::pull();
}

void ClientStandIn::ask(std::string_view statement) {
  if (speaks_ == Speaks::Bolt) {
    outstanding_.push_back(ReplyTo::Run);
    outstanding_.push_back(ReplyTo::Pull);
  }
  say(asking(statement));
}

const std::vector<pg::Message>& ClientStandIn::messages() {
  if (speaks_ == Speaks::Postgres) {
    for (auto& message : pg::cut(line_.got)) messages_.push_back(std::move(message));
    return messages_;
  }
  if (!outstanding_.empty() && outstanding_.front() == ReplyTo::Version) {
    if (line_.got.size() < bolt::version().size()) return messages_;
    line_.got.erase(0, bolt::version().size());
    outstanding_.pop_front();
  }
  for (const auto& message : bolt::cut(line_.got)) translate(message);
  return messages_;
}

// Translates a Bolt reply into PostgreSQL messages. After a failure the client sends RESET; ReadyForQuery is
// added when that is confirmed.
void ClientStandIn::translate(const bolt::Message& message) {
  if (message.tag == bolt::kRecord) {
    const bolt::Value& row = message.fields.at(0);
    messages_.push_back({'D', std::string(6, '\0') + row.parts.at(0).text});
    return;
  }
  const ReplyTo to = outstanding_.empty() ? ReplyTo::Pull : outstanding_.front();
  if (!outstanding_.empty()) outstanding_.pop_front();
  if (message.tag == bolt::kFailure) {
    const bolt::Value& about = message.fields.at(0);
    std::string body = "C" + pg::text(sqlstateOf(about.at("code").text));
    if (about.has("retry_after_ms")) {
      body += "D" + pg::text(std::to_string(about.at("retry_after_ms").integer));
    }
    messages_.push_back({'E', body + '\0'});
    outstanding_.push_back(ReplyTo::Reset);
    say(bolt::plain(bolt::kReset));
    return;
  }
  if (message.tag == bolt::kIgnored) return;
  const bolt::Value& about = message.fields.at(0);
  switch (to) {
    case ReplyTo::Run:
      messages_.push_back({'T', ""});
      return;
    case ReplyTo::Pull:
      if (about.has("bookmark")) bookmark_ = about.at("bookmark").text;
      messages_.push_back({'C', ""});
      messages_.push_back({'Z', "I"});
      return;
    case ReplyTo::Login:
      if (outstanding_.empty() || outstanding_.front() != ReplyTo::Login) messages_.push_back({'Z', "I"});
      return;
    case ReplyTo::Reset:
      messages_.push_back({'Z', "I"});
      return;
    case ReplyTo::Version:
      return;
  }
}

BoltClientStandIn::BoltClientStandIn(transport::EventLoop& loop, const transport::SocketAddress& gateway,
                                     unsigned minor, bool login)
    : loop_(loop), line_(loop, nullptr) {
  int error = 0;
  if (!line_.stream.connect(gateway, error))
    throw std::runtime_error("can't connect to the gateway at " + toText(gateway));
  if (!until(loop_, [&] { return line_.stream.open() || line_.ended; }) || line_.ended) {
    throw std::runtime_error("the gateway did not accept the connection");
  }
  if (!login) return;
  say(bolt::handshake(minor, 0) + bolt::hello(minor) + (minor >= 1 ? bolt::logon() : ""));
  const std::string version = bolt::version(minor);
  if (!until(loop_, [&] { return line_.got.size() >= version.size(); }) ||
      line_.got.substr(0, version.size()) != version) {
    throw std::runtime_error("the gateway did not accept Bolt version 5." + std::to_string(minor));
  }
  line_.got.erase(0, version.size());
  if (!replied(minor >= 1 ? 2 : 1)) throw std::runtime_error("the gateway did not complete the login");
  forget();
}

const std::vector<bolt::Message>& BoltClientStandIn::messages() {
  for (auto& message : bolt::cut(line_.got)) messages_.push_back(std::move(message));
  return messages_;
}

bool BoltClientStandIn::replied(std::size_t count) {
  return until(loop_, [&] {
    std::size_t replies = 0;
    for (const auto& message : messages()) replies += message.tag == bolt::kRecord ? 0 : 1;
    return replies >= count;
  });
}

std::string BoltClientStandIn::tags() {
  std::string out;
  for (const auto& message : messages()) {
    out += message.tag == bolt::kSuccess   ? 'S'
           : message.tag == bolt::kFailure ? 'F'
           : message.tag == bolt::kIgnored ? 'I'
           : message.tag == bolt::kRecord  ? 'R'
                                           : '?';
  }
  return out;
}

const bolt::Message& BoltClientStandIn::reply(std::size_t number) {
  for (const auto& message : messages()) {
    if (message.tag != bolt::kRecord && number-- == 0) return message;
  }
  throw std::runtime_error("the client has not received that many replies");
}

std::string BoltClientStandIn::code() {
  for (const auto& message : messages()) {
    if (message.tag == bolt::kFailure) return message.fields.at(0).at("code").text;
  }
  return "";
}

std::size_t BoltClientStandIn::records() {
  std::size_t count = 0;
  for (const auto& message : messages()) count += message.tag == bolt::kRecord ? 1 : 0;
  return count;
}

transport::UniqueFd listenAt(transport::SocketAddress& place) {
  transport::SocketResult opened = transport::listenOn(place, 128);
  if (!opened.fd) throw std::runtime_error("a stand-in can't listen at " + toText(place));
  place = *transport::localAddress(opened.fd.get());
  return std::move(opened.fd);
}

transport::UniqueFd reserve(const transport::SocketAddress& place) { return transport::bindTo(place).fd; }

void resetAtClose(int fd) {
  const linger hard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

PlainListener::PlainListener(transport::EventLoop& loop, std::uint32_t address)
    : loop_(loop), socketAddress_{address, 0}, listener_(listenAt(socketAddress_)) {}

std::unique_ptr<PlainSocket> PlainListener::next() {
  std::unique_ptr<PlainSocket> out;
  until(loop_, [&] {
    transport::SocketResult opened = transport::acceptFrom(listener_.get());
    if (opened.fd) out = std::make_unique<PlainSocket>(loop_, std::move(opened));
    return out != nullptr;
  });
  return out;
}

}  // namespace heathflow::test
