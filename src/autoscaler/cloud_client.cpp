#include "autoscaler/cloud_client.hpp"

namespace marblevale {

namespace {

constexpr Duration kRequestDeadline{4000};
constexpr std::size_t kConnections = 4;
constexpr std::size_t kConnectionQueueLimit = 32;
constexpr std::size_t kQueuedCallsLimit = 64;
constexpr std::size_t kMachinesPerPage = 500;  // the protocol's maximum
constexpr double kRequestRateShare = 0.8;      // of the published rate
constexpr const char* kJson = "application/json";

ProvisioningResult provisioning_result(const HttpReply& reply) {
  if (reply.status == 200) {
    if (auto machine_ids = parse_provisioned_machines(reply.body)) {
      return {ProvisioningOutcome::provisioned, std::move(*machine_ids)};
    }
  }
  const bool refused = reply.status == 400 ||
                       (reply.status == 503 && reply.body.find("no capacity") != std::string::npos);
  return {refused ? ProvisioningOutcome::no_capacity : ProvisioningOutcome::unknown, {}};
}

}  // namespace

CloudClient::CloudClient(Loop& loop, const Clock& clock, const Address& address,
                         double requests_per_second)
    : clock_(clock),
      http_(loop, address, kConnections, kConnectionQueueLimit),
      request_budget_(requests_per_second * kRequestRateShare,
                      requests_per_second * kRequestRateShare),
      budget_timer_(loop, [this] { send_queued(); }) {}

void CloudClient::enqueue(HttpCall call, HttpHandler handler) {
  if (queue_.size() >= kQueuedCallsLimit) {
    handler(HttpReply::never_sent());
    return;
  }
  queue_.push_back({std::move(call), std::move(handler)});
  send_queued();
}

void CloudClient::send_queued() {
  while (!queue_.empty()) {
    const SteadyTime now = clock_.steady();
    if (!request_budget_.take(now, 1)) {
      if (!budget_timer_.pending()) budget_timer_.start(request_budget_.wait(now, 1));
      return;
    }
    QueuedCall next = std::move(queue_.front());
    queue_.pop_front();
    http_.send(std::move(next.call), std::move(next.handler));
  }
}

void CloudClient::list_machine_types(
    std::function<void(std::optional<std::vector<MachineType>>)> then) {
  enqueue({EVHTTP_REQ_GET, "/machine_types", {}, kJson, kRequestDeadline},
          [then = std::move(then)](const HttpReply& reply) {
            json::Document doc;
            if (reply.status != 200 || !json::parse(doc, reply.body)) {
              then(std::nullopt);
              return;
            }
            then(parse_machine_types(doc));
          });
}

void CloudClient::list_machines(const std::optional<MachineId>& after,
                                std::function<void(std::optional<MachineList>)> then) {
  std::string path = "/machines?limit=" + std::to_string(kMachinesPerPage);
  if (after) path += "&after=" + after->get();
  enqueue({EVHTTP_REQ_GET, path, {}, kJson, kRequestDeadline},
          [then = std::move(then)](const HttpReply& reply) {
            then(reply.status == 200 ? parse_machine_list(reply.body) : std::nullopt);
          });
}

void CloudClient::provision(const ProvisioningRequest& request,
                            std::function<void(ProvisioningResult)> then) {
  enqueue({EVHTTP_REQ_POST, "/machines",
           write_provisioning_request(request.name, request.machine_type, request.zone,
                                      request.spot, request.machine_count),
           kJson, kRequestDeadline},
          [then = std::move(then)](const HttpReply& reply) { then(provisioning_result(reply)); });
}

void CloudClient::delete_machines(const std::vector<MachineId>& machine_ids,
                                  std::function<void(DeletionOutcome)> then) {
  enqueue({EVHTTP_REQ_POST, "/machines/delete", write_deletion_request(machine_ids), kJson,
           kRequestDeadline},
          [then = std::move(then)](const HttpReply& reply) {
            then(reply.status == 200 ? DeletionOutcome::deleted : DeletionOutcome::unknown);
          });
}

}  // namespace marblevale
