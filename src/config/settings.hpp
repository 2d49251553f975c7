// The settings file that the platform hands over, and the operators' own settings.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/store_limits.hpp"
#include "core/address.hpp"
#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"

namespace marblevale {

struct Peer {
  NodeId node;
  ZoneId zone;
  Address address;
};

struct Team {
  TeamId name;
  double cpus = 0;      // guaranteed
  double gpus = 0;      // guaranteed
  double cpus_max = 0;  // 0: no limit is given
  double gpus_max = 0;

  /// What the team's tasks may take at most.
  [[nodiscard]] Resources limit() const;
  [[nodiscard]] Resources guarantee() const;
  [[nodiscard]] bool has_guarantee() const { return cpus > 0 || gpus > 0; }
};

/// What is expected of a class of jobs.
struct Objective {
  enum class Kind { wait, finished, deadline, guarantee };
  Kind kind = Kind::wait;
  std::string job_class;  // empty: any
  Duration within{};      // not of a deadline
};

struct WorkerTimes {
  Duration heartbeat{};
  Duration lease{};
  Duration gang_wait{};
  Duration gang_peer{};
  Duration cancel{};
};

/// Report intervals without a heartbeat after which a machine is called silent.
inline constexpr double kSilentHeartbeats = 2.5;

/// Operators' own settings: flags and variables only.
struct Tuning {
  Duration round_budget{120};  // time of one round of decisions
  Duration shard_lease{30'000};
  Duration session_lease{4'000};
  Duration idle_return{90'000};  // a machine idle for this long goes back
  std::uint32_t max_open_jobs = 5000;
};

struct Settings {
  NodeId node;
  ZoneId zone;
  Address users;  // serve_on
  Address peers_at;
  std::vector<Peer> peers;
  Address cloud;
  Address state;
  std::vector<ZoneId> zones;
  Duration clock_error{};
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  WorkerTimes workers;
  StoreLimits store;
  double cloud_rps = 1;
  Duration list_lag{};
  double ram_mb = 0;
  int max_sockets = 0;
  Tuning tuning;

  [[nodiscard]] const Team* team(const TeamId& name) const;
  [[nodiscard]] std::size_t node_count() const { return peers.size() + 1; }
};

/// A setting that is missing or wrong; the message names the field.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

Settings load_settings(const std::string& path);
Settings parse_settings(const std::string& document);
Address parse_address(const std::string& text, const std::string& field);

}  // namespace marblevale
