/// Keeps the record `types` up to date with the machine types that the cloud offers. All
/// controllers read the types from that record.
#pragma once

#include <string>

#include "autoscaler/cloud_client.hpp"
#include "election/election.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Refreshes the stored machine types from the cloud while this controller leads.
class MachineTypeCatalog {
 public:
  MachineTypeCatalog(const Clock& clock, WatchCache& cache, Election& election, Cloud& cloud);

  /// Requests the machine types if the stored ones are absent or due for a refresh, unless a
  /// request is in flight.
  void refresh_if_due();
  /// The expected time from the provisioning request to the machine's first heartbeat; a default
  /// for an unknown type.
  [[nodiscard]] Duration boot_time(const std::string& machine_type) const;
  /// How long after its provisioning request a machine without a record is given up.
  [[nodiscard]] Duration boot_timeout(const std::string& machine_type) const;

 private:
  void store(const std::vector<MachineType>& types);

  const Clock& clock_;
  WatchCache& cache_;
  Election& election_;
  Cloud& cloud_;
  bool request_in_flight_ = false;
  SteadyTime refreshed_at_ = kLongAgo;
};

}  // namespace marblevale
