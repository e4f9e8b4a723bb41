// Settings of a gateway, as it gets them at its start.
#pragma once

namespace heathflow::test {

inline constexpr const char* kSettingsText = R"({"Az": 0, "Balancers": 3,
 "Classes": [
  {"Aim": 200000, "Deadline": 600000, "Effect": "retryable", "Group": "all", "LateShare": 0.0, "Name": "a", "Value": 3.0},
  {"Aim": 750000, "Deadline": 5000000, "Effect": "dedup", "Group": "cell", "LateShare": 0.3, "Name": "b", "Value": 3.0,
   "Window": 5000000}],
 "Contract": {"AnswerSlack": 20000, "AskWithin": 10000000, "ColdFrom": 0.15, "DrainGrace": 250000, "Fall": 2000000,
  "FallMultiple": 2.5, "WarmUp": 16000000},
 "Discovery": "ask", "Family": "replicas",
 "FamilyInfo": {"CatchUpWait": 0, "Consistency": ["bounded", "write"], "Guards": "silent", "MaxAge": [3000000, 0],
  "PositionZero": 290469390756, "Positions": false, "ShowsRole": "late", "TokenMode": "remembered"},
 "Limits": {"Cancel": true, "ConnectTimeout": 250000, "MaxAttempts": 10, "MaxRetryAfter": 500000, "ParallelTries": false,
  "Probing": true, "RetryAfter": true},
 "Me": 0, "Report": {"Fields": ["odd", "x0", "x1"], "How": "pull"}, "Tenants": [], "Tick": 5000})";

}  // namespace heathflow::test
