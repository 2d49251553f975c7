// Writes machine records, which stand in pages: changes to machines of one page go together, and
// one page has one commit on its way at a time.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "store/watch_cache.hpp"

namespace marblevale {

class MachineWriter {
 public:
  enum class EditAction { none, put, erase };
  /// Looks at the machine as the records have it at the time of writing (an empty record if they do
  /// not) and changes it. Called again when the commit fails.
  using Edit = std::function<EditAction(MachineRecord&)>;
  /// Puts the writer's own guard on a transaction; false: it may not write for this zone now.
  using AddGuards = std::function<bool(Transaction&, const ZoneId&)>;

  MachineWriter(WatchCache& cache, RequestPriority rank, AddGuards add_guards);

  /// `then`, if given, is called when the change is committed.
  void edit(const MachineId& machine_id, const ZoneId& zone, Edit edit,
            std::function<void()> then = {});
  [[nodiscard]] bool waits(const MachineId& machine_id) const {
    return edits_.contains(machine_id);
  }
  /// Commits what waits, page by page, as far as no commit of the same page is on its way.
  void flush();
  /// All that waits, of every zone, as below.
  void forget_all();
  /// What waits for the zone's machines: its reasons were those of a holding that is over.
  /// A commit of them that is on its way is not tried again.
  void forget(const ZoneId& zone);

 private:
  struct Change {
    ZoneId zone;
    Edit edit;
    std::function<void()> then;
    std::uint64_t epoch = 0;  // of its zone when it was asked for
  };
  using Changes = std::map<MachineId, Change>;

  void write(const std::string& key, const std::vector<MachineId>& machine_ids);
  /// Takes the machines' changes out of those that wait, and makes them in `page`; returns those
  /// that have to be committed.
  Changes apply_edits(const std::vector<MachineId>& machine_ids, MachinePage& page);
  /// True when the page was changed.
  static bool apply_edit(const Edit& edit, const MachineId& machine_id, MachinePage& page);
  void handle_result(const Changes& changes, Outcome outcome);

  WatchCache& cache_;
  RequestPriority rank_;
  AddGuards add_guards_;
  std::map<MachineId, Change> edits_;
  std::map<ZoneId, std::uint64_t> epochs_;  // how often a zone's changes were forgotten
  std::set<std::string> writing_;           // pages
};

}  // namespace marblevale
