/// Writes the guarantee records: the start time that each job was guaranteed, and notes that
/// explain changes to it.
///
/// The records serve users who ask about a job, and the next leader. No decision of the current
/// term reads them, so they are written in batches, and less often while the write budget is low.
#pragma once

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "election/election.hpp"
#include "scheduling/planner.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Collects notes and changed guarantees, and has at most one batch commit in flight.
class GuaranteeWriter {
 public:
  GuaranteeWriter(const Clock& clock, WatchCache& cache, Election& election);

  /// Discards unwritten notes of earlier terms. Then queues the stop reasons that the slices
  /// contain but the guarantee records lack.
  void begin_term();
  /// Queues a note on an event of the job, for users who ask for its reason. Discards the note when
  /// too many notes of the job are queued.
  void note(const JobId& job_id, std::string text);
  /// Commits one batch of changed guarantees and queued notes. Does nothing while a commit is in
  /// flight, or while the write budget is low and the last batch was recent. `reservations` must
  /// outlive the commit.
  void flush(Reservations& reservations);

 private:
  using NotesByJob = std::unordered_map<JobId, std::vector<Note>>;
  /// One transaction and the notes that it writes. The notes are queued again when the commit
  /// fails.
  struct Batch {
    Transaction txn;
    NotesByJob notes;
  };

  void note_unrecorded_stops(const JobId& job_id, const SliceRecord& slice);
  /// Jobs with queued notes, and jobs whose changed guarantee may be written now.
  [[nodiscard]] std::set<JobId> due_jobs(const Reservations& reservations, WallTime now) const;
  /// True when a changed guarantee must wait: the last write was too recent, or the job was
  /// accepted so recently that it may start without a record of its guarantee.
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
  NotesByJob notes_;  // queued, not yet in a batch
  bool commit_in_flight_ = false;
  /// Distinguishes answers to commits of this term from answers to commits of earlier terms.
  std::uint64_t term_count_ = 0;
  SteadyTime last_commit_ = kLongAgo;
};

}  // namespace marblevale
