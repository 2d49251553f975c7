#include "config/settings.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>
#include <utility>

#include "config/toml_section.hpp"

namespace marblevale {

namespace {

/// Stands for "no limit": more than any machine, team or task has of a resource.
constexpr double kUnlimited = 1e12;
constexpr double kBytesPerKib = 1024;

[[noreturn]] void throw_invalid_address(const std::string& key) {
  throw SettingsError(key, "not in the form ADDRESS:PORT");
}

Address read_address(const TomlSection& section, const char* key) {
  return parse_address(section.text(key), section.key_path(key));
}

std::vector<Peer> read_peers(const TomlSection& root) {
  std::vector<Peer> peers;
  root.for_each_section("peers", [&peers](const TomlSection& peer) {
    peers.push_back(
        {NodeId(peer.text("node")), ZoneId(peer.text("site")), read_address(peer, "peer_addr")});
  });
  return peers;
}

Team read_team(const TomlSection& section) {
  Team team;
  team.name = TeamId(section.text("name"));
  team.guaranteed_cpus = section.number("cpus", 0);
  team.guaranteed_gpus = section.number("gpus", 0);
  team.max_cpus = section.number("cpus_max", 0);
  team.max_gpus = section.number("gpus_max", 0);
  return team;
}

std::vector<Team> read_teams(const TomlSection& cluster) {
  std::vector<Team> teams;
  const std::size_t count = cluster.for_each_section(
      "teams", [&teams](const TomlSection& section) { teams.push_back(read_team(section)); });
  if (count == 0) throw SettingsError(cluster.key_path("teams"), "missing, or empty");
  return teams;
}

std::optional<Objective::Kind> parse_objective_kind(const std::string& name) {
  if (name == "wait") return Objective::Kind::wait;
  if (name == "finished") return Objective::Kind::finished;
  if (name == "deadline") return Objective::Kind::deadline;
  if (name == "guarantee") return Objective::Kind::guarantee;
  return std::nullopt;
}

/// Returns nothing for an unknown kind, which a later version of the settings may define.
std::optional<Objective> read_objective(const TomlSection& section) {
  const auto kind = parse_objective_kind(section.text("kind"));
  if (!kind) return std::nullopt;
  Objective objective;
  objective.kind = *kind;
  if (section.contains("class")) objective.job_class = section.text("class");
  if (objective.kind != Objective::Kind::deadline) {
    objective.within = from_seconds(section.positive("within_s"));
  }
  return objective;
}

std::vector<Objective> read_objectives(const TomlSection& cluster) {
  std::vector<Objective> objectives;
  cluster.for_each_section("objectives", [&objectives](const TomlSection& section) {
    if (auto objective = read_objective(section)) objectives.push_back(std::move(*objective));
  });
  return objectives;
}

std::vector<ZoneId> read_zones(const TomlSection& cluster) {
  std::vector<ZoneId> zones;
  for (const std::string& zone : cluster.texts("zones")) zones.emplace_back(zone);
  return zones;
}

WorkerTimes read_worker_times(const TomlSection& cluster) {
  const TomlSection workers = cluster.section("workers");
  WorkerTimes times;
  times.heartbeat = from_seconds(workers.positive("report_s"));
  times.lease = from_seconds(workers.positive("lease_s"));
  times.gang_wait = from_seconds(workers.positive("gang_wait_s"));
  times.gang_peer = from_seconds(workers.positive("gang_peer_s"));
  times.cancel = from_seconds(workers.positive("cancel_s"));
  if (times.cancel <= times.lease) {
    throw SettingsError(workers.key_path("cancel_s"), "must be more than lease_s");
  }
  return times;
}

std::size_t read_value_bytes(const TomlSection& section) {
  return static_cast<std::size_t>(section.positive("value_kb") * kBytesPerKib);
}

/// A limit without an announced value keeps its current value.
AnnouncedLimits read_announced_limits(const TomlSection& state, const StoreLimits& current) {
  const TomlSection announced = state.section("next");
  AnnouncedLimits next{current.rps, current.write_rps, current.value_bytes, current.txn_ops};
  if (announced.contains("rps")) next.rps = announced.positive("rps");
  if (announced.contains("write_rps")) next.write_rps = announced.positive("write_rps");
  if (announced.contains("value_kb")) next.value_bytes = read_value_bytes(announced);
  next.txn_ops = announced.count("txn_ops", current.txn_ops);
  return next;
}

StoreLimits read_store_limits(const TomlSection& cluster, std::size_t nodes) {
  const TomlSection state = cluster.section("state");
  StoreLimits limits;
  limits.rps = state.positive("rps");
  limits.write_rps = state.positive("write_rps");
  limits.value_bytes = read_value_bytes(state);
  limits.nodes = nodes;
  limits.txn_ops = state.count("txn_ops");
  if (state.contains("next")) limits.next = read_announced_limits(state, limits);
  return limits;
}

/// Reads the settings of this controller, its peers, and the services that it calls.
void read_node(const TomlSection& root, Settings& settings) {
  settings.node = NodeId(root.text("node"));
  settings.zone = ZoneId(root.text("site"));
  settings.user_address = read_address(root, "serve_on");
  settings.peer_address = read_address(root, "peer_bind");
  settings.peers = read_peers(root);
  const TomlSection endpoints = root.section("endpoints");
  settings.cloud_address = read_address(endpoints, "cloud");
  settings.state_service_address = read_address(endpoints, "state");
}

/// Reads the settings that all controllers of the cluster share.
void read_cluster(const TomlSection& cluster, Settings& settings) {
  settings.zones = read_zones(cluster);
  settings.clock_error = from_seconds(cluster.number("clock_error_ms", 0) / 1000);
  settings.teams = read_teams(cluster);
  settings.objectives = read_objectives(cluster);
  settings.workers = read_worker_times(cluster);
  settings.store = read_store_limits(cluster, settings.node_count());

  const TomlSection cloud = cluster.section("cloud");
  settings.cloud_rps = cloud.positive("rps");
  settings.list_lag = from_seconds(cloud.number("list_lag_s"));

  const TomlSection limits = cluster.section("machine_limits");
  settings.machine_memory_mb = limits.number("ram_mb", 0);
  settings.max_sockets = static_cast<int>(limits.number("max_sockets", 0));
}

toml::table parse_toml(const std::string& document) {
  try {
    return toml::parse(document);
  } catch (const toml::parse_error& error) {
    std::ostringstream problem;
    problem << "line " << error.source().begin.line << ": " << error.description();
    throw SettingsError(problem.str());
  }
}

}  // namespace

Resources Team::limit() const {
  return {max_cpus > 0 ? max_cpus : kUnlimited, max_gpus > 0 ? max_gpus : kUnlimited, kUnlimited,
          kUnlimited};
}

Resources Team::guarantee() const {
  if (guaranteed_cpus <= 0 && guaranteed_gpus <= 0) return {0, 0, kUnlimited, kUnlimited};
  return {guaranteed_cpus > 0 ? guaranteed_cpus : kUnlimited,
          guaranteed_gpus > 0 ? guaranteed_gpus : kUnlimited, kUnlimited, kUnlimited};
}

const Team* Settings::team(const TeamId& name) const {
  const auto it = std::find_if(teams.begin(), teams.end(),
                               [&](const Team& candidate) { return candidate.name == name; });
  return it == teams.end() ? nullptr : &*it;
}

Address parse_address(const std::string& text, const std::string& key) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) throw_invalid_address(key);
  Address address;
  address.host = text.substr(0, colon);
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(begin, end, address.port);
  if (error != std::errc{} || parsed_end != end || address.port == 0) throw_invalid_address(key);
  return address;
}

Settings parse_settings(const std::string& document) {
  const toml::table table = parse_toml(document);
  const TomlSection root(table, "");
  Settings settings;
  read_node(root, settings);
  read_cluster(root.section("cluster"), settings);
  return settings;
}

Settings load_settings(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw SettingsError("cannot read " + path);
  std::ostringstream text;
  text << in.rdbuf();
  return parse_settings(text.str());
}

}  // namespace marblevale
