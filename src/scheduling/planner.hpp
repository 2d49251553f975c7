// Delayed Compression: reservations for every job, the arrival step and compression. A pure
// function of profile, queue and time; a round has a budget and goes on where the last stopped.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduling/profile.hpp"

namespace marblevale {

/// A job's place in the compression queue.
struct QueueItem {
  JobId job_id;
  Owner owner;
  Demand demand;
  std::vector<std::uint32_t> task_indices;  // the tasks to be placed, as many as demand.tasks
  bool guaranteed = false;                  // within its team's guarantee
  WallTime accepted;
  WallTime not_before;             // after a fault: when it may be tried again
  std::optional<WallTime> target;  // the next start time that meets an objective of its class
  bool objectives_missed = false;  // it has objectives, and all their start times have passed
  bool overdue = false;            // it has never begun, and has waited for too long
  bool of_guaranteed_team = true;  // its team has a guarantee, whether it fits into it or not
  bool failing = false;            // it failed again and again, and has worked nowhere
};

/// Urgency (what is overdue counts as standard at the least), then work within its team's
/// guarantee, then what is overdue, by acceptance, then work of teams that have a guarantee, then
/// the nearest start that still meets an objective, then Shortest Job First, then acceptance.
bool has_higher_priority(const QueueItem& a, const QueueItem& b);

/// A job's reservation: machines are named, since the profile is built anew for each round.
struct Reservation {
  struct Place {
    MachineId machine_id;
    WallTime start;
    WallTime end;
  };
  std::vector<Place> places;  // empty: no machine can take the job yet
  WallTime granted_start;     // at arrival; never moved later by an arrival
  WallTime start;
  WallTime end;
  bool changed = true;                    // not yet in the state service
  std::optional<WallTime> last_recorded;  // when it was last written there
};

using Reservations = std::unordered_map<JobId, Reservation>;

/// A try to begin that found no place. The next rounds need not try again until something has
/// opened that the job could use: trying would fail as before.
struct FailedStart {
  Profile::Version version;  // of the profile that had no place
  WallTime at;
  std::uint32_t tasks = 0;
  Duration run{};
  std::optional<ZoneId> zone;
  bool at_team_limit = false;  // the limit left too little, whatever the machines had
};
using FailedStarts = std::unordered_map<JobId, FailedStart>;

/// Machines on which room was made for a job by stopping others: its reservation is on just these,
/// or what was stopped for it would be taken piece by piece by smaller jobs.
using PinnedMachines = std::unordered_map<JobId, std::vector<MachineId>>;

struct Start {
  JobId job_id;
  Plan plan;  // spots for the first plan.spots.size() of the item's parts
  std::vector<std::uint32_t> task_indices;  // as many as spots
};

struct ReservationDelay {
  JobId job_id;
  WallTime from;
  WallTime to;
};

/// A waiting job and the plan that it would get; no plan: no machine can take it.
struct ForecastEntry {
  const QueueItem* item = nullptr;
  std::optional<Plan> plan;
};

class Planner {
 public:
  /// `spent` tells whether this share of the round's budget is used up.
  /// `failed` is kept from round to round, as the reservations are; it belongs to this profile.
  Planner(Profile profile, std::vector<QueueItem> queue, Reservations& reservations,
          FailedStarts& failed, WallTime now, std::function<bool(double)> spent);

  /// Puts the reservations into the profile, those for which room was made first. One that no
  /// longer holds (a task overran, a machine was lost) is placed again, and reported if that makes
  /// it later. What the budget leaves keeps its place and is looked at by the next round.
  std::vector<ReservationDelay> restore(const PinnedMachines& pins = {});

  /// The arrival step for jobs without a reservation (the paper's 2.2). False: budget used up.
  bool admit_arrivals();

  /// Starts what can run now, by priority, going back to the queue's front after each move (2.1,
  /// 2.2). `cursor` is where the last round stopped; it is 0 when the round is complete.
  std::vector<Start> compress(std::size_t& cursor);

  /// What the queue's first `max_jobs` jobs would get if all were placed anew, by priority. Nothing
  /// is changed by asking.
  [[nodiscard]] std::vector<ForecastEntry> forecast(std::size_t max_jobs) const;

  /// Ends the round: the profile with the reservations, for the next one.
  Profile take_profile();

  [[nodiscard]] const Profile& profile() const { return profile_; }
  [[nodiscard]] const std::vector<QueueItem>& queue() const { return queue_; }

 private:
  [[nodiscard]] Plan plan_of(const Reservation& r) const;
  /// The plan fits into the profile, and its zones go together with those of the job's tasks that
  /// are placed already.
  [[nodiscard]] bool still_fits(const Plan& plan, const Demand& demand) const;
  [[nodiscard]] bool satisfies_zone_constraints(const Reservation& r, const Demand& demand) const;
  void reserve(const QueueItem& item, const Plan& plan);
  void reapply_reservation(const QueueItem& item);
  /// Keeps a reservation that broke, or places it again, where that moves nobody else and makes it
  /// hardly later. False: all that was granted a later start has to make way first.
  bool repair(const QueueItem& item, std::vector<ReservationDelay>& moved);
  void shift_to_now(Plan& plan) const;
  /// `move_others`: those of higher priority that could be delayed are tried at an earlier place.
  void admit(const QueueItem& item, bool move_others);
  void reserve_unplaced(const QueueItem& item);
  [[nodiscard]] std::optional<Plan> start_now(const QueueItem& item) const;
  /// A standing job never fits before reservations, as it has no end. It starts all the same where
  /// nothing runs, if only reservations of lower urgency are in its way: these are placed again.
  std::optional<Plan> displace_reservations(const QueueItem& item);
  /// Those in the queue, other than `except`, that have a place on one of the plan's machines.
  [[nodiscard]] std::vector<const QueueItem*> reserved_on(const Plan& plan,
                                                          const JobId& except) const;
  /// True when trying would fail as it did before.
  [[nodiscard]] bool would_fail_again(const QueueItem& item) const;
  void note_failed_start(const QueueItem& item);
  void begin_now(QueueItem& item, const Plan& plan);
  void reserve_remaining_tasks(const QueueItem& item);
  [[nodiscard]] bool could_start_on(const QueueItem& item,
                                    const std::vector<std::size_t>& timelines) const;

  Profile profile_;
  std::vector<QueueItem> queue_;
  Reservations& reservations_;
  FailedStarts& failed_starts_;
  WallTime now_;
  std::function<bool(double)> spent_;
  std::vector<Owner> started_;
};

}  // namespace marblevale
