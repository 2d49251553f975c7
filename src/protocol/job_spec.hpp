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

/// `array`: tasks that are independent of one another. `gang`: tasks that run all at the same time
/// or not at all. `service`: replicas that run until the job is cancelled.
enum class JobShape { array, gang, service };
/// From the lowest priority to the highest.
enum class Urgency { low, standard, urgent, production };

/// The protocol's name of the shape.
const char* name_of(JobShape shape);
/// The protocol's name of the urgency.
const char* name_of(Urgency urgency);

struct JobSpec {
  JobId job_id;
  std::string job_class;  // what objectives refer to
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
  bool spread_zones = false;  // at most half of the tasks in one zone
  bool allows_spot = false;
  Duration estimated_run{};
  Duration checkpoint_interval{};
  Duration save_time{};  // of a checkpoint
  std::optional<Duration> deadline;

  [[nodiscard]] bool gang() const { return shape == JobShape::gang; }
  [[nodiscard]] bool is_service() const { return shape == JobShape::service; }
};

/// How many of the job's tasks may be in one zone at a time.
inline std::uint32_t max_tasks_in_zone(const JobSpec& job) {
  return job.spread_zones ? (job.task_count + 1) / 2 : job.task_count;
}

/// True for an id in the form that the protocol gives ("req-" and 1 to 32 digits, letters or
/// dashes).
bool valid_job_id(std::string_view job_id);

/// The first field of a job's description that is not valid.
struct JobSpecError {
  /// `invalid`: of another type, out of range, or not among the known values.
  enum class Fault { missing, invalid };

  const char* field = "";  // the protocol's name, a string literal
  Fault fault = Fault::missing;

  /// The text that the user gets; it is the same for both faults.
  [[nodiscard]] std::string message() const;
};

/// Reads and validates a job, in the order of the protocol's fields.
std::variant<JobSpec, JobSpecError> parse_job(const json::Value& object);

/// Writes the job with the protocol's names, in which the job's record keeps it as well.
void write_job(json::Writer& out, const JobSpec& job);

}  // namespace marblevale
