// Writes machine records, which are stored in pages. Edits of machines of the same page are
// committed together, and each page has at most one commit in flight.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "store/watch_cache.hpp"

namespace marblevale {

/// Collects edits of machine records until `flush`. An edit whose commit fails is applied to the
/// current record at the next `flush`, unless it was replaced or discarded in the meantime.
class MachineWriter {
 public:
  enum class EditAction { none, put, erase };
  /// Changes the machine's record, given as stored when the page is written (empty if there is
  /// none). Called again after a failed commit.
  using Edit = std::function<EditAction(MachineRecord&)>;
  /// Adds the caller's guards to a transaction. Returns false when the caller may not write records
  /// of this zone now; the edits are then dropped.
  using AddGuards = std::function<bool(Transaction&, const ZoneId&)>;

  MachineWriter(WatchCache& cache, RequestPriority priority, AddGuards add_guards);

  /// Replaces the machine's pending edit, if any. `then`, if set, is called when the edit is
  /// committed.
  void edit(const MachineId& machine_id, const ZoneId& zone, Edit edit,
            std::function<void()> then = {});
  /// False also when the only edit of the machine is in a commit in flight.
  [[nodiscard]] bool has_pending_edit(const MachineId& machine_id) const {
    return pending_.contains(machine_id);
  }
  /// Commits the pending edits, one transaction per page; skips pages with a commit in flight.
  void flush();
  /// Drops the pending edits of the zone's machines when the shard ownership under which they were
  /// decided has ended. Commits in flight are not retried.
  void discard_edits(const ZoneId& zone);
  /// Drops the pending edits of all zones. Commits in flight are not retried.
  void discard_all_edits();

 private:
  struct PendingEdit {
    ZoneId zone;
    Edit edit;
    std::function<void()> then;
    std::uint64_t generation = 0;  // of the zone when `edit` was called
  };
  using PendingEdits = std::map<MachineId, PendingEdit>;

  void write(const std::string& key, const std::vector<MachineId>& machine_ids);
  /// The page as stored, according to the cache; empty when it does not exist.
  [[nodiscard]] MachinePage stored_page(const std::string& key) const;
  [[nodiscard]] ModRevision page_revision(const std::string& key) const;
  /// Applies the machines' pending edits to `page` and removes them from `pending_`; returns the
  /// edits that have to be committed.
  PendingEdits apply_edits(const std::vector<MachineId>& machine_ids, MachinePage& page);
  /// Returns whether the edit put or erased a record of the page.
  static bool apply_edit(const Edit& edit, const MachineId& machine_id, MachinePage& page);
  void handle_result(const PendingEdits& edits, Outcome outcome);

  WatchCache& cache_;
  RequestPriority priority_;
  AddGuards add_guards_;
  PendingEdits pending_;
  std::map<ZoneId, std::uint64_t> generations_;  // how often each zone's edits were discarded
  std::set<std::string> in_flight_;              // keys of pages with a commit in flight
};

}  // namespace marblevale
