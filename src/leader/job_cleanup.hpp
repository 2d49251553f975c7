/// Cleanup by the leader: ends jobs whose tasks have finished, and requests the deletion of
/// machines whose tasks can't otherwise be proven to have ended.
#pragma once

#include <map>
#include <set>

#include "autoscaler/autoscaler.hpp"
#include "config/settings.hpp"
#include "election/election.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Moves ended jobs to their final records, requests the deletion of machines that still hold
/// cancelled tasks or have no record, and removes the slices and guarantee records of ended jobs.
/// Runs only while this controller is the leader. Its commits are guarded by the leader's term.
class JobCleanup {
 public:
  JobCleanup(const Clock& clock, const Settings& settings, WatchCache& cache, Election& election,
             Autoscaler& autoscaler);

  /// Resets the state that belongs to earlier terms, such as commits in flight.
  void begin_term();
  /// Runs in each round. Handles cancelled jobs, jobs of several slices, machines without a record,
  /// and leftover records.
  void run();
  /// Ends every finished job. This includes jobs of one slice, which their shard holder normally
  /// ends.
  void end_all_finished();

 private:
  void end_if_finished(const JobId& job_id);
  [[nodiscard]] bool is_finished(const JobId& job_id, const Versioned<JobRecord>& job) const;
  void commit_end(const JobId& job_id, const Versioned<JobRecord>& job);
  /// Requests the deletion of the machines that have a bound task of this cancelled job.
  void delete_machines_of_cancelled(const JobId& job_id);
  void delete_unrecorded_machines();
  void remove_leftovers();

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  Autoscaler& autoscaler_;
  std::set<JobId> end_commits_in_flight_;
  /// When a machine was first seen to have tasks but no record.
  std::map<MachineId, WallTime> unrecorded_since_;
  bool removal_in_flight_ = false;
};

}  // namespace marblevale
