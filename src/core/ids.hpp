// Distinct types for ids, versions and counters, so that a value of one kind can't be passed as a
// value of another kind.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "core/interned_id.hpp"

namespace marblevale {

/// A value of type `T` that compares only with values of the same `Tag` and has no implicit
/// conversions.
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

/// A job's id, chosen by its user. An id is never reused for another job.
using JobId = InternedId<struct JobIdTag>;
/// A rented machine's id, assigned by the cloud.
using MachineId = InternedId<struct MachineIdTag>;
/// A controller of the cluster.
using NodeId = StrongType<struct NodeIdTag, std::string>;
/// An availability zone. The machines in a zone form a shard, which has the same id.
using ZoneId = InternedId<struct ZoneIdTag>;
/// A team with a quota.
using TeamId = StrongType<struct TeamIdTag, std::string>;
/// An image that tasks need on their machine.
using ImageId = StrongType<struct ImageIdTag, std::string>;

/// The revision of a key's last change in the state service. 0 means that the key does not exist,
/// which is the state service's convention for guards.
using ModRevision = StrongType<struct ModRevisionTag, std::uint64_t>;
/// The state service's counter of changes to any key.
using Revision = StrongType<struct RevisionTag, std::uint64_t>;
/// A lease in the state service. Its expiry deletes the keys attached to it. 0 means no lease.
using LeaseId = StrongType<struct LeaseIdTag, std::uint64_t>;
/// Increases with each change of a shard's holder, so that workers reject orders of earlier
/// holders.
using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;
/// Changes when a worker has lost its state. Tasks of an earlier epoch no longer run on the worker.
using WorkerEpoch = StrongType<struct WorkerEpochTag, std::uint64_t>;
/// Orders the heartbeats of a worker within its epoch.
using HeartbeatSequence = StrongType<struct HeartbeatSequenceTag, std::uint64_t>;
/// Numbers the starts of a task, so that a late message about an earlier start is recognized. 0
/// means that the task was never started.
using Attempt = StrongType<struct AttemptTag, std::uint64_t>;
/// A random number drawn at each start of a controller's process. It distinguishes the process from
/// its predecessor on the same node.
using ProcessIncarnation = StrongType<struct ProcessIncarnationTag, std::uint64_t>;

}  // namespace marblevale

template <typename Tag, typename T>
struct std::hash<marblevale::StrongType<Tag, T>> {
  std::size_t operator()(const marblevale::StrongType<Tag, T>& id) const noexcept {
    return std::hash<T>{}(id.get());
  }
};
