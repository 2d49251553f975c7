/// Writes the guarantee records: which start each job was guaranteed, and notes on why it changed.
///
/// Users who ask about a job read them, and so does the next leader. They are written in batches,
/// later when the budget for writes is short: no decision of this term depends on them.
#pragma once

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "election/election.hpp"
#include "scheduling/planner.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Collects notes and changed guarantees, and commits at most one batch at a time.
class GuaranteeWriter {
 public:
  GuaranteeWriter(const Clock& clock, WatchCache& cache, Election& election);

  /// Drops what an earlier term has not written. Notes again the reasons of stops that stand in the
  /// slices but not in the guarantee records.
  void begin_term();
  /// Something that happened to the job, for users who ask why.
  void note(const JobId& job_id, std::string text);
  /// Commits one batch of what has changed, unless a batch is in flight or writes are short.
  /// `reservations` must outlive the commit.
  void flush(Reservations& reservations);

 private:
  using NotesByJob = std::unordered_map<JobId, std::vector<Note>>;
  /// One transaction, and the notes that it carries: they are queued again when it fails.
  struct Batch {
    Transaction txn;
    NotesByJob notes;
  };

  void note_unrecorded_stops(const JobId& job_id, const SliceRecord& slice);
  /// Jobs with notes, and jobs whose changed guarantee is old enough to be written.
  [[nodiscard]] std::set<JobId> due_jobs(const Reservations& reservations, WallTime now) const;
  /// True when a changed guarantee is not to be written yet.
  [[nodiscard]] bool write_later(const JobId& job_id, const Reservation& reservation,
                                 WallTime now) const;
  [[nodiscard]] Batch make_batch(const std::set<JobId>& due, Reservations& reservations,
                                 WallTime now);
  void add_to_batch(Batch& batch, const JobId& job_id, const Versioned<JobRecord>& job,
                    Reservations& reservations, WallTime now);
  void commit(Batch batch, SteadyTime now, Reservations& reservations);
  void requeue(const NotesByJob& failed_notes, Reservations& reservations);

  const Clock& clock_;
  WatchCache& cache_;
  Election& election_;
  NotesByJob notes_;  // not yet in a batch
  bool commit_in_flight_ = false;
  /// Tells answers to commits of this term from those of earlier ones.
  std::uint64_t term_count_ = 0;
  SteadyTime last_commit_ = kLongAgo;
};

}  // namespace marblevale
