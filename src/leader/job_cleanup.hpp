/// The leader's care for jobs that have ended and for machines with tasks that nobody can prove
/// gone.
#pragma once

#include <map>
#include <set>

#include "autoscaler/autoscaler.hpp"
#include "config/settings.hpp"
#include "election/election.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Moves ended jobs to their final records, has machines deleted that keep cancelled tasks or have
/// no record, and removes the slices and guarantee records that ended jobs leave behind. Runs only
/// while this controller leads; its commits are guarded by the term.
class JobCleanup {
 public:
  JobCleanup(const Clock& clock, const Settings& settings, WatchCache& cache, Election& election,
             Autoscaler& autoscaler);

  /// Forgets commits that are in flight under an earlier term.
  void begin_term();
  /// The part of each round: cancelled jobs, jobs of several slices, machines, and leftovers.
  void run();
  /// Looks at every job, also at those of one slice, which their holders usually end.
  void end_all_finished();

 private:
  void end_if_finished(const JobId& job_id);
  [[nodiscard]] bool is_finished(const JobId& job_id, const Versioned<JobRecord>& job) const;
  void commit_end(const JobId& job_id, const Versioned<JobRecord>& job);
  /// Has the machines deleted that do not confirm the end of a cancelled task.
  void delete_machines_of_cancelled(const JobId& job_id);
  void delete_unrecorded_machines();
  void remove_leftovers();

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  Autoscaler& autoscaler_;
  std::set<JobId> end_commits_in_flight_;
  /// Since when a machine has had tasks, but no record.
  std::map<MachineId, WallTime> unrecorded_since_;
  bool removal_in_flight_ = false;
};

}  // namespace marblevale
