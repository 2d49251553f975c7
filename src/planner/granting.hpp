// The leader's granting: builds the profile from the records, runs the planner's rounds, commits
// guarantees and releases, and stops tasks for a recorded reason.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "app/settings.hpp"
#include "election/election.hpp"
#include "fleet/fleet.hpp"
#include "planner/grant_writer.hpp"
#include "planner/job_cleanup.hpp"
#include "planner/occupancy.hpp"
#include "planner/planner.hpp"
#include "planner/releaser.hpp"
#include "planner/rental_planner.hpp"
#include "planner/starvation_check.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

class Granting {
 public:
  Granting(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
           Election& election, Fleet& fleet);

  void begin();
  /// Releases go to holders by this as well; without it they are committed first.
  void release_through(OfferChannel& channel) { releaser_.release_through(channel); }
  /// What a controller says of the zones that it holds: in these it reaches no machine.
  void out_of_reach(const NodeId& holder, std::set<ZoneId> zones);

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
  void take_over();
  /// The profile is made anew from the records at the next round.
  void reset_occupancy();
  void on_record_changed(RecordKind topic, const std::string& key);
  void touch_slice(const SliceKey& key);
  [[nodiscard]] std::set<ZoneId> unreachable_zones() const;
  /// Stops tasks on machines that are about to go.
  void evacuate();
  void displace(const Planner& planner);
  /// Stops tasks so that the job can start; the machines on which that made room.
  std::vector<MachineId> make_room(const QueueItem& item,
                                   const std::unordered_set<JobId>& guaranteed,
                                   const Profile& profile, const std::set<MachineId>& others);
  void summarize(const Planner& planner);
  void check_starvation(const Planner& planner);
  /// Notes for whom an unsettled release is the reason for waiting.
  void note_limit_waits(const Planner& planner);
  /// The profile disagrees with the records: it is made anew, at most once a minute.
  void remake_profile();

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  Fleet& fleet_;
  GrantWriter grants_;
  JobCleanup cleanup_;
  RentalPlanner rentals_;
  Releaser releaser_;
  StarvationCheck starvation_;
  State state_ = State::idle;
  ModRevision term_;
  Reservations reservations_;
  FailedStarts failed_starts_;
  std::size_t cursor_ = 0;
  std::map<NodeId, std::pair<std::set<ZoneId>, SteadyTime>>
      out_of_reach_;  // and when that was said
  struct MadeRoom {
    SteadyTime at;
    std::vector<MachineId> machine_ids;
  };
  std::unordered_map<JobId, MadeRoom> made_room_;
  Occupancy occupancy_;
  Duration displace_took_{};
  SteadyTime last_displaced_{-1'000'000};
  SteadyTime timer_due_{};
  SteadyTime round_over_{};
  Duration round_took_{};
  SteadyTime last_summary_{-1'000'000};
  SteadyTime last_remade_{-1'000'000};
  SteadyTime last_limit_check_{};
  std::unordered_set<JobId> limit_noted_;  // jobs that wait and have the note already
  Timer timer_;
};

}  // namespace marblevale
