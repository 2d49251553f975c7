// Assignment of a shard whose home controller cannot reach the shard's workers.
#include "leader/shard_assigner.hpp"

#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

class ShardAssignerTest : public testing::LeaderLoopTest {};

// Found by inc-9b45: guards against a failback delay that does not grow. A zone's controller that
// had lost its workers for two minutes got its shard back every 45 s, and lost it again 20 s later.
TEST_F(ShardAssignerTest, AShardReturnsToAnUnreachableHomeWithGrowingBackoff) {
  settings_.peers = {{NodeId("n2"), ZoneId("a"), {}}, {NodeId("n3"), ZoneId("b"), {}}};
  for (const char* node : {"n2", "n3"}) {
    store_.put(keys::node(NodeId(node)),
               encode(NodeRecord{NodeId(node), ProcessIncarnation(5), LeaseId(90)}));
  }
  put_shard("a", "n2", 5);
  ShardAssigner shards(loop_, time_, settings_, cache_, election_);
  begin();
  shards.begin();
  run(Duration{10'000});
  const auto holder = [&] { return cache_.records().shards.at(ZoneId("a")).record.holder; };
  for (const std::int64_t away_ms : {45'000, 90'000, 180'000, 180'000}) {
    ASSERT_EQ(holder(), NodeId("n2"));
    shards.note_misrouted_heartbeat(ZoneId("a"), NodeId("n3"));
    run(Duration{1'000});
    ASSERT_EQ(holder(), NodeId("n3"));
    run(Duration{away_ms - 3'000});
    ASSERT_EQ(holder(), NodeId("n3")) << "away for " << away_ms << " ms";
    run(Duration{5'000});
  }
}

}  // namespace
}  // namespace marblevale
