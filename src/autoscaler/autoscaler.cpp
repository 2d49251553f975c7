#include "autoscaler/autoscaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "autoscaler/suspect_machines.hpp"

namespace marblevale {

namespace {

constexpr Duration kReconcileInterval{1000};
constexpr Duration kTypesEvery{60'000};
constexpr Duration kFirstRefusal{8'000};
constexpr Duration kMaxRefusal{40'000};
// Longer than any list lags, and than copies of a machine's reports come late.
constexpr Duration kTombstoneRetention{180'000};
// How long a silent machine is waited for, in leases. Many that fall silent together have more
// often hung, or are cut off, than died (which the cloud's lists would tell): they are waited for
// longer, since as many would have to be rented and booted again.
constexpr double kSilentLeases = 0.8;
constexpr double kManySilentLeases = 1.2;
constexpr std::size_t kManySilent = 10;
constexpr Duration kLeaseMargin{1'000};   // clocks, and the way of the last answer
constexpr double kBootTimeout = 3.0;      // boot times after which a machine is given up
constexpr std::size_t kMaxDeleted = 100;  // by one request, as the protocol has it
constexpr double kListShare =
    0.3;  // of the cloud's calls: renting and deleting must not wait for lists
constexpr std::uint32_t kMaxProvisioned = 50;  // by one request, as the protocol has it
constexpr double kSpareShare = 0.2;       // of the machines that are up: idle ones worth keeping
constexpr double kSurplusPatience = 0.4;  // of the idle time, for those beyond the spare ones
constexpr Duration kUnlistedGracePeriod{5'000};  // more than clocks differ
constexpr Duration kStateSilence{2'500};         // without an answer: the state service is out

}  // namespace

Autoscaler::Autoscaler(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
                       Election& election, Cloud& cloud)
    : metrics_(loop.metrics()),
      clock_(clock),
      settings_(settings),
      cache_(cache),
      election_(election),
      cloud_(cloud),
      random_(election.incarnation().get()),
      machines_(cache, RequestPriority::leader_commit,
                [this](Txn& txn, const ZoneId&) {
                  if (!election_.holds_fresh_lease()) return false;
                  election_.guard(txn);
                  return true;
                }),
      tick_timer_(loop, [this] { tick(); }) {}

void Autoscaler::begin() { tick_timer_.start(Duration{50}); }

Duration Autoscaler::boot_time(const std::string& machine_type) const {
  const MachineType* type = cache_.records().type(machine_type);
  return type == nullptr ? Duration{60'000} : type->boot;
}

bool Autoscaler::available(const MachineOffering& offer) const {
  const auto it = refused_.find(offer);
  return it == refused_.end() || it->second.until <= clock_.steady();
}

std::vector<Booting> Autoscaler::booting() const {
  std::vector<Booting> out;
  const auto& records = cache_.records();
  const WallTime now = clock_.wall();
  for (const auto& [name, provisioning_request] : records.provisioning_requests) {
    for (const MachineId& machine_id : provisioning_request.record.machine_ids) {
      if (records.machines.contains(machine_id)) continue;
      const Duration boot = boot_time(provisioning_request.record.machine_type);
      // One that is late is expected soon, until it is given up.
      const WallTime likely =
          std::max(provisioning_request.record.asked + scaled(boot, 1.1), now + Duration{5'000});
      out.push_back({machine_id, provisioning_request.record.machine_type,
                     provisioning_request.record.zone, provisioning_request.record.spot, likely});
    }
  }
  return out;
}

void Autoscaler::plan(std::vector<UnmetDemand> unmet_demands,
                      std::map<TeamId, Resources> team_resources, std::set<MachineId> in_use) {
  // The jobs are copied: the records may change before the next tick.
  unmet_jobs_.clear();
  unmet_demands_ = std::move(unmet_demands);
  for (UnmetDemand& w : unmet_demands_) {
    w.job = &unmet_jobs_.emplace(w.job->job_id.get(), *w.job).first->second;
  }
  team_resources_ = std::move(team_resources);
  in_use_ = std::move(in_use);
}

void Autoscaler::tick() {
  tick_timer_.start(kReconcileInterval);
  delete_unrecorded();
  if (!election_.is_established_leader()) {
    term_ = ModRevision{};
    return;
  }
  // By the term: another may have led between two ticks.
  if (term_ != election_.term()) {
    term_ = election_.term();
    charge_since_ = clock_.steady();
    idle_since_.clear();
    listed_.clear();
    last_seen_.clear();
    asking_.clear();
    machines_.forget_all();
    unmet_demands_.clear();
  }
  const auto timed = metrics_.time(Duty::autoscaler);
  // Decided and committed before: whoever leads carries it out, however old its records are.
  retry_due_deletions();
  if (!election_.holds_fresh_lease()) {
    machines_.forget_all();  // decided on records that may have changed since
    return;
  }
  refresh_types();
  refresh_list();
  retry_due_provisioning();
  retry_due_machines();
  scale_out();
  forget_old();
  machines_.flush();
}

void Autoscaler::refresh_types() {
  const SteadyTime now = clock_.steady();
  if (types_asked_ || (cache_.records().types && now - types_at_ < kTypesEvery)) return;
  types_asked_ = true;
  cloud_.list_machine_types([this](std::optional<std::vector<MachineType>> types) {
    types_asked_ = false;
    if (!types || !election_.is_established_leader()) return;
    types_at_ = clock_.steady();
    const auto& known = cache_.records().types;
    const std::string value = encode(*types);
    if (known && encode(known->record) == value) return;
    Txn txn;
    election_.guard(txn);
    // By its own revision as well: a late one must not bring back earlier prices.
    txn.guard(keys::kTypes, known ? known->mod_revision : ModRevision{}).put(keys::kTypes, value);
    cache_.commit(RequestPriority::leader_commit, std::move(txn), [](const CommitResult&) {});
  });
}

void Autoscaler::refresh_list() {
  const SteadyTime now = clock_.steady();
  // A list of a large cluster takes several calls: the more pages it had, the rarer it is read.
  const Duration every = std::max({Duration{2000}, scaled(settings_.list_lag, 0.5),
                                   from_seconds(list_pages_ / (settings_.cloud_rps * kListShare))});
  if (listing_ || now - list_at_ < every) return;
  listing_ = true;
  list_at_ = now;
  cloud_.list_machines(std::nullopt, [this, now](std::optional<MachineList> page) {
    if (!page) {
      listing_ = false;
      return;
    }
    take_list(*page, now, {}, 1);
  });
}

void Autoscaler::take_list(const MachineList& page, SteadyTime sent, std::set<MachineId> seen,
                           int pages) {
  for (const ListedMachine& m : page.machines) {
    listed_[m.machine_id] = {m, clock_.steady()};
    seen.insert(m.machine_id);
  }
  if (page.has_next && !page.machines.empty()) {
    cloud_.list_machines(page.machines.back().machine_id, [this, sent, seen = std::move(seen),
                                                           pages](std::optional<MachineList> next) {
      if (!next) {
        listing_ = false;
        return;
      }
      take_list(*next, sent, seen, pages + 1);
    });
    return;
  }
  listing_ = false;
  list_pages_ = pages;
  last_list_ = sent;
  last_seen_ = std::move(seen);
  // A list may be older than the one before it, by up to twice the lag: only one that must be newer
  // than the last that had a machine shows that the machine is gone. Its tasks come free by the
  // deletion, without waiting for its silence.
  std::vector<MachineId> vanished;
  for (const auto& [machine_id, entry] : listed_) {
    if (!last_seen_.contains(machine_id) && sent - settings_.list_lag * 2 > entry.seen) {
      vanished.push_back(machine_id);
    }
  }
  for (const MachineId& machine_id : vanished) {
    listed_.erase(machine_id);
    if (cache_.records().machines.contains(machine_id))
      request_deletion(machine_id, "no longer listed");
  }
}

void Autoscaler::ask(const ProvisioningRequest& provisioning_request, ModRevision mod_revision) {
  asking_.insert(provisioning_request.name);
  cloud_.provision(
      provisioning_request, [this, provisioning_request, mod_revision](ProvisioningResult result) {
        std::vector<MachineId>& machine_ids = result.machine_ids;
        const MachineOffering offer{provisioning_request.machine_type, provisioning_request.zone,
                                    provisioning_request.spot};
        if (result.outcome == ProvisioningOutcome::unknown) {
          // Unknown: the same name is asked again at a later tick.
          asking_.erase(provisioning_request.name);
          return;
        }
        spdlog::info("fleet: {} asked {} {} in {} ({}), got {}", provisioning_request.name,
                     provisioning_request.how_many, provisioning_request.machine_type,
                     provisioning_request.zone.get(),
                     provisioning_request.spot ? "spot" : "ordinary", machine_ids.size());
        if (machine_ids.size() < provisioning_request.how_many) {
          auto [it, fresh] =
              refused_.try_emplace(offer, Refusal{{}, Backoff(kFirstRefusal, kMaxRefusal)});
          it->second.until = clock_.steady() + it->second.backoff.next(random_);
        } else {
          refused_.erase(offer);
        }
        Txn txn;
        election_.guard(txn);
        txn.guard(keys::provisioning_request(provisioning_request.name), mod_revision);
        if (machine_ids.empty()) {
          txn.remove(keys::provisioning_request(provisioning_request.name));
        } else {
          ProvisioningRequest answered = provisioning_request;
          answered.answered = true;
          answered.machine_ids = std::move(machine_ids);
          txn.put(keys::provisioning_request(provisioning_request.name), encode(answered));
        }
        cache_.commit(
            RequestPriority::leader_commit, std::move(txn),
            [this, name = provisioning_request.name](const CommitResult&) { asking_.erase(name); });
      });
}

void Autoscaler::retry_due_provisioning() {
  for (const auto& [name, provisioning_request] : cache_.records().provisioning_requests) {
    if (!provisioning_request.record.answered && !asking_.contains(name))
      ask(provisioning_request.record, provisioning_request.mod_revision);
  }
}

void Autoscaler::scale_out() {
  const auto& records = cache_.records();
  if (unmet_demands_.empty() || !records.types) return;
  // One wave of requests at a time: the next is planned with the answers.
  for (const auto& [name, provisioning_request] : records.provisioning_requests) {
    if (!provisioning_request.record.answered) return;
  }
  std::map<ZoneId, std::uint32_t> in_zone;
  for (const auto& [machine_id, machine] : records.machines) {
    if (machine.record.state != MachineState::gone) ++in_zone[machine.record.zone];
  }
  const auto wanted = plan_scale_out(
      unmet_demands_, records.types->record,
      [this](const MachineOffering& o) { return available(o); }, in_zone, team_resources_);
  unmet_demands_.clear();
  std::vector<std::pair<MachineOffering, std::uint32_t>> requests;
  for (const auto& [offer, count] : wanted) {
    // Where the last request was refused, one asks whether there are any again: each costs two
    // writes, and in a cluster at its capacity they were a twentieth of all.
    const std::uint32_t asked = refused_.contains(offer) ? std::min(count, kMaxProvisioned) : count;
    for (std::uint32_t left = asked; left > 0; left -= std::min(left, kMaxProvisioned)) {
      requests.emplace_back(offer, std::min(left, kMaxProvisioned));
    }
  }
  for (const auto& [offer, count] : requests) {
    ProvisioningRequest provisioning_request;
    provisioning_request.name =
        "h-" + std::to_string(election_.term().get()) + "-" + std::to_string(++serial_);
    provisioning_request.machine_type = offer.machine_type;
    provisioning_request.zone = offer.zone;
    provisioning_request.spot = offer.spot;
    provisioning_request.how_many = count;
    provisioning_request.asked = clock_.wall();
    Txn txn;
    election_.guard(txn);
    txn.guard(keys::provisioning_request(provisioning_request.name), ModRevision{})
        .put(keys::provisioning_request(provisioning_request.name), encode(provisioning_request));
    asking_.insert(provisioning_request.name);
    cache_.commit(RequestPriority::leader_commit, std::move(txn),
                  [this, provisioning_request](const CommitResult& r) {
                    asking_.erase(provisioning_request.name);
                    // An unknown outcome shows in the cache, if it happened, and is pursued from
                    // there.
                    if (r.outcome == Outcome::done)
                      ask(provisioning_request, ModRevision(r.revision.get()));
                  });
  }
}

void Autoscaler::request_deletion(const MachineId& machine_id, const char* why) {
  const auto& machines = cache_.records().machines;
  const auto it = machines.find(machine_id);
  if (machines_.waits(machine_id)) return;
  MachineRecord record;
  if (it != machines.end()) {
    if (it->second.record.state >= MachineState::deleting) return;
    record = it->second.record;
  } else if (const auto listed = listed_.find(machine_id); listed != listed_.end()) {
    record.machine_id = machine_id;
    record.address = listed->second.machine.address;
    record.machine_type = listed->second.machine.machine_type;
    record.zone = listed->second.machine.zone;
    record.spot = listed->second.machine.spot;
  } else {
    record.machine_id = machine_id;
    if (const auto placed = cache_.records().placed.find(machine_id);
        placed != cache_.records().placed.end()) {
      const TaskRecord* task = cache_.records().task(placed->second.begin()->first);
      if (task != nullptr) record.zone = task->zone;
    }
    for (const auto& [name, provisioning_request] : cache_.records().provisioning_requests) {
      const auto& machine_ids = provisioning_request.record.machine_ids;
      if (std::find(machine_ids.begin(), machine_ids.end(), machine_id) == machine_ids.end())
        continue;
      record.machine_type = provisioning_request.record.machine_type;
      record.zone = provisioning_request.record.zone;
      record.spot = provisioning_request.record.spot;
    }
  }
  const WallTime now = clock_.wall();
  machines_.edit(
      machine_id, record.zone,
      [record, now](MachineRecord& known) {
        if (known.state >= MachineState::deleting) return MachineWriter::EditAction::none;
        if (known.machine_id == MachineId{}) known = record;
        known.state = MachineState::deleting;
        known.since = now;
        return MachineWriter::EditAction::put;
      },
      [this, machine_id, why] {
        spdlog::info("fleet: {} is to be deleted: {}", machine_id.get(), why);
        retry_due_deletions();
      });
}

void Autoscaler::judge_suspect(const MachineRecord& machine, const std::set<JobId>& failed_jobs) {
  if (machines_.waits(machine.machine_id)) return;
  const WallTime now = clock_.wall();
  const auto verdict = verdict_on_suspect(machine, failed_jobs, cache_.records(), now);
  if (!verdict) return;
  spdlog::info("fleet: suspect {} is {}", machine.machine_id.get(), name_of(*verdict));
  machines_.edit(machine.machine_id, machine.zone, [state = *verdict, now](MachineRecord& known) {
    if (known.state != MachineState::suspect) return MachineWriter::EditAction::none;
    known.state = state;
    known.since = now;
    known.blamed = JobId{};
    return MachineWriter::EditAction::put;
  });
}

void Autoscaler::return_idle() {
  // A few idle machines are the room in which the next jobs start at once; what is idle beyond them
  // goes back soon.
  const auto& machines = cache_.records().machines;
  std::erase_if(idle_since_, [&](const auto& entry) {
    const auto it = machines.find(entry.first);
    return it == machines.end() || it->second.record.state != MachineState::up;
  });
  const auto up =
      static_cast<double>(std::count_if(machines.begin(), machines.end(), [](const auto& entry) {
        return entry.second.record.state == MachineState::up;
      }));
  const auto spare = static_cast<std::size_t>(std::ceil(up * kSpareShare));
  std::vector<std::pair<SteadyTime, MachineId>> idle;
  for (const auto& [machine_id, since] : idle_since_) idle.emplace_back(since, machine_id);
  std::sort(idle.begin(), idle.end());
  const SteadyTime now = clock_.steady();
  std::size_t left = idle.size();
  for (const auto& [since, machine_id] : idle) {
    const Duration most = left > spare ? scaled(settings_.tuning.idle_return, kSurplusPatience)
                                       : settings_.tuning.idle_return;
    if (now - since <= most) continue;
    request_deletion(machine_id, "idle");
    --left;
  }
}

bool Autoscaler::holds_replica(const MachineId& machine_id) const {
  const Records& records = cache_.records();
  const auto placed = records.placed.find(machine_id);
  if (placed == records.placed.end()) return false;
  return std::any_of(placed->second.begin(), placed->second.end(), [&](const auto& entry) {
    const JobRecord* job = records.job(entry.first.job_id);
    return job != nullptr && job->spec.endless() && !job->cancelled;
  });
}

Duration Autoscaler::patience_with_silent(const MachineId& machine_id, std::size_t silent) const {
  const Duration lease = settings_.workers.lease;
  const Duration ordinary =
      scaled(lease, (silent >= kManySilent ? kManySilentLeases : kSilentLeases));
  if (!holds_replica(machine_id)) return ordinary;
  // Its replicas are down from the end of the worker's lease on, whatever became of the machine: to
  // wait for longer only keeps them from running elsewhere.
  const Duration silent_before = scaled(settings_.workers.heartbeat, kSilentHeartbeats);
  return std::min(ordinary, std::max(Duration{0}, lease - silent_before) + kLeaseMargin);
}

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
void Autoscaler::retry_due_machines() {
  const auto& records = cache_.records();
  const SteadyTime now = clock_.steady();
  const WallTime wall = clock_.wall();
  const auto silent = static_cast<std::size_t>(std::count_if(
      records.machines.begin(), records.machines.end(),
      [](const auto& entry) { return entry.second.record.state == MachineState::silent; }));
  const auto failed_jobs = failed_jobs_of_suspects(records);
  for (const auto& [machine_id, stored] : records.machines) {
    const MachineRecord& m = stored.record;
    const bool listed = last_seen_.contains(machine_id);
    const bool placed = records.placed.contains(machine_id);
    switch (m.state) {
      case MachineState::silent: {
        // Deleted through the cloud when its worker's lease must be over anyhow, and at once when
        // the cloud has stopped listing it: only the deletion proves that its tasks are gone.
        const auto entry = listed_.find(machine_id);
        const bool failed =
            entry != listed_.end() && entry->second.machine.status == ProvisioningStatus::failed;
        const bool taken = failed || (!listed && last_list_ > charge_since_);
        if (taken || wall - m.since > patience_with_silent(machine_id, silent))
          request_deletion(machine_id, "silent");
        break;
      }
      case MachineState::suspect:
        judge_suspect(m, failed_jobs.at(machine_id));
        break;
      case MachineState::quarantined:
      case MachineState::draining:
        if (!placed) request_deletion(machine_id, "drained");
        break;
      case MachineState::up: {
        // Only its record is left, as a late commit may bring it back: its holder knows no such
        // worker and can't call it silent. A list describes a moment at most twice the lag ago.
        const Duration known_for = wall - m.since - (now - last_list_) - settings_.list_lag * 2;
        if (!listed && last_list_ > charge_since_ && known_for > kUnlistedGracePeriod) {
          request_deletion(machine_id, "up, but not listed");
          break;
        }
        const bool idle = !placed && !in_use_.contains(machine_id);
        if (!idle) {
          idle_since_.erase(machine_id);
          break;
        }
        idle_since_.try_emplace(machine_id, now);
        break;
      }
      case MachineState::deleting:
      case MachineState::gone:
        break;
    }
  }
  return_idle();
  for (const Booting& b : booting()) {
    for (const auto& [name, provisioning_request] : records.provisioning_requests) {
      const auto& machine_ids = provisioning_request.record.machine_ids;
      if (std::find(machine_ids.begin(), machine_ids.end(), b.machine_id) == machine_ids.end())
        continue;
      if (wall - provisioning_request.record.asked >
          scaled(boot_time(provisioning_request.record.machine_type), kBootTimeout)) {
        request_deletion(b.machine_id, "never came up");
      }
    }
  }
  for (const auto& [machine_id, entry] : listed_) {
    if (records.machines.contains(machine_id)) continue;
    if (entry.machine.status == ProvisioningStatus::failed) request_deletion(machine_id, "failed");
    // One that nobody expected, and that never reports: it costs money.
    if (entry.machine.age >
        scaled(scaled(boot_time(entry.machine.machine_type), kBootTimeout), 1.5)) {
      request_deletion(machine_id, "listed, but does not report");
    }
  }
}

void Autoscaler::retry_due_deletions() {
  if (deleting_ || !election_.is_established_leader()) return;
  std::vector<MachineId> machine_ids;
  for (const auto& [machine_id, stored] : cache_.records().machines) {
    if (stored.record.state == MachineState::deleting && machine_ids.size() < kMaxDeleted) {
      machine_ids.push_back(machine_id);
    }
  }
  if (machine_ids.empty()) return;
  deleting_ = true;
  cloud_.delete_machines(machine_ids, [this, machine_ids](DeletionOutcome outcome) {
    deleting_ = false;
    if (outcome != DeletionOutcome::deleted || !election_.is_established_leader()) return;
    // The answer is the proof that the machines and all their tasks are gone.
    const WallTime now = clock_.wall();
    for (const MachineId& machine_id : machine_ids) {
      const auto it = cache_.records().machines.find(machine_id);
      if (it == cache_.records().machines.end()) continue;
      machines_.edit(machine_id, it->second.record.zone, [now](MachineRecord& known) {
        if (known.state != MachineState::deleting) return MachineWriter::EditAction::none;
        known.state = MachineState::gone;
        known.since = now;
        return MachineWriter::EditAction::put;
      });
    }
    machines_.flush();
  });
}

void Autoscaler::delete_unrecorded() {
  // While the state service does not answer, `deleting` can't be committed, and a cancelled task on
  // a machine that hangs would be there for longer than allowed. Its holder has the machine deleted
  // all the same: that can cost work, but breaks no rule. It is no proof. Once the state service is
  // back the leader records it in the ordinary way: `deleting` is committed and asked for again
  // (the cloud ignores names that it does not know), then `gone`.
  if (clock_.steady() - cache_.fresh_until() < kStateSilence) {
    deleted_unrecorded_.clear();
    return;
  }
  if (deleting_unrecorded_ || !overdue_) return;
  std::vector<MachineId> machine_ids;
  for (const MachineId& machine_id : overdue_()) {
    if (deleted_unrecorded_.contains(machine_id) || machine_ids.size() >= kMaxDeleted) continue;
    spdlog::info("fleet: {} is deleted without a record: holds a cancelled task", machine_id.get());
    machine_ids.push_back(machine_id);
  }
  if (machine_ids.empty()) return;
  deleting_unrecorded_ = true;
  cloud_.delete_machines(machine_ids, [this, machine_ids](DeletionOutcome outcome) {
    deleting_unrecorded_ = false;
    if (outcome == DeletionOutcome::deleted)
      deleted_unrecorded_.insert(machine_ids.begin(), machine_ids.end());
  });
}

void Autoscaler::forget_old() {
  const auto& records = cache_.records();
  const WallTime wall = clock_.wall();
  Txn txn;
  election_.guard(txn);
  const std::size_t most = cache_.max_operations();
  for (const auto& [machine_id, stored] : records.machines) {
    if (stored.record.state != MachineState::gone ||
        wall - stored.record.since < kTombstoneRetention) {
      continue;
    }
    if (records.placed.contains(machine_id) || last_seen_.contains(machine_id)) continue;
    machines_.edit(machine_id, stored.record.zone, [](MachineRecord& known) {
      return known.state == MachineState::gone ? MachineWriter::EditAction::erase
                                               : MachineWriter::EditAction::none;
    });
  }
  for (const auto& [name, stored] : records.provisioning_requests) {
    if (txn.deletes.size() >= most || !stored.record.answered) continue;
    // Kept while it is the only word of a machine that has not reported.
    const bool needed = std::any_of(
        stored.record.machine_ids.begin(), stored.record.machine_ids.end(),
        [&](const MachineId& machine_id) { return !records.machines.contains(machine_id); });
    const bool old = wall - stored.record.asked >
                     scaled(boot_time(stored.record.machine_type), kBootTimeout) * 4;
    if (needed && !old) continue;
    txn.guard(keys::provisioning_request(name), stored.mod_revision)
        .remove(keys::provisioning_request(name));
  }
  if (!txn.deletes.empty()) {
    cache_.commit(RequestPriority::leader_commit, std::move(txn), [](const CommitResult&) {});
  }
}

}  // namespace marblevale
