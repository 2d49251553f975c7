/// The slices of a job in the latest state that the leader knows: the leader's own open changes may
/// be newer than the records. Pure.
#pragma once

#include <map>

#include "records/record_set.hpp"

namespace marblevale {

/// A slice as an open change would leave it.
struct PendingSlice {
  PendingSlice(const SliceRecord* record, std::uint64_t change_id = 0)
      : slice(record), change(change_id) {}

  const SliceRecord* slice;
  /// Identifies the slice's content: while it stays the same, the content does. 0: unknown.
  std::uint64_t change;
};

/// The slices that open changes replace, by key.
using PendingSlices = std::map<SliceKey, PendingSlice>;

/// Identifies the content of a slice: while the version stays the same, the content does.
struct SliceVersion {
  bool pending = false;      // of an open change, otherwise of a record
  std::uint64_t number = 0;  // the change, or the record's revision; 0: unknown

  [[nodiscard]] bool is_known() const { return number != 0; }
  bool operator==(const SliceVersion&) const = default;
};

/// Calls `visit` with each slice of the job that has a record or an open change, and its version,
/// in ascending order. An open change replaces the record.
template <typename Visit>
void for_each_current_slice(const Records& records, const PendingSlices& pending,
                            const JobId& job_id, const Visit& visit) {
  auto open = pending.lower_bound({job_id, 0});
  const auto has_open = [&] { return open != pending.end() && open->first.job_id == job_id; };
  const auto visit_open = [&] {
    visit(*open->second.slice, SliceVersion{true, open->second.change});
    ++open;
  };
  for_each_slice(records, job_id, [&](const Versioned<SliceRecord>& stored) {
    const std::uint32_t number = stored.record.number;
    while (has_open() && open->first.number < number) visit_open();
    if (has_open() && open->first.number == number) {
      visit_open();
    } else {
      visit(stored.record, SliceVersion{false, stored.mod_revision.get()});
    }
  });
  while (has_open()) visit_open();
}

}  // namespace marblevale
