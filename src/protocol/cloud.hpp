/// Codecs of the cloud's API: machine types, the machine list, provisioning and deletion.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"
#include "protocol/json.hpp"

namespace marblevale {

struct MachineType {
  std::string name;
  Resources resources;
  double cache_gb = 0;       // capacity of the image cache
  double pull_gb_per_s = 0;  // rate at which images are pulled
  double price = 0;          // per hour
  double spot_price = 0;     // per hour
  Duration boot{};
  std::vector<ZoneId> zones;

  [[nodiscard]] double price_of(bool spot) const { return spot ? spot_price : price; }
};

/// Parses the list of machine types, which the record `types` stores in the same form. Returns
/// nullopt when a type lacks a required field.
std::optional<std::vector<MachineType>> parse_machine_types(const json::Value& object);
void write_machine_types(json::Writer& out, const std::vector<MachineType>& types);

enum class ProvisioningStatus { starting, running, failed };

struct ListedMachine {
  MachineId machine_id;
  std::string address;
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  ProvisioningStatus status = ProvisioningStatus::starting;
  Duration age{};
};

/// One page of the machine list.
struct MachineList {
  std::vector<ListedMachine> machines;
  bool has_next = false;
};

/// Returns nullopt when any machine can't be read, because an incomplete list must not count as
/// evidence that a machine does not exist.
std::optional<MachineList> parse_machine_list(std::string_view body);
/// Parses the cloud's answer to a provisioning request: the machines that it provisioned.
std::optional<std::vector<MachineId>> parse_provisioned_machines(std::string_view body);

std::string write_provisioning_request(const std::string& name, const std::string& machine_type,
                                       const ZoneId& zone, bool spot, std::uint32_t machine_count);
std::string write_deletion_request(const std::vector<MachineId>& machine_ids);

}  // namespace marblevale
