// Some answers of members bring a second copy of themselves right behind. Judges what each client was served.
#include "../common/standins.h"

using namespace review;

namespace {

constexpr int kMembers = 4;
constexpr int kClients = 16;
constexpr double kSeconds = 60;
// The share of the answers that bring a second copy.
constexpr double kCopiedShare = 0.05;
// The site's time between two machines of its data centre, one way.
constexpr Member::Network kNetwork{0.12, 0.32};

std::atomic<long> copies{0};

std::string valueFor(const std::string& id) { return "value made for " + id; }

class CopyingMember final : public Member {
 public:
  CopyingMember(int index, Random& random, Record& record, bool trouble)
      : Member("s-" + std::to_string(index), "127.0.0." + std::to_string(10 + index), index == 0, kNetwork,
               random),
        record_(record),
        trouble_(trouble) {}

 protected:
  void answer(const std::string& statement, Answers& answers) override {
    const std::string requestId = item(statement, "id");
    record_.line("run       " + requestId + " at " + id());
    const std::string requestClass = item(statement, "c");
    sleepMillis(requestClass == "segment-view" ? random_.between(28, 49)
                : requestClass == "job-status" ? random_.between(47, 81)
                                               : random_.between(70, 120));
    const bool write = requestClass == "segment-save";
    if (write && !primary()) return answers.send(errorResponse("25006") + role() + readyForQuery());
    const std::string wholeAnswer =
        rowOf(valueFor(requestId), write ? "INSERT 0 1" : "SELECT 1") + role() +
        (write ? parameter("wal_time", std::to_string(unixMillis() + 1)) : std::string()) + readyForQuery();
    answers.send(wholeAnswer);
    if (!trouble_ || random_.between(0, 1) >= kCopiedShare) return;
    // Nothing else waits on the connection: the gateway sends the next request only after this answer.
    answers.send(wholeAnswer);
    ++copies;
    record_.line("copied    " + requestId + " at " + id());
  }

 private:
  Record& record_;
  bool trouble_;
};

}  // namespace

int main(int argc, char** argv) {
  const Options options = readOptions(argc, argv);
  ::signal(SIGPIPE, SIG_IGN);
  Record record(options.record);
  Random random(20261204);
  std::vector<std::unique_ptr<CopyingMember>> members;
  std::vector<std::string> entries;
  for (int i = 0; i < kMembers; ++i) {
    members.push_back(std::make_unique<CopyingMember>(i, random, record, options.trouble));
    members.back()->start();
    entries.push_back(members.back()->entry());
  }
  ListService lists(entries);
  Gateway gateway(options.command, options.root, options.folder);
  if (!gateway.start(nairobiSettings(), lists)) {
    std::fprintf(stderr, "the gateway did not start\n");
    gateway.kill();
    finish(2);
  }

  std::atomic<long> served{0};
  std::atomic<long> rejected{0};
  std::atomic<long> failed{0};
  std::atomic<long> foreign{0};
  const std::int64_t end = nowMicros() + static_cast<std::int64_t>(kSeconds * 1e6);
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      // Two of the classes may go to any member or a current one, two to the primary alone.
      const char* const names[] = {"glossary-lookup", "job-status", "segment-view", "segment-save"};
      const std::string name = names[c % 4];
      const long waits = name == "segment-save"   ? 5000
                         : name == "job-status"   ? 1000
                         : name == "segment-view" ? 600
                                                  : 2000;
      auto client = std::make_unique<Client>(gateway.host(), gateway.port());
      for (int n = 0; nowMicros() < end; ++n) {
        if (!client->open()) client = std::make_unique<Client>(gateway.host(), gateway.port());
        const std::string id = "r" + std::to_string(c) + "-" + std::to_string(n);
        const std::string comment = "id=" + id + ",c=" + name + ",d=" + std::to_string(waits) + ",cluster=0";
        const std::string handle = "h" + std::to_string(c);
        record.line("sent      " + id);
        const bool written = client->send(Client::query(
            name == "segment-save" ? writeStatement(handle, "9f03", comment + ",k=" + id.substr(1))
                                   : readStatement(handle, comment)));
        const Client::Answer answer = written ? client->readAnswer() : Client::Answer{};
        if (!answer.complete) {
          record.line("no answer " + id + ": the connection ended");
          ++failed;
          client->close();
          continue;
        }
        if (!answer.served) {
          record.line("answered  " + id + " with " + answer.code);
          ++(answer.code == "53300" || answer.code == "57P03" ? rejected : failed);
          sleepMillis(10);
          continue;
        }
        ++served;
        const bool own = answer.value == valueFor(id);
        if (!own) ++foreign;
        record.line((own ? "answered  " : "FOREIGN   ") + id + " with '" + answer.value + "'");
        // Back at once on some connections, after a moment on others.
        sleepMillis(random.between(0, 1) < 0.5 ? 0 : random.between(1, 40));
      }
    });
  }
  for (std::thread& client : clients) client.join();
  const bool alive = gateway.running();
  gateway.kill();

  char result[256];
  std::snprintf(result, sizeof result,
                "served %ld, of them with a value made for another request %ld; rejected %ld, failed %ld; "
                "answers with a second copy %ld; the gateway %s",
                served.load(), foreign.load(), rejected.load(), failed.load(), copies.load(),
                alive ? "ran to the end" : "ended early");
  record.line(result);
  record.flush();
  std::printf("%s\n", result);
  if (foreign > 0 || !alive) finish(1);
  finish(served > 100 ? 0 : 2);
}
