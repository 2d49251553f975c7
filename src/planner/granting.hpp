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
#include "peers/offers.hpp"
#include "planner/grant_writer.hpp"
#include "planner/job_cleanup.hpp"
#include "planner/occupancy.hpp"
#include "planner/planner.hpp"
#include "planner/rental_planner.hpp"
#include "planner/starvation.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

class Granting {
 public:
  Granting(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
           Election& election, Fleet& fleet);

  void begin();
  /// Releases go to holders by this as well; without it they are committed first.
  void release_through(OfferChannel& channel) { channel_ = &channel; }
  /// What a controller says of the zones that it holds: in these it reaches no machine.
  void out_of_reach(const NodeId& holder, std::set<ZoneId> zones);

 private:
  enum class State { idle, leading };
  struct Offered {
    Txn release;  // committed when the holder does not bind it in time
    SliceRecord slice;
    ModRevision over;  // the slice as it was
    SteadyTime at;
    NodeId holder;
  };
  struct Pending {
    SliceRecord slice;
    std::optional<Revision> until;    // kept until the cache has this
    std::optional<SteadyTime> retry;  // it was refused: kept until then
    bool offered = false;             // a holder may bind it: kept until its slice has changed
    ModRevision over;                 // the slice as it was then
  };

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
  [[nodiscard]] std::set<ZoneId> unreachable_zones() const;
  /// True when tasks are stopped that were not being stopped before.
  bool stop_tasks(const SliceKey& key, const std::function<bool(std::size_t, TaskRecord&)>& stop);
  void drain();
  [[nodiscard]] const SliceRecord* current(const JobId& job_id, std::uint32_t number) const;
  void release_all(const std::vector<Start>& starts, const Planner& planner, SteadyTime now);
  /// Writes are scarce, here or where the offers that wait are to be bound.
  [[nodiscard]] bool short_of_writes() const;
  [[nodiscard]] std::size_t unsettled_offers(const NodeId& holder) const;
  bool worth_releasing(const Start& start, SteadyTime now);
  [[nodiscard]] Start of_one_zone(const Start& start, const Planner& planner) const;
  [[nodiscard]] std::vector<Start> by_slice(const Start& start) const;
  void release(const Start& start, const Planner& planner);
  [[nodiscard]] std::optional<NodeId> one_holder(const Start& start, const Planner& planner) const;
  void offer(const NodeId& holder, Offered offered, const Start& start);
  void pursue_offers();
  void commit_slices(Txn txn, std::vector<SliceRecord> slices);
  void displace(const Planner& planner);
  /// Stops tasks so that the job can start; the machines on which that made room.
  std::vector<MachineId> make_room(const QueueItem& item,
                                   const std::unordered_set<JobId>& guaranteed,
                                   const Profile& profile, const std::set<MachineId>& others);
  void summarize(const Planner& planner);
  void check_starvation(const Planner& planner);
  struct Cause {
    std::string what;
    bool profile_is_wrong = false;  // what is said is no reason by the records
  };
  [[nodiscard]] Cause explain_starvation(const StarvedJob& job, const Planner& planner) const;

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  Fleet& fleet_;
  GrantWriter grants_;
  JobCleanup cleanup_;
  RentalPlanner rentals_;
  State state_ = State::idle;
  ModRevision term_;
  Reservations reservations_;
  FailedStarts failed_starts_;
  std::size_t cursor_ = 0;
  std::map<SliceKey, Pending> pending_;
  std::vector<std::pair<Txn, std::vector<SliceRecord>>> unknown_;  // commits without an answer
  std::map<SliceKey, Offered> offered_;
  OfferChannel* channel_ = nullptr;
  std::map<NodeId, std::pair<std::set<ZoneId>, SteadyTime>>
      out_of_reach_;  // and when that was said
  struct MadeRoom {
    SteadyTime at;
    std::vector<MachineId> machine_ids;
  };
  std::unordered_map<JobId, MadeRoom> made_room_;
  std::unordered_map<JobId, SteadyTime> last_release_;  // of arrays that still wait
  Occupancy occupancy_;
  Duration displace_took_{};
  SteadyTime last_displaced_{-1'000'000};
  SteadyTime timer_due_{};
  SteadyTime round_over_{};
  Duration round_took_{};
  SteadyTime last_summary_{-1'000'000};
  struct StarvedSince {
    SteadyTime first;
    SteadyTime last_logged_at;
  };
  std::map<JobId, StarvedSince> starved_;
  SteadyTime last_starvation_check_{};
  SteadyTime last_remade_{-1'000'000};
  Timer timer_;
};

}  // namespace marblevale
