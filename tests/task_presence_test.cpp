// What heartbeats prove about a task: delayed and duplicated starts, delayed heartbeats, new
// epochs.
#include "shards/task_presence.hpp"

#include "support/helpers.hpp"

namespace marblevale {
namespace {

constexpr std::uint64_t kToken = 10;
const TaskId kTask{JobId("req-1"), 0};

TaskRecord bound() {
  TaskRecord task;
  task.state = TaskState::bound;
  task.attempt = Attempt(2);
  task.zone = ZoneId("a");
  task.machine_id = MachineId("vm-1");
  task.epoch = WorkerEpoch(1);
  return task;
}

WorkerHeartbeat heartbeat(std::uint64_t epoch, std::uint64_t sequence, std::uint64_t token,
                          std::vector<ReportedTask> parts = {}) {
  WorkerHeartbeat r;
  r.machine_id = MachineId("vm-1");
  r.epoch = WorkerEpoch(epoch);
  r.sequence = HeartbeatSequence(sequence);
  r.token = FencingToken(token);
  r.tasks = std::move(parts);
  return r;
}

TaskPresence presence_in(const WorkerStatus& view) {
  return classify_presence(kTask, bound(), view, FencingToken(kToken));
}

TEST(TaskPresence, AnAbsentTaskIsNoEvidenceBeforeTheWorkerSawOurFencingToken) {
  // An earlier holder's start may still be on its way to the worker.
  WorkerStatus view;
  view.apply(heartbeat(1, 5, kToken - 1));
  EXPECT_EQ(presence_in(view), TaskPresence::not_reported);
  view.apply(heartbeat(1, 6, kToken));
  EXPECT_EQ(presence_in(view), TaskPresence::never_started);
}

TEST(TaskPresence, ADirectStartCanBeDelayedUntilAHigherFencingTokenIsSeen) {
  WorkerStatus view;
  view.apply(heartbeat(1, 5, kToken));
  view.direct_starts[{kTask, Attempt(2)}] = FencingToken(kToken);
  view.apply(heartbeat(1, 6, kToken));
  view.prune();
  EXPECT_EQ(presence_in(view), TaskPresence::not_reported);
  view.apply(heartbeat(1, 7, kToken + 1));
  view.prune();
  EXPECT_EQ(classify_presence(kTask, bound(), view, FencingToken(kToken + 1)),
            TaskPresence::never_started);
}

TEST(TaskPresence, AStartInAHeartbeatAnswerIsResolvedByTheNextHeartbeat) {
  WorkerStatus view;
  view.apply(heartbeat(1, 5, kToken));
  view.reply_starts[{kTask, Attempt(2)}] = HeartbeatSequence(5);
  EXPECT_EQ(presence_in(view), TaskPresence::not_reported);
  view.apply(heartbeat(1, 6, kToken));
  EXPECT_EQ(presence_in(view), TaskPresence::never_started);
}

TEST(TaskPresence, ANewEpochIsEvidenceAndADelayedHeartbeatOfTheOldOneIsDropped) {
  WorkerStatus view;
  EXPECT_TRUE(view.apply(heartbeat(
      1, 5, kToken, {{kTask, Attempt(2), TaskStatus::running, TaskEndCause::unspecified, false}})));
  EXPECT_EQ(presence_in(view), TaskPresence::present);
  EXPECT_TRUE(view.apply(heartbeat(2, 6, kToken)));
  EXPECT_EQ(presence_in(view), TaskPresence::lost);
  EXPECT_FALSE(view.apply(heartbeat(
      1, 9, kToken, {{kTask, Attempt(2), TaskStatus::running, TaskEndCause::unspecified, false}})));
  EXPECT_EQ(presence_in(view), TaskPresence::lost);
}

TEST(TaskPresence, AnOlderSequenceNumberIsDropped) {
  WorkerStatus view;
  view.apply(heartbeat(
      1, 8, kToken, {{kTask, Attempt(2), TaskStatus::running, TaskEndCause::unspecified, false}}));
  EXPECT_FALSE(view.apply(heartbeat(1, 7, kToken)));
  EXPECT_EQ(presence_in(view), TaskPresence::present);
}

TEST(TaskPresence, AnotherAttemptOfTheTaskIsNotThisOne) {
  WorkerStatus view;
  view.apply(heartbeat(1, 5, kToken,
                       {{kTask, Attempt(1), TaskStatus::ended, TaskEndCause::gang_ended, false}}));
  EXPECT_EQ(presence_in(view), TaskPresence::never_started);
}

TEST(TaskPresence, NoHeartbeatIsNoEvidence) {
  EXPECT_EQ(presence_in(WorkerStatus{}), TaskPresence::not_reported);
}

TEST(TaskEnd, SavedProgressIsKeptAndALostTaskResumesFromItsCheckpoint) {
  const JobSpec job = testing::gang("req-1", 1, 1, 100);  // saves every 10 s
  TaskRecord task = bound();
  task.running = testing::at(1);
  apply_task_end(task, job, TaskEndCause::preempted, true, testing::at(36));
  EXPECT_EQ(task.state, TaskState::idle);
  EXPECT_EQ(task.progress, from_seconds(35));
  task = bound();
  task.running = testing::at(1);
  apply_task_end(task, job, TaskEndCause::machine_gone, false, testing::at(36));
  EXPECT_EQ(task.progress, from_seconds(30));
  task = bound();
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
  WorkerStatus view;
  view.apply(heartbeat);
  EXPECT_EQ(classify_presence({JobId("req-1"), 0}, task, view, FencingToken(10)),
            TaskPresence::not_reported);
}

}  // namespace
}  // namespace marblevale
