// A job as its user describes it (POST /api/jobs), and the checks on it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/amounts.hpp"
#include "core/strong.hpp"
#include "core/time.hpp"
#include "wire/json.hpp"

namespace marblevale {

/// A standing job is a service: its tasks run until it is cancelled.
enum class Shape { batch, ensemble, standing };
enum class Urgency { low, standard, urgent, production };

const char* name_of(Shape shape);
const char* name_of(Urgency urgency);

struct JobSpec {
  Uid uid;
  std::string workclass;
  TeamId crew;
  Shape shape = Shape::batch;
  Urgency urgency = Urgency::standard;
  std::uint32_t parts = 1;
  Room need;  // of each task
  ImageId bundle;
  double image_gb = 0;
  std::vector<std::string> builds;  // empty: any
  std::optional<ZoneId> district;
  bool together = false;
  bool spread = false;
  bool loaners = false;
  Span expect;
  Span snapshot;
  Span stash;
  std::optional<Span> due;

  [[nodiscard]] bool gang() const { return shape == Shape::ensemble; }
  [[nodiscard]] bool endless() const { return shape == Shape::standing; }
};

/// True for an id in the form that the protocol gives ("req-" and 1 to 32 digits, letters or
/// dashes).
bool valid_uid(std::string_view uid);

/// Reads a job; on a fault, `why` names the field.
std::optional<JobSpec> parse_job(const json::Value& object, std::string& why);

/// Writes the job with the wire's names, as a record keeps it.
void write_job(json::Writer& out, const JobSpec& job);

}  // namespace marblevale
