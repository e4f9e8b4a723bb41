// Settings of a small deployment, in the words of the simulator's first message.
#pragma once

#include <string>

namespace review {

struct Settings {
  unsigned gateways = 1;
  const char* discovery = "ask";
  long drainGraceMs = 250;
  long idleMs = 15'000;
  const char* saveEffect = "dedup";
  long saveDeadlineMs = 5'000;
  long keyWindowMs = 5'000;
  long maxAgeMs = 3'000;
  const char* ownConsistency = "session";
  const char* tokens = "remembered";
  long reportDeadlineMs = 8'000;

  std::string json() const {
    const auto micros = [](long millis) { return std::to_string(millis * 1000); };
    const auto classOf = [&](const char* name, long aim, long deadline, const char* effect, double value,
                             double late) {
      return std::string("{\"Name\":\"") + name + "\",\"Aim\":" + micros(aim) +
             ",\"Deadline\":" + micros(deadline) + ",\"Effect\":\"" + effect +
             "\",\"Group\":\"cell\",\"Window\":" + micros(keyWindowMs) +
             ",\"Value\":" + std::to_string(value) + ",\"LateShare\":" + std::to_string(late) +
             ",\"Streaming\":false}";
    };
    return std::string("{\"Az\":0,\"Balancers\":") + std::to_string(gateways) + ",\"Classes\":[" +
           classOf("view", 200, 600, "retryable", 3, 0) + "," +
           classOf("lookup", 500, 2000, "retryable", 2, 0) + "," +
           classOf("status", 300, 1000, "retryable", 2, 0) + "," +
           classOf("report", 4000, reportDeadlineMs, "retryable", 6, 0) + "," +
           classOf("save", 750, saveDeadlineMs, saveEffect, 3, 0.3) + "," +
           classOf("own", 400, 1200, "retryable", 1, 0.2) +
           "],\"Contract\":{\"AnswerSlack\":20000,\"AskWithin\":10000000,\"ColdFrom\":0.15,\"DrainGrace\":" +
           micros(drainGraceMs) +
           ",\"Fall\":2000000,\"FallMultiple\":2.5,\"WarmUp\":16000000},\"Discovery\":\"" + discovery +
           "\",\"Family\":\"replicas\",\"FamilyInfo\":{\"CatchUpWait\":0,\"CommitWaits\":true,"
           "\"Consistency\":[\"bounded\",\"any\",\"fresh\",\"any\",\"write\",\"" +
           ownConsistency + "\"],\"Guards\":\"silent\",\"MaxAge\":[" + micros(maxAgeMs) +
           ",0,0,0,0,0],\"PositionZero\":0,\"Positions\":false,\"ShowsRole\":\"late\",\"TokenMode\":\"" +
           tokens + "\"},\"Limits\":{\"Cancel\":true,\"ConnIdle\":" + micros(idleMs) +
           ",\"ConnectTimeout\":250000,\"MaxAttempts\":10,\"MaxRetryAfter\":500000,\"ParallelTries\":false,"
           "\"Probing\":true,\"RetryAfter\":true},\"Report\":{\"Fields\":[\"x0\",\"x1\"],\"How\":\"pull\"},"
           "\"Tick\":5000,\"Weights\":\"silent\"}";
  }
};

}  // namespace review
