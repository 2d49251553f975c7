// The cloud's client: within the published rate, with deadlines; what got no answer is unknown.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/rate_limit.hpp"
#include "protocol/cloud.hpp"

namespace marblevale {

enum class ProvisioningOutcome { provisioned, no_capacity, trouble };

class Cloud {
 public:
  virtual ~Cloud() = default;
  virtual void types(std::function<void(std::optional<std::vector<MachineType>>)> then) = 0;
  virtual void list(const MachineId& after,
                    std::function<void(std::optional<MachineList>)> then) = 0;
  virtual void provisioning_request(
      const std::string& name, const std::string& machine_type, const ZoneId& zone, bool spot,
      std::uint32_t how_many,
      std::function<void(ProvisioningOutcome, std::vector<MachineId>)> then) = 0;
  /// True: the machines and everything on them are gone. False: unknown.
  virtual void remove(const std::vector<MachineId>& machine_ids,
                      std::function<void(bool)> then) = 0;
};

class CloudClient : public Cloud {
 public:
  CloudClient(Loop& loop, const Clock& clock, const Address& at, double rps);
  void types(std::function<void(std::optional<std::vector<MachineType>>)> then) override;
  void list(const MachineId& after, std::function<void(std::optional<MachineList>)> then) override;
  void provisioning_request(
      const std::string& name, const std::string& machine_type, const ZoneId& zone, bool spot,
      std::uint32_t how_many,
      std::function<void(ProvisioningOutcome, std::vector<MachineId>)> then) override;
  void remove(const std::vector<MachineId>& machine_ids, std::function<void(bool)> then) override;

 private:
  void send(HttpCall call, HttpHandler then);
  void pump();

  const Clock& clock_;
  HttpClient http_;
  TokenBucket budget_;
  std::deque<std::pair<HttpCall, HttpHandler>> queue_;
  Timer pump_timer_;
};

}  // namespace marblevale
