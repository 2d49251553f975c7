#include "store/record_table.hpp"

#include <spdlog/spdlog.h>

namespace marblevale {

namespace {

/// Decodes the value into the map, or erases the entry if `value` is null. When the value can't be
/// read, erases the entry and returns false.
template <typename Map, typename Key>
bool decode_or_erase(Map& map, const Key& key, const json::Value* value, ModRevision mod_revision) {
  if (value == nullptr) {
    map.erase(key);
    return true;
  }
  typename Map::mapped_type stored{{}, mod_revision};
  if (!decode(*value, stored.record)) {
    map.erase(key);
    return false;
  }
  map.insert_or_assign(key, std::move(stored));
  return true;
}

/// Decodes the value into the slot, or clears the slot if `value` is null. When the value can't be
/// read, keeps the earlier record and returns false.
template <typename Record>
bool decode_or_clear(std::optional<Versioned<Record>>& slot, const json::Value* value,
                     ModRevision mod_revision) {
  if (value == nullptr) {
    slot.reset();
    return true;
  }
  Versioned<Record> stored{{}, mod_revision};
  if (!decode(*value, stored.record)) return false;
  slot = std::move(stored);
  return true;
}

/// Calls `visit` with each placed task of the slice.
template <typename Visit>
void for_each_placed_task(const SliceRecord& slice, const Visit& visit) {
  for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
    if (!slice.tasks[i].placed()) continue;
    const TaskId id{slice.job_id, slice.first_task_index() + static_cast<std::uint32_t>(i)};
    visit(id, slice.tasks[i]);
  }
}

}  // namespace

std::vector<std::string> RecordTable::apply(const std::string& key, const RecordKey& parsed,
                                            const json::Value* value, ModRevision mod_revision) {
  std::vector<std::string> changed;
  ApplyResult result = ApplyResult::applied;
  if (parsed.kind == RecordKind::machine) {
    result = apply_page(key, value, mod_revision, changed);
  } else {
    changed.push_back(parsed.name);
    result = apply_record(parsed, value, mod_revision);
  }
  switch (result) {
    case ApplyResult::applied:
      records_.unreadable.erase(key);
      break;
    case ApplyResult::unreadable:
      mark_unreadable(key);
      break;
    case ApplyResult::malformed_key:
      changed.clear();
      break;
  }
  return changed;
}

RecordTable::ApplyResult RecordTable::apply_record(const RecordKey& parsed,
                                                   const json::Value* value,
                                                   ModRevision mod_revision) {
  const std::string& name = parsed.name;
  bool readable = true;
  switch (parsed.kind) {
    case RecordKind::leader:
      readable = decode_or_clear(records_.leader, value, mod_revision);
      break;
    case RecordKind::types:
      readable = decode_or_clear(records_.types, value, mod_revision);
      break;
    case RecordKind::node:
      readable = decode_or_erase(records_.nodes, NodeId(name), value, mod_revision);
      break;
    case RecordKind::shard:
      readable = decode_or_erase(records_.shards, ZoneId(name), value, mod_revision);
      break;
    case RecordKind::job:
      readable = decode_or_erase(records_.jobs, JobId(name), value, mod_revision);
      break;
    case RecordKind::guarantee_record:
      readable = decode_or_erase(records_.guarantee_records, JobId(name), value, mod_revision);
      break;
    case RecordKind::provisioning_request:
      readable = decode_or_erase(records_.provisioning_requests, name, value, mod_revision);
      break;
    case RecordKind::slice:
      return apply_slice(name, value, mod_revision);
    case RecordKind::machine:
      break;  // `apply` handles machine pages
  }
  return readable ? ApplyResult::applied : ApplyResult::unreadable;
}

RecordTable::ApplyResult RecordTable::apply_slice(const std::string& name, const json::Value* value,
                                                  ModRevision mod_revision) {
  const auto key = parse_slice_name(name);
  if (!key) return ApplyResult::malformed_key;
  if (const auto* previous = records_.slice(key->job_id, key->number))
    remove_placed_tasks(previous->record);
  const bool readable = decode_or_erase(records_.slices, *key, value, mod_revision);
  if (const auto* updated = records_.slice(key->job_id, key->number))
    add_placed_tasks(updated->record);
  return readable ? ApplyResult::applied : ApplyResult::unreadable;
}

RecordTable::ApplyResult RecordTable::apply_page(const std::string& key, const json::Value* value,
                                                 ModRevision mod_revision,
                                                 std::vector<std::string>& changed) {
  MachinePage page;
  const bool readable = value == nullptr || decode(*value, page);
  if (!readable) page.machines.clear();
  std::set<MachineId> missing;
  if (const auto previous = records_.pages.find(key); previous != records_.pages.end()) {
    missing.insert(previous->second.record.begin(), previous->second.record.end());
  }
  auto machine_ids = update_machines(std::move(page.machines), mod_revision, missing, changed);
  for (const MachineId& machine_id : missing) {
    records_.machines.erase(machine_id);
    changed.push_back(machine_id.get());
  }
  if (value == nullptr || !readable) {
    records_.pages.erase(key);
  } else {
    records_.pages.insert_or_assign(
        key, Versioned<std::vector<MachineId>>{std::move(machine_ids), mod_revision});
  }
  return readable ? ApplyResult::applied : ApplyResult::unreadable;
}

std::vector<MachineId> RecordTable::update_machines(std::vector<MachineRecord> machines,
                                                    ModRevision mod_revision,
                                                    std::set<MachineId>& missing,
                                                    std::vector<std::string>& changed) {
  std::vector<MachineId> machine_ids;
  for (MachineRecord& machine : machines) {
    machine_ids.push_back(machine.machine_id);
    missing.erase(machine.machine_id);
    auto& known = records_.machines[machine.machine_id];
    known.mod_revision = mod_revision;
    if (known.record == machine) continue;
    changed.push_back(machine.machine_id.get());
    known.record = std::move(machine);
  }
  return machine_ids;
}

void RecordTable::mark_unreadable(const std::string& key) {
  if (!records_.unreadable.insert(key).second) return;
  spdlog::error("cache: unreadable_record key={}", key);
}

void RecordTable::add_placed_tasks(const SliceRecord& slice) {
  for_each_placed_task(slice, [this](const TaskId& id, const TaskRecord& task) {
    records_.placed[task.machine_id][id] = task.attempt;
  });
}

void RecordTable::remove_placed_tasks(const SliceRecord& slice) {
  for_each_placed_task(slice, [this](const TaskId& id, const TaskRecord& task) {
    const auto tasks = records_.placed.find(task.machine_id);
    if (tasks == records_.placed.end()) return;
    tasks->second.erase(id);
    if (tasks->second.empty()) records_.placed.erase(tasks);
  });
}

}  // namespace marblevale
