// The profile: for every machine and team, what is taken from when to when. Pure: no clock, no
// sockets. Times are points of the time of day. It is kept up from change to change, so machines
// stand in groups of one kind, and each owner's places are known.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/amounts.hpp"
#include "core/strong.hpp"
#include "core/time.hpp"
#include "wire/job_spec.hpp"

namespace marblevale {

using Owner = Strong<struct OwnerTag, std::uint64_t>;

/// Room that is taken for a while. What runs now has begun at time 0.
struct Allocation {
  WallTime from;
  WallTime to;
  Resources resources;
  Owner owner;
};

/// One machine, or one team's limit, over time: a function of steps, so that a question walks over
/// the steps that it touches, once.
class Lane {
 public:
  explicit Lane(Resources whole) : whole_(whole) {}
  void take(const Allocation& allocation);
  void release(Owner owner);
  [[nodiscard]] const Resources& whole() const { return whole_; }
  [[nodiscard]] const std::vector<Allocation>& allocations() const { return allocations_; }
  /// The least that is free at any moment of [from, to).
  [[nodiscard]] Resources free(WallTime from, WallTime to) const;
  [[nodiscard]] bool takes(const Resources& need, WallTime from, WallTime to) const;
  /// The first moment from `from` on at which `need` fits for `run`.
  [[nodiscard]] std::optional<WallTime> next(const Resources& need, WallTime from,
                                             Duration run) const;
  /// True when what the owner has taken fits along with all else.
  [[nodiscard]] bool intact(Owner owner) const;
  /// The first moment after `at` at which something changes.
  [[nodiscard]] std::optional<WallTime> change_after(WallTime at) const;
  /// Quick and certain: what runs at `at` leaves no room for `need`, whatever is reserved.
  [[nodiscard]] bool surely_full(const Resources& need, WallTime at) const {
    return at < running_until_ && !fits(need, whole_ - running_);
  }
  /// What runs now.
  [[nodiscard]] const Resources& running() const { return running_; }

 private:
  /// What is used from `from` to the next step.
  struct Step {
    WallTime from;
    Resources used;
  };
  void add(const Allocation& allocation, double sign);
  std::size_t cut_at(WallTime at);
  [[nodiscard]] std::size_t step_at(WallTime at) const;

  Resources whole_;
  std::vector<Allocation> allocations_;
  std::vector<Step> steps_;  // by time; before the first and after the last nothing is used
  Resources total_{};        // of all that is taken, at whatever time
  Resources running_{};      // of what has begun
  WallTime running_until_;   // when the first of that ends; 0: nothing has begun
};

struct PlanMachine {
  MachineId machine_id;
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  WallTime ready;    // when it can take tasks
  double price = 0;  // per hour, as it is charged
  double pull_gb_per_s = 0;
  Resources resources;
  std::set<ImageId> images;
  std::size_t fetching = 0;  // images on their way there: a further one shares the rate
};

/// What is asked of the profile: tasks of one job that are still to be placed.
struct Demand {
  const JobSpec* job = nullptr;
  std::uint32_t tasks = 1;
  Duration run;                 // estimated run time of each
  std::vector<MachineId> only;  // if given: no other machines
  std::optional<ZoneId> zone;   // where the job's other tasks are, if `together`
  std::optional<ZoneId> lean;   // where to go among equals: one zone costs fewer writes
  std::vector<std::pair<ZoneId, std::uint32_t>> elsewhere;  // placed tasks per zone, for `spread`
};

struct Placement {
  std::size_t machine = 0;
  WallTime start;
  WallTime end;
};

struct Plan {
  std::vector<Placement> placements;  // one per task
  [[nodiscard]] WallTime first_start() const;
  [[nodiscard]] WallTime start() const;  // when all tasks have started
  [[nodiscard]] WallTime end() const;
};

class Profile {
 public:
  std::size_t add_machine(PlanMachine machine);
  /// Its lane and all that was taken there; its index may be used again.
  void remove_machine(std::size_t machine);
  void set_team(const TeamId& team, Resources limit);
  /// What may change of a machine while it is in the profile.
  void update_machine(std::size_t machine, WallTime ready, std::set<ImageId> images,
                      std::size_t fetching);

  /// All that ever were, by index; those that are gone have an empty name.
  [[nodiscard]] const std::vector<PlanMachine>& machines() const { return machines_; }
  [[nodiscard]] std::size_t count() const { return index_.size(); }
  [[nodiscard]] std::optional<std::size_t> find(const MachineId& machine_id) const;
  [[nodiscard]] const Lane& lane(std::size_t machine) const { return lanes_[machine]; }
  [[nodiscard]] const Lane* team(const TeamId& team) const;

  void take(std::size_t machine, const TeamId& team, const Allocation& allocation);
  /// On a machine outside the profile: only the team's limit is touched.
  void take_team(const TeamId& team, const Allocation& allocation);
  void take(const Plan& plan, const JobSpec& job, Owner owner);
  void release(Owner owner);
  /// Of all that have room there for later.
  void release_reservations_on(std::size_t machine);

  /// True when the owner has taken room, and nowhere is more taken during that time than there is.
  [[nodiscard]] bool intact(Owner owner) const;
  /// True when the plan still fits as it is.
  [[nodiscard]] bool holds(const Plan& plan, const JobSpec& job) const;
  /// All tasks at exactly `at`: for gangs, or to ask whether a slice can start whole.
  [[nodiscard]] std::optional<Plan> fit_at(const Demand& demand, WallTime at) const;
  /// As many tasks of an array as can start at `at`.
  [[nodiscard]] Plan fit_some(const Demand& demand, WallTime at) const;
  /// The earliest plan from `from` on; nothing when no machine of the profile can ever take it.
  [[nodiscard]] std::optional<Plan> earliest(const Demand& demand, WallTime from) const;
  /// False: what runs leaves too little room for the demand at `at` whatever is reserved. Quick.
  [[nodiscard]] bool room_beside_running(const Demand& demand, WallTime at) const;

  /// True when the job's rules allow the machine.
  [[nodiscard]] static bool allowed(const JobSpec& job, const PlanMachine& machine);
  [[nodiscard]] Duration fetch_time(const JobSpec& job, const PlanMachine& machine) const;
  /// Lanes looked at so far: the cost of planning in steps.
  [[nodiscard]] std::uint64_t looked() const { return looked_; }

 private:
  struct Trial;
  struct Group {
    PlanMachine kind;  // build, zone, spot and room of its members
    std::vector<std::size_t> members;
  };
  template <typename Each>
  void each_allowed(const Demand& demand, const std::optional<ZoneId>& zone, Each each) const;
  std::optional<Plan> place_in(const Demand& demand, WallTime at, const std::optional<ZoneId>& zone,
                               bool partly, Duration least_run) const;
  std::optional<Plan> gang_in(const Demand& demand, WallTime from,
                              const std::optional<ZoneId>& zone) const;
  std::optional<Plan> array_in(const Demand& demand, WallTime from,
                               const std::optional<ZoneId>& zone) const;
  [[nodiscard]] double score(const Demand& demand, std::size_t machine, Duration fetch,
                             const Resources& free) const;
  void break_owners_on(std::size_t machine);
  [[nodiscard]] double price_weight(double share, const PlanMachine& machine) const;
  [[nodiscard]] std::vector<ZoneId> zones() const;
  [[nodiscard]] double plan_cost(const Demand& demand, const Plan& plan, const ZoneId& zone) const;

  std::vector<PlanMachine> machines_;
  std::vector<std::uint64_t> salts_;  // decide between equals, by machine and job together
  std::vector<Lane> lanes_;
  std::vector<std::size_t> unused_;
  std::vector<Group> groups_;
  std::unordered_map<MachineId, std::size_t> index_;
  double dearest_ = 0;
  std::vector<std::pair<TeamId, Lane>> teams_;
  std::unordered_map<Owner, std::vector<std::size_t>> owners_;  // lanes where it has taken room
  std::unordered_map<Owner, std::size_t> team_of_;
  std::unordered_set<Owner> broken_;  // a machine that they counted on is gone, or comes later
  mutable std::uint64_t looked_ = 0;
};

}  // namespace marblevale
