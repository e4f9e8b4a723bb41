// Gateways are restarted while replicas are behind. Judges the age of the data that session reads were
// answered from: what the member had applied when it answered, against the commit that the read names.
#include "../common/standins.h"

using namespace review;

namespace {

constexpr int kMembers = 7;
constexpr int kGateways = 4;
constexpr int kClientsOfEach = 32;
// How long a gateway is away, and how soon behind its start the front takes it in.
constexpr double kAwayMillis = 600;
constexpr double kFrontMillis = 50;
// The share of a session's requests that come to any gateway.
constexpr double kRoamingShare = 0.5;
constexpr double kStartMillis = 4000;
// Each gateway is restarted once in 16 s, one at a time; then nothing happens for a while.
constexpr int kRestarts = 16;
constexpr double kRestartMillis = 3300;
constexpr double kRestMillis = 6000;
// Grace of the check, in milliseconds, for what the stand-ins themselves take.
constexpr double kGraceMillis = 50;
// The site's time between two machines, one way.
constexpr Member::Network kNetwork{0.09, 0.34};

std::atomic<long> replicaReads{0};
std::atomic<long> stale{0};
std::mutex staleMutex;
std::set<std::string> staleIds;  // not yet answered to their clients

double unixMillisExact() { return static_cast<double>(clockMicros(CLOCK_REALTIME)) / 1000; }

// A member whose log is applied by one thread, which stands still while the member holds a usage report.
class GlossaryNode final : public Member {
 public:
  GlossaryNode(int index, Random& random, Record& record)
      : Member("s-" + std::to_string(index), "127.0.0." + std::to_string(10 + index), index == 0, kNetwork,
               random),
        record_(record),
        applied_(unixMillisExact()),
        advancedAt_(applied_) {}

  // Usage reports from elsewhere: the site's 420 requests a second hold 2.2% of them, over 10 members 0.9 a
  // second for each, at random times.
  void holdReports() {
    std::thread([this] {
      for (;;) {
        sleepMillis(-1100 * std::log(1 - random_.between(0, 0.999)));
        std::thread([this] { holdReport(); }).detach();
      }
    }).detach();
  }

 protected:
  std::string report() override {
    // Refreshed every 50 to 240 ms; exact, as of its time.
    const std::lock_guard<std::mutex> lock(reportMutex_);
    const double now = unixMillisExact();
    if (now >= refreshAt_) {
      refreshAt_ = now + random_.between(50, 240);
      reported_ = applied();
    }
    return reportOf(std::floor(reported_) / 1000) + ",inflight=1,util=0.5";
  }

  void answer(const std::string& statement, Answers& answers) override {
    const std::string requestId = item(statement, "id");
    const std::string requestClass = item(statement, "c");
    record_.line("run       " + requestId + " at " + id());
    if (requestClass == "term-save") {
      sleepMillis(random_.between(44, 75));
      if (!primary()) return answers.send(errorResponse("25006") + role() + readyForQuery());
      const std::string commit = std::to_string(unixMillis() + 1);
      return answers.send(rowOf(commit, "INSERT 0 1") + role() + parameter("wal_time", commit) +
                          readyForQuery());
    }
    if (requestClass == "usage-report")
      holdReport();
    else
      sleepMillis(requestClass == "own-edits" ? random_.between(65, 110) : random_.between(44, 75));
    const std::string after = item(statement, "after");
    if (!after.empty() && !primary()) {
      ++replicaReads;
      // The data of the end of the work, which is younger than that of its beginning.
      const double missing = std::atof(after.c_str()) - applied();
      if (missing > kGraceMillis) {
        {
          const std::lock_guard<std::mutex> lock(staleMutex);
          staleIds.insert(requestId);
        }
        record_.line("stale     " + requestId + " at " + id() + ": after=" + after + ", its data is " +
                     std::to_string(static_cast<long>(missing)) + " ms older");
      }
    }
    answers.send(rowOf("value", "SELECT 1") + role() + readyForQuery());
  }

 private:
  void holdReport() {
    advance();
    ++held_;
    sleepMillis(random_.between(440, 750));
    advance();
    --held_;
  }
  double applied() { return primary() ? unixMillisExact() : advance(); }
  // The thread is busy half of the time, so it catches up at twice the pace of the log, which comes 10 ms
  // late.
  double advance() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const double now = unixMillisExact();
    if (held_ == 0) applied_ = std::max(applied_, std::min(now - 10, applied_ + 2 * (now - advancedAt_)));
    advancedAt_ = now;
    return applied_;
  }

  Record& record_;
  std::mutex mutex_;
  std::atomic<int> held_{0};
  double applied_;
  double advancedAt_;
  std::mutex reportMutex_;
  double refreshAt_ = 0;
  double reported_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const Options options = readOptions(argc, argv);
  ::signal(SIGPIPE, SIG_IGN);
  Record record(options.record);
  Random random(20261204);
  std::vector<std::unique_ptr<GlossaryNode>> members;
  std::vector<std::string> entries;
  for (int i = 0; i < kMembers; ++i) {
    members.push_back(std::make_unique<GlossaryNode>(i, random, record));
    members.back()->start();
    if (i > 0) members.back()->holdReports();
    entries.push_back(members.back()->entry());
  }
  ListService lists(entries);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(
        std::make_unique<Gateway>(options.command, options.root, options.folder, "n" + std::to_string(i)));
    if (gateways.back()->start(kisumuSettings(kGateways), lists)) continue;
    std::fprintf(stderr, "a gateway did not start\n");
    gateways.clear();
    finish(2);
  }

  // A client is one translator's session at one gateway. It saves a term, and then reads, most often its own
  // edits; the read names the commit of its last save.
  std::atomic<bool> over{false};
  std::atomic<long> served{0};
  std::atomic<long> rejected{0};
  std::atomic<long> failed{0};
  std::vector<std::atomic<bool>> takenIn(kGateways);
  for (auto& entry : takenIn) entry = true;
  std::vector<std::thread> clients;
  for (int c = 0; c < kGateways * kClientsOfEach; ++c) {
    clients.emplace_back([&, c] {
      std::string commit;
      int step = 0;
      std::vector<std::unique_ptr<Client>> connections(kGateways);
      for (int n = 0; !over; ++n) {
        const int home = c % kGateways;
        const int at =
            random.between(0, 1) < kRoamingShare ? static_cast<int>(random.between(0, kGateways)) : home;
        const Gateway& gateway = *gateways[static_cast<std::size_t>(at)];
        auto& client = connections[static_cast<std::size_t>(at)];
        // While the gateway is down, the front sends it nobody.
        while (!over && (!client || !client->open())) {
          while (!over && !takenIn[static_cast<std::size_t>(at)]) sleepMillis(1);
          client = std::make_unique<Client>(gateway.host(), gateway.port());
          if (!client->open()) sleepMillis(10);
        }
        // A round is a save, a read of the own edits soon behind it, and then some lookups and further reads.
        const double draw = random.between(0, 1);
        const std::string name = step == 0     ? "term-save"
                                 : step == 1   ? "own-edits"
                                 : draw < 0.48 ? "term-lookup"
                                 : draw < 0.68 ? "own-edits"
                                 : draw < 0.97 ? "client-browse"
                                               : "usage-report";
        const long waits = name == "term-lookup"     ? 750
                           : name == "own-edits"     ? 1000
                           : name == "client-browse" ? 1200
                           : name == "usage-report"  ? 6000
                                                     : 5000;
        const std::string id = "r" + std::to_string(c) + "-" + std::to_string(n);
        const std::string handle = "session" + std::to_string(c);
        std::string comment = "id=" + id + ",c=" + name + ",d=" + std::to_string(waits) + ",cluster=0";
        if (name == "own-edits" && !commit.empty()) comment += ",after=" + commit;
        record.line("sent      " + id + " to n" + std::to_string(at) + ": " + comment);
        const bool written = client->send(Client::query(
            name == "term-save" ? writeStatement(handle, "9f03", comment) : readStatement(handle, comment)));
        const Client::Answer answer = written ? client->readAnswer() : Client::Answer{};
        bool staleHere = false;
        {
          const std::lock_guard<std::mutex> lock(staleMutex);
          staleHere = staleIds.count(id) > 0;
        }
        if (!answer.complete) {
          // Its driver died: a safe request is tried again at once, as a new one.
          ++failed;
          client->close();
          if (name == "term-save") step = 2;
        } else if (!answer.served) {
          ++(answer.code == "53300" || answer.code == "57P03" ? rejected : failed);
        } else {
          ++served;
          if (name == "term-save") commit = answer.value;
          step = step == 4 ? 0 : step + 1;
          if (staleHere) ++stale;
        }
        record.line(std::string(staleHere && answer.served ? "STALE     " : "answered  ") + id +
                    (answer.served     ? " served"
                     : answer.complete ? " with " + answer.code
                                       : " not at all"));
        if (!answer.complete) continue;
        sleepMillis(step == 1 ? random.between(240, 600) : random.between(50, 300));
      }
    });
  }

  sleepMillis(kStartMillis);
  for (int i = 0; i < kRestarts; ++i) {
    if (options.trouble) {
      Gateway& gateway = *gateways[static_cast<std::size_t>(i % kGateways)];
      auto& front = takenIn[static_cast<std::size_t>(i % kGateways)];
      record.line("killed    n" + std::to_string(i % kGateways));
      front = false;
      gateway.kill();
      sleepMillis(kAwayMillis);
      if (!gateway.start(kisumuSettings(kGateways), lists)) finish(2);
      sleepMillis(kFrontMillis);
      record.line("back      n" + std::to_string(i % kGateways));
      front = true;
    }
    sleepMillis(kRestartMillis + (i % kGateways == kGateways - 1 ? kRestMillis : 0));
  }
  over = true;
  for (std::thread& client : clients) client.join();
  bool alive = true;
  for (const auto& gateway : gateways) alive = alive && gateway->running();
  gateways.clear();

  char result[320];
  std::snprintf(
      result, sizeof result,
      "served %ld, rejected %ld, failed %ld; reads with 'after' that replicas answered %ld, served from "
      "data older than that commit %ld; gateways %s",
      served.load(), rejected.load(), failed.load(), replicaReads.load(), stale.load(),
      alive ? "ran" : "ended by themselves");
  record.line(result);
  record.flush();
  std::printf("%s\n", result);
  if (stale > 0 || !alive) finish(1);
  finish(replicaReads > 100 ? 0 : 2);
}
