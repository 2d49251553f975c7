/// The cloud provider's API: machine types, the machine list, provisioning and deletion.
/// `Cloud` is the interface that the autoscaler uses; `CloudClient` implements it over HTTP within
/// the published request rate.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/rate_limit.hpp"
#include "protocol/cloud.hpp"
#include "records/records.hpp"

namespace marblevale {

/// `no_capacity`: the cloud has refused the request. `unknown`: it may have been executed; the same
/// request can be repeated, since requests are idempotent by name.
enum class ProvisioningOutcome { provisioned, no_capacity, unknown };

struct ProvisioningResult {
  ProvisioningOutcome outcome = ProvisioningOutcome::unknown;
  std::vector<MachineId> machine_ids;  // fewer than requested when the capacity is short
};

/// `deleted`: the machines do not exist any more, which is evidence that their tasks have ended.
/// `unknown`: nothing is known; the deletion has to be repeated.
enum class DeletionOutcome { deleted, unknown };

/// The cloud provider as the autoscaler uses it, so that tests can script it. Each call invokes
/// `then` once; an empty optional means that there was no usable answer.
class Cloud {
 public:
  virtual ~Cloud() = default;
  virtual void list_machine_types(
      std::function<void(std::optional<std::vector<MachineType>>)> then) = 0;
  /// One page of the machine list, in the order of machine ids; `after` is the last machine of the
  /// page before it.
  virtual void list_machines(const std::optional<MachineId>& after,
                             std::function<void(std::optional<MachineList>)> then) = 0;
  virtual void provision(const ProvisioningRequest& request,
                         std::function<void(ProvisioningResult)> then) = 0;
  /// Machines that the cloud does not know are ignored by it, so a deletion can be repeated.
  virtual void delete_machines(const std::vector<MachineId>& machine_ids,
                               std::function<void(DeletionOutcome)> then) = 0;
};

/// HTTP client of the cloud. It queues requests within its share of the published rate and gives
/// each a deadline; a request that can't be queued is answered as unknown at once.
class CloudClient : public Cloud {
 public:
  CloudClient(Loop& loop, const Clock& clock, const Address& address, double requests_per_second);
  void list_machine_types(
      std::function<void(std::optional<std::vector<MachineType>>)> then) override;
  void list_machines(const std::optional<MachineId>& after,
                     std::function<void(std::optional<MachineList>)> then) override;
  void provision(const ProvisioningRequest& request,
                 std::function<void(ProvisioningResult)> then) override;
  void delete_machines(const std::vector<MachineId>& machine_ids,
                       std::function<void(DeletionOutcome)> then) override;

 private:
  struct QueuedCall {
    HttpCall call;
    HttpHandler handler;
  };

  void enqueue(HttpCall call, HttpHandler handler);
  void send_queued();

  const Clock& clock_;
  HttpClient http_;
  TokenBucket request_budget_;
  std::deque<QueuedCall> queue_;
  Timer budget_timer_;  // pending while the queue waits for the budget
};

}  // namespace marblevale
