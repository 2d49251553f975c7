/// A job as its user describes it (POST /api/jobs), and the validation of such a description.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"
#include "protocol/json.hpp"

namespace marblevale {

/// `array`: independent tasks. `gang`: all tasks run at the same time, or none does. `service`:
/// replicas that run until the job is cancelled.
enum class JobShape { array, gang, service };
/// From the lowest priority to the highest.
enum class Urgency { low, standard, urgent, production };

/// The protocol's name of the shape.
const char* name_of(JobShape shape);
/// The protocol's name of the urgency.
const char* name_of(Urgency urgency);

struct JobSpec {
  JobId job_id;
  std::string job_class;  // the class to which objectives apply
  TeamId team;
  JobShape shape = JobShape::array;
  Urgency urgency = Urgency::standard;
  std::uint32_t task_count = 1;
  Resources need;  // of each task
  ImageId image;
  double image_gb = 0;
  std::vector<std::string> machine_types;  // empty: any
  std::optional<ZoneId> required_zone;
  bool single_zone = false;   // all tasks in one zone
  bool spread_zones = false;  // at most half of the tasks, rounded up, in one zone
  bool allows_spot = false;
  Duration estimated_run{};
  Duration checkpoint_interval{};
  Duration save_time{};              // time to save a checkpoint
  std::optional<Duration> deadline;  // from the acceptance of the job

  [[nodiscard]] bool gang() const { return shape == JobShape::gang; }
  [[nodiscard]] bool is_service() const { return shape == JobShape::service; }
};

/// The maximum number of the job's tasks in one zone at a time.
inline std::uint32_t max_tasks_in_zone(const JobSpec& job) {
  return job.spread_zones ? (job.task_count + 1) / 2 : job.task_count;
}

/// True for an id in the form that the protocol prescribes: "req-" and 1 to 32 digits, letters or
/// dashes.
bool valid_job_id(std::string_view job_id);

/// The first field of a job's description that is missing or invalid.
struct JobSpecError {
  /// `invalid`: the field has the wrong type, is out of range, or has an unknown value.
  enum class Fault { missing, invalid };

  const char* field = "";  // the field's name in the protocol, a string literal
  Fault fault = Fault::missing;

  /// The error text for the user, which is the same for both faults.
  [[nodiscard]] std::string message() const;
};

/// Parses and validates a job. Fields are checked in the order of the protocol, and the first error
/// is returned.
std::variant<JobSpec, JobSpecError> parse_job(const json::Value& object);

/// Writes the job with the protocol's field names. The job's record stores it in the same form.
void write_job(json::Writer& out, const JobSpec& job);

}  // namespace marblevale
