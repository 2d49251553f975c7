// What heartbeats prove about a task: delayed and duplicated starts, delayed heartbeats, new
// epochs.
#include "shards/task_presence.hpp"

#include "support/helpers.hpp"

namespace marblevale {
namespace {

constexpr std::uint64_t kToken = 10;
const TaskId kTask{JobId("req-1"), 0};

TaskRecord bound_task() {
  TaskRecord task;
  task.state = TaskState::bound;
  task.attempt = Attempt(2);
  task.zone = ZoneId("a");
  task.machine_id = MachineId("vm-1");
  task.epoch = WorkerEpoch(1);
  return task;
}

WorkerHeartbeat heartbeat(std::uint64_t epoch, std::uint64_t sequence, std::uint64_t token,
                          std::vector<ReportedTask> tasks = {}) {
  WorkerHeartbeat message;
  message.machine_id = MachineId("vm-1");
  message.epoch = WorkerEpoch(epoch);
  message.sequence = HeartbeatSequence(sequence);
  message.token = FencingToken(token);
  message.tasks = std::move(tasks);
  return message;
}

TaskPresence presence_in(const WorkerStatus& status) {
  return classify_presence(kTask, bound_task(), status, FencingToken(kToken));
}

TEST(TaskPresence, AnAbsentTaskIsNoEvidenceBeforeTheWorkerSawOurFencingToken) {
  // An earlier holder's start may still be on its way to the worker.
  WorkerStatus status;
  status.apply(heartbeat(1, 5, kToken - 1));
  EXPECT_EQ(presence_in(status), TaskPresence::not_reported);
  status.apply(heartbeat(1, 6, kToken));
  EXPECT_EQ(presence_in(status), TaskPresence::never_started);
}

TEST(TaskPresence, ADirectStartCanBeDelayedUntilAHigherFencingTokenIsSeen) {
  WorkerStatus status;
  status.apply(heartbeat(1, 5, kToken));
  status.direct_starts[{kTask, Attempt(2)}] = FencingToken(kToken);
  status.apply(heartbeat(1, 6, kToken));
  status.prune();
  EXPECT_EQ(presence_in(status), TaskPresence::not_reported);
  status.apply(heartbeat(1, 7, kToken + 1));
  status.prune();
  EXPECT_EQ(classify_presence(kTask, bound_task(), status, FencingToken(kToken + 1)),
            TaskPresence::never_started);
}

TEST(TaskPresence, AStartInAHeartbeatReplyIsResolvedByTheNextHeartbeat) {
  WorkerStatus status;
  status.apply(heartbeat(1, 5, kToken));
  status.reply_starts[{kTask, Attempt(2)}] = HeartbeatSequence(5);
  EXPECT_EQ(presence_in(status), TaskPresence::not_reported);
  status.apply(heartbeat(1, 6, kToken));
  EXPECT_EQ(presence_in(status), TaskPresence::never_started);
}

TEST(TaskPresence, ANewEpochIsEvidenceAndADelayedHeartbeatOfTheOldOneIsDropped) {
  WorkerStatus status;
  EXPECT_TRUE(status.apply(heartbeat(
      1, 5, kToken, {{kTask, Attempt(2), TaskStatus::running, TaskEndCause::unspecified, false}})));
  EXPECT_EQ(presence_in(status), TaskPresence::present);
  EXPECT_TRUE(status.apply(heartbeat(2, 6, kToken)));
  EXPECT_EQ(presence_in(status), TaskPresence::lost);
  EXPECT_FALSE(status.apply(heartbeat(
      1, 9, kToken, {{kTask, Attempt(2), TaskStatus::running, TaskEndCause::unspecified, false}})));
  EXPECT_EQ(presence_in(status), TaskPresence::lost);
}

TEST(TaskPresence, AnOlderSequenceNumberIsDropped) {
  WorkerStatus status;
  status.apply(heartbeat(
      1, 8, kToken, {{kTask, Attempt(2), TaskStatus::running, TaskEndCause::unspecified, false}}));
  EXPECT_FALSE(status.apply(heartbeat(1, 7, kToken)));
  EXPECT_EQ(presence_in(status), TaskPresence::present);
}

TEST(TaskPresence, AReportOfAnotherAttemptIsIgnored) {
  WorkerStatus status;
  status.apply(heartbeat(
      1, 5, kToken, {{kTask, Attempt(1), TaskStatus::ended, TaskEndCause::gang_ended, false}}));
  EXPECT_EQ(presence_in(status), TaskPresence::never_started);
}

TEST(TaskPresence, NoHeartbeatIsNoEvidence) {
  EXPECT_EQ(presence_in(WorkerStatus{}), TaskPresence::not_reported);
}

TEST(TaskEnd, SavedProgressIsKeptAndALostTaskResumesFromItsCheckpoint) {
  const JobSpec job = testing::gang("req-1", 1, 1, 100);  // writes a checkpoint every 10 s
  TaskRecord task = bound_task();
  task.running_since = testing::at(1);
  apply_task_end(task, job, TaskEndCause::preempted, true, testing::at(36));
  EXPECT_EQ(task.state, TaskState::idle);
  EXPECT_EQ(task.progress, from_seconds(35));
  task = bound_task();
  task.running_since = testing::at(1);
  apply_task_end(task, job, TaskEndCause::machine_gone, false, testing::at(36));
  EXPECT_EQ(task.progress, from_seconds(30));
  task = bound_task();
  apply_task_end(task, job, TaskEndCause::completed, false, testing::at(36));
  EXPECT_EQ(task.state, TaskState::done);
  EXPECT_EQ(task.attempt, Attempt(2));
}

TEST(TaskPresence, AHeartbeatOfAnEarlierEpochIsNoEvidence) {
  TaskRecord task;
  task.state = TaskState::bound;
  task.attempt = Attempt(2);
  task.epoch = WorkerEpoch(3);
  WorkerHeartbeat heartbeat;
  heartbeat.epoch = WorkerEpoch(2);
  heartbeat.sequence = HeartbeatSequence(900);
  heartbeat.token = FencingToken(10);
  WorkerStatus status;
  status.apply(heartbeat);
  EXPECT_EQ(classify_presence({JobId("req-1"), 0}, task, status, FencingToken(10)),
            TaskPresence::not_reported);
}

}  // namespace
}  // namespace marblevale
