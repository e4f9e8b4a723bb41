// Requests of the policy from what clients send: session tokens.
#include "downstream/request_reader.h"

#include <gtest/gtest.h>

#include <limits>

#include "standins/gateway_rig.h"

namespace heathflow::downstream {
namespace {

constexpr Micros kNow = 1'767'225'601'000'000;
constexpr Micros kHour = 3'600'000'000;
constexpr Micros kRounding = 1'000;  // a client may have rounded the position down to a millisecond

std::optional<LogPosition> sessionTokenFor(std::int64_t afterMs) {
  const settings::InstanceSettings settings = settings::parseSettings(test::settingsText({}));
  const ClientConnectionContext context(settings.classNames);
  protocol::RequestMetadata asked;
  asked.id = "1";
  asked.className = "view";
  asked.group = 0;
  asked.afterMs = afterMs;
  return toRequest(asked, context, settings, kNow, kNow).sessionToken;
}

// Session tokens are compared with the endpoints' positions, not with this machine's clock.
TEST(SessionToken, IsThePositionThatTheClientNames) {
  for (const Micros age : {kHour, Micros{0}, -kHour})
    EXPECT_EQ(sessionTokenFor((kNow - age) / 1000), LogPosition{kNow - age + kRounding}) << age;
}

// Guards against an overflow by a position that is too far in the future.
TEST(SessionToken, IsAheadByADayAtMost) {
  EXPECT_EQ(sessionTokenFor((kNow + 25 * kHour) / 1000), LogPosition{kNow + 24 * kHour + kRounding});
  EXPECT_EQ(sessionTokenFor(std::numeric_limits<std::int64_t>::max()),
            LogPosition{kNow + 24 * kHour + kRounding});
}

}  // namespace
}  // namespace heathflow::downstream
