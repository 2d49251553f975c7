// Profiles, reservations and budgets for tests of the planner.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "scheduling/planner.hpp"
#include "support/helpers.hpp"

namespace marblevale::testing {

/// The `budget_spent` check of a planning round whose budget is never used up.
inline bool unlimited_budget(double) { return false; }

inline Profile profile_of_one_machine(double gpus) {
  Profile profile;
  profile.add_machine(machine("m", gpus));
  return profile;
}

/// A reservation from an earlier round that has not changed since, with one place on each of the
/// machines. `start` and `end` are in seconds, as for `at`.
inline Reservation reserved(double start, double end,
                            const std::vector<std::string>& machine_ids = {"m"}) {
  Reservation out;
  for (const auto& machine_id : machine_ids) {
    out.places.push_back({MachineId(machine_id), at(start), at(end)});
  }
  out.granted_start = out.start = at(start);
  out.end = at(end);
  out.changed = false;
  return out;
}

inline std::vector<std::string> started_jobs(const std::vector<JobStart>& starts) {
  std::vector<std::string> out;
  out.reserve(starts.size());
  for (const JobStart& start : starts) out.push_back(start.job_id.get());
  return out;
}

}  // namespace marblevale::testing
