// The end of a gang: one task that is done completes the job, even if other tasks are lost or
// delayed.
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

class GangCompletionTest : public testing::ShardHolderTest {
 protected:
  /// Stores a gang of two tasks that are bound to vm-1 and vm-2, after a heartbeat of each machine.
  void put_bound_gang(WallTime running) {
    handle_heartbeat(1, token(), "", "vm-1");
    handle_heartbeat(1, token(), "", "vm-2");
    put_job(store_, testing::gang("req-1", 2, 1, 100), time_.wall());
    std::vector<TaskRecord> tasks;
    for (const char* machine_id : {"vm-1", "vm-2"}) {
      TaskRecord task = testing::bound_task(machine_id);
      task.attempt = Attempt(2);
      task.running_since = running;
      tasks.push_back(task);
    }
    put_slice(store_, testing::slice_record(JobId("req-1"), tasks));
    run(Duration{50});
  }

  static std::string second_attempt(const std::string& id, const std::string& status,
                                    const std::string& cause = "") {
    return task_status_of(id, status, cause, 2);
  }

  [[nodiscard]] TaskState state_of(std::size_t index) const {
    return cache_.records().slice(JobId("req-1"), 0)->record.tasks.at(index).state;
  }
};

TEST_F(GangCompletionTest, ARepeatedEndDoesNotFreeTasksThatStillFetchTheirImage) {
  // The gang was started again after its end, which no controller observed.
  put_bound_gang(WallTime{});
  handle_heartbeat(1, token(), second_attempt("req-1/0", "ended", "done"), "vm-1");
  handle_heartbeat(1, token(), second_attempt("req-1/1", "fetching"), "vm-2");
  run(Duration{3'000});
  EXPECT_EQ(state_of(0), TaskState::done);
  EXPECT_EQ(state_of(1), TaskState::bound) << "it will be on its machine for a moment yet";
  handle_heartbeat(1, token(), second_attempt("req-1/1", "ended", "done"), "vm-2");
  run(Duration{500});
  EXPECT_TRUE(store_.get(keys::final_job(JobId("req-1"))));
}

TEST_F(GangCompletionTest, AGangWhoseOtherTasksAreLostAfterItsEndIsDone) {
  put_bound_gang(WallTime{});
  handle_heartbeat(1, token(), second_attempt("req-1/0", "ended", "done"), "vm-1");
  run(Duration{3'000});
  handle_heartbeat(2, token(), "", "vm-2");
  run(Duration{500});
  EXPECT_TRUE(store_.get(keys::final_job(JobId("req-1"))));
}

TEST_F(GangCompletionTest, ARunningGangIsDoneWithTheFirstOfItsTasks) {
  put_bound_gang(time_.wall());
  handle_heartbeat(1, token(), second_attempt("req-1/0", "ended", "done"), "vm-1");
  run(Duration{100});
  EXPECT_TRUE(store_.get(keys::final_job(JobId("req-1"))));
}

}  // namespace
}  // namespace marblevale
