// The counters of health checks, connections and unserved requests.
#include "stats/upstream_stats.h"

#include <gtest/gtest.h>

#include <string>

namespace heathflow::stats {
namespace {

TEST(UpstreamStats, AHealthCheckIsUsedByARequestBeforeTheNextHealthCheck) {
  UpstreamStats upstreamStats;
  upstreamStats.healthCheckStarted(1, HealthCheckReason::ReadWaiting);
  upstreamStats.attemptStarted(1);  // without a result yet
  upstreamStats.healthCheckEnded(1, true);
  upstreamStats.attemptStarted(2);
  EXPECT_EQ(upstreamStats.healthChecks(HealthCheckReason::ReadWaiting).used, 0U);
  upstreamStats.attemptStarted(1);
  upstreamStats.attemptStarted(1);
  EXPECT_EQ(upstreamStats.healthChecks(HealthCheckReason::ReadWaiting).used, 1U);
  upstreamStats.healthCheckStarted(1, HealthCheckReason::PrimaryUnknown);
  upstreamStats.healthCheckEnded(1, false);
  upstreamStats.attemptStarted(1);
  EXPECT_EQ(upstreamStats.healthChecks(HealthCheckReason::PrimaryUnknown).started, 1U);
  EXPECT_EQ(upstreamStats.healthChecks(HealthCheckReason::PrimaryUnknown).answered, 0U);
  EXPECT_EQ(upstreamStats.healthChecks(HealthCheckReason::PrimaryUnknown).used, 0U);
  EXPECT_EQ(upstreamStats.maxHealthChecksPerEndpoint(), 2U);
}

TEST(UpstreamStats, AConnectionIsUnusedUntilItCarriesARequest) {
  UpstreamStats upstreamStats;
  ConnectionUsage healthChecksOnly = upstreamStats.connectionOpened(TrafficType::HealthCheck);
  upstreamStats.connectionReused(healthChecksOnly, TrafficType::HealthCheck);
  ConnectionUsage once = upstreamStats.connectionOpened(TrafficType::HealthCheck);
  upstreamStats.connectionReused(once, TrafficType::Request);
  const ConnectionUsage first = upstreamStats.connectionOpened(TrafficType::Request);
  ConnectionUsage often = first;
  upstreamStats.connectionReused(often, TrafficType::Request);
  for (const ConnectionUsage& usage : {healthChecksOnly, once, often}) upstreamStats.connectionClosed(usage);
  EXPECT_EQ(upstreamStats.connections().closed, 3U);
  EXPECT_EQ(upstreamStats.connections().closedUnused, 1U);
  EXPECT_EQ(upstreamStats.connections().closedAfterOneRequest, 1U);
}

TEST(UpstreamStats, RemovedEndpointsAreForgottenAndCountersArePrintedByName) {
  UpstreamStats upstreamStats;
  upstreamStats.healthCheckStarted(1, HealthCheckReason::Unresponsive);
  upstreamStats.requestUnserved(RejectReason::SlowStart);
  EXPECT_EQ(upstreamStats.healthCheckedEndpoints(), 1U);
  upstreamStats.endpointRemoved(1);
  upstreamStats.healthCheckEnded(1, true);
  EXPECT_EQ(upstreamStats.healthCheckedEndpoints(), 0U);
  const std::string text = describe(upstreamStats);
  for (const char* name :
       {"unresponsive=1", "unresponsive_used=0", "endpoints=0", "slow_start=1", "closed_unused=0"}) {
    EXPECT_NE(text.find(name), std::string::npos) << name;
  }
}

}  // namespace
}  // namespace heathflow::stats
