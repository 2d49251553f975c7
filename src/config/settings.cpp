#include "config/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <limits>
#include <sstream>

namespace marblevale {

namespace {

constexpr double kUnlimited = 1e12;

[[noreturn]] void fail(const std::string& field, const std::string& what) {
  throw SettingsError(field + ": " + what);
}

std::string join(const std::string& prefix, const char* name) {
  return prefix.empty() ? name : prefix + "." + name;
}

const toml::table& table(const toml::table& t, const std::string& prefix, const char* name) {
  const auto* sub = t[name].as_table();
  if (sub == nullptr) fail(join(prefix, name), "missing, or not a table");
  return *sub;
}

std::string text(const toml::table& t, const std::string& prefix, const char* name) {
  const auto v = t[name].value_exact<std::string>();
  if (!v || v->empty()) fail(join(prefix, name), "missing, or not a text");
  return *v;
}

double number(const toml::table& t, const std::string& prefix, const char* name,
              std::optional<double> standard = std::nullopt) {
  if (!t.contains(name) && standard) return *standard;
  const auto v = t[name].value<double>();
  if (!v || !std::isfinite(*v)) fail(join(prefix, name), "missing, or not a number");
  if (*v < 0 || *v > 1e9) fail(join(prefix, name), "out of range");
  return *v;
}

double positive(const toml::table& t, const std::string& prefix, const char* name) {
  const double v = number(t, prefix, name);
  if (v <= 0) fail(join(prefix, name), "must be more than 0");
  return v;
}

std::vector<Peer> read_peers(const toml::table& root) {
  std::vector<Peer> peers;
  const auto* list = root["peers"].as_array();
  if (list == nullptr) return peers;
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string at = "peers[" + std::to_string(i) + "]";
    const auto* peer = list->get(i)->as_table();
    if (peer == nullptr) fail(at, "not a table");
    peers.push_back({NodeId(text(*peer, at, "node")), ZoneId(text(*peer, at, "site")),
                     parse_address(text(*peer, at, "peer_addr"), at + ".peer_addr")});
  }
  return peers;
}

std::vector<Team> read_teams(const toml::table& cluster) {
  std::vector<Team> teams;
  const auto* list = cluster["teams"].as_array();
  if (list == nullptr || list->empty()) fail("cluster.teams", "missing, or empty");
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string at = "cluster.teams[" + std::to_string(i) + "]";
    const auto* item = list->get(i)->as_table();
    if (item == nullptr) fail(at, "not a table");
    Team team;
    team.name = TeamId(text(*item, at, "name"));
    team.cpus = number(*item, at, "cpus", 0);
    team.gpus = number(*item, at, "gpus", 0);
    team.cpus_max = number(*item, at, "cpus_max", 0);
    team.gpus_max = number(*item, at, "gpus_max", 0);
    teams.push_back(team);
  }
  return teams;
}

std::vector<Objective> read_objectives(const toml::table& cluster) {
  std::vector<Objective> objectives;
  const auto* list = cluster["objectives"].as_array();
  if (list == nullptr) return objectives;
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string at = "cluster.objectives[" + std::to_string(i) + "]";
    const auto* item = list->get(i)->as_table();
    if (item == nullptr) fail(at, "not a table");
    const std::string kind = text(*item, at, "kind");
    Objective objective;
    if (kind == "wait") {
      objective.kind = Objective::Kind::wait;
    } else if (kind == "finished") {
      objective.kind = Objective::Kind::finished;
    } else if (kind == "deadline") {
      objective.kind = Objective::Kind::deadline;
    } else if (kind == "guarantee") {
      objective.kind = Objective::Kind::guarantee;
    } else {
      continue;  // kinds of later versions
    }
    if (item->contains("class")) objective.job_class = text(*item, at, "class");
    if (objective.kind != Objective::Kind::deadline) {
      objective.within = from_seconds(positive(*item, at, "within_s"));
    }
    objectives.push_back(std::move(objective));
  }
  return objectives;
}

std::vector<ZoneId> read_zones(const toml::table& cluster) {
  std::vector<ZoneId> zones;
  const auto* list = cluster["zones"].as_array();
  if (list == nullptr || list->empty()) fail("cluster.zones", "missing, or empty");
  for (const auto& item : *list) {
    const auto zone = item.value_exact<std::string>();
    if (!zone || zone->empty()) fail("cluster.zones", "holds what is not a text");
    zones.emplace_back(*zone);
  }
  return zones;
}

}  // namespace

Resources Team::limit() const {
  return {cpus_max > 0 ? cpus_max : kUnlimited, gpus_max > 0 ? gpus_max : kUnlimited, kUnlimited};
}

Resources Team::guarantee() const {
  if (cpus <= 0 && gpus <= 0) return {0, 0, kUnlimited};
  return {cpus > 0 ? cpus : kUnlimited, gpus > 0 ? gpus : kUnlimited, kUnlimited};
}

const Team* Settings::team(const TeamId& name) const {
  const auto it =
      std::find_if(teams.begin(), teams.end(), [&](const Team& t) { return t.name == name; });
  return it == teams.end() ? nullptr : &*it;
}

Address parse_address(const std::string& text, const std::string& field) {
  const auto colon = text.rfind(':');
  Address address;
  if (colon == std::string::npos || colon == 0) fail(field, "not in the form ADDRESS:PORT");
  address.host = text.substr(0, colon);
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(begin, end, address.port);
  if (fault != std::errc{} || stop != end || address.port == 0) {
    fail(field, "not in the form ADDRESS:PORT");
  }
  return address;
}

namespace {

WorkerTimes read_worker_times(const toml::table& cluster) {
  const auto& workers = table(cluster, "cluster", "workers");
  const std::string at = "cluster.workers";
  const WorkerTimes times{from_seconds(positive(workers, at, "report_s")),
                          from_seconds(positive(workers, at, "lease_s")),
                          from_seconds(positive(workers, at, "gang_wait_s")),
                          from_seconds(positive(workers, at, "gang_peer_s")),
                          from_seconds(positive(workers, at, "cancel_s"))};
  if (times.cancel <= times.lease) {
    fail("cluster.workers.cancel_s", "must be more than lease_s");
  }
  return times;
}

/// A number of at least 1; what is absent is `standard`.
std::size_t count(const toml::table& t, const std::string& prefix, const char* name,
                  std::optional<std::size_t> standard) {
  if (!t.contains(name) && standard) return *standard;
  const double v = number(t, prefix, name);
  if (v < 1) fail(join(prefix, name), "must be at least 1");
  return static_cast<std::size_t>(v);
}

std::size_t value_bytes(const toml::table& t, const std::string& prefix,
                        std::optional<std::size_t> standard) {
  constexpr double kBytesPerKib = 1024;
  if (!t.contains("value_kb") && standard) return *standard;
  return static_cast<std::size_t>(positive(t, prefix, "value_kb") * kBytesPerKib);
}

AnnouncedLimits read_announced_limits(const toml::table& state, const StoreLimits& now) {
  const auto& announced = table(state, "cluster.state", "next");
  const std::string at = "cluster.state.next";
  AnnouncedLimits next{now.rps, now.write_rps, now.value_bytes, now.txn_ops};
  if (announced.contains("rps")) next.rps = positive(announced, at, "rps");
  if (announced.contains("write_rps")) next.write_rps = positive(announced, at, "write_rps");
  next.value_bytes = value_bytes(announced, at, now.value_bytes);
  next.txn_ops = count(announced, at, "txn_ops", now.txn_ops);
  return next;
}

StoreLimits read_store_limits(const toml::table& cluster, std::size_t nodes) {
  const auto& state = table(cluster, "cluster", "state");
  StoreLimits limits;
  limits.rps = positive(state, "cluster.state", "rps");
  limits.write_rps = positive(state, "cluster.state", "write_rps");
  limits.value_bytes = value_bytes(state, "cluster.state", std::nullopt);
  limits.nodes = nodes;
  limits.txn_ops = count(state, "cluster.state", "txn_ops", std::nullopt);
  if (state.contains("next")) limits.next = read_announced_limits(state, limits);
  return limits;
}

}  // namespace

Settings parse_settings(const std::string& document) {
  toml::table root;
  try {
    root = toml::parse(document);
  } catch (const toml::parse_error& e) {
    std::ostringstream where;
    where << "line " << e.source().begin.line << ": " << e.description();
    throw SettingsError(where.str());
  }
  Settings s;
  s.node = NodeId(text(root, "", "node"));
  s.zone = ZoneId(text(root, "", "site"));
  s.users = parse_address(text(root, "", "serve_on"), "serve_on");
  s.peers_at = parse_address(text(root, "", "peer_bind"), "peer_bind");
  s.peers = read_peers(root);
  const auto& endpoints = table(root, "", "endpoints");
  s.cloud = parse_address(text(endpoints, "endpoints", "cloud"), "endpoints.cloud");
  s.state = parse_address(text(endpoints, "endpoints", "state"), "endpoints.state");

  const auto& cluster = table(root, "", "cluster");
  s.zones = read_zones(cluster);
  s.clock_error = from_seconds(number(cluster, "cluster", "clock_error_ms", 0) / 1000);
  s.teams = read_teams(cluster);
  s.objectives = read_objectives(cluster);

  s.workers = read_worker_times(cluster);
  s.store = read_store_limits(cluster, s.node_count());

  const auto& cloud = table(cluster, "cluster", "cloud");
  s.cloud_rps = positive(cloud, "cluster.cloud", "rps");
  s.list_lag = from_seconds(number(cloud, "cluster.cloud", "list_lag_s"));

  const auto& limits = table(cluster, "cluster", "machine_limits");
  s.ram_mb = number(limits, "cluster.machine_limits", "ram_mb", 0);
  s.max_sockets = static_cast<int>(number(limits, "cluster.machine_limits", "max_sockets", 0));
  return s;
}

Settings load_settings(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw SettingsError("cannot read " + path);
  std::ostringstream text;
  text << in.rdbuf();
  return parse_settings(text.str());
}

}  // namespace marblevale
