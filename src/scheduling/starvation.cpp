#include "scheduling/starvation.hpp"

#include <algorithm>
#include <map>

#include "scheduling/profile.hpp"

namespace marblevale {

namespace {

/// A machine that is up, or that has been out of service for at least `min_out_of_service`.
struct Candidate {
  PlanMachine properties;  // as far as `Profile::allowed` uses them
  Resources free;
  MachineState state;
};

/// A job that has tasks to place.
struct WaitingJob {
  const JobRecord* job;
  WallTime since;
  std::map<ZoneId, std::uint32_t> placed_tasks;  // placed tasks of the job, by zone
};

bool is_candidate(const MachineRecord& machine, WallTime now, Duration min_out_of_service) {
  if (machine.reclaim_at || machine.state == MachineState::gone) return false;
  return machine.state == MachineState::up || now - machine.since >= min_out_of_service;
}

Resources free_on(const MachineId& machine_id, const MachineType& type, const Records& records) {
  Resources free = type.resources;
  const auto placed = records.placed.find(machine_id);
  if (placed == records.placed.end()) return free;
  for (const auto& [id, attempt] : placed->second) {
    if (const JobRecord* job = records.job(id.job_id)) free -= job->spec.need;
  }
  return free;
}

/// Returns the candidates, machines that are up first.
std::vector<Candidate> find_candidates(const Records& records, WallTime now,
                                       Duration min_out_of_service) {
  std::vector<Candidate> out;
  for (const auto& [machine_id, stored] : records.machines) {
    const MachineRecord& machine = stored.record;
    const MachineType* type = records.type(machine.machine_type);
    if (type == nullptr || !is_candidate(machine, now, min_out_of_service)) continue;
    Candidate candidate;
    candidate.properties.machine_id = machine_id;
    candidate.properties.machine_type = machine.machine_type;
    candidate.properties.zone = machine.zone;
    candidate.properties.spot = machine.spot;
    candidate.properties.resources = type->resources;
    candidate.free = free_on(machine_id, *type, records);
    candidate.state = machine.state;
    out.push_back(std::move(candidate));
  }
  std::stable_partition(out.begin(), out.end(), [](const Candidate& candidate) {
    return candidate.state == MachineState::up;
  });
  return out;
}

std::map<TeamId, Resources> used_by_team(const Records& records) {
  std::map<TeamId, Resources> out;
  for (const auto& [machine_id, placed] : records.placed) {
    for (const auto& [id, attempt] : placed) {
      if (const JobRecord* job = records.job(id.job_id)) out[job->spec.team] += job->spec.need;
    }
  }
  return out;
}

/// The time at which the last task of the gang changed its state. The gang starts as a whole, so it
/// waits only since then.
WallTime last_end(const JobId& job_id, const JobRecord& gang, const Records& records) {
  WallTime last = gang.accepted;
  for_each_slice(records, job_id, [&last](const Versioned<SliceRecord>& slice) {
    for (const TaskRecord& task : slice.record.tasks) last = std::max(last, task.since);
  });
  return last;
}

/// Adds the slice's tasks to the job's counts. Returns the number of idle tasks.
std::uint32_t add_slice(WaitingJob& waiting, const SliceRecord& slice) {
  std::uint32_t idle = 0;
  for (const TaskRecord& task : slice.tasks) {
    if (task.placed()) ++waiting.placed_tasks[task.zone];
    if (task.state != TaskState::idle) continue;
    ++idle;
    waiting.since = std::min(waiting.since, std::max(waiting.job->accepted, task.since));
  }
  return idle;
}

/// Returns nothing when the job has no task that could be placed.
std::optional<WaitingJob> find_waiting(const JobId& job_id, const JobRecord& job,
                                       const Records& records) {
  if (records.has_unreadable_slice(job_id)) return std::nullopt;  // its tasks are not all known
  WaitingJob waiting{&job, WallTime::max(), {}};
  std::uint32_t idle = 0;
  std::uint32_t recorded = 0;
  // The slices of an array may be released in any order, so a slice without a record says nothing
  // about the later ones.
  for_each_slice(records, job_id, [&](const Versioned<SliceRecord>& slice) {
    if (slice.record.number >= slice_count(job.spec)) return;  // not a slice of this job
    idle += add_slice(waiting, slice.record);
    recorded += slice_size(job.spec, slice.record.number);
  });
  if (recorded < job.spec.task_count) {
    idle += job.spec.task_count - recorded;
    waiting.since = std::min(waiting.since, job.accepted);
  }
  if (idle == 0) return std::nullopt;
  if (job.spec.gang()) {
    if (idle != job.spec.task_count) return std::nullopt;
    waiting.since = last_end(job_id, job, records);
  }
  return waiting;
}

/// The jobs that have waited longest, by waiting time, descending.
std::vector<WaitingJob> find_longest_waiting(const Records& records, WallTime now,
                                             Duration min_wait, std::size_t max_jobs) {
  std::vector<WaitingJob> jobs;
  for (const auto& [job_id, stored] : records.jobs) {
    if (stored.record.cancelled || now - stored.record.accepted < min_wait) continue;
    auto waiting = find_waiting(job_id, stored.record, records);
    if (waiting && now - waiting->since >= min_wait) jobs.push_back(std::move(*waiting));
  }
  std::sort(jobs.begin(), jobs.end(), [](const WaitingJob& a, const WaitingJob& b) {
    return a.since != b.since ? a.since < b.since : a.job->spec.job_id < b.job->spec.job_id;
  });
  if (jobs.size() > max_jobs) jobs.resize(max_jobs);
  return jobs;
}

/// Returns how many tasks fit into `free`, at most `max_count`.
std::uint32_t count_fitting(const Resources& need, const Resources& free, std::uint32_t max_count) {
  Resources sum = need;
  std::uint32_t count = 0;
  while (count < max_count && fits(sum, free)) {
    ++count;
    sum += need;
  }
  return count;
}

/// Returns the machine on which the job's next task fits, or the last of the machines on which all
/// tasks of a gang fit. Null when no machines fit.
const Candidate* find_fitting(const WaitingJob& waiting, const std::vector<Candidate>& candidates) {
  const JobSpec& job = waiting.job->spec;
  const std::uint32_t wanted = job.gang() ? job.task_count : 1;
  const std::uint32_t max_in_zone = max_tasks_in_zone(job);
  std::map<ZoneId, std::uint32_t> in_zone = waiting.placed_tasks;
  std::uint32_t found = 0;
  for (const Candidate& candidate : candidates) {
    if (!Profile::allowed(job, candidate.properties) || !fits(job.need, candidate.free)) continue;
    const ZoneId& zone = candidate.properties.zone;
    const auto& placed_tasks = waiting.placed_tasks;
    if (job.single_zone && !placed_tasks.empty() && !placed_tasks.contains(zone)) continue;
    std::uint32_t& zone_count = in_zone[zone];
    const std::uint32_t remaining_in_zone = max_in_zone - std::min(zone_count, max_in_zone);
    const std::uint32_t fitting =
        count_fitting(job.need, candidate.free, std::min(wanted, remaining_in_zone));
    zone_count += fitting;
    found += fitting;
    if ((job.gang() && job.single_zone ? zone_count : found) >= wanted) return &candidate;
  }
  return nullptr;
}

/// True when the job's next task (all tasks of a gang) would keep the team within its limit.
bool is_within_team_limit(const JobSpec& job, const Settings& settings,
                          const std::map<TeamId, Resources>& used_by_team) {
  const Team* team = settings.team(job.team);
  if (team == nullptr) return true;
  const auto used = used_by_team.find(job.team);
  const Resources remaining =
      used == used_by_team.end() ? team->limit() : team->limit() - used->second;
  return fits(job.need * static_cast<double>(job.gang() ? job.task_count : 1), remaining);
}

}  // namespace

std::vector<StarvedJob> find_starved(const Records& records, const Settings& settings, WallTime now,
                                     Duration min_wait, Duration min_out_of_service,
                                     std::size_t max_jobs) {
  const auto jobs = find_longest_waiting(records, now, min_wait, max_jobs);
  if (jobs.empty()) return {};
  const auto candidates = find_candidates(records, now, min_out_of_service);
  const auto used = used_by_team(records);
  std::vector<StarvedJob> out;
  for (const WaitingJob& waiting : jobs) {
    const JobSpec& job = waiting.job->spec;
    if (!is_within_team_limit(job, settings, used)) continue;
    if (const Candidate* machine = find_fitting(waiting, candidates)) {
      out.push_back(
          {job.job_id, now - waiting.since, machine->properties.machine_id, machine->state});
    }
  }
  return out;
}

}  // namespace marblevale
