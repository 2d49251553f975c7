// The leader's granting: builds the profile from the records, runs the planner's rounds, commits
// guarantees and releases, and stops tasks for a recorded reason.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "autoscaler/autoscaler.hpp"
#include "config/settings.hpp"
#include "election/election.hpp"
#include "leader/guarantee_writer.hpp"
#include "leader/job_cleanup.hpp"
#include "leader/releaser.hpp"
#include "leader/scale_out_planner.hpp"
#include "leader/starvation_check.hpp"
#include "scheduling/occupancy.hpp"
#include "scheduling/planner.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

class LeaderLoop {
 public:
  LeaderLoop(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
             Election& election, Autoscaler& autoscaler);

  void begin();
  /// Releases go to holders by this as well; without it they are committed first.
  void release_through(OfferChannel& channel) { releaser_.release_through(channel); }
  /// What a controller says of the zones that it holds: in these it reaches no machine.
  void note_unreachable_zones(const NodeId& holder, std::set<ZoneId> zones);

 private:
  enum class State { idle, leading };

  void transition(State next);
  void schedule_round();
  void round();
  [[nodiscard]] std::vector<QueueItem> current_queue(WallTime now);
  /// The steps of a round, each timed by itself.
  void restore(Planner& planner, SteadyTime begin);
  bool admit(Planner& planner);
  std::vector<Start> compress(Planner& planner);
  void begin_term();
  /// The profile is made anew from the records at the next round.
  void reset_occupancy();
  void on_record_changed(RecordKind topic, const std::string& key);
  void touch_slice(const SliceKey& key);
  [[nodiscard]] std::set<ZoneId> unreachable_zones() const;
  /// Stops tasks on machines that are about to go.
  void evacuate();
  void preempt(const Planner& planner);
  /// Stops tasks so that the job can start; the machines on which that made room.
  std::vector<MachineId> preempt_for(const QueueItem& item,
                                     const std::unordered_set<JobId>& guaranteed,
                                     const Profile& profile, const std::set<MachineId>& others);
  void summarize(const Planner& planner);
  void check_starvation(const Planner& planner);
  /// Notes for whom an unsettled release is the reason for waiting.
  void note_limit_waits(const Planner& planner);
  /// The profile disagrees with the records: it is made anew, at most once a minute.
  void rebuild_profile();

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  Autoscaler& autoscaler_;
  GuaranteeWriter grants_;
  JobCleanup cleanup_;
  ScaleOutPlanner provisioning_requests_;
  Releaser releaser_;
  StarvationCheck starvation_;
  State state_ = State::idle;
  ModRevision term_;
  Reservations reservations_;
  FailedStarts failed_starts_;
  std::size_t cursor_ = 0;
  std::map<NodeId, std::pair<std::set<ZoneId>, SteadyTime>>
      unreachable_reports_;  // and when that was said
  struct PreemptedRoom {
    SteadyTime at;
    std::vector<MachineId> machine_ids;
  };
  std::unordered_map<JobId, PreemptedRoom> preempted_room_;
  Occupancy occupancy_;
  Duration preempt_took_{};
  SteadyTime last_preempted_ = kLongAgo;
  SteadyTime timer_due_{};
  SteadyTime round_over_{};
  Duration round_took_{};
  SteadyTime last_summary_ = kLongAgo;
  SteadyTime last_profile_rebuild_ = kLongAgo;
  SteadyTime last_limit_check_{};
  std::unordered_set<JobId> limit_noted_;  // jobs that wait and have the note already
  Timer timer_;
};

}  // namespace marblevale
