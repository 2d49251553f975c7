#include "scheduling/job_queue.hpp"

#include <algorithm>
#include <map>

#include "scheduling/task_scan.hpp"

namespace marblevale {

namespace {

constexpr Duration kMinRun{5'000};        // shortest run that a job is planned with
constexpr double kEstimateMargin = 1.15;  // estimates are often too low
/// A job that has never begun ranks before others of its urgency and guarantee after this wait. The
/// widest job must begin within four minutes, and a wide job needs time until enough machines are
/// free. Without this rule, jobs that have missed their objectives would wait behind all newer jobs
/// whose runs overrun into their reservations.
constexpr Duration kOverdueWait{150'000};

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

/// Reads every slice of the job. A waiting task's place depends on the tasks in all other slices,
/// so no bound may end the scan.
void scan_tasks(TaskScan& scan, const JobId& job_id, const JobSpec& spec, const Records& records,
                const PendingSlices& pending, SliceSummaryCache* cache) {
  std::uint32_t next_task = 0;
  const auto add = [&](const SliceRecord& slice, SliceVersion version) {
    if (slice.number >= slice_count(spec)) return;  // not a slice of this job
    const std::uint32_t first = slice.first_task_index();
    scan.add_unrecorded(next_task, first - next_task);
    if (cache != nullptr) {
      scan.add_slice(slice, cache->get(slice, version));
    } else {
      scan.add_slice(slice, summarize(slice));
    }
    next_task = first + slice_size(spec, slice.number);
  };
  for_each_current_slice(records, pending, job_id, add);
  scan.add_unrecorded(next_task, spec.task_count - next_task);
}

/// True when tasks that this version can't read may forbid a place for the others.
bool depends_on_unreadable_tasks(const JobId& job_id, const JobSpec& spec, const Records& records) {
  return (spec.gang() || spec.single_zone || spec.spread_zones) &&
         records.has_unreadable_slice(job_id);
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

std::optional<QueueItem> make_queue_item(const JobId& job_id, const JobRecord& job,
                                         const Records& records, const PendingSlices& pending,
                                         WallTime now, SliceSummaryCache* cache) {
  const JobSpec& spec = job.spec;
  if (job.cancelled || depends_on_unreadable_tasks(job_id, spec, records)) return std::nullopt;
  TaskScan scan(spec, now);
  scan_tasks(scan, job_id, spec, records, pending, cache);
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

std::vector<QueueItem> build_queue(const Records& records, const PendingSlices& pending,
                                   const Settings& settings, WallTime now, bool prefer_one_zone,
                                   SliceSummaryCache* cache) {
  if (cache != nullptr) cache->retain_only(records);
  const auto guaranteed = guaranteed_jobs(records, settings);
  std::vector<QueueItem> queue;
  for (const auto& [job_id, job] : records.jobs) {
    auto item = make_queue_item(job_id, job.record, records, pending, now, cache);
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
