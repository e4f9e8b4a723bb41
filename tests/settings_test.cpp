// The settings text: required keys, ignored keys, and unknown words.
#include "settings/settings.h"

#include <gtest/gtest.h>

#include <string>

#include "settings_text.h"

namespace heathflow::settings {
namespace {

using test::kSettingsText;

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

std::string errorOf(const std::string& text) {
  try {
    parseSettings(text);
  } catch (const SettingsError& error) {
    return error.what();
  }
  return "";
}

TEST(SettingsText, IsReadInFull) {
  const auto settings = parseSettings(kSettingsText);
  const PolicySettings& policy = settings.policy;
  ASSERT_EQ(policy.classes.size(), 2U);
  EXPECT_EQ(policy.classes[0].consistency, Consistency::BoundedStaleness);
  EXPECT_EQ(policy.classes[0].maxStaleness, 3000000);
  EXPECT_EQ(policy.classes[0].idempotency, Idempotency::Idempotent);
  EXPECT_EQ(policy.classes[1].consistency, Consistency::Write);
  EXPECT_EQ(policy.classes[1].idempotency, Idempotency::WithKey);
  EXPECT_EQ(policy.classes[1].keyScope, KeyScope::Group);
  EXPECT_EQ(policy.classes[1].keyWindow, 5000000);
  EXPECT_EQ(policy.gatewayCount, 3U);
  EXPECT_EQ(policy.timerResolution, 5000);
  EXPECT_EQ(policy.sessionTokens, SessionTokenSource::Gateway);
  EXPECT_TRUE(policy.discoveryIsPolled);
  EXPECT_TRUE(policy.healthChecksAllowed);
  EXPECT_FALSE(policy.hedgingAllowed);
  EXPECT_EQ(policy.maxAttempts, 10U);
  EXPECT_DOUBLE_EQ(policy.slowStartInitialShare, 0.15);
  EXPECT_DOUBLE_EQ(policy.overloadMultiple, 2.5);
  EXPECT_EQ(settings.positionZero, 290469390756);
  EXPECT_EQ(settings.report.position, 1);
  EXPECT_EQ(settings.report.role, 2);
  EXPECT_EQ(settings.report.inFlight, -1);
}

TEST(SettingsText, RemovalsAreAdvisoryOnlyIfSet) {
  EXPECT_FALSE(parseSettings(kSettingsText).policy.removalIsAdvisory);
  const auto advisory = replaced(kSettingsText, "\"Contract\": {", "\"Contract\": {\"GoneIsAdvice\": true, ");
  EXPECT_TRUE(parseSettings(advisory).policy.removalIsAdvisory);
}

TEST(SettingsText, UnknownKeysAreIgnored) {
  EXPECT_EQ(errorOf(replaced(kSettingsText, "{\"Az\"", "{\"News\": {\"a\": [1]}, \"Az\"")), "");
}

TEST(SettingsText, UnknownWordsMapToTheMostCautiousValue) {
  EXPECT_EQ(parseSettings(replaced(kSettingsText, "\"dedup\"", "\"odd\"")).policy.classes[1].idempotency,
            Idempotency::None);
  EXPECT_EQ(parseSettings(replaced(kSettingsText, "\"bounded\"", "\"odd\"")).policy.classes[0].consistency,
            Consistency::Write);
  EXPECT_EQ(parseSettings(replaced(kSettingsText, "\"cell\"", "\"odd\"")).policy.classes[1].keyScope,
            KeyScope::Endpoint);
  EXPECT_EQ(parseSettings(replaced(kSettingsText, "\"remembered\"", "\"odd\"")).policy.sessionTokens,
            SessionTokenSource::None);
  EXPECT_EQ(parseSettings(replaced(kSettingsText, "\"silent\"", "\"odd\"")).policy.staleReads,
            StaleReadBehavior::ServesStale);
  EXPECT_TRUE(parseSettings(replaced(kSettingsText, "\"ask\"", "\"odd\"")).policy.discoveryIsPolled);
}

// Guards against a missing key that silently gets the value of another deployment, or none.
TEST(SettingsText, MissingKeysAreNoted) {
  const auto notesOf = [](const std::string& text) { return parseSettings(text).notes; };
  const std::string full =
      replaced(kSettingsText, "\"ConnectTimeout\"", "\"ConnIdle\": 1, \"ConnectTimeout\"");
  EXPECT_TRUE(notesOf(full).empty());
  for (const std::string key : {"ConnIdle", "ConnectTimeout", "AskWithin", "MaxAge", "Window"}) {
    const auto notes = notesOf(replaced(full, "\"" + key + "\"", "\"X\""));
    ASSERT_EQ(notes.size(), 1U) << key;
    EXPECT_NE(notes[0].find("'" + key + "'"), std::string::npos) << notes[0];
  }
  // The longest request timeout, so that no connection is given up that a request could still use.
  EXPECT_EQ(parseSettings(replaced(full, "\"ConnectTimeout\"", "\"X\"")).policy.connectTimeout, 5'000'000);
  // A pushed list is not polled.
  EXPECT_TRUE(notesOf(replaced(replaced(full, "\"AskWithin\"", "\"X\""), "\"ask\"", "\"push\"")).empty());
}

TEST(SettingsText, InvalidValuesAreReportedWithTheirKey) {
  EXPECT_EQ(errorOf(replaced(kSettingsText, "\"Balancers\": 3", "\"Balancers\": 0")), "");
  for (const std::string value : {"-1", "1e300", "\"3\"", "[]"}) {
    for (const std::string key : {"\"MaxAttempts\": 10", "\"Balancers\": 3", "\"Aim\": 200000",
                                  "\"Deadline\": 600000", "\"AskWithin\": 10000000", "\"ColdFrom\": 0.15"}) {
      if (key.find("ColdFrom") != std::string::npos && value == "1e300") continue;
      const std::string name = key.substr(1, key.find(':') - 2);
      const std::string message = errorOf(replaced(kSettingsText, key, "\"" + name + "\": " + value));
      EXPECT_NE(message.find("'" + name + "'"), std::string::npos) << key << " " << value << ": " << message;
    }
  }
}

TEST(SettingsText, PositionZeroMayBeNegative) {
  const auto early = parseSettings(replaced(kSettingsText, "290469390756", "-290469390756"));
  EXPECT_EQ(early.positionZero, -290469390756);
  EXPECT_NE(errorOf(replaced(kSettingsText, "290469390756", "-1e30")).find("PositionZero"),
            std::string::npos);
}

TEST(SettingsText, ErrorsNameTheMissingOrInvalidKey) {
  EXPECT_NE(errorOf("not json").find("not JSON"), std::string::npos);
  EXPECT_NE(errorOf("[]").find("object"), std::string::npos);
  EXPECT_NE(errorOf(replaced(kSettingsText, "\"MaxAttempts\"", "\"X\"")).find("MaxAttempts"),
            std::string::npos);
  EXPECT_NE(errorOf(replaced(kSettingsText, "\"Classes\"", "\"X\"")).find("Classes"), std::string::npos);
  EXPECT_NE(errorOf(replaced(kSettingsText, "\"Aim\": 200000", "\"Aim\": \"x\"")).find("Aim"),
            std::string::npos);
}

}  // namespace
}  // namespace heathflow::settings
