#include "autoscaler/cloud_client.hpp"

namespace marblevale {

namespace {
constexpr Duration kDeadline{4000};
constexpr std::size_t kQueueLimit = 64;
constexpr std::size_t kPage = 500;  // the most that the cloud gives
constexpr double kShare = 0.8;
}  // namespace

CloudClient::CloudClient(Loop& loop, const Clock& clock, const Address& at, double rps)
    : clock_(clock),
      http_(loop, at, 4, 32),
      budget_(rps * kShare, rps * kShare),
      pump_timer_(loop, [this] { pump(); }) {}

void CloudClient::send(HttpCall call, HttpHandler then) {
  if (queue_.size() >= kQueueLimit) {
    then({0, true, {}});
    return;
  }
  queue_.emplace_back(std::move(call), std::move(then));
  pump();
}

void CloudClient::pump() {
  while (!queue_.empty()) {
    const SteadyTime now = clock_.steady();
    if (!budget_.take(now, 1)) {
      if (!pump_timer_.pending()) pump_timer_.start(budget_.wait(now, 1));
      return;
    }
    auto [call, then] = std::move(queue_.front());
    queue_.pop_front();
    http_.send(std::move(call), std::move(then));
  }
}

void CloudClient::types(std::function<void(std::optional<std::vector<MachineType>>)> then) {
  send({EVHTTP_REQ_GET, "/machine_types", {}, "application/json", kDeadline},
       [then = std::move(then)](const HttpReply& reply) {
         json::Document doc;
         if (reply.status != 200 || !json::parse(doc, reply.body)) {
           then(std::nullopt);
           return;
         }
         then(parse_machine_types(doc));
       });
}

void CloudClient::list(const MachineId& after,
                       std::function<void(std::optional<MachineList>)> then) {
  std::string path = "/machines?limit=" + std::to_string(kPage);
  if (!after.get().empty()) path += "&after=" + after.get();
  send({EVHTTP_REQ_GET, path, {}, "application/json", kDeadline},
       [then = std::move(then)](const HttpReply& reply) {
         then(reply.status == 200 ? parse_machine_list(reply.body) : std::nullopt);
       });
}

void CloudClient::provisioning_request(
    const std::string& name, const std::string& machine_type, const ZoneId& zone, bool spot,
    std::uint32_t how_many, std::function<void(ProvisioningOutcome, std::vector<MachineId>)> then) {
  send({EVHTTP_REQ_POST, "/machines",
        write_provisioning_request(name, machine_type, zone, spot, how_many), "application/json",
        kDeadline},
       [then = std::move(then)](const HttpReply& reply) {
         if (reply.status == 200) {
           if (auto machine_ids = parse_provisioned(reply.body)) {
             then(ProvisioningOutcome::provisioned, std::move(*machine_ids));
             return;
           }
         }
         const bool full =
             reply.status == 400 ||
             (reply.status == 503 && reply.body.find("no capacity") != std::string::npos);
         then(full ? ProvisioningOutcome::no_capacity : ProvisioningOutcome::trouble, {});
       });
}

void CloudClient::remove(const std::vector<MachineId>& machine_ids,
                         std::function<void(bool)> then) {
  send({EVHTTP_REQ_POST, "/machines/delete", write_delete(machine_ids), "application/json",
        kDeadline},
       [then = std::move(then)](const HttpReply& reply) { then(reply.status == 200); });
}

}  // namespace marblevale
