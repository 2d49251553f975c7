// Start-up times: each milestone is timed once. Server errors, bindings from before the process
// start, and bindings and shards of other controllers do not count.
#include "app/startup_times.hpp"

#include "support/helpers.hpp"
#include "support/scripted_store.hpp"

namespace marblevale {
namespace {

using testing::FakeTime;
using testing::ScriptedStore;

class StartupTimesTest : public ::testing::Test {
 protected:
  StartupTimesTest() : cache_(loop_, time_, store_, 1) {
    settings_.node = NodeId("me");
    settings_.zones = {ZoneId("a"), ZoneId("b")};
    bind_task(time_.wall() - Duration{60'000});
    give_shard("a", "me");
    store_.put(keys::node(NodeId("me")),
               encode(NodeRecord{NodeId("me"), ProcessIncarnation(7), LeaseId(1)}));
    store_.put(keys::node(NodeId("n2")),
               encode(NodeRecord{NodeId("n2"), ProcessIncarnation(7), LeaseId(2)}));
    times_.emplace(time_, settings_, cache_, ProcessIncarnation(7));
    cache_.begin();
    run(Duration{1'000});
  }

  void run(Duration duration) {
    time_.advance(duration);
    store_.deliver_watch_events();
  }
  void bind_task(WallTime since) {
    TaskRecord task;
    task.state = TaskState::bound;
    task.zone = ZoneId("a");
    task.machine_id = MachineId("vm-1");
    task.since = since;
    SliceRecord slice;
    slice.job_id = JobId("req-1");
    slice.tasks = {task};
    store_.put(keys::slice(slice.job_id, 0), encode(slice));
  }
  void give_shard(const std::string& zone, const std::string& node, std::uint64_t incarnation = 7) {
    store_.put(keys::shard(ZoneId(zone)),
               encode(ShardRecord{ZoneId(zone), NodeId(node), ProcessIncarnation(incarnation), 1}));
  }

  FakeTime time_;
  Loop loop_{&time_};
  Settings settings_;
  ScriptedStore store_;
  WatchCache cache_;
  std::optional<StartupTimes> times_;
};

TEST_F(StartupTimesTest, A503IsNotTheFirstAnswer) {
  times_->on_user_answered(503);
  EXPECT_FALSE(times_->time_to(StartupMilestone::user_answered));
  times_->on_user_answered(404);
  EXPECT_EQ(times_->time_to(StartupMilestone::user_answered), Duration{1'000});
  run(Duration{500});
  times_->on_user_answered(200);
  EXPECT_EQ(times_->time_to(StartupMilestone::user_answered), Duration{1'000}) << "timed once";
}

TEST_F(StartupTimesTest, ABindingFromBeforeTheProcessStartDoesNotCount) {
  EXPECT_FALSE(times_->time_to(StartupMilestone::task_bound));
  run(Duration{500});
  bind_task(time_.wall());
  run(Duration{100});
  EXPECT_EQ(times_->time_to(StartupMilestone::task_bound), Duration{1'600});
}

TEST_F(StartupTimesTest, ABindingByAnotherHolderDoesNotCount) {
  give_shard("a", "n2");
  run(Duration{100});
  bind_task(time_.wall());
  run(Duration{100});
  EXPECT_FALSE(times_->time_to(StartupMilestone::task_bound));
}

TEST_F(StartupTimesTest, TheLastShardIsTimedByItsHolderOnceAllHoldersAreAlive) {
  EXPECT_FALSE(times_->time_to(StartupMilestone::last_shard_held));
  give_shard("b", "n2", 3);  // an earlier incarnation
  run(Duration{100});
  give_shard("a", "me");
  run(Duration{100});
  EXPECT_FALSE(times_->time_to(StartupMilestone::last_shard_held));
  give_shard("b", "n2");
  run(Duration{100});
  EXPECT_FALSE(times_->time_to(StartupMilestone::last_shard_held)) << "n2 logs it";
  give_shard("a", "me");
  run(Duration{100});
  EXPECT_EQ(times_->time_to(StartupMilestone::last_shard_held), Duration{1'400});
}

}  // namespace
}  // namespace marblevale
