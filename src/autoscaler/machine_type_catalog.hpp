/// The machine types that the cloud offers, kept in the record `types`.
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

  /// Requests the types when the stored ones are absent or due, unless a request is in flight.
  void refresh_if_due();
  /// How long a machine of this type takes from its request to its first heartbeat; a default for
  /// a type that the catalog lacks.
  [[nodiscard]] Duration boot_time(const std::string& machine_type) const;
  /// How long after its request a machine without a heartbeat is given up.
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
