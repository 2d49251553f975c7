#include "leader/guarantee_writer.hpp"

#include <algorithm>
#include <utility>

namespace marblevale {

namespace {
/// A job that starts within this time of its acceptance needs no record of its guarantee, because
/// its slice shows the start.
constexpr Duration kMinRecordedWait{2'000};
/// Minimum time between two writes of the same job's guarantee.
constexpr Duration kRewriteInterval{10'000};
/// Minimum time between two batches while the write budget is low.
constexpr Duration kShortBudgetInterval{5'000};
/// The write budget is low when its unused share is below this value.
constexpr double kShortWriteSlack = 0.3;
/// Maximum number of queued notes for one job.
constexpr std::size_t kMaxQueuedNotes = 16;

bool contains_text(const std::vector<Note>& notes, const std::string& text) {
  return std::any_of(notes.begin(), notes.end(),
                     [&](const Note& note) { return note.text == text; });
}
}  // namespace

GuaranteeWriter::GuaranteeWriter(const Clock& clock, WatchCache& cache, Election& election)
    : clock_(clock), cache_(cache), election_(election) {}

void GuaranteeWriter::begin_term() {
  ++term_count_;
  commit_in_flight_ = false;
  notes_.clear();
  for (const auto& [key, slice] : cache_.records().slices)
    note_unrecorded_stops(key.job_id, slice.record);
  std::erase_if(notes_, [](const auto& entry) { return entry.second.empty(); });
}

void GuaranteeWriter::note_unrecorded_stops(const JobId& job_id, const SliceRecord& slice) {
  const auto& guarantee_records = cache_.records().guarantee_records;
  const auto recorded = guarantee_records.find(job_id);
  for (const TaskRecord& task : slice.tasks) {
    if (!task.stop) continue;
    const std::string& reason = task.stop->reason.get();
    auto& queued_notes = notes_[job_id];
    if (recorded != guarantee_records.end() &&
        contains_text(recorded->second.record.notes, reason)) {
      continue;
    }
    if (!contains_text(queued_notes, reason)) queued_notes.push_back({clock_.wall(), reason});
  }
}

void GuaranteeWriter::note(const JobId& job_id, std::string text) {
  auto& queued_notes = notes_[job_id];
  if (queued_notes.size() < kMaxQueuedNotes)
    queued_notes.push_back({clock_.wall(), std::move(text)});
}

void GuaranteeWriter::flush(Reservations& reservations) {
  if (commit_in_flight_) return;
  const SteadyTime now = clock_.steady();
  if (cache_.write_slack() < kShortWriteSlack && now - last_commit_ < kShortBudgetInterval) return;
  const WallTime wall = clock_.wall();
  Batch batch = make_batch(due_jobs(reservations, wall), reservations, wall);
  if (batch.txn.puts.empty()) return;
  commit(std::move(batch), now, reservations);
}

std::set<JobId> GuaranteeWriter::due_jobs(const Reservations& reservations, WallTime now) const {
  std::set<JobId> due;
  for (const auto& [job_id, reservation] : reservations) {
    if (reservation.changed && !write_later(job_id, reservation, now)) due.insert(job_id);
  }
  for (const auto& [job_id, notes] : notes_) due.insert(job_id);
  return due;
}

bool GuaranteeWriter::write_later(const JobId& job_id, const Reservation& reservation,
                                  WallTime now) const {
  if (reservation.last_recorded) return *reservation.last_recorded + kRewriteInterval > now;
  const auto& jobs = cache_.records().jobs;
  const auto job = jobs.find(job_id);
  return job != jobs.end() && job->second.record.accepted + kMinRecordedWait > now;
}

GuaranteeWriter::Batch GuaranteeWriter::make_batch(const std::set<JobId>& due,
                                                   Reservations& reservations, WallTime now) {
  const auto& jobs = cache_.records().jobs;
  // Each job takes two operations: the guard on its job record, and its guarantee record.
  const std::size_t max_jobs = std::max<std::size_t>(1, cache_.max_operations() / 2);
  Batch batch;
  election_.guard(batch.txn);
  for (const JobId& job_id : due) {
    if (batch.txn.puts.size() >= max_jobs) break;
    const auto job = jobs.find(job_id);
    if (job == jobs.end()) {
      notes_.erase(job_id);
      continue;
    }
    add_to_batch(batch, job_id, job->second, reservations, now);
  }
  return batch;
}

void GuaranteeWriter::add_to_batch(Batch& batch, const JobId& job_id,
                                   const Versioned<JobRecord>& job, Reservations& reservations,
                                   WallTime now) {
  const auto& guarantee_records = cache_.records().guarantee_records;
  const auto stored = guarantee_records.find(job_id);
  const bool is_stored = stored != guarantee_records.end();
  GuaranteeRecord record;
  if (is_stored) record = stored->second.record;
  record.job_id = job_id;
  if (const auto it = reservations.find(job_id); it != reservations.end()) {
    Reservation& reservation = it->second;
    if (record.guarantees.empty()) {
      const Duration wait = reservation.granted_start - job.record.accepted;
      record.note(clock_.wall(),
                  "granted a start " + std::to_string(whole_seconds(wait)) + " s after acceptance");
    }
    record.guarantees = {{0, reservation.granted_start, reservation.start, reservation.end}};
    reservation.changed = false;
    reservation.last_recorded = now;
  }
  std::vector<Note>& batch_notes = batch.notes[job_id];
  if (const auto queued_notes = notes_.find(job_id); queued_notes != notes_.end()) {
    batch_notes = std::move(queued_notes->second);
    for (const Note& note : batch_notes) record.note(note.at, note.text);
    notes_.erase(queued_notes);
  }
  // This guard keeps the guarantee record from being created again after the job has ended.
  batch.txn.guard(keys::job(job_id), job.mod_revision);
  batch.txn.guard(keys::guarantee_record(job_id),
                  is_stored ? stored->second.mod_revision : ModRevision{});
  batch.txn.put(keys::guarantee_record(job_id),
                encode(std::move(record), cache_.lasting_value_bytes()));
}

void GuaranteeWriter::commit(Batch batch, SteadyTime now, Reservations& reservations) {
  commit_in_flight_ = true;
  last_commit_ = now;
  cache_.commit(RequestPriority::best_effort, std::move(batch.txn),
                [this, &reservations, term = term_count_,
                 notes = std::move(batch.notes)](const CommitResult& result) {
                  if (term != term_count_) return;
                  commit_in_flight_ = false;
                  if (result.outcome != Outcome::done) requeue(notes, reservations);
                });
}

void GuaranteeWriter::requeue(const NotesByJob& failed_notes, Reservations& reservations) {
  for (const auto& [job_id, unwritten] : failed_notes) {
    if (const auto it = reservations.find(job_id); it != reservations.end()) {
      it->second.changed = true;
    }
    // Notes must not be lost, because users may ask for these reasons.
    auto& queued_notes = notes_[job_id];
    queued_notes.insert(queued_notes.begin(), unwritten.begin(), unwritten.end());
    if (queued_notes.empty()) notes_.erase(job_id);
  }
}

}  // namespace marblevale
