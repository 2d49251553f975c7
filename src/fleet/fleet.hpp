// The leader's duty towards the cloud: machine types, the machine list, renting, and returning
// machines. Deleting a machine is also the proof that its tasks are gone.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

#include "app/settings.hpp"
#include "election/election.hpp"
#include "fleet/cloud_client.hpp"
#include "fleet/demand.hpp"
#include "planner/occupancy.hpp"
#include "store/machine_writer.hpp"
#include "store/mirror.hpp"

namespace marblevale {

class Fleet {
 public:
  Fleet(Loop& loop, const Clock& clock, const Settings& settings, Mirror& mirror,
        Election& election, Cloud& cloud);

  void begin();
  /// `overdue`: machines held here on which a cancelled task has been for too long.
  void delete_overdue(std::function<std::vector<HostId>()> overdue) {
    overdue_ = std::move(overdue);
  }
  [[nodiscard]] std::vector<Booting> booting() const;

  /// What the last round of planning left waiting, and which machines it has a use for.
  void plan(std::vector<Wanting> wanting, std::map<TeamId, Room> team_room,
            std::set<HostId> in_use);
  /// Deletes the machine as soon as can be; the reason is logged and kept in its record's state.
  void condemn(const HostId& host, const char* why);

 private:
  struct Refusal {
    Steady until;
    Backoff backoff;
  };
  struct Listed {
    ListedMachine machine;
    Steady seen;
  };

  void tick();
  void refresh_types();
  void refresh_list();
  void take_list(const MachineList& page, Steady sent, std::set<HostId> seen, int pages);
  void pursue_hires();
  void pursue_machines();
  void return_idle();
  void judge_suspect(const MachineRecord& machine);
  void pursue_deletions();
  void delete_unrecorded();
  void rent();
  void ask(const HireRecord& hire, Stamp stamp);
  void forget_old();
  [[nodiscard]] bool available(const Offer& offer) const;
  [[nodiscard]] Span boot_time(const std::string& build) const;

  Meter& meter_;
  const Clock& clock_;
  const Settings& settings_;
  Mirror& mirror_;
  Election& election_;
  Cloud& cloud_;
  std::mt19937_64 random_;
  std::uint64_t serial_ = 0;
  bool types_asked_ = false;
  bool listing_ = false;
  int list_pages_ = 1;  // of the last whole list
  bool deleting_ = false;
  std::function<std::vector<HostId>()> overdue_;
  bool deleting_unrecorded_ = false;
  std::set<HostId> deleted_unrecorded_;  // while the state service does not answer
  Steady types_at_{-1'000'000};
  Steady list_at_{-1'000'000};
  Steady charge_since_{};
  Stamp term_;                       // of the last tick; none: not in charge then
  std::map<HostId, Listed> listed_;  // until it is sure that they are listed no longer
  Steady last_list_{};               // when the last full list was asked for
  std::set<HostId> last_seen_;       // what it held
  std::map<Offer, Refusal> refused_;
  std::set<std::string> asking_;
  MachineWriter machines_;
  std::map<HostId, Steady> idle_since_;
  std::vector<Wanting> wanting_;
  std::map<std::string, JobSpec> wanting_jobs_;
  std::map<TeamId, Room> team_room_;
  std::set<HostId> in_use_;
  Timer tick_timer_;
};

}  // namespace marblevale
