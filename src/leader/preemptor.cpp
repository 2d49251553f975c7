#include "leader/preemptor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <string>

#include "scheduling/job_queue.hpp"
#include "scheduling/preemption.hpp"

namespace marblevale {

namespace {

constexpr Duration kMinInterval{400};
constexpr Duration kMaxInterval{2'000};
/// The interval is at least this many times the duration of the last run, because a search through
/// all running tasks takes long in a large cluster.
constexpr int kIntervalToRunTime = 10;
/// Maximum number of jobs for which one run tries to preempt.
constexpr std::size_t kMaxJobsPerRun = 6;
/// A run tries no further job after this time.
constexpr Duration kRunBudget{60};
/// Minimum time between two preemptions for the same job.
constexpr Duration kRetryInterval{12'000};
/// A job whose reservation starts within this time needs no preemption.
constexpr Duration kMinWait{3'000};
constexpr Duration kFreedMachinesRetention{60'000};

/// The time that a preempted task gets to save a checkpoint. 0 when saving takes at least as long
/// as the work that is lost on average without saving, which is half a checkpoint interval.
Duration preemption_grace_period(const JobSpec& job) {
  const Duration saving = job.save_time + Duration{2'000};
  return job.checkpoint_interval > Duration{0} && scaled(job.checkpoint_interval, 0.5) <= saving
             ? Duration{0}
             : saving;
}

std::string preemption_reason(const QueueItem& item) {
  const JobSpec& spec = *item.demand.job;
  return "displaced for " + spec.job_id.get() +
         (item.guaranteed ? " (guarantee)" : " (" + std::string(name_of(spec.urgency)) + ")");
}

}  // namespace

Preemptor::Preemptor(Metrics& metrics, const Clock& clock, const Settings& settings,
                     const WatchCache& cache, Releaser& releaser, GuaranteeWriter& guarantee_writer)
    : metrics_(metrics),
      clock_(clock),
      settings_(settings),
      cache_(cache),
      releaser_(releaser),
      guarantee_writer_(guarantee_writer) {}

bool Preemptor::overdue(SteadyTime now) const { return now - last_run_ > kMaxInterval; }

PinnedMachines Preemptor::pins(SteadyTime now) const {
  PinnedMachines pins;
  for (const auto& [job_id, freed] : freed_by_job_) {
    if (now - freed.freed_at < kRetryInterval) pins.emplace(job_id, freed.machine_ids);
  }
  return pins;
}

void Preemptor::run(const Planner& planner, const Reservations& reservations) {
  const SteadyTime now = clock_.steady();
  if (now - last_run_ < std::max(kMinInterval, last_run_duration_ * kIntervalToRunTime)) return;
  const auto timed = metrics_.time(Duty::preempt);
  last_run_ = now;
  const auto guaranteed = guaranteed_jobs(cache_.records(), settings_);
  const WallTime wall = clock_.wall();
  std::set<MachineId> claimed_machine_ids = claimed_machines(planner.queue(), now);
  std::size_t jobs_tried = 0;
  for (const QueueItem& item : planner.queue()) {
    if (!may_preempt(item, reservations, now, wall)) continue;
    if (++jobs_tried > kMaxJobsPerRun || clock_.steady() - now > kRunBudget) break;
    const auto machine_ids = preempt_for(item, guaranteed, planner.profile(), claimed_machine_ids);
    if (machine_ids.empty()) continue;
    freed_by_job_[item.job_id] = {now, machine_ids};
    claimed_machine_ids.insert(machine_ids.begin(), machine_ids.end());
  }
  last_run_duration_ = clock_.steady() - now;
  std::erase_if(freed_by_job_, [&](const auto& entry) {
    return now - entry.second.freed_at > kFreedMachinesRetention;
  });
}

bool Preemptor::may_preempt(const QueueItem& item, const Reservations& reservations, SteadyTime now,
                            WallTime wall) const {
  const auto reservation = reservations.find(item.job_id);
  if (reservation == reservations.end() || item.not_before > wall) return false;
  if (reservation->second.start - wall < kMinWait) return false;
  if (!item.guaranteed && item.demand.job->urgency == Urgency::low) return false;
  // A job whose tasks keep failing was probably submitted with a mistake. Preempting for it would
  // only let it fail again.
  if (item.failing) return false;
  return !freed_recently(item.job_id, now);
}

bool Preemptor::freed_recently(const JobId& job_id, SteadyTime now) const {
  const auto freed = freed_by_job_.find(job_id);
  return freed != freed_by_job_.end() && now - freed->second.freed_at < kRetryInterval;
}

std::set<MachineId> Preemptor::claimed_machines(const std::vector<QueueItem>& queue,
                                                SteadyTime now) const {
  // Capacity that is being freed for one job is not available to other jobs. Without this exclusion
  // a burst of urgent jobs would all wait for the same machines, and capacity would be freed for
  // one job after the other.
  std::set<JobId> waiting_jobs;
  for (const QueueItem& item : queue) waiting_jobs.insert(item.job_id);
  std::set<MachineId> claimed_machine_ids;
  for (const auto& [job_id, freed] : freed_by_job_) {
    if (now - freed.freed_at < kRetryInterval && waiting_jobs.contains(job_id)) {
      claimed_machine_ids.insert(freed.machine_ids.begin(), freed.machine_ids.end());
    }
  }
  return claimed_machine_ids;
}

std::vector<MachineId> Preemptor::preempt_for(const QueueItem& item,
                                              const std::unordered_set<JobId>& guaranteed,
                                              const Profile& profile,
                                              const std::set<MachineId>& claimed_machine_ids) {
  const Records& records = cache_.records();
  const auto preemption = select_victims(item, guaranteed, records, settings_, profile,
                                         clock_.wall(), claimed_machine_ids);
  if (!preemption) return {};
  std::map<SliceKey, std::set<std::size_t>> victims_by_slice;
  for (const TaskId& id : preemption->victims) {
    victims_by_slice[{id.job_id, id.task_index / kSliceTasks}].insert(id.task_index % kSliceTasks);
  }
  for (const auto& [key, indices] : victims_by_slice) {
    if (releaser_.open_releases().contains(key)) return {};
  }
  const std::string reason = preemption_reason(item);
  for (const auto& [key, indices] : victims_by_slice) {
    const Duration grace_period = preemption_grace_period(records.job(key.job_id)->spec);
    releaser_.stop_tasks(key, indices, StopOrder{grace_period, StopReason(reason)});
    guarantee_writer_.note(key.job_id, reason);
  }
  spdlog::info("leader: preempted tasks={} for_job={}", preemption->victims.size(),
               item.demand.job->job_id.get());
  return preemption->machine_ids;
}

}  // namespace marblevale
