// A leader whose process was paused takes no action until its cache is fresh again.
#include "leader/shard_assigner.hpp"
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

/// A leader whose process was paused for longer than its lease, and whose watch has not answered
/// since.
class LeaderProcessPauseTest : public testing::LeaderLoopTest {
 protected:
  void pause_process(Duration pause = Duration{5'000}) {
    time_.pause_process(pause);
    commits_before_ = store_.commits.size();
  }
  [[nodiscard]] std::size_t commits_since() const {
    return store_.commits.size() - commits_before_;
  }

 private:
  std::size_t commits_before_ = 0;
};

// Found by inc-0452: guards against a paused leader that plans a round and releases tasks (three in
// that case) before it reads that its session has ended. The commits failed by their guards, so the
// planning was wasted.
TEST_F(LeaderProcessPauseTest, ReleasesNothingBeforeTheCacheIsFresh) {
  machine("vm-1");
  begin();
  submit(testing::gang("req-1", 1, 2, 60));
  time_.advance(Duration{1});
  store_.deliver_watch_events();
  ASSERT_TRUE(cache_.records().jobs.contains(JobId("req-1")));
  pause_process();
  run_without_watch(Duration{1'500});
  EXPECT_EQ(commits_since(), 0U);
  run(Duration{1'500});
  ASSERT_EQ(tasks("req-1").size(), 1U);
  EXPECT_EQ(tasks("req-1")[0].state, TaskState::released) << "the term goes on";
}

TEST_F(LeaderProcessPauseTest, ProvisionsNothingBeforeTheCacheIsFresh) {
  begin();
  run(Duration{1'200});
  submit(testing::gang("req-1", 1, 2, 60));
  for (int i = 0; i < 20 && store_.commits.empty(); ++i) run(Duration{10});
  run(Duration{200});  // a round has requested machines; the autoscaler's next tick has not run
  ASSERT_TRUE(cloud_.provisioning_requests.empty());
  pause_process();
  run_without_watch(Duration{2'500});
  EXPECT_TRUE(cloud_.provisioning_requests.empty());
  EXPECT_EQ(commits_since(), 0U);
  run(Duration{2'500});
  EXPECT_FALSE(cloud_.provisioning_requests.empty());
}

TEST_F(LeaderProcessPauseTest, DecidesOnNoDeletionBeforeTheCacheIsFresh) {
  machine("vm-1");
  begin();
  MachineRecord silent = cache_.records().machines.at(MachineId("vm-1")).record;
  silent.state = MachineState::silent;
  silent.since = time_.wall();
  store_.put_machine(silent);
  run(Duration{50});
  pause_process(Duration{60'000});
  run_without_watch(Duration{2'500});
  EXPECT_EQ(commits_since(), 0U);
  EXPECT_TRUE(cloud_.deletion_requests.empty());
  silent.state = MachineState::up;  // it reported to its holder meanwhile
  store_.put_machine(silent);
  run(Duration{2'500});
  EXPECT_EQ(machine_state("vm-1"), MachineState::up);
  EXPECT_TRUE(cloud_.deletion_requests.empty());
}

TEST_F(LeaderProcessPauseTest, DropsAnUncommittedDeletion) {
  machine("vm-1");
  begin();
  run(Duration{1'100});
  autoscaler_.request_deletion(MachineId("vm-1"), DeletionReason::idle);
  pause_process();
  run_without_watch(Duration{1'500});
  EXPECT_EQ(commits_since(), 0U);
  run(Duration{2'500});
  EXPECT_EQ(machine_state("vm-1"), MachineState::up) << "it may have work by now";
  EXPECT_TRUE(cloud_.deletion_requests.empty());
}

TEST_F(LeaderProcessPauseTest, ExecutesACommittedDeletion) {
  machine("vm-1");
  begin();
  run(Duration{1'100});
  cloud_.confirms_deletions = false;  // the cloud does not answer
  autoscaler_.request_deletion(MachineId("vm-1"), DeletionReason::silent);
  run(Duration{1'100});
  ASSERT_EQ(machine_state("vm-1"), MachineState::deleting);
  cloud_.deletion_requests.clear();
  pause_process();
  run_without_watch(Duration{1'500});
  EXPECT_FALSE(cloud_.deletion_requests.empty()) << "a cancelled task may be on it";
  EXPECT_EQ(commits_since(), 0U);
}

TEST_F(LeaderProcessPauseTest, MovesNoShardBeforeTheCacheIsFresh) {
  put_shard("a", "n2", 5);
  ShardAssigner shards(loop_, time_, settings_, cache_, election_);
  begin();
  ASSERT_TRUE(election_.is_established_leader());
  pause_process();
  shards.begin();
  run_without_watch(Duration{1'500});
  EXPECT_EQ(commits_since(), 0U);
  run(Duration{1'000});
  EXPECT_EQ(cache_.records().shards.at(ZoneId("a")).record.holder, NodeId("me"));
}

}  // namespace
}  // namespace marblevale
