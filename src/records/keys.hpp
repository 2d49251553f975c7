// The keys under which records are stored in the state service.
#pragma once

#include <cstdint>
#include <string>

#include "core/ids.hpp"

namespace marblevale {

/// Machines per page. Machines whose names have neighbouring numbers share a page.
inline constexpr std::uint64_t kPageMachines = 24;

/// All live records share the prefix `mv/`, so that one watch covers them. The record of an ended
/// job moves to `final/`, which no controller watches, so that a restart reads only unfinished
/// jobs.
namespace keys {
inline constexpr const char* kLive = "mv/";
inline constexpr const char* kLeader = "mv/leader";
inline constexpr const char* kTypes = "mv/types";
std::string node(const NodeId& node);
std::string shard(const ZoneId& zone);
std::string job(const JobId& job_id);
std::string guarantee_record(const JobId& job_id);
std::string slice(const JobId& job_id, std::uint32_t number);
/// The common prefix of the keys of the job's slices.
std::string slices_of(const JobId& job_id);
/// The key of the page that holds the machine. A machine whose name does not end in a number has a
/// page of its own.
std::string machine_page(const ZoneId& zone, const MachineId& machine_id);
std::string provisioning_request(const std::string& name);
std::string final_job(const JobId& job_id);
}  // namespace keys

}  // namespace marblevale
