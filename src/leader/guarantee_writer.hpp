// The leader's record of what was promised and why it changed: guarantees and notes, written in
// batches, for the members who ask and for the next leader.
#pragma once

#include <unordered_map>
#include <vector>

#include "election/election.hpp"
#include "scheduling/planner.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

class GuaranteeWriter {
 public:
  GuaranteeWriter(const Clock& clock, WatchCache& cache, Election& election);

  /// A new term: what an earlier one had not written is no longer ours to write. The reasons of
  /// stops that are still in the slices are noted again where the grants lack them.
  void begin_term();
  /// Something that happened to the job's plan.
  void note(const JobId& job_id, std::string what);
  /// Writes what has changed, as far as the budget has something to spare. `reservations` must
  /// outlive the commit.
  void flush(Reservations& reservations);

 private:
  const Clock& clock_;
  WatchCache& cache_;
  Election& election_;
  std::unordered_map<JobId, std::vector<Note>> notes_;  // not yet in the state service
  bool writing_ = false;
  std::uint64_t life_ = 0;  // of which term a commit was
  SteadyTime last_ = kLongAgo;
};

}  // namespace marblevale
