#include "planner/granting.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {

constexpr Span kTick{500};
constexpr Span kCoalesce{5};
constexpr Span kWantEvery{1000};
constexpr Span kSummaryEvery{10'000};
constexpr Span kSaveMargin{3'000};  // before a machine is taken back
constexpr Span kRoomEvery{12'000};  // between two displacements for one job
constexpr Span kWorthDisplacing{3'000};
constexpr Span kLeastRun{5'000};
constexpr Span kRefusedPause{400};
constexpr double kImpatientLoss = 60;  // of a victim without a deadline: its start was the point
constexpr Span kFreshStart{30'000};
constexpr double kFreshLoss = 15;         // of a victim that has hardly begun
constexpr double kEstimateMargin = 1.15;  // estimates are often too low
constexpr std::size_t kMostWanting = 30;
constexpr Span kSoon{20'000};           // a start this near needs no new machine
constexpr Span kOverdueBoot{5'500};     // a machine expected within this is late, or about to come
constexpr Span kUnplacedWait{600'000};  // of a job that no machine can take

Span retry_pause(std::uint32_t faults) {
  // The first retry is at once, elsewhere; a job that keeps failing gives way to the others.
  switch (faults) {
    case 0:
    case 1:
      return {0};
    case 2:
      return {4'000};
    case 3:
      return {10'000};
    default:
      return {30'000};
  }
}

/// Time to save, unless saving takes longer than the work that is lost on average by not saving.
Span displacement_leeway(const JobSpec& job) {
  const Span saving = job.stash + Span{2'000};
  return job.snapshot > Span{0} && job.snapshot * 0.5 <= saving ? Span{0} : saving;
}

Owner owner_of(const Uid& uid) { return Owner(std::hash<Uid>{}(uid) & ~(3ULL << 62)); }

}  // namespace

void ImageGuess::used(const HostId& host, const ImageId& image, double gb, double cache_gb) {
  note_image(images_[host], image, gb, cache_gb);
}

std::set<ImageId> ImageGuess::of(const HostId& host) const {
  std::set<ImageId> out;
  const auto it = images_.find(host);
  if (it == images_.end()) return out;
  for (const auto& [image, gb] : it->second) out.insert(image);
  return out;
}

Granting::Granting(Loop& loop, const Clock& clock, const Settings& settings, Mirror& mirror,
                   Election& election, Fleet& fleet)
    : clock_(clock),
      settings_(settings),
      mirror_(mirror),
      election_(election),
      fleet_(fleet),
      timer_(loop, [this] { round(); }) {
  mirror_.listen([this](Topic topic, const std::string& key) {
    switch (topic) {
      case Topic::slice:
        watch_images(key);
        wake();
        break;
      case Topic::job:
      case Topic::machine:
      case Topic::leader:
      case Topic::types:
      case Topic::hire:
        wake();
        break;
      default:
        break;
    }
  });
}

void Granting::begin() { timer_.start(kTick); }

void Granting::wake() {
  if (!election_.in_charge()) return;
  // Rounds take at most about a third of the processor's share.
  const Span since = clock_.steady() - round_over_;
  const Span pause = std::max(kCoalesce, round_took_ * 2.0 - since);
  timer_.start(pause);
}

void Granting::watch_images(const std::string& slice_key) {
  const auto slash = slice_key.find('/');
  const Uid uid(slice_key.substr(0, slash));
  const auto& records = mirror_.records();
  const JobRecord* job = records.job(uid);
  const auto* slice =
      records.slice(uid, static_cast<std::uint32_t>(std::stoul(slice_key.substr(slash + 1))));
  if (job == nullptr || slice == nullptr) return;
  for (const TaskRecord& task : slice->record.tasks) {
    if (task.state != TaskState::bound) continue;
    const auto machine = records.machines.find(task.host);
    if (machine == records.machines.end()) continue;
    const MachineType* type = records.type(machine->second.record.build);
    if (type == nullptr) continue;
    images_.used(task.host, job->spec.bundle, job->spec.image_gb, type->cache_gb);
  }
}

void Granting::transition(State next) {
  if (next == state_) return;
  spdlog::info("granting: {}", next == State::leading ? "leading" : "idle");
  state_ = next;
}

void Granting::take_over() {
  transition(State::leading);
  term_ = election_.term();
  reservations_.clear();
  pending_.clear();
  unknown_.clear();
  ending_.clear();
  notes_.clear();
  made_room_.clear();
  persisting_ = false;
  cursor_ = 0;
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
  if (!election_.in_charge()) {
    transition(State::idle);
    return;
  }
  const Steady begin = clock_.steady();
  if (state_ != State::leading || term_ != election_.term()) take_over();
  std::erase_if(pending_, [this, begin](const auto& entry) {
    const Pending& p = entry.second;
    return (p.until && mirror_.revision().get() >= p.until->get()) ||
           (p.retry && begin >= *p.retry);
  });
  if (!mirror_.records().types) return;  // nothing is known of what machines there are

  std::vector<std::pair<Txn, std::vector<SliceRecord>>> again;
  again.swap(unknown_);
  for (auto& [txn, slices] : again) commit_slices(std::move(txn), std::move(slices));
  housekeep();
  drain();
  Profile profile = build_profile();
  occupy(profile);
  auto queue = build_queue();
  std::erase_if(reservations_, [&](const auto& entry) {
    return std::none_of(queue.begin(), queue.end(),
                        [&](const QueueItem& item) { return item.uid == entry.first; });
  });
  Planner planner(
      std::move(profile), std::move(queue), reservations_, clock_.wall(),
      [this, begin] { return clock_.steady() - begin > settings_.tuning.round_budget; });
  Pins pins;
  for (const auto& [uid, made] : made_room_) {
    if (begin - made.at < kRoomEvery) pins.emplace(uid, made.hosts);
  }
  for (const Moved& moved : planner.restore(pins)) {
    note(moved.uid, "start moved " + std::to_string((moved.to - moved.from).ms / 1000) +
                        " s later: tasks before it overran, a machine was lost, or "
                        "room was made there for a job that goes first");
  }
  const bool admitted = planner.admit_arrivals();
  // What was started is taken out of the queue by the next round, which sees it as placed.
  const auto starts = planner.compress(cursor_);
  for (const Start& start : starts) release(start, planner);
  if (starts.empty() && admitted && cursor_ == 0) displace(planner);
  if (clock_.steady() - last_want_ >= kWantEvery) want_machines(planner);
  persist();
  if (clock_.steady() - last_summary_ >= kSummaryEvery) summarize(planner);
  round_over_ = clock_.steady();
  round_took_ = round_over_ - begin;
  if (!admitted || cursor_ != 0) wake();
}

void Granting::note(const Uid& uid, std::string what) {
  auto& list = notes_[uid];
  if (list.size() < 16) list.push_back({clock_.wall(), std::move(what)});
}

bool Granting::end_job(const Uid& uid, const Stored<JobRecord>& job) {
  const auto& records = mirror_.records();
  const std::uint32_t slices = slice_count(job.record.spec);
  std::uint32_t done = 0;
  bool placed = false;
  std::vector<SliceKey> keys;
  for (auto it = records.slices.lower_bound({uid, 0});
       it != records.slices.end() && it->first.first == uid; ++it) {
    keys.push_back(it->first);
    if (it->second.record.all_done()) ++done;
    for (const TaskRecord& t : it->second.record.tasks) placed = placed || t.placed();
  }
  const bool finished = done == slices;
  const bool cancelled = job.record.cancelled && !placed;
  if ((!finished && !cancelled) || !ending_.insert(uid).second) return false;
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
    txn.remove(keys::grant(uid));
  }
  txn.put(keys::final_job(uid), encode(record)).remove(keys::job(uid));
  // The rest of a long job's slices is swept up afterwards.
  for (const SliceKey& key : keys) {
    if (txn.puts.size() + txn.deletes.size() >= settings_.store.txn_ops) break;
    txn.remove(keys::slice(key.first, key.second));
  }
  mirror_.commit(Rank::granting, std::move(txn),
                 [this, uid](const CommitResult&) { ending_.erase(uid); });
  return true;
}

void Granting::housekeep() {
  const auto& records = mirror_.records();
  for (const auto& [uid, job] : records.jobs) {
    if (job.record.cancelled || slice_count(job.record.spec) > 1) end_job(uid, job);
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
  Txn txn;
  election_.guard(txn);
  for (const auto& [key, slice] : records.slices) {
    if (txn.deletes.size() >= settings_.store.txn_ops) break;
    if (records.jobs.contains(key.first)) continue;
    txn.guard(keys::slice(key.first, key.second), slice.stamp);
    txn.remove(keys::slice(key.first, key.second));
  }
  for (const auto& [uid, grant] : records.grants) {
    if (txn.deletes.size() >= settings_.store.txn_ops) break;
    if (records.jobs.contains(uid)) continue;
    txn.guard(keys::grant(uid), grant.stamp).remove(keys::grant(uid));
  }
  if (!txn.deletes.empty()) {
    mirror_.commit(Rank::granting, std::move(txn), [](const CommitResult&) {});
  }
}

void Granting::stop_tasks(const SliceKey& key,
                          const std::function<bool(std::size_t, TaskRecord&)>& stop) {
  if (pending_.contains(key)) return;
  const auto* stored = mirror_.records().slice(key.first, key.second);
  if (stored == nullptr) return;
  SliceRecord slice = stored->record;
  bool changed = false;
  for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
    TaskRecord& task = slice.tasks[i];
    if (task.placed() && !task.stop && stop(i, task)) changed = true;
  }
  if (!changed) return;
  Txn txn;
  election_.guard(txn);
  txn.guard(keys::slice(key.first, key.second), stored->stamp);
  txn.put(keys::slice(key.first, key.second), encode(slice));
  commit_slices(std::move(txn), {slice});
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
    for (std::uint32_t n = 0; n < slice_count(spec); ++n) {
      stop_tasks({uid, n}, [&](std::size_t, TaskRecord& task) {
        const auto machine = records.machines.find(task.host);
        const bool taken = machine != records.machines.end() && machine->second.record.recall;
        if (!spec.gang() && !taken) return false;
        task.stop = StopOrder{spec.stash + Span{2'000}, "the cloud takes its machine back"};
        return true;
      });
    }
    note(uid, "stopped to save its progress: the cloud takes its machine back");
  }
}

std::set<ImageId> Granting::images_at(const HostId& host) const {
  // The record has what ran there; the guess adds what is being fetched.
  std::set<ImageId> out = images_.of(host);
  const auto& machines = mirror_.records().machines;
  if (const auto it = machines.find(host); it != machines.end()) {
    for (const auto& [image, gb] : it->second.record.images) out.insert(image);
  }
  return out;
}

std::size_t Granting::fetches_at(const HostId& host) const {
  const auto& records = mirror_.records();
  const auto placed = records.placed.find(host);
  const auto machine = records.machines.find(host);
  if (placed == records.placed.end() || machine == records.machines.end()) return 0;
  std::set<ImageId> coming;
  for (const auto& [id, attempt] : placed->second) {
    const TaskRecord* task = records.task(id);
    const JobRecord* job = records.job(id.uid);
    if (task != nullptr && job != nullptr && task->running.ms == 0) coming.insert(job->spec.bundle);
  }
  for (const auto& [image, gb] : machine->second.record.images) coming.erase(image);
  return coming.size();
}

Profile Granting::build_profile() const {
  Profile profile;
  const auto& records = mirror_.records();
  const Wall now = clock_.wall();
  const auto describe = [&](const HostId& host, const std::string& build, const ZoneId& zone,
                            bool spot, Wall ready) {
    const MachineType* type = records.type(build);
    if (type == nullptr) return;
    PlanMachine m;
    m.host = host;
    m.build = build;
    m.zone = zone;
    m.spot = spot;
    m.ready = ready;
    m.price = type->price_of(spot);
    m.pull_gb_per_s = type->pull_gb_per_s;
    m.room = type->room;
    m.images = images_at(host);
    m.fetching = fetches_at(host);
    profile.add_machine(std::move(m));
  };
  for (const auto& [host, stored] : records.machines) {
    const MachineRecord& m = stored.record;
    if (m.state == MachineState::up && !m.recall) describe(host, m.build, m.zone, m.spot, now);
  }
  for (const Booting& b : fleet_.booting()) {
    describe(b.host, b.offer.build, b.offer.zone, b.offer.spot, b.ready);
  }
  for (const Team& team : settings_.teams) profile.set_team(team.name, team.limit());
  return profile;
}

Wall Granting::likely_end(const TaskRecord& task, const JobSpec& job) const {
  const Wall now = clock_.wall();
  if (task.stop) return now + std::min(task.stop->leeway, job.stash) + Span{1'000};
  Wall begin = task.running;
  if (begin.ms == 0) {
    const auto machine = mirror_.records().machines.find(task.host);
    const MachineType* type = machine == mirror_.records().machines.end()
                                  ? nullptr
                                  : mirror_.records().type(machine->second.record.build);
    const double rate = type == nullptr ? 0 : type->pull_gb_per_s;
    begin = task.since + (rate > 0 ? from_seconds(job.image_gb / rate) : Span{1'000});
  }
  const Wall end = begin + std::max(kLeastRun, job.expect - task.progress);
  if (end > now + Span{1'000}) return end;
  return now + std::max(kLeastRun, job.expect * 0.2);  // it overruns: its end is stretched
}

void Granting::occupy(Profile& profile) const {
  std::unordered_map<HostId, std::size_t> index;
  for (std::size_t i = 0; i < profile.machines().size(); ++i) {
    index[profile.machines()[i].host] = i;
  }
  const Wall past{0};
  const auto take = [&](const SliceRecord& slice, const JobRecord& job) {
    for (const TaskRecord& task : slice.tasks) {
      if (!task.placed()) continue;
      const Taken taken{past, likely_end(task, job.spec), job.spec.need,
                        Owner{owner_of(slice.uid).get() | (1ULL << 62)}};
      const auto at = index.find(task.host);
      if (at != index.end()) {
        profile.take(at->second, job.spec.crew, taken);
      } else {
        profile.take_team(job.spec.crew, taken);
      }
    }
  };
  const auto& records = mirror_.records();
  for (const auto& [key, stored] : records.slices) {
    const JobRecord* job = records.job(key.first);
    if (job == nullptr || pending_.contains(key)) continue;
    take(stored.record, *job);
  }
  for (const auto& [key, pending] : pending_) {
    if (const JobRecord* job = records.job(key.first)) take(pending.slice, *job);
  }
}

std::set<Uid> Granting::guaranteed_jobs() const {
  const auto& records = mirror_.records();
  std::map<TeamId, std::vector<const JobRecord*>> by_team;
  for (const auto& [uid, job] : records.jobs) {
    if (!job.record.cancelled) by_team[job.record.spec.crew].push_back(&job.record);
  }
  std::set<Uid> out;
  for (auto& [name, jobs] : by_team) {
    const Team* team = settings_.team(name);
    if (team == nullptr) continue;
    std::sort(jobs.begin(), jobs.end(), [](const JobRecord* a, const JobRecord* b) {
      return a->accepted != b->accepted ? a->accepted < b->accepted : a->spec.uid < b->spec.uid;
    });
    Room sum{};
    for (const JobRecord* job : jobs) {
      sum += job->spec.need * static_cast<double>(job->spec.parts);
      if (fits(sum, team->guarantee())) out.insert(job->spec.uid);
    }
  }
  return out;
}

std::optional<QueueItem> Granting::queue_item(const Uid& uid, const JobRecord& job) const {
  const JobSpec& spec = job.spec;
  QueueItem item;
  item.uid = uid;
  item.owner = owner_of(uid);
  item.accepted = job.accepted;
  item.demand.job = &spec;
  const Wall now = clock_.wall();
  Span progress = spec.expect;
  Wall soonest{std::numeric_limits<std::int64_t>::max()};
  std::vector<std::uint32_t> paused;
  std::map<ZoneId, std::uint32_t> zones;
  bool placed = false;
  for (std::uint32_t n = 0; n < slice_count(spec); ++n) {
    const SliceRecord* slice = current(uid, n);
    const bool open = item.parts.empty() && paused.empty();
    for (std::uint32_t i = 0; i < slice_size(spec, n); ++i) {
      const TaskRecord* task = slice == nullptr ? nullptr : &slice->tasks[i];
      if (task != nullptr && task->placed()) {
        placed = true;
        ++zones[task->zone];
      }
      if (task != nullptr && task->state != TaskState::idle) continue;
      // Of a long array, one slice at a time is in the queue; a gang is there whole.
      if (!spec.gang() && !open && n * kSliceTasks + i >= kSliceTasks &&
          (item.parts.empty() ? paused.front() : item.parts.front()) / kSliceTasks != n) {
        break;
      }
      progress = std::min(progress, task == nullptr ? Span{0} : task->progress);
      const Wall at = task == nullptr ? Wall{0} : task->since + retry_pause(task->faults);
      soonest = std::min(soonest, at);
      (task != nullptr && task->faults > 0 && at > now ? paused : item.parts)
          .push_back(n * kSliceTasks + i);
    }
  }
  if (spec.gang()) {
    // A gang starts whole: not before all its earlier tasks are proven gone.
    if (placed) return std::nullopt;
    item.parts.insert(item.parts.end(), paused.begin(), paused.end());
    if (!paused.empty()) item.not_before = soonest;
    if (item.parts.size() != spec.parts) return std::nullopt;
    std::sort(item.parts.begin(), item.parts.end());
  } else if (item.parts.empty() && !paused.empty()) {
    item.parts = paused;
    item.not_before = soonest;
  }
  if (item.parts.empty()) return std::nullopt;
  item.demand.tasks = static_cast<std::uint32_t>(item.parts.size());
  item.demand.run = std::max(kLeastRun, spec.expect - progress);
  if (spec.together && !zones.empty()) item.demand.zone = zones.begin()->first;
  item.demand.elsewhere.assign(zones.begin(), zones.end());
  return item;
}

void Granting::set_target(QueueItem& item, const JobSpec& job) const {
  const Wall now = clock_.wall();
  for (const Objective& o : settings_.objectives) {
    if (!o.workclass.empty() && o.workclass != job.workclass) continue;
    std::optional<Wall> start;
    switch (o.kind) {
      case Objective::Kind::wait:
        start = item.accepted + o.within;
        break;
      case Objective::Kind::finished:
        start = item.accepted + o.within - item.demand.run * kEstimateMargin;
        break;
      case Objective::Kind::deadline:
        if (job.due) start = item.accepted + *job.due - item.demand.run * kEstimateMargin;
        break;
      case Objective::Kind::guarantee:
        break;  // has a rank of its own
    }
    if (!start) continue;
    item.missed = true;
    if (*start > now && (!item.target || *start < *item.target)) item.target = start;
  }
  if (item.target) item.missed = false;
}

std::vector<QueueItem> Granting::build_queue() const {
  const auto guaranteed = guaranteed_jobs();
  std::vector<QueueItem> queue;
  for (const auto& [uid, job] : mirror_.records().jobs) {
    if (job.record.cancelled) continue;
    auto item = queue_item(uid, job.record);
    if (!item) continue;
    item->guaranteed = guaranteed.contains(uid);
    set_target(*item, job.record.spec);
    queue.push_back(std::move(*item));
  }
  return queue;
}

void Granting::commit_slices(Txn txn, std::vector<SliceRecord> slices) {
  for (const SliceRecord& slice : slices) {
    pending_[{slice.uid, slice.number}] = {slice, std::nullopt, std::nullopt};
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
                     } else {
                       // Not executed. Not tried again at once: the state service may be refusing
                       // this node for a while.
                       pending.retry = clock_.steady() + kRefusedPause;
                     }
                   }
                   wake();
                 });
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
  commit_slices(std::move(txn), std::move(slices));
}

void Granting::displace(const Planner& planner) {
  std::set<Uid> guaranteed;
  for (const QueueItem& item : planner.queue()) {
    if (item.guaranteed) guaranteed.insert(item.uid);
  }
  for (const Uid& uid : guaranteed_jobs()) guaranteed.insert(uid);
  const Steady now = clock_.steady();
  const Wall wall = clock_.wall();
  std::size_t tried = 0;
  for (const QueueItem& item : planner.queue()) {
    const auto r = reservations_.find(item.uid);
    if (r == reservations_.end() || item.not_before > wall) continue;
    if (r->second.start - wall < kWorthDisplacing) continue;
    if (!item.guaranteed && item.demand.job->urgency == Urgency::low) continue;
    const auto last = made_room_.find(item.uid);
    if (last != made_room_.end() && now - last->second.at < kRoomEvery) continue;
    if (++tried > 8) break;
    const auto hosts = make_room(item, guaranteed);
    if (!hosts.empty()) {
      made_room_[item.uid] = {now, hosts};
      return;  // the next round sees what it freed
    }
  }
  std::erase_if(made_room_,
                [&](const auto& entry) { return now - entry.second.at > Span{60'000}; });
}

std::vector<HostId> Granting::make_room(const QueueItem& item, const std::set<Uid>& guaranteed) {
  const auto& records = mirror_.records();
  const JobSpec& spec = *item.demand.job;
  const Team* team = settings_.team(spec.crew);
  struct Victim {
    TaskId id;
    Room room;
    double loss;
  };
  struct Place {
    HostId host;
    ZoneId zone;
    Room free;
    double fetch = 0;  // seconds until the job's image is there
    std::vector<Victim> victims;
  };
  Room team_used{};
  std::vector<Place> places;
  for (const auto& [host, stored] : records.machines) {
    const MachineRecord& m = stored.record;
    const MachineType* type = records.type(m.build);
    if (type == nullptr) continue;
    Place place{host, m.zone, type->room, 0, {}};
    if (type->pull_gb_per_s > 0 && !images_at(host).contains(spec.bundle)) {
      place.fetch = spec.image_gb / type->pull_gb_per_s;
    }
    if (const auto placed = records.placed.find(host); placed != records.placed.end()) {
      for (const auto& [id, attempt] : placed->second) {
        const JobRecord* other = records.job(id.uid);
        const TaskRecord* task = records.task(id);
        if (other == nullptr || task == nullptr) continue;
        place.free -= other->spec.need;
        if (other->spec.crew == spec.crew) team_used += other->spec.need;
        // Room that is being vacated already counts as free: no second victim for it.
        if (task->stop) {
          place.free += other->spec.need;
          continue;
        }
        const bool lower = other->spec.urgency < spec.urgency;
        const bool beyond =
            item.guaranteed && other->spec.crew != spec.crew && !guaranteed.contains(id.uid);
        if ((!lower && !beyond) || (other->spec.gang() && other->spec.parts > 1)) continue;
        const Span ran = task->running.ms == 0 ? Span{0} : clock_.wall() - task->running;
        // What a restart costs: the unsaved work, another image fetch perhaps, and its own wait.
        double lost = other->spec.snapshot > Span{0} ? other->spec.stash.seconds() : ran.seconds();
        lost += (type->pull_gb_per_s > 0 ? other->spec.image_gb / type->pull_gb_per_s : 0) * 0.5;
        if (!other->spec.due) lost += kImpatientLoss;
        if (ran < kFreshStart) lost += kFreshLoss;
        place.victims.push_back({id, other->spec.need, lost});
      }
    }
    PlanMachine rules;
    rules.build = m.build;
    rules.zone = m.zone;
    rules.spot = m.spot;
    rules.room = type->room;
    const bool usable = m.state == MachineState::up && !m.recall && Profile::allowed(spec, rules) &&
                        (!item.demand.zone || *item.demand.zone == m.zone);
    if (usable) places.push_back(std::move(place));
  }
  const Room all = spec.need * static_cast<double>(item.demand.tasks);
  const std::uint32_t tasks = spec.gang() ? item.demand.tasks : 1;
  if (team != nullptr && !fits(team_used + (spec.gang() ? all : spec.need), team->limit())) {
    return {};
  }

  // For each zone (or for all at once), the places that cost least until every task has one.
  std::vector<std::optional<ZoneId>> zones;
  if (spec.together) {
    for (const ZoneId& zone : settings_.zones) zones.emplace_back(zone);
  } else {
    zones.emplace_back(std::nullopt);
  }
  std::vector<TaskId> best;
  std::vector<HostId> best_hosts;
  double best_loss = 0;
  for (const auto& zone : zones) {
    std::vector<TaskId> chosen;
    std::vector<HostId> hosts;
    double loss = 0;
    std::uint32_t found = 0;
    std::vector<Place> open = places;
    while (found < tasks) {
      std::size_t cheapest = open.size();
      double least_cost = 0;
      std::vector<std::size_t> least_victims;
      for (std::size_t p = 0; p < open.size(); ++p) {
        if (zone && open[p].zone != *zone) continue;
        Room free = open[p].free;
        double cost = open[p].fetch * 2;  // room that can be used later is worth less
        std::vector<std::size_t> victims;
        std::vector<std::size_t> order(open[p].victims.size());
        for (std::size_t v = 0; v < order.size(); ++v) order[v] = v;
        std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
          return open[p].victims[a].loss < open[p].victims[b].loss;
        });
        for (const std::size_t v : order) {
          if (fits(spec.need, free)) break;
          free += open[p].victims[v].room;
          cost += open[p].victims[v].loss + 5;
          victims.push_back(v);
        }
        if (!fits(spec.need, free)) continue;
        if (cheapest == open.size() || cost < least_cost) {
          cheapest = p;
          least_cost = cost;
          least_victims = victims;
        }
      }
      if (cheapest == open.size()) break;
      Place& place = open[cheapest];
      std::sort(least_victims.rbegin(), least_victims.rend());
      for (const std::size_t v : least_victims) {
        chosen.push_back(place.victims[v].id);
        place.free += place.victims[v].room;
        place.victims.erase(place.victims.begin() + static_cast<std::ptrdiff_t>(v));
      }
      place.free -= spec.need;
      hosts.push_back(place.host);
      loss += least_cost;
      ++found;
    }
    if (found < tasks || chosen.empty()) {
      if (found == tasks) return {};  // room is being vacated already
      continue;
    }
    if (best.empty() || loss < best_loss) {
      best = std::move(chosen);
      best_hosts = std::move(hosts);
      best_loss = loss;
    }
  }
  if (best.empty()) return {};
  std::map<SliceKey, std::set<std::size_t>> by_slice;
  for (const TaskId& id : best) {
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
    note(key.first, reason);
  }
  spdlog::info("granting: {} tasks displaced for {}", best.size(), spec.uid.get());
  return best_hosts;
}

void Granting::summarize(const Planner& planner) {
  last_summary_ = clock_.steady();
  const Wall now = clock_.wall();
  Room whole{};
  Room free{};
  std::size_t up = 0;
  for (std::size_t i = 0; i < planner.profile().machines().size(); ++i) {
    if (planner.profile().machines()[i].ready > now) continue;
    ++up;
    whole += planner.profile().lane(i).whole();
    free += planner.profile().lane(i).free(now, now + Span{1});
  }
  std::size_t waiting = 0;
  for (const QueueItem& item : planner.queue()) waiting += item.demand.tasks;
  spdlog::info(
      "granting: {} machines up, {} coming; {:.0f} of {:.0f} GPUs free; {} jobs, {} tasks wait", up,
      planner.profile().machines().size() - up, free.gpus, whole.gpus, planner.queue().size(),
      waiting);
}

namespace {

/// True when a machine could take one of the job's tasks now: then the job waits for its team's
/// limit, or for its turn, and no machine would help.
bool has_room(const Profile& profile, const QueueItem& item, Wall now) {
  const JobSpec& job = *item.demand.job;
  for (std::size_t i = 0; i < profile.machines().size(); ++i) {
    const PlanMachine& m = profile.machines()[i];
    if (m.ready > now || !Profile::allowed(job, m)) continue;
    if (fits(job.need, profile.lane(i).free(now, now + item.demand.run))) return true;
  }
  return false;
}

}  // namespace

void Granting::want_machines(const Planner& planner) {
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
    return m.ready > now + kOverdueBoot;
  });
  // Reservations lag behind what has become possible since (holes are kept on purpose), so what is
  // missing is read from the plan that the queue would get if it were laid out anew.
  for (const auto& [item, plan] : planner.outlook(kMostWanting)) {
    const JobSpec& job = *item->demand.job;
    const Lane* limit = planner.profile().team(job.crew);
    const double least = job.gang() ? item->demand.tasks : 1;
    if (limit != nullptr && !fits(job.need * least, limit->free(now, now + Span{1}))) continue;
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
    if (!coming && waited > std::max(wait, kSoon) && !has_room(planner.profile(), *item, now)) {
      wait = waited;
      late = item->demand.tasks;
    }
    if (late == 0) continue;
    wanting.push_back({item->demand.job, late, item->demand.run, wait, item->demand.zone});
  }
  std::map<TeamId, Room> team_room;
  for (const Team& team : settings_.teams) {
    if (const Lane* lane = planner.profile().team(team.name)) {
      Room used{};
      for (const Taken& t : lane->taken()) {
        // Only what runs: reservations are what the machines are wanted for.
        if (t.from.ms == 0) used += t.room;
      }
      team_room[team.name] = team.limit() - used;
    }
  }
  fleet_.plan(std::move(wanting), std::move(team_room), std::move(in_use));
}

void Granting::persist() {
  if (persisting_) return;
  const auto& records = mirror_.records();
  Txn txn;
  election_.guard(txn);
  const std::size_t most = std::max<std::size_t>(1, settings_.store.txn_ops / 2);
  std::vector<Uid> written;
  std::set<Uid> due;
  for (const auto& [uid, r] : reservations_) {
    if (r.changed) due.insert(uid);
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
    if (const auto r = reservations_.find(uid); r != reservations_.end()) {
      if (grant.guarantees.empty()) {
        const auto wait = r->second.first - job->second.record.accepted;
        grant.note(clock_.wall(),
                   "granted a start " + std::to_string(wait.ms / 1000) + " s after acceptance");
      }
      grant.guarantees = {{0, r->second.first, r->second.start, r->second.end}};
      r->second.changed = false;
    }
    if (const auto notes = notes_.find(uid); notes != notes_.end()) {
      for (Note& n : notes->second) grant.note(n.at, std::move(n.what));
      notes_.erase(notes);
    }
    // The job's guard: a grant must not come back after the job has ended.
    txn.guard(keys::job(uid), job->second.stamp);
    txn.guard(keys::grant(uid), stored == records.grants.end() ? Stamp{} : stored->second.stamp);
    txn.put(keys::grant(uid), encode(grant));
    written.push_back(uid);
  }
  if (txn.puts.empty()) return;
  persisting_ = true;
  mirror_.commit(Rank::granting, std::move(txn), [this, written](const CommitResult& r) {
    persisting_ = false;
    if (r.fate == Fate::done) return;
    for (const Uid& uid : written) {
      if (const auto it = reservations_.find(uid); it != reservations_.end())
        it->second.changed = true;
    }
  });
}

}  // namespace marblevale
