/// Scales out: plans provisioning requests for unmet demand and sends them to the cloud. Requests
/// survive a change of the leader, because each is recorded before it is sent.
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

/// Commits each provisioning request before sending it to the cloud, and commits the cloud's answer
/// afterwards. The request's name makes the request idempotent, so a later leader can repeat an
/// unanswered request.
class Provisioner {
 public:
  Provisioner(const Clock& clock, WatchCache& cache, Election& election, Cloud& cloud,
              const MachineTypeCatalog& catalog);

  /// Discards the demand and the requests in flight of an earlier term.
  void reset();
  /// Sets the demand that the next `scale_out` plans for. The jobs are copied, because the records
  /// may change before that call.
  void set_demand(std::vector<UnmetDemand> unmet_demands,
                  std::map<TeamId, Resources> team_resources);

  /// Machines that are provisioned but have no record yet, with the time at which each is expected
  /// to be up.
  [[nodiscard]] std::vector<BootingMachine> booting() const;
  /// Provisioned machines that still have no record after the boot timeout.
  [[nodiscard]] std::vector<MachineId> overdue_boots() const;

  /// Sends the committed requests that are unanswered and not in flight.
  void retry_unanswered();
  /// Plans and commits requests for the demand, then clears the demand. Does nothing while an
  /// earlier request is unanswered or the machine types are unknown.
  void scale_out();
  /// Deletes the records of answered requests once all their machines have records, or after the
  /// retention period.
  void remove_completed_requests();

 private:
  /// Excludes an offering from planning until `retry_at`, after the cloud provisioned fewer
  /// machines of it than requested.
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
  std::uint64_t last_serial_ = 0;    // number in the name of the latest request
  std::set<std::string> in_flight_;  // names of requests that wait for a commit or an answer
  std::map<MachineOffering, CapacityBackoff> capacity_backoffs_;
  std::vector<UnmetDemand> unmet_demands_;  // with pointers into `unmet_jobs_`
  std::map<JobId, JobSpec> unmet_jobs_;
  std::map<TeamId, Resources> team_resources_;
};

}  // namespace marblevale
