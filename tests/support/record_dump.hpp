// A comparable form of the records in a watch cache.
#pragma once

#include <map>
#include <string>

#include "records/record_set.hpp"
#include "records/records.hpp"
#include "support/scripted_store.hpp"

namespace marblevale::testing {

/// What a copy of the records holds: for each record its revision and its value, by a name that is
/// unique in the copy.
using RecordDump = std::map<std::string, std::string>;

/// Adds the record under the name.
template <typename Record, typename... Arguments>
void dump(RecordDump& out, const std::string& name, const Versioned<Record>& stored,
          const Arguments&... arguments) {
  out[name] = std::to_string(stored.mod_revision.get()) + " " + encode(stored.record, arguments...);
}

/// Each record, each unreadable key and each placed task of the copy.
inline RecordDump dump(const Records& records) {
  RecordDump out;
  if (records.leader) dump(out, "leader", *records.leader);
  if (records.types) dump(out, "types", *records.types);
  for (const auto& [node, stored] : records.nodes) dump(out, "node " + node.get(), stored);
  for (const auto& [zone, stored] : records.shards) dump(out, "shard " + zone.get(), stored);
  for (const auto& [job_id, stored] : records.jobs) dump(out, "job " + job_id.get(), stored);
  for (const auto& [job_id, stored] : records.guarantee_records) {
    dump(out, "guarantee " + job_id.get(), stored, kValueBytes);
  }
  for (const auto& [key, stored] : records.slices) {
    dump(out, "slice " + key.job_id.get() + "/" + std::to_string(key.number), stored);
  }
  for (const auto& [machine_id, stored] : records.machines) {
    const Versioned<MachinePage> page{{{stored.record}}, stored.mod_revision};
    dump(out, "machine " + machine_id.get(), page, RecordSize{kValueBytes, false});
  }
  for (const auto& [key, stored] : records.pages) {
    std::string& machines = out["page " + key];
    machines = std::to_string(stored.mod_revision.get());
    for (const MachineId& machine_id : stored.record) machines += " " + machine_id.get();
  }
  for (const auto& [name, stored] : records.provisioning_requests) {
    dump(out, "provisioning request " + name, stored);
  }
  for (const std::string& key : records.unreadable) out["unreadable " + key] = "";
  for (const auto& [machine_id, tasks] : records.placed) {
    for (const auto& [task, attempt] : tasks) {
      out["placed " + machine_id.get() + " " + task.str()] = std::to_string(attempt.get());
    }
  }
  return out;
}

}  // namespace marblevale::testing
