// An in-memory table of the live records, built from the changes of stored values.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "protocol/json.hpp"
#include "records/record_set.hpp"
#include "store/record_key.hpp"

namespace marblevale {

/// Decodes each changed value into the set of records. If this version can't read a value, its key
/// is listed as unreadable, so that the stored record is neither overwritten nor taken for deleted.
/// Its record is removed from the set, except that the leader's record and the machine types keep
/// their last readable version.
class RecordTable {
 public:
  [[nodiscard]] const Records& records() const { return records_; }

  /// Applies one change; `value` is null for a deletion. Returns the names of the changed records:
  /// for a machine page the ids of the machines whose records differ from before, for any other key
  /// its name. Returns no names for a malformed key.
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
  /// Stores the records of a page's machines and returns the machines' ids. Removes these ids from
  /// `missing` and adds the ids of changed records to `changed`.
  std::vector<MachineId> update_machines(std::vector<MachineRecord> machines,
                                         ModRevision mod_revision, std::set<MachineId>& missing,
                                         std::vector<std::string>& changed);
  void mark_unreadable(const std::string& key);
  void add_placed_tasks(const SliceRecord& slice);
  void remove_placed_tasks(const SliceRecord& slice);

  Records records_;
};

}  // namespace marblevale
