// The live records in memory, built up from changes of stored values.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "protocol/json.hpp"
#include "records/record_set.hpp"
#include "store/record_key.hpp"

namespace marblevale {

/// Decodes each changed value into the set of records. A value that this version can't read is
/// left out of the set, and its key is listed as unreadable, so that nobody overwrites it.
class RecordTable {
 public:
  [[nodiscard]] const Records& records() const { return records_; }

  /// Applies one change; `value` is null for a deletion. Returns the names of the records that
  /// changed: for a machine page the machines that differ from what was known, else the key's own
  /// name; none for a key that names no record.
  std::vector<std::string> apply(const std::string& key, const RecordKey& parsed,
                                 const json::Value* value, ModRevision mod_revision);

 private:
  enum class ApplyResult { applied, unreadable, malformed_key };

  ApplyResult apply_record(const RecordKey& parsed, const json::Value* value,
                           ModRevision mod_revision);
  ApplyResult apply_slice(const std::string& name, const json::Value* value,
                          ModRevision mod_revision);
  ApplyResult apply_page(const std::string& key, const json::Value* value, ModRevision mod_revision,
                         std::vector<std::string>& changed);
  /// Takes over the machines of a page; returns their ids. Those that are not in `missing` any more
  /// were found.
  std::vector<MachineId> update_machines(std::vector<MachineRecord> machines,
                                         ModRevision mod_revision, std::set<MachineId>& missing,
                                         std::vector<std::string>& changed);
  void mark_unreadable(const std::string& key);
  void add_placed_tasks(const SliceRecord& slice);
  void remove_placed_tasks(const SliceRecord& slice);

  Records records_;
};

}  // namespace marblevale
