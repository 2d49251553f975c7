#include "protocol/job_spec.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace marblevale {

namespace {

constexpr std::uint64_t kMaxTasks = 100'000;
constexpr double kMaxAmount = 1e6;   // CPUs, accelerators and GB of one task
constexpr double kMaxSeconds = 1e8;  // about three years
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxMachineTypes = 32;
constexpr std::size_t kMaxJobIdSuffixBytes = 32;
/// The estimated run time of a service job, about 2.9 years: other jobs are expected to end
/// earlier, and sums of times stay far from an overflow.
constexpr Duration kServiceRunEstimate{90'000'000'000};

/// The protocol's names, in the order of the enumerators.
constexpr std::array<const char*, 3> kShapeNames{"batch", "ensemble", "standing"};
constexpr std::array<const char*, 4> kUrgencyNames{"low", "standard", "urgent", "production"};

bool valid_name(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::none_of(name.begin(), name.end(), [](unsigned char c) { return c < 0x20; });
}

/// Reads and validates the fields of one object. Each method returns true if its field is valid;
/// otherwise it sets `error()`, and the caller reads no further field. Null counts as missing.
class FieldReader {
 public:
  explicit FieldReader(const json::Value& object) : object_(object) {}

  [[nodiscard]] const JobSpecError& error() const { return error_; }
  [[nodiscard]] bool has(const char* field) const { return json::field(object_, field) != nullptr; }

  bool read_job_id(const char* field, JobId& out) {
    auto text = json::text(object_, field);
    if (!text || !valid_job_id(*text)) return fail(field);
    out = JobId(std::move(*text));
    return true;
  }

  bool read_name(const char* field, std::string& out) {
    auto text = json::text(object_, field);
    if (!text || !valid_name(*text)) return fail(field);
    out = std::move(*text);
    return true;
  }

  template <typename Id>
  bool read_id(const char* field, Id& out) {
    std::string name;
    if (!read_name(field, name)) return false;
    out = Id(std::move(name));
    return true;
  }

  template <typename Enum, std::size_t N>
  bool read_enum(const char* field, const std::array<const char*, N>& names, Enum& out) {
    const auto text = json::text(object_, field);
    if (!text) return fail(field);
    const auto it = std::find(names.begin(), names.end(), *text);
    if (it == names.end()) return fail(field);
    out = static_cast<Enum>(it - names.begin());
    return true;
  }

  bool read_task_count(const char* field, std::uint32_t& out) {
    const auto count = json::count(object_, field);
    if (!count || *count == 0 || *count > kMaxTasks) return fail(field);
    out = static_cast<std::uint32_t>(*count);
    return true;
  }

  /// Reads a number between 0 and `max`.
  bool read_amount(const char* field, double max, double& out) {
    const auto number = json::number(object_, field);
    if (!number || *number < 0 || *number > max) return fail(field);
    out = *number;
    return true;
  }

  bool read_flag(const char* field, bool& out) {
    const auto flag = json::flag(object_, field);
    if (!flag) return fail(field);
    out = *flag;
    return true;
  }

  bool read_seconds(const char* field, Duration& out) {
    double seconds = 0;
    if (!read_amount(field, kMaxSeconds, seconds)) return false;
    out = from_seconds(seconds);
    return true;
  }

  bool read_machine_types(const char* field, std::vector<std::string>& out) {
    const json::Value* list = json::list(object_, field);
    if (list == nullptr || list->Empty() || list->Size() > kMaxMachineTypes) return fail(field);
    for (const auto& item : list->GetArray()) {
      const bool valid =
          item.IsString() && item.GetStringLength() != 0 && item.GetStringLength() <= kMaxNameBytes;
      if (!valid) return fail(field);
      out.emplace_back(item.GetString(), item.GetStringLength());
    }
    return true;
  }

 private:
  bool fail(const char* field) {
    error_ = {field, has(field) ? JobSpecError::Fault::invalid : JobSpecError::Fault::missing};
    return false;
  }

  const json::Value& object_;
  JobSpecError error_;
};

bool read_identity(FieldReader& fields, JobSpec& job) {
  return fields.read_job_id("uid", job.job_id) && fields.read_name("workclass", job.job_class) &&
         fields.read_id("crew", job.team);
}

bool read_tasks(FieldReader& fields, JobSpec& job) {
  return fields.read_enum("shape", kShapeNames, job.shape) &&
         fields.read_enum("urgency", kUrgencyNames, job.urgency) &&
         fields.read_task_count("parts", job.task_count);
}

bool read_resources(FieldReader& fields, JobSpec& job) {
  job.need.tasks = 1;
  return fields.read_amount("cpus", kMaxAmount, job.need.cpus) &&
         fields.read_amount("accelerators", kMaxAmount, job.need.gpus) &&
         fields.read_amount("memory_gb", kMaxAmount, job.need.memory_gb);
}

bool read_image(FieldReader& fields, JobSpec& job) {
  return fields.read_id("bundle", job.image) &&
         fields.read_amount("image_gb", kMaxAmount, job.image_gb);
}

bool read_placement_constraints(FieldReader& fields, JobSpec& job) {
  if (fields.has("builds") && !fields.read_machine_types("builds", job.machine_types)) return false;
  if (fields.has("district") && !fields.read_id("district", job.required_zone.emplace())) {
    return false;
  }
  return fields.read_flag("together", job.single_zone) &&
         fields.read_flag("spread", job.spread_zones) &&
         fields.read_flag("loaners", job.allows_spot);
}

bool read_times(FieldReader& fields, JobSpec& job) {
  const bool required = fields.read_seconds("expect_s", job.estimated_run) &&
                        fields.read_seconds("snapshot_s", job.checkpoint_interval) &&
                        fields.read_seconds("stash_s", job.save_time);
  if (!required) return false;
  return !fields.has("due_s") || fields.read_seconds("due_s", job.deadline.emplace());
}

}  // namespace

const char* name_of(JobShape shape) { return kShapeNames.at(static_cast<std::size_t>(shape)); }
const char* name_of(Urgency urgency) { return kUrgencyNames.at(static_cast<std::size_t>(urgency)); }

std::string JobSpecError::message() const { return std::string(field) + ": missing or invalid"; }

bool valid_job_id(std::string_view job_id) {
  constexpr std::string_view kPrefix = "req-";
  if (job_id.substr(0, kPrefix.size()) != kPrefix) return false;
  job_id.remove_prefix(kPrefix.size());
  return !job_id.empty() && job_id.size() <= kMaxJobIdSuffixBytes &&
         std::all_of(job_id.begin(), job_id.end(), [](char c) {
           return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-';
         });
}

std::variant<JobSpec, JobSpecError> parse_job(const json::Value& object) {
  JobSpec job;
  FieldReader fields(object);
  const bool valid = read_identity(fields, job) && read_tasks(fields, job) &&
                     read_resources(fields, job) && read_image(fields, job) &&
                     read_placement_constraints(fields, job) && read_times(fields, job);
  if (!valid) return fields.error();
  if (job.is_service()) {
    // A service needs its resources until it is cancelled and never completes, so a deadline has no
    // meaning.
    job.estimated_run = kServiceRunEstimate;
    job.deadline.reset();
  }
  return job;
}

void write_job(json::Writer& out, const JobSpec& job) {
  out.open()
      .put("uid", job.job_id.get())
      .put("workclass", job.job_class)
      .put("crew", job.team.get())
      .put("shape", name_of(job.shape))
      .put("urgency", name_of(job.urgency))
      .put("parts", static_cast<std::uint64_t>(job.task_count))
      .put("cpus", job.need.cpus)
      .put("accelerators", job.need.gpus)
      .put("memory_gb", job.need.memory_gb)
      .put("bundle", job.image.get())
      .put("image_gb", job.image_gb);
  if (!job.machine_types.empty()) {
    out.key("builds").open_list();
    for (const auto& machine_type : job.machine_types) out.value(machine_type);
    out.close_list();
  }
  if (job.required_zone) out.put("district", job.required_zone->get());
  out.put("together", job.single_zone)
      .put("spread", job.spread_zones)
      .put("loaners", job.allows_spot)
      .put("expect_s", to_seconds(job.estimated_run))
      .put("snapshot_s", to_seconds(job.checkpoint_interval))
      .put("stash_s", to_seconds(job.save_time));
  if (job.deadline) out.put("due_s", to_seconds(*job.deadline));
  out.close();
}

}  // namespace marblevale
