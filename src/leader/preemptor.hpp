/// Preemption: stops running tasks so that a job of higher priority can start.
///
/// `select_victims` chooses the tasks that lose the least work. The preemptor decides for which
/// jobs and how often to preempt, commits the stops, and reserves the freed machines for the job
/// that they were freed for.
#pragma once

#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "core/metrics.hpp"
#include "leader/guarantee_writer.hpp"
#include "leader/releaser.hpp"
#include "scheduling/planner.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Runs at intervals of its own, because a search through all running tasks is expensive.
class Preemptor {
 public:
  Preemptor(Metrics& metrics, const Clock& clock, const Settings& settings, const WatchCache& cache,
            Releaser& releaser, GuaranteeWriter& guarantee_writer);

  /// Discards the freed machines of earlier terms.
  void begin_term() { freed_by_job_.clear(); }
  /// True when the last run was so long ago that preemption must not wait for a round without
  /// starts.
  [[nodiscard]] bool overdue(SteadyTime now) const;
  /// Tries to preempt for the queue's jobs by priority, within a limit on jobs and time. Does
  /// nothing when the last run was too recent.
  void run(const Planner& planner, const Reservations& reservations);
  /// The recently freed machines, by the job that they were freed for.
  [[nodiscard]] PinnedMachines pins(SteadyTime now) const;

 private:
  /// Machines on which tasks were stopped for a job.
  struct FreedMachines {
    SteadyTime freed_at;
    std::vector<MachineId> machine_ids;
  };

  [[nodiscard]] bool may_preempt(const QueueItem& item, const Reservations& reservations,
                                 SteadyTime now, WallTime wall) const;
  [[nodiscard]] bool freed_recently(const JobId& job_id, SteadyTime now) const;
  /// Machines that were freed recently for jobs that are still in the queue.
  [[nodiscard]] std::set<MachineId> claimed_machines(const std::vector<QueueItem>& queue,
                                                     SteadyTime now) const;
  /// Stops tasks so that the job can start. Returns the machines on which this frees capacity, or
  /// none when there is nothing to stop.
  std::vector<MachineId> preempt_for(const QueueItem& item,
                                     const std::unordered_set<JobId>& guaranteed,
                                     const Profile& profile,
                                     const std::set<MachineId>& claimed_machine_ids);

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  const WatchCache& cache_;
  Releaser& releaser_;
  GuaranteeWriter& guarantee_writer_;
  std::unordered_map<JobId, FreedMachines> freed_by_job_;
  SteadyTime last_run_ = kLongAgo;
  Duration last_run_duration_{};
};

}  // namespace marblevale
