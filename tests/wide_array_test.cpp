// Arrays and services of more tasks than are queued at the same time, with a placed task in the
// last slice. Guards against decisions about a job from only the first of its slices.
#include "api/job_explanation.hpp"
#include "scheduling/job_queue.hpp"
#include "scheduling/starvation.hpp"
#include "scheduling/task_scan.hpp"
#include "support/event_queue.hpp"
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

using testing::at;

JobSpec wide_array(std::uint32_t tasks) {
  JobSpec job = testing::batch("req-1", tasks, 0, 100);
  job.need = {0.001, 0, 0.0001};
  return job;
}

/// An idle task that has run before.
TaskRecord idle_task() {
  TaskRecord task;
  task.attempt = Attempt(1);
  return task;
}

TaskRecord task_in_zone(const std::string& zone) {
  TaskRecord task = testing::bound_task("vm-" + zone);
  task.zone = ZoneId(zone);
  return task;
}

/// Slice `number` of the job, with all its tasks idle.
SliceRecord idle_slice(const JobSpec& job, std::uint32_t number) {
  SliceRecord slice;
  slice.job_id = job.job_id;
  slice.number = number;
  slice.tasks.assign(slice_size(job, number), idle_task());
  return slice;
}

/// The last slice of the job, with all its tasks idle.
SliceRecord last_slice(const JobSpec& job) { return idle_slice(job, slice_count(job) - 1); }

/// The last slice of the job, with the last task placed in the zone.
SliceRecord last_slice_placed_in(const JobSpec& job, const std::string& zone) {
  SliceRecord slice = last_slice(job);
  slice.tasks.back() = task_in_zone(zone);
  return slice;
}

/// The number of slices whose tasks fill the queue.
constexpr std::uint32_t kQueuedSlices = kMaxQueuedTasks / kSliceTasks;

/// Runs each test with 300 to 100,000 tasks.
class WideArrayQueue : public ::testing::TestWithParam<std::uint32_t> {
 protected:
  WideArrayQueue() { settings_.zones = {ZoneId("a"), ZoneId("b")}; }

  void put(const SliceRecord& slice) {
    records_.slices[{slice.job_id, slice.number}] = {slice, ModRevision(2)};
  }
  void add_job(const JobSpec& spec) {
    records_.jobs[spec.job_id] = {JobRecord{spec, at(0), std::nullopt}, ModRevision(1)};
  }
  /// Records that each task which is queued first failed `faults` times, last at `since` seconds.
  void fail_first_tasks(std::uint32_t faults, double since) {
    for (std::uint32_t number = 0; number < kQueuedSlices; ++number) {
      SliceRecord slice = idle_slice(job_, number);
      for (TaskRecord& task : slice.tasks) {
        task.failure_count = faults;
        task.failed_on = MachineId("vm-1");
        task.since = at(since);
      }
      put(slice);
    }
  }
  [[nodiscard]] std::optional<QueueItem> item(double now, const PendingSlices& pending = {}) const {
    return make_queue_item(job_.job_id, *records_.job(job_.job_id), records_, pending, at(now));
  }

  static TaskRecord random_task(testing::RandomSource& random) {
    TaskRecord task =
        random.chance(0.5) ? idle_task() : task_in_zone(random.chance(0.5) ? "a" : "b");
    if (random.chance(0.01)) task.state = TaskState::done;
    if (random.chance(0.02)) task.failure_count = 1;
    if (task.placed() && random.chance(0.5)) task.running_since = at(99);
    return task;
  }
  static std::map<ZoneId, std::uint32_t> placed_of(const QueueItem& item) {
    std::map<ZoneId, std::uint32_t> out;
    for (const ZoneTaskCount& placed : item.demand.placed_tasks) out[placed.zone] = placed.tasks;
    return out;
  }

  JobSpec job_ = wide_array(GetParam());
  Records records_;
  Settings settings_;
};

TEST_P(WideArrayQueue, TheZoneOfATaskInTheLastSliceBindsTheOthers) {
  job_.single_zone = true;
  add_job(job_);
  put(last_slice_placed_in(job_, "b"));
  const auto waiting = item(10);
  ASSERT_TRUE(waiting);
  EXPECT_EQ(waiting->demand.zone, ZoneId("b"));
  EXPECT_EQ(waiting->demand.tasks, std::min<std::uint32_t>(kMaxQueuedTasks, GetParam() - 1));
  EXPECT_EQ(waiting->task_indices.front(), 0U);
}

TEST_P(WideArrayQueue, AnOpenReleaseOfTheLastSliceBindsTheOthers) {
  job_.single_zone = true;
  add_job(job_);
  put(idle_slice(job_, 0));
  const SliceRecord released = last_slice_placed_in(job_, "b");
  const PendingSlices pending{{{job_.job_id, released.number}, PendingSlice(&released)}};
  ASSERT_TRUE(item(10, pending));
  EXPECT_EQ(item(10, pending)->demand.zone, ZoneId("b"));
  put(last_slice(job_));  // the open change replaces the record
  EXPECT_EQ(item(10, pending)->demand.zone, ZoneId("b"));
  EXPECT_EQ(item(10)->demand.zone, std::nullopt);
}

TEST_P(WideArrayQueue, ReplicasInTheLastSliceCountForSpreading) {
  job_ = testing::service_job("req-1", GetParam(), 0);
  job_.spread_zones = true;
  add_job(job_);
  SliceRecord last = last_slice(job_);
  last.tasks.assign(last.tasks.size(), task_in_zone("a"));
  put(last);
  const auto waiting = item(10);
  ASSERT_TRUE(waiting);
  ASSERT_EQ(waiting->demand.placed_tasks.size(), 1U);
  EXPECT_EQ(waiting->demand.placed_tasks[0].zone, ZoneId("a"));
  EXPECT_EQ(waiting->demand.placed_tasks[0].tasks, last.tasks.size());
}

TEST_P(WideArrayQueue, WhileWritesAreShortTheZoneOfTheLastSliceIsPreferred) {
  add_job(job_);
  for (const char* zone : {"a", "b"}) {
    put(last_slice_placed_in(job_, zone));
    const auto queue = build_queue(records_, {}, settings_, at(10), true);
    ASSERT_EQ(queue.size(), 1U);
    EXPECT_EQ(queue[0].demand.preferred_zone, ZoneId(zone));
  }
}

TEST_P(WideArrayQueue, AJobWhoseLastSliceHasBegunIsNotOverdue) {
  add_job(job_);
  EXPECT_TRUE(item(200)->overdue);
  put(last_slice(job_));
  EXPECT_FALSE(item(200)->overdue);
}

TEST_P(WideArrayQueue, ATaskOfTheLastSliceThatWorkedShowsThatTheJobWorks) {
  add_job(job_);
  fail_first_tasks(3, 0);
  EXPECT_TRUE(item(900)->failing);
  SliceRecord last = last_slice(job_);
  last.tasks.back().state = TaskState::done;
  put(last);
  EXPECT_FALSE(item(900)->failing);
}

TEST_P(WideArrayQueue, FailuresInTheLastSliceShowThatTheJobFails) {
  add_job(job_);
  SliceRecord last = last_slice(job_);
  for (std::size_t i = 0; i < 3; ++i) {
    last.tasks[i].failure_count = 1;
    last.tasks[i].failed_on = MachineId("vm-" + std::to_string(i));
  }
  put(last);
  ASSERT_TRUE(item(900));
  EXPECT_TRUE(item(900)->failing);
  EXPECT_EQ(item(900)->task_indices.size(), 1U) << "one task at a time until one works";
  last.tasks.back() = task_in_zone("a");
  put(last);
  EXPECT_FALSE(item(900)) << "while one task runs, the others wait";
}

TEST_P(WideArrayQueue, AReadyTaskDoesNotWaitForTheBackoffOfEarlierOnes) {
  for (std::uint32_t number = 0; number < slice_count(job_); ++number) {
    SliceRecord slice = idle_slice(job_, number);
    slice.tasks.assign(slice.tasks.size(), task_in_zone("a"));
    put(slice);
  }
  add_job(job_);
  fail_first_tasks(4, 100);
  SliceRecord last = last_slice(job_);
  last.tasks.front().progress = from_seconds(10);
  put(last);
  const auto waiting = item(101);
  ASSERT_TRUE(waiting);
  EXPECT_LE(waiting->not_before, at(101));
  EXPECT_EQ(waiting->task_indices.front(), last.first_task_index());
  json::Document why;
  ASSERT_TRUE(json::parse(why, explain_job(records_, *records_.job(job_.job_id), at(101))));
  EXPECT_EQ(json::number(why, "retry_in_s"), 0.0);
}

TEST_P(WideArrayQueue, AnUnreadableSliceKeepsAJobThatIsBoundToAZoneWaiting) {
  add_job(job_);
  records_.unreadable.insert(keys::slice(job_.job_id, slice_count(job_) - 1));
  EXPECT_TRUE(item(10)) << "its tasks may be anywhere";
  for (bool JobSpec::*const constraint : {&JobSpec::single_zone, &JobSpec::spread_zones}) {
    JobSpec constrained = job_;
    constrained.*constraint = true;
    add_job(constrained);
    EXPECT_FALSE(item(10));
  }
}

// Slices are released in any order, so a slice without a record may come before a placed one.
TEST_P(WideArrayQueue, StarvationSeesThePlacedTaskOfTheLastSlice) {
  MachineType type;
  type.name = "g8";
  type.resources = {96, 8, 768};
  records_.types = Versioned<std::vector<MachineType>>{{type}, ModRevision(1)};
  records_.machines[MachineId("vm-2")] = {testing::machine_record("vm-2", at(0), "b"),
                                          ModRevision(1)};
  job_.single_zone = true;
  add_job(job_);
  const auto find = [&] {
    return find_starved(records_, settings_, at(100), Duration{30'000}, Duration{60'000}, 32);
  };
  EXPECT_EQ(find().size(), 1U);
  put(last_slice_placed_in(job_, "a"));
  EXPECT_TRUE(find().empty()) << "room is in the other zone only";
  put(last_slice_placed_in(job_, "b"));
  EXPECT_EQ(find().size(), 1U);
}

// The cache must not hide a change of a slice.
TEST_P(WideArrayQueue, CachedSummariesEqualThoseReadAnew) {
  job_.spread_zones = true;
  add_job(job_);
  testing::RandomSource random(GetParam());
  SliceSummaryCache cache;
  SliceRecord open_slice;
  std::uint64_t revision = 2;
  for (int change = 0; change < 200; ++change) {
    SliceRecord slice =
        idle_slice(job_, static_cast<std::uint32_t>(random.between(0, slice_count(job_) - 1)));
    for (TaskRecord& task : slice.tasks) task = random_task(random);
    PendingSlices pending;
    ++revision;
    if (random.chance(0.5)) {
      records_.slices[{slice.job_id, slice.number}] = {slice, ModRevision(revision)};
    } else {
      open_slice = slice;
      pending.emplace(SliceKey{slice.job_id, slice.number}, PendingSlice(&open_slice, revision));
    }
    const auto anew = build_queue(records_, pending, settings_, at(100), false);
    const auto cached = build_queue(records_, pending, settings_, at(100), false, &cache);
    ASSERT_EQ(cached.size(), anew.size()) << "change " << change;
    if (anew.empty()) continue;
    EXPECT_EQ(cached[0].task_indices, anew[0].task_indices);
    EXPECT_EQ(cached[0].not_before, anew[0].not_before);
    EXPECT_EQ(cached[0].failing, anew[0].failing);
    EXPECT_EQ(cached[0].overdue, anew[0].overdue);
    EXPECT_EQ(cached[0].demand.run, anew[0].demand.run);
    EXPECT_EQ(placed_of(cached[0]), placed_of(anew[0]));
  }
}

INSTANTIATE_TEST_SUITE_P(Tasks, WideArrayQueue, ::testing::Values(300, 5'000, 100'000));

/// The leader begins with the records of an earlier leader.
class WideArrayLeader : public testing::LeaderLoopTest,
                        public ::testing::WithParamInterface<std::uint32_t> {
 protected:
  WideArrayLeader() { use_two_zones(); }

  void put_idle_slices(const JobSpec& job) {
    for (std::uint32_t number = 0; number < kQueuedSlices; ++number) {
      testing::put_slice(store_, idle_slice(job, number));
    }
  }

  /// The placed tasks of req-1 by zone.
  [[nodiscard]] std::map<ZoneId, std::size_t> placed_by_zone() const {
    std::map<ZoneId, std::size_t> out;
    for_each_slice(cache_.records(), JobId("req-1"), [&](const Versioned<SliceRecord>& slice) {
      for (const TaskRecord& task : slice.record.tasks) {
        if (task.placed()) ++out[task.zone];
      }
    });
    return out;
  }
};

// An array that must stay in one zone lost a machine, and its first 256 tasks started in another
// zone while later ones ran in the first.
TEST_P(WideArrayLeader, LostTasksStartInTheZoneOfTheOthers) {
  JobSpec job = wide_array(GetParam());
  job.single_zone = true;
  submit(job);
  put_idle_slices(job);
  testing::put_slice(store_, last_slice_placed_in(job, "a"));
  machine("vm-2", "b");
  begin();
  run(Duration{3'000});
  EXPECT_EQ(placed_by_zone(), (std::map<ZoneId, std::size_t>{{ZoneId("a"), 1}}));
  machine("vm-3", "a");
  run(Duration{3'000});
  EXPECT_FALSE(placed_by_zone().contains(ZoneId("b")));
  EXPECT_GT(placed_by_zone()[ZoneId("a")], 200U);
}

TEST_P(WideArrayLeader, MachinesAreRentedInTheZoneOfThePlacedTasks) {
  JobSpec job = wide_array(GetParam());
  job.single_zone = true;
  submit(job);
  put_idle_slices(job);
  cloud_.has_capacity = true;
  for (const char* zone : {"a", "b"}) {
    testing::put_slice(store_, last_slice_placed_in(job, zone));
    if (cloud_.requested_zones.empty()) begin();
    cloud_.requested_zones.clear();
    run(Duration{15'000});
    ASSERT_FALSE(cloud_.requested_zones.empty());
    for (const ZoneId& requested : cloud_.requested_zones) EXPECT_EQ(requested, ZoneId(zone));
  }
}

// At most half of the tasks of a job that is spread may be in one zone.
TEST_P(WideArrayLeader, ATaskInAZoneThatHasHalfOfTheJobIsNotAdded) {
  JobSpec job = wide_array(GetParam());
  job.spread_zones = true;
  submit(job);
  const std::uint32_t half = (GetParam() + 1) / 2;
  for (std::uint32_t number = 0; number < slice_count(job); ++number) {
    SliceRecord slice = idle_slice(job, number);
    for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
      if (slice.first_task_index() + i >= GetParam() - half) slice.tasks[i] = task_in_zone("a");
    }
    testing::put_slice(store_, slice);
  }
  machine("vm-1", "a");
  begin();
  run(Duration{1'000});
  EXPECT_EQ(placed_by_zone(), (std::map<ZoneId, std::size_t>{{ZoneId("a"), half}}));
  machine("vm-2", "b");
  run(Duration{3'000});
  EXPECT_EQ(placed_by_zone()[ZoneId("a")], half);
  EXPECT_GT(placed_by_zone()[ZoneId("b")], 0U);
}

INSTANTIATE_TEST_SUITE_P(Tasks, WideArrayLeader, ::testing::Values(600, 5'000, 100'000));

}  // namespace
}  // namespace marblevale
