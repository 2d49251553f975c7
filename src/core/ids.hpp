// Small types of their own for ids, versions and times: a value of one kind can't pass for another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace marblevale {

template <typename Tag, typename T>
class Strong {
 public:
  Strong() = default;
  explicit Strong(T value) : value_(std::move(value)) {}
  [[nodiscard]] const T& get() const { return value_; }
  auto operator<=>(const Strong&) const = default;

 private:
  T value_{};
};

using JobId = Strong<struct JobIdTag, std::string>;          // a job, as its user named it
using MachineId = Strong<struct MachineIdTag, std::string>;  // a rented machine
using NodeId = Strong<struct NodeTag, std::string>;          // a controller
using ZoneId = Strong<struct ZoneTag, std::string>;    // a zone, and the shard of its machines
using TeamId = Strong<struct TeamTag, std::string>;    // a team
using ImageId = Strong<struct ImageTag, std::string>;  // an image that tasks need

using ModRevision =
    Strong<struct ModRevisionTag, std::uint64_t>;          // version of a key; 0: it does not exist
using Revision = Strong<struct RevTag, std::uint64_t>;     // the state service's change counter
using LeaseId = Strong<struct LeaseIdTag, std::uint64_t>;  // a lease of the state service; 0: none
using FencingToken = Strong<struct FencingTokenTag, std::uint64_t>;  // fencing token of a shard
using WorkerEpoch = Strong<struct WorkerEpochTag, std::uint64_t>;    // a worker's epoch
using HeartbeatSequence =
    Strong<struct HeartbeatSequenceTag, std::uint64_t>;    // a worker's message counter
using Attempt = Strong<struct AttemptTag, std::uint64_t>;  // one start of a task; 0: never
using ProcessIncarnation =
    Strong<struct ProcessIncarnationTag, std::uint64_t>;  // one life of a controller process

}  // namespace marblevale

template <typename Tag, typename T>
struct std::hash<marblevale::Strong<Tag, T>> {
  std::size_t operator()(const marblevale::Strong<Tag, T>& v) const noexcept {
    return std::hash<T>{}(v.get());
  }
};
