// The holder of a shard: bindings, orders, evidence that a task has terminated, and the end of
// jobs.
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;
using testing::ShardHolderTest;

TEST_F(ShardHolderTest, OnlyTheHolderAnswers200) {
  EXPECT_EQ(handle_heartbeat(1, 0).status, 200);
  assign_shard("other", 9);
  const auto answer = handle_heartbeat(1, 0);
  EXPECT_EQ(answer.status, 421);
  EXPECT_NE(answer.body.find("\"steward\":\"other\""), std::string::npos);
}

TEST_F(ShardHolderTest, AWorkerThatSawAHigherFencingTokenIsRedirected) {
  EXPECT_EQ(handle_heartbeat(1, token() + 5).status, 421);
}

TEST_F(ShardHolderTest, AMalformedHeartbeatIs400) {
  EXPECT_EQ(holder_.handle_heartbeat("{").status, 400);
  EXPECT_EQ(
      handle_heartbeat(1, token(), R"({"part":"nonsense","try":1,"status":"running"})").status,
      400);
}

TEST_F(ShardHolderTest, CommitsTheBindingBeforeTheStartIsSent) {
  handle_heartbeat(1, token());
  store_.scripts.assign(20, Script::refuse);
  release();
  run(Duration{100});
  EXPECT_FALSE(sent("start"));
  store_.scripts.clear();
  run(Duration{500});
  EXPECT_EQ(task().state, TaskState::bound);
  EXPECT_TRUE(sent("start"));
}

TEST_F(ShardHolderTest, ABindingOfAReplacedHolderFails) {
  handle_heartbeat(1, token());
  run(Duration{60});  // until the machine's record is written
  store_.scripts.assign(50, Script::refuse);
  store_.scripts.front() = Script::delay;
  release();
  run(Duration{30});
  ASSERT_EQ(store_.delayed.size(), 1U);
  store_.scripts.clear();
  put_shard("a", "other", 9, 2);
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
  EXPECT_EQ(task().state, TaskState::released);
}

TEST_F(ShardHolderTest, ACancellationMakesADelayedBindingFail) {
  handle_heartbeat(1, token());
  run(Duration{60});  // until the machine's record is written
  store_.scripts.assign(50, Script::refuse);
  store_.scripts.front() = Script::delay;
  release();
  run(Duration{30});
  cancel();
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
  store_.scripts.clear();
  run(Duration{1000});
  EXPECT_EQ(task().state, TaskState::idle);  // the task was never bound, so no evidence is needed
  EXPECT_FALSE(sent("start"));
}

TEST_F(ShardHolderTest, AnUnansweredStartIsRetriedOnTheSameMachine) {
  bind_and_start();
  workers_.sent.back().reply(HttpReply::no_answer());
  run(Duration{3000});
  const auto answer = handle_heartbeat(1, token());
  EXPECT_NE(answer.body.find("\"start\""), std::string::npos);
  EXPECT_EQ(task().machine_id, MachineId("vm-1"));
}

TEST_F(ShardHolderTest, ACancelledTaskIsFreedOnlyWhenNoDelayedStartCanArrive) {
  bind_and_start();
  workers_.sent.back().reply(HttpReply::no_answer());
  cancel();
  const auto old_token = token();
  run(Duration{50});
  handle_heartbeat(1, old_token);
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::bound) << "the direct start may still arrive";
  run(Duration{9000});
  ASSERT_GT(token(), old_token) << "the fencing token is renewed to exclude that";
  handle_heartbeat(1, old_token);
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::bound);
  handle_heartbeat(1, token());
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::idle);
}

TEST_F(ShardHolderTest, AnEndedTaskIsClearedOnlyWhenNoDuplicateStartCanArrive) {
  bind_and_start();
  auto answer = handle_heartbeat(1, token(), task_status("ended", "error"));
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::idle);
  answer = handle_heartbeat(1, token(), task_status("ended", "error"));
  EXPECT_EQ(answer.body.find("clear"), std::string::npos) << "a late copy would start it again";
  run(Duration{9000});
  answer = handle_heartbeat(1, token(), task_status("ended", "error"));
  EXPECT_NE(answer.body.find("clear"), std::string::npos);
}

TEST_F(ShardHolderTest, ADelayedHeartbeatDoesNotReplaceANewerOne) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  sequence_ -= 2;  // an older heartbeat, delivered late, without the task
  handle_heartbeat(1, token());
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(ShardHolderTest, ANewWorkerEpochIsEvidenceOfTermination) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{50});
  handle_heartbeat(2, token());
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::idle);
}

TEST_F(ShardHolderTest, MissingHeartbeatsFreeNoTask) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{120'000});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(ShardHolderTest, ADeletedMachineIsEvidenceOfTermination) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{50});
  MachineRecord machine;
  machine.machine_id = MachineId("vm-1");
  machine.zone = ZoneId("a");
  machine.machine_type = "g8";
  machine.state = MachineState::gone;
  store_.put_machine(machine);
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::idle);
}

TEST_F(ShardHolderTest, WithoutTheStateServiceTheHolderStopsRenewingLeasesInTime) {
  EXPECT_EQ(handle_heartbeat(1, token()).status, 200);
  watch_answers_ = false;
  run(Duration{20'000});
  EXPECT_EQ(handle_heartbeat(1, token()).status, 200);
  // cancel_s - lease_s is 25 s. The time counts from the last read of the records, because a
  // cancellation may have been accepted right after it.
  run(Duration{6'000});
  EXPECT_EQ(handle_heartbeat(1, token()).status, 421);
  // All peers attest that nothing was cancelled since.
  holder_.extend_cancellation_freshness(time_.steady());
  EXPECT_EQ(handle_heartbeat(1, token()).status, 200);
}

// Guards against a job that ends as done after the user was told that it is cancelled. The task
// completes before it can be stopped.
TEST_F(ShardHolderTest, ACancelledJobWhoseTasksEndAsDoneStaysCancelled) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{50});
  cancel();
  handle_heartbeat(1, token(), task_status("ended", "done"));
  run(Duration{500});
  const auto entry = store_.get(keys::final_job(JobId("req-1")));
  ASSERT_TRUE(entry);
  EXPECT_NE(entry->value.find("cancelled"), std::string::npos);
}

TEST_F(ShardHolderTest, ATaskWithoutAJobIsKilled) {
  bind_and_start();
  store_.remove(keys::job(JobId("req-1")));
  run(Duration{50});
  ASSERT_TRUE(cache_.records().placed.contains(MachineId("vm-1")));
  EXPECT_NE(handle_heartbeat(1, token(), task_status("running")).body.find("kill"),
            std::string::npos);
}

TEST_F(ShardHolderTest, TheJobsEndIsCommittedWithItsLastTask) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("ended", "done"));
  run(Duration{50});
  const auto entry = store_.get(keys::final_job(JobId("req-1")));
  ASSERT_TRUE(entry);
  EXPECT_NE(entry->value.find("done"), std::string::npos);
  EXPECT_FALSE(store_.get(keys::job(JobId("req-1"))));
  EXPECT_FALSE(store_.get(keys::job(JobId("req-1"))));
}

TEST_F(ShardHolderTest, AFailedTaskMakesItsMachineSuspect) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("ended", "error"));
  run(Duration{50});
  EXPECT_EQ(machine_state("vm-1"), MachineState::suspect);
  EXPECT_EQ(task().failure_count, 1U);
}

// Guards against the removal of a working machine because of two faulty jobs: the second failure
// must not change the machine's state or the job that made it suspect.
TEST_F(ShardHolderTest, AFailureOfASecondJobLeavesTheMachineSuspect) {
  handle_heartbeat(1, token());
  for (const char* job_id : {"req-1", "req-2"}) {
    const JobSpec job = testing::batch(job_id, 1, 1, 100);
    put_job(store_, job, time_.wall());
    put_slice(store_, testing::slice_record(job.job_id, {testing::bound_task("vm-1")}));
  }
  run(Duration{50});
  const std::string running = R"({"part":"req-2/0","try":1,"status":"running"})";
  const std::string failed = R"({"part":"req-2/0","try":1,"status":"ended","cause":"error"})";
  handle_heartbeat(1, token(), task_status("ended", "error") + "," + running);
  run(Duration{100});
  handle_heartbeat(1, token(), task_status("ended", "error") + "," + failed);
  run(Duration{100});
  const MachineRecord& machine = cache_.records().machines.at(MachineId("vm-1")).record;
  EXPECT_EQ(machine.state, MachineState::suspect);
  EXPECT_EQ(machine.failed_job, JobId("req-1"));
}

TEST_F(ShardHolderTest, AFailureDoesNotReleaseAQuarantinedMachine) {
  bind_and_start();
  MachineRecord machine = cache_.records().machines.at(MachineId("vm-1")).record;
  machine.state = MachineState::quarantined;
  store_.put_machine(machine);
  run(Duration{50});
  handle_heartbeat(1, token(), task_status("ended", "error"));
  run(Duration{1'100});
  EXPECT_EQ(task().failure_count, 1U);
  EXPECT_EQ(machine_state("vm-1"), MachineState::quarantined);
}

// Guards against placement of tasks on machines without their image. The knowledge of the images
// was lost when all controllers had ended.
TEST_F(ShardHolderTest, CachedImagesAreStoredInTheMachinesRecord) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{1000});
  const auto& images = cache_.records().machines.at(MachineId("vm-1")).record.images;
  ASSERT_EQ(images.size(), 1U);
  EXPECT_EQ(images[0].image, ImageId("img"));
}

// Guards against starvation of slices while writes are limited. A slice that waits for its turn is
// reconciled only when the turn comes, so that its change is decided once.
TEST_F(ShardHolderTest, CommitsInFlightAreBoundedAndNoSliceStarves) {
  constexpr int kJobs = 40;
  handle_heartbeat(1, token());
  store_.hold_answers = true;
  const auto slice_commits = [&] {
    return std::count_if(store_.commits.begin(), store_.commits.end(), [](const Transaction& txn) {
      return !txn.puts.empty() && txn.puts[0].key.find("slices/") != std::string::npos;
    });
  };
  const auto before = slice_commits();
  for (int i = 0; i < kJobs; ++i) {
    release(testing::gang("req-" + std::to_string(100 + i), 1, 0.1, 100));
  }
  run(Duration{400});
  EXPECT_EQ(static_cast<std::size_t>(slice_commits() - before), SliceCommits::kMaxInFlight);
  store_.hold_answers = false;
  store_.deliver_held_answers();
  run(Duration{400});
  int bound = 0;
  for (int i = 0; i < kJobs; ++i) {
    const auto* task = cache_.records().task({JobId("req-" + std::to_string(100 + i)), 0});
    if (task != nullptr && task->state == TaskState::bound) ++bound;
  }
  EXPECT_EQ(bound, kJobs);
}

TEST(BrokenGang, TheRemainingTasksAreStopped) {
  SliceRecord slice;
  slice.tasks.resize(3);
  slice.tasks[0].state = TaskState::bound;
  slice.tasks[1].state = TaskState::idle;
  slice.tasks[2].state = TaskState::bound;
  EXPECT_TRUE(stop_broken_gang(slice));
  EXPECT_TRUE(slice.tasks[0].stop);
  EXPECT_TRUE(slice.tasks[2].stop);
  EXPECT_FALSE(stop_broken_gang(slice));
}

}  // namespace
}  // namespace marblevale
