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
#include "planner/occupancy.hpp"
#include "planner/planner.hpp"
#include "planner/stranded.hpp"
#include "store/mirror.hpp"

namespace marblevale {

class Granting {
 public:
  Granting(Loop& loop, const Clock& clock, const Settings& settings, Mirror& mirror,
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
    Stamp over;  // the slice as it was
    Steady at;
  };
  struct Pending {
    SliceRecord slice;
    std::optional<Revision> until;  // kept until the mirror has this
    std::optional<Steady> retry;    // it was refused: kept until then
    bool offered = false;           // a holder may bind it: kept until its slice has changed
    Stamp over;                     // the slice as it was then
  };

  void transition(State next);
  void wake();
  void round();
  void take_over();
  void noticed(Topic topic, const std::string& key);
  void housekeep();
  [[nodiscard]] std::set<ZoneId> dark_zones() const;
  /// Moves the job to its final record if it is over.
  void end_job(const Uid& uid);
  /// True when tasks are stopped that were not being stopped before.
  bool stop_tasks(const SliceKey& key, const std::function<bool(std::size_t, TaskRecord&)>& stop);
  void drain();
  [[nodiscard]] const SliceRecord* current(const Uid& uid, std::uint32_t number) const;
  bool worth_releasing(const Start& start, Steady now);
  [[nodiscard]] Start of_one_zone(const Start& start, const Planner& planner) const;
  [[nodiscard]] std::vector<Start> by_slice(const Start& start) const;
  void release(const Start& start, const Planner& planner);
  [[nodiscard]] std::optional<NodeId> one_holder(const Start& start, const Planner& planner) const;
  void offer(const NodeId& holder, Offered offered, const Start& start);
  void pursue_offers();
  void commit_slices(Txn txn, std::vector<SliceRecord> slices);
  void displace(const Planner& planner);
  /// Stops tasks so that the job can start; the machines on which that made room.
  std::vector<HostId> make_room(const QueueItem& item, const std::unordered_set<Uid>& guaranteed,
                                const Profile& profile, const std::set<HostId>& others);
  void summarize(const Planner& planner);
  void want_machines(const Planner& planner);
  void look_for_stranded(const Planner& planner);
  struct Cause {
    std::string what;
    bool profile_is_wrong = false;  // what is said is no reason by the records
  };
  [[nodiscard]] Cause why_stranded(const Stranded& job, const Planner& planner) const;

  Meter& meter_;
  const Clock& clock_;
  const Settings& settings_;
  Mirror& mirror_;
  Election& election_;
  Fleet& fleet_;
  GrantWriter grants_;
  State state_ = State::idle;
  Stamp term_;
  Reservations reservations_;
  std::size_t cursor_ = 0;
  std::map<SliceKey, Pending> pending_;
  std::vector<std::pair<Txn, std::vector<SliceRecord>>> unknown_;  // commits without an answer
  std::map<SliceKey, Offered> offered_;
  OfferChannel* channel_ = nullptr;
  std::map<NodeId, std::pair<std::set<ZoneId>, Steady>> out_of_reach_;  // and when that was said
  std::set<Uid> ending_;
  struct MadeRoom {
    Steady at;
    std::vector<HostId> hosts;
  };
  std::unordered_map<Uid, MadeRoom> made_room_;
  std::map<HostId, Wall> stray_since_;
  std::unordered_map<Uid, Steady> last_release_;  // of arrays that still wait
  bool sweeping_ = false;
  Occupancy occupancy_;
  Span displace_took_{};
  Span want_took_{};
  Steady last_displaced_{-1'000'000};
  Steady timer_due_{};
  Steady round_over_{};
  Span round_took_{};
  Steady last_want_{-1'000'000};
  Steady last_summary_{-1'000'000};
  struct StrandedSince {
    Steady first;
    Steady told;
  };
  std::map<Uid, StrandedSince> stranded_;
  Steady last_stranded_{};
  Steady last_remade_{-1'000'000};
  Timer timer_;
};

}  // namespace marblevale
