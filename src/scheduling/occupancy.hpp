/// What runs where: updates a profile incrementally from one change of the records to the next. A
/// profile built from all records at the same moment would be equal; a test compares the two.
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "records/record_set.hpp"
#include "scheduling/profile.hpp"

namespace marblevale {

/// A machine that is provisioned and has not sent a heartbeat yet.
struct BootingMachine {
  MachineId machine_id;
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  WallTime ready;  // estimated
};

/// Images that machines are probably fetching: those of tasks that are bound there.
class ExpectedImages {
 public:
  void record_use(const MachineId& machine_id, const ImageId& image, double gb, double cache_gb);
  void forget(const MachineId& machine_id) { images_.erase(machine_id); }
  void add_to(ImageSet& images, const MachineId& machine_id) const;

 private:
  std::unordered_map<MachineId, std::vector<CachedImage>> images_;
};

/// The estimated end of a placed task. Each time an overrunning task reaches it, it is extended by
/// a fifth of the estimated run.
WallTime estimated_end(const TaskRecord& task, const JobSpec& job, const Records& records,
                       WallTime now);

/// Owns the profile, and the marks of what has changed since the last `sync`.
class Occupancy {
 public:
  using Slices = std::map<SliceKey, const SliceRecord*>;

  /// Marks what changed; the next `sync` reads it again.
  void mark_machine_dirty(const MachineId& machine_id) { dirty_machines_.insert(machine_id); }
  void mark_slice_dirty(const SliceKey& key) { dirty_slices_.insert(key); }
  /// The next `sync` rebuilds the profile from all records.
  void reset() { rebuild_ = true; }

  /// Zones whose machines can't be reached: nothing is to be placed there meanwhile.
  void set_unreachable_zones(const std::set<ZoneId>& zones, const Records& records);
  /// Brings the profile up to date with what was marked. `pending` are slices as this controller
  /// has committed them, or is about to, and that the records may not show yet.
  void sync(const Records& records, const std::vector<Team>& teams, const Slices& pending,
            const std::vector<BootingMachine>& booting, WallTime now);

  /// Lent to a round's planner, which gives it back as it was.
  [[nodiscard]] Profile& profile() { return profile_; }
  [[nodiscard]] ImageSet images_at(const MachineId& machine_id, const Records& records) const;

 private:
  void sync_machine(const MachineId& machine_id, const Records& records, WallTime now);
  void sync_slice(const SliceKey& key, const Records& records, const Slices& pending, WallTime now);
  void mark_slices_on_dirty(const MachineId& machine_id, const Records& records);
  void refresh_images(const MachineId& machine_id, const Records& records);
  [[nodiscard]] static std::size_t fetches_at(const MachineId& machine_id, const Records& records);

  Profile profile_;
  ExpectedImages images_;
  bool rebuild_ = true;
  std::set<ZoneId> unreachable_zones_;
  std::set<MachineId> dirty_machines_;
  std::set<SliceKey> dirty_slices_;
  std::map<MachineId, BootingMachine> booting_;
  std::map<SliceKey, std::set<MachineId>>
      machines_of_slice_;  // machines on which the slice has tasks
  std::set<std::pair<WallTime, SliceKey>>
      earliest_ends_;  // when the first of a slice's likely ends is reached
  std::map<SliceKey, WallTime> earliest_end_of_slice_;  // as it stands in `earliest_ends_`
  std::set<SliceKey> last_pending_;
  std::set<MachineId> machines_to_refresh_;  // machines whose images are to be looked at again
};

}  // namespace marblevale
