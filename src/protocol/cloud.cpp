#include "protocol/cloud.hpp"

#include "protocol/limits.hpp"

namespace marblevale {

namespace {

std::optional<MachineType> parse_machine_type(const json::Value& item) {
  const auto name = json::text(item, "name");
  const auto cpus = json::number(item, "cpus");
  const auto memory_gb = json::number(item, "memory_gb");
  const json::Value* zones = json::list(item, "districts");
  if (!name || !cpus || !memory_gb || zones == nullptr) return std::nullopt;
  MachineType type;
  type.name = *name;
  type.resources = {*cpus, json::number(item, "accelerators").value_or(0), *memory_gb,
                    static_cast<double>(kMaxTasksPerMachine)};
  type.cache_gb = json::number(item, "local_gb").value_or(0);
  type.pull_gb_per_s = json::number(item, "pull_gb_per_s").value_or(0);
  type.price = json::number(item, "hourly").value_or(0);
  type.spot_price = json::number(item, "market_price").value_or(type.price);
  type.boot = from_seconds(json::number(item, "ready_s").value_or(0));
  for (const auto& zone : zones->GetArray()) {
    if (zone.IsString()) type.zones.emplace_back(zone.GetString());
  }
  return type;
}

/// Statuses that this version does not know count as starting.
ProvisioningStatus parse_status(std::string_view status) {
  if (status == "running") return ProvisioningStatus::running;
  if (status == "failed") return ProvisioningStatus::failed;
  return ProvisioningStatus::starting;
}

std::optional<ListedMachine> parse_listed_machine(const json::Value& item) {
  const auto machine_id = json::text(item, "uid");
  const auto status = json::text(item, "status");
  if (!machine_id || !status) return std::nullopt;
  ListedMachine machine;
  machine.machine_id = MachineId(*machine_id);
  machine.address = json::text(item, "address").value_or("");
  machine.machine_type = json::text(item, "build").value_or("");
  machine.zone = ZoneId(json::text(item, "district").value_or(""));
  machine.spot = json::flag(item, "loaners").value_or(false);
  machine.age = from_seconds(json::number(item, "age_s").value_or(0));
  machine.status = parse_status(*status);
  return machine;
}

}  // namespace

std::optional<std::vector<MachineType>> parse_machine_types(const json::Value& object) {
  const json::Value* items = json::list(object, "builds");
  if (items == nullptr) return std::nullopt;
  std::vector<MachineType> types;
  for (const auto& item : items->GetArray()) {
    auto type = parse_machine_type(item);
    if (!type) return std::nullopt;
    types.push_back(std::move(*type));
  }
  return types;
}

void write_machine_types(json::Writer& out, const std::vector<MachineType>& types) {
  out.open().key("builds").open_list();
  for (const auto& type : types) {
    out.open()
        .put("name", type.name)
        .put("cpus", type.resources.cpus)
        .put("accelerators", type.resources.gpus)
        .put("memory_gb", type.resources.memory_gb)
        .put("local_gb", type.cache_gb)
        .put("pull_gb_per_s", type.pull_gb_per_s)
        .put("hourly", type.price)
        .put("market_price", type.spot_price)
        .put("ready_s", to_seconds(type.boot))
        .key("districts")
        .open_list();
    for (const auto& zone : type.zones) out.value(zone.get());
    out.close_list().close();
  }
  out.close_list().close();
}

std::optional<MachineList> parse_machine_list(std::string_view body) {
  json::Document doc;
  if (!json::parse(doc, body)) return std::nullopt;
  const json::Value* items = json::list(doc, "hosts");
  if (items == nullptr) return std::nullopt;
  MachineList list;
  list.has_next = json::flag(doc, "has_next").value_or(false);
  for (const auto& item : items->GetArray()) {
    auto machine = parse_listed_machine(item);
    if (!machine) return std::nullopt;
    list.machines.push_back(std::move(*machine));
  }
  return list;
}

std::optional<std::vector<MachineId>> parse_provisioned_machines(std::string_view body) {
  json::Document doc;
  if (!json::parse(doc, body)) return std::nullopt;
  const json::Value* items = json::list(doc, "hosts");
  if (items == nullptr) return std::nullopt;
  std::vector<MachineId> machine_ids;
  for (const auto& item : items->GetArray()) {
    if (item.IsString()) machine_ids.emplace_back(item.GetString());
  }
  return machine_ids;
}

std::string write_provisioning_request(const std::string& name, const std::string& machine_type,
                                       const ZoneId& zone, bool spot, std::uint32_t machine_count) {
  json::Writer out;
  out.open()
      .put("hire", name)
      .put("build", machine_type)
      .put("district", zone.get())
      .put("loaners", spot)
      .put("how_many", static_cast<std::uint64_t>(machine_count))
      .close();
  return out.str();
}

std::string write_deletion_request(const std::vector<MachineId>& machine_ids) {
  json::Writer out;
  out.open().key("hosts").open_list();
  for (const auto& machine_id : machine_ids) out.value(machine_id.get());
  out.close_list().close();
  return out.str();
}

}  // namespace marblevale
