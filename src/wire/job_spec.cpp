#include "wire/job_spec.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace marblevale {

namespace {

constexpr std::uint64_t kMaxParts = 100'000;
constexpr double kMaxAmount = 1e6;   // CPUs, accelerators and GB of one task
constexpr double kMaxSeconds = 1e8;  // about three years
constexpr std::size_t kMaxName = 128;
constexpr Span kEndless{90'000'000'000};

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

/// A flag that may be absent; any other type is a fault.
bool read_flag(const json::Value& object, const char* name, bool required, bool& out) {
  if (!required && json::field(object, name) == nullptr) return true;
  const auto v = json::flag(object, name);
  if (v) out = *v;
  return v.has_value();
}

bool read_seconds(const json::Value& object, const char* name, bool required, Span& out) {
  if (!required && json::field(object, name) == nullptr) return true;
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

bool read_builds(const json::Value& object, std::vector<std::string>& out) {
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

const char* name_of(Shape shape) { return kShapes.at(static_cast<std::size_t>(shape)); }
const char* name_of(Urgency urgency) { return kUrgencies.at(static_cast<std::size_t>(urgency)); }

bool valid_uid(std::string_view uid) {
  constexpr std::string_view kPrefix = "req-";
  if (uid.substr(0, kPrefix.size()) != kPrefix) return false;
  uid.remove_prefix(kPrefix.size());
  return !uid.empty() && uid.size() <= 32 && std::all_of(uid.begin(), uid.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-';
  });
}

std::optional<JobSpec> parse_job(const json::Value& object, std::string& why) {
  JobSpec job;
  const auto fault = [&why](const char* name) {
    why = name;
    return std::nullopt;
  };
  const auto uid = json::text(object, "uid");
  if (!uid || !valid_uid(*uid)) return fault("uid");
  job.uid = Uid(*uid);
  const auto workclass = json::text(object, "workclass");
  if (!valid_name(workclass)) return fault("workclass");
  job.workclass = *workclass;
  const auto crew = json::text(object, "crew");
  if (!valid_name(crew)) return fault("crew");
  job.crew = TeamId(*crew);
  if (!read_enum(object, "shape", kShapes, job.shape)) return fault("shape");
  if (!read_enum(object, "urgency", kUrgencies, job.urgency)) return fault("urgency");
  const auto parts = json::count(object, "parts");
  if (!parts || *parts == 0 || *parts > kMaxParts) return fault("parts");
  job.parts = static_cast<std::uint32_t>(*parts);
  if (!read_amount(object, "cpus", kMaxAmount, job.need.cpus)) return fault("cpus");
  if (!read_amount(object, "accelerators", kMaxAmount, job.need.gpus)) return fault("accelerators");
  if (!read_amount(object, "memory_gb", kMaxAmount, job.need.memory_gb)) return fault("memory_gb");
  const auto bundle = json::text(object, "bundle");
  if (!valid_name(bundle)) return fault("bundle");
  job.bundle = ImageId(*bundle);
  if (!read_amount(object, "image_gb", kMaxAmount, job.image_gb)) return fault("image_gb");
  if (!read_builds(object, job.builds)) return fault("builds");
  if (json::field(object, "district") != nullptr) {
    const auto district = json::text(object, "district");
    if (!valid_name(district)) return fault("district");
    job.district = ZoneId(*district);
  }
  // Only what may be null may be absent, except of a service, whose fields nobody has published.
  const bool required = !job.endless();
  if (!read_flag(object, "together", required, job.together)) return fault("together");
  if (!read_flag(object, "spread", required, job.spread)) return fault("spread");
  if (!read_flag(object, "loaners", required, job.loaners)) return fault("loaners");
  if (!read_seconds(object, "expect_s", required, job.expect)) return fault("expect_s");
  // A service holds its room without end.
  if (job.endless()) job.expect = kEndless;
  if (!read_seconds(object, "snapshot_s", required, job.snapshot)) return fault("snapshot_s");
  if (!read_seconds(object, "stash_s", required, job.stash)) return fault("stash_s");
  if (json::field(object, "due_s") != nullptr) {
    Span due;
    if (!read_seconds(object, "due_s", true, due)) return fault("due_s");
    job.due = due;
  }
  return job;
}

void write_job(json::Writer& out, const JobSpec& job) {
  out.open()
      .put("uid", job.uid.get())
      .put("workclass", job.workclass)
      .put("crew", job.crew.get())
      .put("shape", name_of(job.shape))
      .put("urgency", name_of(job.urgency))
      .put("parts", static_cast<std::uint64_t>(job.parts))
      .put("cpus", job.need.cpus)
      .put("accelerators", job.need.gpus)
      .put("memory_gb", job.need.memory_gb)
      .put("bundle", job.bundle.get())
      .put("image_gb", job.image_gb);
  if (!job.builds.empty()) {
    out.key("builds").open_list();
    for (const auto& build : job.builds) out.value(build);
    out.close_list();
  }
  if (job.district) out.put("district", job.district->get());
  out.put("together", job.together)
      .put("spread", job.spread)
      .put("loaners", job.loaners)
      .put("expect_s", job.expect.seconds())
      .put("snapshot_s", job.snapshot.seconds())
      .put("stash_s", job.stash.seconds());
  if (job.due) out.put("due_s", job.due->seconds());
  out.close();
}

}  // namespace marblevale
