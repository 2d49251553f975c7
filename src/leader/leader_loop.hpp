/// The leader's reconciliation loop: plans the waiting jobs in rounds and commits the results.
///
/// A round updates the planning state from the records, runs the planner, and passes its results to
/// the modules that commit them: starts to `Releaser`, guarantees and notes to `GuaranteeWriter`,
/// unmet demand to `ScaleOutPlanner`. Only an established leader with a fresh lease runs rounds.
/// Every commit is guarded by the leader's term, so a controller that has lost leadership without
/// noticing it changes nothing.
#pragma once

#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "autoscaler/autoscaler.hpp"
#include "config/settings.hpp"
#include "election/election.hpp"
#include "leader/guarantee_writer.hpp"
#include "leader/job_cleanup.hpp"
#include "leader/machine_evacuator.hpp"
#include "leader/planning_state.hpp"
#include "leader/preemptor.hpp"
#include "leader/quota_waits.hpp"
#include "leader/releaser.hpp"
#include "leader/scale_out_planner.hpp"
#include "leader/starvation_check.hpp"
#include "leader/unreachable_zones.hpp"
#include "scheduling/planner.hpp"
#include "scheduling/slice_summary.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// What the leader holds in memory for the jobs that it starts.
struct LeaderHoldings {
  std::size_t open_releases = 0;
  std::size_t releasing_tasks = 0;   // tasks in the slices of open releases
  std::size_t unanswered_steps = 0;  // see `OpenReleaseCounts`
  std::size_t reserved_tasks = 0;    // places in reservations
};

/// Owns the modules of a round and runs them in a fixed order, each round on the loop's timer.
class LeaderLoop {
 public:
  LeaderLoop(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
             Election& election, Autoscaler& autoscaler);

  /// Starts the timer of the rounds. Rounds do nothing while this controller is not the leader.
  void begin();
  /// Offers releases to shard holders through this channel, which must outlive the loop. Without a
  /// channel the leader commits all releases itself.
  void offer_releases_through(OfferChannel& channel) { releaser_.offer_through(channel); }
  /// Records which zones the controller `holder` reports as unreachable. See `UnreachableZones`.
  void note_unreachable_zones(const NodeId& holder, std::set<ZoneId> zones);
  [[nodiscard]] LeaderHoldings held() const;

 private:
  enum class State { idle, leading };

  void transition(State next);
  void arm_timer(Duration delay);
  /// Schedules a round soon, because a change may allow new decisions.
  void schedule_round();
  void on_record_changed(RecordKind kind, const std::string& key);
  void mark_slice_dirty(const SliceKey& key);
  void begin_term();
  void rebuild_profile();

  void run_round();
  /// Settles open releases by the records, and commits changes that do not depend on the plan.
  void reconcile();
  [[nodiscard]] Planner make_planner(SteadyTime round_begin);
  [[nodiscard]] std::vector<QueueItem> build_current_queue(const PendingSlices& pending,
                                                           WallTime now);
  /// Discards the state kept for jobs that are no longer in the queue.
  void retain_only(const std::unordered_set<JobId>& queued_jobs);
  /// Runs the planner within the round's time budget and releases the starts. Preempts when nothing
  /// more can start, or when preemption is overdue. Returns false when the budget ended before the
  /// whole queue was planned.
  bool plan_and_release(Planner& planner, SteadyTime round_begin);
  /// The planner's steps, each with a time measurement of its own.
  void restore_reservations(Planner& planner, SteadyTime round_begin);
  bool admit_arrivals(Planner& planner);
  std::vector<JobStart> compress(Planner& planner);
  /// Runs the steps that have intervals of their own.
  void run_periodic_steps(const Planner& planner);
  void check_starvation(const Planner& planner);

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  Autoscaler& autoscaler_;
  GuaranteeWriter guarantee_writer_;
  JobCleanup cleanup_;
  ScaleOutPlanner scale_out_planner_;
  Releaser releaser_;
  MachineEvacuator evacuator_;
  Preemptor preemptor_;
  QuotaWaitNotes quota_wait_notes_;
  StarvationCheck starvation_;
  UnreachableZones unreachable_zones_;
  PlanningState planning_;
  SliceSummaryCache slice_summaries_;
  State state_ = State::idle;
  ModRevision term_;
  /// Queue position at which compression continues in the next round. 0 is the front of the queue.
  std::size_t compression_cursor_ = 0;
  SteadyTime timer_due_{};
  SteadyTime last_round_end_{};
  Duration last_round_duration_{};
  SteadyTime last_summary_ = kLongAgo;
  Timer timer_;
};

}  // namespace marblevale
