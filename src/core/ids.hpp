// Distinct types for ids, versions and counters, so that a value of one kind can't be passed as
// another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace marblevale {

/// A value of type `T` that only compares with, and only converts from, values of the same `Tag`.
template <typename Tag, typename T>
class StrongType {
 public:
  StrongType() = default;
  explicit StrongType(T value) : value_(std::move(value)) {}
  [[nodiscard]] const T& get() const { return value_; }
  auto operator<=>(const StrongType&) const = default;

 private:
  T value_{};
};

/// A job, as its user named it; unique for ever.
using JobId = StrongType<struct JobIdTag, std::string>;
/// A rented machine, as the cloud named it.
using MachineId = StrongType<struct MachineIdTag, std::string>;
/// A controller of the cluster.
using NodeId = StrongType<struct NodeIdTag, std::string>;
/// An availability zone, and the shard of the machines in it.
using ZoneId = StrongType<struct ZoneIdTag, std::string>;
/// A team with a quota.
using TeamId = StrongType<struct TeamIdTag, std::string>;
/// An image that tasks need on their machine.
using ImageId = StrongType<struct ImageIdTag, std::string>;

/// The revision of a key's last change in the state service. 0: the key does not exist, by the
/// state service's own convention for guards.
using ModRevision = StrongType<struct ModRevisionTag, std::uint64_t>;
/// The state service's counter of changes to any key.
using Revision = StrongType<struct RevisionTag, std::uint64_t>;
/// A lease in the state service, whose expiry deletes the keys attached to it. 0: no lease.
using LeaseId = StrongType<struct LeaseIdTag, std::uint64_t>;
/// Rises with each change of a shard's holder, so that workers reject orders of earlier holders.
using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;
/// Changes when a worker has lost its state: the tasks of an earlier epoch no longer run there.
using WorkerEpoch = StrongType<struct WorkerEpochTag, std::uint64_t>;
/// Orders the heartbeats of a worker within its epoch.
using HeartbeatSequence = StrongType<struct HeartbeatSequenceTag, std::uint64_t>;
/// Numbers the starts of a task, so that a late message about an earlier one is recognised. 0: the
/// task was never started.
using Attempt = StrongType<struct AttemptTag, std::uint64_t>;
/// Drawn at each start of a controller's process: tells it from its predecessor on the same node.
using ProcessIncarnation = StrongType<struct ProcessIncarnationTag, std::uint64_t>;

}  // namespace marblevale

template <typename Tag, typename T>
struct std::hash<marblevale::StrongType<Tag, T>> {
  std::size_t operator()(const marblevale::StrongType<Tag, T>& id) const noexcept {
    return std::hash<T>{}(id.get());
  }
};
