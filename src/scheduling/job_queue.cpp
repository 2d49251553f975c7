#include "scheduling/job_queue.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace marblevale {

namespace {

constexpr Duration kMinRun{5'000};
constexpr double kEstimateMargin = 1.15;  // estimates are often too low
/// A job that has never begun goes first of its rank from here on: the widest must begin within
/// four minutes, and a wide one needs its time until it has room. Without this, jobs that had
/// missed their objectives waited behind all newcomers whose reservations overran into theirs.
constexpr Duration kNeverBegunOverdue{150'000};
/// Of a long array, how many tasks wait in the queue at once: enough that it can begin broadly
/// where room is, few enough that 100,000 tasks cost neither as many reservations nor as many
/// writes.
constexpr std::size_t kOpenTasks = std::size_t{4} * kSliceTasks;

/// An array that failed on that many machines and has not worked anywhere is taken for mistaken.
constexpr std::size_t kFaultyJobMachines = 3;
/// The same for one task: its record names only the last machine.
constexpr std::uint32_t kFaultyJobFaults = 3;
constexpr Duration kProvenRun{4'000};  // a task that ran this long is not mistaken

Duration retry_pause(std::uint32_t faults) {
  // The first retry is at once, elsewhere; a job that keeps failing gives way to the others.
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

/// Replicas of a standing job are never done, whoever wrote that one is.
bool waits(const TaskRecord& task, const JobSpec& job) {
  return task.state == TaskState::idle || (job.endless() && task.state == TaskState::done);
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

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
std::optional<QueueItem> queue_item(const JobId& job_id, const JobRecord& job,
                                    const CurrentSlice& current, WallTime now) {
  const JobSpec& spec = job.spec;
  QueueItem item;
  item.job_id = job_id;
  item.owner = owner_of(job_id);
  item.accepted = job.accepted;
  item.demand.job = &spec;
  Duration progress = spec.estimated_run;
  WallTime soonest = WallTime::max();
  WallTime last_fault{};
  std::uint32_t faults = 0;  // of the task that has failed most
  std::set<MachineId> failed_on;
  bool worked = false;
  std::optional<std::uint32_t> worst;  // the waiting task that has failed most
  std::vector<std::uint32_t> paused;
  std::map<ZoneId, std::uint32_t> zones;
  bool placed = false;
  bool begun = false;
  for (std::uint32_t n = 0; n < slice_count(spec); ++n) {
    const SliceRecord* slice = current(job_id, n);
    if (!spec.gang() && item.task_indices.size() + paused.size() >= kOpenTasks) break;
    for (std::uint32_t i = 0; i < slice_size(spec, n); ++i) {
      const TaskRecord* task = slice == nullptr ? nullptr : &slice->tasks[i];
      begun = begun || (task != nullptr && task->attempt != Attempt{});
      if (task != nullptr && task->placed()) {
        placed = true;
        ++zones[task->zone];
      }
      if (task != nullptr) {
        const bool lasted = task->running != WallTime{} && now - task->running > kProvenRun;
        worked = worked || task->state == TaskState::done || task->progress > Duration{0} ||
                 (task->placed() && lasted);
        if (task->faults > 0) failed_on.insert(task->failed_on);
      }
      if (task != nullptr && !waits(*task, spec)) continue;
      progress = std::min(progress, task == nullptr ? Duration{0} : task->progress);
      const WallTime at = task == nullptr ? WallTime{} : task->since + retry_pause(task->faults);
      soonest = std::min(soonest, at);
      if (task != nullptr && task->faults > 0) {
        last_fault = std::max(last_fault, task->since);
        if (task->faults > faults) worst = n * kSliceTasks + i;
        faults = std::max(faults, task->faults);
      }
      (task != nullptr && task->faults > 0 && at > now ? paused : item.task_indices)
          .push_back(n * kSliceTasks + i);
    }
  }
  item.failing = !worked && (failed_on.size() >= kFaultyJobMachines || faults >= kFaultyJobFaults);
  if (spec.gang()) {
    // A gang starts whole: not before all its earlier tasks are proven gone.
    if (placed) return std::nullopt;
    item.task_indices.insert(item.task_indices.end(), paused.begin(), paused.end());
    // It waits as a whole. When one of its tasks fails, the others only end with it and have no
    // pause of their own: counted by them, a gang with a mistake began again every few seconds, and
    // preempted others each time.
    if (!paused.empty()) item.not_before = last_fault + retry_pause(faults);
    if (item.task_indices.size() != spec.task_count) return std::nullopt;
    std::sort(item.task_indices.begin(), item.task_indices.end());
  } else if (worst && !worked && failed_on.size() >= kFaultyJobMachines) {
    // Submitted with a mistake, it seems: one task at a time tries again, until one works. With a
    // pause for each task alone, 14 of them failed 68 times in 90 s and preempted others.
    if (placed) return std::nullopt;
    item.task_indices = {*worst};
    item.not_before = last_fault + retry_pause(faults);
  } else if (item.task_indices.empty() && !paused.empty()) {
    item.task_indices = paused;
    item.not_before = soonest;
  }
  if (item.task_indices.empty()) return std::nullopt;
  item.overdue = !begun && now - job.accepted > kNeverBegunOverdue;
  item.demand.tasks = static_cast<std::uint32_t>(item.task_indices.size());
  item.demand.run = std::max(kMinRun, spec.estimated_run - progress);
  if (spec.together && !zones.empty()) item.demand.zone = zones.begin()->first;
  for (const auto& [zone, tasks] : zones) item.demand.placed_tasks.push_back({zone, tasks});
  return item;
}

void set_target(QueueItem& item, const JobSpec& job, const Settings& settings, WallTime now) {
  for (const Objective& o : settings.objectives) {
    if (!o.job_class.empty() && o.job_class != job.job_class) continue;
    std::optional<WallTime> start;
    switch (o.kind) {
      case Objective::Kind::wait:
        start = item.accepted + o.within;
        break;
      case Objective::Kind::finished:
        start = item.accepted + o.within - scaled(item.demand.run, kEstimateMargin);
        break;
      case Objective::Kind::deadline:
        if (job.deadline)
          start = item.accepted + *job.deadline - scaled(item.demand.run, kEstimateMargin);
        break;
      case Objective::Kind::guarantee:
        break;  // has a rank of its own
    }
    if (!start) continue;
    item.objectives_missed = true;
    if (*start > now && (!item.target || *start < *item.target)) item.target = start;
  }
  if (item.target) item.objectives_missed = false;
}

}  // namespace

std::vector<QueueItem> build_queue(const Records& records, const Settings& settings,
                                   const CurrentSlice& current, WallTime now, bool gather) {
  const auto guaranteed = guaranteed_jobs(records, settings);
  std::vector<QueueItem> queue;
  for (const auto& [job_id, job] : records.jobs) {
    if (job.record.cancelled) continue;
    auto item = queue_item(job_id, job.record, current, now);
    if (!item) continue;
    item->guaranteed = guaranteed.contains(job_id);
    const Team* team = settings.team(job.record.spec.team);
    item->of_guaranteed_team = team != nullptr && team->has_guarantee();
    set_target(*item, job.record.spec, settings, now);
    if (gather && job.record.spec.shape == JobShape::array) {
      // Where most of it is; a new one anywhere, decided by its name, so that no zone is favoured.
      const auto& there = item->demand.placed_tasks;
      const auto most = std::max_element(
          there.begin(), there.end(),
          [](const ZoneTaskCount& a, const ZoneTaskCount& b) { return a.tasks < b.tasks; });
      item->demand.preferred_zone =
          most != there.end() ? most->zone
                              : settings.zones[std::hash<JobId>{}(job_id) % settings.zones.size()];
    }
    queue.push_back(std::move(*item));
  }
  return queue;
}

}  // namespace marblevale
