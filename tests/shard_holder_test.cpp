// A shard's holder: bindings, proofs, cancellations.
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;
using testing::ShardHolderTest;

TEST_F(ShardHolderTest, OnlyTheHolderAnswers200) {
  EXPECT_EQ(handle_heartbeat(1, 0).status, 200);
  give_shard("other", 9);
  const auto answer = handle_heartbeat(1, 0);
  EXPECT_EQ(answer.status, 421);
  EXPECT_NE(answer.body.find("\"steward\":\"other\""), std::string::npos);
}

TEST_F(ShardHolderTest, AWorkerThatSawAHigherWarrantIsNotAnswered) {
  EXPECT_EQ(handle_heartbeat(1, token() + 5).status, 421);
}

TEST_F(ShardHolderTest, AMalformedHeartbeatIsRefusedAndProvesNothing) {
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
  run(Duration{60});  // the machine is in its page
  store_.scripts.assign(50, Script::refuse);
  store_.scripts.front() = Script::delay;
  release();
  run(Duration{30});
  ASSERT_EQ(store_.delayed.size(), 1U);
  store_.scripts.clear();
  store_.put(keys::shard(ZoneId("a")),
             encode(ShardRecord{ZoneId("a"), NodeId("other"), ProcessIncarnation(9), 2}));
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
  EXPECT_EQ(task().state, TaskState::released);
}

TEST_F(ShardHolderTest, ACancelThatWinsTheRaceMakesTheBindingFail) {
  handle_heartbeat(1, token());
  run(Duration{60});  // the machine is in its page
  store_.scripts.assign(50, Script::refuse);
  store_.scripts.front() = Script::delay;
  release();
  run(Duration{30});
  cancel();
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
  store_.scripts.clear();
  run(Duration{1000});
  EXPECT_EQ(task().state, TaskState::idle);  // never bound, so nothing to wait for
  EXPECT_FALSE(sent("start"));
}

TEST_F(ShardHolderTest, AnUnansweredDirectStartIsRepeatedOnlyToTheSameMachine) {
  bind_and_start();
  workers_.sent.back().then(HttpReply::no_answer());
  run(Duration{3000});
  const auto answer = handle_heartbeat(1, token());
  EXPECT_NE(answer.body.find("\"start\""), std::string::npos);
  EXPECT_EQ(task().machine_id, MachineId("vm-1"));
}

TEST_F(ShardHolderTest, ACancelledTaskIsFreeOnlyWhenNoLateStartCanArrive) {
  bind_and_start();
  workers_.sent.back().then(HttpReply::no_answer());
  cancel();
  const auto old = token();
  run(Duration{50});
  handle_heartbeat(1, old);
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::bound) << "the direct start may still arrive";
  run(Duration{9000});
  ASSERT_GT(token(), old) << "the warrant is renewed to end that";
  handle_heartbeat(1, old);
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::bound);
  handle_heartbeat(1, token());
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::idle);
}

TEST_F(ShardHolderTest, AnEndedTaskIsClearedOnlyWhenItsStartCannotBeRepeated) {
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

TEST_F(ShardHolderTest, ALateHeartbeatDoesNotUndoANewerOne) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  sequence_ -= 2;  // an older heartbeat, delivered late, without the task
  handle_heartbeat(1, token());
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(ShardHolderTest, ANewEpochProvesThatTheTaskIsGone) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{50});
  handle_heartbeat(2, token());
  run(Duration{50});
  EXPECT_EQ(task().state, TaskState::idle);
}

TEST_F(ShardHolderTest, SilenceFreesNothing) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{120'000});
  EXPECT_EQ(task().state, TaskState::bound);
}

TEST_F(ShardHolderTest, ADeletedMachineProvesThatItsTasksAreGone) {
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

TEST_F(ShardHolderTest, WithoutTheStateServiceItStopsAnsweringInTime) {
  EXPECT_EQ(handle_heartbeat(1, token()).status, 200);
  watch_answers_ = false;
  run(Duration{20'000});
  EXPECT_EQ(handle_heartbeat(1, token()).status, 200);
  // cancel_s - lease_s is 25 s: a cancellation may have been accepted right after the last read.
  run(Duration{6'000});
  EXPECT_EQ(handle_heartbeat(1, token()).status, 421);
  holder_.extend_cancellation_freshness(
      time_.steady());  // all peers say that nothing was cancelled since
  EXPECT_EQ(handle_heartbeat(1, token()).status, 200);
}

// Found by a rough day: the user had been told `cancelled`, the task ended before it was stopped.
TEST_F(ShardHolderTest, ACancelledJobStaysCancelledThoughItsTasksAreDone) {
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

TEST_F(ShardHolderTest, WhatBelongsToNoJobIsKilledThoughItsSliceIsLeft) {
  bind_and_start();
  Transaction txn;
  txn.remove(keys::job(JobId("req-1")));
  store_.commit(RequestPriority::record, txn, [](const CommitResult&) {});
  run(Duration{50});
  ASSERT_TRUE(cache_.records().placed.contains(MachineId("vm-1")));
  EXPECT_NE(handle_heartbeat(1, token(), task_status("running")).body.find("kill"),
            std::string::npos);
}

TEST_F(ShardHolderTest, DoneIsCommittedWithTheEndOfItsLastTask) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("ended", "done"));
  run(Duration{50});
  const auto entry = store_.get(keys::final_job(JobId("req-1")));
  ASSERT_TRUE(entry);
  EXPECT_NE(entry->value.find("done"), std::string::npos);
  EXPECT_FALSE(store_.get(keys::job(JobId("req-1"))));
  EXPECT_FALSE(store_.get(keys::job(JobId("req-1"))));
}

TEST_F(ShardHolderTest, AFailingTaskMakesItsMachineSuspect) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("ended", "error"));
  run(Duration{50});
  EXPECT_EQ(cache_.records().machines.at(MachineId("vm-1")).record.state, MachineState::suspect);
  EXPECT_EQ(task().faults, 1U);
}

// Two jobs with a mistake had a sound machine given up at once.
TEST_F(ShardHolderTest, AFailureOfASecondJobLeavesTheVerdictToTheLeader) {
  handle_heartbeat(1, token());
  for (const char* job_id : {"req-1", "req-2"}) {
    JobRecord job;
    job.spec = testing::batch(job_id, 1, 1, 100);
    job.accepted = time_.wall();
    store_.put(keys::job(job.spec.job_id), encode(job));
    SliceRecord slice;
    slice.job_id = job.spec.job_id;
    slice.tasks.resize(1);
    slice.tasks[0].state = TaskState::bound;
    slice.tasks[0].attempt = Attempt(1);
    slice.tasks[0].zone = ZoneId("a");
    slice.tasks[0].machine_id = MachineId("vm-1");
    slice.tasks[0].epoch = WorkerEpoch(1);
    store_.put(keys::slice(job.spec.job_id, 0), encode(slice));
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
  EXPECT_EQ(machine.blamed, JobId("req-1"));
}

TEST_F(ShardHolderTest, AFailureDoesNotBringBackAMachineThatIsGivenUp) {
  bind_and_start();
  MachineRecord machine = cache_.records().machines.at(MachineId("vm-1")).record;
  machine.state = MachineState::quarantined;
  store_.put_machine(machine);
  run(Duration{50});
  handle_heartbeat(1, token(), task_status("ended", "error"));
  run(Duration{1'100});
  EXPECT_EQ(task().faults, 1U);
  EXPECT_EQ(cache_.records().machines.at(MachineId("vm-1")).record.state,
            MachineState::quarantined);
}

// Found by a rough day: after the end of all controllers, tasks went where their image was not.
TEST_F(ShardHolderTest, ImagesThatRanAreKeptInTheMachinesRecord) {
  bind_and_start();
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{1000});
  const auto& images = cache_.records().machines.at(MachineId("vm-1")).record.images;
  ASSERT_EQ(images.size(), 1U);
  EXPECT_EQ(images[0].image, ImageId("img"));
}

TEST_F(ShardHolderTest, WorkersThatKeepComingBackMakeAComplaint) {
  give_shard("other", 9);
  for (const char* machine_id : {"vm-1", "vm-2"}) handle_heartbeat(1, 0, "", machine_id);
  EXPECT_TRUE(holder_.misrouted_zones().empty());
  run(Duration{6'500});
  for (const char* machine_id : {"vm-1", "vm-2"}) handle_heartbeat(1, 0, "", machine_id);
  ASSERT_EQ(holder_.misrouted_zones().size(), 1U);
  EXPECT_EQ(holder_.misrouted_zones()[0], ZoneId("a"));
}

TEST(BrokenGang, WhatIsLeftOfItIsStopped) {
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

// When writes are short every slice has its turn, and what waits for its own is decided only once.
TEST_F(ShardHolderTest, CommitsOnTheirWayAreBoundedAndNoSliceIsPassedOver) {
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

}  // namespace
}  // namespace marblevale
