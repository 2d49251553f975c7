// Stand-ins of the second review: a state service, a cloud, workers, users and the platform that starts
// the controllers, all in one process on loopback addresses and the real clock. They follow the
// project's pages; a case changes their behaviour by the switches below.
#pragma once

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace world {

using Json = rapidjson::Document;
using Value = rapidjson::Value;

double now();                                             // seconds since the start of the case
void after(double delay_s, std::function<void()> then);   // a timer on the one event loop
void record(const char* format, ...) __attribute__((format(printf, 1, 2)));
std::string text_of(const Value& v);
std::string get_text(const Value& v, const char* name);
std::uint64_t get_count(const Value& v, const char* name);
double get_number(const Value& v, const char* name, double otherwise = 0);

struct Reply {
  int status = 0;  // 0: no answer
  std::string body;
};
/// Sends one request on a new connection. `then` is called once; after `timeout_s` with status 0.
void request(int port, bool post, const std::string& path, const std::string& body,
             double timeout_s, std::function<void(Reply)> then);

/// A server on a free loopback port. The handler must answer each request, now or later, by
/// `answer`, or leave it unanswered.
class Server {
 public:
  using Handler =
      std::function<void(evhttp_request*, const std::string& path, const std::string& query,
                         const std::string& body, bool post)>;
  explicit Server(Handler handler);
  int port = 0;

 private:
  Handler handler_;
};
void answer(evhttp_request* request, int status, const std::string& body);

// --- The state service -----------------------------------------------------------------------
struct StateService {
  struct Entry {
    std::string value;
    std::uint64_t stamp = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::uint64_t stamp;
    std::string key;
    std::optional<std::string> value;
  };
  struct Lease {
    double ttl;
    double expires;
  };
  struct Watch {
    evhttp_request* request;
    std::string prefix;
    std::uint64_t after;
    double until;
    int node;
  };
  explicit StateService(int nodes);

  // Switches.
  double latency_s = 0.002;
  std::set<int> refused_nodes;     // these nodes get 503, the others are served
  bool outage = false;             // every node gets 503; open watches wait
  bool newest_first = false;       // the order of `log` within one answer
  std::size_t value_limit = 8 * 1024;
  int txn_ops = 16;
  double rps = 150, write_rps = 50;
  /// Decides the fate of a transaction: its answer is lost, or it is carried out late.
  struct Fate {
    bool lose_answer = false;
    double apply_after_s = 0;
    double repeat_after_s = 0;  // a copy of it arrives so much later
  };
  std::function<Fate(int node, const Json& txn)> fate;
  std::function<void(const Change&)> on_change;

  std::map<std::string, Entry> entries;
  std::uint64_t revision = 0;
  std::vector<std::unique_ptr<Server>> servers;  // one for each node, so that one can be refused
  [[nodiscard]] int port(int node) const { return servers[static_cast<std::size_t>(node)]->port; }
  std::map<std::string, int> counts;  // of answers, by kind

 private:
  void serve(int node, evhttp_request* request, const std::string& path, const std::string& query,
             const std::string& body, bool post);
  Reply commit(const Json& txn);
  std::string changes_since(const std::string& prefix, std::uint64_t since) const;
  void change(std::uint64_t stamp, const std::string& key, std::optional<std::string> value,
              std::uint64_t lease);
  void expire_leases();
  void notify_watches();
  bool take(double& tokens, double& last, double rate, double amount);
  std::deque<Change> log_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t last_lease_ = 6;
  std::vector<Watch> watches_;
  double request_tokens_ = 0, request_last_ = 0, write_tokens_ = 0, write_last_ = 0;
  bool was_out_ = false;
};

// --- Jobs, as users describe them ---------------------------------------------------------------
struct Job {
  std::string uid, team = "hudud-mappers-00", shape = "batch", urgency = "standard", district;
  std::vector<std::string> builds;
  int parts = 1;
  double cpus = 1, accelerators = 1, memory_gb = 4, image_gb = 0.4, expect_s = 10, run_s = 10;
  double snapshot_s = 0, stash_s = 0;
  bool together = false, spread = false, loaners = false;
  bool fails = false;  // submitted with a mistake
  [[nodiscard]] std::string body() const;
  // What users were told, and when. -1: not yet.
  double accepted_at = -1, cancel_told_at = -1, done_told_at = -1, cancel_asked_at = -1;
  std::map<int, bool> completed;  // tasks that have completed
};

// --- Workers and the cloud ----------------------------------------------------------------------
struct World;
struct Part {
  std::string status = "fetching", cause;
  bool saved = false;
  double since = 0, running_since = -1, ends_at = -1;
};
struct Worker {
  using Key = std::pair<std::string, std::uint64_t>;  // part and try
  World& world;
  std::string host, build, district;
  bool loaners = false;
  std::uint64_t tenure = 1, tally = 0, warrant = 0;
  std::map<Key, Part> parts;
  std::set<std::string> images;
  std::unique_ptr<Server> server;
  double lease_from = 0, last_sent = -10, next_report = 0, last_warrant_change = -100;
  int node = 0;
  bool in_flight = false, changed = true, gone = false;
  std::uint64_t report_id = 0;
  // Switches.
  bool hangs = false;       // neither runs nor answers until it goes on
  bool mute = false;        // reaches no controller, while direct commands reach it
  bool deaf = false;        // its reports arrive; answers and direct commands are lost
  double hold_orders_s = 0; // direct commands are held up for so long and then carried out
  double repeat_orders_s = 0;   // a copy of each direct command arrives so much later
  double repeat_reports_s = 0;  // a copy of each report arrives so much later, at any controller

  Worker(World& w, std::string host_name, std::string type, std::string zone, bool spot);
  [[nodiscard]] std::string address() const;
  std::string report();
  void tick();
  void send_report();
  void on_reply(std::uint64_t id, std::uint64_t sent_tenure, double sent_at, const Reply& reply);
  void execute(const Value& orders);
  void start(const std::string& part, std::uint64_t attempt);
  void kill(const Key& key, double leeway);
  void end(const Key& key, const std::string& cause, bool saved = false);
  void run(const Key& key);
  void expire_lease();
  void serve_orders(evhttp_request* request, const std::string& body);
  Reply do_orders(const std::string& body);
};

struct MachineType {
  std::string name;
  double cpus, gpus, memory_gb, boot_s;
  std::vector<std::string> zones;
};

struct Controller {
  std::string name, zone, settings_path;
  int user_port = 0, peer_port = 0, pid = 0;
  bool wanted = false;  // the platform starts it again when it ends
  int ended_by_itself = 0;
};

struct Options {
  int nodes = 3;
  std::vector<std::string> zones{"ghor", "balqa", "karak"};
  double report_s = 3, lease_s = 45, gang_wait_s = 40, gang_peer_s = 6, cancel_s = 70;
  double rps = 150, write_rps = 50, value_kb = 8, list_lag_s = 4, cloud_rps = 6, ram_mb = 264;
  int txn_ops = 16, teams = 16;
  double team_gpus = 16, team_gpus_max = 40;
  std::string run, folder, extra_state;
};

struct World {
  explicit World(Options o);
  Options options;
  std::unique_ptr<StateService> state;
  std::unique_ptr<Server> cloud;
  bool cloud_out = false;
  std::vector<Controller> controllers;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::map<std::string, Job> jobs;
  std::vector<MachineType> types;
  std::map<std::string, std::vector<std::string>> hires;
  int last_machine = 0;
  bool provisions = false;  // whether the cloud has capacity beyond the first machines
  std::mt19937 random{1};
  std::vector<std::string> broken;  // rules that were broken

  void add_type(const std::string& name, double cpus, double gpus, double memory, double boot_s);
  Worker& add_machine(const std::string& type, const std::string& zone, bool spot);
  void start_controllers();
  void start(std::size_t node);
  void kill(std::size_t node);      // SIGKILL; starts again only by `start`
  void stop(std::size_t node);      // SIGSTOP
  void go_on(std::size_t node);     // SIGCONT
  void end_all();
  void reap();
  void submit(const std::string& uid, std::size_t node, std::function<void(int)> then = nullptr);
  void poll(const std::string& uid, std::size_t node, std::function<void(Reply)> then = nullptr);
  void cancel(const std::string& uid, std::size_t node, std::function<void(int)> then = nullptr);
  void tick();
  void serve_cloud(evhttp_request* request, const std::string& path, const std::string& query,
                   const std::string& body, bool post);
  void break_rule(const std::string& rule, const std::string& what);
  // Rules that are checked as it happens.
  void on_task_starts(Worker& worker, const std::string& part, std::uint64_t attempt);
  [[nodiscard]] int leader() const;                       // the node that leads, or -1
  [[nodiscard]] int holder(const std::string& zone) const;  // or -1
  void check_gangs();
};

/// Runs the event loop until `seconds` have passed or `stop_loop` is called.
void run_loop(double seconds);
void stop_loop();

std::string job_of(const std::string& part);
int index_of(const std::string& part);

}  // namespace world
