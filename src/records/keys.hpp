// The keys of the records in the state service.
#pragma once

#include <cstdint>
#include <string>

#include "core/ids.hpp"

namespace marblevale {

/// Machines whose names have neighbouring numbers share a page of this many.
inline constexpr std::uint64_t kPageMachines = 24;

/// All live records have one prefix, so that one watch follows them. The record of a job that has
/// ended moves to `final/`, which nobody watches: a restart reads only what is unfinished.
namespace keys {
inline constexpr const char* kLive = "mv/";
inline constexpr const char* kLeader = "mv/leader";
inline constexpr const char* kTypes = "mv/types";
std::string node(const NodeId& node);
std::string shard(const ZoneId& zone);
std::string job(const JobId& job_id);
std::string guarantee_record(const JobId& job_id);
std::string slice(const JobId& job_id, std::uint32_t number);
/// The page of the machine: machines whose names have neighbouring numbers share one.
std::string machine_page(const ZoneId& zone, const MachineId& machine_id);
std::string provisioning_request(const std::string& name);
std::string final_job(const JobId& job_id);
}  // namespace keys

}  // namespace marblevale
