// The settings file that the platform provides, and the operators' own settings.
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
  Address address;  // for controllers, not for users
};

/// A team with its quota: the guaranteed minimum and the limit.
struct Team {
  TeamId name;
  double guaranteed_cpus = 0;  // guaranteed
  double guaranteed_gpus = 0;  // guaranteed
  double max_cpus = 0;         // 0: unlimited, as in the settings file
  double max_gpus = 0;         // 0: unlimited, as in the settings file

  /// The most that the team's tasks may use at a time.
  [[nodiscard]] Resources limit() const;
  /// What the team's tasks are entitled to; a resource without a guarantee doesn't restrict one
  /// that has one.
  [[nodiscard]] Resources guarantee() const;
  [[nodiscard]] bool has_guarantee() const { return guaranteed_cpus > 0 || guaranteed_gpus > 0; }
};

/// A service-level objective for a class of jobs.
struct Objective {
  enum class Kind { wait, finished, deadline, guarantee };
  Kind kind = Kind::wait;
  std::string job_class;  // empty: any
  Duration within{};      // unused for a deadline, which each job brings along
};

/// Intervals and timeouts of the worker protocol.
struct WorkerTimes {
  Duration heartbeat{};  // between two heartbeats of a worker
  Duration lease{};      // a worker stops its tasks when no heartbeat is answered for this long
  Duration gang_wait{};
  Duration gang_peer{};
  Duration cancel{};  // within which a cancelled job's tasks have stopped; more than `lease`
};

/// Heartbeat intervals without a heartbeat after which a worker counts as silent.
inline constexpr double kSilentHeartbeats = 2.5;

/// The operators' own settings, from flags and environment variables.
struct Tuning {
  Duration round_budget{120};  // time that one round of the leader's decisions may take
  Duration shard_lease{30'000};
  Duration session_lease{4'000};
  Duration idle_return{90'000};        // a machine idle for this long is returned to the cloud
  std::uint32_t max_open_jobs = 5000;  // unfinished jobs, above which none is accepted
};

/// All that a controller is told about itself and the cluster.
struct Settings {
  NodeId node;
  ZoneId zone;
  Address user_address;  // serves users and workers
  Address peer_address;  // serves the other controllers
  std::vector<Peer> peers;
  Address cloud_address;          // the machine provider's API
  Address state_service_address;  // the state service
  std::vector<ZoneId> zones;
  Duration clock_error{};  // by which wall clocks of two machines differ at most
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  WorkerTimes workers;
  StoreLimits store;
  double cloud_rps = 1;
  Duration list_lag{};           // by which the cloud's list of machines may be behind
  double machine_memory_mb = 0;  // of the controller's machine; 0: unknown
  int max_sockets = 0;           // of the controller's process; 0: unknown
  Tuning tuning;

  /// Null for an unknown team.
  [[nodiscard]] const Team* team(const TeamId& name) const;
  /// Controllers of the cluster, this one included.
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
