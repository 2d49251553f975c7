#include "store/request_priority.hpp"

#include "records/record_set.hpp"

namespace marblevale {

RequestPriority binding_priority(const Records& records, const JobId& job_id) {
  const JobRecord* known = records.job(job_id);
  return known != nullptr && known->spec.is_service() ? RequestPriority::service_binding
                                                      : RequestPriority::binding;
}

}  // namespace marblevale
