// The order of the queue by urgency, guarantee and overdue jobs, and the backoff of failing jobs.
#include "scheduling/job_queue.hpp"

#include "support/helpers.hpp"

namespace marblevale {
namespace {

using testing::at;
using testing::gang;
using testing::item;

TEST(JobQueue, OrderIsUrgencyThenGuaranteeThenShortestThenAcceptance) {
  JobSpec urgent = gang("req-u", 1, 1, 500);
  urgent.urgency = Urgency::urgent;
  const JobSpec within = gang("req-g", 1, 1, 400);
  const JobSpec brief = gang("req-s", 1, 1, 10);
  const JobSpec lengthy = gang("req-l", 1, 1, 20);
  auto g = item(within, 1);
  g.guaranteed = true;
  std::vector<QueueItem> queue{item(lengthy, 2), item(brief, 3), g, item(urgent, 4)};
  std::sort(queue.begin(), queue.end(), has_higher_priority);
  EXPECT_EQ(queue[0].job_id, urgent.job_id);
  EXPECT_EQ(queue[1].job_id, within.job_id);
  EXPECT_EQ(queue[2].job_id, brief.job_id);
  EXPECT_EQ(queue[3].job_id, lengthy.job_id);
}

TEST(JobQueue, AnOverdueJobThatNeverStartedRanksFirst) {
  Records records;
  Settings settings;
  Objective wait;
  wait.job_class = "solve";
  wait.within = from_seconds(60);
  settings.objectives = {wait};
  settings.zones = {ZoneId("a")};
  const auto add = [&](const std::string& job_id, double accepted) {
    JobRecord job{gang(job_id, 8, 2, 150), at(accepted), std::nullopt};
    records.jobs[JobId(job_id)] = {job, ModRevision(1)};
  };
  add("req-old", 0);    // missed its objective, and has never begun
  add("req-begun", 1);  // missed its objective, but has run before
  add("req-new", 190);
  SliceRecord slice;
  slice.job_id = JobId("req-begun");
  slice.tasks.resize(8);
  for (TaskRecord& task : slice.tasks) task.attempt = Attempt(1);
  records.slices[{slice.job_id, 0}] = {slice, ModRevision(2)};
  auto queue = build_queue(records, {}, settings, at(200), false);
  std::sort(queue.begin(), queue.end(), has_higher_priority);
  ASSERT_EQ(queue.size(), 3U);
  EXPECT_EQ(queue[0].job_id.get(), "req-old");
  EXPECT_EQ(queue[1].job_id.get(), "req-new");
  EXPECT_EQ(queue[2].job_id.get(), "req-begun");
  // An overdue job of low urgency ranks before standard jobs that are not overdue.
  records.jobs[JobId("req-old")].record.spec.urgency = Urgency::low;
  queue = build_queue(records, {}, settings, at(200), false);
  std::sort(queue.begin(), queue.end(), has_higher_priority);
  EXPECT_EQ(queue[0].job_id.get(), "req-old");
  queue = build_queue(records, {}, settings, at(100), false);
  std::sort(queue.begin(), queue.end(), has_higher_priority);
  EXPECT_EQ(queue[2].job_id.get(), "req-old") << "not yet";
}

// When one task of a gang fails, the other tasks end without a fault of their own. If the gang
// followed their backoff, a gang that fails on every machine would start again without a pause (13
// times in 90 s).
TEST(JobQueue, AGangWaitsForTheBackoffOfItsFailedTask) {
  Records records;
  Settings settings;
  settings.zones = {ZoneId("a")};
  const JobRecord job{gang("req-1", 2, 1, 60), at(0), std::nullopt};
  records.jobs[job.spec.job_id] = {job, ModRevision(1)};
  SliceRecord slice;
  slice.job_id = job.spec.job_id;
  slice.tasks.resize(2);
  for (TaskRecord& task : slice.tasks) {
    task.attempt = Attempt(4);
    task.since = at(100);
  }
  slice.tasks[0].failure_count = 4;
  const auto queue_at = [&](double now) {
    records.slices[{slice.job_id, 0}] = {slice, ModRevision(2)};
    return build_queue(records, {}, settings, at(now), false);
  };
  auto queue = queue_at(105);
  ASSERT_EQ(queue.size(), 1U);
  EXPECT_EQ(queue[0].not_before, at(130));
  // The other task ended a moment later. The backoff counts from the failure, in either order of
  // the tasks.
  std::swap(slice.tasks[0], slice.tasks[1]);
  slice.tasks[0].since = at(100.5);
  queue = queue_at(105);
  EXPECT_EQ(queue[0].not_before, at(130));
  // After the backoff the gang is queued as a whole.
  queue = queue_at(131);
  ASSERT_EQ(queue.size(), 1U);
  EXPECT_LE(queue[0].not_before, at(131));
  EXPECT_EQ(queue[0].demand.tasks, 2U) << "a gang places all its tasks, so they are not listed";
  EXPECT_TRUE(queue[0].task_indices.empty());
}

// A list of the tasks of each waiting gang in each round would take 400 kB for each of the widest.
TEST(JobQueue, AWideGangThatWaitsListsNoTasks) {
  Records records;
  const JobSpec spec = testing::gang("req-1", 100'000, 1, 60);
  records.jobs[spec.job_id].record.spec = spec;
  Settings settings;
  settings.zones = {ZoneId("a")};
  const auto queue = build_queue(records, {}, settings, at(1), false);
  ASSERT_EQ(queue.size(), 1U);
  EXPECT_EQ(queue[0].demand.tasks, 100'000U);
  EXPECT_EQ(queue[0].task_indices.capacity(), 0U);
}

// With a backoff per task, an array of 14 tasks that fails on every machine failed 68 times in 90
// s.
TEST(JobQueue, AnArrayThatFailsOnEveryMachineRetriesOneTaskAtATime) {
  Records records;
  Settings settings;
  settings.zones = {ZoneId("a")};
  JobSpec spec = gang("req-1", 6, 1, 60);
  spec.shape = JobShape::array;
  const JobRecord job{spec, at(0), std::nullopt};
  records.jobs[spec.job_id] = {job, ModRevision(1)};
  SliceRecord slice;
  slice.job_id = spec.job_id;
  slice.tasks.resize(6);
  const auto fail = [&](std::size_t i, const char* machine_id) {
    TaskRecord& task = slice.tasks[i];
    task.attempt = Attempt(1);
    task.since = at(100);
    ++task.failure_count;
    task.failed_on = MachineId(machine_id);
  };
  const auto queue = [&](double now) {
    records.slices[{slice.job_id, 0}] = {slice, ModRevision(2)};
    return build_queue(records, {}, settings, at(now), false);
  };
  fail(0, "vm-1");
  fail(1, "vm-2");
  fail(2, "vm-2");
  EXPECT_EQ(queue(101).at(0).task_indices.size(), 6U) << "two machines may be faulty";
  fail(2, "vm-3");
  ASSERT_EQ(queue(101).size(), 1U);
  EXPECT_EQ(queue(101)[0].task_indices, (std::vector<std::uint32_t>{2}));
  EXPECT_EQ(queue(101)[0].not_before, at(104));
  // While one task runs, the others wait.
  TaskRecord& trying = slice.tasks[2];
  trying.state = TaskState::bound;
  trying.running_since = at(105);
  EXPECT_TRUE(queue(106).empty());
  // Once the task has run long enough, all other tasks are queued.
  EXPECT_EQ(queue(110).at(0).task_indices, (std::vector<std::uint32_t>{0, 1, 3, 4, 5}));
  trying.state = TaskState::done;
  EXPECT_EQ(queue(110).at(0).task_indices.size(), 5U);
}

// A job that failed repeatedly without progress on any machine is faulty itself; its machines are
// not.
TEST(JobQueue, AJobThatFailedRepeatedlyWithoutProgressIsFailing) {
  Records records;
  records.jobs[JobId("req-1")] = {JobRecord{gang("req-1", 1, 1, 100), at(0), std::nullopt},
                                  ModRevision(1)};
  Settings settings;
  settings.zones = {ZoneId("a")};
  SliceRecord slice;
  slice.job_id = JobId("req-1");
  slice.tasks.resize(1);
  slice.tasks[0].attempt = Attempt(4);
  const auto failing = [&] {
    records.slices[{slice.job_id, 0}] = {slice, ModRevision(2)};
    return build_queue(records, {}, settings, at(900), false).at(0).failing;
  };
  slice.tasks[0].failure_count = 2;
  EXPECT_FALSE(failing());
  slice.tasks[0].failure_count = 3;
  EXPECT_TRUE(failing());
  slice.tasks[0].progress = from_seconds(10);  // it has saved progress
  EXPECT_FALSE(failing());
}

TEST(JobQueue, AServiceJobIsNotPackedIntoOneZoneWhileWritesAreLimited) {
  Records records;
  Settings settings;
  settings.zones = {ZoneId("a"), ZoneId("b")};
  const JobSpec spec = testing::service_job("req-1", 3, 0);
  records.jobs[spec.job_id] = {JobRecord{spec, {}, std::nullopt}, ModRevision(1)};
  const auto queue = build_queue(records, {}, settings, WallTime{Duration{1'000}}, true);
  ASSERT_EQ(queue.size(), 1U);
  EXPECT_FALSE(queue[0].demand.preferred_zone);
}

}  // namespace
}  // namespace marblevale
