#include "planner/grant_writer.hpp"

#include <algorithm>
#include <set>

namespace marblevale {

namespace {
constexpr Span kBeginsAtOnce{2'000};  // a job begun by then needs no record of its guarantee
constexpr Span kRewrite{10'000};      // between two records of one job's guarantee
constexpr Span kPersistLater{5'000};  // without budget to spare
constexpr double kPersistSlack = 0.3;
constexpr std::size_t kMostNotes = 16;  // of one job that wait
}  // namespace

GrantWriter::GrantWriter(const Clock& clock, const Settings& settings, Mirror& mirror,
                         Election& election)
    : clock_(clock), settings_(settings), mirror_(mirror), election_(election) {}

void GrantWriter::begin_term() {
  ++life_;
  writing_ = false;
  notes_.clear();
  const auto& records = mirror_.records();
  for (const auto& [key, slice] : records.slices) {
    const auto grant = records.grants.find(key.first);
    for (const TaskRecord& task : slice.record.tasks) {
      if (!task.stop) continue;
      const auto said = [&](const Note& n) { return n.what == task.stop->reason; };
      const bool known =
          grant != records.grants.end() &&
          std::any_of(grant->second.record.notes.begin(), grant->second.record.notes.end(), said);
      auto& waiting = notes_[key.first];
      if (!known && std::none_of(waiting.begin(), waiting.end(), said)) {
        waiting.push_back({clock_.wall(), task.stop->reason});
      }
    }
  }
  std::erase_if(notes_, [](const auto& entry) { return entry.second.empty(); });
}

void GrantWriter::note(const Uid& uid, std::string what) {
  auto& list = notes_[uid];
  if (list.size() < kMostNotes) list.push_back({clock_.wall(), std::move(what)});
}

void GrantWriter::flush(Reservations& reservations) {
  if (writing_) return;
  const auto& records = mirror_.records();
  Txn txn;
  election_.guard(txn);
  const std::size_t most = std::max<std::size_t>(1, settings_.store.txn_ops / 2);
  std::unordered_map<Uid, std::vector<Note>> going;
  std::set<Uid> due;
  // A job that begins at once is told by its slice; a guarantee that moves is written now and then.
  // Without budget to spare, notes and guarantees wait: no decision depends on them.
  const Steady now = clock_.steady();
  if (mirror_.write_slack() < kPersistSlack && now - last_ < kPersistLater) return;
  const Wall wall = clock_.wall();
  for (const auto& [uid, r] : reservations) {
    if (!r.changed) continue;
    const auto job = records.jobs.find(uid);
    const Wall since = r.written.ms != 0           ? r.written + kRewrite
                       : job != records.jobs.end() ? job->second.record.accepted + kBeginsAtOnce
                                                   : Wall{0};
    if (since <= wall) due.insert(uid);
  }
  for (const auto& [uid, notes] : notes_) due.insert(uid);
  for (const Uid& uid : due) {
    if (txn.puts.size() >= most) break;
    const auto job = records.jobs.find(uid);
    if (job == records.jobs.end()) {
      notes_.erase(uid);
      continue;
    }
    const auto stored = records.grants.find(uid);
    GrantRecord grant;
    if (stored != records.grants.end()) grant = stored->second.record;
    grant.uid = uid;
    if (const auto r = reservations.find(uid); r != reservations.end()) {
      if (grant.guarantees.empty()) {
        const auto wait = r->second.first - job->second.record.accepted;
        grant.note(clock_.wall(),
                   "granted a start " + std::to_string(wait.ms / 1000) + " s after acceptance");
      }
      grant.guarantees = {{0, r->second.first, r->second.start, r->second.end}};
      r->second.changed = false;
      r->second.written = wall;
    }
    auto& told = going[uid];
    if (const auto notes = notes_.find(uid); notes != notes_.end()) {
      told = std::move(notes->second);
      for (const Note& n : told) grant.note(n.at, n.what);
      notes_.erase(notes);
    }
    // The job's guard: a grant must not come back after the job has ended.
    txn.guard(keys::job(uid), job->second.stamp);
    txn.guard(keys::grant(uid), stored == records.grants.end() ? Stamp{} : stored->second.stamp);
    txn.put(keys::grant(uid), encode(grant));
  }
  if (txn.puts.empty()) return;
  writing_ = true;
  last_ = now;
  mirror_.commit(
      Rank::record, std::move(txn),
      [this, &reservations, life = life_, going = std::move(going)](const CommitResult& r) {
        if (life != life_) return;
        writing_ = false;
        if (r.fate == Fate::done) return;
        for (const auto& [uid, told] : going) {
          if (const auto it = reservations.find(uid); it != reservations.end()) {
            it->second.changed = true;
          }
          // No reason may be lost: a member may ask for it.
          auto& notes = notes_[uid];
          notes.insert(notes.begin(), told.begin(), told.end());
          if (notes.empty()) notes_.erase(uid);
        }
      });
}

}  // namespace marblevale
