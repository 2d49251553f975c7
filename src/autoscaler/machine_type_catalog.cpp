#include "autoscaler/machine_type_catalog.hpp"

namespace marblevale {

namespace {

constexpr Duration kRefreshInterval{60'000};
constexpr Duration kDefaultBootTime{60'000};
constexpr double kBootTimeoutFactor = 3.0;  // multiple of the boot time

}  // namespace

MachineTypeCatalog::MachineTypeCatalog(const Clock& clock, WatchCache& cache, Election& election,
                                       Cloud& cloud)
    : clock_(clock), cache_(cache), election_(election), cloud_(cloud) {}

Duration MachineTypeCatalog::boot_time(const std::string& machine_type) const {
  const MachineType* type = cache_.records().type(machine_type);
  return type == nullptr ? kDefaultBootTime : type->boot;
}

Duration MachineTypeCatalog::boot_timeout(const std::string& machine_type) const {
  return scaled(boot_time(machine_type), kBootTimeoutFactor);
}

void MachineTypeCatalog::refresh_if_due() {
  const SteadyTime now = clock_.steady();
  const bool fresh = cache_.records().types && now - refreshed_at_ < kRefreshInterval;
  if (request_in_flight_ || fresh) return;
  request_in_flight_ = true;
  cloud_.list_machine_types([this](const std::optional<std::vector<MachineType>>& types) {
    request_in_flight_ = false;
    if (!types || !election_.is_established_leader()) return;
    refreshed_at_ = clock_.steady();
    store(*types);
  });
}

void MachineTypeCatalog::store(const std::vector<MachineType>& types) {
  const auto& stored = cache_.records().types;
  const std::string value = encode(types);
  if (stored && encode(stored->record) == value) return;
  Transaction txn;
  election_.guard(txn);
  // The record's revision is guarded as well, so that a late commit does not restore old prices.
  txn.guard(keys::kTypes, stored ? stored->mod_revision : ModRevision{}).put(keys::kTypes, value);
  cache_.commit(RequestPriority::leader_commit, std::move(txn), [](const CommitResult&) {});
}

}  // namespace marblevale
