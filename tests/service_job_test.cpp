// Service jobs: their replicas run until the job is cancelled. A replica that ends is started
// again, and a replica on a machine that goes away is evicted.
#include "scheduling/machine_evacuation.hpp"
#include "shards/task_presence.hpp"
#include "support/leader_loop_fixture.hpp"
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

TaskRecord running_since(WallTime at) {
  TaskRecord task;
  task.state = TaskState::bound;
  task.attempt = Attempt(1);
  task.zone = ZoneId("a");
  task.machine_id = MachineId("vm-1");
  task.running_since = at;
  return task;
}

TEST(Replica, IsNeverDone) {
  const JobSpec job = testing::service_job("req-1", 2, 1);
  for (const TaskEndCause cause :
       {TaskEndCause::completed, TaskEndCause::failed, TaskEndCause::preempted,
        TaskEndCause::machine_gone, TaskEndCause::lease_expired}) {
    TaskRecord task = running_since(from_unix_milliseconds(1'000'000));
    apply_task_end(task, job, cause, true, WallTime{Duration{2'000'000}});
    EXPECT_EQ(task.state, TaskState::idle) << name_of(cause);
    EXPECT_EQ(task.progress, Duration{0}) << "it has no work that could be saved";
    EXPECT_EQ(task.machine_id, MachineId{});
  }
}

TEST(Replica, ThatKeepsEndingIsRetriedWithBackoff) {
  const JobSpec job = testing::service_job("req-1", 2, 1);
  TaskRecord task;
  for (std::uint32_t n = 1; n <= 4; ++n) {
    task = running_since(from_unix_milliseconds(1'000'000));
    task.failure_count = n - 1;
    apply_task_end(task, job, n % 2 == 0 ? TaskEndCause::failed : TaskEndCause::completed, false,
                   WallTime{Duration{1'001'000}});
    EXPECT_EQ(task.failure_count, n);
    EXPECT_EQ(task.failed_on, MachineId("vm-1"));
  }
  // A failure after a long run counts as the first fault, so the replica is retried at once.
  task = running_since(from_unix_milliseconds(1'000'000));
  task.failure_count = 4;
  apply_task_end(task, job, TaskEndCause::failed, false,
                 WallTime{Duration{1'000'000}} + kStableReplicaRunTime);
  EXPECT_EQ(task.failure_count, 1U);
  task = running_since(from_unix_milliseconds(1'000'000));
  task.failure_count = 4;
  apply_task_end(task, job, TaskEndCause::machine_gone, false, WallTime{Duration{1'001'000}});
  EXPECT_EQ(task.failure_count, 4U) << "the loss of a machine is not its fault";
}

class ServiceJobHolderTest : public testing::ShardHolderTest {};

TEST_F(ServiceJobHolderTest, AReplicaThatEndsLeavesTheJobUnfinished) {
  handle_heartbeat(1, 0);
  run(Duration{50});
  handle_heartbeat(1, token());
  release(testing::service_job("req-1", 1, 1));
  run(Duration{500});
  ASSERT_EQ(task().state, TaskState::bound);
  handle_heartbeat(1, token(), task_status("running"));
  run(Duration{500});
  handle_heartbeat(1, token(), task_status("ended", "done"));
  run(Duration{12'000});
  EXPECT_EQ(task().state, TaskState::idle);
  EXPECT_TRUE(store_.get(keys::job(JobId("req-1"))));
  EXPECT_FALSE(store_.get(keys::final_job(JobId("req-1"))));
}

// While the write budget is low, sixteen commits are in flight and the others wait for their turn.
// Guards against replica bindings that wait with them: on one day of hawakir-fields-next, replicas
// were bound 20 to 80 s after their release.
TEST_F(ServiceJobHolderTest, AReplicasBindingDoesNotWaitForOtherCommits) {
  handle_heartbeat(1, 0);
  run(Duration{50});
  handle_heartbeat(1, token());
  store_.hold_answers = true;
  for (std::size_t i = 0; i < 2 * SliceCommits::kMaxInFlight; ++i) {
    release(testing::batch("req-" + std::to_string(100 + i), 1, 0, 100));
  }
  run(Duration{100});
  release(testing::service_job("req-1", 1, 0));
  run(Duration{100});
  store_.hold_answers = false;
  store_.deliver_held_answers();
  EXPECT_EQ(task().state, TaskState::bound);
  EXPECT_EQ(binding_priority(cache_.records(), JobId("req-1")), RequestPriority::service_binding);
  EXPECT_EQ(binding_priority(cache_.records(), JobId("req-100")), RequestPriority::binding);
}

class ServiceJobLeaderTest : public testing::LeaderLoopTest {
 protected:
  [[nodiscard]] TaskRecord replica(const std::string& machine_id) const {
    TaskRecord task = bound(machine_id);
    task.running_since = time_.wall();
    return task;
  }
  void submit_with_tasks(const JobSpec& spec, const std::vector<TaskRecord>& tasks) {
    submit(spec);
    set_tasks(spec.job_id.get(), tasks);
  }
  [[nodiscard]] std::size_t count_stopping(const std::string& job_id) const {
    std::size_t count = 0;
    for (const TaskRecord& task : tasks(job_id)) count += task.stop ? 1 : 0;
    return count;
  }
};

TEST_F(ServiceJobLeaderTest, AnEndedReplicaIsReleasedAgain) {
  machine("vm-1");
  machine("vm-2");
  begin();
  TaskRecord ended;
  ended.attempt = Attempt(1);
  ended.since = time_.wall();
  submit_with_tasks(testing::service_job("req-1", 2, 1), {replica("vm-1"), ended});
  run(Duration{1'500});
  ASSERT_EQ(tasks("req-1").size(), 2U);
  EXPECT_EQ(tasks("req-1")[1].state, TaskState::released);
  EXPECT_EQ(tasks("req-1")[1].attempt, Attempt(2));
  EXPECT_EQ(tasks("req-1")[0].state, TaskState::bound) << "the other is left alone";
}

TEST_F(ServiceJobLeaderTest, ADoneReplicaOfAnotherVersionRunsAgain) {
  machine("vm-1");
  begin();
  TaskRecord done;
  done.state = TaskState::done;
  done.attempt = Attempt(1);
  submit_with_tasks(testing::service_job("req-1", 2, 1), {done, done});
  run(Duration{12'000});
  EXPECT_FALSE(store_.get(keys::final_job(JobId("req-1")))) << "it leaves by cancellation alone";
  for (const TaskRecord& task : tasks("req-1")) EXPECT_EQ(task.state, TaskState::released);
}

TEST_F(ServiceJobLeaderTest, DoneReplicasInAllSlicesDoNotCompleteTheJob) {
  begin();
  const JobSpec spec = testing::service_job("req-1", kSliceTasks + 1, 0);
  for (std::uint32_t number = 0; number < slice_count(spec); ++number) {
    SliceRecord slice;
    slice.job_id = spec.job_id;
    slice.number = number;
    slice.tasks.resize(slice_size(spec, number));
    for (TaskRecord& task : slice.tasks) task.state = TaskState::done;
    store_.put(keys::slice(slice.job_id, number), encode(slice));
  }
  submit(spec);
  run(Duration{12'000});
  EXPECT_TRUE(store_.get(keys::job(spec.job_id)));
  EXPECT_FALSE(store_.get(keys::final_job(spec.job_id)));
}

TEST_F(ServiceJobLeaderTest, ACancelledServiceJobEndsOnceNoReplicaIsPlaced) {
  machine("vm-1");
  begin();
  const JobSpec spec = testing::service_job("req-1", 1, 1);
  submit_with_tasks(spec, {replica("vm-1")});
  run(Duration{500});
  store_.put(keys::job(spec.job_id), encode(JobRecord{spec, time_.wall(), time_.wall()}));
  run(Duration{2'000});
  EXPECT_FALSE(store_.get(keys::final_job(spec.job_id))) << "a replica is still there";
  set_task("req-1", TaskRecord{});
  run(Duration{2'000});
  ASSERT_TRUE(store_.get(keys::final_job(spec.job_id)));
  EXPECT_NE(store_.get(keys::final_job(spec.job_id))->value.find("cancelled"), std::string::npos);
}

TEST_F(ServiceJobLeaderTest, ReplicasAreEvictedAtOnceFromAReclaimedMachine) {
  machine("vm-1");
  machine_in_state("vm-2", MachineState::draining, time_.wall() + Duration{15'000});
  begin();
  submit_with_tasks(testing::service_job("req-1", 2, 1), {replica("vm-1"), replica("vm-2")});
  run(Duration{1'000});
  EXPECT_FALSE(tasks("req-1")[0].stop);
  ASSERT_TRUE(tasks("req-1")[1].stop);
  EXPECT_EQ(tasks("req-1")[1].stop->reason.get(), "the cloud takes its machine back");
  run(Duration{6'000});
  const auto stored_notes = notes("req-1");
  EXPECT_TRUE(std::any_of(stored_notes.begin(), stored_notes.end(), [](const std::string& note) {
    return note.find("takes its machine back") != std::string::npos;
  }));
}

// Without evictions a quarantined machine would never become empty, and would be paid for until the
// job is cancelled.
TEST_F(ServiceJobLeaderTest, ReplicasAreEvictedOneAtATimeFromAQuarantinedMachine) {
  machine("vm-1");
  machine_in_state("vm-2", MachineState::quarantined);
  begin();
  submit_with_tasks(testing::service_job("req-1", 2, 1), {replica("vm-2"), replica("vm-2")});
  run(Duration{3'000});
  EXPECT_EQ(count_stopping("req-1"), 1U) << "the service goes on with the other";
}

// A replica is down when its worker's lease ends. Its machine must be given up then, and not part
// of a lease later like other silent machines.
TEST_F(ServiceJobLeaderTest, ASilentMachineWithAReplicaIsDeletedAtLeaseExpiry) {
  const Duration lease_over =
      settings_.workers.lease - scaled(settings_.workers.heartbeat, kSilentHeartbeats);
  machine_in_state("vm-1", MachineState::silent);
  machine_in_state("vm-2", MachineState::silent);
  begin();
  submit_with_tasks(testing::service_job("req-1", 1, 1), {replica("vm-1")});
  set_task("req-2", bound("vm-2"));
  submit(testing::batch("req-2", 1, 1, 600));
  run(lease_over - Duration{1'000});
  EXPECT_TRUE(cloud_.deletion_requests.empty())
      << "until then it may come back, its replica running";
  run(Duration{3'500});
  EXPECT_EQ(cloud_.deletion_requests, std::vector<MachineId>{MachineId("vm-1")});
}

TEST(Evacuation, WaitsWhileAnotherReplicaIsDown) {
  Records records;
  MachineRecord quarantined;
  quarantined.machine_id = MachineId("vm-1");
  quarantined.state = MachineState::quarantined;
  records.machines[quarantined.machine_id] = {quarantined, ModRevision(1)};
  const JobSpec spec = testing::service_job("req-1", 2, 1);
  records.jobs[spec.job_id] = {JobRecord{spec, {}, std::nullopt}, ModRevision(1)};
  SliceRecord slice;
  slice.job_id = spec.job_id;
  slice.tasks = {running_since(from_unix_milliseconds(1'000)), TaskRecord{}};
  records.slices[{spec.job_id, 0}] = {slice, ModRevision(1)};
  records.placed[quarantined.machine_id][{spec.job_id, 0}] = Attempt(1);
  EXPECT_TRUE(find_evacuations(records, WallTime{Duration{5'000}}).empty());
  records.slices[{spec.job_id, 0}].record.tasks[1] = running_since(from_unix_milliseconds(1'000));
  records.slices[{spec.job_id, 0}].record.tasks[1].machine_id = MachineId("vm-2");
  EXPECT_EQ(find_evacuations(records, WallTime{Duration{5'000}}).size(), 1U);
  records.jobs[spec.job_id].record.cancelled = WallTime{Duration{4'000}};
  EXPECT_TRUE(find_evacuations(records, WallTime{Duration{5'000}}).empty())
      << "its stops are under way";
}

}  // namespace
}  // namespace marblevale
