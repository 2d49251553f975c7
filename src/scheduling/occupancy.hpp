/// Keeps the profile of running tasks in step with the records, incrementally with each change.
/// After `sync` it equals a profile that is built from all records at that moment; a test compares
/// the two.
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "records/record_set.hpp"
#include "scheduling/current_slices.hpp"
#include "scheduling/profile.hpp"

namespace marblevale {

/// A machine that was provisioned and has not sent a heartbeat yet.
struct BootingMachine {
  MachineId machine_id;
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  WallTime ready;  // estimated
};

/// The images that machines are expected to hold soon, because tasks that use them are bound there.
class ExpectedImages {
 public:
  void record_use(const MachineId& machine_id, const ImageId& image, double gb, double cache_gb);
  void forget(const MachineId& machine_id) { images_.erase(machine_id); }
  void add_to(ImageSet& images, const MachineId& machine_id) const;

 private:
  std::unordered_map<MachineId, std::vector<CachedImage>> images_;
};

/// Returns the estimated end of a placed task. An estimated end that has been reached is extended
/// in steps of a fifth of the job's estimated run until it is in the future.
WallTime estimated_end(const TaskRecord& task, const JobSpec& job, const Records& records,
                       WallTime now);

/// Owns the profile, and the set of machines and slices that changed since the last `sync`.
class Occupancy {
 public:
  /// Marks a machine or slice as changed; the next `sync` reads its records again.
  void mark_machine_dirty(const MachineId& machine_id) { dirty_machines_.insert(machine_id); }
  void mark_slice_dirty(const SliceKey& key) { dirty_slices_.insert(key); }
  /// The next `sync` rebuilds the profile from all records.
  void reset() { rebuild_ = true; }

  /// Sets the zones whose machines can't be reached. The next `sync` removes their machines from
  /// the profile, so that no task is placed there.
  void set_unreachable_zones(const std::set<ZoneId>& zones, const Records& records);
  /// Updates the profile for all marked machines and slices. `pending` holds slices that this
  /// controller has committed, or is about to commit, and that the records may not show yet; they
  /// replace the recorded slices.
  void sync(const Records& records, const std::vector<Team>& teams, const PendingSlices& pending,
            const std::vector<BootingMachine>& booting, WallTime now);

  /// The planner of a round takes the profile from here and puts it back without the allocations of
  /// the starts of that round.
  [[nodiscard]] Profile& profile() { return profile_; }
  [[nodiscard]] ImageSet images_at(const MachineId& machine_id, const Records& records) const;

 private:
  void sync_machine(const MachineId& machine_id, const Records& records, WallTime now);
  void sync_slice(const SliceKey& key, const Records& records, const PendingSlices& pending,
                  WallTime now);
  void mark_slices_on_dirty(const MachineId& machine_id, const Records& records);
  /// Marks the slices whose open change has begun, ended or changed since the last `sync`, and
  /// those whose machines have changed.
  void mark_pending_dirty(const PendingSlices& pending);
  [[nodiscard]] bool uses_dirty_machine(const SliceKey& key) const;
  void refresh_images(const MachineId& machine_id, const Records& records);
  [[nodiscard]] static std::size_t fetches_at(const MachineId& machine_id, const Records& records);

  Profile profile_;
  ExpectedImages images_;
  bool rebuild_ = true;
  std::set<ZoneId> unreachable_zones_;
  std::set<MachineId> dirty_machines_;
  std::set<SliceKey> dirty_slices_;
  std::map<MachineId, BootingMachine> booting_;
  std::map<SliceKey, std::set<MachineId>> machines_of_slice_;
  std::set<std::pair<WallTime, SliceKey>> earliest_ends_;  // earliest estimated end per slice
  std::map<SliceKey, WallTime> earliest_end_of_slice_;     // the slice's entry in `earliest_ends_`
  std::map<SliceKey, std::uint64_t> last_pending_;  // the change of each slice at the last `sync`
  std::set<MachineId> machines_to_refresh_;  // their images are refreshed at the end of `sync`
};

}  // namespace marblevale
