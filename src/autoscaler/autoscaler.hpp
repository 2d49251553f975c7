// The leader's duty towards the cloud: machine types, the machine list, renting, and returning
// machines. Deleting a machine is also the proof that its tasks are gone.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

#include "autoscaler/cloud_client.hpp"
#include "config/settings.hpp"
#include "election/election.hpp"
#include "scheduling/occupancy.hpp"
#include "scheduling/scale_out.hpp"
#include "store/machine_writer.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

class Autoscaler {
 public:
  Autoscaler(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
             Election& election, Cloud& cloud);

  void begin();
  /// `overdue`: machines held here on which a cancelled task has been for too long.
  void delete_overdue(std::function<std::vector<MachineId>()> overdue) {
    overdue_ = std::move(overdue);
  }
  [[nodiscard]] std::vector<Booting> booting() const;

  /// What the last round of planning left waiting, and which machines it has a use for.
  void plan(std::vector<UnmetDemand> unmet_demands, std::map<TeamId, Resources> team_resources,
            std::set<MachineId> in_use);
  /// Deletes the machine as soon as can be; the reason is logged and kept in its record's state.
  void request_deletion(const MachineId& machine_id, const char* why);

 private:
  struct Refusal {
    SteadyTime until;
    Backoff backoff;
  };
  struct Listed {
    ListedMachine machine;
    SteadyTime seen;
  };

  void tick();
  void refresh_types();
  void refresh_list();
  void take_list(const MachineList& page, SteadyTime sent, std::set<MachineId> seen, int pages);
  void retry_due_provisioning();
  void retry_due_machines();
  void return_idle();
  /// True for a machine with a replica of a standing job that is not cancelled.
  [[nodiscard]] bool holds_replica(const MachineId& machine_id) const;
  /// How long a silent machine is waited for, when so many are silent.
  [[nodiscard]] Duration patience_with_silent(const MachineId& machine_id,
                                              std::size_t silent) const;
  void judge_suspect(const MachineRecord& machine, const std::set<JobId>& failed_jobs);
  void retry_due_deletions();
  void delete_unrecorded();
  void scale_out();
  void ask(const ProvisioningRequest& provisioning_request, ModRevision mod_revision);
  void forget_old();
  [[nodiscard]] bool available(const MachineOffering& offer) const;
  [[nodiscard]] Duration boot_time(const std::string& machine_type) const;

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  Cloud& cloud_;
  std::mt19937_64 random_;
  std::uint64_t serial_ = 0;
  bool types_asked_ = false;
  bool listing_ = false;
  int list_pages_ = 1;  // of the last whole list
  bool deleting_ = false;
  std::function<std::vector<MachineId>()> overdue_;
  bool deleting_unrecorded_ = false;
  std::set<MachineId> deleted_unrecorded_;  // while the state service does not answer
  SteadyTime types_at_ = kLongAgo;
  SteadyTime list_at_ = kLongAgo;
  SteadyTime charge_since_{};
  ModRevision term_;                    // of the last tick; none: not in charge then
  std::map<MachineId, Listed> listed_;  // until it is sure that they are listed no longer
  SteadyTime last_list_{};              // when the last full list was asked for
  std::set<MachineId> last_seen_;       // what it held
  std::map<MachineOffering, Refusal> refused_;
  std::set<std::string> asking_;
  MachineWriter machines_;
  std::map<MachineId, SteadyTime> idle_since_;
  std::vector<UnmetDemand> unmet_demands_;
  std::map<std::string, JobSpec> unmet_jobs_;
  std::map<TeamId, Resources> team_resources_;
  std::set<MachineId> in_use_;
  Timer tick_timer_;
};

}  // namespace marblevale
