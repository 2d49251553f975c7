#include "autoscaler/deletion_reason.hpp"

namespace marblevale {

const char* name_of(DeletionReason reason) {
  switch (reason) {
    case DeletionReason::idle:
      return "idle";
    case DeletionReason::silent:
      return "silent";
    case DeletionReason::drained:
      return "drained";
    case DeletionReason::no_longer_listed:
      return "no_longer_listed";
    case DeletionReason::up_but_unlisted:
      return "up_but_unlisted";
    case DeletionReason::boot_timeout:
      return "boot_timeout";
    case DeletionReason::provisioning_failed:
      return "provisioning_failed";
    case DeletionReason::listed_but_unrecorded:
      return "listed_but_unrecorded";
    case DeletionReason::holds_cancelled_task:
      return "holds_cancelled_task";
    case DeletionReason::has_tasks_but_no_record:
      return "has_tasks_but_no_record";
  }
  return "";
}

}  // namespace marblevale
