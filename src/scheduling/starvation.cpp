#include "scheduling/starvation.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "scheduling/profile.hpp"

namespace marblevale {

namespace {

struct Candidate {
  PlanMachine rules;  // what the job's rules look at
  Resources free;
  MachineState state;
};

struct Waiting {
  const JobRecord* job;
  WallTime since;
  std::map<ZoneId, std::uint32_t> placed;  // its other tasks
};

std::vector<Candidate> candidates_of(const Records& records, WallTime now, Duration out_of_use) {
  std::vector<Candidate> out;
  for (const auto& [machine_id, stored] : records.machines) {
    const MachineRecord& m = stored.record;
    const MachineType* type = records.type(m.machine_type);
    const bool up = m.state == MachineState::up;
    if (type == nullptr || m.reclaim_at || m.state == MachineState::gone) continue;
    if (!up && now - m.since < out_of_use) continue;
    Candidate c;
    c.rules.machine_id = machine_id;
    c.rules.machine_type = m.machine_type;
    c.rules.zone = m.zone;
    c.rules.spot = m.spot;
    c.rules.resources = type->resources;
    c.free = type->resources;
    c.state = m.state;
    if (const auto placed = records.placed.find(machine_id); placed != records.placed.end()) {
      for (const auto& [id, attempt] : placed->second) {
        if (const JobRecord* job = records.job(id.job_id)) c.free -= job->spec.need;
      }
    }
    out.push_back(std::move(c));
  }
  std::stable_partition(out.begin(), out.end(),
                        [](const Candidate& c) { return c.state == MachineState::up; });
  return out;
}

std::map<TeamId, Resources> team_use(const Records& records) {
  std::map<TeamId, Resources> out;
  for (const auto& [machine_id, placed] : records.placed) {
    for (const auto& [id, attempt] : placed) {
      if (const JobRecord* job = records.job(id.job_id)) out[job->spec.team] += job->spec.need;
    }
  }
  return out;
}

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
std::optional<Waiting> waiting(const JobId& job_id, const JobRecord& job, const Records& records) {
  Waiting out{&job, WallTime::max(), {}};
  std::uint32_t idle = 0;
  for (std::uint32_t n = 0; n < slice_count(job.spec); ++n) {
    const auto* slice = records.slice(job_id, n);
    if (slice == nullptr) {
      idle += slice_size(job.spec, n);
      out.since = std::min(out.since, job.accepted);
      if (job.spec.gang()) continue;
      break;  // the later ones have not begun either
    }
    for (const TaskRecord& task : slice->record.tasks) {
      if (task.placed()) ++out.placed[task.zone];
      if (task.state != TaskState::idle) continue;
      ++idle;
      out.since = std::min(out.since, std::max(job.accepted, task.since));
    }
  }
  if (idle == 0) return std::nullopt;
  if (job.spec.gang()) {
    // It starts whole, after proof of all its tasks: the last end counts.
    if (idle != job.spec.task_count) return std::nullopt;
    out.since = job.accepted;
    for (std::uint32_t n = 0; n < slice_count(job.spec); ++n) {
      const auto* slice = records.slice(job_id, n);
      if (slice == nullptr) continue;
      for (const TaskRecord& task : slice->record.tasks)
        out.since = std::max(out.since, task.since);
    }
  }
  return out;
}

std::uint32_t how_many(const Resources& need, const Resources& free, std::uint32_t most) {
  Resources sum = need;
  std::uint32_t count = 0;
  while (count < most && fits(sum, free)) {
    ++count;
    sum += need;
  }
  return count;
}

/// The machine that made it fit.
const Candidate* place_for(const Waiting& w, const std::vector<Candidate>& machines) {
  const JobSpec& job = w.job->spec;
  const std::uint32_t wanted = job.gang() ? job.task_count : 1;
  const std::uint32_t most_in_zone = max_tasks_in_zone(job);
  std::map<ZoneId, std::uint32_t> zones = w.placed;
  std::uint32_t found = 0;
  for (const Candidate& c : machines) {
    if (!Profile::allowed(job, c.rules) || !fits(job.need, c.free)) continue;
    const ZoneId& zone = c.rules.zone;
    if (job.together && !w.placed.empty() && !w.placed.contains(zone)) continue;
    std::uint32_t& here = zones[zone];
    const std::uint32_t fitting =
        how_many(job.need, c.free, std::min(wanted, most_in_zone - std::min(here, most_in_zone)));
    here += fitting;
    found += fitting;
    if ((job.gang() && job.together ? here : found) >= wanted) return &c;
  }
  return nullptr;
}

}  // namespace

std::vector<StarvedJob> find_starved(const Records& records, const Settings& settings, WallTime now,
                                     Duration patience, Duration out_of_use, std::size_t most) {
  std::vector<Waiting> jobs;
  for (const auto& [job_id, stored] : records.jobs) {
    if (stored.record.cancelled || now - stored.record.accepted < patience) continue;
    auto found = waiting(job_id, stored.record, records);
    if (found && now - found->since >= patience) jobs.push_back(std::move(*found));
  }
  if (jobs.empty()) return {};
  std::sort(jobs.begin(), jobs.end(), [](const Waiting& a, const Waiting& b) {
    return a.since != b.since ? a.since < b.since : a.job->spec.job_id < b.job->spec.job_id;
  });
  if (jobs.size() > most) jobs.resize(most);
  const auto machines = candidates_of(records, now, out_of_use);
  const auto used = team_use(records);
  std::vector<StarvedJob> out;
  for (const Waiting& w : jobs) {
    const JobSpec& job = w.job->spec;
    if (const Team* team = settings.team(job.team)) {
      const auto use = used.find(job.team);
      const Resources left = use == used.end() ? team->limit() : team->limit() - use->second;
      if (!fits(job.need * static_cast<double>(job.gang() ? job.task_count : 1), left)) continue;
    }
    if (const Candidate* place = place_for(w, machines)) {
      out.push_back({job.job_id, now - w.since, place->rules.machine_id, place->state});
    }
  }
  return out;
}

}  // namespace marblevale
