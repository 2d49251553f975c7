#include "protocol/job_spec.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace marblevale {

namespace {

constexpr std::uint64_t kMaxTasks = 100'000;
constexpr double kMaxAmount = 1e6;   // CPUs, accelerators and GB of one task
constexpr double kMaxSeconds = 1e8;  // about three years
constexpr std::size_t kMaxName = 128;
/// The estimate of a standing job: long after anything else, and far from where times overflow.
constexpr Duration kEndless{90'000'000'000};

bool valid_name(const std::optional<std::string>& name) {
  return name && !name->empty() && name->size() <= kMaxName &&
         std::none_of(name->begin(), name->end(), [](unsigned char c) { return c < 0x20; });
}

/// A number between 0 and `most`; absent counts as a fault.
bool read_amount(const json::Value& object, const char* name, double most, double& out) {
  const auto v = json::number(object, name);
  if (!v || *v < 0 || *v > most) return false;
  out = *v;
  return true;
}

/// A flag; absent or of another type counts as a fault.
bool read_flag(const json::Value& object, const char* name, bool& out) {
  const auto v = json::flag(object, name);
  if (v) out = *v;
  return v.has_value();
}

bool read_seconds(const json::Value& object, const char* name, Duration& out) {
  double seconds = 0;
  if (!read_amount(object, name, kMaxSeconds, seconds)) return false;
  out = from_seconds(seconds);
  return true;
}

constexpr std::array<const char*, 3> kShapes{"batch", "ensemble", "standing"};
constexpr std::array<const char*, 4> kUrgencies{"low", "standard", "urgent", "production"};

template <typename Enum, std::size_t N>
bool read_enum(const json::Value& object, const char* name, const std::array<const char*, N>& names,
               Enum& out) {
  const auto v = json::text(object, name);
  if (!v) return false;
  const auto it = std::find(names.begin(), names.end(), *v);
  if (it == names.end()) return false;
  out = static_cast<Enum>(it - names.begin());
  return true;
}

bool read_machine_types(const json::Value& object, std::vector<std::string>& out) {
  const json::Value* v = json::field(object, "builds");
  if (v == nullptr) return true;
  if (!v->IsArray() || v->Empty() || v->Size() > 32) return false;
  for (const auto& item : v->GetArray()) {
    if (!item.IsString() || item.GetStringLength() == 0 || item.GetStringLength() > kMaxName) {
      return false;
    }
    out.emplace_back(item.GetString(), item.GetStringLength());
  }
  return true;
}

}  // namespace

const char* name_of(JobShape shape) { return kShapes.at(static_cast<std::size_t>(shape)); }
const char* name_of(Urgency urgency) { return kUrgencies.at(static_cast<std::size_t>(urgency)); }

bool valid_job_id(std::string_view job_id) {
  constexpr std::string_view kPrefix = "req-";
  if (job_id.substr(0, kPrefix.size()) != kPrefix) return false;
  job_id.remove_prefix(kPrefix.size());
  return !job_id.empty() && job_id.size() <= 32 &&
         std::all_of(job_id.begin(), job_id.end(), [](char c) {
           return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-';
         });
}

// One step for each field of the message.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
std::optional<JobSpec> parse_job(const json::Value& object, std::string& why) {
  JobSpec job;
  const auto fault = [&why](const char* name) {
    why = name;
    return std::nullopt;
  };
  const auto job_id = json::text(object, "uid");
  if (!job_id || !valid_job_id(*job_id)) return fault("uid");
  job.job_id = JobId(*job_id);
  const auto job_class = json::text(object, "workclass");
  if (!valid_name(job_class)) return fault("workclass");
  job.job_class = *job_class;
  const auto team = json::text(object, "crew");
  if (!valid_name(team)) return fault("crew");
  job.team = TeamId(*team);
  if (!read_enum(object, "shape", kShapes, job.shape)) return fault("shape");
  if (!read_enum(object, "urgency", kUrgencies, job.urgency)) return fault("urgency");
  const auto task_count = json::count(object, "parts");
  if (!task_count || *task_count == 0 || *task_count > kMaxTasks) return fault("parts");
  job.task_count = static_cast<std::uint32_t>(*task_count);
  if (!read_amount(object, "cpus", kMaxAmount, job.need.cpus)) return fault("cpus");
  if (!read_amount(object, "accelerators", kMaxAmount, job.need.gpus)) return fault("accelerators");
  if (!read_amount(object, "memory_gb", kMaxAmount, job.need.memory_gb)) return fault("memory_gb");
  const auto image = json::text(object, "bundle");
  if (!valid_name(image)) return fault("bundle");
  job.image = ImageId(*image);
  if (!read_amount(object, "image_gb", kMaxAmount, job.image_gb)) return fault("image_gb");
  if (!read_machine_types(object, job.machine_types)) return fault("builds");
  if (json::field(object, "district") != nullptr) {
    const auto required_zone = json::text(object, "district");
    if (!valid_name(required_zone)) return fault("district");
    job.required_zone = ZoneId(*required_zone);
  }
  if (!read_flag(object, "together", job.together)) return fault("together");
  if (!read_flag(object, "spread", job.spread)) return fault("spread");
  if (!read_flag(object, "loaners", job.allows_spot)) return fault("loaners");
  if (!read_seconds(object, "expect_s", job.estimated_run)) return fault("expect_s");
  if (!read_seconds(object, "snapshot_s", job.checkpoint_interval)) return fault("snapshot_s");
  if (!read_seconds(object, "stash_s", job.save_time)) return fault("stash_s");
  if (json::field(object, "due_s") != nullptr) {
    Duration deadline{};
    if (!read_seconds(object, "due_s", deadline)) return fault("due_s");
    job.deadline = deadline;
  }
  if (job.endless()) {
    // It holds its room without end, and is never complete: a deadline says nothing.
    job.estimated_run = kEndless;
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
  out.put("together", job.together)
      .put("spread", job.spread)
      .put("loaners", job.allows_spot)
      .put("expect_s", to_seconds(job.estimated_run))
      .put("snapshot_s", to_seconds(job.checkpoint_interval))
      .put("stash_s", to_seconds(job.save_time));
  if (job.deadline) out.put("due_s", to_seconds(*job.deadline));
  out.close();
}

}  // namespace marblevale
