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

/// Answers at once, or when the test lets it; records what it was asked for. Without capacity
/// unless `scales_out` is set.
class ScriptedCloud : public Cloud {
 public:
  void list_machine_types(
      std::function<void(std::optional<std::vector<MachineType>>)> then) override {
    then(machine_types);
  }
  void list_machines(const std::optional<MachineId>&,
                     std::function<void(std::optional<MachineList>)> then) override {
    then(listing);
  }
  void provision(const ProvisioningRequest& request,
                 std::function<void(ProvisioningResult)> then) override {
    provisioning_requests.push_back(request.name);
    provisioned_in.push_back(request.zone);
    std::vector<MachineId>& machine_ids = provisioned[request.name];
    while (scales_out && machine_ids.size() < request.how_many) {
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
    removed.insert(removed.end(), machine_ids.begin(), machine_ids.end());
    then(removes ? DeletionOutcome::deleted : DeletionOutcome::unknown);
  }
  void answer_provisioning() {
    while (!held_provisioning.empty()) {
      const auto next = std::move(held_provisioning.front());
      held_provisioning.pop_front();
      next();
    }
  }
  std::vector<std::string> provisioning_requests;
  std::vector<ZoneId> provisioned_in;
  bool scales_out = false;
  std::map<std::string, std::vector<MachineId>> provisioned;  // by the request's name
  bool hold_provisioning = false;
  std::deque<std::function<void()>> held_provisioning;
  std::vector<MachineId> removed;
  bool removes = true;
  std::optional<MachineList> listing;                     // none: no answer
  std::optional<std::vector<MachineType>> machine_types;  // none: no answer
};

}  // namespace marblevale::testing
