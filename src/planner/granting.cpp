#include "planner/granting.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "planner/displacement.hpp"
#include "planner/queueing.hpp"

namespace marblevale {

namespace {

constexpr Duration kTick{500};
constexpr Duration kRoundEvery{15};  // what changes within this is planned together
constexpr Duration kDisplaceEvery{400};
constexpr Duration kDisplaceAnyway{2'000};
constexpr std::size_t kMaxDisplacing = 6;  // jobs for which room is sought in one round
constexpr Duration kDisplaceBudget{60};    // after which no further job is tried in it
constexpr Duration kCoalesce{5};
constexpr Duration kSummaryEvery{10'000};
constexpr Duration kSaveMargin{3'000};  // before a machine is taken back
constexpr Duration kRoomEvery{12'000};  // between two displacements for one job
constexpr Duration kWorthDisplacing{3'000};
constexpr Duration kRefusedPause{400};
constexpr double kPersistSlack = 0.3;
constexpr std::size_t kSmallPiece = 8;
constexpr Duration kUnreachableZoneMaxAge{
    4'000};  // of a holder's word that it reaches no machine of a zone
constexpr Duration kOfferPatience{3'500};
/// Offers that wait for one holder's binding. A holder that lacks the budget for more writes would
/// let them lapse, and each would then cost a second write: the release by the leader.
constexpr std::size_t kMaxUnsettledOffers = 10;
constexpr std::size_t kManyUnsettledOffers = 12;  // of all holders: writes are short
constexpr Duration kPieceEvery{3'000};
constexpr Duration kStarvationCheckInterval{10'000};
constexpr Duration kStarvedAfter{30'000};  // of waiting: no job may wait for 90 s beside free room
constexpr Duration kStarvationConfirmTime{
    15'000};  // from the first sweep that finds it to the word of it
constexpr Duration kStarvationLogInterval{60'000};
constexpr Duration kMachineOutOfUse{60'000};
constexpr std::size_t kMaxStarved = 32;

/// Time to save, unless saving takes longer than the work that is lost on average by not saving.
Duration displacement_grace_period(const JobSpec& job) {
  const Duration saving = job.save_time + Duration{2'000};
  return job.checkpoint_interval > Duration{0} && job.checkpoint_interval * 0.5 <= saving
             ? Duration{0}
             : saving;
}

}  // namespace

Granting::Granting(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
                   Election& election, Fleet& fleet)
    : metrics_(loop.metrics()),
      clock_(clock),
      settings_(settings),
      cache_(cache),
      election_(election),
      fleet_(fleet),
      grants_(clock, settings, cache, election),
      cleanup_(clock, settings, cache, election, fleet),
      rentals_(loop.metrics(), clock, settings, fleet),
      timer_(loop, [this] { round(); }) {
  cache_.listen(
      [this](RecordKind topic, const std::string& key) { on_record_changed(topic, key); });
}

void Granting::on_record_changed(RecordKind topic, const std::string& key) {
  switch (topic) {
    case RecordKind::slice: {
      const auto slash = key.find('/');
      occupancy_.touch_slice({JobId(key.substr(0, slash)),
                              static_cast<std::uint32_t>(std::stoul(key.substr(slash + 1)))});
      break;
    }
    case RecordKind::job:
      for (auto it = cache_.records().slices.lower_bound({JobId(key), 0});
           it != cache_.records().slices.end() && it->first.first.get() == key; ++it) {
        occupancy_.touch_slice(it->first);
      }
      break;
    case RecordKind::machine:
      occupancy_.touch_machine(MachineId(key));
      break;
    case RecordKind::types:
      reset_occupancy();
      break;
    case RecordKind::leader:
    case RecordKind::rental:
      break;
    default:
      return;
  }
  schedule_round();
}

void Granting::begin() {
  timer_.start(kTick);
  timer_due_ = clock_.steady() + kTick;
}

void Granting::schedule_round() {
  if (!election_.in_charge()) return;
  // Rounds take at most about a third of the processor's share.
  const Duration since = clock_.steady() - round_over_;
  const Duration pause = std::max(kCoalesce, std::max(kRoundEvery, round_took_ * 2.0) - since);
  if (timer_.pending() && timer_due_ <= clock_.steady() + pause) return;
  timer_due_ = clock_.steady() + pause;
  timer_.start(pause);
}

void Granting::transition(State next) {
  if (next == state_) return;
  spdlog::info("granting: {}", next == State::leading ? "leading" : "idle");
  state_ = next;
}

void Granting::reset_occupancy() {
  occupancy_.reset();
  failed_starts_.clear();
}

void Granting::take_over() {
  transition(State::leading);
  term_ = election_.term();
  grants_.begin_term();
  reservations_.clear();
  pending_.clear();
  unknown_.clear();
  offered_.clear();
  cleanup_.begin_term();
  made_room_.clear();
  starved_.clear();
  cursor_ = 0;
  reset_occupancy();
  // The stored guarantees are taken as they are; places are found again at those times.
  for (const auto& [job_id, stored] : cache_.records().grants) {
    if (stored.record.guarantees.empty()) continue;
    const Guarantee& g = stored.record.guarantees.back();
    Reservation r;
    r.first = g.first;
    r.start = g.start;
    r.end = g.end;
    r.changed = false;
    reservations_.emplace(job_id, std::move(r));
  }
}

const SliceRecord* Granting::current(const JobId& job_id, std::uint32_t number) const {
  if (const auto it = pending_.find({job_id, number}); it != pending_.end())
    return &it->second.slice;
  const auto* stored = cache_.records().slice(job_id, number);
  return stored == nullptr ? nullptr : &stored->record;
}

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-size)
void Granting::round() {
  timer_.start(kTick);
  timer_due_ = clock_.steady() + kTick;
  if (!election_.in_charge()) {
    transition(State::idle);
    return;
  }
  // The term goes on: what is on its way under it still counts.
  if (!election_.may_act()) return;
  const auto timed = metrics_.time(Duty::round);
  const SteadyTime begin = clock_.steady();
  if (state_ != State::leading || term_ != election_.term()) take_over();
  std::erase_if(pending_, [this, begin](const auto& entry) {
    const Pending& p = entry.second;
    return (p.until && cache_.revision().get() >= p.until->get()) || (p.retry && begin >= *p.retry);
  });
  if (!cache_.records().types) return;  // nothing is known of what machines there are

  pursue_offers();
  std::vector<std::pair<Txn, std::vector<SliceRecord>>> again;
  again.swap(unknown_);
  for (auto& [txn, slices] : again) commit_slices(std::move(txn), std::move(slices));
  cleanup_.run();
  drain();
  Occupancy::Slices ahead;
  for (const auto& [key, pending] : pending_) ahead.emplace(key, &pending.slice);
  const WallTime now = clock_.wall();
  occupancy_.set_unreachable_zones(unreachable_zones(), cache_.records());
  {
    const auto sync_timed = metrics_.time(Duty::profile_sync);
    occupancy_.sync(cache_.records(), settings_.teams, ahead, fleet_.booting(), now);
  }
  auto queue = current_queue(now);
  std::unordered_set<JobId> queued;
  for (const QueueItem& item : queue) queued.insert(item.job_id);
  std::erase_if(last_release_, [&](const auto& entry) { return !queued.contains(entry.first); });
  std::erase_if(reservations_, [&](const auto& entry) {
    if (queued.contains(entry.first)) return false;
    occupancy_.profile().release(owner_of(entry.first));
    return true;
  });
  std::erase_if(failed_starts_, [&](const auto& entry) { return !queued.contains(entry.first); });
  Planner planner(std::move(occupancy_.profile()), std::move(queue), reservations_, failed_starts_,
                  now, [this, begin](double share) {
                    return clock_.steady() - begin > settings_.tuning.round_budget * share;
                  });
  restore(planner, begin);
  const bool admitted = admit(planner);
  // What was started is taken out of the queue by the next round, which sees it as placed.
  const auto starts = compress(planner);
  release_all(starts, planner, begin);
  // Best when nothing more could start; a busy leader, whose rounds always start something or end
  // early, looks all the same now and then.
  const bool quiet = starts.empty() && admitted && cursor_ == 0;
  if (quiet || begin - last_displaced_ > kDisplaceAnyway) displace(planner);
  if (clock_.steady() - last_summary_ >= kSummaryEvery) summarize(planner);
  if (rentals_.due()) rentals_.plan(planner, reservations_);
  grants_.flush(reservations_);
  if (clock_.steady() - last_starvation_check_ >= kStarvationCheckInterval)
    check_starvation(planner);
  occupancy_.profile() = planner.take_profile();
  // How often the budget ends before the queue does.
  if (!admitted || cursor_ != 0) metrics_.count("rounds cut short");
  round_over_ = clock_.steady();
  round_took_ = round_over_ - begin;
  if (!admitted || cursor_ != 0) schedule_round();
}

std::vector<QueueItem> Granting::current_queue(WallTime now) {
  const auto timed = metrics_.time(Duty::queue);
  return build_queue(
      cache_.records(), settings_,
      [this](const JobId& job_id, std::uint32_t number) { return current(job_id, number); }, now,
      short_of_writes());
}

void Granting::restore(Planner& planner, SteadyTime begin) {
  const auto timed = metrics_.time(Duty::restore);
  Pins pins;
  for (const auto& [job_id, made] : made_room_) {
    if (begin - made.at < kRoomEvery) pins.emplace(job_id, made.machine_ids);
  }
  for (const Moved& moved : planner.restore(pins)) {
    grants_.note(moved.job_id,
                 "start moved " + std::to_string((moved.to - moved.from).ms / 1000) +
                     " s later: tasks before it overran, a machine was lost or out of reach, "
                     "or room was made there for a job that goes first");
  }
}

bool Granting::admit(Planner& planner) {
  const auto timed = metrics_.time(Duty::arrivals);
  return planner.admit_arrivals();
}

std::vector<Start> Granting::compress(Planner& planner) {
  const auto timed = metrics_.time(Duty::compress);
  return planner.compress(cursor_);
}

void Granting::release_all(const std::vector<Start>& starts, const Planner& planner,
                           SteadyTime now) {
  // By priority: what a holder can't bind yet waits for a later round, in which small pieces of an
  // array have become larger ones.
  for (const Start& start : starts) {
    if (!worth_releasing(start, now)) continue;
    const Start selected = short_of_writes() ? of_one_zone(start, planner) : start;
    for (const Start& piece : by_slice(selected)) {
      const auto holder = one_holder(piece, planner);
      if (holder && unsettled_offers(*holder) >= kMaxUnsettledOffers) continue;
      release(piece, planner);
    }
  }
}

bool Granting::short_of_writes() const {
  return cache_.write_slack() <= kPersistSlack || offered_.size() >= kManyUnsettledOffers;
}

std::size_t Granting::unsettled_offers(const NodeId& holder) const {
  return static_cast<std::size_t>(
      std::count_if(offered_.begin(), offered_.end(),
                    [&](const auto& entry) { return entry.second.holder == holder; }));
}

void Granting::out_of_reach(const NodeId& holder, std::set<ZoneId> zones) {
  out_of_reach_[holder] = {std::move(zones), clock_.steady()};
}

std::set<ZoneId> Granting::unreachable_zones() const {
  // Nothing could be bound there: jobs would be released there and given back, again and again.
  std::set<ZoneId> out;
  for (const auto& [zone, block] : cache_.records().blocks) {
    const auto said = out_of_reach_.find(block.record.holder);
    if (said == out_of_reach_.end() ||
        clock_.steady() - said->second.second > kUnreachableZoneMaxAge)
      continue;
    if (said->second.first.contains(zone)) out.insert(zone);
  }
  return out;
}

bool Granting::stop_tasks(const SliceKey& key,
                          const std::function<bool(std::size_t, TaskRecord&)>& stop) {
  if (pending_.contains(key)) return false;
  const auto* stored = cache_.records().slice(key.first, key.second);
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
  txn.guard(keys::slice(key.first, key.second), stored->mod_revision);
  txn.put(keys::slice(key.first, key.second), encode(slice));
  commit_slices(std::move(txn), {slice});
  return true;
}

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
void Granting::drain() {
  const auto& records = cache_.records();
  const WallTime now = clock_.wall();
  std::set<JobId> stopping;
  for (const auto& [machine_id, machine] : records.machines) {
    if (!machine.record.reclaim_at) continue;
    const auto placed = records.placed.find(machine_id);
    if (placed == records.placed.end()) continue;
    for (const auto& [id, attempt] : placed->second) {
      const JobRecord* job = records.job(id.job_id);
      if (job == nullptr || job->spec.checkpoint_interval <= Duration{0}) continue;
      if (*machine.record.reclaim_at - now > job->spec.save_time + kSaveMargin) continue;
      stopping.insert(id.job_id);
    }
  }
  // A gang is stopped whole; of an array, the tasks on machines that are taken.
  for (const JobId& job_id : stopping) {
    const JobSpec spec = records.job(job_id)->spec;
    bool stopped = false;
    for (std::uint32_t n = 0; n < slice_count(spec); ++n) {
      const auto taken_back = [&](std::size_t, TaskRecord& task) {
        const auto machine = records.machines.find(task.machine_id);
        const bool taken = machine != records.machines.end() && machine->second.record.reclaim_at;
        if (!spec.gang() && !taken) return false;
        task.stop = StopOrder{spec.save_time + Duration{2'000}, "the cloud takes its machine back"};
        return true;
      };
      stopped = stop_tasks({job_id, n}, taken_back) || stopped;
    }
    // Once for each stop: a note at every round would push out the others.
    if (stopped)
      grants_.note(job_id, "stopped to save its progress: the cloud takes its machine back");
  }
}

void Granting::commit_slices(Txn txn, std::vector<SliceRecord> slices) {
  for (const SliceRecord& slice : slices) {
    Pending& pending = pending_[{slice.job_id, slice.number}];
    pending = {slice, std::nullopt, std::nullopt, pending.offered, pending.over};
  }
  auto kept = std::make_shared<Txn>(txn);
  const ModRevision term = term_;
  cache_.commit(RequestPriority::binding, std::move(txn),
                [this, kept, term, slices = std::move(slices)](const CommitResult& r) {
                  if (term_ != term || state_ != State::leading) return;
                  if (r.outcome == Outcome::unknown) {
                    // It may still be applied: its room and quota count until the same commit has
                    // a definite answer. The slice's revision lets only one of the two pass.
                    unknown_.push_back({*kept, slices});
                    return;
                  }
                  for (const SliceRecord& slice : slices) {
                    auto& pending = pending_[{slice.job_id, slice.number}];
                    if (r.outcome == Outcome::done || r.outcome == Outcome::conflict) {
                      pending.until = r.revision;  // the cache must catch up first
                    } else if (pending.offered) {
                      // A holder may still bind it: only a definite answer ends that.
                      offered_.insert_or_assign(
                          SliceKey{slice.job_id, slice.number},
                          Offered{*kept, slice, pending.over, clock_.steady(), {}});
                    } else {
                      // Not executed. Not tried again at once: the state service may be refusing
                      // this node for a while.
                      pending.retry = clock_.steady() + kRefusedPause;
                    }
                  }
                  schedule_round();
                });
}

bool Granting::worth_releasing(const Start& start, SteadyTime now) {
  // Each piece of an array costs the same writes, however small it is. Without budget to spare
  // small pieces wait for others; their room stays theirs until the next round.
  const auto job = cache_.records().jobs.find(start.job_id);
  if (job == cache_.records().jobs.end()) return false;
  const JobSpec& spec = job->second.record.spec;
  if (spec.gang() || !short_of_writes()) return true;
  const auto last = last_release_.try_emplace(start.job_id, SteadyTime{-1'000'000}).first;
  const bool small =
      start.task_indices.size() < std::min<std::size_t>(kSmallPiece, spec.task_count);
  if (small && now - last->second < kPieceEvery) return false;
  last->second = now;
  return true;
}

Start Granting::of_one_zone(const Start& start, const Planner& planner) const {
  // The part of an array's start that one holder can bind; the rest has its turn in the next round.
  const auto job = cache_.records().jobs.find(start.job_id);
  if (job == cache_.records().jobs.end() || job->second.record.spec.gang()) return start;
  const auto& machines = planner.profile().machines();
  std::map<ZoneId, std::size_t> counts;
  for (const Placement& s : start.plan.placements) ++counts[machines[s.machine].zone];
  const auto most =
      std::max_element(counts.begin(), counts.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  Start selected{start.job_id, {}, {}};
  for (std::size_t i = 0; i < start.task_indices.size(); ++i) {
    if (machines[start.plan.placements[i].machine].zone != most->first) continue;
    selected.plan.placements.push_back(start.plan.placements[i]);
    selected.task_indices.push_back(start.task_indices[i]);
  }
  return selected;
}

std::vector<Start> Granting::by_slice(const Start& start) const {
  // An array's tasks start separately, so each slice is released by itself: it can be offered to
  // its holder, and one that has to wait for its last commit does not hold up the others.
  const JobRecord* job = cache_.records().job(start.job_id);
  if (job == nullptr || job->spec.gang()) return {start};
  std::map<std::uint32_t, Start> pieces;
  for (std::size_t i = 0; i < start.task_indices.size(); ++i) {
    Start& piece =
        pieces.try_emplace(start.task_indices[i] / kSliceTasks, Start{start.job_id, {}, {}})
            .first->second;
    piece.plan.placements.push_back(start.plan.placements[i]);
    piece.task_indices.push_back(start.task_indices[i]);
  }
  std::vector<Start> out;
  for (auto& [number, piece] : pieces) out.push_back(std::move(piece));
  return out;
}

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
void Granting::release(const Start& start, const Planner& planner) {
  const auto& records = cache_.records();
  const auto job = records.jobs.find(start.job_id);
  if (job == records.jobs.end()) return;
  const JobSpec& spec = job->second.record.spec;
  std::map<std::uint32_t, std::vector<std::size_t>> by_slice;
  for (std::size_t i = 0; i < start.task_indices.size(); ++i) {
    by_slice[start.task_indices[i] / kSliceTasks].push_back(i);
  }
  Attempt highest{};
  for (std::uint32_t n = 0; n < slice_count(spec) && spec.gang(); ++n) {
    if (const SliceRecord* slice = current(start.job_id, n)) {
      for (const TaskRecord& t : slice->tasks) highest = std::max(highest, t.attempt);
    }
  }
  const WallTime now = clock_.wall();
  std::vector<SliceRecord> slices;
  Txn txn;
  election_.guard(txn);
  txn.guard(keys::job(start.job_id), job->second.mod_revision);
  for (const auto& [number, indices] : by_slice) {
    const SliceKey key{start.job_id, number};
    if (pending_.contains(key)) return;
    const auto* stored = records.slice(start.job_id, number);
    SliceRecord slice;
    if (stored != nullptr) {
      slice = stored->record;
    } else {
      slice.job_id = start.job_id;
      slice.number = number;
      slice.tasks.resize(slice_size(spec, number));
    }
    for (const std::size_t i : indices) {
      TaskRecord& task = slice.tasks.at(start.task_indices[i] % kSliceTasks);
      const PlanMachine& machine = planner.profile().machines()[start.plan.placements[i].machine];
      task.state = TaskState::released;
      task.attempt = Attempt((spec.gang() ? highest : task.attempt).get() + 1);
      task.zone = machine.zone;
      task.machine_id = machine.machine_id;
      task.since = now;
      task.running = WallTime{};
    }
    txn.guard(keys::slice(start.job_id, number),
              stored == nullptr ? ModRevision{} : stored->mod_revision);
    txn.put(keys::slice(start.job_id, number), encode(slice));
    slices.push_back(std::move(slice));
  }
  spdlog::debug("granting: {} releases {} of {} tasks, the first to {}", start.job_id.get(),
                start.task_indices.size(), spec.task_count,
                planner.profile().machines()[start.plan.placements[0].machine].machine_id.get());
  const auto holder = one_holder(start, planner);
  if (holder && slices.size() == 1) {
    const auto* stored = records.slice(start.job_id, slices[0].number);
    const ModRevision over = stored == nullptr ? ModRevision{} : stored->mod_revision;
    offer(*holder, {std::move(txn), std::move(slices[0]), over, clock_.steady(), *holder}, start);
    return;
  }
  commit_slices(std::move(txn), std::move(slices));
}

std::optional<NodeId> Granting::one_holder(const Start& start, const Planner& planner) const {
  if (channel_ == nullptr) return std::nullopt;
  const auto& records = cache_.records();
  std::optional<NodeId> holder;
  for (const Placement& spot : start.plan.placements) {
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
  const SliceKey key{offered.slice.job_id, offered.slice.number};
  ReleaseOffer message;
  message.term = term_.get();
  message.job_id = key.first.get();
  message.slice = key.second;
  message.over = offered.over.get();
  message.revision = cache_.revision().get();
  for (const std::uint32_t task_index : start.task_indices) {
    const std::uint32_t index = task_index % kSliceTasks;
    const TaskRecord& task = offered.slice.tasks.at(index);
    message.tasks.push_back({index, task.attempt.get(), task.zone.get(), task.machine_id.get()});
  }
  pending_[key] = {offered.slice, std::nullopt, std::nullopt, true, offered.over};
  offered_.insert_or_assign(key, std::move(offered));
  channel_->offer(holder, message, [this, key, term = term_](OfferOutcome outcome) {
    if (term_ != term || state_ != State::leading || outcome != OfferOutcome::declined) return;
    // Nothing was committed and nothing will be.
    metrics_.count("offers declined");
    offered_.erase(key);
    if (const auto it = pending_.find(key); it != pending_.end()) {
      it->second.retry = clock_.steady() + kRefusedPause;
    }
  });
}

void Granting::pursue_offers() {
  const SteadyTime now = clock_.steady();
  for (auto it = offered_.begin(); it != offered_.end();) {
    const auto* stored = cache_.records().slice(it->first.first, it->first.second);
    const ModRevision mod_revision = stored == nullptr ? ModRevision{} : stored->mod_revision;
    if (mod_revision != it->second.over) {
      // Bound, or something else has changed: then the offer can't be bound any more.
      pending_.erase(it->first);
      it = offered_.erase(it);
    } else if (now - it->second.at > kOfferPatience) {
      metrics_.count("offers without an answer");
      unknown_.push_back({std::move(it->second.release), {it->second.slice}});
      it = offered_.erase(it);
    } else {
      ++it;
    }
  }
}

void Granting::displace(const Planner& planner) {
  const SteadyTime now = clock_.steady();
  // To look through all that runs takes long in a large fleet: at most a tenth of the time.
  if (now - last_displaced_ < std::max(kDisplaceEvery, displace_took_ * 10.0)) return;
  const auto timed = metrics_.time(Duty::displace);
  last_displaced_ = now;
  const auto guaranteed = guaranteed_jobs(cache_.records(), settings_);
  const WallTime wall = clock_.wall();
  std::size_t tried = 0;
  std::set<JobId> waiting;
  for (const QueueItem& item : planner.queue()) waiting.insert(item.job_id);
  // Room that is being made for one job is not another's: without this, all the others would wait
  // for it, and a burst of urgent jobs would get its room one job after the other.
  std::set<MachineId> others;
  for (const auto& [job_id, made] : made_room_) {
    if (now - made.at < kRoomEvery && waiting.contains(job_id)) {
      others.insert(made.machine_ids.begin(), made.machine_ids.end());
    }
  }
  for (const QueueItem& item : planner.queue()) {
    const auto r = reservations_.find(item.job_id);
    if (r == reservations_.end() || item.not_before > wall) continue;
    if (r->second.start - wall < kWorthDisplacing) continue;
    if (!item.guaranteed && item.demand.job->urgency == Urgency::low) continue;
    // Submitted with a mistake, it seems: nothing is stopped so that it can fail once more.
    if (item.failing) continue;
    const auto last = made_room_.find(item.job_id);
    if (last != made_room_.end() && now - last->second.at < kRoomEvery) continue;
    if (++tried > kMaxDisplacing || clock_.steady() - now > kDisplaceBudget) break;
    const auto machine_ids = make_room(item, guaranteed, planner.profile(), others);
    if (machine_ids.empty()) continue;
    made_room_[item.job_id] = {now, machine_ids};
    others.insert(machine_ids.begin(), machine_ids.end());
  }
  displace_took_ = clock_.steady() - now;
  std::erase_if(made_room_,
                [&](const auto& entry) { return now - entry.second.at > Duration{60'000}; });
}

std::vector<MachineId> Granting::make_room(const QueueItem& item,
                                           const std::unordered_set<JobId>& guaranteed,
                                           const Profile& profile,
                                           const std::set<MachineId>& others) {
  const auto& records = cache_.records();
  const JobSpec& spec = *item.demand.job;
  const auto resources =
      find_room(item, guaranteed, records, settings_, profile, clock_.wall(), others);
  if (!resources) return {};
  std::map<SliceKey, std::set<std::size_t>> by_slice;
  for (const TaskId& id : resources->victims) {
    by_slice[{id.job_id, id.task_index / kSliceTasks}].insert(id.task_index % kSliceTasks);
  }
  for (const auto& [key, indices] : by_slice) {
    if (pending_.contains(key)) return {};
  }
  const std::string reason =
      "displaced for " + spec.job_id.get() +
      (item.guaranteed ? " (guarantee)" : " (" + std::string(name_of(spec.urgency)) + ")");
  for (const auto& entry : by_slice) {
    const SliceKey& key = entry.first;
    const auto& indices = entry.second;
    const Duration grace_period = displacement_grace_period(records.job(key.first)->spec);
    stop_tasks(key, [&](std::size_t i, TaskRecord& task) {
      if (!indices.contains(i)) return false;
      task.stop = StopOrder{grace_period, reason};
      return true;
    });
    grants_.note(key.first, reason);
  }
  spdlog::info("granting: {} tasks displaced for {}", resources->victims.size(), spec.job_id.get());
  return resources->machine_ids;
}

void Granting::summarize(const Planner& planner) {
  last_summary_ = clock_.steady();
  const WallTime now = clock_.wall();
  Resources whole{};
  Resources free{};
  std::size_t up = 0;
  for (std::size_t i = 0; i < planner.profile().machines().size(); ++i) {
    if (planner.profile().machines()[i].ready > now) continue;  // coming, or gone from the profile
    ++up;
    whole += planner.profile().lane(i).whole();
    free += planner.profile().lane(i).free(now, now + Duration{1});
  }
  std::size_t waiting = 0;
  for (const QueueItem& item : planner.queue()) waiting += item.demand.tasks;
  spdlog::info(
      "granting: {} machines up, {} coming; {:.0f} of {:.0f} GPUs free; {} jobs, {} tasks wait", up,
      planner.profile().count() - up, free.gpus, whole.gpus, planner.queue().size(), waiting);
}

void Granting::check_starvation(const Planner& planner) {
  last_starvation_check_ = clock_.steady();
  const auto& records = cache_.records();
  // One of a single slice is ended by the commit that ends its last task; whatever kept that from
  // happening, it must not stay for ever.
  cleanup_.end_all_finished();
  const auto found =
      find_starved(records, settings_, clock_.wall(), kStarvedAfter, kMachineOutOfUse, kMaxStarved);
  std::set<JobId> still;
  bool remake = false;
  for (const StarvedJob& job : found) {
    still.insert(job.job_id);
    const auto [it, fresh] =
        starved_.try_emplace(job.job_id, StarvedSince{last_starvation_check_, {}});
    // Found once, it may be about to start.
    if (last_starvation_check_ - it->second.first < kStarvationConfirmTime) continue;
    if (last_starvation_check_ - it->second.last_logged_at < kStarvationLogInterval) continue;
    it->second.last_logged_at = last_starvation_check_;
    const Cause cause = explain_starvation(job, planner);
    spdlog::warn("granting: {} has waited for {} s, though {} has room for it: {}",
                 job.job_id.get(), job.waited.ms / 1000, job.machine_id.get(), cause.what);
    remake = remake || cause.profile_is_wrong;
  }
  std::erase_if(starved_, [&](const auto& entry) { return !still.contains(entry.first); });
  // The profile has gone wrong: it is made anew from the records. Guarantees stay.
  if (!remake || last_starvation_check_ - last_remade_ < kStarvationLogInterval) return;
  last_remade_ = last_starvation_check_;
  metrics_.count("profile made anew");
  reset_occupancy();
  schedule_round();
}

Granting::Cause Granting::explain_starvation(const StarvedJob& job, const Planner& planner) const {
  if (job.state != MachineState::up) return {std::string("it is ") + name_of(job.state)};
  const auto& records = cache_.records();
  const auto machine = records.machines.find(job.machine_id);
  if (machine != records.machines.end() &&
      unreachable_zones().contains(machine->second.record.zone)) {
    return {"its zone is out of reach"};
  }
  const auto slice = pending_.lower_bound({job.job_id, 0});
  if (slice != pending_.end() && slice->first.first == job.job_id) {
    return {slice->second.offered ? "an offer has not been settled"
                                  : "a release has not been settled"};
  }
  const auto& queue = planner.queue();
  const auto item = std::find_if(queue.begin(), queue.end(),
                                 [&](const QueueItem& i) { return i.job_id == job.job_id; });
  if (item == queue.end()) return {"the job is not in the queue", true};
  const WallTime now = clock_.wall();
  if (item->not_before > now) return {"it is tried again after a pause"};
  for (const auto& [job_id, r] : reservations_) {
    if (job_id == job.job_id) continue;
    for (const auto& place : r.places) {
      if (place.machine_id == job.machine_id && place.start < now + item->demand.run * 2.0) {
        return {"room there is reserved for " + job_id.get()};
      }
    }
  }
  const auto lane = planner.profile().find(job.machine_id);
  if (!lane) return {"it is not in the profile", true};
  if (!planner.profile().lane(*lane).takes(item->demand.job->need, now, now + Duration{1})) {
    return {"its room is taken in the profile", true};
  }
  const auto r = reservations_.find(job.job_id);
  if (r == reservations_.end()) return {"it has no reservation", true};
  return {r->second.places.empty() ? "its reservation has no place" : "unknown", true};
}

}  // namespace marblevale
