#include "leader/leader_loop.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "leader/round_summary.hpp"
#include "scheduling/job_queue.hpp"

namespace marblevale {

namespace {

constexpr Duration kReconcileInterval{500};
/// Changes that arrive within this time after a round are planned together in the next round.
constexpr Duration kChangeCoalesceInterval{15};
constexpr Duration kMinRoundDelay{5};
constexpr Duration kSummaryInterval{10'000};
/// Tasks that start in one round from which on the memory report is informed.
constexpr std::size_t kWideRelease = 4'096;

/// True when the starts have so many tasks that their release may hold much memory.
bool is_wide(const std::vector<JobStart>& starts) {
  std::size_t tasks = 0;
  for (const JobStart& start : starts) tasks += start.task_indices.size();
  return tasks >= kWideRelease;
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
      guarantee_writer_(clock, cache, election),
      cleanup_(clock, settings, cache, election, autoscaler),
      scale_out_planner_(loop.metrics(), clock, settings, autoscaler),
      releaser_(loop.metrics(), clock, settings, cache, election,
                {.change_answered = [this] { schedule_round(); },
                 .quota_exceeded = [this] { rebuild_profile(); }}),
      evacuator_(clock, cache, releaser_, guarantee_writer_),
      preemptor_(loop.metrics(), clock, settings, cache, releaser_, guarantee_writer_),
      quota_wait_notes_(clock, settings, cache, releaser_, guarantee_writer_),
      starvation_(clock, settings, cache, releaser_),
      timer_(loop, [this] { run_round(); }) {
  cache_.listen([this](RecordKind kind, const std::string& key) { on_record_changed(kind, key); });
}

void LeaderLoop::begin() { arm_timer(kReconcileInterval); }

void LeaderLoop::arm_timer(Duration delay) {
  timer_.start(delay);
  timer_due_ = clock_.steady() + delay;
}

void LeaderLoop::schedule_round() {
  if (!election_.is_established_leader()) return;
  // Waiting twice the duration of the last round limits rounds to about a third of the processor
  // time.
  const Duration since_last = clock_.steady() - last_round_end_;
  const Duration delay = std::max(
      kMinRoundDelay, std::max(kChangeCoalesceInterval, last_round_duration_ * 2) - since_last);
  if (timer_.pending() && timer_due_ <= clock_.steady() + delay) return;
  arm_timer(delay);
}

void LeaderLoop::on_record_changed(RecordKind kind, const std::string& key) {
  // A term begins with a read of all records, so changes from before the term need not be
  // remembered.
  if (state_ != State::leading) {
    schedule_round();
    return;
  }
  switch (kind) {
    case RecordKind::slice:
      if (const auto slice = parse_slice_name(key)) mark_slice_dirty(*slice);
      break;
    case RecordKind::job:
      for (auto it = cache_.records().slices.lower_bound({JobId(key), 0});
           it != cache_.records().slices.end() && it->first.job_id.get() == key; ++it) {
        mark_slice_dirty(it->first);
      }
      break;
    case RecordKind::machine:
      planning_.mark_machine_dirty(MachineId(key));
      break;
    case RecordKind::types:
      planning_.reset_profile();
      break;
    case RecordKind::leader:
    case RecordKind::provisioning_request:
      break;
    default:
      return;
  }
  schedule_round();
}

void LeaderLoop::mark_slice_dirty(const SliceKey& key) {
  planning_.mark_slice_dirty(key);
  releaser_.mark_dirty(key);
}

void LeaderLoop::note_unreachable_zones(const NodeId& holder, std::set<ZoneId> zones) {
  unreachable_zones_.report(holder, std::move(zones), clock_.steady());
}

LeaderHoldings LeaderLoop::held() const {
  const OpenReleaseCounts open = releaser_.open_releases().counts();
  return {open.changes, open.tasks, open.unanswered_steps, planning_.reserved_tasks()};
}

void LeaderLoop::transition(State next) {
  if (next == state_) return;
  spdlog::info("leader: state_changed state={}", next == State::leading ? "leading" : "idle");
  state_ = next;
}

void LeaderLoop::begin_term() {
  transition(State::leading);
  term_ = election_.term();
  guarantee_writer_.begin_term();
  releaser_.begin_term();
  quota_wait_notes_.begin_term();
  cleanup_.begin_term();
  preemptor_.begin_term();
  starvation_.begin_term();
  compression_cursor_ = 0;
  slice_summaries_.clear();
  planning_.begin_term(cache_.records());
}

void LeaderLoop::rebuild_profile() {
  if (!planning_.rebuild_profile(clock_.steady())) return;
  metrics_.count("profile made anew");
  schedule_round();
}

void LeaderLoop::run_round() {
  arm_timer(kReconcileInterval);
  if (!election_.is_established_leader()) {
    transition(State::idle);
    return;
  }
  // The term continues while the lease is not fresh, so changes that are in flight under it still
  // count.
  if (!election_.leads_with_fresh_records()) return;
  const auto timed = metrics_.time(Duty::round);
  const SteadyTime begin = clock_.steady();
  if (state_ != State::leading || term_ != election_.term()) begin_term();
  // The capacity of the machines is unknown until the machine types have been read.
  if (!cache_.records().types) return;

  reconcile();
  Planner planner = make_planner(begin);
  const bool complete = plan_and_release(planner, begin);
  run_periodic_steps(planner);
  planning_.take_back(planner);

  if (!complete) metrics_.count("rounds cut short");
  last_round_end_ = clock_.steady();
  last_round_duration_ = last_round_end_ - begin;
  if (!complete) schedule_round();
}

void LeaderLoop::reconcile() {
  releaser_.settle_and_retry_due();
  cleanup_.run();
  evacuator_.run();
}

Planner LeaderLoop::make_planner(SteadyTime round_begin) {
  const PendingSlices pending = releaser_.open_releases().slices();
  const WallTime now = clock_.wall();
  planning_.set_unreachable_zones(unreachable_zones_.current(cache_.records(), clock_.steady()),
                                  cache_.records());
  {
    const auto timed = metrics_.time(Duty::profile_sync);
    planning_.sync(cache_.records(), settings_, pending, autoscaler_.booting(), now);
  }
  std::vector<QueueItem> queue = build_current_queue(pending, now);
  std::unordered_set<JobId> queued_jobs;
  for (const QueueItem& item : queue) queued_jobs.insert(item.job_id);
  retain_only(queued_jobs);
  return planning_.lend_to_planner(std::move(queue), now, [this, round_begin](double share) {
    return clock_.steady() - round_begin > scaled(settings_.tuning.round_budget, share);
  });
}

std::vector<QueueItem> LeaderLoop::build_current_queue(const PendingSlices& pending, WallTime now) {
  const auto timed = metrics_.time(Duty::queue);
  return build_queue(cache_.records(), pending, settings_, now, releaser_.short_of_writes(),
                     &slice_summaries_);
}

void LeaderLoop::retain_only(const std::unordered_set<JobId>& queued_jobs) {
  releaser_.retain_only(queued_jobs);
  quota_wait_notes_.retain_only(queued_jobs);
  planning_.retain_only(queued_jobs);
}

bool LeaderLoop::plan_and_release(Planner& planner, SteadyTime round_begin) {
  restore_reservations(planner, round_begin);
  const bool admitted = admit_arrivals(planner);
  // The queue of this round still contains the jobs that start now. The next round sees them as
  // placed.
  const std::vector<JobStart> starts = compress(planner);
  const bool wide = is_wide(starts);
  if (wide) metrics_.checkpoint("planned");
  releaser_.release_all(starts, planner);
  if (wide) metrics_.checkpoint("released");
  const bool complete = admitted && compression_cursor_ == 0;
  // Preemption makes the best choices when nothing more can start. Under load every round starts
  // jobs or runs out of budget, so an overdue preemption runs in such a round too.
  const bool quiet = starts.empty() && complete;
  if (quiet || preemptor_.overdue(round_begin)) preemptor_.run(planner, planning_.reservations());
  return complete;
}

void LeaderLoop::restore_reservations(Planner& planner, SteadyTime round_begin) {
  const auto timed = metrics_.time(Duty::restore);
  for (const ReservationDelay& delay : planner.restore(preemptor_.pins(round_begin))) {
    guarantee_writer_.note(
        delay.job_id, "start moved " + std::to_string(whole_seconds(delay.to - delay.from)) +
                          " s later: tasks before it overran, a machine was lost or out of reach, "
                          "or room was made there for a job that goes first");
  }
}

bool LeaderLoop::admit_arrivals(Planner& planner) {
  const auto timed = metrics_.time(Duty::arrivals);
  return planner.admit_arrivals();
}

std::vector<JobStart> LeaderLoop::compress(Planner& planner) {
  const auto timed = metrics_.time(Duty::compress);
  return planner.compress(compression_cursor_);
}

void LeaderLoop::run_periodic_steps(const Planner& planner) {
  if (clock_.steady() - last_summary_ >= kSummaryInterval) {
    last_summary_ = clock_.steady();
    log_round_summary(planner, releaser_.open_releases().size(), clock_.wall());
  }
  if (scale_out_planner_.due()) scale_out_planner_.plan(planner, planning_.reservations());
  if (quota_wait_notes_.due()) quota_wait_notes_.run(planner.queue());
  guarantee_writer_.flush(planning_.reservations());
  if (starvation_.due()) check_starvation(planner);
}

void LeaderLoop::check_starvation(const Planner& planner) {
  // The holder of a one-slice job ends the job in the commit that ends its last task. This call
  // ends such jobs when the holder did not, for whatever reason.
  cleanup_.end_all_finished();
  const bool profile_is_wrong =
      starvation_.run(planner, planning_.reservations(),
                      unreachable_zones_.current(cache_.records(), clock_.steady()));
  if (profile_is_wrong) rebuild_profile();
}

}  // namespace marblevale
