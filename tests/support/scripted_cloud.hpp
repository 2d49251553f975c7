// A cloud provider whose answers a test scripts.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "autoscaler/cloud_client.hpp"

namespace marblevale::testing {

/// Records the requests and answers them at once. While `hold_provisioning` is set, provisioning
/// requests are answered by `answer_provisioning` instead. The cloud provisions machines only if
/// `has_capacity` is set.
class ScriptedCloud : public Cloud {
 public:
  void list_machine_types(
      std::function<void(std::optional<std::vector<MachineType>>)> then) override {
    then(machine_types);
  }
  void list_machines(const std::optional<MachineId>&,
                     std::function<void(std::optional<MachineList>)> then) override {
    then(machine_list);
  }
  void provision(const ProvisioningRequest& request,
                 std::function<void(ProvisioningResult)> then) override {
    provisioning_requests.push_back(request.name);
    requested_zones.push_back(request.zone);
    std::vector<MachineId>& machine_ids = provisioned_machines[request.name];
    while (has_capacity && machine_ids.size() < request.machine_count) {
      machine_ids.emplace_back("vm-" + request.name + "-" + std::to_string(machine_ids.size()));
    }
    const ProvisioningOutcome outcome =
        machine_ids.empty() ? ProvisioningOutcome::no_capacity : ProvisioningOutcome::provisioned;
    held_provisioning.emplace_back([then = std::move(then), outcome, machine_ids] {
      then({outcome, machine_ids});
    });
    if (!hold_provisioning) answer_provisioning();
  }
  void delete_machines(const std::vector<MachineId>& machine_ids,
                       std::function<void(DeletionOutcome)> then) override {
    deletion_requests.insert(deletion_requests.end(), machine_ids.begin(), machine_ids.end());
    then(confirms_deletions ? DeletionOutcome::deleted : DeletionOutcome::unknown);
  }
  /// Answers all held provisioning requests.
  void answer_provisioning() {
    while (!held_provisioning.empty()) {
      const auto next = std::move(held_provisioning.front());
      held_provisioning.pop_front();
      next();
    }
  }
  std::vector<std::string> provisioning_requests;  // their names
  std::vector<ZoneId> requested_zones;             // of the provisioning requests
  bool has_capacity = false;
  std::map<std::string, std::vector<MachineId>> provisioned_machines;  // by the name of the request
  bool hold_provisioning = false;
  std::deque<std::function<void()>> held_provisioning;
  std::vector<MachineId> deletion_requests;  // one entry per machine and request
  bool confirms_deletions = true;            // false: the outcome of each deletion is `unknown`
  std::optional<MachineList> machine_list;   // none: requests for the list fail
  std::optional<std::vector<MachineType>> machine_types;  // none: requests for the types fail
};

}  // namespace marblevale::testing
