// The priorities by which requests to the state service use this node's share of its rates.
#pragma once

#include <cstddef>

#include "core/ids.hpp"

namespace marblevale {

struct Records;

/// Classes of requests, the highest priority first.
/// `service_binding`: releases, bindings and ends of tasks of service jobs. These writes are few,
/// and the service is down until they are made.
/// `submission`: precedes the other bindings, but may use only a part of the write rate.
/// `best_effort`: writes on which only quality depends, such as guarantee records and the removal
/// of an ended job's records; dropped under load.
enum class RequestPriority {
  lease,
  service_binding,
  submission,
  binding,
  leader_commit,
  read,
  best_effort
};
inline constexpr std::size_t kRequestPriorityCount = 7;

/// The priority of a commit that binds, or ends, tasks of the job.
[[nodiscard]] RequestPriority binding_priority(const Records& records, const JobId& job_id);

}  // namespace marblevale
