#include "fleet/fleet.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace marblevale {

namespace {

constexpr Span kTick{1000};
constexpr Span kTypesEvery{60'000};
constexpr Span kFirstRefusal{8'000};
constexpr Span kMostRefusal{40'000};
// Longer than any list lags, and than copies of a machine's reports come late.
constexpr Span kTombstone{180'000};
// How long a silent machine is waited for, in leases. Many that fall silent together have more
// often hung, or are cut off, than died (which the cloud's lists would tell): they are waited for
// longer, since as many would have to be rented and booted again.
constexpr double kSilentLeases = 0.8;
constexpr double kManySilentLeases = 1.2;
constexpr std::size_t kManySilent = 10;
constexpr double kNeverUp = 3.0;           // boot times after which a machine is given up
constexpr std::size_t kMostDeleted = 100;  // by one request, as the protocol has it
constexpr double kListShare =
    0.3;  // of the cloud's calls: renting and deleting must not wait for lists
constexpr std::uint32_t kMostHired = 50;  // by one request, as the protocol has it
constexpr double kSpareShare = 0.2;       // of the machines that are up: idle ones worth keeping
constexpr double kSurplusPatience = 0.4;  // of the idle time, for those beyond the spare ones
constexpr Span kProvenRun{4'000};         // a task that ran this long elsewhere is not at fault
constexpr Span kSuspicion{45'000};
constexpr Span kUnlisted{5'000};      // more than clocks differ
constexpr Span kStateSilence{2'500};  // without an answer: the state service is out

}  // namespace

Fleet::Fleet(Loop& loop, const Clock& clock, const Settings& settings, Mirror& mirror,
             Election& election, Cloud& cloud)
    : meter_(loop.meter()),
      clock_(clock),
      settings_(settings),
      mirror_(mirror),
      election_(election),
      cloud_(cloud),
      random_(election.nonce().get()),
      machines_(mirror, Rank::granting,
                [this](Txn& txn, const ZoneId&) {
                  if (!election_.in_charge()) return false;
                  election_.guard(txn);
                  return true;
                }),
      tick_timer_(loop, [this] { tick(); }) {}

void Fleet::begin() { tick_timer_.start({50}); }

Span Fleet::boot_time(const std::string& build) const {
  const MachineType* type = mirror_.records().type(build);
  return type == nullptr ? Span{60'000} : type->boot;
}

bool Fleet::available(const Offer& offer) const {
  const auto it = refused_.find(offer);
  return it == refused_.end() || it->second.until <= clock_.steady();
}

std::vector<Booting> Fleet::booting() const {
  std::vector<Booting> out;
  const auto& records = mirror_.records();
  const Wall now = clock_.wall();
  for (const auto& [name, hire] : records.hires) {
    for (const HostId& host : hire.record.hosts) {
      if (records.machines.contains(host)) continue;
      const Span boot = boot_time(hire.record.build);
      // One that is late is expected soon, until it is given up.
      const Wall likely = std::max(hire.record.asked + boot * 1.1, now + Span{5'000});
      out.push_back({host, hire.record.build, hire.record.zone, hire.record.spot, likely});
    }
  }
  return out;
}

void Fleet::plan(std::vector<Wanting> wanting, std::map<TeamId, Room> team_room,
                 std::set<HostId> in_use) {
  // The jobs are copied: the records may change before the next tick.
  wanting_jobs_.clear();
  wanting_ = std::move(wanting);
  for (Wanting& w : wanting_) {
    w.job = &wanting_jobs_.emplace(w.job->uid.get(), *w.job).first->second;
  }
  team_room_ = std::move(team_room);
  in_use_ = std::move(in_use);
}

void Fleet::tick() {
  tick_timer_.start(kTick);
  delete_unrecorded();
  if (!election_.in_charge()) {
    term_ = Stamp{};
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
    wanting_.clear();
  }
  const auto timed = meter_.time(Duty::fleet);
  refresh_types();
  refresh_list();
  pursue_hires();
  pursue_machines();
  pursue_deletions();
  rent();
  forget_old();
  machines_.flush();
}

void Fleet::refresh_types() {
  const Steady now = clock_.steady();
  if (types_asked_ || (mirror_.records().types && now - types_at_ < kTypesEvery)) return;
  types_asked_ = true;
  cloud_.types([this](std::optional<std::vector<MachineType>> types) {
    types_asked_ = false;
    if (!types || !election_.in_charge()) return;
    types_at_ = clock_.steady();
    const auto& known = mirror_.records().types;
    const std::string value = encode(*types);
    if (known && encode(known->record) == value) return;
    Txn txn;
    election_.guard(txn);
    // By its own stamp as well: a late one must not bring back earlier prices.
    txn.guard(keys::kTypes, known ? known->stamp : Stamp{}).put(keys::kTypes, value);
    mirror_.commit(Rank::granting, std::move(txn), [](const CommitResult&) {});
  });
}

void Fleet::refresh_list() {
  const Steady now = clock_.steady();
  // A list of a large fleet takes several calls: the more pages it had, the rarer it is read.
  const Span every = std::max({Span{2000}, settings_.list_lag * 0.5,
                               from_seconds(list_pages_ / (settings_.cloud_rps * kListShare))});
  if (listing_ || now - list_at_ < every) return;
  listing_ = true;
  list_at_ = now;
  cloud_.list({}, [this, now](std::optional<MachineList> page) {
    if (!page) {
      listing_ = false;
      return;
    }
    take_list(*page, now, {}, 1);
  });
}

void Fleet::take_list(const MachineList& page, Steady sent, std::set<HostId> seen, int pages) {
  for (const ListedMachine& m : page.machines) {
    listed_[m.host] = {m, clock_.steady()};
    seen.insert(m.host);
  }
  if (page.has_next && !page.machines.empty()) {
    cloud_.list(page.machines.back().host,
                [this, sent, seen = std::move(seen), pages](std::optional<MachineList> next) {
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
  std::vector<HostId> vanished;
  for (const auto& [host, entry] : listed_) {
    if (!last_seen_.contains(host) && sent - settings_.list_lag * 2.0 > entry.seen) {
      vanished.push_back(host);
    }
  }
  for (const HostId& host : vanished) {
    listed_.erase(host);
    if (mirror_.records().machines.contains(host)) condemn(host, "no longer listed");
  }
}

void Fleet::ask(const HireRecord& hire, Stamp stamp) {
  asking_.insert(hire.name);
  cloud_.hire(
      hire.name, hire.build, hire.zone, hire.spot, hire.how_many,
      [this, hire, stamp](HireFate fate, std::vector<HostId> hosts) {
        const Offer offer{hire.build, hire.zone, hire.spot};
        if (fate == HireFate::trouble) {
          // Unknown: the same name is asked again at a later tick.
          asking_.erase(hire.name);
          return;
        }
        spdlog::info("fleet: {} asked {} {} in {} ({}), got {}", hire.name, hire.how_many,
                     hire.build, hire.zone.get(), hire.spot ? "spot" : "ordinary", hosts.size());
        if (hosts.size() < hire.how_many) {
          auto [it, fresh] =
              refused_.try_emplace(offer, Refusal{{}, Backoff(kFirstRefusal, kMostRefusal)});
          it->second.until = clock_.steady() + it->second.backoff.next(random_);
        } else {
          refused_.erase(offer);
        }
        Txn txn;
        election_.guard(txn);
        txn.guard(keys::hire(hire.name), stamp);
        if (hosts.empty()) {
          txn.remove(keys::hire(hire.name));
        } else {
          HireRecord answered = hire;
          answered.answered = true;
          answered.hosts = std::move(hosts);
          txn.put(keys::hire(hire.name), encode(answered));
        }
        mirror_.commit(Rank::granting, std::move(txn),
                       [this, name = hire.name](const CommitResult&) { asking_.erase(name); });
      });
}

void Fleet::pursue_hires() {
  for (const auto& [name, hire] : mirror_.records().hires) {
    if (!hire.record.answered && !asking_.contains(name)) ask(hire.record, hire.stamp);
  }
}

void Fleet::rent() {
  const auto& records = mirror_.records();
  if (wanting_.empty() || !records.types) return;
  // One wave of requests at a time: the next is planned with the answers.
  for (const auto& [name, hire] : records.hires) {
    if (!hire.record.answered) return;
  }
  std::map<ZoneId, std::uint32_t> in_zone;
  for (const auto& [host, machine] : records.machines) {
    if (machine.record.state != MachineState::gone) ++in_zone[machine.record.zone];
  }
  const auto wanted = machines_for(
      wanting_, records.types->record, [this](const Offer& o) { return available(o); }, in_zone,
      team_room_);
  wanting_.clear();
  std::vector<std::pair<Offer, std::uint32_t>> requests;
  for (const auto& [offer, count] : wanted) {
    for (std::uint32_t left = count; left > 0; left -= std::min(left, kMostHired)) {
      requests.emplace_back(offer, std::min(left, kMostHired));
    }
  }
  for (const auto& [offer, count] : requests) {
    HireRecord hire;
    hire.name = "h-" + std::to_string(election_.term().get()) + "-" + std::to_string(++serial_);
    hire.build = offer.build;
    hire.zone = offer.zone;
    hire.spot = offer.spot;
    hire.how_many = count;
    hire.asked = clock_.wall();
    Txn txn;
    election_.guard(txn);
    txn.guard(keys::hire(hire.name), Stamp{}).put(keys::hire(hire.name), encode(hire));
    asking_.insert(hire.name);
    mirror_.commit(Rank::granting, std::move(txn), [this, hire](const CommitResult& r) {
      asking_.erase(hire.name);
      // An unknown outcome shows in the mirror, if it happened, and is pursued from there.
      if (r.fate == Fate::done) ask(hire, Stamp(r.revision.get()));
    });
  }
}

void Fleet::condemn(const HostId& host, const char* why) {
  const auto& machines = mirror_.records().machines;
  const auto it = machines.find(host);
  if (machines_.waits(host)) return;
  MachineRecord record;
  if (it != machines.end()) {
    if (it->second.record.state >= MachineState::deleting) return;
    record = it->second.record;
  } else if (const auto listed = listed_.find(host); listed != listed_.end()) {
    record.host = host;
    record.address = listed->second.machine.address;
    record.build = listed->second.machine.build;
    record.zone = listed->second.machine.district;
    record.spot = listed->second.machine.spot;
  } else {
    record.host = host;
    if (const auto placed = mirror_.records().placed.find(host);
        placed != mirror_.records().placed.end()) {
      const TaskRecord* task = mirror_.records().task(placed->second.begin()->first);
      if (task != nullptr) record.zone = task->zone;
    }
    for (const auto& [name, hire] : mirror_.records().hires) {
      const auto& hosts = hire.record.hosts;
      if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) continue;
      record.build = hire.record.build;
      record.zone = hire.record.zone;
      record.spot = hire.record.spot;
    }
  }
  const Wall now = clock_.wall();
  machines_.edit(
      host, record.zone,
      [record, now](MachineRecord& known) {
        if (known.state >= MachineState::deleting) return MachineWriter::Outcome::none;
        if (known.host == HostId{}) known = record;
        known.state = MachineState::deleting;
        known.since = now;
        return MachineWriter::Outcome::put;
      },
      [this, host, why] {
        spdlog::info("fleet: {} is to be deleted: {}", host.get(), why);
        pursue_deletions();
      });
}

void Fleet::judge_suspect(const MachineRecord& machine) {
  if (machines_.waits(machine.host)) return;
  const auto& records = mirror_.records();
  const Wall now = clock_.wall();
  bool failed_elsewhere = false;
  bool ran_elsewhere = false;
  for (auto it = records.slices.lower_bound({machine.blamed, 0});
       it != records.slices.end() && it->first.first == machine.blamed; ++it) {
    for (const TaskRecord& task : it->second.record.tasks) {
      // Failing again on this machine, or beside it, says nothing for the machine.
      failed_elsewhere = failed_elsewhere || (task.faults > 0 && task.failed_on != machine.host);
      const bool lasted = task.running > machine.since && now - task.running > kProvenRun;
      ran_elsewhere = ran_elsewhere || (task.faults > 0 && task.host != machine.host && lasted) ||
                      (task.faults > 0 && task.state == TaskState::done);
    }
  }
  MachineRecord verdict = machine;
  if (ran_elsewhere) {
    verdict.state = MachineState::quarantined;
  } else if (failed_elsewhere || now - machine.since > kSuspicion) {
    verdict.state = MachineState::up;
  } else {
    return;
  }
  spdlog::info("fleet: suspect {} is {}", machine.host.get(), name_of(verdict.state));
  machines_.edit(machine.host, machine.zone, [state = verdict.state, now](MachineRecord& known) {
    if (known.state != MachineState::suspect) return MachineWriter::Outcome::none;
    known.state = state;
    known.since = now;
    known.blamed = Uid{};
    return MachineWriter::Outcome::put;
  });
}

void Fleet::return_idle() {
  // A few idle machines are the room in which the next jobs start at once; what is idle beyond them
  // goes back soon.
  const auto& machines = mirror_.records().machines;
  std::erase_if(idle_since_, [&](const auto& entry) {
    const auto it = machines.find(entry.first);
    return it == machines.end() || it->second.record.state != MachineState::up;
  });
  const auto up =
      static_cast<double>(std::count_if(machines.begin(), machines.end(), [](const auto& entry) {
        return entry.second.record.state == MachineState::up;
      }));
  const auto spare = static_cast<std::size_t>(std::ceil(up * kSpareShare));
  std::vector<std::pair<Steady, HostId>> idle;
  for (const auto& [host, since] : idle_since_) idle.emplace_back(since, host);
  std::sort(idle.begin(), idle.end());
  const Steady now = clock_.steady();
  std::size_t left = idle.size();
  for (const auto& [since, host] : idle) {
    const Span most = left > spare ? settings_.tuning.idle_return * kSurplusPatience
                                   : settings_.tuning.idle_return;
    if (now - since <= most) continue;
    condemn(host, "idle");
    --left;
  }
}

void Fleet::pursue_machines() {
  const auto& records = mirror_.records();
  const Steady now = clock_.steady();
  const Wall wall = clock_.wall();
  const auto silent = static_cast<std::size_t>(std::count_if(
      records.machines.begin(), records.machines.end(),
      [](const auto& entry) { return entry.second.record.state == MachineState::silent; }));
  const Span patience =
      settings_.workers.lease * (silent >= kManySilent ? kManySilentLeases : kSilentLeases);
  for (const auto& [host, stored] : records.machines) {
    const MachineRecord& m = stored.record;
    const bool listed = last_seen_.contains(host);
    const bool placed = records.placed.contains(host);
    switch (m.state) {
      case MachineState::silent: {
        // Deleted through the cloud when its worker's lease must be over anyhow, and at once when
        // the cloud has stopped listing it: only the deletion proves that its tasks are gone.
        const auto entry = listed_.find(host);
        const bool failed =
            entry != listed_.end() && entry->second.machine.status == RentalStatus::failed;
        const bool taken = failed || (!listed && last_list_ > charge_since_);
        if (taken || wall - m.since > patience) condemn(host, "silent");
        break;
      }
      case MachineState::suspect:
        judge_suspect(m);
        break;
      case MachineState::quarantined:
      case MachineState::draining:
        if (!placed) condemn(host, "drained");
        break;
      case MachineState::up: {
        // Only its record is left, as a late commit may bring it back: its holder knows no such
        // worker and can't call it silent. A list describes a moment at most twice the lag ago.
        const Span known_for = wall - m.since - (now - last_list_) - settings_.list_lag * 2.0;
        if (!listed && last_list_ > charge_since_ && known_for > kUnlisted) {
          condemn(host, "up, but not listed");
          break;
        }
        const bool idle = !placed && !in_use_.contains(host);
        if (!idle) {
          idle_since_.erase(host);
          break;
        }
        idle_since_.try_emplace(host, now);
        break;
      }
      case MachineState::deleting:
      case MachineState::gone:
        break;
    }
  }
  return_idle();
  for (const Booting& b : booting()) {
    for (const auto& [name, hire] : records.hires) {
      const auto& hosts = hire.record.hosts;
      if (std::find(hosts.begin(), hosts.end(), b.host) == hosts.end()) continue;
      if (wall - hire.record.asked > boot_time(hire.record.build) * kNeverUp) {
        condemn(b.host, "never came up");
      }
    }
  }
  for (const auto& [host, entry] : listed_) {
    if (records.machines.contains(host)) continue;
    if (entry.machine.status == RentalStatus::failed) condemn(host, "failed");
    // One that nobody expected, and that never reports: it costs money.
    if (entry.machine.age > boot_time(entry.machine.build) * kNeverUp * 1.5) {
      condemn(host, "listed, but does not report");
    }
  }
}

void Fleet::pursue_deletions() {
  if (deleting_ || !election_.in_charge()) return;
  std::vector<HostId> hosts;
  for (const auto& [host, stored] : mirror_.records().machines) {
    if (stored.record.state == MachineState::deleting && hosts.size() < kMostDeleted) {
      hosts.push_back(host);
    }
  }
  if (hosts.empty()) return;
  deleting_ = true;
  cloud_.remove(hosts, [this, hosts](bool removed) {
    deleting_ = false;
    if (!removed || !election_.in_charge()) return;
    // The answer is the proof that the machines and all their tasks are gone.
    const Wall now = clock_.wall();
    for (const HostId& host : hosts) {
      const auto it = mirror_.records().machines.find(host);
      if (it == mirror_.records().machines.end()) continue;
      machines_.edit(host, it->second.record.zone, [now](MachineRecord& known) {
        if (known.state != MachineState::deleting) return MachineWriter::Outcome::none;
        known.state = MachineState::gone;
        known.since = now;
        return MachineWriter::Outcome::put;
      });
    }
    machines_.flush();
  });
}

void Fleet::delete_unrecorded() {
  // While the state service does not answer, `deleting` can't be committed, and a cancelled task on
  // a machine that hangs would be there for longer than allowed. Its holder has the machine deleted
  // all the same: that can cost work, but breaks no rule. It is no proof. Once the state service is
  // back the leader records it in the ordinary way: `deleting` is committed and asked for again
  // (the cloud ignores names that it does not know), then `gone`.
  if (clock_.steady() - mirror_.fresh_until() < kStateSilence) {
    deleted_unrecorded_.clear();
    return;
  }
  if (deleting_unrecorded_ || !overdue_) return;
  std::vector<HostId> hosts;
  for (const HostId& host : overdue_()) {
    if (deleted_unrecorded_.contains(host) || hosts.size() >= kMostDeleted) continue;
    spdlog::info("fleet: {} is deleted without a record: holds a cancelled task", host.get());
    hosts.push_back(host);
  }
  if (hosts.empty()) return;
  deleting_unrecorded_ = true;
  cloud_.remove(hosts, [this, hosts](bool removed) {
    deleting_unrecorded_ = false;
    if (removed) deleted_unrecorded_.insert(hosts.begin(), hosts.end());
  });
}

void Fleet::forget_old() {
  const auto& records = mirror_.records();
  const Wall wall = clock_.wall();
  Txn txn;
  election_.guard(txn);
  const std::size_t most = settings_.store.txn_ops;
  for (const auto& [host, stored] : records.machines) {
    if (stored.record.state != MachineState::gone || wall - stored.record.since < kTombstone) {
      continue;
    }
    if (records.placed.contains(host) || last_seen_.contains(host)) continue;
    machines_.edit(host, stored.record.zone, [](MachineRecord& known) {
      return known.state == MachineState::gone ? MachineWriter::Outcome::erase
                                               : MachineWriter::Outcome::none;
    });
  }
  for (const auto& [name, stored] : records.hires) {
    if (txn.deletes.size() >= most || !stored.record.answered) continue;
    // Kept while it is the only word of a machine that has not reported.
    const bool needed =
        std::any_of(stored.record.hosts.begin(), stored.record.hosts.end(),
                    [&](const HostId& host) { return !records.machines.contains(host); });
    const bool old = wall - stored.record.asked > boot_time(stored.record.build) * kNeverUp * 4.0;
    if (needed && !old) continue;
    txn.guard(keys::hire(name), stored.stamp).remove(keys::hire(name));
  }
  if (!txn.deletes.empty()) {
    mirror_.commit(Rank::granting, std::move(txn), [](const CommitResult&) {});
  }
}

}  // namespace marblevale
