// The configuration of a controller: the settings file that the platform provides, and the tuning
// settings that operators may override. Loaded settings have every required key, with a value in
// its range.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/settings_error.hpp"
#include "config/store_limits.hpp"
#include "core/address.hpp"
#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"

namespace marblevale {

/// Another controller of the cluster.
struct Peer {
  NodeId node;
  ZoneId zone;
  Address address;  // serves controllers, not users
};

/// A team and its quota: the guaranteed minimum and the limit.
struct Team {
  TeamId name;
  double guaranteed_cpus = 0;  // 0: no guarantee
  double guaranteed_gpus = 0;  // 0: no guarantee
  double max_cpus = 0;         // 0: unlimited, as in the settings file
  double max_gpus = 0;         // 0: unlimited, as in the settings file

  /// The maximum that the team's tasks may use at a time.
  [[nodiscard]] Resources limit() const;
  /// The amounts that the team's tasks are entitled to. If only CPUs or only GPUs are guaranteed,
  /// the other amount is unlimited, so that it doesn't restrict the guaranteed one. Without any
  /// guarantee, both are 0.
  [[nodiscard]] Resources guarantee() const;
  [[nodiscard]] bool has_guarantee() const { return guaranteed_cpus > 0 || guaranteed_gpus > 0; }
};

/// A service-level objective for a class of jobs.
struct Objective {
  enum class Kind { wait, finished, deadline, guarantee };
  Kind kind = Kind::wait;
  std::string job_class;  // empty: every class
  Duration within{};      // unused for `deadline` (each job states its own) and `guarantee`
};

/// Intervals and timeouts of the worker protocol.
struct WorkerTimes {
  Duration heartbeat{};  // interval between two heartbeats of a worker
  Duration lease{};      // a worker stops its tasks when no heartbeat is answered for this long
  Duration gang_wait{};  // read and checked, but not used by the controller
  Duration gang_peer{};  // read and checked, but not used by the controller
  Duration cancel{};     // a cancelled job's tasks must stop within this time; longer than `lease`
};

/// A worker counts as silent after this many heartbeat intervals without a heartbeat.
inline constexpr double kSilentHeartbeats = 2.5;

/// Settings that operators may override by flags and environment variables.
struct Tuning {
  Duration round_budget{120};          // time limit of one round of the leader's decisions
  Duration shard_lease{30'000};        // lease under which a controller holds shards
  Duration session_lease{4'000};       // lease for a controller's liveness and leadership
  Duration idle_return{90'000};        // a machine idle for this long is returned to the cloud
  std::uint32_t max_open_jobs = 5000;  // unfinished jobs at which no further job is accepted
};

/// The configuration of one controller and of its cluster.
struct Settings {
  NodeId node;
  ZoneId zone;
  Address user_address;  // serves users and workers
  Address peer_address;  // serves the other controllers
  std::vector<Peer> peers;
  Address cloud_address;  // the machine provider's API
  Address state_service_address;
  std::vector<ZoneId> zones;
  Duration clock_error{};  // maximum difference between the wall clocks of two machines
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  WorkerTimes workers;
  StoreLimits store;
  double cloud_rps = 1;          // requests per second to the cloud's API
  Duration list_lag{};           // maximum staleness of the cloud's list of machines
  double machine_memory_mb = 0;  // memory of the controller's machine; 0: unknown
  int max_sockets = 0;           // sockets that the controller's process may open; 0: unknown
  Tuning tuning;

  /// Returns null for an unknown team.
  [[nodiscard]] const Team* team(const TeamId& name) const;
  /// The number of controllers of the cluster, including this one.
  [[nodiscard]] std::size_t node_count() const { return peers.size() + 1; }
};

/// Reads a settings file. Throws SettingsError when it can't be read or is invalid.
Settings load_settings(const std::string& path);
/// Parses the text of a settings file (TOML). Throws SettingsError when it is invalid; unknown keys
/// are ignored.
Settings parse_settings(const std::string& document);
/// Parses ADDRESS:PORT. Throws SettingsError, with `key`, when the text has another form.
Address parse_address(const std::string& text, const std::string& key);

}  // namespace marblevale
