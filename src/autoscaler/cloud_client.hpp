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

/// `provisioned`: the cloud has created machines. `no_capacity`: the cloud has refused the request.
/// `unknown`: the request may have been executed. It can be sent again, because requests are
/// idempotent by name.
enum class ProvisioningOutcome { provisioned, no_capacity, unknown };

struct ProvisioningResult {
  ProvisioningOutcome outcome = ProvisioningOutcome::unknown;
  std::vector<MachineId> machine_ids;  // fewer than requested when the capacity is short
};

/// `deleted`: the machines no longer exist, which is evidence that their tasks have ended.
/// `unknown`: the machines may still exist, so the deletion has to be sent again.
enum class DeletionOutcome { deleted, unknown };

/// The cloud provider's operations that the autoscaler uses; an interface so that tests can script
/// the answers. Each call invokes `then` once, with an empty optional if the cloud sent no usable
/// answer.
class Cloud {
 public:
  virtual ~Cloud() = default;
  virtual void list_machine_types(
      std::function<void(std::optional<std::vector<MachineType>>)> then) = 0;
  /// Reads one page of the machine list, which is ordered by machine id. `after`: the last machine
  /// of the previous page; empty for the first page.
  virtual void list_machines(const std::optional<MachineId>& after,
                             std::function<void(std::optional<MachineList>)> then) = 0;
  virtual void provision(const ProvisioningRequest& request,
                         std::function<void(ProvisioningResult)> then) = 0;
  /// Idempotent: the cloud ignores machines that it does not know.
  virtual void delete_machines(const std::vector<MachineId>& machine_ids,
                               std::function<void(DeletionOutcome)> then) = 0;
};

/// HTTP client of the cloud. It sends requests at no more than its share of the published rate,
/// queues the others, and gives each a deadline. A request that finds the queue full is answered at
/// once as if the cloud had sent no usable answer.
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
  Timer budget_timer_;  // pending while queued requests wait for the request budget
};

}  // namespace marblevale
