#include "leader/leader_loop.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "leader/limit_waits.hpp"
#include "scheduling/job_queue.hpp"
#include "scheduling/machine_evacuation.hpp"
#include "scheduling/preemption.hpp"

namespace marblevale {

namespace {

constexpr Duration kReconcileInterval{500};
constexpr Duration kRoundCoalesceInterval{15};  // what changes within this is planned together
constexpr Duration kPreemptionInterval{400};
constexpr Duration kForcedPreemptionInterval{2'000};
constexpr std::size_t kMaxPreemptingJobs = 6;  // jobs for which room is sought in one round
constexpr Duration kPreemptionBudget{60};      // after which no further job is tried in it
constexpr Duration kCoalesce{5};
constexpr Duration kSummaryEvery{10'000};
constexpr Duration kPreemptionRetryInterval{12'000};  // between two displacements for one job
constexpr Duration kMinWaitForPreemption{3'000};
constexpr Duration kUnreachableZoneMaxAge{
    4'000};  // of a holder's word that it reaches no machine of a zone
constexpr Duration kProfileRebuildInterval{60'000};  // between two makings of the profile
constexpr Duration kLimitCheckInterval{2'000};
constexpr Duration kUnsettledFor{5'000};   // after which it is told as a reason for waiting
constexpr std::size_t kMaxLimitWaits = 8;  // jobs that are told so at a time

/// Time to save, unless saving takes longer than the work that is lost on average by not saving.
Duration preemption_grace_period(const JobSpec& job) {
  const Duration saving = job.save_time + Duration{2'000};
  return job.checkpoint_interval > Duration{0} && scaled(job.checkpoint_interval, 0.5) <= saving
             ? Duration{0}
             : saving;
}

}  // namespace

LeaderLoop::LeaderLoop(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
                       Election& election, Autoscaler& autoscaler)
    : metrics_(loop.metrics()),
      clock_(clock),
      settings_(settings),
      cache_(cache),
      election_(election),
      autoscaler_(autoscaler),
      grants_(clock, cache, election),
      cleanup_(clock, settings, cache, election, autoscaler),
      provisioning_requests_(loop.metrics(), clock, settings, autoscaler),
      releaser_(loop.metrics(), clock, settings, cache, election,
                {.answered = [this] { schedule_round(); },
                 .limit_exceeded = [this] { rebuild_profile(); }}),
      starvation_(clock, settings, cache, releaser_),
      timer_(loop, [this] { round(); }) {
  cache_.listen(
      [this](RecordKind topic, const std::string& key) { on_record_changed(topic, key); });
}

void LeaderLoop::on_record_changed(RecordKind topic, const std::string& key) {
  // A term begins with all records: to remember changes before it would only take memory.
  if (state_ != State::leading) {
    schedule_round();
    return;
  }
  switch (topic) {
    case RecordKind::slice: {
      const auto slash = key.find('/');
      touch_slice({JobId(key.substr(0, slash)),
                   static_cast<std::uint32_t>(std::stoul(key.substr(slash + 1)))});
      break;
    }
    case RecordKind::job:
      for (auto it = cache_.records().slices.lower_bound({JobId(key), 0});
           it != cache_.records().slices.end() && it->first.job_id.get() == key; ++it) {
        touch_slice(it->first);
      }
      break;
    case RecordKind::machine:
      occupancy_.touch_machine(MachineId(key));
      break;
    case RecordKind::types:
      reset_occupancy();
      break;
    case RecordKind::leader:
    case RecordKind::provisioning_request:
      break;
    default:
      return;
  }
  schedule_round();
}

void LeaderLoop::touch_slice(const SliceKey& key) {
  occupancy_.touch_slice(key);
  releaser_.touch(key);
}

void LeaderLoop::begin() {
  timer_.start(kReconcileInterval);
  timer_due_ = clock_.steady() + kReconcileInterval;
}

void LeaderLoop::schedule_round() {
  if (!election_.is_established_leader()) return;
  // Rounds take at most about a third of the processor's share.
  const Duration since = clock_.steady() - round_over_;
  const Duration pause =
      std::max(kCoalesce, std::max(kRoundCoalesceInterval, round_took_ * 2) - since);
  if (timer_.pending() && timer_due_ <= clock_.steady() + pause) return;
  timer_due_ = clock_.steady() + pause;
  timer_.start(pause);
}

void LeaderLoop::transition(State next) {
  if (next == state_) return;
  spdlog::info("granting: {}", next == State::leading ? "leading" : "idle");
  state_ = next;
}

void LeaderLoop::reset_occupancy() {
  occupancy_.reset();
  failed_starts_.clear();
}

void LeaderLoop::begin_term() {
  transition(State::leading);
  term_ = election_.term();
  grants_.begin_term();
  releaser_.begin_term();
  reservations_.clear();
  limit_noted_.clear();
  cleanup_.begin_term();
  preempted_room_.clear();
  starvation_.begin_term();
  cursor_ = 0;
  reset_occupancy();
  // The stored guarantees are taken as they are; places are found again at those times.
  for (const auto& [job_id, stored] : cache_.records().guarantee_records) {
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

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-size)
void LeaderLoop::round() {
  timer_.start(kReconcileInterval);
  timer_due_ = clock_.steady() + kReconcileInterval;
  if (!election_.is_established_leader()) {
    transition(State::idle);
    return;
  }
  // The term goes on: what is on its way under it still counts.
  if (!election_.holds_fresh_lease()) return;
  const auto timed = metrics_.time(Duty::round);
  const SteadyTime begin = clock_.steady();
  if (state_ != State::leading || term_ != election_.term()) begin_term();
  if (!cache_.records().types) return;  // nothing is known of what machines there are

  releaser_.pursue();
  cleanup_.run();
  evacuate();
  const Occupancy::Slices ahead = releaser_.open().slices();
  const WallTime now = clock_.wall();
  occupancy_.set_unreachable_zones(unreachable_zones(), cache_.records());
  {
    const auto sync_timed = metrics_.time(Duty::profile_sync);
    occupancy_.sync(cache_.records(), settings_.teams, ahead, autoscaler_.booting(), now);
  }
  auto queue = current_queue(now);
  std::unordered_set<JobId> queued;
  for (const QueueItem& item : queue) queued.insert(item.job_id);
  releaser_.keep_only(queued);
  std::erase_if(limit_noted_, [&](const JobId& job_id) { return !queued.contains(job_id); });
  std::erase_if(reservations_, [&](const auto& entry) {
    if (queued.contains(entry.first)) return false;
    occupancy_.profile().release(owner_of(entry.first));
    return true;
  });
  std::erase_if(failed_starts_, [&](const auto& entry) { return !queued.contains(entry.first); });
  Planner planner(std::move(occupancy_.profile()), std::move(queue), reservations_, failed_starts_,
                  now, [this, begin](double share) {
                    return clock_.steady() - begin > scaled(settings_.tuning.round_budget, share);
                  });
  restore(planner, begin);
  const bool admitted = admit(planner);
  // What was started is taken out of the queue by the next round, which sees it as placed.
  const auto starts = compress(planner);
  releaser_.release_all(starts, planner);
  // Best when nothing more could start; a busy leader, whose rounds always start something or end
  // early, looks all the same now and then.
  const bool quiet = starts.empty() && admitted && cursor_ == 0;
  if (quiet || begin - last_preempted_ > kForcedPreemptionInterval) preempt(planner);
  if (clock_.steady() - last_summary_ >= kSummaryEvery) summarize(planner);
  if (provisioning_requests_.due()) provisioning_requests_.plan(planner, reservations_);
  if (clock_.steady() - last_limit_check_ >= kLimitCheckInterval) note_limit_waits(planner);
  grants_.flush(reservations_);
  if (starvation_.due()) check_starvation(planner);
  occupancy_.profile() = planner.take_profile();
  // How often the budget ends before the queue does.
  if (!admitted || cursor_ != 0) metrics_.count("rounds cut short");
  round_over_ = clock_.steady();
  round_took_ = round_over_ - begin;
  if (!admitted || cursor_ != 0) schedule_round();
}

std::vector<QueueItem> LeaderLoop::current_queue(WallTime now) {
  const auto timed = metrics_.time(Duty::queue);
  return build_queue(
      cache_.records(), settings_,
      [this](const JobId& job_id, std::uint32_t number) {
        return releaser_.current(job_id, number);
      },
      now, releaser_.short_of_writes());
}

void LeaderLoop::restore(Planner& planner, SteadyTime begin) {
  const auto timed = metrics_.time(Duty::restore);
  Pins pins;
  for (const auto& [job_id, made] : preempted_room_) {
    if (begin - made.at < kPreemptionRetryInterval) pins.emplace(job_id, made.machine_ids);
  }
  for (const Moved& moved : planner.restore(pins)) {
    grants_.note(moved.job_id,
                 "start moved " + std::to_string(whole_seconds(moved.to - moved.from)) +
                     " s later: tasks before it overran, a machine was lost or out of reach, "
                     "or room was made there for a job that goes first");
  }
}

bool LeaderLoop::admit(Planner& planner) {
  const auto timed = metrics_.time(Duty::arrivals);
  return planner.admit_arrivals();
}

std::vector<Start> LeaderLoop::compress(Planner& planner) {
  const auto timed = metrics_.time(Duty::compress);
  return planner.compress(cursor_);
}

void LeaderLoop::note_unreachable_zones(const NodeId& holder, std::set<ZoneId> zones) {
  unreachable_reports_[holder] = {std::move(zones), clock_.steady()};
}

std::set<ZoneId> LeaderLoop::unreachable_zones() const {
  // Nothing could be bound there: jobs would be released there and given back, again and again.
  std::set<ZoneId> out;
  for (const auto& [zone, shard] : cache_.records().shards) {
    const auto said = unreachable_reports_.find(shard.record.holder);
    if (said == unreachable_reports_.end() ||
        clock_.steady() - said->second.second > kUnreachableZoneMaxAge)
      continue;
    if (said->second.first.contains(zone)) out.insert(zone);
  }
  return out;
}

void LeaderLoop::evacuate() {
  for (const auto& entry : find_evacuations(cache_.records(), clock_.wall())) {
    const JobId& job_id = entry.first;
    const Evacuation& evacuation = entry.second;
    bool stopped = false;
    for (const auto& [number, indices] : evacuation.tasks) {
      const auto leaves = [&, &chosen = indices](std::size_t index, TaskRecord& task) {
        if (!chosen.contains(index)) return false;
        task.stop = StopOrder{evacuation.grace_period, evacuation.reason};
        return true;
      };
      stopped = releaser_.stop_tasks({job_id, number}, leaves) || stopped;
    }
    // Once for each stop: a note at every round would push out the others.
    if (stopped)
      grants_.note(job_id, std::string("stopped to go on elsewhere: ") + evacuation.reason);
  }
}

void LeaderLoop::preempt(const Planner& planner) {
  const SteadyTime now = clock_.steady();
  // To look through all that runs takes long in a large cluster: at most a tenth of the time.
  if (now - last_preempted_ < std::max(kPreemptionInterval, preempt_took_ * 10)) return;
  const auto timed = metrics_.time(Duty::preempt);
  last_preempted_ = now;
  const auto guaranteed = guaranteed_jobs(cache_.records(), settings_);
  const WallTime wall = clock_.wall();
  std::size_t tried = 0;
  std::set<JobId> waiting;
  for (const QueueItem& item : planner.queue()) waiting.insert(item.job_id);
  // Room that is being made for one job is not another's: without this, all the others would wait
  // for it, and a burst of urgent jobs would get its room one job after the other.
  std::set<MachineId> others;
  for (const auto& [job_id, made] : preempted_room_) {
    if (now - made.at < kPreemptionRetryInterval && waiting.contains(job_id)) {
      others.insert(made.machine_ids.begin(), made.machine_ids.end());
    }
  }
  for (const QueueItem& item : planner.queue()) {
    const auto r = reservations_.find(item.job_id);
    if (r == reservations_.end() || item.not_before > wall) continue;
    if (r->second.start - wall < kMinWaitForPreemption) continue;
    if (!item.guaranteed && item.demand.job->urgency == Urgency::low) continue;
    // Submitted with a mistake, it seems: nothing is stopped so that it can fail once more.
    if (item.failing) continue;
    const auto last = preempted_room_.find(item.job_id);
    if (last != preempted_room_.end() && now - last->second.at < kPreemptionRetryInterval) continue;
    if (++tried > kMaxPreemptingJobs || clock_.steady() - now > kPreemptionBudget) break;
    const auto machine_ids = preempt_for(item, guaranteed, planner.profile(), others);
    if (machine_ids.empty()) continue;
    preempted_room_[item.job_id] = {now, machine_ids};
    others.insert(machine_ids.begin(), machine_ids.end());
  }
  preempt_took_ = clock_.steady() - now;
  std::erase_if(preempted_room_,
                [&](const auto& entry) { return now - entry.second.at > Duration{60'000}; });
}

std::vector<MachineId> LeaderLoop::preempt_for(const QueueItem& item,
                                               const std::unordered_set<JobId>& guaranteed,
                                               const Profile& profile,
                                               const std::set<MachineId>& others) {
  const auto& records = cache_.records();
  const JobSpec& spec = *item.demand.job;
  const auto resources =
      select_victims(item, guaranteed, records, settings_, profile, clock_.wall(), others);
  if (!resources) return {};
  std::map<SliceKey, std::set<std::size_t>> by_slice;
  for (const TaskId& id : resources->victims) {
    by_slice[{id.job_id, id.task_index / kSliceTasks}].insert(id.task_index % kSliceTasks);
  }
  for (const auto& [key, indices] : by_slice) {
    if (releaser_.open().contains(key)) return {};
  }
  const std::string reason =
      "displaced for " + spec.job_id.get() +
      (item.guaranteed ? " (guarantee)" : " (" + std::string(name_of(spec.urgency)) + ")");
  for (const auto& entry : by_slice) {
    const SliceKey& key = entry.first;
    const auto& indices = entry.second;
    const Duration grace_period = preemption_grace_period(records.job(key.job_id)->spec);
    releaser_.stop_tasks(key, [&](std::size_t i, TaskRecord& task) {
      if (!indices.contains(i)) return false;
      task.stop = StopOrder{grace_period, reason};
      return true;
    });
    grants_.note(key.job_id, reason);
  }
  spdlog::info("granting: {} tasks displaced for {}", resources->victims.size(), spec.job_id.get());
  return resources->machine_ids;
}

void LeaderLoop::summarize(const Planner& planner) {
  last_summary_ = clock_.steady();
  const WallTime now = clock_.wall();
  Resources whole{};
  Resources free{};
  std::size_t up = 0;
  for (std::size_t i = 0; i < planner.profile().machines().size(); ++i) {
    if (planner.profile().machines()[i].ready > now) continue;  // coming, or gone from the profile
    ++up;
    whole += planner.profile().timeline(i).whole();
    free += planner.profile().timeline(i).free(now, now + Duration{1});
  }
  std::size_t waiting = 0;
  for (const QueueItem& item : planner.queue()) waiting += item.demand.tasks;
  spdlog::info(
      "granting: {} machines up, {} coming; {:.0f} of {:.0f} GPUs free; {} jobs, {} tasks wait; "
      "{} releases open",
      up, planner.profile().count() - up, free.gpus, whole.gpus, planner.queue().size(), waiting,
      releaser_.open().size());
}

void LeaderLoop::check_starvation(const Planner& planner) {
  // One of a single slice is ended by the commit that ends its last task; whatever kept that from
  // happening, it must not stay for ever.
  cleanup_.end_all_finished();
  if (starvation_.run(planner, reservations_, unreachable_zones())) rebuild_profile();
}

void LeaderLoop::rebuild_profile() {
  // It has gone wrong and is made anew from the records. Guarantees stay.
  const SteadyTime now = clock_.steady();
  if (now - last_profile_rebuild_ < kProfileRebuildInterval) return;
  last_profile_rebuild_ = now;
  metrics_.count("profile made anew");
  reset_occupancy();
  schedule_round();
}

void LeaderLoop::note_limit_waits(const Planner& planner) {
  last_limit_check_ = clock_.steady();
  const auto unsettled = releaser_.open().unsettled_for(kUnsettledFor, last_limit_check_);
  const auto waits = find_limit_waits(planner.queue(), settings_, cache_.records(),
                                      releaser_.usage(), unsettled, kMaxLimitWaits);
  for (const LimitWait& wait : waits) {
    if (!limit_noted_.insert(wait.job_id).second) continue;
    grants_.note(wait.job_id, "waits for its team's limit: a release of " + wait.unsettled.get() +
                                  " has no answer yet, and counts until it is settled");
  }
}

}  // namespace marblevale
