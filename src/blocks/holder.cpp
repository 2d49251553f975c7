#include "blocks/holder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {

constexpr Duration kCoalesce{2};
constexpr Duration kSweep{500};
constexpr Duration kKillEvery{1500};
constexpr Duration kRenewEvery{8'000};
constexpr Duration kCancelMargin{4'000};
constexpr double kUnrecordedDeletionShare =
    0.5;  // of `cancel_s`: later than deletion in the ordinary way
constexpr Duration kMaxFreshnessAgeForStart{
    2'500};  // without word of cancellations: nothing is started
constexpr Duration kMisdirectionWindow{20'000};
constexpr Duration kMinMisdirectionTime{6'000};
constexpr Duration kMaxMisdirectionAge{5'000};
constexpr std::size_t kMaxOrders = 60;       // in one answer, so that it stays far below 64 KiB
constexpr std::size_t kMaxWoken = 64;        // machines that get orders in one round
constexpr Duration kMinProcessPause{3'000};  // between two sweeps: this process stood still
constexpr Duration kOfferLife{2'500};
constexpr std::size_t kMaxOffers = 200;
constexpr double kAmpleWriteSlack = 0.5;  // of the budget for writes
constexpr Duration kShortMachineBatchDelay{
    30};  // changes of machines that come together, with budget to spare
constexpr Duration kMachineBatchDelay{1'000};  // and without
// Changes of a slice that can wait for others of its slice when there is no budget to spare.
constexpr Duration kTaskEndBatchDelay{8'000};
constexpr Duration kRunningBatchDelay{60'000};

}  // namespace

BlockHolder::BlockHolder(Loop& loop, const Clock& clock, const Settings& settings,
                         WatchCache& cache, Election& election, OrderSender& orders,
                         Cancellations& cancellations)
    : metrics_(loop.metrics()),
      clock_(clock),
      settings_(settings),
      cache_(cache),
      election_(election),
      orders_(orders),
      cancellations_(cancellations),
      machines_(cache, RequestPriority::binding,
                [this](Txn& txn, const ZoneId& zone) {
                  if (holding(zone) != Holding::held) return false;
                  txn.guard(keys::block(zone), ModRevision(token_of(zone).get()));
                  return true;
                }),
      flush_timer_(loop, [this] { machines_.flush(); }),
      round_timer_(loop, [this] { round(); }),
      sweep_timer_(loop, [this] { sweep(); }) {
  cache_.listen([this](RecordKind topic, const std::string& key) {
    switch (topic) {
      case RecordKind::slice: {
        const auto slash = key.find('/');
        const JobId job_id(key.substr(0, slash));
        const auto number = static_cast<std::uint32_t>(std::stoul(key.substr(slash + 1)));
        dirty_.insert({job_id, number});
        if (const auto* slice = cache_.records().slice(job_id, number)) {
          for (const TaskRecord& task : slice->record.tasks) {
            if (task.placed()) machines_to_command_.insert(task.machine_id);
          }
        }
        break;
      }
      case RecordKind::job:
        mark_job_dirty(JobId(key));
        break;
      case RecordKind::machine: {
        const auto placed = cache_.records().placed.find(MachineId(key));
        if (placed == cache_.records().placed.end()) return;
        for (const auto& [id, attempt] : placed->second) {
          dirty_.insert({id.job_id, id.task_index / kSliceTasks});
        }
        break;
      }
      case RecordKind::block:
      case RecordKind::node:
        break;
      default:
        return;
    }
    if (!round_timer_.pending()) round_timer_.start(kCoalesce);
  });
}

void BlockHolder::begin() {
  const WorkerTimes& times = settings_.workers;
  if (times.cancel - times.lease - kCancelMargin < times.report) {
    spdlog::warn(
        "holder: cancel_s leaves less than a report beyond lease_s: without word of the state "
        "service no report is answered for longer than {} ms",
        answer_limit().ms);
  }
  sweep_timer_.start(kSweep);
}

void BlockHolder::mark_job_dirty(const JobId& job_id) {
  for (auto it = cache_.records().slices.lower_bound({job_id, 0});
       it != cache_.records().slices.end() && it->first.first == job_id; ++it) {
    dirty_.insert(it->first);
    for (const TaskRecord& task : it->second.record.tasks) {
      if (task.placed()) machines_to_command_.insert(task.machine_id);
    }
  }
}

void BlockHolder::cancelled(const JobId& job_id) {
  mark_job_dirty(job_id);
  if (!round_timer_.pending()) round_timer_.start(kCoalesce);
}

FencingToken BlockHolder::token_of(const ZoneId& zone) const {
  const auto it = cache_.records().blocks.find(zone);
  return it == cache_.records().blocks.end() ? FencingToken{}
                                             : FencingToken(it->second.mod_revision.get());
}

BlockHolder::Holding BlockHolder::holding(const ZoneId& zone) const {
  const auto it = cache_.records().blocks.find(zone);
  if (it == cache_.records().blocks.end()) return Holding::none;
  const BlockRecord& block = it->second.record;
  if (block.holder != settings_.node || block.nonce != election_.nonce()) return Holding::none;
  // What the holder before us committed must be in the cache before we act on reports.
  return cache_.revision().get() >= it->second.mod_revision.get() ? Holding::held
                                                                  : Holding::settling;
}

void BlockHolder::take_blocks() {
  for (const auto& [zone, stored] : cache_.records().blocks) {
    const BlockRecord& block = stored.record;
    const bool earlier_life = block.holder == settings_.node && block.nonce != election_.nonce();
    if (earlier_life && election_.block_lease_id() != LeaseId{}) renew_token(zone);
    const FencingToken now(stored.mod_revision.get());
    if (holders_[zone] != block.holder) {
      holders_[zone] = block.holder;
      misdirected_reports_.erase(zone);
    }
    if (holding(zone) == Holding::none) {
      if (tokens_.erase(zone) > 0) {
        std::erase_if(workers_, [&](const auto& entry) { return entry.second.zone == zone; });
        machines_.forget(zone);
        spdlog::info("holder: block {} is held elsewhere", zone.get());
      }
    } else if (holding(zone) == Holding::held && tokens_[zone] != now) {
      const bool fresh = tokens_[zone] == FencingToken{};
      tokens_[zone] = now;
      if (!fresh) continue;
      first_token_[zone] = now;
      // What an earlier holding wanted to say of its machines is no longer known to be so: a holder
      // that had been cut off called all of them silent, as soon as it was back.
      machines_.forget(zone);
      spdlog::info("holder: block {} is ours, token {}", zone.get(), now.get());
      // Workers of a holder that is gone are told at once who speaks for the block now.
      for (const auto& [machine_id, machine] : cache_.records().machines) {
        if (machine.record.zone != zone || machine.record.state >= MachineState::deleting) continue;
        Worker& worker = workers_.try_emplace(machine_id, machine_id).first->second;
        worker.zone = zone;
        may_report(machine_id, worker, clock_.steady());
        worker.view.address = machine.record.address;
        machines_to_command_.insert(machine_id);
      }
      for (const auto& [key, slice] : cache_.records().slices) dirty_.insert(key);
    }
  }
}

void BlockHolder::renew_token(const ZoneId& zone) {
  const std::string key = keys::block(zone);
  const auto it = cache_.records().blocks.find(zone);
  if (it == cache_.records().blocks.end() || taking_.contains(key)) return;
  taking_.insert(key);
  Txn txn;
  txn.guard(key, it->second.mod_revision);
  txn.put(key,
          encode(BlockRecord{zone, settings_.node, election_.nonce(),
                             it->second.record.generation + 1}),
          election_.block_lease_id());
  cache_.commit(RequestPriority::lease, std::move(txn), [this, key](const CommitResult&) {
    taking_.erase(key);
    if (!round_timer_.pending()) round_timer_.start(kCoalesce);
  });
}

Duration BlockHolder::silence_limit() const { return settings_.workers.report * 2.5; }

Duration BlockHolder::answer_limit() const {
  // The worker's lease runs from the sending of the last report that was answered: one that was
  // answered by then is over a margin before the task must be gone. The margin is for the drift of
  // steady clocks (0.05% of cancel_s), for clocks that are off, and for the worker's own time.
  const Duration left = settings_.workers.cancel - settings_.workers.lease - kCancelMargin;
  return std::max(left, kMaxFreshnessAgeForStart);
}

SteadyTime BlockHolder::fresh() const { return std::max(cache_.fresh_until(), extended_fresh_); }

void BlockHolder::extend_freshness(SteadyTime until) {
  // Where there is no time for it to be of use, nobody's word is taken for the state service's.
  const WorkerTimes& times = settings_.workers;
  if (times.cancel - times.lease - kCancelMargin < times.report) return;
  extended_fresh_ = std::max(extended_fresh_, until);
}

bool BlockHolder::keeps_cancelled(const MachineId& machine_id, const Worker& worker,
                                  Duration since) const {
  // It still has a task, or may still start one, that was cancelled so long ago.
  const auto placed = cache_.records().placed.find(machine_id);
  if (placed == cache_.records().placed.end()) return false;
  const WallTime now = clock_.wall() + settings_.clock_error * 2.0;
  return std::any_of(placed->second.begin(), placed->second.end(), [&](const auto& entry) {
    const auto at = cancellations_.cancelled_at(entry.first.job_id);
    if (!at || now - *at < since) return false;
    const TaskRecord* task = cache_.records().task(entry.first);
    if (task == nullptr || task->state != TaskState::bound) return false;
    const Finding found = examine(entry.first, *task, worker.view, token_of(worker.zone));
    return found == Finding::present || found == Finding::absent;
  });
}

std::vector<MachineId> BlockHolder::overdue() const {
  std::vector<MachineId> out;
  for (const auto& [machine_id, worker] : workers_) {
    if (holding(worker.zone) != Holding::held) continue;
    if (keeps_cancelled(machine_id, worker, settings_.workers.cancel * kUnrecordedDeletionShare))
      out.push_back(machine_id);
  }
  return out;
}

std::vector<ZoneId> BlockHolder::misdirected_zones() {
  std::vector<ZoneId> out;
  const SteadyTime now = clock_.steady();
  for (auto& [zone, machine_ids] : misdirected_reports_) {
    std::size_t again = 0;
    for (auto& [machine_id, times] : machine_ids) {
      std::erase_if(times, [&](SteadyTime t) { return now - t > kMisdirectionWindow; });
      // Sent on to the holder, and back again for longer than a holder's crash takes to be noticed.
      if (times.size() >= 2 && times.back() - times.front() >= kMinMisdirectionTime &&
          now - times.back() < kMaxMisdirectionAge) {
        ++again;
      }
    }
    std::erase_if(machine_ids, [](const auto& entry) { return entry.second.empty(); });
    if (again >= 2 && holding(zone) == Holding::none) out.push_back(zone);
  }
  return out;
}

std::set<ZoneId> BlockHolder::unreachable_zones() const {
  std::set<ZoneId> out;
  for (const auto& [zone, token] : tokens_) {
    if (holding(zone) == Holding::held) out.insert(zone);
  }
  const SteadyTime now = clock_.steady();
  for (const auto& [machine_id, worker] : workers_) {
    if (out.empty()) break;
    if (worker.reachability.reachable() && now - worker.last_report_at < silence_limit()) {
      out.erase(worker.zone);
    }
  }
  return out;
}

ReportAnswer BlockHolder::handle_report(std::string_view body) {
  const auto timed = metrics_.time(Duty::report);
  const auto report = parse_report(body);
  if (!report) return {400, R"({"error":"malformed report"})"};
  const SteadyTime now = clock_.steady();
  const auto redirect = [&]() -> ReportAnswer {
    const auto it = cache_.records().blocks.find(report->zone);
    const bool known = cache_.ready() && it != cache_.records().blocks.end() &&
                       it->second.record.holder != settings_.node;
    if (!known) return {421, "{}"};
    auto& seen = misdirected_reports_[report->zone][report->machine_id];
    if (seen.size() >= 8) seen.erase(seen.begin());
    seen.push_back(now);
    json::Writer out;
    out.open().put("steward", it->second.record.holder.get()).close();
    return {421, out.str()};
  };
  // Without contact to the state service a cancellation may have been accepted that we can't see;
  // answering would keep the worker's lease, and the cancelled task, alive for too long.
  const bool current = cache_.ready() && now - fresh() < answer_limit();
  if (!current || holding(report->zone) != Holding::held) return redirect();
  take_blocks();
  const FencingToken token = token_of(report->zone);
  if (report->token > token) return {421, "{}"};  // another holds the block by now

  const auto [entry, unheard_of] = workers_.try_emplace(report->machine_id, report->machine_id);
  Worker& worker = entry->second;
  if (unheard_of) worker.last_report_at = now;
  worker.zone = report->zone;
  // A copy of an old report may come as late as it likes: what is not newer than what is known of
  // the worker changes nothing. A holder that has just begun knows nothing yet; then only a report
  // that has seen a fencing token of ours shows that it was sent since. (Fencing tokens are renewed
  // while a block is held: the first of them counts.)
  const bool newer = apply_report(worker, *report);
  // A lease renewed now would outlast `cancel_s`. Neither the state service nor the cloud is needed
  // to end the task: its machine's lease is left to lapse, whatever else runs there.
  const bool refused = keeps_cancelled(report->machine_id, worker, answer_limit());
  if (refused && !worker.refused) {
    spdlog::warn("holder: {} gets no answers: it still has a cancelled task",
                 report->machine_id.get());
    metrics_.count("leases left to lapse");
  }
  worker.refused = refused;
  // Not sent on to anybody who would answer.
  if (refused) return {503, R"({"error":"its lease must lapse"})"};
  if (!newer) return {200, write_answer(token, {})};
  if (report->token >= first_token_[report->zone]) {
    worker.reachability.report_answered(now, settings_.workers.lease);
    worker.last_report_at = now;
    worker.reachability.report_received(token);
    note_machine(*report, worker);
  } else if (!worker.reachability.reachable_under(token)) {
    machines_to_command_.insert(report->machine_id);  // a probe shows whether commands reach it
    if (!round_timer_.pending()) round_timer_.start(kCoalesce);
  }
  auto orders = orders_for(report->machine_id, worker, true);
  for (const Order& order : orders) {
    if (order.verb == Verb::start) {
      worker.view.answered_starts[{order.id, order.attempt}] = report->sequence;
      worker.reachability.start_sent({order.id, order.attempt}, now, true);
    }
  }
  return {200, write_answer(token, orders)};
}

bool BlockHolder::apply_report(Worker& worker, const Report& report, WorkerView::Source source) {
  const SessionId before = worker.view.session;
  if (!worker.view.apply(report, source)) return false;
  if (report.session > before &&
      worker.reachability.session_changed(clock_.steady(), settings_.workers.lease) &&
      before != SessionId{}) {
    worker.reachability.mark_commands_unreachable("its lease lapsed though it was answered");
  }
  worker.view.prune();
  worker.reclaim_at.reset();
  if (report.reclaim_in) worker.reclaim_at = clock_.wall() + *report.reclaim_in;
  bool news = false;
  for (const auto& [key, task] : worker.view.tasks) {
    const TaskRecord* record = cache_.records().task(key.id);
    if (record == nullptr || record->state != TaskState::bound || record->attempt != key.attempt ||
        record->machine_id != report.machine_id) {
      continue;
    }
    const bool started = task.status == TaskStatus::running && record->running.ms == 0;
    if (task.status == TaskStatus::ended || started) {
      dirty_.insert({key.id.job_id, key.id.task_index / kSliceTasks});
      news = true;
    }
  }
  // Bound tasks that the report lacks are looked at as well.
  const auto placed = cache_.records().placed.find(report.machine_id);
  if (placed != cache_.records().placed.end()) {
    for (const auto& [id, attempt] : placed->second) {
      if (find_reported(worker.view, {id, attempt}) != nullptr) continue;
      dirty_.insert({id.job_id, id.task_index / kSliceTasks});
      news = true;
    }
  }
  if (news && !round_timer_.pending()) round_timer_.start(kCoalesce);
  return true;
}

void BlockHolder::may_report(const MachineId& machine_id, Worker& worker, SteadyTime now) const {
  // One that an earlier holder found silent has to report first.
  const auto machine = cache_.records().machines.find(machine_id);
  if (machine != cache_.records().machines.end() &&
      machine->second.record.state == MachineState::silent) {
    return;
  }
  worker.last_report_at = now;
}

void BlockHolder::check_reports_reachable(const MachineId& machine_id, Worker& worker) {
  // It may reach no controller and hear orders all the same. What becomes of its tasks, and that
  // its lease has lapsed, is then told by its answers only.
  worker.reachability.probe_regularly(silent(machine_id) &&
                                      cache_.records().placed.contains(machine_id));
  if (worker.reachability.probe_due(clock_.steady())) machines_to_command_.insert(machine_id);
}

void BlockHolder::check_commands_reachable(const MachineId& machine_id, Worker& worker) {
  const SteadyTime now = clock_.steady();
  const Duration report = settings_.workers.report;
  if (now - worker.last_report_at < report * 2.0 &&
      worker.reachability.misses_starts(worker.view, now, report)) {
    worker.reachability.mark_commands_unreachable("its starts do not show");
  }
  worker.reachability.forget_starts([&](const TaskAttempt& start) {
    const TaskRecord* task = cache_.records().task(start.id);
    return task == nullptr || task->state != TaskState::bound || task->machine_id != machine_id ||
           task->attempt != start.attempt || worker.view.tasks.contains(start);
  });
  if (worker.reachability.commands_unreachable())
    put_machine(machine_id, MachineState::silent, "reports, but commands do not reach it");
}

void BlockHolder::note_machine(const Report& report, Worker& worker) {
  const auto it = cache_.records().machines.find(report.machine_id);
  if (it == cache_.records().machines.end()) {
    if (machines_.waits(report.machine_id)) return;
    MachineRecord record;
    record.machine_id = report.machine_id;
    record.address = report.address;
    record.machine_type = report.machine_type;
    record.zone = report.zone;
    record.spot = report.spot;
    record.since = clock_.wall();
    record.reclaim_at = worker.reclaim_at;
    if (worker.reclaim_at) record.state = MachineState::draining;
    machines_.edit(report.machine_id, report.zone, [record](MachineRecord& now) {
      if (now.machine_id != MachineId{})
        return MachineWriter::EditAction::none;  // it is known by now
      now = record;
      return MachineWriter::EditAction::put;
    });
    flush_soon();
    return;
  }
  const MachineRecord& record = it->second.record;
  if (worker.reclaim_at &&
      (record.state == MachineState::up || record.state == MachineState::silent)) {
    put_machine(report.machine_id, MachineState::draining, "the cloud takes it back");
  } else if (record.state == MachineState::silent && !silent(report.machine_id)) {
    put_machine(report.machine_id, MachineState::up, "reports again");
  }
}

void BlockHolder::flush_soon() {
  // Machines come up in crowds: those of one page are written together.
  if (!flush_timer_.pending()) {
    flush_timer_.start(cache_.write_slack() > kAmpleWriteSlack ? kShortMachineBatchDelay
                                                               : kMachineBatchDelay);
  }
}

void BlockHolder::put_machine(const MachineId& machine_id, MachineState state, const char* why,
                              JobId blamed) {
  const auto it = cache_.records().machines.find(machine_id);
  if (it == cache_.records().machines.end() || it->second.record.state == state ||
      it->second.record.state >= MachineState::deleting || machines_.waits(machine_id)) {
    return;
  }
  const auto worker = workers_.find(machine_id);
  const auto reclaim_at = worker == workers_.end() ? std::nullopt : worker->second.reclaim_at;
  const WallTime now = clock_.wall();
  machines_.edit(
      machine_id, it->second.record.zone,
      [this, machine_id, state, blamed = std::move(blamed), reclaim_at,
       now](MachineRecord& record) {
        if (record.machine_id == MachineId{} || record.state == state ||
            record.state >= MachineState::deleting) {
          return MachineWriter::EditAction::none;
        }
        // Decided some time ago, perhaps: it has been heard of since.
        if (state == MachineState::silent && !silent(machine_id))
          return MachineWriter::EditAction::none;
        record.state = state;
        record.since = now;
        record.blamed = blamed;
        if (reclaim_at) record.reclaim_at = reclaim_at;
        return MachineWriter::EditAction::put;
      },
      // Told once it is so: a holder that is cut off tries this at every sweep.
      [machine_id, state, why] {
        spdlog::info("holder: {} is {}: {}", machine_id.get(), name_of(state), why);
      });
  flush_soon();
}

bool BlockHolder::silent(const MachineId& machine_id) const {
  const auto worker = workers_.find(machine_id);
  if (worker == workers_.end()) return false;
  return worker->second.reachability.commands_unreachable() ||
         clock_.steady() - worker->second.last_report_at >= silence_limit();
}

void BlockHolder::keep_images() {
  // Only quality depends on them: written while there is budget to spare.
  for (auto& [machine_id, worker] : workers_) {
    if (cache_.write_slack() < kAmpleWriteSlack) return;
    if (!worker.images_changed || machines_.waits(machine_id)) continue;
    if (holding(worker.zone) != Holding::held) continue;
    worker.images_changed = false;
    machines_.edit(machine_id, worker.zone, [images = worker.images](MachineRecord& record) {
      if (record.machine_id == MachineId{} || record.state >= MachineState::deleting) {
        return MachineWriter::EditAction::none;
      }
      record.images = images;
      return MachineWriter::EditAction::put;
    });
    flush_soon();
  }
}

void BlockHolder::round() {
  if (!cache_.ready()) return;
  const auto timed = metrics_.time(Duty::holder);
  take_blocks();
  if (tokens_.empty()) {
    // Nothing here is ours to decide; a block that comes brings all its slices.
    dirty_.clear();
    machines_to_command_.clear();
    offers_.clear();
    return;
  }
  retry_offers();
  const SteadyTime until = clock_.steady() + settings_.tuning.round_budget;
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
  if ((more || !machines_to_command_.empty()) && !round_timer_.pending())
    round_timer_.start(kCoalesce);
}

void BlockHolder::give_orders() {
  // A block that comes brings hundreds of machines that must be told at once: first those with
  // work, and not all in one round, or everything else would wait for their connections.
  std::set<MachineId> to_command;
  to_command.swap(machines_to_command_);
  const auto& placed = cache_.records().placed;
  std::size_t left = kMaxWoken;
  for (const bool working : {true, false}) {
    for (const MachineId& machine_id : to_command) {
      if (placed.contains(machine_id) != working) continue;
      if (left == 0) {
        machines_to_command_.insert(machine_id);
        continue;
      }
      if (direct(machine_id)) --left;
    }
  }
}

bool BlockHolder::takes(const MachineId& machine_id, const JobSpec& job,
                        const std::unordered_map<MachineId, Resources>& promised) const {
  const auto& records = cache_.records();
  const auto machine = records.machines.find(machine_id);
  const auto worker = workers_.find(machine_id);
  if (machine == records.machines.end() || worker == workers_.end()) return false;
  if (machine->second.record.state != MachineState::up || worker->second.reclaim_at) return false;
  // Nothing is bound to a machine that has not shown, under this fencing token, that it hears us,
  // nor to one that does not report: its lease lapses.
  if (worker->second.view.session == SessionId{} || silent(machine_id) ||
      !worker->second.reachability.reachable()) {
    return false;
  }
  const MachineType* type = records.type(machine->second.record.machine_type);
  if (type == nullptr) return false;
  PlanMachine rules;
  rules.machine_type = machine->second.record.machine_type;
  rules.zone = machine->second.record.zone;
  rules.spot = machine->second.record.spot;
  rules.resources = type->resources;
  if (!Profile::allowed(job, rules)) return false;
  Resources left = type->resources;
  if (const auto placed = records.placed.find(machine_id); placed != records.placed.end()) {
    for (const auto& [id, attempt] : placed->second) {
      const TaskRecord* task = records.task(id);
      const JobRecord* other = records.job(id.job_id);
      if (task == nullptr || other == nullptr || task->state != TaskState::bound) continue;
      left -= other->spec.need;
    }
  }
  if (const auto more = promised.find(machine_id); more != promised.end()) left -= more->second;
  return fits(job.need, left);
}

std::optional<MachineId> BlockHolder::choose_machine(
    const TaskRecord& task, const JobSpec& job,
    const std::unordered_map<MachineId, Resources>& promised) {
  if (takes(task.machine_id, job, promised)) return task.machine_id;
  // Room that the leader promised to others must stay: only a machine with nothing released on it
  // may stand in for one that has become unfit.
  for (const auto& [machine_id, machine] : cache_.records().machines) {
    if (machine.record.zone != task.zone || cache_.records().placed.contains(machine_id)) continue;
    if (takes(machine_id, job, promised)) return machine_id;
  }
  return std::nullopt;
}

void BlockHolder::bind(const SliceRecord& slice, std::size_t index, TaskRecord& task,
                       const JobSpec& job, std::unordered_map<MachineId, Resources>& promised) {
  const auto machine_id = choose_machine(task, job, promised);
  const WallTime now = clock_.wall();
  if (!machine_id) {
    // The machine that the leader meant may be about to report; its room may be about to show.
    if (now - task.since < Duration{3000}) return;
    spdlog::info("holder: no room for {}/{} on {}: given back", slice.job_id.get(),
                 slice.first_task_index() + index, task.machine_id.get());
    task.state = TaskState::idle;
    task.zone = ZoneId{};
    task.machine_id = MachineId{};
    task.since = now;
    return;
  }
  promised[*machine_id] += job.need;
  task.state = TaskState::bound;
  task.machine_id = *machine_id;
  task.session = workers_.at(*machine_id).view.session;
  task.since = now;
}

void BlockHolder::finish(const TaskId& id, TaskRecord& task, const JobSpec& job,
                         const std::string& cause, bool saved) {
  if (cause == "error" && task.faults == 0) {
    // Mostly the machine is faulty, yet a job with a mistake fails everywhere: the machine takes
    // nothing new until the task's next try elsewhere has told whose fault it was.
    const auto machine = cache_.records().machines.find(task.machine_id);
    const bool again = machine != cache_.records().machines.end() &&
                       machine->second.record.state == MachineState::suspect &&
                       machine->second.record.blamed != id.job_id;
    if (again) {
      put_machine(task.machine_id, MachineState::quarantined, "tasks of two jobs failed on it");
    } else {
      put_machine(task.machine_id, MachineState::suspect, "a task failed on it", id.job_id);
    }
  }
  spdlog::debug("holder: {} try {} on {} ended: {}{}", id.str(), task.attempt.get(),
                task.machine_id.get(), cause, saved ? ", saved" : "");
  apply_end(task, job, cause, saved, clock_.wall());
}

void BlockHolder::judge(const TaskId& id, TaskRecord& task, const JobSpec& job) {
  const auto& records = cache_.records();
  const auto machine = records.machines.find(task.machine_id);
  if (machine != records.machines.end() && machine->second.record.state == MachineState::gone) {
    finish(id, task, job, "machine gone", false);
    return;
  }
  const auto worker = workers_.find(task.machine_id);
  if (worker == workers_.end()) return;
  const WorkerView& view = worker->second.view;
  const bool unwanted = task.stop || cancellations_.cancelled_at(id.job_id);
  switch (examine(id, task, view, token_of(task.zone))) {
    case Finding::ended: {
      const ReportedTask* there = find_reported(view, {id, task.attempt});
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
      if (task.running.ms == 0 &&
          find_reported(view, {id, task.attempt})->status == TaskStatus::running) {
        task.running = clock_.wall();
        const MachineType* type = machine == records.machines.end()
                                      ? nullptr
                                      : records.type(machine->second.record.machine_type);
        if (type != nullptr) {
          Worker& there = worker->second;
          if (there.images.empty()) there.images = machine->second.record.images;
          there.images_changed =
              note_image(there.images, job.image, job.image_gb, type->cache_gb) ||
              there.images_changed;
        }
        spdlog::debug("holder: {} try {} runs on {}", id.str(), task.attempt.get(),
                      task.machine_id.get());
      }
      break;
    case Finding::absent: {
      // A start sent to /orders may still arrive: only a higher fencing token ends that.
      const bool direct = view.direct_starts.contains({id, task.attempt});
      if (unwanted && direct) wants_token_renewal_.insert(task.zone);
      break;
    }
  }
}

bool BlockHolder::accept_offer(const ReleaseOffer& offer) {
  if (!cache_.ready()) return false;
  const SteadyTime now = clock_.steady();
  if (cache_.revision().get() >= offer.revision) return bind_offer(offer, now);
  if (offers_.size() >= kMaxOffers) return false;
  offers_.push_back({offer, now});
  return true;
}

void BlockHolder::retry_offers() {
  std::vector<Kept> kept;
  kept.swap(offers_);
  const SteadyTime now = clock_.steady();
  for (Kept& k : kept) {
    // The leader turns to the ordinary way when this has lasted too long.
    if (now - k.since > kOfferLife) continue;
    if (cache_.revision().get() >= k.offer.revision) {
      bind_offer(k.offer, k.since);
    } else {
      offers_.push_back(std::move(k));
    }
  }
}

bool BlockHolder::bind_offer(const ReleaseOffer& offer, SteadyTime since) {
  const auto& records = cache_.records();
  const SliceKey key{JobId(offer.job_id), offer.slice};
  const auto job = records.jobs.find(key.first);
  const auto* stored = records.slice(key.first, key.second);
  const ModRevision over = stored == nullptr ? ModRevision{} : stored->mod_revision;
  // Whatever this copy lacks or has beyond the leader's, the guards would refuse as well.
  if (!records.leader || records.leader->mod_revision.get() != offer.term ||
      job == records.jobs.end() || cancellations_.cancelled_at(key.first) ||
      over.get() != offer.over || committing_.contains(key) || offer.tasks.empty()) {
    return false;
  }
  const JobSpec& spec = job->second.record.spec;
  if (key.second >= slice_count(spec)) return false;
  SliceRecord slice;
  if (stored != nullptr) {
    slice = stored->record;
  } else {
    slice.job_id = key.first;
    slice.number = key.second;
    slice.tasks.resize(slice_size(spec, key.second));
  }
  std::set<ZoneId> zones;
  std::unordered_map<MachineId, Resources> promised;
  for (const ReleaseOffer::Task& offered : offer.tasks) {
    const ZoneId zone(offered.zone);
    if (offered.index >= slice.tasks.size() || holding(zone) != Holding::held) return false;
    TaskRecord& task = slice.tasks[offered.index];
    if (task.state != TaskState::idle) return false;
    task.state = TaskState::released;
    task.attempt = Attempt(offered.attempt);
    task.zone = zone;
    task.machine_id = MachineId(offered.machine_id);
    task.since = clock_.wall();
    task.running = WallTime{};
    bind(slice, offered.index, task, spec, promised);
    if (task.state != TaskState::bound) return false;
    zones.insert(zone);
  }
  Txn txn;
  txn.guard(keys::kLeader, records.leader->mod_revision);
  for (const ZoneId& zone : zones) {
    txn.guard(keys::block(zone), ModRevision(token_of(zone).get()));
  }
  txn.guard(keys::job(key.first), job->second.mod_revision);
  txn.guard(keys::slice(key.first, key.second), over);
  txn.put(keys::slice(key.first, key.second), encode(slice));
  commit_slice(key, std::move(txn), Kept{offer, since});
  return true;
}

void BlockHolder::commit_slice(const SliceKey& key, Txn txn, std::optional<Kept> offered) {
  committing_.insert(key);
  cache_.commit(RequestPriority::binding, std::move(txn),
                [this, key, offered](const CommitResult& r) {
                  committing_.erase(key);
                  if (offered && r.outcome == Outcome::refused) offers_.push_back(*offered);
                  // Whatever became of it is decided anew from the records; an unknown commit can't
                  // pass twice, since each is guarded by the slice's own revision.
                  dirty_.insert(key);
                  if (!round_timer_.pending())
                    round_timer_.start(r.outcome == Outcome::done ? kCoalesce : Duration{150});
                });
}

bool stop_broken_gang(SliceRecord& slice) {
  const bool broken = std::any_of(slice.tasks.begin(), slice.tasks.end(),
                                  [](const TaskRecord& t) { return t.state == TaskState::idle; });
  bool changed = false;
  for (TaskRecord& task : slice.tasks) {
    if (!broken || !task.placed() || task.stop) continue;
    task.stop = StopOrder{Duration{0}, "its gang lost a task"};
    changed = true;
  }
  return changed;
}

bool BlockHolder::decide_slice(const SliceKey& key) {
  const auto& records = cache_.records();
  const auto* stored = records.slice(key.first, key.second);
  const auto job_entry = records.jobs.find(key.first);
  if (stored == nullptr || job_entry == records.jobs.end()) return false;
  const JobRecord& job = job_entry->second.record;
  const bool cancelled = job.cancelled || cancellations_.cancelled_at(key.first);
  SliceRecord slice = stored->record;
  std::set<ZoneId> zones;
  std::unordered_map<MachineId, Resources> promised;
  bool changed = false;
  Duration patience = kRunningBatchDelay;  // how long the change may wait for others of its slice

  for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
    TaskRecord& task = slice.tasks[i];
    if (!task.placed() || holding(task.zone) != Holding::held) continue;
    const TaskId id{slice.job_id, slice.first_task_index() + static_cast<std::uint32_t>(i)};
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
    if (task.state != before.state || task.running != before.running ||
        task.machine_id != before.machine_id) {
      changed = true;
      zones.insert(zone);
      // A task of an array that ends gives room back, and one that runs tells when it will: both
      // can wait a little for the others of the slice. A binding, a failure or a stop can't.
      const bool ended = before.state == TaskState::bound && task.state == TaskState::done;
      const bool runs = before.state == TaskState::bound && task.state == TaskState::bound;
      if (runs) {
        patience = std::min(patience, kRunningBatchDelay);
      } else if (ended && !job.spec.gang() && !stopped) {
        patience = std::min(patience, kTaskEndBatchDelay);
      } else {
        patience = Duration{0};
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
      patience = Duration{0};
      for (TaskRecord& task : slice.tasks) {
        if (is_done(task)) continue;
        if (task.state == TaskState::bound && !ran) {
          patience = kMachineBatchDelay;  // the others' reports are likely on their way
          continue;
        }
        apply_end(task, job.spec, "done", false, clock_.wall());
        changed = true;
      }
    } else if (stop_broken_gang(slice)) {
      changed = true;
      patience = Duration{0};
    }
  }
  if (!changed) {
    deferred_commits_.erase(key);
    return false;
  }
  if (slice.all_done() || cache_.write_slack() > kAmpleWriteSlack) patience = Duration{0};
  const auto since = deferred_commits_.try_emplace(key, clock_.steady()).first->second;
  if (clock_.steady() - since < patience) return false;  // the sweep looks again
  deferred_commits_.erase(key);
  metrics_.count(patience == Duration{0} ? "slices at once" : "slices gathered");

  Txn txn;
  // A binding of a holder that was replaced, or for a job cancelled meanwhile, must fail.
  for (const ZoneId& zone : zones) {
    txn.guard(keys::block(zone), ModRevision(token_of(zone).get()));
  }
  txn.guard(keys::job(key.first), job_entry->second.mod_revision);
  txn.guard(keys::slice(key.first, key.second), stored->mod_revision);
  const bool whole = slice_count(job.spec) == 1 && slice.all_done();
  if (whole) {
    // A user who was told that the job is cancelled must not hear that it is done, though its tasks
    // ended before they could be stopped.
    const FinalState state = job.cancelled ? FinalState::cancelled : FinalState::done;
    FinalRecord final_record{key.first,    state,         job.spec.task_count,
                             job.accepted, clock_.wall(), {}};
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

std::vector<Order> BlockHolder::orders_for(const MachineId& machine_id, Worker& worker,
                                           bool in_answer) {
  std::vector<Order> out;
  const auto& records = cache_.records();
  const SteadyTime now = clock_.steady();
  const FencingToken current = token_of(worker.zone);
  const WorkerView& view = worker.view;
  // A job may have been cancelled without our knowledge: what runs may go on for a while, but
  // nothing of it may start.
  const bool stale = now - fresh() >= kMaxFreshnessAgeForStart;
  if (const auto placed = records.placed.find(machine_id); placed != records.placed.end()) {
    for (const auto& [id, attempt] : placed->second) {
      const TaskRecord* task = records.task(id);
      const JobRecord* job = records.job(id.job_id);
      if (task == nullptr || job == nullptr || task->state != TaskState::bound) continue;
      const bool cancelled = cancellations_.cancelled_at(id.job_id).has_value();
      if (task->session != view.session || out.size() >= kMaxOrders) continue;
      const ReportedTask* there = find_reported(view, {id, attempt});
      if (cancelled || task->stop) {
        if (there == nullptr || there->status == TaskStatus::ended) continue;
        const Duration grace_period = cancelled ? Duration{0} : task->stop->grace_period;
        if (there->status == TaskStatus::flushing && grace_period > Duration{0}) continue;
        auto& last = worker.kills[{id, attempt}];
        if (!in_answer && now - last < kKillEvery) continue;
        last = now;
        out.push_back({Verb::kill, id, attempt, grace_period});
      } else if (there == nullptr && !stale &&
                 !committing_.contains({id.job_id, id.task_index / kSliceTasks})) {
        const auto direct = view.direct_starts.find({id, attempt});
        if (!in_answer && direct != view.direct_starts.end()) continue;  // once, then by answers
        out.push_back({Verb::start, id, attempt, {}});
      }
    }
  }
  for (const auto& [key, task] : view.tasks) {
    if (out.size() >= kMaxOrders) break;
    const auto& [id, attempt] = key;
    const TaskRecord* record = records.task(id);
    const bool wanted =
        records.jobs.contains(id.job_id) || records.unreadable.contains(keys::job(id.job_id));
    const bool bound_here = wanted && record != nullptr && record->placed() &&
                            record->machine_id == machine_id && record->attempt == attempt;
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
      if (view.start_settled(key, current)) {
        out.push_back({Verb::clear, id, attempt, {}});
      } else if (view.direct_starts.contains(key)) {
        wants_token_renewal_.insert(worker.zone);
      }
    }
  }
  std::erase_if(worker.kills,
                [&](const auto& entry) { return now - entry.second > Duration{60'000}; });
  return out;
}

bool BlockHolder::direct(const MachineId& machine_id) {
  const auto it = workers_.find(machine_id);
  if (it == workers_.end()) return false;
  Worker& worker = it->second;
  if (holding(worker.zone) != Holding::held || worker.direct_busy) return false;
  auto orders = orders_for(machine_id, worker, false);
  const SteadyTime now = clock_.steady();
  // A `kill` is right however old our word of the state service is: a start is not sent then.
  const bool probe = worker.reachability.probe_due(now) && now - fresh() < answer_limit();
  if (orders.empty() && !probe) return false;
  worker.reachability.probe_sent(now);
  send_direct(machine_id, worker, std::move(orders));
  return true;
}

void BlockHolder::send_direct(const MachineId& machine_id, Worker& worker,
                              std::vector<Order> orders) {
  const FencingToken token = token_of(worker.zone);
  for (const Order& order : orders) {
    if (order.verb == Verb::start) {
      worker.view.direct_starts[{order.id, order.attempt}] = token;
      worker.reachability.start_sent({order.id, order.attempt}, clock_.steady(), false);
    }
  }
  worker.direct_busy = true;
  orders_.send(worker.view.address, write_direct(token, worker.view.session, orders),
               [this, machine_id, token](const HttpReply& reply) {
                 const auto it = workers_.find(machine_id);
                 if (it == workers_.end()) return;
                 it->second.direct_busy = false;
                 if (reply.status == 200) it->second.reachability.command_answered(token);
                 if (reply.status == 200 || reply.status == 409) {
                   const auto report = parse_report(reply.body);
                   if (report && holding(it->second.zone) == Holding::held) {
                     // The answer of 409 tells the session; then the order can be given.
                     if (it->second.view.session == SessionId{})
                       machines_to_command_.insert(machine_id);
                     it->second.reachability.probe_at_once();
                     apply_report(it->second, *report, WorkerView::Source::order);
                     note_machine(*report, it->second);
                   }
                 }
                 if (reply.status == 200) machines_to_command_.insert(machine_id);
                 if (reply.status != 0 && !round_timer_.pending()) round_timer_.start(kCoalesce);
               });
}

void BlockHolder::discount_pause(SteadyTime now) {
  // A process that stood still while the clocks ran on has heard nobody meanwhile, through no fault
  // of the machines: that time does not count as their silence, nor as starts that don't show. The
  // same goes for time without word of the state service: the block may have another holder by
  // then, to which they report.
  Duration pause = now - last_sweep_ - kSweep;
  const bool first = last_sweep_.ms < 0;
  last_sweep_ = now;
  if (first) return;
  // A zone that comes into reach is met machine by machine: the first must not make the rest
  // silent.
  std::set<ZoneId> still_unreachable = unreachable_zones();
  for (auto& [machine_id, worker] : workers_) {
    if (unreachable_zones_.contains(worker.zone) && !still_unreachable.contains(worker.zone)) {
      may_report(machine_id, worker, now);
    }
  }
  unreachable_zones_ = std::move(still_unreachable);
  if (now - cache_.fresh_until() >= silence_limit()) {
    pause = silence_limit();
  } else if (pause < kMinProcessPause) {
    return;
  } else {
    spdlog::info("holder: stood still for {} ms", pause.ms);
  }
  for (auto& [machine_id, worker] : workers_) {
    worker.last_report_at = std::min(now, worker.last_report_at + pause);
    worker.reachability.discount_pause(now, pause);
  }
}

void BlockHolder::sweep() {
  sweep_timer_.start(kSweep);
  if (!cache_.ready()) return;
  const auto timed = metrics_.time(Duty::holder);
  const auto& records = cache_.records();
  const SteadyTime now = clock_.steady();
  discount_pause(now);
  for (const ZoneId& zone : wants_token_renewal_) {
    if (holding(zone) != Holding::held) continue;
    auto& last = token_renewed_[zone];
    if (now - last < kRenewEvery) continue;
    last = now;
    renew_token(zone);
  }
  std::erase_if(wants_token_renewal_, [&](const ZoneId& zone) {
    return token_renewed_.contains(zone) && token_renewed_[zone] == now;
  });

  if (tokens_.empty()) return;

  // Machines that have stopped reporting. When none of a block reports, the fault may be ours.
  const Duration silence = silence_limit();
  std::map<ZoneId, std::pair<int, int>> heard;  // of all, how many lately
  for (const auto& [machine_id, machine] : records.machines) {
    const auto worker = workers_.find(machine_id);
    if (worker == workers_.end() || holding(machine.record.zone) != Holding::held) continue;
    auto& [all, lately] = heard[machine.record.zone];
    ++all;
    if (now - worker->second.last_report_at < silence) ++lately;
  }
  for (const auto& [machine_id, machine] : records.machines) {
    if (machine.record.state != MachineState::up &&
        machine.record.state != MachineState::draining) {
      continue;
    }
    const auto worker = workers_.find(machine_id);
    if (worker == workers_.end() || holding(machine.record.zone) != Holding::held) continue;
    if (now - worker->second.last_report_at < silence || heard[machine.record.zone].second == 0)
      continue;
    put_machine(machine_id, MachineState::silent, "does not report");
  }
  std::erase_if(workers_, [&](const auto& entry) {
    const auto machine = records.machines.find(entry.first);
    const bool gone = machine == records.machines.end()
                          ? now - entry.second.last_report_at > Duration{30'000}
                          : machine->second.record.state == MachineState::gone;
    return gone && !entry.second.direct_busy;
  });
  for (auto& [machine_id, worker] : workers_) {
    if (!worker.reachability.reachable()) machines_to_command_.insert(machine_id);
    check_reports_reachable(machine_id, worker);
    check_commands_reachable(machine_id, worker);
  }
  keep_images();
  if (!flush_timer_.pending()) machines_.flush();
  for (const auto& [key, since] : deferred_commits_) dirty_.insert(key);
  for (const auto& [machine_id, placed] : records.placed) {
    for (const auto& [id, attempt] : placed) {
      const TaskRecord* task = records.task(id);
      if (task != nullptr && (task->stop || task->state == TaskState::released)) {
        dirty_.insert({id.job_id, id.task_index / kSliceTasks});
        machines_to_command_.insert(machine_id);
      }
      const JobRecord* job = records.job(id.job_id);
      if (job != nullptr && cancellations_.cancelled_at(id.job_id))
        machines_to_command_.insert(machine_id);
    }
  }
  if (!round_timer_.pending()) round_timer_.start(kCoalesce);
}

}  // namespace marblevale
