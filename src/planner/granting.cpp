#include "planner/granting.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "planner/displacement.hpp"
#include "planner/queueing.hpp"

namespace marblevale {

namespace {

constexpr Span kTick{500};
constexpr Span kRoundEvery{15};  // what changes within this is planned together
constexpr Span kDisplaceEvery{400};
constexpr Span kStrayTask{20'000};
constexpr Span kDisplaceAnyway{2'000};
constexpr std::size_t kMostDisplacing = 6;  // jobs for which room is sought in one round
constexpr Span kDisplaceBudget{60};         // after which no further job is tried in it
constexpr Span kCoalesce{5};
constexpr Span kWantEvery{1000};  // at the least, and at most a thirtieth of the time
constexpr Span kSummaryEvery{10'000};
constexpr Span kSaveMargin{3'000};  // before a machine is taken back
constexpr Span kRoomEvery{12'000};  // between two displacements for one job
constexpr Span kWorthDisplacing{3'000};
constexpr Span kRefusedPause{400};
constexpr double kPersistSlack = 0.3;
constexpr double kSweepSlack = 0.6;
constexpr std::size_t kMostLeft = 1000;
constexpr std::size_t kSmallPiece = 8;
constexpr Span kDarkLife{4'000};  // of a holder's word that it reaches no machine of a zone
constexpr Span kOfferPatience{3'500};
constexpr Span kPieceEvery{3'000};
constexpr std::size_t kMostWanting = 30;
constexpr Span kSoon{20'000};        // a start this near needs no new machine
constexpr Span kOverdueBoot{5'500};  // a machine expected within this is late, or about to come
constexpr Span kStrandedEvery{10'000};
constexpr Span kStrandedAfter{30'000};  // of waiting: no job may wait for 90 s beside free room
constexpr Span kStrandedStays{15'000};  // from the first sweep that finds it to the word of it
constexpr Span kStrandedToldEvery{60'000};
constexpr Span kMachineOutOfUse{60'000};
constexpr std::size_t kMostStranded = 32;
constexpr Span kUnplacedWait{600'000};  // of a job that no machine can take

/// Time to save, unless saving takes longer than the work that is lost on average by not saving.
Span displacement_leeway(const JobSpec& job) {
  const Span saving = job.stash + Span{2'000};
  return job.snapshot > Span{0} && job.snapshot * 0.5 <= saving ? Span{0} : saving;
}

}  // namespace

Granting::Granting(Loop& loop, const Clock& clock, const Settings& settings, Mirror& mirror,
                   Election& election, Fleet& fleet)
    : meter_(loop.meter()),
      clock_(clock),
      settings_(settings),
      mirror_(mirror),
      election_(election),
      fleet_(fleet),
      grants_(clock, settings, mirror, election),
      timer_(loop, [this] { round(); }) {
  mirror_.listen([this](Topic topic, const std::string& key) { noticed(topic, key); });
}

void Granting::noticed(Topic topic, const std::string& key) {
  switch (topic) {
    case Topic::slice: {
      const auto slash = key.find('/');
      occupancy_.touch_slice({Uid(key.substr(0, slash)),
                              static_cast<std::uint32_t>(std::stoul(key.substr(slash + 1)))});
      break;
    }
    case Topic::job:
      for (auto it = mirror_.records().slices.lower_bound({Uid(key), 0});
           it != mirror_.records().slices.end() && it->first.first.get() == key; ++it) {
        occupancy_.touch_slice(it->first);
      }
      break;
    case Topic::machine:
      occupancy_.touch_machine(HostId(key));
      break;
    case Topic::types:
      occupancy_.reset();
      break;
    case Topic::leader:
    case Topic::hire:
      break;
    default:
      return;
  }
  wake();
}

void Granting::begin() {
  timer_.start(kTick);
  timer_due_ = clock_.steady() + kTick;
}

void Granting::wake() {
  if (!election_.in_charge()) return;
  // Rounds take at most about a third of the processor's share.
  const Span since = clock_.steady() - round_over_;
  const Span pause = std::max(kCoalesce, std::max(kRoundEvery, round_took_ * 2.0) - since);
  if (timer_.pending() && timer_due_ <= clock_.steady() + pause) return;
  timer_due_ = clock_.steady() + pause;
  timer_.start(pause);
}

void Granting::transition(State next) {
  if (next == state_) return;
  spdlog::info("granting: {}", next == State::leading ? "leading" : "idle");
  state_ = next;
}

void Granting::take_over() {
  transition(State::leading);
  term_ = election_.term();
  grants_.begin_term();
  reservations_.clear();
  pending_.clear();
  unknown_.clear();
  offered_.clear();
  ending_.clear();
  made_room_.clear();
  stray_since_.clear();
  stranded_.clear();
  sweeping_ = false;
  cursor_ = 0;
  occupancy_.reset();
  // The stored guarantees are taken as they are; places are found again at those times.
  for (const auto& [uid, stored] : mirror_.records().grants) {
    if (stored.record.guarantees.empty()) continue;
    const Guarantee& g = stored.record.guarantees.back();
    Reservation r;
    r.first = g.first;
    r.start = g.start;
    r.end = g.end;
    r.changed = false;
    reservations_.emplace(uid, std::move(r));
  }
}

const SliceRecord* Granting::current(const Uid& uid, std::uint32_t number) const {
  if (const auto it = pending_.find({uid, number}); it != pending_.end()) return &it->second.slice;
  const auto* stored = mirror_.records().slice(uid, number);
  return stored == nullptr ? nullptr : &stored->record;
}

void Granting::round() {
  timer_.start(kTick);
  timer_due_ = clock_.steady() + kTick;
  if (!election_.in_charge()) {
    transition(State::idle);
    return;
  }
  const auto timed = meter_.time(Duty::round);
  const Steady begin = clock_.steady();
  if (state_ != State::leading || term_ != election_.term()) take_over();
  std::erase_if(pending_, [this, begin](const auto& entry) {
    const Pending& p = entry.second;
    return (p.until && mirror_.revision().get() >= p.until->get()) ||
           (p.retry && begin >= *p.retry);
  });
  if (!mirror_.records().types) return;  // nothing is known of what machines there are

  pursue_offers();
  std::vector<std::pair<Txn, std::vector<SliceRecord>>> again;
  again.swap(unknown_);
  for (auto& [txn, slices] : again) commit_slices(std::move(txn), std::move(slices));
  housekeep();
  drain();
  Occupancy::Slices ahead;
  for (const auto& [key, pending] : pending_) ahead.emplace(key, &pending.slice);
  const Wall now = clock_.wall();
  occupancy_.set_dark(dark_zones(), mirror_.records());
  occupancy_.sync(mirror_.records(), settings_.teams, ahead, fleet_.booting(), now);
  auto queue = build_queue(
      mirror_.records(), settings_,
      [this](const Uid& uid, std::uint32_t number) { return current(uid, number); }, now,
      mirror_.write_slack() < kPersistSlack);
  std::unordered_set<Uid> queued;
  for (const QueueItem& item : queue) queued.insert(item.uid);
  std::erase_if(last_release_, [&](const auto& entry) { return !queued.contains(entry.first); });
  std::erase_if(reservations_, [&](const auto& entry) {
    if (queued.contains(entry.first)) return false;
    occupancy_.profile().release(owner_of(entry.first));
    return true;
  });
  Planner planner(std::move(occupancy_.profile()), std::move(queue), reservations_, now,
                  [this, begin](double share) {
                    return clock_.steady() - begin > settings_.tuning.round_budget * share;
                  });
  Pins pins;
  for (const auto& [uid, made] : made_room_) {
    if (begin - made.at < kRoomEvery) pins.emplace(uid, made.hosts);
  }
  for (const Moved& moved : planner.restore(pins)) {
    grants_.note(moved.uid,
                 "start moved " + std::to_string((moved.to - moved.from).ms / 1000) +
                     " s later: tasks before it overran, a machine was lost or out of reach, "
                     "or room was made there for a job that goes first");
  }
  const bool admitted = planner.admit_arrivals();
  // What was started is taken out of the queue by the next round, which sees it as placed.
  const auto starts = planner.compress(cursor_);
  for (const Start& start : starts) {
    if (!worth_releasing(start, begin)) continue;
    const Start some = mirror_.write_slack() > kPersistSlack ? start : of_one_zone(start, planner);
    for (const Start& piece : by_slice(some)) release(piece, planner);
  }
  // Best when nothing more could start; a busy leader, whose rounds always start something or end
  // early, looks all the same now and then.
  const bool quiet = starts.empty() && admitted && cursor_ == 0;
  if (quiet || begin - last_displaced_ > kDisplaceAnyway) displace(planner);
  if (clock_.steady() - last_summary_ >= kSummaryEvery) summarize(planner);
  if (clock_.steady() - last_want_ >= std::max(kWantEvery, want_took_ * 30.0))
    want_machines(planner);
  grants_.flush(reservations_);
  if (clock_.steady() - last_stranded_ >= kStrandedEvery) look_for_stranded(planner);
  occupancy_.profile() = planner.take_profile();
  // How often the budget ends before the queue does.
  if (!admitted || cursor_ != 0) meter_.count("rounds cut short");
  round_over_ = clock_.steady();
  round_took_ = round_over_ - begin;
  if (!admitted || cursor_ != 0) wake();
}

void Granting::out_of_reach(const NodeId& holder, std::set<ZoneId> zones) {
  out_of_reach_[holder] = {std::move(zones), clock_.steady()};
}

std::set<ZoneId> Granting::dark_zones() const {
  // Nothing could be bound there: jobs would be released there and given back, again and again.
  std::set<ZoneId> out;
  for (const auto& [zone, block] : mirror_.records().blocks) {
    const auto said = out_of_reach_.find(block.record.holder);
    if (said == out_of_reach_.end() || clock_.steady() - said->second.second > kDarkLife) continue;
    if (said->second.first.contains(zone)) out.insert(zone);
  }
  return out;
}

void Granting::end_job(const Uid& uid) {
  const auto& records = mirror_.records();
  const Stored<JobRecord>& job = records.jobs.at(uid);
  const std::uint32_t slices = slice_count(job.record.spec);
  std::uint32_t done = 0;
  bool placed = false;
  bool any_done = false;
  for (auto it = records.slices.lower_bound({uid, 0});
       it != records.slices.end() && it->first.first == uid; ++it) {
    if (it->second.record.all_done()) ++done;
    for (const TaskRecord& t : it->second.record.tasks) {
      placed = placed || t.placed();
      any_done = any_done || t.state == TaskState::done;
    }
  }
  // A gang completes together, but its slices are seen to end one by one, and what is lost after
  // the first was done is never started again: it is over once nothing of it is placed.
  const bool finished = done == slices || (job.record.spec.gang() && any_done && !placed);
  // What this controller committed itself, as the cancellation, is here before the watch has told
  // what came before it: a binding, perhaps, of which this copy knows nothing yet.
  const bool known = mirror_.revision().get() >= job.stamp.get();
  const bool cancelled = job.record.cancelled && known && !placed;
  if ((!finished && !cancelled) || !ending_.insert(uid).second) return;
  FinalRecord record;
  record.uid = uid;
  record.state = job.record.cancelled ? FinalState::cancelled : FinalState::done;
  record.parts = job.record.spec.parts;
  record.accepted = job.record.accepted;
  record.ended = clock_.wall();
  Txn txn;
  election_.guard(txn);
  txn.guard(keys::job(uid), job.stamp);
  if (const auto grant = records.grants.find(uid); grant != records.grants.end()) {
    record.notes = grant->second.record.notes;
  }
  // Its slices and its grant are swept up afterwards.
  txn.put(keys::final_job(uid), encode(record)).remove(keys::job(uid));
  mirror_.commit(Rank::granting, std::move(txn),
                 [this, uid](const CommitResult&) { ending_.erase(uid); });
}

void Granting::housekeep() {
  const auto& records = mirror_.records();
  std::set<HostId> strays;
  std::vector<Uid> over;  // perhaps
  for (const auto& [uid, job] : records.jobs) {
    if (job.record.cancelled || slice_count(job.record.spec) > 1) over.push_back(uid);
    if (!job.record.cancelled) continue;
    // A cancelled task whose machine does not confirm its end: the machine is deleted in time.
    const Span since = clock_.wall() - *job.record.cancelled;
    if (since < settings_.workers.cancel * 0.4) continue;
    for (auto it = records.slices.lower_bound({uid, 0});
         it != records.slices.end() && it->first.first == uid; ++it) {
      for (const TaskRecord& task : it->second.record.tasks) {
        if (task.state == TaskState::bound) fleet_.condemn(task.host, "holds a cancelled task");
      }
    }
  }
  for (const Uid& uid : over) end_job(uid);
  // A task on a machine that no record knows: nobody could prove it gone but the cloud.
  for (const auto& [host, placed] : records.placed) {
    if (!records.machines.contains(host)) strays.insert(host);
  }
  for (const HostId& host : strays) {
    if (clock_.wall() - stray_since_.try_emplace(host, clock_.wall()).first->second > kStrayTask) {
      fleet_.condemn(host, "has tasks, but no record");
    }
  }
  std::erase_if(stray_since_, [&](const auto& entry) { return !strays.contains(entry.first); });
  // What is left of jobs that are over goes when there is budget to spare, or when it piles up.
  const std::size_t left = records.slices.size() + records.grants.size();
  if (mirror_.write_slack() < kSweepSlack && left < 2 * records.jobs.size() + kMostLeft) return;
  if (sweeping_) return;
  Txn txn;
  election_.guard(txn);
  for (const auto& [key, slice] : records.slices) {
    if (txn.deletes.size() >= settings_.store.txn_ops) break;
    if (records.jobs.contains(key.first)) continue;
    if (records.unreadable.contains(keys::job(key.first))) continue;
    txn.guard(keys::job(key.first), Stamp{});  // it is over, and not only unknown here
    txn.guard(keys::slice(key.first, key.second), slice.stamp);
    txn.remove(keys::slice(key.first, key.second));
  }
  for (const auto& [uid, grant] : records.grants) {
    if (txn.deletes.size() >= settings_.store.txn_ops) break;
    if (records.jobs.contains(uid) || records.unreadable.contains(keys::job(uid))) continue;
    txn.guard(keys::job(uid), Stamp{});
    txn.guard(keys::grant(uid), grant.stamp).remove(keys::grant(uid));
  }
  if (txn.deletes.empty()) return;
  sweeping_ = true;
  mirror_.commit(Rank::record, std::move(txn), [this](const CommitResult&) { sweeping_ = false; });
}

bool Granting::stop_tasks(const SliceKey& key,
                          const std::function<bool(std::size_t, TaskRecord&)>& stop) {
  if (pending_.contains(key)) return false;
  const auto* stored = mirror_.records().slice(key.first, key.second);
  if (stored == nullptr) return false;
  SliceRecord slice = stored->record;
  bool changed = false;
  for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
    TaskRecord& task = slice.tasks[i];
    if (task.placed() && !task.stop && stop(i, task)) changed = true;
  }
  if (!changed) return false;
  Txn txn;
  election_.guard(txn);
  txn.guard(keys::slice(key.first, key.second), stored->stamp);
  txn.put(keys::slice(key.first, key.second), encode(slice));
  commit_slices(std::move(txn), {slice});
  return true;
}

void Granting::drain() {
  const auto& records = mirror_.records();
  const Wall now = clock_.wall();
  std::set<Uid> stopping;
  for (const auto& [host, machine] : records.machines) {
    if (!machine.record.recall) continue;
    const auto placed = records.placed.find(host);
    if (placed == records.placed.end()) continue;
    for (const auto& [id, attempt] : placed->second) {
      const JobRecord* job = records.job(id.uid);
      if (job == nullptr || job->spec.snapshot <= Span{0}) continue;
      if (*machine.record.recall - now > job->spec.stash + kSaveMargin) continue;
      stopping.insert(id.uid);
    }
  }
  // A gang is stopped whole; of an array, the tasks on machines that are taken.
  for (const Uid& uid : stopping) {
    const JobSpec spec = records.job(uid)->spec;
    bool stopped = false;
    for (std::uint32_t n = 0; n < slice_count(spec); ++n) {
      const auto taken_back = [&](std::size_t, TaskRecord& task) {
        const auto machine = records.machines.find(task.host);
        const bool taken = machine != records.machines.end() && machine->second.record.recall;
        if (!spec.gang() && !taken) return false;
        task.stop = StopOrder{spec.stash + Span{2'000}, "the cloud takes its machine back"};
        return true;
      };
      stopped = stop_tasks({uid, n}, taken_back) || stopped;
    }
    // Once for each stop: a note at every round would push out the others.
    if (stopped)
      grants_.note(uid, "stopped to save its progress: the cloud takes its machine back");
  }
}

void Granting::commit_slices(Txn txn, std::vector<SliceRecord> slices) {
  for (const SliceRecord& slice : slices) {
    Pending& pending = pending_[{slice.uid, slice.number}];
    pending = {slice, std::nullopt, std::nullopt, pending.offered, pending.over};
  }
  auto kept = std::make_shared<Txn>(txn);
  const Stamp term = term_;
  mirror_.commit(Rank::binding, std::move(txn),
                 [this, kept, term, slices = std::move(slices)](const CommitResult& r) {
                   if (term_ != term || state_ != State::leading) return;
                   if (r.fate == Fate::unknown) {
                     // It may still be applied: its room and quota count until the same commit has
                     // a definite answer. The slice's stamp lets only one of the two pass.
                     unknown_.push_back({*kept, slices});
                     return;
                   }
                   for (const SliceRecord& slice : slices) {
                     auto& pending = pending_[{slice.uid, slice.number}];
                     if (r.fate == Fate::done || r.fate == Fate::conflict) {
                       pending.until = r.revision;  // the mirror must catch up first
                     } else if (pending.offered) {
                       // A holder may still bind it: only a definite answer ends that.
                       offered_.insert_or_assign(
                           SliceKey{slice.uid, slice.number},
                           Offered{*kept, slice, pending.over, clock_.steady()});
                     } else {
                       // Not executed. Not tried again at once: the state service may be refusing
                       // this node for a while.
                       pending.retry = clock_.steady() + kRefusedPause;
                     }
                   }
                   wake();
                 });
}

bool Granting::worth_releasing(const Start& start, Steady now) {
  // Each piece of an array costs the same writes, however small it is. Without budget to spare
  // small pieces wait for others; their room stays theirs until the next round.
  const auto job = mirror_.records().jobs.find(start.uid);
  if (job == mirror_.records().jobs.end()) return false;
  const JobSpec& spec = job->second.record.spec;
  if (spec.gang() || mirror_.write_slack() > kPersistSlack) return true;
  const auto last = last_release_.try_emplace(start.uid, Steady{-1'000'000}).first;
  const bool small = start.parts.size() < std::min<std::size_t>(kSmallPiece, spec.parts);
  if (small && now - last->second < kPieceEvery) return false;
  last->second = now;
  return true;
}

Start Granting::of_one_zone(const Start& start, const Planner& planner) const {
  // The part of an array's start that one holder can bind; the rest has its turn in the next round.
  const auto job = mirror_.records().jobs.find(start.uid);
  if (job == mirror_.records().jobs.end() || job->second.record.spec.gang()) return start;
  const auto& machines = planner.profile().machines();
  std::map<ZoneId, std::size_t> counts;
  for (const Spot& s : start.plan.spots) ++counts[machines[s.machine].zone];
  const auto most =
      std::max_element(counts.begin(), counts.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  Start part{start.uid, {}, {}};
  for (std::size_t i = 0; i < start.parts.size(); ++i) {
    if (machines[start.plan.spots[i].machine].zone != most->first) continue;
    part.plan.spots.push_back(start.plan.spots[i]);
    part.parts.push_back(start.parts[i]);
  }
  return part;
}

std::vector<Start> Granting::by_slice(const Start& start) const {
  // An array's tasks start separately, so each slice is released by itself: it can be offered to
  // its holder, and one that has to wait for its last commit does not hold up the others.
  const JobRecord* job = mirror_.records().job(start.uid);
  if (job == nullptr || job->spec.gang()) return {start};
  std::map<std::uint32_t, Start> pieces;
  for (std::size_t i = 0; i < start.parts.size(); ++i) {
    Start& piece =
        pieces.try_emplace(start.parts[i] / kSliceTasks, Start{start.uid, {}, {}}).first->second;
    piece.plan.spots.push_back(start.plan.spots[i]);
    piece.parts.push_back(start.parts[i]);
  }
  std::vector<Start> out;
  for (auto& [number, piece] : pieces) out.push_back(std::move(piece));
  return out;
}

void Granting::release(const Start& start, const Planner& planner) {
  const auto& records = mirror_.records();
  const auto job = records.jobs.find(start.uid);
  if (job == records.jobs.end()) return;
  const JobSpec& spec = job->second.record.spec;
  std::map<std::uint32_t, std::vector<std::size_t>> by_slice;
  for (std::size_t i = 0; i < start.parts.size(); ++i) {
    by_slice[start.parts[i] / kSliceTasks].push_back(i);
  }
  Attempt highest{};
  for (std::uint32_t n = 0; n < slice_count(spec) && spec.gang(); ++n) {
    if (const SliceRecord* slice = current(start.uid, n)) {
      for (const TaskRecord& t : slice->tasks) highest = std::max(highest, t.attempt);
    }
  }
  const Wall now = clock_.wall();
  std::vector<SliceRecord> slices;
  Txn txn;
  election_.guard(txn);
  txn.guard(keys::job(start.uid), job->second.stamp);
  for (const auto& [number, indices] : by_slice) {
    const SliceKey key{start.uid, number};
    if (pending_.contains(key)) return;
    const auto* stored = records.slice(start.uid, number);
    SliceRecord slice;
    if (stored != nullptr) {
      slice = stored->record;
    } else {
      slice.uid = start.uid;
      slice.number = number;
      slice.tasks.resize(slice_size(spec, number));
    }
    for (const std::size_t i : indices) {
      TaskRecord& task = slice.tasks.at(start.parts[i] % kSliceTasks);
      const PlanMachine& machine = planner.profile().machines()[start.plan.spots[i].machine];
      task.state = TaskState::released;
      task.attempt = Attempt((spec.gang() ? highest : task.attempt).get() + 1);
      task.zone = machine.zone;
      task.host = machine.host;
      task.since = now;
      task.running = Wall{};
    }
    txn.guard(keys::slice(start.uid, number), stored == nullptr ? Stamp{} : stored->stamp);
    txn.put(keys::slice(start.uid, number), encode(slice));
    slices.push_back(std::move(slice));
  }
  spdlog::debug("granting: {} releases {} of {} tasks, the first to {}", start.uid.get(),
                start.parts.size(), spec.parts,
                planner.profile().machines()[start.plan.spots[0].machine].host.get());
  const auto holder = one_holder(start, planner);
  if (holder && slices.size() == 1) {
    const auto* stored = records.slice(start.uid, slices[0].number);
    const Stamp over = stored == nullptr ? Stamp{} : stored->stamp;
    offer(*holder, {std::move(txn), std::move(slices[0]), over, clock_.steady()}, start);
    return;
  }
  commit_slices(std::move(txn), std::move(slices));
}

std::optional<NodeId> Granting::one_holder(const Start& start, const Planner& planner) const {
  if (channel_ == nullptr) return std::nullopt;
  const auto& records = mirror_.records();
  std::optional<NodeId> holder;
  for (const Spot& spot : start.plan.spots) {
    const auto block = records.blocks.find(planner.profile().machines()[spot.machine].zone);
    if (block == records.blocks.end()) return std::nullopt;
    const BlockRecord& held = block->second.record;
    if (!records.alive(held.holder, held.nonce) || (holder && *holder != held.holder)) {
      return std::nullopt;
    }
    holder = held.holder;
  }
  return holder;
}

void Granting::offer(const NodeId& holder, Offered offered, const Start& start) {
  const SliceKey key{offered.slice.uid, offered.slice.number};
  ReleaseOffer message;
  message.term = term_.get();
  message.uid = key.first.get();
  message.slice = key.second;
  message.over = offered.over.get();
  message.revision = mirror_.revision().get();
  for (const std::uint32_t part : start.parts) {
    const std::uint32_t index = part % kSliceTasks;
    const TaskRecord& task = offered.slice.tasks.at(index);
    message.tasks.push_back({index, task.attempt.get(), task.zone.get(), task.host.get()});
  }
  pending_[key] = {offered.slice, std::nullopt, std::nullopt, true, offered.over};
  offered_.insert_or_assign(key, std::move(offered));
  channel_->offer(holder, message, [this, key, term = term_](OfferFate fate) {
    if (term_ != term || state_ != State::leading || fate != OfferFate::declined) return;
    // Nothing was committed and nothing will be.
    meter_.count("offers declined");
    offered_.erase(key);
    if (const auto it = pending_.find(key); it != pending_.end()) {
      it->second.retry = clock_.steady() + kRefusedPause;
    }
  });
}

void Granting::pursue_offers() {
  const Steady now = clock_.steady();
  for (auto it = offered_.begin(); it != offered_.end();) {
    const auto* stored = mirror_.records().slice(it->first.first, it->first.second);
    const Stamp stamp = stored == nullptr ? Stamp{} : stored->stamp;
    if (stamp != it->second.over) {
      // Bound, or something else has changed: then the offer can't be bound any more.
      pending_.erase(it->first);
      it = offered_.erase(it);
    } else if (now - it->second.at > kOfferPatience) {
      meter_.count("offers without an answer");
      unknown_.push_back({std::move(it->second.release), {it->second.slice}});
      it = offered_.erase(it);
    } else {
      ++it;
    }
  }
}

void Granting::displace(const Planner& planner) {
  const Steady now = clock_.steady();
  // To look through all that runs takes long in a large fleet: at most a tenth of the time.
  if (now - last_displaced_ < std::max(kDisplaceEvery, displace_took_ * 10.0)) return;
  const auto timed = meter_.time(Duty::displace);
  last_displaced_ = now;
  const auto guaranteed = guaranteed_jobs(mirror_.records(), settings_);
  const Wall wall = clock_.wall();
  std::size_t tried = 0;
  std::set<Uid> waiting;
  for (const QueueItem& item : planner.queue()) waiting.insert(item.uid);
  // Room that is being made for one job is not another's: without this, all the others would wait
  // for it, and a burst of urgent jobs would get its room one job after the other.
  std::set<HostId> others;
  for (const auto& [uid, made] : made_room_) {
    if (now - made.at < kRoomEvery && waiting.contains(uid)) {
      others.insert(made.hosts.begin(), made.hosts.end());
    }
  }
  for (const QueueItem& item : planner.queue()) {
    const auto r = reservations_.find(item.uid);
    if (r == reservations_.end() || item.not_before > wall) continue;
    if (r->second.start - wall < kWorthDisplacing) continue;
    if (!item.guaranteed && item.demand.job->urgency == Urgency::low) continue;
    const auto last = made_room_.find(item.uid);
    if (last != made_room_.end() && now - last->second.at < kRoomEvery) continue;
    if (++tried > kMostDisplacing || clock_.steady() - now > kDisplaceBudget) break;
    const auto hosts = make_room(item, guaranteed, planner.profile(), others);
    if (hosts.empty()) continue;
    made_room_[item.uid] = {now, hosts};
    others.insert(hosts.begin(), hosts.end());
  }
  displace_took_ = clock_.steady() - now;
  std::erase_if(made_room_,
                [&](const auto& entry) { return now - entry.second.at > Span{60'000}; });
}

std::vector<HostId> Granting::make_room(const QueueItem& item,
                                        const std::unordered_set<Uid>& guaranteed,
                                        const Profile& profile, const std::set<HostId>& others) {
  const auto& records = mirror_.records();
  const JobSpec& spec = *item.demand.job;
  const auto room = find_room(item, guaranteed, records, settings_, profile, clock_.wall(), others);
  if (!room) return {};
  std::map<SliceKey, std::set<std::size_t>> by_slice;
  for (const TaskId& id : room->victims) {
    by_slice[{id.uid, id.part / kSliceTasks}].insert(id.part % kSliceTasks);
  }
  for (const auto& [key, indices] : by_slice) {
    if (pending_.contains(key)) return {};
  }
  const std::string reason =
      "displaced for " + spec.uid.get() +
      (item.guaranteed ? " (guarantee)" : " (" + std::string(name_of(spec.urgency)) + ")");
  for (const auto& [key, indices] : by_slice) {
    const Span leeway = displacement_leeway(records.job(key.first)->spec);
    stop_tasks(key, [&](std::size_t i, TaskRecord& task) {
      if (!indices.contains(i)) return false;
      task.stop = StopOrder{leeway, reason};
      return true;
    });
    grants_.note(key.first, reason);
  }
  spdlog::info("granting: {} tasks displaced for {}", room->victims.size(), spec.uid.get());
  return room->hosts;
}

void Granting::summarize(const Planner& planner) {
  last_summary_ = clock_.steady();
  const Wall now = clock_.wall();
  Room whole{};
  Room free{};
  std::size_t up = 0;
  for (std::size_t i = 0; i < planner.profile().machines().size(); ++i) {
    if (planner.profile().machines()[i].ready > now) continue;  // coming, or gone from the profile
    ++up;
    whole += planner.profile().lane(i).whole();
    free += planner.profile().lane(i).free(now, now + Span{1});
  }
  std::size_t waiting = 0;
  for (const QueueItem& item : planner.queue()) waiting += item.demand.tasks;
  spdlog::info(
      "granting: {} machines up, {} coming; {:.0f} of {:.0f} GPUs free; {} jobs, {} tasks wait", up,
      planner.profile().count() - up, free.gpus, whole.gpus, planner.queue().size(), waiting);
}

void Granting::look_for_stranded(const Planner& planner) {
  last_stranded_ = clock_.steady();
  const auto& records = mirror_.records();
  // One of a single slice is ended by the commit that ends its last task; whatever kept that from
  // happening, it must not stay for ever.
  std::vector<Uid> jobs;
  for (const auto& [uid, job] : records.jobs) jobs.push_back(uid);
  for (const Uid& uid : jobs) end_job(uid);
  const auto found = find_stranded(records, settings_, clock_.wall(), kStrandedAfter,
                                   kMachineOutOfUse, kMostStranded);
  std::set<Uid> still;
  bool remake = false;
  for (const Stranded& job : found) {
    still.insert(job.uid);
    const auto [it, fresh] = stranded_.try_emplace(job.uid, StrandedSince{last_stranded_, {}});
    // Found once, it may be about to start.
    if (last_stranded_ - it->second.first < kStrandedStays) continue;
    if (last_stranded_ - it->second.told < kStrandedToldEvery) continue;
    it->second.told = last_stranded_;
    const Cause cause = why_stranded(job, planner);
    spdlog::warn("granting: {} has waited for {} s, though {} has room for it: {}", job.uid.get(),
                 job.waited.ms / 1000, job.host.get(), cause.what);
    remake = remake || cause.profile_is_wrong;
  }
  std::erase_if(stranded_, [&](const auto& entry) { return !still.contains(entry.first); });
  // The profile has gone wrong: it is made anew from the records. Guarantees stay.
  if (!remake || last_stranded_ - last_remade_ < kStrandedToldEvery) return;
  last_remade_ = last_stranded_;
  meter_.count("profile made anew");
  occupancy_.reset();
  wake();
}

Granting::Cause Granting::why_stranded(const Stranded& job, const Planner& planner) const {
  if (job.state != MachineState::up) return {std::string("it is ") + name_of(job.state)};
  const auto& records = mirror_.records();
  const auto machine = records.machines.find(job.host);
  if (machine != records.machines.end() && dark_zones().contains(machine->second.record.zone)) {
    return {"its zone is out of reach"};
  }
  const auto slice = pending_.lower_bound({job.uid, 0});
  if (slice != pending_.end() && slice->first.first == job.uid) {
    return {slice->second.offered ? "an offer has not been settled"
                                  : "a release has not been settled"};
  }
  const auto& queue = planner.queue();
  const auto item = std::find_if(queue.begin(), queue.end(),
                                 [&](const QueueItem& i) { return i.uid == job.uid; });
  if (item == queue.end()) return {"the job is not in the queue", true};
  const Wall now = clock_.wall();
  if (item->not_before > now) return {"it is tried again after a pause"};
  for (const auto& [uid, r] : reservations_) {
    if (uid == job.uid) continue;
    for (const auto& place : r.places) {
      if (place.host == job.host && place.start < now + item->demand.run * 2.0) {
        return {"room there is reserved for " + uid.get()};
      }
    }
  }
  const auto lane = planner.profile().find(job.host);
  if (!lane) return {"it is not in the profile", true};
  if (!planner.profile().lane(*lane).takes(item->demand.job->need, now, now + Span{1})) {
    return {"its room is taken in the profile", true};
  }
  const auto r = reservations_.find(job.uid);
  if (r == reservations_.end()) return {"it has no reservation", true};
  return {r->second.places.empty() ? "its reservation has no place" : "unknown", true};
}

void Granting::want_machines(const Planner& planner) {
  const auto timed = meter_.time(Duty::want);
  last_want_ = clock_.steady();
  const Wall now = clock_.wall();
  std::vector<Wanting> wanting;
  std::set<HostId> in_use;
  for (const auto& [uid, r] : reservations_) {
    for (const auto& place : r.places) {
      if (place.start - now < settings_.tuning.idle_return) in_use.insert(place.host);
    }
  }
  const auto& machines = planner.profile().machines();
  const bool coming = std::any_of(machines.begin(), machines.end(), [&](const PlanMachine& m) {
    return m.host != HostId{} && m.ready > now + kOverdueBoot;
  });
  // Reservations lag behind what has become possible since (holes are kept on purpose), so what is
  // missing is read from the plan that the queue would get if it were laid out anew.
  auto outlook = planner.outlook(kMostWanting);
  // For jobs further back their reservations must do: to lay out a long queue costs too much.
  for (std::size_t i = outlook.size(); i < planner.queue().size(); ++i) {
    const QueueItem& item = planner.queue()[i];
    if (item.demand.tasks == 0) continue;
    const auto r = reservations_.find(item.uid);
    std::optional<Plan> plan;
    if (r != reservations_.end() && !r->second.places.empty()) {
      plan.emplace();
      for (const auto& place : r->second.places) plan->spots.push_back({0, place.start, place.end});
    }
    outlook.emplace_back(&item, std::move(plan));
  }
  for (const auto& [item, plan] : outlook) {
    const JobSpec& job = *item->demand.job;
    const Lane* limit = planner.profile().team(job.crew);
    const double least = job.gang() ? item->demand.tasks : 1;
    if (limit != nullptr && !fits(job.need * least, limit->whole() - limit->running())) continue;
    std::uint32_t late = item->demand.tasks;
    Span wait = kUnplacedWait;
    if (plan) {
      late = 0;
      wait = plan->start() - now;
      for (const Spot& spot : plan->spots) late += spot.start - now > kSoon ? 1 : 0;
      if (item->demand.job->gang() && late > 0) late = item->demand.tasks;
    }
    // Where estimates are too low, room is always about to come free. A job that has waited for a
    // while is believed to wait as long again, unless machines are on their way already.
    const Span waited = now - item->accepted;
    Demand one = item->demand;
    one.tasks = 1;
    if (!coming && waited > std::max(wait, kSoon) &&
        !planner.profile().room_beside_running(one, now)) {
      wait = waited;
      late = item->demand.tasks;
    }
    if (late == 0) continue;
    wanting.push_back({item->demand.job, late, item->demand.run, wait, item->demand.zone});
  }
  std::map<TeamId, Room> team_room;
  for (const Team& team : settings_.teams) {
    if (const Lane* lane = planner.profile().team(team.name)) {
      // Only what runs counts: reservations are what the machines are wanted for.
      team_room[team.name] = team.limit() - lane->running();
    }
  }
  fleet_.plan(std::move(wanting), std::move(team_room), std::move(in_use));
  want_took_ = clock_.steady() - last_want_;
}

}  // namespace marblevale
