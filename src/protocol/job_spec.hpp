// A job as its user describes it (POST /api/jobs), and the checks on it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"
#include "protocol/json.hpp"

namespace marblevale {

/// A standing job is a service: its tasks run until it is cancelled.
enum class JobShape { array, gang, service };
enum class Urgency { low, standard, urgent, production };

const char* name_of(JobShape shape);
const char* name_of(Urgency urgency);

struct JobSpec {
  JobId job_id;
  std::string job_class;
  TeamId team;
  JobShape shape = JobShape::array;
  Urgency urgency = Urgency::standard;
  std::uint32_t task_count = 1;
  Resources need;  // of each task
  ImageId image;
  double image_gb = 0;
  std::vector<std::string> machine_types;  // empty: any
  std::optional<ZoneId> required_zone;
  bool together = false;
  bool spread = false;
  bool allows_spot = false;
  Duration estimated_run{};
  Duration checkpoint_interval{};
  Duration save_time{};
  std::optional<Duration> deadline;

  [[nodiscard]] bool gang() const { return shape == JobShape::gang; }
  [[nodiscard]] bool endless() const { return shape == JobShape::service; }
};

/// How many of the job's tasks may be in one zone at a time.
inline std::uint32_t max_tasks_in_zone(const JobSpec& job) {
  return job.spread ? (job.task_count + 1) / 2 : job.task_count;
}

/// True for an id in the form that the protocol gives ("req-" and 1 to 32 digits, letters or
/// dashes).
bool valid_job_id(std::string_view job_id);

/// Reads a job; on a fault, `why` names the field.
std::optional<JobSpec> parse_job(const json::Value& object, std::string& why);

/// Writes the job with the wire's names, as a record keeps it.
void write_job(json::Writer& out, const JobSpec& job);

}  // namespace marblevale
