// Parsing of the settings file: values, ignored unknown keys, announced limits, and errors that
// name the key.
#include "config/settings.hpp"

#include <gtest/gtest.h>

#include <string>

namespace marblevale {
namespace {

const char* const kSettings = R"(
node = "n0"
site = "a"
serve_on = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
later_field = 1
[[peers]]
node = "n1"
site = "b"
peer_addr = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
count = 2
zones = ["a", "b"]
clock_error_ms = 25.0
[[cluster.teams]]
name = "t"
gpus = 8.0
gpus_max = 24.0
[[cluster.objectives]]
kind = "wait"
class = "c"
within_s = 18.0
share = 0.88
[cluster.workers]
report_s = 3.0
lease_s = 24.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 49.0
[cluster.state]
rps = 250.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 24
[cluster.cloud]
rps = 6.0
list_lag_s = 8.0
[cluster.machine_limits]
core_share = 0.04
ram_mb = 56.0
max_sockets = 700
)";

std::string error_after_replacing(const std::string& from, const std::string& to) {
  std::string text = kSettings;
  text.replace(text.find(from), from.size(), to);
  try {
    parse_settings(text);
  } catch (const SettingsError& error) {
    return error.what();
  }
  return "";
}

TEST(Settings, AreParsedAndUnknownFieldsIgnored) {
  const Settings settings = parse_settings(kSettings);
  EXPECT_EQ(settings.node, NodeId("n0"));
  EXPECT_EQ(settings.peers.at(0).address.port, 8081);
  EXPECT_EQ(settings.workers.cancel, Duration{49'000});
  EXPECT_EQ(settings.objectives.at(0).within, Duration{18'000});
  EXPECT_EQ(settings.team(TeamId("t"))->limit().gpus, 24);
  EXPECT_GT(settings.team(TeamId("t"))->limit().cpus, 1e9) << "no limit on CPUs is given";
}

TEST(Settings, AnErrorNamesItsField) {
  EXPECT_NE(error_after_replacing("node = \"n0\"", "").find("node"), std::string::npos);
  EXPECT_NE(error_after_replacing("10.0.0.1:8080", "10.0.0.1").find("serve_on"), std::string::npos);
  EXPECT_NE(
      error_after_replacing("lease_s = 24.0", "lease_s = \"x\"").find("cluster.workers.lease_s"),
      std::string::npos);
  EXPECT_NE(error_after_replacing("rps = 250.0", "rps = -1").find("cluster.state.rps"),
            std::string::npos);
  EXPECT_NE(error_after_replacing("gpus = 8.0", "gpus = nan").find("cluster.teams[0].gpus"),
            std::string::npos);
  EXPECT_NE(error_after_replacing("cancel_s = 49.0", "cancel_s = 20.0").find("cancel_s"),
            std::string::npos);
  EXPECT_NE(error_after_replacing("[cluster.cloud]", "[cluster.cloud").find("line"),
            std::string::npos);
  EXPECT_THROW(load_settings("/nowhere/at/all.toml"), SettingsError);
}

TEST(Settings, AnnouncedStoreLimitsAreParsed) {
  EXPECT_FALSE(parse_settings(kSettings).store.next) << "absent: as today";
  const auto with_table = [](const std::string& table) {
    std::string text = kSettings;
    const std::string after = "txn_ops = 24\n";
    return text.insert(text.find(after) + after.size(), table);
  };
  const Settings settings = parse_settings(with_table(
      "[cluster.state.next]\nwrite_rps = 70.0\nvalue_kb = 2.0\ntxn_ops = 8\nlater = \"x\"\n"));
  ASSERT_TRUE(settings.store.next);
  EXPECT_EQ(settings.store.next->value_bytes, 2048U);
  EXPECT_EQ(settings.store.next->txn_ops, 8U);
  EXPECT_EQ(settings.store.next->write_rps, 70);
  EXPECT_EQ(settings.store.next->rps, 250) << "what is not named stays";
  EXPECT_EQ(settings.store.txn_ops, 24U) << "the present limits stay until then";
  const auto error_message = [&](const std::string& table) -> std::string {
    try {
      parse_settings(with_table(table));
    } catch (const SettingsError& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_NE(error_message("next = 3\n").find("cluster.state.next"), std::string::npos);
  for (const std::string key : {"rps", "write_rps", "value_kb", "txn_ops"}) {
    const std::string head = "[cluster.state.next]\n" + key;
    for (const std::string value : {" = 0\n", " = -1\n", " = \"x\"\n", " = nan\n"}) {
      EXPECT_NE(error_message(head + value).find("cluster.state.next." + key), std::string::npos)
          << key << value;
    }
  }
}

}  // namespace
}  // namespace marblevale
