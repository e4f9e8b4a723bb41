// What the decisions do once the list has not been confirmed for so long that a drain may have been missed.
#include <gtest/gtest.h>

#include "rig.h"

namespace heathflow::test {
namespace {

using Members = std::vector<MemberId>;

constexpr Micros kStayingFor = 6 * kS;

void expire(Rig& rig) { rig.feed(ListExpired{kStayingFor}); }

// All is known of the members, but too long ago to say that they stay.
struct ExpiredRig : KnownRig {
  ExpiredRig() {
    pass(kStayingFor);
    expire(*this);
  }
};

// A member's answer to a probe that it was sent just now.
ProbeEnded staying(MemberId member) {
  ProbeEnded out;
  out.member = member;
  out.ok = true;
  out.elapsed = kMs;
  return out;
}

ProbeEnded unwilling(MemberId member) {
  ProbeEnded out;
  out.member = member;
  out.turnedAway = out.unwilling = true;
  return out;
}

// The probes sent since the last look, by member.
Members probedSince(Rig& rig, std::size_t& seen) {
  Members out;
  const auto probes = rig.all<Probe>();
  for (; seen < probes.size(); ++seen) out.push_back(probes[seen].member);
  return out;
}

TEST(ExpiredLists, WritesWaitForThePrimarysOwnWord) {
  ExpiredRig rig;
  std::size_t seen = rig.probes();
  const auto write = rig.ask(kUnsafeWrite);
  EXPECT_TRUE(rig.sentTo(write).empty());
  EXPECT_EQ(probedSince(rig, seen), Members{1});
  rig.feed(staying(1));
  EXPECT_EQ(rig.sentTo(write), Members{1});
}

TEST(ExpiredLists, ReadsWaitForAReplicasOwnWordAndGoToNoneThatDrains) {
  ExpiredRig rig;
  std::size_t seen = rig.probes();
  const auto read = rig.ask(kAny);
  EXPECT_TRUE(rig.sentTo(read).empty());
  const Members first = probedSince(rig, seen);
  ASSERT_EQ(first.size(), 1U);
  ASSERT_NE(first[0], 1U);
  const MemberId other = first[0] == 2 ? 3 : 2;
  rig.feed(unwilling(first[0]));
  EXPECT_TRUE(rig.sentTo(read).empty());
  EXPECT_EQ(probedSince(rig, seen), Members{other});
  rig.feed(staying(other));
  EXPECT_EQ(rig.sentTo(read), Members{other});
}

TEST(ExpiredLists, AMembersWordLastsAsLongAsTheListsDoes) {
  ExpiredRig rig;
  rig.feed(staying(1));
  rig.pass(kStayingFor - 2 * kMs);
  EXPECT_EQ(rig.sentTo(rig.ask(kUnsafeWrite)), Members{1});
  rig.pass(2 * kMs);
  const auto late = rig.ask(kUnsafeWrite);
  EXPECT_TRUE(rig.sentTo(late).empty());
}

TEST(ExpiredLists, TheNextListCountsAgain) {
  ExpiredRig rig;
  rig.list({}, MembersChanged::Scope::Delta);
  EXPECT_EQ(rig.sentTo(rig.ask(kUnsafeWrite)), Members{1});
}

TEST(ExpiredLists, AFailedCallIsNoNextList) {
  ExpiredRig rig;
  rig.list({}, MembersChanged::Scope::Failed);
  EXPECT_TRUE(rig.sentTo(rig.ask(kUnsafeWrite)).empty());
}

// Where members can't be asked the list is all there is.
TEST(ExpiredLists, ChangeNothingWhereNoMemberCanBeAsked) {
  Settings settings = makeSettings();
  settings.mayProbe = false;
  Rig rig(settings);
  rig.usualGroup();
  expire(rig);
  EXPECT_EQ(rig.sentTo(rig.ask(kUnsafeWrite)), Members{1});
}

// Placed while the list counted, and its connection comes up when it does not.
TEST(ExpiredLists, WhatWaitedForItsConnectionIsCalledBack) {
  KnownRig rig;
  const auto read = rig.ask(kAny);
  ASSERT_EQ(rig.sentTo(read).size(), 1U);
  rig.pass(kStayingFor);
  expire(rig);
  rig.feed(AttemptConnected{read, 0});
  EXPECT_EQ(rig.all<Cancel>().size(), 1U);
}

// Probes that are turned away by a member that wants nothing new are not repeated at their own pace.
TEST(ProbesTurnedAway, LeaveTheMemberAloneForAWhile) {
  KnownRig rig;
  rig.pass(4 * kS);
  std::size_t seen = rig.probes();
  const auto read = rig.ask(kFresh, 3 * kS);
  ASSERT_EQ(probedSince(rig, seen), Members{1});
  std::size_t asked = 0;
  for (int i = 0; i < 100; ++i) {
    rig.feed(unwilling(1));
    rig.pass(10 * kMs);
    for (const MemberId member : probedSince(rig, seen)) asked += member == 1 ? 1 : 0;
  }
  EXPECT_LE(asked, 5U);
  EXPECT_TRUE(rig.sentTo(read).empty());
}

}  // namespace
}  // namespace heathflow::test
