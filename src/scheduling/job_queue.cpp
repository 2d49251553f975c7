#include "scheduling/job_queue.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace marblevale {

namespace {

constexpr Duration kMinRun{5'000};        // shortest run that a job is planned with
constexpr double kEstimateMargin = 1.15;  // estimates are often too low
/// A job that has never begun ranks before others of its urgency and guarantee after this wait. The
/// widest job must begin within four minutes, and a wide job needs time until enough machines are
/// free. Without this rule, jobs that have missed their objectives would wait behind all newer jobs
/// whose runs overrun into their reservations.
constexpr Duration kOverdueWait{150'000};
/// Most tasks of one array that are queued at the same time: enough to use many free machines in
/// one round, and few enough that an array of 100,000 tasks needs neither that many reservations
/// nor that many writes.
constexpr std::size_t kMaxQueuedTasks = std::size_t{4} * kSliceTasks;

/// An array whose tasks failed on this many machines, and worked on none, is assumed to be faulty
/// itself.
constexpr std::size_t kFaultyJobMachines = 3;
/// A single task is assumed to be faulty after this many errors. Its record names only the last
/// machine on which it failed, so machines can't be counted.
constexpr std::uint32_t kFaultyJobFaults = 3;
/// A task that has run for this long counts as working.
constexpr Duration kProvenRun{4'000};

/// Backoff after a task's `failure_count`-th error. The first retry is immediate, on another
/// machine. The backoff grows so that a job that keeps failing leaves capacity to other jobs.
Duration retry_backoff(std::uint32_t faults) {
  switch (faults) {
    case 0:
    case 1:
      return Duration{0};
    case 2:
      return Duration{4'000};
    case 3:
      return Duration{10'000};
    default:
      return Duration{30'000};
  }
}

/// Collects a job's waiting tasks and its history from its task records.
class TaskScan {
 public:
  TaskScan(const JobSpec& job, WallTime now) : job_(job), now_(now), progress_(job.estimated_run) {}

  void add(std::uint32_t task_index, const TaskRecord& task) {
    add_history(task);
    if (is_waiting(task)) add_waiting(task_index, task);
  }
  /// Adds tasks that have no record yet.
  void add_unrecorded(std::uint32_t first_task_index, std::uint32_t count);

  [[nodiscard]] std::size_t waiting_count() const { return waiting_count_; }
  [[nodiscard]] bool has_begun() const { return has_begun_; }
  [[nodiscard]] bool has_placed() const { return !placed_tasks_.empty(); }
  /// The least saved progress of any waiting task.
  [[nodiscard]] Duration progress() const { return progress_; }
  [[nodiscard]] const std::map<ZoneId, std::uint32_t>& placed_tasks() const {
    return placed_tasks_;
  }
  /// True when the job failed repeatedly and none of its tasks has worked.
  [[nodiscard]] bool is_failing() const {
    return !has_worked_ &&
           (failed_on_.size() >= kFaultyJobMachines || max_faults_ >= kFaultyJobFaults);
  }

  /// The tasks to place, and the earliest time at which they may start. A gang's tasks are not
  /// listed, because it places all of them.
  struct Selection {
    std::vector<std::uint32_t> task_indices;
    WallTime not_before;
  };
  /// Returns nothing while no task may be placed. Moves the lists out of the scan, so it must be
  /// the last call.
  [[nodiscard]] std::optional<Selection> take_selection();

 private:
  [[nodiscard]] bool is_waiting(const TaskRecord& task) const;
  void add_history(const TaskRecord& task);
  void add_waiting(std::uint32_t task_index, const TaskRecord& task);
  [[nodiscard]] std::optional<Selection> select_gang() const;
  [[nodiscard]] std::optional<Selection> select_probe() const;

  const JobSpec& job_;
  WallTime now_;
  Duration progress_;
  std::size_t waiting_count_ = 0;
  bool any_backs_off_ = false;
  // The waiting tasks of an array. A gang places all its tasks, so they are only counted.
  std::vector<std::uint32_t> ready_;
  std::vector<std::uint32_t> backing_off_;
  WallTime first_retry_ = WallTime::max();
  WallTime last_fault_;
  std::uint32_t max_faults_ = 0;             // of one waiting task
  std::optional<std::uint32_t> worst_task_;  // the task with the most errors
  std::set<MachineId> failed_on_;
  std::map<ZoneId, std::uint32_t> placed_tasks_;
  bool has_worked_ = false;
  bool has_begun_ = false;
};

bool TaskScan::is_waiting(const TaskRecord& task) const {
  if (task.state == TaskState::idle) return true;
  // Replicas of a service job never complete, so a record that says `done` is treated as waiting.
  return job_.is_service() && task.state == TaskState::done;
}

void TaskScan::add_unrecorded(std::uint32_t first_task_index, std::uint32_t count) {
  progress_ = std::min(progress_, Duration{0});
  first_retry_ = std::min(first_retry_, WallTime{});
  waiting_count_ += count;
  if (job_.gang()) return;
  for (std::uint32_t i = 0; i < count; ++i) ready_.push_back(first_task_index + i);
}

void TaskScan::add_history(const TaskRecord& task) {
  has_begun_ = has_begun_ || task.attempt != Attempt{};
  if (task.placed()) ++placed_tasks_[task.zone];
  const bool lasted = task.running_since != WallTime{} && now_ - task.running_since > kProvenRun;
  has_worked_ = has_worked_ || task.state == TaskState::done || task.progress > Duration{0} ||
                (task.placed() && lasted);
  if (task.failure_count > 0) failed_on_.insert(task.failed_on);
}

void TaskScan::add_waiting(std::uint32_t task_index, const TaskRecord& task) {
  progress_ = std::min(progress_, task.progress);
  const WallTime retry_at = task.since + retry_backoff(task.failure_count);
  first_retry_ = std::min(first_retry_, retry_at);
  if (task.failure_count > 0) {
    last_fault_ = std::max(last_fault_, task.since);
    if (task.failure_count > max_faults_) worst_task_ = task_index;
    max_faults_ = std::max(max_faults_, task.failure_count);
  }
  const bool backs_off = task.failure_count > 0 && retry_at > now_;
  any_backs_off_ = any_backs_off_ || backs_off;
  ++waiting_count_;
  if (!job_.gang()) (backs_off ? backing_off_ : ready_).push_back(task_index);
}

std::optional<TaskScan::Selection> TaskScan::take_selection() {
  if (job_.gang()) return select_gang();
  if (worst_task_ && !has_worked_ && failed_on_.size() >= kFaultyJobMachines) {
    return select_probe();
  }
  if (!ready_.empty()) return Selection{std::move(ready_), WallTime{}};
  if (!backing_off_.empty()) return Selection{std::move(backing_off_), first_retry_};
  return std::nullopt;
}

std::optional<TaskScan::Selection> TaskScan::select_gang() const {
  // A gang starts only as a whole, after all its earlier tasks are proven to have ended.
  if (has_placed() || waiting_count() != job_.task_count) return std::nullopt;
  Selection all;
  // The backoff of the task that failed applies to the whole gang. The other tasks only end with it
  // and have no backoff of their own. If the gang did not wait for the failed task's backoff, a
  // faulty gang would start again every few seconds and preempt other jobs each time.
  if (any_backs_off_) all.not_before = last_fault_ + retry_backoff(max_faults_);
  return all;
}

std::optional<TaskScan::Selection> TaskScan::select_probe() const {
  // The job seems faulty, so only one task at a time is retried until one works. With a separate
  // backoff for each task, 14 tasks failed 68 times in 90 s and preempted other jobs.
  if (has_placed()) return std::nullopt;
  return Selection{{*worst_task_}, last_fault_ + retry_backoff(max_faults_)};
}

}  // namespace

Owner owner_of(const JobId& job_id) { return Owner(std::hash<JobId>{}(job_id) & ~(3ULL << 62)); }

std::unordered_set<JobId> guaranteed_jobs(const Records& records, const Settings& settings) {
  std::map<TeamId, std::vector<const JobRecord*>> by_team;
  for (const auto& [job_id, job] : records.jobs) {
    if (!job.record.cancelled) by_team[job.record.spec.team].push_back(&job.record);
  }
  std::unordered_set<JobId> out;
  for (auto& [name, jobs] : by_team) {
    const Team* team = settings.team(name);
    if (team == nullptr) continue;
    std::sort(jobs.begin(), jobs.end(), [](const JobRecord* a, const JobRecord* b) {
      return a->accepted != b->accepted ? a->accepted < b->accepted
                                        : a->spec.job_id < b->spec.job_id;
    });
    Resources sum{};
    for (const JobRecord* job : jobs) {
      sum += job->spec.need * static_cast<double>(job->spec.task_count);
      if (fits(sum, team->guarantee())) out.insert(job->spec.job_id);
    }
  }
  return out;
}

namespace {

TaskScan scan_tasks(const JobId& job_id, const JobSpec& spec, const CurrentSlice& current,
                    WallTime now) {
  TaskScan scan(spec, now);
  for (std::uint32_t number = 0; number < slice_count(spec); ++number) {
    const SliceRecord* slice = current(job_id, number);
    if (!spec.gang() && scan.waiting_count() >= kMaxQueuedTasks) break;
    const std::uint32_t first = number * kSliceTasks;
    const std::uint32_t size = slice_size(spec, number);
    if (slice == nullptr) {
      scan.add_unrecorded(first, size);
      continue;
    }
    for (std::uint32_t i = 0; i < size; ++i) scan.add(first + i, slice->tasks[i]);
  }
  return scan;
}

/// Returns nothing when none of the job's tasks may be placed.
std::optional<QueueItem> make_queue_item(const JobId& job_id, const JobRecord& job,
                                         const CurrentSlice& current, WallTime now) {
  const JobSpec& spec = job.spec;
  TaskScan scan = scan_tasks(job_id, spec, current, now);
  auto selection = scan.take_selection();
  if (!selection) return std::nullopt;
  QueueItem item;
  item.job_id = job_id;
  item.owner = owner_of(job_id);
  item.accepted = job.accepted;
  item.task_indices = std::move(selection->task_indices);
  item.not_before = selection->not_before;
  item.failing = scan.is_failing();
  item.overdue = !scan.has_begun() && now - job.accepted > kOverdueWait;
  item.demand.job = &spec;
  item.demand.tasks =
      spec.gang() ? spec.task_count : static_cast<std::uint32_t>(item.task_indices.size());
  item.demand.run = std::max(kMinRun, spec.estimated_run - scan.progress());
  if (spec.single_zone && scan.has_placed()) item.demand.zone = scan.placed_tasks().begin()->first;
  for (const auto& [zone, tasks] : scan.placed_tasks()) {
    item.demand.placed_tasks.push_back({zone, tasks});
  }
  return item;
}

/// The latest start that meets the objective. Returns nothing when the objective does not limit the
/// job's start.
std::optional<WallTime> latest_start(const Objective& objective, const JobSpec& job,
                                     const QueueItem& item) {
  switch (objective.kind) {
    case Objective::Kind::wait:
      return item.accepted + objective.within;
    case Objective::Kind::finished:
      return item.accepted + objective.within - scaled(item.demand.run, kEstimateMargin);
    case Objective::Kind::deadline:
      if (!job.deadline) return std::nullopt;
      return item.accepted + *job.deadline - scaled(item.demand.run, kEstimateMargin);
    case Objective::Kind::guarantee:
      return std::nullopt;  // guaranteed jobs have their own rank
  }
  return std::nullopt;
}

void set_target(QueueItem& item, const JobSpec& job, const Settings& settings, WallTime now) {
  for (const Objective& objective : settings.objectives) {
    if (!objective.job_class.empty() && objective.job_class != job.job_class) continue;
    const auto start = latest_start(objective, job, item);
    if (!start) continue;
    item.objectives_missed = true;
    if (*start > now && (!item.target || *start < *item.target)) item.target = start;
  }
  if (item.target) item.objectives_missed = false;
}

/// The zone that has most tasks of the array. A new array gets a zone by the hash of its id, so
/// that no zone is favoured.
ZoneId preferred_zone(const QueueItem& item, const Settings& settings) {
  const auto& placed_tasks = item.demand.placed_tasks;
  const auto most = std::max_element(
      placed_tasks.begin(), placed_tasks.end(),
      [](const ZoneTaskCount& a, const ZoneTaskCount& b) { return a.tasks < b.tasks; });
  if (most != placed_tasks.end()) return most->zone;
  return settings.zones[std::hash<JobId>{}(item.job_id) % settings.zones.size()];
}

}  // namespace

std::vector<QueueItem> build_queue(const Records& records, const Settings& settings,
                                   const CurrentSlice& current, WallTime now,
                                   bool prefer_one_zone) {
  const auto guaranteed = guaranteed_jobs(records, settings);
  std::vector<QueueItem> queue;
  for (const auto& [job_id, job] : records.jobs) {
    if (job.record.cancelled) continue;
    auto item = make_queue_item(job_id, job.record, current, now);
    if (!item) continue;
    const JobSpec& spec = job.record.spec;
    item->guaranteed = guaranteed.contains(job_id);
    const Team* team = settings.team(spec.team);
    item->team_has_guarantee = team != nullptr && team->has_guarantee();
    set_target(*item, spec, settings, now);
    if (prefer_one_zone && spec.shape == JobShape::array) {
      item->demand.preferred_zone = preferred_zone(*item, settings);
    }
    queue.push_back(std::move(*item));
  }
  return queue;
}

}  // namespace marblevale
