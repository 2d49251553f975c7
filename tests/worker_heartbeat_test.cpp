// Decoding of workers' heartbeats, and the rejection of truncated ones.
#include <gtest/gtest.h>

#include "protocol/worker.hpp"

namespace marblevale {
namespace {

TEST(WorkerHeartbeats, ATruncatedHeartbeatIsRejected) {
  const std::string good =
      R"({"host":"vm-1","address":"x:1","build":"g","district":"a","loaners":true,"tenure":1,
          "tally":2,"warrant":3,"recall_s":7.5,
          "parts":[{"part":"req-1/3","try":2,"status":"ended","cause":"halted","saved":true}]})";
  const auto heartbeat = parse_worker_heartbeat(good);
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->reclaim_in, Duration{7500});
  EXPECT_EQ(heartbeat->tasks.at(0).id.task_index, 3U);
  EXPECT_TRUE(heartbeat->tasks.at(0).saved);
  for (std::size_t cut = 0; cut < good.size(); cut += 7) {
    EXPECT_FALSE(parse_worker_heartbeat(good.substr(0, cut)));
  }
  EXPECT_FALSE(parse_task_id("req-1"));
  EXPECT_FALSE(parse_task_id("req-1/x"));
  EXPECT_FALSE(parse_task_id("req-1/99999999999"));
}

}  // namespace
}  // namespace marblevale
