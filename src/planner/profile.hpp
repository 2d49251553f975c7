// The profile: for every machine and team, what is taken from when to when. Pure: no clock, no
// sockets. Times are points of the time of day.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/amounts.hpp"
#include "core/strong.hpp"
#include "core/time.hpp"
#include "wire/job_spec.hpp"

namespace marblevale {

using Owner = Strong<struct OwnerTag, std::uint64_t>;

/// Room that is taken for a while.
struct Taken {
  Wall from;
  Wall to;
  Room room;
  Owner owner;
};

/// One machine, or one team's limit, over time.
class Lane {
 public:
  explicit Lane(Room whole) : whole_(whole) {}
  void take(const Taken& taken) { taken_.push_back(taken); }
  void release(Owner owner);
  [[nodiscard]] const Room& whole() const { return whole_; }
  [[nodiscard]] const std::vector<Taken>& taken() const { return taken_; }
  /// The most that is free during all of [from, to).
  [[nodiscard]] Room free(Wall from, Wall to) const;

 private:
  Room whole_;
  std::vector<Taken> taken_;
};

struct PlanMachine {
  HostId host;
  std::string build;
  ZoneId zone;
  bool spot = false;
  Wall ready;        // when it can take tasks
  double price = 0;  // per hour, as it is charged
  double pull_gb_per_s = 0;
  Room room;
  std::set<ImageId> images;
  std::size_t fetching = 0;  // images on their way there: a further one shares the rate
};

/// What is asked of the profile: tasks of one job that are still to be placed.
struct Demand {
  const JobSpec* job = nullptr;
  std::uint32_t tasks = 1;
  Span run;                    // estimated run time of each
  std::vector<HostId> only;    // if given: no other machines
  std::optional<ZoneId> zone;  // where the job's other tasks are, if `together`
  std::vector<std::pair<ZoneId, std::uint32_t>> elsewhere;  // placed tasks per zone, for `spread`
};

struct Spot {
  std::size_t machine = 0;
  Wall start;
  Wall end;
};

struct Plan {
  std::vector<Spot> spots;  // one per task
  [[nodiscard]] Wall first_start() const;
  [[nodiscard]] Wall start() const;  // when all tasks have started
  [[nodiscard]] Wall end() const;
};

class Profile {
 public:
  std::size_t add_machine(PlanMachine machine);
  void set_team(const TeamId& team, Room limit);

  [[nodiscard]] const std::vector<PlanMachine>& machines() const { return *machines_; }
  [[nodiscard]] const Lane& lane(std::size_t machine) const { return lanes_[machine]; }
  [[nodiscard]] const Lane* team(const TeamId& team) const;

  void take(std::size_t machine, const TeamId& team, const Taken& taken);
  /// On a machine outside the profile: only the team's limit is touched.
  void take_team(const TeamId& team, const Taken& taken);
  void take(const Plan& plan, const JobSpec& job, Owner owner);
  void release(Owner owner);

  /// True when the plan still fits as it is.
  [[nodiscard]] bool holds(const Plan& plan, const JobSpec& job) const;
  /// All tasks at exactly `at`: for gangs, or to ask whether a slice can start whole.
  [[nodiscard]] std::optional<Plan> fit_at(const Demand& demand, Wall at) const;
  /// As many tasks of an array as can start at `at`.
  [[nodiscard]] Plan fit_some(const Demand& demand, Wall at) const;
  /// The earliest plan from `from` on; nothing when no machine of the profile can ever take it.
  [[nodiscard]] std::optional<Plan> earliest(const Demand& demand, Wall from) const;

  /// True when the job's rules allow the machine.
  [[nodiscard]] static bool allowed(const JobSpec& job, const PlanMachine& machine);
  [[nodiscard]] Span fetch_time(const JobSpec& job, const PlanMachine& machine) const;

 private:
  struct Trial;
  std::optional<Plan> place_in(const Demand& demand, Wall at, std::optional<ZoneId> zone,
                               bool partly) const;
  std::vector<Wall> moments(Wall from) const;
  [[nodiscard]] double price_weight(double share, const PlanMachine& machine) const;

  // Shared between copies of the profile: only what is taken differs between them.
  std::shared_ptr<std::vector<PlanMachine>> machines_ =
      std::make_shared<std::vector<PlanMachine>>();
  std::vector<Lane> lanes_;
  double dearest_ = 0;
  std::vector<std::pair<TeamId, Lane>> teams_;
};

}  // namespace marblevale
