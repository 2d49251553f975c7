#include "blocks/holder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {

constexpr Span kCoalesce{2};
constexpr Span kSweep{500};
constexpr Span kKillEvery{1500};
constexpr Span kRenewEvery{8'000};
constexpr Span kCancelMargin{4'000};
constexpr double kOverdue = 0.5;  // of `cancel_s`: later than deletion in the ordinary way
constexpr Span kBlind{2'500};     // without word of cancellations: nothing is started
constexpr Span kStrayWindow{20'000};
constexpr Span kStrayTime{6'000};
constexpr Span kStrayRecent{5'000};
constexpr std::size_t kMostOrders = 60;  // in one answer, so that it stays far below 64 KiB
constexpr std::size_t kMostWoken = 64;   // machines that get orders in one round
constexpr Span kPause{3'000};            // between two sweeps: this process stood still
constexpr Span kOfferLife{2'500};
constexpr std::size_t kMostOffers = 200;
constexpr double kMuchSlack = 0.5;  // of the budget for writes
constexpr Span kGatherBriefly{30};  // changes of machines that come together, with budget to spare
constexpr Span kGather{1'000};      // and without
// Changes of a slice that can wait for others of its slice when there is no budget to spare.
constexpr Span kEndsWait{8'000};
constexpr Span kRunningWait{60'000};

}  // namespace

Holder::Holder(Loop& loop, const Clock& clock, const Settings& settings, Mirror& mirror,
               Election& election, OrderSender& orders, Cancellations& cancellations)
    : meter_(loop.meter()),
      clock_(clock),
      settings_(settings),
      mirror_(mirror),
      election_(election),
      orders_(orders),
      cancellations_(cancellations),
      machines_(mirror, Rank::binding,
                [this](Txn& txn, const ZoneId& zone) {
                  if (holding(zone) != Holding::held) return false;
                  txn.guard(keys::block(zone), Stamp(warrant_of(zone).get()));
                  return true;
                }),
      flush_timer_(loop, [this] { machines_.flush(); }),
      round_timer_(loop, [this] { round(); }),
      sweep_timer_(loop, [this] { sweep(); }) {
  mirror_.listen([this](Topic topic, const std::string& key) {
    switch (topic) {
      case Topic::slice: {
        const auto slash = key.find('/');
        const Uid uid(key.substr(0, slash));
        const auto number = static_cast<std::uint32_t>(std::stoul(key.substr(slash + 1)));
        dirty_.insert({uid, number});
        if (const auto* slice = mirror_.records().slice(uid, number)) {
          for (const TaskRecord& task : slice->record.tasks) {
            if (task.placed()) wake_.insert(task.host);
          }
        }
        break;
      }
      case Topic::job:
        look_at(Uid(key));
        break;
      case Topic::machine: {
        const auto placed = mirror_.records().placed.find(HostId(key));
        if (placed == mirror_.records().placed.end()) return;
        for (const auto& [id, attempt] : placed->second) {
          dirty_.insert({id.uid, id.part / kSliceTasks});
        }
        break;
      }
      case Topic::block:
      case Topic::node:
        break;
      default:
        return;
    }
    if (!round_timer_.pending()) round_timer_.start(kCoalesce);
  });
}

void Holder::begin() {
  const WorkerTimes& times = settings_.workers;
  if (times.cancel - times.lease - kCancelMargin < times.report) {
    spdlog::warn(
        "holder: cancel_s leaves less than a report beyond lease_s: without word of the state "
        "service no report is answered for longer than {} ms",
        answer_limit().ms);
  }
  sweep_timer_.start(kSweep);
}

void Holder::look_at(const Uid& uid) {
  for (auto it = mirror_.records().slices.lower_bound({uid, 0});
       it != mirror_.records().slices.end() && it->first.first == uid; ++it) {
    dirty_.insert(it->first);
    for (const TaskRecord& task : it->second.record.tasks) {
      if (task.placed()) wake_.insert(task.host);
    }
  }
}

void Holder::cancelled(const Uid& uid) {
  look_at(uid);
  if (!round_timer_.pending()) round_timer_.start(kCoalesce);
}

Warrant Holder::warrant_of(const ZoneId& zone) const {
  const auto it = mirror_.records().blocks.find(zone);
  return it == mirror_.records().blocks.end() ? Warrant{} : Warrant(it->second.stamp.get());
}

Holder::Holding Holder::holding(const ZoneId& zone) const {
  const auto it = mirror_.records().blocks.find(zone);
  if (it == mirror_.records().blocks.end()) return Holding::none;
  const BlockRecord& block = it->second.record;
  if (block.holder != settings_.node || block.nonce != election_.nonce()) return Holding::none;
  // What the holder before us committed must be in the mirror before we act on reports.
  return mirror_.revision().get() >= it->second.stamp.get() ? Holding::held : Holding::settling;
}

void Holder::take_blocks() {
  for (const auto& [zone, stored] : mirror_.records().blocks) {
    const BlockRecord& block = stored.record;
    const bool earlier_life = block.holder == settings_.node && block.nonce != election_.nonce();
    if (earlier_life && election_.block_permit() != Permit{}) renew_warrant(zone);
    const Warrant now(stored.stamp.get());
    if (holders_[zone] != block.holder) {
      holders_[zone] = block.holder;
      strays_.erase(zone);
    }
    if (holding(zone) == Holding::none) {
      if (warrants_.erase(zone) > 0) {
        std::erase_if(workers_, [&](const auto& entry) { return entry.second.zone == zone; });
        machines_.forget(zone);
        spdlog::info("holder: block {} is held elsewhere", zone.get());
      }
    } else if (holding(zone) == Holding::held && warrants_[zone] != now) {
      const bool fresh = warrants_[zone] == Warrant{};
      warrants_[zone] = now;
      if (!fresh) continue;
      first_warrant_[zone] = now;
      // What an earlier holding wanted to say of its machines is no longer known to be so: a holder
      // that had been cut off called all of them silent, as soon as it was back.
      machines_.forget(zone);
      spdlog::info("holder: block {} is ours, warrant {}", zone.get(), now.get());
      // Workers of a holder that is gone are told at once who speaks for the block now.
      for (const auto& [host, machine] : mirror_.records().machines) {
        if (machine.record.zone != zone || machine.record.state >= MachineState::deleting) continue;
        Worker& worker = workers_[host];
        worker.zone = zone;
        may_report(host, worker, clock_.steady());
        worker.view.address = machine.record.address;
        wake_.insert(host);
      }
      for (const auto& [key, slice] : mirror_.records().slices) dirty_.insert(key);
    }
  }
}

void Holder::renew_warrant(const ZoneId& zone) {
  const std::string key = keys::block(zone);
  const auto it = mirror_.records().blocks.find(zone);
  if (it == mirror_.records().blocks.end() || taking_.contains(key)) return;
  taking_.insert(key);
  Txn txn;
  txn.guard(key, it->second.stamp);
  txn.put(key,
          encode(BlockRecord{zone, settings_.node, election_.nonce(),
                             it->second.record.generation + 1}),
          election_.block_permit());
  mirror_.commit(Rank::lease, std::move(txn), [this, key](const CommitResult&) {
    taking_.erase(key);
    if (!round_timer_.pending()) round_timer_.start(kCoalesce);
  });
}

Span Holder::silence_limit() const { return settings_.workers.report * 2.5; }

Span Holder::answer_limit() const {
  // The worker's lease runs from the sending of the last report that was answered: one that was
  // answered by then is over a margin before the task must be gone. The margin is for the drift of
  // steady clocks (0.05% of cancel_s), for clocks that are off, and for the worker's own time.
  const Span left = settings_.workers.cancel - settings_.workers.lease - kCancelMargin;
  return std::max(left, kBlind);
}

Steady Holder::fresh() const { return std::max(mirror_.fresh_until(), extended_fresh_); }

void Holder::extend_freshness(Steady until) {
  // Where there is no time for it to be of use, nobody's word is taken for the state service's.
  const WorkerTimes& times = settings_.workers;
  if (times.cancel - times.lease - kCancelMargin < times.report) return;
  extended_fresh_ = std::max(extended_fresh_, until);
}

bool Holder::keeps_cancelled(const HostId& host, const Worker& worker, Span since) const {
  // It still has a task, or may still start one, that was cancelled so long ago.
  const auto placed = mirror_.records().placed.find(host);
  if (placed == mirror_.records().placed.end()) return false;
  const Wall now = clock_.wall() + settings_.clock_error * 2.0;
  return std::any_of(placed->second.begin(), placed->second.end(), [&](const auto& entry) {
    const auto at = cancellations_.cancelled_at(entry.first.uid);
    if (!at || now - *at < since) return false;
    const TaskRecord* task = mirror_.records().task(entry.first);
    if (task == nullptr || task->state != TaskState::bound) return false;
    const Finding found = examine(entry.first, *task, worker.view, warrant_of(worker.zone));
    return found == Finding::present || found == Finding::absent;
  });
}

std::vector<HostId> Holder::overdue() const {
  std::vector<HostId> out;
  for (const auto& [host, worker] : workers_) {
    if (holding(worker.zone) != Holding::held) continue;
    if (keeps_cancelled(host, worker, settings_.workers.cancel * kOverdue)) out.push_back(host);
  }
  return out;
}

std::vector<ZoneId> Holder::complaints() {
  std::vector<ZoneId> out;
  const Steady now = clock_.steady();
  for (auto& [zone, hosts] : strays_) {
    std::size_t again = 0;
    for (auto& [host, times] : hosts) {
      std::erase_if(times, [&](Steady t) { return now - t > kStrayWindow; });
      // Sent on to the holder, and back again for longer than a holder's crash takes to be noticed.
      if (times.size() >= 2 && times.back() - times.front() >= kStrayTime &&
          now - times.back() < kStrayRecent) {
        ++again;
      }
    }
    std::erase_if(hosts, [](const auto& entry) { return entry.second.empty(); });
    if (again >= 2 && holding(zone) == Holding::none) out.push_back(zone);
  }
  return out;
}

std::set<ZoneId> Holder::dark() const {
  std::set<ZoneId> out;
  for (const auto& [zone, warrant] : warrants_) {
    if (holding(zone) == Holding::held) out.insert(zone);
  }
  const Steady now = clock_.steady();
  for (const auto& [host, worker] : workers_) {
    if (out.empty()) break;
    if (worker.hearing.introduced() && now - worker.heard < silence_limit()) {
      out.erase(worker.zone);
    }
  }
  return out;
}

HelloAnswer Holder::hello(std::string_view body) {
  const auto timed = meter_.time(Duty::report);
  const auto report = parse_report(body);
  if (!report) return {400, R"({"error":"malformed report"})"};
  const Steady now = clock_.steady();
  const auto redirect = [&]() -> HelloAnswer {
    const auto it = mirror_.records().blocks.find(report->district);
    const bool known = mirror_.ready() && it != mirror_.records().blocks.end() &&
                       it->second.record.holder != settings_.node;
    if (!known) return {421, "{}"};
    auto& seen = strays_[report->district][report->host];
    if (seen.size() >= 8) seen.erase(seen.begin());
    seen.push_back(now);
    json::Writer out;
    out.open().put("steward", it->second.record.holder.get()).close();
    return {421, out.str()};
  };
  // Without contact to the state service a cancellation may have been accepted that we can't see;
  // answering would keep the worker's lease, and the cancelled task, alive for too long.
  const bool current = mirror_.ready() && now - fresh() < answer_limit();
  if (!current || holding(report->district) != Holding::held) return redirect();
  take_blocks();
  const Warrant warrant = warrant_of(report->district);
  if (report->warrant > warrant) return {421, "{}"};  // another holds the block by now

  const auto [entry, unheard_of] = workers_.try_emplace(report->host);
  Worker& worker = entry->second;
  if (unheard_of) worker.heard = now;
  worker.zone = report->district;
  // A copy of an old report may come as late as it likes: what is not newer than what is known of
  // the worker changes nothing. A holder that has just begun knows nothing yet; then only a report
  // that has seen a warrant of ours shows that it was sent since. (Warrants are renewed while a
  // block is held: the first of them counts.)
  const bool newer = absorb(worker, *report);
  // A lease renewed now would outlast `cancel_s`. Neither the state service nor the cloud is needed
  // to end the task: its machine's lease is left to lapse, whatever else runs there.
  const bool refused = keeps_cancelled(report->host, worker, answer_limit());
  if (refused && !worker.refused) {
    spdlog::warn("holder: {} gets no answers: it still has a cancelled task", report->host.get());
    meter_.count("leases left to lapse");
  }
  worker.refused = refused;
  // Not sent on to anybody who would answer.
  if (refused) return {503, R"({"error":"its lease must lapse"})"};
  if (!newer) return {200, write_answer(warrant, {})};
  if (report->warrant >= first_warrant_[report->district]) {
    worker.hearing.answered(now, settings_.workers.lease);
    worker.heard = now;
    worker.hearing.heard(warrant);
    note_machine(*report, worker);
  } else if (!worker.hearing.introduced_under(warrant)) {
    wake_.insert(report->host);  // the introduction tells whether it hears
    if (!round_timer_.pending()) round_timer_.start(kCoalesce);
  }
  auto orders = orders_for(report->host, worker, true);
  for (const Order& order : orders) {
    if (order.verb == Verb::start) {
      worker.view.answered_starts[{order.id, order.attempt}] = report->tally;
      worker.hearing.start_sent(order.id, order.attempt, now, true);
    }
  }
  return {200, write_answer(warrant, orders)};
}

bool Holder::absorb(Worker& worker, const Report& report, WorkerView::Source source) {
  const Tenure before = worker.view.tenure;
  if (!worker.view.take(report, source)) return false;
  if (report.tenure > before &&
      worker.hearing.session_changed(clock_.steady(), settings_.workers.lease) &&
      before != Tenure{}) {
    mark_deaf(report.host, worker, "its lease lapsed though it was answered");
  }
  worker.view.prune();
  worker.recall.reset();
  if (report.recall) worker.recall = clock_.wall() + *report.recall;
  bool news = false;
  for (const auto& [key, task] : worker.view.tasks) {
    const TaskRecord* record = mirror_.records().task(key.first);
    if (record == nullptr || record->state != TaskState::bound || record->attempt != key.second ||
        record->host != report.host) {
      continue;
    }
    const bool started = task.status == TaskStatus::running && record->running.ms == 0;
    if (task.status == TaskStatus::ended || started) {
      dirty_.insert({key.first.uid, key.first.part / kSliceTasks});
      news = true;
    }
  }
  // Bound tasks that the report lacks are looked at as well.
  const auto placed = mirror_.records().placed.find(report.host);
  if (placed != mirror_.records().placed.end()) {
    for (const auto& [id, attempt] : placed->second) {
      if (reported(worker.view, id, attempt) != nullptr) continue;
      dirty_.insert({id.uid, id.part / kSliceTasks});
      news = true;
    }
  }
  if (news && !round_timer_.pending()) round_timer_.start(kCoalesce);
  return true;
}

void Holder::mark_deaf(const HostId& host, Worker& worker, const char* why) {
  if (!worker.hearing.deaf()) spdlog::info("holder: {} does not hear: {}", host.get(), why);
  worker.hearing.mark_deaf();
}

void Holder::may_report(const HostId& host, Worker& worker, Steady now) const {
  // One that an earlier holder found silent has to report first.
  const auto machine = mirror_.records().machines.find(host);
  if (machine != mirror_.records().machines.end() &&
      machine->second.record.state == MachineState::silent) {
    return;
  }
  worker.heard = now;
}

void Holder::look_for_mute(const HostId& host, Worker& worker) {
  // It may reach no controller and hear orders all the same. What becomes of its tasks, and that
  // its lease has lapsed, is then told by its answers only.
  worker.hearing.inspect(silent(host) && mirror_.records().placed.contains(host));
  if (worker.hearing.introduction_due(clock_.steady())) wake_.insert(host);
}

void Holder::look_for_deaf(const HostId& host, Worker& worker) {
  const Steady now = clock_.steady();
  const Span report = settings_.workers.report;
  if (now - worker.heard < report * 2.0 && worker.hearing.misses_starts(worker.view, now, report)) {
    mark_deaf(host, worker, "its starts do not show");
  }
  worker.hearing.forget([&](const auto& start) {
    const TaskRecord* task = mirror_.records().task(start.first);
    return task == nullptr || task->state != TaskState::bound || task->host != host ||
           task->attempt != start.second || worker.view.tasks.contains(start);
  });
  if (worker.hearing.deaf()) put_machine(host, MachineState::silent, "reports, but does not hear");
}

void Holder::note_machine(const Report& report, Worker& worker) {
  const auto it = mirror_.records().machines.find(report.host);
  if (it == mirror_.records().machines.end()) {
    if (machines_.waits(report.host)) return;
    MachineRecord record;
    record.host = report.host;
    record.address = report.address;
    record.build = report.build;
    record.zone = report.district;
    record.spot = report.loaners;
    record.since = clock_.wall();
    record.recall = worker.recall;
    if (worker.recall) record.state = MachineState::draining;
    machines_.edit(report.host, report.district, [record](MachineRecord& now) {
      if (now.host != HostId{}) return MachineWriter::Outcome::none;  // it is known by now
      now = record;
      return MachineWriter::Outcome::put;
    });
    flush_soon();
    return;
  }
  const MachineRecord& record = it->second.record;
  if (worker.recall && (record.state == MachineState::up || record.state == MachineState::silent)) {
    put_machine(report.host, MachineState::draining, "the cloud takes it back");
  } else if (record.state == MachineState::silent && !silent(report.host)) {
    put_machine(report.host, MachineState::up, "reports again");
  }
}

void Holder::flush_soon() {
  // Machines come up in crowds: those of one page are written together.
  if (!flush_timer_.pending()) {
    flush_timer_.start(mirror_.write_slack() > kMuchSlack ? kGatherBriefly : kGather);
  }
}

void Holder::put_machine(const HostId& host, MachineState state, const char* why, Uid blamed) {
  const auto it = mirror_.records().machines.find(host);
  if (it == mirror_.records().machines.end() || it->second.record.state == state ||
      it->second.record.state >= MachineState::deleting || machines_.waits(host)) {
    return;
  }
  const auto worker = workers_.find(host);
  const auto recall = worker == workers_.end() ? std::nullopt : worker->second.recall;
  const Wall now = clock_.wall();
  machines_.edit(
      host, it->second.record.zone,
      [this, host, state, blamed = std::move(blamed), recall, now](MachineRecord& record) {
        if (record.host == HostId{} || record.state == state ||
            record.state >= MachineState::deleting) {
          return MachineWriter::Outcome::none;
        }
        // Decided some time ago, perhaps: it has been heard of since.
        if (state == MachineState::silent && !silent(host)) return MachineWriter::Outcome::none;
        record.state = state;
        record.since = now;
        record.blamed = blamed;
        if (recall) record.recall = recall;
        return MachineWriter::Outcome::put;
      },
      // Told once it is so: a holder that is cut off tries this at every sweep.
      [host, state, why] {
        spdlog::info("holder: {} is {}: {}", host.get(), name_of(state), why);
      });
  flush_soon();
}

bool Holder::silent(const HostId& host) const {
  const auto worker = workers_.find(host);
  if (worker == workers_.end()) return false;
  return worker->second.hearing.deaf() || clock_.steady() - worker->second.heard >= silence_limit();
}

void Holder::keep_images() {
  // Only quality depends on them: written while there is budget to spare.
  for (auto& [host, worker] : workers_) {
    if (mirror_.write_slack() < kMuchSlack) return;
    if (!worker.images_changed || machines_.waits(host)) continue;
    if (holding(worker.zone) != Holding::held) continue;
    worker.images_changed = false;
    machines_.edit(host, worker.zone, [images = worker.images](MachineRecord& record) {
      if (record.host == HostId{} || record.state >= MachineState::deleting) {
        return MachineWriter::Outcome::none;
      }
      record.images = images;
      return MachineWriter::Outcome::put;
    });
    flush_soon();
  }
}

void Holder::round() {
  if (!mirror_.ready()) return;
  const auto timed = meter_.time(Duty::holder);
  take_blocks();
  if (warrants_.empty()) {
    // Nothing here is ours to decide; a block that comes brings all its slices.
    dirty_.clear();
    wake_.clear();
    offers_.clear();
    return;
  }
  retry_offers();
  const Steady until = clock_.steady() + settings_.tuning.round_budget;
  // Slices are taken one by one; what the budget leaves stays in the set for the next round.
  // What a decision adds to the set waits for the next round, too: a commit that is refused at once
  // must not be tried again and again within one round.
  std::set<SliceKey> batch;
  batch.swap(dirty_);
  while (!batch.empty() && clock_.steady() <= until) {
    const SliceKey key = *batch.begin();
    batch.erase(batch.begin());
    // A slice whose commit is on its way comes back with the commit's answer.
    if (!committing_.contains(key)) decide_slice(key);
  }
  const bool more = !batch.empty();
  dirty_.merge(batch);
  give_orders();
  if ((more || !wake_.empty()) && !round_timer_.pending()) round_timer_.start(kCoalesce);
}

void Holder::give_orders() {
  // A block that comes brings hundreds of machines that must be told at once: first those with
  // work, and not all in one round, or everything else would wait for their connections.
  std::set<HostId> wake;
  wake.swap(wake_);
  const auto& placed = mirror_.records().placed;
  std::size_t left = kMostWoken;
  for (const bool working : {true, false}) {
    for (const HostId& host : wake) {
      if (placed.contains(host) != working) continue;
      if (left == 0) {
        wake_.insert(host);
        continue;
      }
      if (direct(host)) --left;
    }
  }
}

bool Holder::takes(const HostId& host, const JobSpec& job,
                   const std::unordered_map<HostId, Room>& promised) const {
  const auto& records = mirror_.records();
  const auto machine = records.machines.find(host);
  const auto worker = workers_.find(host);
  if (machine == records.machines.end() || worker == workers_.end()) return false;
  if (machine->second.record.state != MachineState::up || worker->second.recall) return false;
  // Nothing is bound to a machine that has not shown, under this warrant, that it hears us, nor to
  // one that does not report: its lease lapses.
  if (worker->second.view.tenure == Tenure{} || silent(host) ||
      !worker->second.hearing.introduced()) {
    return false;
  }
  const MachineType* type = records.type(machine->second.record.build);
  if (type == nullptr) return false;
  PlanMachine rules;
  rules.build = machine->second.record.build;
  rules.zone = machine->second.record.zone;
  rules.spot = machine->second.record.spot;
  rules.room = type->room;
  if (!Profile::allowed(job, rules)) return false;
  Room left = type->room;
  if (const auto placed = records.placed.find(host); placed != records.placed.end()) {
    for (const auto& [id, attempt] : placed->second) {
      const TaskRecord* task = records.task(id);
      const JobRecord* other = records.job(id.uid);
      if (task == nullptr || other == nullptr || task->state != TaskState::bound) continue;
      left -= other->spec.need;
    }
  }
  if (const auto more = promised.find(host); more != promised.end()) left -= more->second;
  return fits(job.need, left);
}

std::optional<HostId> Holder::choose_host(const TaskRecord& task, const JobSpec& job,
                                          const std::unordered_map<HostId, Room>& promised) {
  if (takes(task.host, job, promised)) return task.host;
  // Room that the leader promised to others must stay: only a machine with nothing released on it
  // may stand in for one that has become unfit.
  for (const auto& [host, machine] : mirror_.records().machines) {
    if (machine.record.zone != task.zone || mirror_.records().placed.contains(host)) continue;
    if (takes(host, job, promised)) return host;
  }
  return std::nullopt;
}

void Holder::bind(const SliceRecord& slice, std::size_t index, TaskRecord& task, const JobSpec& job,
                  std::unordered_map<HostId, Room>& promised) {
  const auto host = choose_host(task, job, promised);
  const Wall now = clock_.wall();
  if (!host) {
    // The machine that the leader meant may be about to report; its room may be about to show.
    if (now - task.since < Span{3000}) return;
    spdlog::info("holder: no room for {}/{} on {}: given back", slice.uid.get(),
                 slice.first_part() + index, task.host.get());
    task.state = TaskState::idle;
    task.zone = ZoneId{};
    task.host = HostId{};
    task.since = now;
    return;
  }
  promised[*host] += job.need;
  task.state = TaskState::bound;
  task.host = *host;
  task.tenure = workers_.at(*host).view.tenure;
  task.since = now;
}

void Holder::finish(const TaskId& id, TaskRecord& task, const JobSpec& job,
                    const std::string& cause, bool saved) {
  if (cause == "error" && task.faults == 0) {
    // Mostly the machine is faulty, yet a job with a mistake fails everywhere: the machine takes
    // nothing new until the task's next try elsewhere has told whose fault it was.
    const auto machine = mirror_.records().machines.find(task.host);
    const bool again = machine != mirror_.records().machines.end() &&
                       machine->second.record.state == MachineState::suspect &&
                       machine->second.record.blamed != id.uid;
    if (again) {
      put_machine(task.host, MachineState::quarantined, "tasks of two jobs failed on it");
    } else {
      put_machine(task.host, MachineState::suspect, "a task failed on it", id.uid);
    }
  }
  spdlog::debug("holder: {} try {} on {} ended: {}{}", id.str(), task.attempt.get(),
                task.host.get(), cause, saved ? ", saved" : "");
  apply_end(task, job, cause, saved, clock_.wall());
}

void Holder::judge(const TaskId& id, TaskRecord& task, const JobSpec& job) {
  const auto& records = mirror_.records();
  const auto machine = records.machines.find(task.host);
  if (machine != records.machines.end() && machine->second.record.state == MachineState::gone) {
    finish(id, task, job, "machine gone", false);
    return;
  }
  const auto worker = workers_.find(task.host);
  if (worker == workers_.end()) return;
  const WorkerView& view = worker->second.view;
  const bool unwanted = task.stop || cancellations_.cancelled_at(id.uid);
  switch (examine(id, task, view, warrant_of(task.zone))) {
    case Finding::ended: {
      const ReportedTask* there = reported(view, id, task.attempt);
      finish(id, task, job, there->cause, there->saved);
      break;
    }
    case Finding::lost:
      finish(id, task, job, "lease lost", false);
      break;
    case Finding::never_here:
      if (unwanted) finish(id, task, job, "never started", false);
      break;
    case Finding::present:
      if (task.running.ms == 0 && reported(view, id, task.attempt)->status == TaskStatus::running) {
        task.running = clock_.wall();
        const MachineType* type = machine == records.machines.end()
                                      ? nullptr
                                      : records.type(machine->second.record.build);
        if (type != nullptr) {
          Worker& there = worker->second;
          if (there.images.empty()) there.images = machine->second.record.images;
          there.images_changed =
              note_image(there.images, job.bundle, job.image_gb, type->cache_gb) ||
              there.images_changed;
        }
        spdlog::debug("holder: {} try {} runs on {}", id.str(), task.attempt.get(),
                      task.host.get());
      }
      break;
    case Finding::absent: {
      // A start sent to /orders may still arrive: only a higher warrant ends that.
      const bool direct = view.direct_starts.contains({id, task.attempt});
      if (unwanted && direct) wants_renewal_.insert(task.zone);
      break;
    }
  }
}

bool Holder::take(const ReleaseOffer& offer) {
  if (!mirror_.ready()) return false;
  const Steady now = clock_.steady();
  if (mirror_.revision().get() >= offer.revision) return bind_offer(offer, now);
  if (offers_.size() >= kMostOffers) return false;
  offers_.push_back({offer, now});
  return true;
}

void Holder::retry_offers() {
  std::vector<Kept> kept;
  kept.swap(offers_);
  const Steady now = clock_.steady();
  for (Kept& k : kept) {
    // The leader turns to the ordinary way when this has lasted too long.
    if (now - k.since > kOfferLife) continue;
    if (mirror_.revision().get() >= k.offer.revision) {
      bind_offer(k.offer, k.since);
    } else {
      offers_.push_back(std::move(k));
    }
  }
}

bool Holder::bind_offer(const ReleaseOffer& offer, Steady since) {
  const auto& records = mirror_.records();
  const SliceKey key{Uid(offer.uid), offer.slice};
  const auto job = records.jobs.find(key.first);
  const auto* stored = records.slice(key.first, key.second);
  const Stamp over = stored == nullptr ? Stamp{} : stored->stamp;
  // Whatever this copy lacks or has beyond the leader's, the guards would refuse as well.
  if (!records.leader || records.leader->stamp.get() != offer.term || job == records.jobs.end() ||
      cancellations_.cancelled_at(key.first) || over.get() != offer.over ||
      committing_.contains(key) || offer.tasks.empty()) {
    return false;
  }
  const JobSpec& spec = job->second.record.spec;
  if (key.second >= slice_count(spec)) return false;
  SliceRecord slice;
  if (stored != nullptr) {
    slice = stored->record;
  } else {
    slice.uid = key.first;
    slice.number = key.second;
    slice.tasks.resize(slice_size(spec, key.second));
  }
  std::set<ZoneId> zones;
  std::unordered_map<HostId, Room> promised;
  for (const ReleaseOffer::Task& offered : offer.tasks) {
    const ZoneId zone(offered.zone);
    if (offered.index >= slice.tasks.size() || holding(zone) != Holding::held) return false;
    TaskRecord& task = slice.tasks[offered.index];
    if (task.state != TaskState::idle) return false;
    task.state = TaskState::released;
    task.attempt = Attempt(offered.attempt);
    task.zone = zone;
    task.host = HostId(offered.host);
    task.since = clock_.wall();
    task.running = Wall{};
    bind(slice, offered.index, task, spec, promised);
    if (task.state != TaskState::bound) return false;
    zones.insert(zone);
  }
  Txn txn;
  txn.guard(keys::kLeader, records.leader->stamp);
  for (const ZoneId& zone : zones) {
    txn.guard(keys::block(zone), Stamp(warrant_of(zone).get()));
  }
  txn.guard(keys::job(key.first), job->second.stamp);
  txn.guard(keys::slice(key.first, key.second), over);
  txn.put(keys::slice(key.first, key.second), encode(slice));
  commit_slice(key, std::move(txn), Kept{offer, since});
  return true;
}

void Holder::commit_slice(const SliceKey& key, Txn txn, std::optional<Kept> offered) {
  committing_.insert(key);
  mirror_.commit(Rank::binding, std::move(txn), [this, key, offered](const CommitResult& r) {
    committing_.erase(key);
    if (offered && r.fate == Fate::refused) offers_.push_back(*offered);
    // Whatever became of it is decided anew from the records; an unknown commit can't pass twice,
    // since each is guarded by the slice's own stamp.
    dirty_.insert(key);
    if (!round_timer_.pending()) round_timer_.start(r.fate == Fate::done ? kCoalesce : Span{150});
  });
}

bool stop_broken_gang(SliceRecord& slice) {
  const bool broken = std::any_of(slice.tasks.begin(), slice.tasks.end(),
                                  [](const TaskRecord& t) { return t.state == TaskState::idle; });
  bool changed = false;
  for (TaskRecord& task : slice.tasks) {
    if (!broken || !task.placed() || task.stop) continue;
    task.stop = StopOrder{Span{0}, "its gang lost a task"};
    changed = true;
  }
  return changed;
}

bool Holder::decide_slice(const SliceKey& key) {
  const auto& records = mirror_.records();
  const auto* stored = records.slice(key.first, key.second);
  const auto job_entry = records.jobs.find(key.first);
  if (stored == nullptr || job_entry == records.jobs.end()) return false;
  const JobRecord& job = job_entry->second.record;
  const bool cancelled = job.cancelled || cancellations_.cancelled_at(key.first);
  SliceRecord slice = stored->record;
  std::set<ZoneId> zones;
  std::unordered_map<HostId, Room> promised;
  bool changed = false;
  Span patience = kRunningWait;  // how long the change may wait for others of its slice

  for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
    TaskRecord& task = slice.tasks[i];
    if (!task.placed() || holding(task.zone) != Holding::held) continue;
    const TaskId id{slice.uid, slice.first_part() + static_cast<std::uint32_t>(i)};
    const TaskRecord before = task;
    const ZoneId zone = task.zone;
    const bool stopped = task.stop.has_value();
    if (task.state == TaskState::released) {
      if (job.cancelled || task.stop) {
        // No start is sent before the binding is committed, so there is nothing to wait for.
        apply_end(task, job.spec, "never bound", false, clock_.wall());
      } else if (!cancelled) {
        bind(slice, i, task, job.spec, promised);  // what has no room yet is tried at each sweep
      }
    } else {
      judge(id, task, job.spec);
    }
    if (task.state != before.state || task.running != before.running || task.host != before.host) {
      changed = true;
      zones.insert(zone);
      // A task of an array that ends gives room back, and one that runs tells when it will: both
      // can wait a little for the others of the slice. A binding, a failure or a stop can't.
      const bool ended = before.state == TaskState::bound && task.state == TaskState::done;
      const bool runs = before.state == TaskState::bound && task.state == TaskState::bound;
      if (runs) {
        patience = std::min(patience, kRunningWait);
      } else if (ended && !job.spec.gang() && !stopped) {
        patience = std::min(patience, kEndsWait);
      } else {
        patience = Span{0};
      }
    }
  }
  if (job.spec.gang()) {
    const auto is_done = [](const TaskRecord& t) { return t.state == TaskState::done; };
    if (std::any_of(slice.tasks.begin(), slice.tasks.end(), is_done)) {
      // A gang completes together: one done, all done, and all have left their machines. That is so
      // for an attempt that ran. Of one that was started again after its end, each task tells the
      // kept result as soon as its machine has the image, while others may still fetch theirs:
      // those keep their places until proof.
      const bool ran = std::any_of(stored->record.tasks.begin(), stored->record.tasks.end(),
                                   [](const TaskRecord& t) { return t.running.ms != 0; });
      patience = Span{0};
      for (TaskRecord& task : slice.tasks) {
        if (is_done(task)) continue;
        if (task.state == TaskState::bound && !ran) {
          patience = kGather;  // the others' reports are likely on their way
          continue;
        }
        apply_end(task, job.spec, "done", false, clock_.wall());
        changed = true;
      }
    } else if (stop_broken_gang(slice)) {
      changed = true;
      patience = Span{0};
    }
  }
  if (!changed) {
    soft_.erase(key);
    return false;
  }
  if (slice.all_done() || mirror_.write_slack() > kMuchSlack) patience = Span{0};
  const auto since = soft_.try_emplace(key, clock_.steady()).first->second;
  if (clock_.steady() - since < patience) return false;  // the sweep looks again
  soft_.erase(key);
  meter_.count(patience == Span{0} ? "slices at once" : "slices gathered");

  Txn txn;
  // A binding of a holder that was replaced, or for a job cancelled meanwhile, must fail.
  for (const ZoneId& zone : zones) {
    txn.guard(keys::block(zone), Stamp(warrant_of(zone).get()));
  }
  txn.guard(keys::job(key.first), job_entry->second.stamp);
  txn.guard(keys::slice(key.first, key.second), stored->stamp);
  const bool whole = slice_count(job.spec) == 1 && slice.all_done();
  if (whole) {
    // A user who was told that the job is cancelled must not hear that it is done, though its tasks
    // ended before they could be stopped.
    const FinalState state = job.cancelled ? FinalState::cancelled : FinalState::done;
    FinalRecord final_record{key.first, state, job.spec.parts, job.accepted, clock_.wall(), {}};
    if (const auto grant = records.grants.find(key.first); grant != records.grants.end()) {
      final_record.notes = grant->second.record.notes;
    }
    // The leader sweeps up the slice and the grant when there is budget to spare.
    txn.put(keys::final_job(key.first), encode(final_record)).remove(keys::job(key.first));
  } else {
    txn.put(keys::slice(key.first, key.second), encode(slice));
  }
  commit_slice(key, std::move(txn));
  return true;
}

std::vector<Order> Holder::orders_for(const HostId& host, Worker& worker, bool in_answer) {
  std::vector<Order> out;
  const auto& records = mirror_.records();
  const Steady now = clock_.steady();
  const Warrant current = warrant_of(worker.zone);
  const WorkerView& view = worker.view;
  // A job may have been cancelled without our knowledge: what runs may go on for a while, but
  // nothing of it may start.
  const bool blind = now - fresh() >= kBlind;
  if (const auto placed = records.placed.find(host); placed != records.placed.end()) {
    for (const auto& [id, attempt] : placed->second) {
      const TaskRecord* task = records.task(id);
      const JobRecord* job = records.job(id.uid);
      if (task == nullptr || job == nullptr || task->state != TaskState::bound) continue;
      const bool cancelled = cancellations_.cancelled_at(id.uid).has_value();
      if (task->tenure != view.tenure || out.size() >= kMostOrders) continue;
      const ReportedTask* there = reported(view, id, attempt);
      if (cancelled || task->stop) {
        if (there == nullptr || there->status == TaskStatus::ended) continue;
        const Span leeway = cancelled ? Span{0} : task->stop->leeway;
        if (there->status == TaskStatus::flushing && leeway > Span{0}) continue;
        auto& last = worker.kills[{id, attempt}];
        if (!in_answer && now - last < kKillEvery) continue;
        last = now;
        out.push_back({Verb::kill, id, attempt, leeway});
      } else if (there == nullptr && !blind &&
                 !committing_.contains({id.uid, id.part / kSliceTasks})) {
        const auto direct = view.direct_starts.find({id, attempt});
        if (!in_answer && direct != view.direct_starts.end()) continue;  // once, then by answers
        out.push_back({Verb::start, id, attempt, {}});
      }
    }
  }
  for (const auto& [key, task] : view.tasks) {
    if (out.size() >= kMostOrders) break;
    const auto& [id, attempt] = key;
    const TaskRecord* record = records.task(id);
    const bool wanted =
        records.jobs.contains(id.uid) || records.unreadable.contains(keys::job(id.uid));
    const bool bound_here = wanted && record != nullptr && record->placed() &&
                            record->host == host && record->attempt == attempt;
    if (bound_here) continue;
    if (task.status != TaskStatus::ended) {
      // Nothing is meant to run here under this attempt: a gang's peer after its end, or a start
      // that came too late.
      auto& last = worker.kills[key];
      if (now - last < kKillEvery) continue;
      last = now;
      out.push_back({Verb::kill, id, attempt, {}});
    } else if (in_answer) {
      // After a clear the worker would start a late or repeated start order once more.
      if (view.start_settled(id, attempt, current)) {
        out.push_back({Verb::clear, id, attempt, {}});
      } else if (view.direct_starts.contains(key)) {
        wants_renewal_.insert(worker.zone);
      }
    }
  }
  std::erase_if(worker.kills, [&](const auto& entry) { return now - entry.second > Span{60'000}; });
  return out;
}

bool Holder::direct(const HostId& host) {
  const auto it = workers_.find(host);
  if (it == workers_.end()) return false;
  Worker& worker = it->second;
  if (holding(worker.zone) != Holding::held || worker.direct_busy) return false;
  auto orders = orders_for(host, worker, false);
  const Steady now = clock_.steady();
  // A `kill` is right however old our word of the state service is: a start is not sent then.
  const bool introduce = worker.hearing.introduction_due(now) && now - fresh() < answer_limit();
  if (orders.empty() && !introduce) return false;
  worker.hearing.introducing(now);
  send_direct(host, worker, std::move(orders));
  return true;
}

void Holder::send_direct(const HostId& host, Worker& worker, std::vector<Order> orders) {
  const Warrant warrant = warrant_of(worker.zone);
  for (const Order& order : orders) {
    if (order.verb == Verb::start) {
      worker.view.direct_starts[{order.id, order.attempt}] = warrant;
      worker.hearing.start_sent(order.id, order.attempt, clock_.steady(), false);
    }
  }
  worker.direct_busy = true;
  orders_.send(worker.view.address, write_direct(warrant, worker.view.tenure, orders),
               [this, host, warrant](const HttpReply& reply) {
                 const auto it = workers_.find(host);
                 if (it == workers_.end()) return;
                 it->second.direct_busy = false;
                 if (reply.status == 200) it->second.hearing.confirmed(warrant);
                 if (reply.status == 200 || reply.status == 409) {
                   const auto report = parse_report(reply.body);
                   if (report && holding(it->second.zone) == Holding::held) {
                     // The answer of 409 tells the session; then the order can be given.
                     if (it->second.view.tenure == Tenure{}) wake_.insert(host);
                     it->second.hearing.introduce_again();
                     absorb(it->second, *report, WorkerView::Source::order);
                     note_machine(*report, it->second);
                   }
                 }
                 if (reply.status == 200) wake_.insert(host);
                 if (reply.status != 0 && !round_timer_.pending()) round_timer_.start(kCoalesce);
               });
}

void Holder::discount_pause(Steady now) {
  // A process that stood still while the clocks ran on has heard nobody meanwhile, through no fault
  // of the machines: that time does not count as their silence, nor as starts that don't show. The
  // same goes for time without word of the state service: the block may have another holder by
  // then, to which they report.
  Span pause = now - last_sweep_ - kSweep;
  const bool first = last_sweep_.ms < 0;
  last_sweep_ = now;
  if (first) return;
  // A zone that comes into reach is met machine by machine: the first must not make the rest
  // silent.
  std::set<ZoneId> still_dark = dark();
  for (auto& [host, worker] : workers_) {
    if (dark_.contains(worker.zone) && !still_dark.contains(worker.zone)) {
      may_report(host, worker, now);
    }
  }
  dark_ = std::move(still_dark);
  if (now - mirror_.fresh_until() >= silence_limit()) {
    pause = silence_limit();
  } else if (pause < kPause) {
    return;
  } else {
    spdlog::info("holder: stood still for {} ms", pause.ms);
  }
  for (auto& [host, worker] : workers_) {
    worker.heard = std::min(now, worker.heard + pause);
    worker.hearing.discount(now, pause);
  }
}

void Holder::sweep() {
  sweep_timer_.start(kSweep);
  if (!mirror_.ready()) return;
  const auto timed = meter_.time(Duty::holder);
  const auto& records = mirror_.records();
  const Steady now = clock_.steady();
  discount_pause(now);
  for (const ZoneId& zone : wants_renewal_) {
    if (holding(zone) != Holding::held) continue;
    auto& last = warrant_renewed_[zone];
    if (now - last < kRenewEvery) continue;
    last = now;
    renew_warrant(zone);
  }
  std::erase_if(wants_renewal_, [&](const ZoneId& zone) {
    return warrant_renewed_.contains(zone) && warrant_renewed_[zone] == now;
  });

  if (warrants_.empty()) return;

  // Machines that have stopped reporting. When none of a block reports, the fault may be ours.
  const Span silence = silence_limit();
  std::map<ZoneId, std::pair<int, int>> heard;  // of all, how many lately
  for (const auto& [host, machine] : records.machines) {
    const auto worker = workers_.find(host);
    if (worker == workers_.end() || holding(machine.record.zone) != Holding::held) continue;
    auto& [all, lately] = heard[machine.record.zone];
    ++all;
    if (now - worker->second.heard < silence) ++lately;
  }
  for (const auto& [host, machine] : records.machines) {
    if (machine.record.state != MachineState::up &&
        machine.record.state != MachineState::draining) {
      continue;
    }
    const auto worker = workers_.find(host);
    if (worker == workers_.end() || holding(machine.record.zone) != Holding::held) continue;
    if (now - worker->second.heard < silence || heard[machine.record.zone].second == 0) continue;
    put_machine(host, MachineState::silent, "does not report");
  }
  std::erase_if(workers_, [&](const auto& entry) {
    const auto machine = records.machines.find(entry.first);
    const bool gone = machine == records.machines.end()
                          ? now - entry.second.heard > Span{30'000}
                          : machine->second.record.state == MachineState::gone;
    return gone && !entry.second.direct_busy;
  });
  for (auto& [host, worker] : workers_) {
    if (!worker.hearing.introduced()) wake_.insert(host);
    look_for_mute(host, worker);
    look_for_deaf(host, worker);
  }
  keep_images();
  if (!flush_timer_.pending()) machines_.flush();
  for (const auto& [key, since] : soft_) dirty_.insert(key);
  for (const auto& [host, placed] : records.placed) {
    for (const auto& [id, attempt] : placed) {
      const TaskRecord* task = records.task(id);
      if (task != nullptr && (task->stop || task->state == TaskState::released)) {
        dirty_.insert({id.uid, id.part / kSliceTasks});
        wake_.insert(host);
      }
      const JobRecord* job = records.job(id.uid);
      if (job != nullptr && cancellations_.cancelled_at(id.uid)) wake_.insert(host);
    }
  }
  if (!round_timer_.pending()) round_timer_.start(kCoalesce);
}

}  // namespace marblevale
