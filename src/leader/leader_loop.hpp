/// The leader's reconciliation loop: plans the waiting jobs in rounds and commits what follows.
///
/// A round brings the planning state up to the records, runs the planner, and hands its results to
/// the modules that commit them: starts to `Releaser`, guarantees and notes to `GuaranteeWriter`,
/// unmet demand to `ScaleOutPlanner`. Only an established leader with a fresh lease runs rounds;
/// whatever a round commits is guarded by the leader's term, so that a leader that lost its
/// leadership without knowing it changes nothing.
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
#include "store/watch_cache.hpp"

namespace marblevale {

/// Owns the modules of a round and runs them in their order, each round on the loop's timer.
class LeaderLoop {
 public:
  LeaderLoop(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
             Election& election, Autoscaler& autoscaler);

  /// Starts the timer of the rounds. Rounds do nothing while this controller does not lead.
  void begin();
  /// Has releases offered to shard holders by this channel; without it they are committed by the
  /// leader.
  void offer_releases_through(OfferChannel& channel) { releaser_.offer_through(channel); }
  /// A controller reports the zones in which it reaches no machine; see `UnreachableZones`.
  void note_unreachable_zones(const NodeId& holder, std::set<ZoneId> zones);

 private:
  enum class State { idle, leading };

  void transition(State next);
  void arm_timer(Duration delay);
  /// Runs a round soon, because something has changed that it may use.
  void schedule_round();
  void on_record_changed(RecordKind kind, const std::string& key);
  void mark_slice_dirty(const SliceKey& key);
  void begin_term();
  void rebuild_profile();

  void run_round();
  /// Settles what the records decide and commits what does not depend on the plan.
  void reconcile();
  [[nodiscard]] Planner make_planner(SteadyTime round_begin);
  [[nodiscard]] std::vector<QueueItem> build_current_queue(WallTime now);
  /// Drops what is remembered of jobs that wait no longer.
  void retain_only(const std::unordered_set<JobId>& queued_jobs);
  /// Runs the planner within the round's budget, releases the starts, and preempts where nothing
  /// more could start. False: the budget ended before the queue did.
  bool plan_and_release(Planner& planner, SteadyTime round_begin);
  /// The planner's steps, each timed by itself.
  void restore_reservations(Planner& planner, SteadyTime round_begin);
  bool admit_arrivals(Planner& planner);
  std::vector<Start> compress(Planner& planner);
  /// The parts of a round that have intervals of their own.
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
  State state_ = State::idle;
  ModRevision term_;
  /// Where the planner's compression goes on in the next round; 0: at the queue's front.
  std::size_t compression_cursor_ = 0;
  SteadyTime timer_due_{};
  SteadyTime last_round_end_{};
  Duration last_round_duration_{};
  SteadyTime last_summary_ = kLongAgo;
  Timer timer_;
};

}  // namespace marblevale
