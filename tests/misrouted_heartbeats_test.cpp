// Heartbeats that reach a controller which does not hold their shard, because workers cannot reach
// the holder.
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

class MisroutedHeartbeatsTest : public testing::ShardHolderTest {};

TEST_F(MisroutedHeartbeatsTest, WorkersThatKeepReturningMarkTheirZoneAsMisrouted) {
  assign_shard("other", 9);
  for (const char* machine_id : {"vm-1", "vm-2"}) handle_heartbeat(1, 0, "", machine_id);
  EXPECT_TRUE(holder_.misrouted_zones().empty());
  run(Duration{6'500});
  for (const char* machine_id : {"vm-1", "vm-2"}) handle_heartbeat(1, 0, "", machine_id);
  ASSERT_EQ(holder_.misrouted_zones().size(), 1U);
  EXPECT_EQ(holder_.misrouted_zones()[0], ZoneId("a"));
}

// Guards against a late move of a shard whose holder alone has lost its workers (inc-0452). The
// holder kept its shard for 17 s of a lease of 24 s, because only the third heartbeat of a
// returning worker counted as evidence.
TEST_F(MisroutedHeartbeatsTest, TheSecondHeartbeatOfUnansweredWorkersMarksTheirZoneAsMisrouted) {
  assign_shard("other", 9);
  for (const char* machine_id : {"vm-1", "vm-2"}) handle_heartbeat(1, 0, "", machine_id);
  run(Duration{5'000});  // redirected to the holder: 4 s without an answer, then 1 s more
  for (const char* machine_id : {"vm-1", "vm-2"}) handle_heartbeat(1, 0, "", machine_id);
  EXPECT_EQ(holder_.misrouted_zones(), std::vector<ZoneId>{ZoneId("a")});
}

TEST_F(MisroutedHeartbeatsTest, WorkersOfAnEndedHolderDoNotMarkTheirZoneAsMisrouted) {
  assign_shard("other", 9);
  // The ended holder refuses connections, so the workers try the next controller a second later.
  // The holder's lease expires after 4 s at the latest.
  for (int attempt = 0; attempt < 5; ++attempt) {
    for (const char* machine_id : {"vm-1", "vm-2"}) handle_heartbeat(1, 0, "", machine_id);
    EXPECT_TRUE(holder_.misrouted_zones().empty()) << attempt;
    run(Duration{1'100});
  }
}

}  // namespace
}  // namespace marblevale
