// What the leader does about jobs that are over, and about tasks whose end nobody could prove.
#pragma once

#include <map>
#include <set>

#include "autoscaler/autoscaler.hpp"
#include "config/settings.hpp"
#include "election/election.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Moves jobs that are over to their final records, asks for the deletion of machines that keep
/// cancelled tasks or have no record, and removes what ended jobs leave behind. To be run while
/// this controller leads; what it has on its way ends with the term.
class JobCleanup {
 public:
  JobCleanup(const Clock& clock, const Settings& settings, WatchCache& cache, Election& election,
             Autoscaler& autoscaler);

  void begin_term();
  /// Once a round.
  void run();
  /// Looks at every job, also at those that their holders' own commits usually end.
  void end_all_finished();

 private:
  void end_if_over(const JobId& job_id);
  void commit_end(const JobId& job_id, const Versioned<JobRecord>& job);
  void delete_machines_of_cancelled(const JobId& job_id);
  void delete_unrecorded_machines();
  void sweep_leftovers();

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  Autoscaler& autoscaler_;
  std::set<JobId> ending_;  // with a commit on its way
  std::map<MachineId, WallTime> unrecorded_since_;
  bool sweeping_ = false;
};

}  // namespace marblevale
