// What reports prove: late starts, repeated starts, late reports, lapsed epochs.
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

TaskPresence look(const WorkerStatus& view) {
  return classify_presence(kTask, bound(), view, FencingToken(kToken));
}

TEST(TaskPresence, AHeartbeatWithoutTheTaskProvesNothingBeforeTheWorkerSawOurWarrant) {
  // An earlier holder's start may still be on its way to the worker.
  WorkerStatus view;
  view.apply(heartbeat(1, 5, kToken - 1));
  EXPECT_EQ(look(view), TaskPresence::not_reported);
  view.apply(heartbeat(1, 6, kToken));
  EXPECT_EQ(look(view), TaskPresence::never_started);
}

TEST(TaskPresence, ADirectStartCanArriveLateUntilAHigherWarrantIsSeen) {
  WorkerStatus view;
  view.apply(heartbeat(1, 5, kToken));
  view.direct_starts[{kTask, Attempt(2)}] = FencingToken(kToken);
  view.apply(heartbeat(1, 6, kToken));
  view.prune();
  EXPECT_EQ(look(view), TaskPresence::not_reported);
  view.apply(heartbeat(1, 7, kToken + 1));
  view.prune();
  EXPECT_EQ(classify_presence(kTask, bound(), view, FencingToken(kToken + 1)),
            TaskPresence::never_started);
}

TEST(TaskPresence, AStartInAnAnswerIsSettledByTheNextHeartbeat) {
  WorkerStatus view;
  view.apply(heartbeat(1, 5, kToken));
  view.reply_starts[{kTask, Attempt(2)}] = HeartbeatSequence(5);
  EXPECT_EQ(look(view), TaskPresence::not_reported);
  view.apply(heartbeat(1, 6, kToken));
  EXPECT_EQ(look(view), TaskPresence::never_started);
}

TEST(TaskPresence, ANewEpochIsProofAndALateHeartbeatOfTheOldOneIsDropped) {
  WorkerStatus view;
  EXPECT_TRUE(view.apply(heartbeat(
      1, 5, kToken, {{kTask, Attempt(2), TaskStatus::running, TaskEndCause::unspecified, false}})));
  EXPECT_EQ(look(view), TaskPresence::present);
  EXPECT_TRUE(view.apply(heartbeat(2, 6, kToken)));
  EXPECT_EQ(look(view), TaskPresence::lost);
  EXPECT_FALSE(view.apply(heartbeat(
      1, 9, kToken, {{kTask, Attempt(2), TaskStatus::running, TaskEndCause::unspecified, false}})));
  EXPECT_EQ(look(view), TaskPresence::lost);
}

TEST(TaskPresence, AnOlderTallyIsDropped) {
  WorkerStatus view;
  view.apply(heartbeat(
      1, 8, kToken, {{kTask, Attempt(2), TaskStatus::running, TaskEndCause::unspecified, false}}));
  EXPECT_FALSE(view.apply(heartbeat(1, 7, kToken)));
  EXPECT_EQ(look(view), TaskPresence::present);
}

TEST(TaskPresence, AnotherAttemptOfTheTaskIsNotThisOne) {
  WorkerStatus view;
  view.apply(heartbeat(1, 5, kToken,
                       {{kTask, Attempt(1), TaskStatus::ended, TaskEndCause::gang_ended, false}}));
  EXPECT_EQ(look(view), TaskPresence::never_started);
}

TEST(TaskPresence, SilenceProvesNothing) {
  EXPECT_EQ(look(WorkerStatus{}), TaskPresence::not_reported);
}

TEST(TaskEnd, SavedProgressIsKeptAndALostTaskFallsBackToItsSnapshot) {
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

}  // namespace
}  // namespace marblevale
