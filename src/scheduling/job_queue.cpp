#include "scheduling/job_queue.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace marblevale {

namespace {

constexpr Duration kMinRun{5'000};        // a job is planned for this long at the least
constexpr double kEstimateMargin = 1.15;  // estimates are often too low
/// A job that has never begun goes first of its rank from here on: the widest must begin within
/// four minutes, and a wide one needs its time until it has room. Without this, jobs that have
/// missed their objectives wait behind all newcomers whose reservations overrun into theirs.
constexpr Duration kOverdueWait{150'000};
/// Of a long array, how many tasks wait in the queue at once: enough that it can start on much room
/// at once, few enough that 100,000 tasks cost neither as many reservations nor as many writes.
constexpr std::size_t kMaxQueuedTasks = std::size_t{4} * kSliceTasks;

/// An array that failed on that many machines and has not worked anywhere is taken for mistaken.
constexpr std::size_t kFaultyJobMachines = 3;
/// The same for one task: its record names only the last machine.
constexpr std::uint32_t kFaultyJobFaults = 3;
/// A task that ran this long is not mistaken.
constexpr Duration kProvenRun{4'000};

/// How long a task waits after its `faults`-th error. The first retry is at once, elsewhere; a job
/// that keeps failing gives way to the others.
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

/// What a job's task records say about its waiting tasks and about its past.
class TaskScan {
 public:
  TaskScan(const JobSpec& job, WallTime now) : job_(job), now_(now), progress_(job.estimated_run) {}

  /// `task` is null for one that has no record yet.
  void add(std::uint32_t task_index, const TaskRecord* task) {
    if (task != nullptr) add_history(*task);
    if (is_waiting(task)) add_waiting(task_index, task);
  }

  [[nodiscard]] std::size_t waiting_count() const { return ready_.size() + backing_off_.size(); }
  [[nodiscard]] bool has_begun() const { return has_begun_; }
  [[nodiscard]] bool has_placed() const { return !placed_tasks_.empty(); }
  /// The least that any waiting task has saved.
  [[nodiscard]] Duration progress() const { return progress_; }
  [[nodiscard]] const std::map<ZoneId, std::uint32_t>& placed_tasks() const {
    return placed_tasks_;
  }
  /// It failed again and again, and has worked nowhere.
  [[nodiscard]] bool is_failing() const {
    return !has_worked_ &&
           (failed_on_.size() >= kFaultyJobMachines || max_faults_ >= kFaultyJobFaults);
  }

  /// The tasks to be placed, and when.
  struct Selection {
    std::vector<std::uint32_t> task_indices;
    WallTime not_before;
  };
  /// Nothing while none is to be placed. The last question to a scan: it hands over its lists.
  [[nodiscard]] std::optional<Selection> take_selection();

 private:
  [[nodiscard]] bool is_waiting(const TaskRecord* task) const;
  void add_history(const TaskRecord& task);
  void add_waiting(std::uint32_t task_index, const TaskRecord* task);
  [[nodiscard]] std::optional<Selection> select_gang();
  [[nodiscard]] std::optional<Selection> select_probe() const;

  const JobSpec& job_;
  WallTime now_;
  Duration progress_;
  std::vector<std::uint32_t> ready_;
  std::vector<std::uint32_t> backing_off_;
  WallTime first_retry_ = WallTime::max();
  WallTime last_fault_;
  std::uint32_t max_faults_ = 0;             // of one waiting task
  std::optional<std::uint32_t> worst_task_;  // the one that has failed most
  std::set<MachineId> failed_on_;
  std::map<ZoneId, std::uint32_t> placed_tasks_;
  bool has_worked_ = false;
  bool has_begun_ = false;
};

bool TaskScan::is_waiting(const TaskRecord* task) const {
  if (task == nullptr || task->state == TaskState::idle) return true;
  // Replicas of a service job are never done, whoever wrote that one is.
  return job_.endless() && task->state == TaskState::done;
}

void TaskScan::add_history(const TaskRecord& task) {
  has_begun_ = has_begun_ || task.attempt != Attempt{};
  if (task.placed()) ++placed_tasks_[task.zone];
  const bool lasted = task.running != WallTime{} && now_ - task.running > kProvenRun;
  has_worked_ = has_worked_ || task.state == TaskState::done || task.progress > Duration{0} ||
                (task.placed() && lasted);
  if (task.faults > 0) failed_on_.insert(task.failed_on);
}

void TaskScan::add_waiting(std::uint32_t task_index, const TaskRecord* task) {
  if (task == nullptr) {
    progress_ = std::min(progress_, Duration{0});
    first_retry_ = std::min(first_retry_, WallTime{});
    ready_.push_back(task_index);
    return;
  }
  progress_ = std::min(progress_, task->progress);
  const WallTime retry_at = task->since + retry_backoff(task->faults);
  first_retry_ = std::min(first_retry_, retry_at);
  if (task->faults > 0) {
    last_fault_ = std::max(last_fault_, task->since);
    if (task->faults > max_faults_) worst_task_ = task_index;
    max_faults_ = std::max(max_faults_, task->faults);
  }
  const bool backs_off = task->faults > 0 && retry_at > now_;
  (backs_off ? backing_off_ : ready_).push_back(task_index);
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

std::optional<TaskScan::Selection> TaskScan::select_gang() {
  // A gang starts whole: not before all its earlier tasks are proven gone.
  if (has_placed() || waiting_count() != job_.task_count) return std::nullopt;
  Selection all{std::move(ready_), WallTime{}};
  all.task_indices.insert(all.task_indices.end(), backing_off_.begin(), backing_off_.end());
  std::sort(all.task_indices.begin(), all.task_indices.end());
  // It waits as a whole. When one of its tasks fails, the others only end with it and have no
  // backoff of their own: counted by them, a gang with a mistake would begin again every few
  // seconds, and preempt others each time.
  if (!backing_off_.empty()) all.not_before = last_fault_ + retry_backoff(max_faults_);
  return all;
}

std::optional<TaskScan::Selection> TaskScan::select_probe() const {
  // Submitted with a mistake, it seems: one task at a time is retried, until one works. With a
  // backoff for each task alone, 14 of them failed 68 times in 90 s and preempted others.
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
    for (std::uint32_t i = 0; i < slice_size(spec, number); ++i) {
      scan.add(number * kSliceTasks + i, slice == nullptr ? nullptr : &slice->tasks[i]);
    }
  }
  return scan;
}

/// Nothing when none of the job's tasks is to be placed.
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
  item.demand.tasks = static_cast<std::uint32_t>(item.task_indices.size());
  item.demand.run = std::max(kMinRun, spec.estimated_run - scan.progress());
  if (spec.together && scan.has_placed()) item.demand.zone = scan.placed_tasks().begin()->first;
  for (const auto& [zone, tasks] : scan.placed_tasks()) {
    item.demand.placed_tasks.push_back({zone, tasks});
  }
  return item;
}

/// The last start that meets the objective; nothing when it sets the job no start.
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
      return std::nullopt;  // has a rank of its own
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

/// The zone that has most of the array. A new one goes anywhere, decided by its id, so that no zone
/// is favoured.
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
