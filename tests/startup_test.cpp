// When a gateway calls the list service, what an old list is worth, and what is kept for the next life.
#include <gtest/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <msgpack.hpp>
#include <tuple>
#include <vector>

#include "discovery/belief.h"
#include "discovery/caller.h"
#include "snapshot/snapshot.h"
#include "standins/temporary_file.h"

namespace heathflow::discovery {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;

CallerSettings settingsOf(unsigned number, unsigned gateways, std::optional<Micros> cost = {}) {
  CallerSettings out;
  out.name = "n" + std::to_string(number);
  out.gateways = gateways;
  out.maxPollInterval = 10 * kS;
  out.cost = cost;
  out.seed = number + 1;
  return out;
}

// The most of some times that lie within a span.
std::size_t mostWithin(std::vector<Micros> times, Micros span) {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  for (std::size_t i = 0, first = 0; i < times.size(); ++i) {
    while (times[i] - times[first] >= span) ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

TEST(FirstCall, OfALoneGatewayGoesOutAtOnceWhateverItKnows) {
  for (const auto cost : {std::optional<Micros>(), std::optional<Micros>(20 * kMs)}) {
    EXPECT_LE(Caller(settingsOf(0, 1, cost), kS).first(), kS + 20 * kMs);
  }
}

TEST(FirstCall, OfHundredsIsSpreadOverWhatTheServiceNeedsForAll) {
  std::vector<Micros> times;
  for (unsigned i = 0; i < 300; ++i) times.push_back(Caller(settingsOf(i, 300, 8 * kMs), 0).first());
  EXPECT_GT(*std::max_element(times.begin(), times.end()), 1500 * kMs);
  EXPECT_LE(*std::max_element(times.begin(), times.end()), 2400 * kMs);
  // One call after the other, 8 ms each: nobody waits for a second, and the last is served soon after.
  std::sort(times.begin(), times.end());
  Micros free = 0;
  Micros longest = 0;
  for (const Micros at : times) {
    longest = std::max(longest, free - at);
    free = std::max(free, at) + 8 * kMs;
  }
  EXPECT_LT(longest, kS);
  EXPECT_LE(free, 2700 * kMs);
}

// The first call may fail too. Then its time-out, a second that is silent as well, and an answer have to fit
// into the 6 s after which a change counts as told.
TEST(FirstCall, LeavesTimeForTwoSilentCallsAndAnAnswerHoweverSlowTheService) {
  for (unsigned i = 0; i < 100; ++i) {
    Caller caller(settingsOf(i, 10'000, kS), 0);
    Micros now = caller.first();
    EXPECT_LE(now, 2400 * kMs);
    for (int silent = 0; silent < 2; ++silent)
      now = caller.failed(now + kAnswerWithin, CallFailure::TimedOut);
    EXPECT_LE(now, kToldWithin - 100 * kMs);
  }
}

TEST(FirstCall, KeepsWithinAShorterTimeOfTheContract) {
  for (unsigned i = 0; i < 100; ++i) {
    auto settings = settingsOf(i, 10'000, kS);
    settings.maxPollInterval = 2 * kS;
    EXPECT_LE(Caller(settings, 0).first(), 800 * kMs);
  }
}

TEST(FirstCall, HasTheSamePlaceInEachLifeAndAnotherAtEachGateway) {
  auto again = settingsOf(7, 300, 20 * kMs);
  again.seed = 99;
  EXPECT_EQ(Caller(settingsOf(7, 300, 20 * kMs), kS).first(), Caller(again, kS).first());
  EXPECT_NE(Caller(settingsOf(7, 300), kS).first(), Caller(settingsOf(8, 300), kS).first());
}

TEST(FirstCall, RestsAfterLivesThatDiedYoung) {
  auto settings = settingsOf(0, 1);
  settings.rest = restAfter(4, settings.maxPollInterval);
  EXPECT_EQ(Caller(settings, kS).first(), kS + settings.rest);
}

// A service that is too slow for all is spared as far as the 6 s allow: over a quarter of them after each
// rejection, so that a second rejection and an answer still fit.
TEST(AfterAFailure, TheTurnedAwaySpreadOverAQuarterOfTheTerm) {
  std::vector<Micros> first, second;
  for (unsigned i = 0; i < 300; ++i) {
    Caller caller(settingsOf(i, 300), 0);
    first.push_back(caller.failed(0, CallFailure::Rejected));
    second.push_back(caller.failed(0, CallFailure::Rejected));
  }
  for (const auto& times : {first, second}) {
    EXPECT_GT(*std::max_element(times.begin(), times.end()), 1400 * kMs);
    EXPECT_LE(*std::max_element(times.begin(), times.end()), 1500 * kMs);
    EXPECT_GE(*std::min_element(times.begin(), times.end()), 250 * kMs);
    // But for those of the first quarter second, which come at its end.
    EXPECT_LE(mostWithin(times, 100 * kMs), 90U);
  }
}

// Of a small fleet, for which the service needs little, none waits longer than that.
TEST(AfterAFailure, FewThatWereTurnedAwayComeBackSoon) {
  for (unsigned i = 0; i < 10; ++i) {
    Caller caller(settingsOf(i, 10), 0);
    EXPECT_LE(caller.failed(0, CallFailure::Rejected), 250 * kMs);
  }
}

TEST(AfterAFailure, TheServicesOwnWordIsKeptAndNobodyComesBackWithTheOthers) {
  std::vector<Micros> times;
  for (unsigned i = 0; i < 300; ++i) {
    Caller caller(settingsOf(i, 300), 0);
    times.push_back(caller.failed(0, CallFailure::Rejected, kS));
  }
  EXPECT_GE(*std::min_element(times.begin(), times.end()), kS);
  EXPECT_LE(*std::max_element(times.begin(), times.end()), 1500 * kMs);
  EXPECT_LE(mostWithin(times, 100 * kMs), 90U);
}

// Whatever the service asks for, a change counts as told 6 s after it had it.
TEST(AfterAFailure, AWordBeyondTheTermBindsNoLongerThanTheTermLeaves) {
  std::vector<Micros> times;
  for (unsigned i = 0; i < 100; ++i) {
    Caller caller(settingsOf(i, 300), 0);
    times.push_back(caller.failed(0, CallFailure::Rejected, 3600 * kS));
  }
  EXPECT_LE(*std::max_element(times.begin(), times.end()), 1500 * kMs);
  EXPECT_LE(mostWithin(times, 50 * kMs), 35U) << "and they come back apart";
}

// A service whose line is full is left alone until that has gone down: at 300 gateways no more than 25 calls
// in 100 ms, where over a quarter of the term there are up to 90. Gateways that call faster than it gets
// through keep each other from any list (issue 47).
TEST(AfterAFailure, RejectionsThatGoOnSpreadOverTheWholeTerm) {
  std::vector<Micros> third, fourth;
  for (unsigned i = 0; i < 300; ++i) {
    Caller caller(settingsOf(i, 300), 0);
    for (int before = 0; before < 2; ++before) caller.failed(0, CallFailure::Rejected);
    third.push_back(caller.failed(0, CallFailure::Rejected));
    fourth.push_back(caller.failed(0, CallFailure::Rejected));
    EXPECT_LE(caller.failed(0, CallFailure::Rejected), kToldWithin);
    caller.told();
    EXPECT_LE(caller.failed(0, CallFailure::Rejected), 1500 * kMs) << "a list ends the row";
  }
  EXPECT_GT(*std::max_element(third.begin(), third.end()), 2800 * kMs);
  EXPECT_LE(*std::max_element(third.begin(), third.end()), 3 * kS);
  EXPECT_GT(*std::max_element(fourth.begin(), fourth.end()), 5800 * kMs);
  EXPECT_LE(*std::max_element(fourth.begin(), fourth.end()), kToldWithin);
  EXPECT_LE(mostWithin(fourth, 100 * kMs), 25U);
}

// Every kind of failure, two in a row and any number before: the third call goes out with time left for its
// answer. A rejection may come as late as a silent call is given up. Of rejections these are the first two in
// a row; the test above has what further ones do.
TEST(AfterAFailure, OfWhateverKindTwoInARowLeaveTimeForAnAnswer) {
  using Kind = CallFailure;
  const std::vector<Kind> kinds = {Kind::Rejected, Kind::ConnectionReset, Kind::TimedOut, Kind::Unreachable,
                                   Kind::Malformed};
  for (const Kind one : kinds) {
    for (const Kind two : kinds) {
      for (unsigned i = 0; i < 50; ++i) {
        Caller caller(settingsOf(i, 350, 20 * kMs), 0);
        caller.told();
        for (int before = 0; before < 8 && one != Kind::Rejected; ++before) caller.failed(0, one);
        const auto took = [](Kind kind) { return kind == Kind::TimedOut ? kAnswerWithin : kS; };
        const Micros next = caller.failed(took(one), one, 10 * kS);
        const Micros last = caller.failed(next + took(two), two, 10 * kS);
        EXPECT_LE(last, kToldWithin - kS) << static_cast<int>(one) << ' ' << static_cast<int>(two);
      }
    }
  }
}

TEST(AfterAFailure, ABrokenCallIsTriedAgainEverLessEagerlyWithinTheTerm) {
  Caller caller(settingsOf(0, 1), 0);
  EXPECT_LE(caller.failed(0, CallFailure::ConnectionReset), 500 * kMs);
  for (int i = 0; i < 20; ++i) {
    const Micros next = caller.failed(0, CallFailure::ConnectionReset);
    EXPECT_GE(next, 250 * kMs);
    EXPECT_LE(next, 1500 * kMs);
  }
  caller.told();
  EXPECT_LE(caller.failed(0, CallFailure::ConnectionReset), 500 * kMs);
}

// Hundreds whose watches fall silent together: soon, since what they miss counts, and not as one.
TEST(AfterAFailure, ASilentWatchIsOpenedAnewSoonButNotByAllAtOnce) {
  std::vector<Micros> times;
  for (unsigned i = 0; i < 300; ++i) {
    Caller caller(settingsOf(i, 300), 0);
    caller.told();
    times.push_back(caller.failed(0, CallFailure::TimedOut));
    // So is the second in a row: its time is gone as well.
    EXPECT_LE(caller.failed(0, CallFailure::TimedOut), 250 * kMs);
  }
  EXPECT_LE(*std::max_element(times.begin(), times.end()), 250 * kMs);
  EXPECT_LE(mostWithin(times, 25 * kMs), 60U);
}

TEST(AfterAFailure, AnOwnServiceIsAskedSoonHoweverOftenItFailed) {
  auto settings = settingsOf(0, 1);
  settings.ownService = true;
  Caller caller(settings, 0);
  for (const CallFailure how : {CallFailure::ConnectionReset, CallFailure::TimedOut, CallFailure::Unreachable,
                                CallFailure::Malformed}) {
    for (int i = 0; i < 5; ++i) EXPECT_LE(caller.failed(0, how), 250 * kMs);
    caller.told();
  }
}

// A service that was down is met by its callers one after the other, as far as the 6 s leave it.
TEST(AfterAFailure, HundredsComeBackApartWithinWhatTheTermLeaves) {
  std::vector<Micros> times;
  for (unsigned i = 0; i < 300; ++i) {
    Caller caller(settingsOf(i, 300, 20 * kMs), 0);
    Micros now = caller.first();
    while (now < 60 * kS) now = caller.failed(now, CallFailure::Unreachable);
    times.push_back(now);
  }
  EXPECT_GT(*std::max_element(times.begin(), times.end()), 61 * kS);
  EXPECT_LE(*std::max_element(times.begin(), times.end()), 61500 * kMs);
  EXPECT_LE(mostWithin(times, 100 * kMs), 45U);
}

TEST(Watches, WaitAsLongAsTheServiceNeedsToBeSpared) {
  // A quick service and few gateways: news of a silent watch come soon.
  Caller few(settingsOf(0, 10), 0);
  few.answered(4 * kMs);
  EXPECT_EQ(few.watchFor(), 2500 * kMs);
  // 300 gateways at 8 ms a call: a renewal each 2.4 s would take all of its time.
  Caller many(settingsOf(0, 300), 0);
  many.answered(8 * kMs);
  EXPECT_EQ(many.watchFor(), 9600 * kMs);
  // Never beyond the time within which a gateway has to ask.
  Caller slow(settingsOf(0, 5'000), 0);
  slow.answered(50 * kMs);
  EXPECT_EQ(slow.watchFor(), 10 * kS);
  // A service of one's own needs no sparing.
  auto own = settingsOf(0, 1);
  own.ownService = true;
  EXPECT_EQ(Caller(own, 0).watchFor(), 2500 * kMs);
}

TEST(ListLeases, EndSixSecondsAfterTheServiceLastSpoke) {
  ListLease lease(kS, false);
  EXPECT_EQ(lease.until(), 7 * kS);
  lease.confirmed(3 * kS);
  EXPECT_EQ(lease.until(), 9 * kS);
  lease.callFailed(4 * kS);
  EXPECT_EQ(lease.until(), 9 * kS);
  lease.moved(4 * kS);
  EXPECT_EQ(lease.until(), 8 * kS);
}

// What a watch misses that falls silent counts 2 s after its wait, if that is later.
// An answer that was long on its way says nothing of what came after it was written.
TEST(ListLeases, CountFromWhenTheListWasTrueAndNotFromWhenItCame) {
  ListLease lease(0, false);
  lease.confirmed(3 * kS);
  lease.watching(3 * kS, 2 * kS);
  lease.confirmed(4 * kS);
  EXPECT_EQ(lease.until(), 10 * kS);
}

// A watch that was silent beyond its wait: what changed since the list was true may count by now.
TEST(ListLeases, EndWithASilentWatchThatIsGivenUp) {
  ListLease lease(0, false);
  lease.confirmed(3 * kS);
  lease.watching(3 * kS, 10 * kS);
  lease.watchGivenUp(13700 * kMs);
  EXPECT_EQ(lease.until(), 13700 * kMs);
  lease.confirmed(20 * kS);
  lease.watching(20 * kS, 2 * kS);
  lease.watchGivenUp(22700 * kMs);
  EXPECT_EQ(lease.until(), 26 * kS);
}

// An endpoint's return may be recorded 2 s late: one that stood that long before the list was true is there
// by its word.
TEST(ListLeases, VouchForEndpointsThatStoodBeforeTheListWasTrue) {
  ListLease lease(kS, false);
  EXPECT_FALSE(lease.vouchesForThoseSince());
  lease.confirmed(10 * kS);
  EXPECT_EQ(lease.vouchesForThoseSince(), 8 * kS);
  lease.watching(10 * kS, 60 * kS);
  lease.watchEnded(40 * kS);
  EXPECT_EQ(lease.vouchesForThoseSince(), 8 * kS);
}

TEST(ListLeases, LastForASilentWatchsWaitAndAWhileMore) {
  ListLease lease(kS, false);
  lease.confirmed(3 * kS);
  lease.watching(3 * kS, 2 * kS);
  EXPECT_EQ(lease.until(), 9 * kS);
  lease.watching(3 * kS, 10 * kS);
  EXPECT_EQ(lease.until(), 15 * kS);
}

// A rejection ends the wait: what comes from then on counts 6 s later, and not when the wait would be over.
// News may have waited in the service's line before.
TEST(ListLeases, EndSoonAfterAWatchWasRejected) {
  ListLease lease(0, false);
  lease.confirmed(3 * kS);
  lease.watching(3 * kS, 60 * kS);
  lease.watchEnded(4 * kS);
  EXPECT_EQ(lease.until(), 9 * kS) << "as without a watch";
  lease.confirmed(10 * kS);
  lease.watching(10 * kS, 60 * kS);
  lease.watchEnded(40 * kS);
  EXPECT_EQ(lease.until(), 43 * kS);
}

// The list that a process starts with may be of any age: it counts until the first call has failed, or not at
// all where the service's word counts at once.
TEST(ListLeases, OfAnEarlierLifesListEndWithTheFirstFailure) {
  ListLease asked(kS, false);
  EXPECT_EQ(asked.until(), 7 * kS);
  asked.callFailed(2 * kS);
  EXPECT_EQ(asked.until(), 2 * kS);
  EXPECT_EQ(ListLease(kS, true).until(), kS);
}

TEST(TheCostOfACall, IsTheFastestAnswerAndGoesUpByStepsOnly) {
  Caller fresh(settingsOf(0, 300), 0);
  EXPECT_FALSE(fresh.cost());
  fresh.answered(900 * kMs);
  fresh.answered(21 * kMs);
  fresh.told();
  EXPECT_EQ(fresh.cost(), 21 * kMs);
  // A start of all at once: everybody waited in line.
  Caller crowded(settingsOf(0, 300, 20 * kMs), 0);
  EXPECT_EQ(crowded.cost(), 20 * kMs);
  crowded.answered(700 * kMs);
  EXPECT_EQ(crowded.cost(), 40 * kMs);
  Caller faster(settingsOf(0, 300, 20 * kMs), 0);
  faster.answered(4 * kMs);
  EXPECT_EQ(faster.cost(), 4 * kMs);
}

TEST(AMovedService, IsNotCalledByAllInTheSameMoment) {
  std::vector<Micros> times;
  for (unsigned i = 0; i < 300; ++i) times.push_back(Caller(settingsOf(i, 300), 0).moved(kS));
  EXPECT_LE(*std::max_element(times.begin(), times.end()), 2 * kS);
  EXPECT_LE(mostWithin(times, 100 * kMs), 75U);
}

TEST(AnOldList, IsBelievedLessTheOlderItIs) {
  const BeliefSettings settings{10 * kS, 600 * kS, true};
  EXPECT_TRUE(believe(9 * kS, settings).roles);
  EXPECT_FALSE(believe(11 * kS, settings).roles);
  EXPECT_TRUE(believe(11 * kS, settings).endpoints);
  EXPECT_TRUE(believe(11 * kS, settings).drains);
  EXPECT_FALSE(believe(601 * kS, settings).endpoints);
  EXPECT_FALSE(believe(-2 * kS, settings).endpoints) << "from the future";
  EXPECT_TRUE(believe(-kS / 2, settings).endpoints);
  const BeliefSettings mute{10 * kS, 600 * kS, false};
  EXPECT_TRUE(believe(11 * kS, mute).roles) << "nobody can be asked";
}

TEST(RestartLoops, RestLongerWithEachYoungDeathWithinTheContract) {
  EXPECT_EQ(restAfter(0, 10 * kS), 0);
  EXPECT_EQ(restAfter(1, 10 * kS), 0) << "one crash is no loop";
  EXPECT_EQ(restAfter(2, 10 * kS), 500 * kMs);
  EXPECT_EQ(restAfter(3, 10 * kS), kS);
  EXPECT_EQ(restAfter(1000, 10 * kS), 5 * kS);
}

}  // namespace
}  // namespace heathflow::discovery

namespace heathflow::snapshot {
namespace {

constexpr Micros kS = 1'000'000;

Snapshot example() {
  Snapshot out;
  out.name = "n7";
  out.writtenAt = 1'700'000'000 * kS;
  out.listTrueAt = out.writtenAt - kS;
  out.list.revision = 41;
  out.list.complete = true;
  protocol::ListedEndpoint endpoint;
  endpoint.id = "s-1";
  endpoint.hostPort = "127.0.0.2:5432";
  endpoint.locality = "a";
  endpoint.cell = 3;
  endpoint.size = 1.5;
  endpoint.upSinceMs = 1'699'999'000'000;
  endpoint.primary = true;
  endpoint.ports = {{"bolt", 7687}};
  out.list.endpoints = {endpoint};
  endpoint.id = "s-2";
  endpoint.primary = false;
  endpoint.phase = protocol::ListedEndpoint::Phase::Terminating;
  out.list.endpoints.push_back(endpoint);
  out.callCost = 20'000;
  out.youngDeaths = 2;
  out.initialLatency = 4'200;
  return out;
}

TEST(Snapshots, ComeBackAsTheyWere) {
  std::string problem;
  const auto back = decode(encode(example()), "n7", problem);
  ASSERT_TRUE(back) << problem;
  EXPECT_EQ(encode(*back), encode(example()));
  EXPECT_EQ(back->list.revision, 41);
  ASSERT_EQ(back->list.endpoints.size(), 2U);
  EXPECT_EQ(back->list.endpoints[0].ports[0].second, 7687);
  EXPECT_EQ(back->list.endpoints[1].phase, protocol::ListedEndpoint::Phase::Terminating);
  EXPECT_EQ(back->callCost, 20'000);
  EXPECT_EQ(back->initialLatency, 4'200);
}

TEST(Snapshots, EveryCutAndEveryDamagedByteIsSeen) {
  const std::string bytes = encode(example());
  std::string problem;
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(decode(bytes.substr(0, size), "n7", problem)) << size;
    EXPECT_FALSE(problem.empty());
  }
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string damaged = bytes;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x10);
    EXPECT_FALSE(decode(damaged, "n7", problem)) << at;
  }
}

TEST(Snapshots, OfOthersAndOfTheFutureAreNamed) {
  std::string problem;
  EXPECT_FALSE(decode(encode(example()), "n8", problem));
  EXPECT_NE(problem.find("n7"), std::string::npos);
  std::string later = encode(example());
  later[19] = 3;  // behind the mark
  EXPECT_FALSE(decode(later, "n7", problem));
  EXPECT_NE(problem.find("version 3"), std::string::npos);
  later[19] = 0;
  EXPECT_FALSE(decode(later, "n7", problem));
}

// As version 0.2.0 of the program wrote it: without the source of its list.
TEST(Snapshots, OfTheVersionBeforeAreReadWithoutTheirSource) {
  using Port = std::tuple<std::string, std::uint16_t>;
  using Entry = std::tuple<std::string, std::string, std::string, std::uint32_t, std::uint8_t, double,
                           std::int64_t, bool, std::vector<Port>>;
  const Entry entry{"s-1", "127.0.0.2:5432", "a", 3, 0, 1.5, 0, true, {}};
  msgpack::sbuffer content;
  msgpack::pack(content, std::make_tuple(std::string("n7"), 1'700'000'000 * kS, 1'699'999'999 * kS,
                                         std::int64_t{41}, std::vector<Entry>{entry}, std::int64_t{20'000},
                                         std::uint32_t{2}, std::int64_t{4'200}));
  std::string bytes = "heathflow-snapshot\n";
  bytes += std::string("\1\0\0\0", 4);
  const std::uint64_t sum = XXH3_64bits(content.data(), content.size());
  for (int i = 0; i < 8; ++i) bytes += static_cast<char>(sum >> (8 * i));
  bytes.append(content.data(), content.size());
  std::string problem;
  const auto back = decode(bytes, "n7", problem);
  ASSERT_TRUE(back) << problem;
  EXPECT_EQ(back->source, "");
  EXPECT_EQ(back->list.revision, 41);
  EXPECT_EQ(back->callCost, 20'000);
  EXPECT_EQ(back->youngDeaths, 2U);
}

TEST(Snapshots, TellNoRoleBeyondItsTimeAndNoListBeyondItsOwn) {
  const discovery::BeliefSettings settings{10 * kS, 600 * kS, true};
  const Snapshot kept = example();
  const auto young = believed(kept, kept.listTrueAt + 5 * kS, settings);
  ASSERT_TRUE(young);
  EXPECT_TRUE(young->endpoints[0].primary);
  const auto old = believed(kept, kept.listTrueAt + 60 * kS, settings);
  ASSERT_TRUE(old);
  EXPECT_FALSE(old->endpoints[0].primary);
  EXPECT_EQ(old->endpoints[1].phase, protocol::ListedEndpoint::Phase::Terminating);
  EXPECT_FALSE(believed(kept, kept.listTrueAt + 601 * kS, settings));
  EXPECT_FALSE(believed(Snapshot{}, kS, settings)) << "no list at all";
}

struct Folder : test::TemporaryFolder {
  std::string file() const { return path() + "/n7.snapshot"; }
};

TEST(SnapshotFiles, AreWrittenReadAndReplaced) {
  const Folder folder;
  std::string problem;
  EXPECT_FALSE(load(folder.file(), "n7", problem));
  EXPECT_EQ(problem, "") << "a first life has no file";
  Snapshot kept = example();
  ASSERT_TRUE(save(folder.file(), kept, files::Durable::Yes, problem)) << problem;
  kept.list.revision = 42;
  ASSERT_TRUE(save(folder.file(), kept, files::Durable::Yes, problem)) << problem;
  const auto back = load(folder.file(), "n7", problem);
  ASSERT_TRUE(back) << problem;
  EXPECT_EQ(back->list.revision, 42);
  EXPECT_FALSE(std::filesystem::exists(folder.file() + ".new"));
  EXPECT_FALSE(save(folder.path() + "/none/n7.snapshot", kept, files::Durable::Yes, problem));
  EXPECT_NE(problem.find("can't be written"), std::string::npos);
}

TEST(SnapshotFiles, ThatCanNotBeUsedAreSetAside) {
  const Folder folder;
  std::string problem;
  std::ofstream(folder.file()) << encode(example()).substr(0, 40);
  EXPECT_FALSE(load(folder.file(), "n7", problem));
  EXPECT_NE(problem.find("set aside"), std::string::npos);
  EXPECT_FALSE(std::filesystem::exists(folder.file()));
  EXPECT_TRUE(std::filesystem::exists(folder.file() + ".unusable"));
}

TEST(Lists, AreKeptWholeThroughChanges) {
  protocol::EndpointList whole = example().list;
  protocol::EndpointList news;
  news.revision = 42;
  protocol::ListedEndpoint gone = whole.endpoints[0];
  gone.phase = protocol::ListedEndpoint::Phase::Gone;
  protocol::ListedEndpoint fresh = whole.endpoints[0];
  fresh.id = "s-3";
  protocol::ListedEndpoint back = whole.endpoints[1];
  back.phase = protocol::ListedEndpoint::Phase::Ready;
  news.endpoints = {gone, fresh, back};
  protocol::apply(news, whole);
  EXPECT_EQ(whole.revision, 42);
  ASSERT_EQ(whole.endpoints.size(), 2U);
  EXPECT_EQ(whole.endpoints[0].id, "s-2");
  EXPECT_EQ(whole.endpoints[0].phase, protocol::ListedEndpoint::Phase::Ready);
  EXPECT_EQ(whole.endpoints[1].id, "s-3");
  news.complete = true;
  news.endpoints = {fresh};
  protocol::apply(news, whole);
  EXPECT_EQ(whole.endpoints.size(), 1U);
}

}  // namespace
}  // namespace heathflow::snapshot
