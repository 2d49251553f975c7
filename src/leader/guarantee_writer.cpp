#include "leader/guarantee_writer.hpp"

#include <algorithm>
#include <set>

namespace marblevale {

namespace {
constexpr Duration kBeginsAtOnce{2'000};  // a job begun by then needs no record of its guarantee
constexpr Duration kRewrite{10'000};      // between two records of one job's guarantee
constexpr Duration kPersistLater{5'000};  // without budget to spare
constexpr double kPersistSlack = 0.3;
constexpr std::size_t kMaxNotes = 16;  // of one job that wait
}  // namespace

GuaranteeWriter::GuaranteeWriter(const Clock& clock, WatchCache& cache, Election& election)
    : clock_(clock), cache_(cache), election_(election) {}

void GuaranteeWriter::begin_term() {
  ++life_;
  writing_ = false;
  notes_.clear();
  const auto& records = cache_.records();
  for (const auto& [key, slice] : records.slices) {
    const auto guarantee_record = records.guarantee_records.find(key.job_id);
    for (const TaskRecord& task : slice.record.tasks) {
      if (!task.stop) continue;
      const auto said = [&](const Note& n) { return n.what == task.stop->reason; };
      const bool known = guarantee_record != records.guarantee_records.end() &&
                         std::any_of(guarantee_record->second.record.notes.begin(),
                                     guarantee_record->second.record.notes.end(), said);
      auto& waiting = notes_[key.job_id];
      if (!known && std::none_of(waiting.begin(), waiting.end(), said)) {
        waiting.push_back({clock_.wall(), task.stop->reason});
      }
    }
  }
  std::erase_if(notes_, [](const auto& entry) { return entry.second.empty(); });
}

void GuaranteeWriter::note(const JobId& job_id, std::string what) {
  auto& list = notes_[job_id];
  if (list.size() < kMaxNotes) list.push_back({clock_.wall(), std::move(what)});
}

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
void GuaranteeWriter::flush(Reservations& reservations) {
  if (writing_) return;
  const auto& records = cache_.records();
  Transaction txn;
  election_.guard(txn);
  const std::size_t most = std::max<std::size_t>(1, cache_.max_operations() / 2);
  std::unordered_map<JobId, std::vector<Note>> going;
  std::set<JobId> due;
  // A job that begins at once is told by its slice; a guarantee that moves is written now and then.
  // Without budget to spare, notes and guarantees wait: no decision depends on them.
  const SteadyTime now = clock_.steady();
  if (cache_.write_slack() < kPersistSlack && now - last_ < kPersistLater) return;
  const WallTime wall = clock_.wall();
  for (const auto& [job_id, r] : reservations) {
    if (!r.changed) continue;
    const auto job = records.jobs.find(job_id);
    const WallTime since = r.written != WallTime{}     ? r.written + kRewrite
                           : job != records.jobs.end() ? job->second.record.accepted + kBeginsAtOnce
                                                       : WallTime{};
    if (since <= wall) due.insert(job_id);
  }
  for (const auto& [job_id, notes] : notes_) due.insert(job_id);
  for (const JobId& job_id : due) {
    if (txn.puts.size() >= most) break;
    const auto job = records.jobs.find(job_id);
    if (job == records.jobs.end()) {
      notes_.erase(job_id);
      continue;
    }
    const auto stored = records.guarantee_records.find(job_id);
    GuaranteeRecord guarantee_record;
    if (stored != records.guarantee_records.end()) guarantee_record = stored->second.record;
    guarantee_record.job_id = job_id;
    if (const auto r = reservations.find(job_id); r != reservations.end()) {
      if (guarantee_record.guarantees.empty()) {
        const auto wait = r->second.first - job->second.record.accepted;
        guarantee_record.note(
            clock_.wall(),
            "granted a start " + std::to_string(whole_seconds(wait)) + " s after acceptance");
      }
      guarantee_record.guarantees = {{0, r->second.first, r->second.start, r->second.end}};
      r->second.changed = false;
      r->second.written = wall;
    }
    auto& told = going[job_id];
    if (const auto notes = notes_.find(job_id); notes != notes_.end()) {
      told = std::move(notes->second);
      for (const Note& n : told) guarantee_record.note(n.at, n.what);
      notes_.erase(notes);
    }
    // The job's guard: a grant must not come back after the job has ended.
    txn.guard(keys::job(job_id), job->second.mod_revision);
    txn.guard(keys::guarantee_record(job_id), stored == records.guarantee_records.end()
                                                  ? ModRevision{}
                                                  : stored->second.mod_revision);
    txn.put(keys::guarantee_record(job_id),
            encode(std::move(guarantee_record), cache_.lasting_value_bytes()));
  }
  if (txn.puts.empty()) return;
  writing_ = true;
  last_ = now;
  cache_.commit(
      RequestPriority::record, std::move(txn),
      [this, &reservations, life = life_, going = std::move(going)](const CommitResult& r) {
        if (life != life_) return;
        writing_ = false;
        if (r.outcome == Outcome::done) return;
        for (const auto& [job_id, told] : going) {
          if (const auto it = reservations.find(job_id); it != reservations.end()) {
            it->second.changed = true;
          }
          // No reason may be lost: a member may ask for it.
          auto& notes = notes_[job_id];
          notes.insert(notes.begin(), told.begin(), told.end());
          if (notes.empty()) notes_.erase(job_id);
        }
      });
}

}  // namespace marblevale
