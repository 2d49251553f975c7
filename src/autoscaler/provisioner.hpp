/// Scale out: provisioning requests for unmet demand.
#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "autoscaler/cloud_client.hpp"
#include "autoscaler/machine_type_catalog.hpp"
#include "election/election.hpp"
#include "scheduling/occupancy.hpp"
#include "scheduling/scale_out.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Commits each provisioning request before it is sent to the cloud, and its answer afterwards. The
/// request's name makes it idempotent, so any later leader can repeat one without an answer.
class Provisioner {
 public:
  Provisioner(const Clock& clock, WatchCache& cache, Election& election, Cloud& cloud,
              const MachineTypeCatalog& catalog);

  /// Forgets demand and requests in flight of an earlier term.
  void reset();
  /// The demand that the next `scale_out` is planned for; the jobs are copied, since the records
  /// may change before it.
  void set_demand(std::vector<UnmetDemand> unmet_demands,
                  std::map<TeamId, Resources> team_resources);

  /// Machines that are provisioned and not yet in a record, with their expected boot.
  [[nodiscard]] std::vector<BootingMachine> booting() const;
  /// Machines that are in no record within the boot timeout.
  [[nodiscard]] std::vector<MachineId> overdue_boots() const;

  /// Sends committed requests that have no answer and are not in flight.
  void retry_unanswered();
  /// Plans and commits requests for the demand, which is consumed, unless some have no answer yet.
  void scale_out();
  /// Deletes the records of answered requests that are not needed any more.
  void remove_completed_requests();

 private:
  /// Delays planning with an offering after the cloud had too few machines of it.
  struct CapacityBackoff {
    SteadyTime retry_at;
    Backoff backoff;
  };

  [[nodiscard]] bool available(const MachineOffering& offering) const;
  [[nodiscard]] bool any_unanswered() const;
  [[nodiscard]] std::map<ZoneId, std::uint32_t> machines_by_zone() const;
  [[nodiscard]] std::vector<ProvisioningRequest> plan_requests();
  void commit_request(const ProvisioningRequest& request);
  void send(const ProvisioningRequest& request, ModRevision mod_revision);
  void handle_result(const ProvisioningRequest& request, ModRevision mod_revision,
                     ProvisioningResult result);
  void update_capacity_backoff(const ProvisioningRequest& request, std::size_t provisioned);
  void commit_answer(const ProvisioningRequest& request, ModRevision mod_revision,
                     std::vector<MachineId> machine_ids);

  const Clock& clock_;
  WatchCache& cache_;
  Election& election_;
  Cloud& cloud_;
  const MachineTypeCatalog& catalog_;
  std::mt19937_64 random_;
  std::uint64_t last_serial_ = 0;    // in the names of this process's requests
  std::set<std::string> in_flight_;  // requests whose commit or answer is awaited
  std::map<MachineOffering, CapacityBackoff> capacity_backoffs_;
  std::vector<UnmetDemand> unmet_demands_;  // their jobs are in `unmet_jobs_`
  std::map<JobId, JobSpec> unmet_jobs_;
  std::map<TeamId, Resources> team_resources_;
};

}  // namespace marblevale
