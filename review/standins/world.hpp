// Stand-ins for the state service, the cloud, the workers and the users, as the protocol pages
// describe them, and a checker of the rules. One thread, real clock, loopback only.
#pragma once
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <signal.h>
#include <sys/socket.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace sim {
using std::string;
using u64 = std::uint64_t;
using Doc = rapidjson::Document;
using Val = rapidjson::Value;

inline event_base* base = nullptr;
inline std::mt19937_64 rng{1};
inline double uni() { return std::uniform_real_distribution<double>(0, 1)(rng); }
inline double uni(double a, double b) { return a + (b - a) * uni(); }
inline double now() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}
inline double t0 = 0;
inline FILE* record = nullptr;
inline void note(const char* format, ...) {
  if (record == nullptr) return;
  std::fprintf(record, "%8.3f ", now() - t0);
  va_list args;
  va_start(args, format);
  std::vfprintf(record, format, args);
  va_end(args);
  std::fputc('\n', record);
  std::fflush(record);
}
inline std::vector<string> violations;
inline void violate(const string& rule, const string& what) {
  violations.push_back(rule + ": " + what);
  note("RULE BROKEN %s: %s", rule.c_str(), what.c_str());
}

inline string text_of(const Val& v) {
  rapidjson::StringBuffer b;
  rapidjson::Writer<rapidjson::StringBuffer> w(b);
  v.Accept(w);
  return {b.GetString(), b.GetSize()};
}
inline string quoted(const string& s) {
  Val v(s.data(), static_cast<rapidjson::SizeType>(s.size()));
  return text_of(v);
}
inline string str(const Val& o, const char* k, const string& d = "") {
  const auto it = o.FindMember(k);
  return it != o.MemberEnd() && it->value.IsString() ? it->value.GetString() : d;
}
inline u64 num(const Val& o, const char* k, u64 d = 0) {
  const auto it = o.FindMember(k);
  return it != o.MemberEnd() && it->value.IsUint64() ? it->value.GetUint64() : d;
}
inline double dbl(const Val& o, const char* k, double d = 0) {
  const auto it = o.FindMember(k);
  return it != o.MemberEnd() && it->value.IsNumber() ? it->value.GetDouble() : d;
}
inline string cat(const char* format, ...) {
  char buffer[4096];
  va_list args;
  va_start(args, format);
  std::vsnprintf(buffer, sizeof buffer, format, args);
  va_end(args);
  return buffer;
}

// ---- timers ----
inline void after(double seconds, std::function<void()> f) {
  struct Once {
    std::function<void()> f;
  };
  auto* once = new Once{std::move(f)};
  if (seconds < 0) seconds = 0;
  timeval tv{static_cast<time_t>(seconds),
             static_cast<suseconds_t>((seconds - std::floor(seconds)) * 1e6)};
  event_base_once(
      base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* p) {
        auto* o = static_cast<Once*>(p);
        o->f();
        delete o;
      },
      once, &tv);
}
inline void every(double seconds, std::function<void()> f) {
  after(seconds, [seconds, f] {
    f();
    every(seconds, f);
  });
}

// ---- HTTP server ----
struct Req {
  evhttp_request* r;
  string method, path, body;
  std::map<string, string> query;
  void reply(int status, const string& text) const {
    evhttp_add_header(evhttp_request_get_output_headers(r), "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(r), text.data(), text.size());
    evhttp_send_reply(r, status, nullptr, nullptr);
  }
};
struct Server {
  evhttp* http = nullptr;
  int port = 0;
  std::function<void(Req)> handler;
  explicit Server(std::function<void(Req)> h) : handler(std::move(h)) {
    http = evhttp_new(base);
    evhttp_set_timeout(http, 120);
    auto* bound = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
    if (bound == nullptr) {
      std::fprintf(stderr, "cannot bind\n");
      std::exit(2);
    }
    sockaddr_in a{};
    socklen_t n = sizeof a;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&a), &n);
    port = ntohs(a.sin_port);
    evhttp_set_gencb(
        http,
        [](evhttp_request* r, void* p) {
          Req q;
          q.r = r;
          q.method = evhttp_request_get_command(r) == EVHTTP_REQ_GET      ? "GET"
                     : evhttp_request_get_command(r) == EVHTTP_REQ_DELETE ? "DELETE"
                                                                          : "POST";
          const string uri = evhttp_request_get_uri(r);
          const auto mark = uri.find('?');
          q.path = uri.substr(0, mark);
          if (mark != string::npos) {
            evkeyvalq kv;
            evhttp_parse_query_str(uri.c_str() + mark + 1, &kv);
            for (auto* e = kv.tqh_first; e != nullptr; e = e->next.tqe_next)
              q.query[e->key] = e->value;
            evhttp_clear_headers(&kv);
          }
          evbuffer* in = evhttp_request_get_input_buffer(r);
          q.body.resize(evbuffer_get_length(in));
          evbuffer_copyout(in, q.body.data(), q.body.size());
          static_cast<Server*>(p)->handler(std::move(q));
        },
        this);
  }
};
// A port below the range from which the system takes the ports of outgoing connections.
inline int free_port() {
  static std::set<int> taken;
  static std::mt19937 ports{std::random_device{}()};
  while (true) {
    const int port = 20000 + static_cast<int>(ports() % 12000);
    if (taken.count(port)) continue;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<unsigned short>(port));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free = bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
    close(fd);
    if (!free) continue;
    taken.insert(port);
    return port;
  }
}

// ---- HTTP client: one connection for each call; status 0: no answer ----
using Answer = std::function<void(int, const string&)>;
struct Call {
  evhttp_connection* c = nullptr;
  Answer cb;
  event* timer = nullptr;
  bool done = false;
  void finish(int status, const string& body) {
    if (done) return;
    done = true;
    event_del(timer);
    auto f = std::move(cb);
    after(0, [this] {
      evhttp_connection_free(c);
      event_free(timer);
      delete this;
    });
    f(status, body);
  }
};
inline void call(const char* method, int port, const string& path, const string& body,
                 double timeout, Answer cb) {
  auto* k = new Call;
  k->cb = std::move(cb);
  k->c = evhttp_connection_base_new(base, nullptr, "127.0.0.1", static_cast<unsigned short>(port));
  evhttp_connection_set_timeout(k->c, 300);
  k->timer = event_new(
      base, -1, 0, [](evutil_socket_t, short, void* p) { static_cast<Call*>(p)->finish(0, ""); },
      k);
  timeval tv{static_cast<time_t>(timeout),
             static_cast<suseconds_t>((timeout - std::floor(timeout)) * 1e6)};
  event_add(k->timer, &tv);
  auto* r = evhttp_request_new(
      [](evhttp_request* answer, void* p) {
        const int status = answer == nullptr ? 0 : evhttp_request_get_response_code(answer);
        string text;
        if (status != 0) {
          evbuffer* in = evhttp_request_get_input_buffer(answer);
          text.resize(evbuffer_get_length(in));
          evbuffer_copyout(in, text.data(), text.size());
        }
        static_cast<Call*>(p)->finish(status, text);
      },
      k);
  auto* headers = evhttp_request_get_output_headers(r);
  evhttp_add_header(headers, "Host", "127.0.0.1");
  evhttp_add_header(headers, "Connection", "close");
  if (!body.empty())
    evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
  if (evhttp_make_request(k->c, r, string(method) == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                          path.c_str()) != 0)
    k->finish(0, "");
}

// ---- state service ----
struct Bucket {
  double rate = 0, level = 0, at = 0;
  double seconds = 1;  // the burst that is allowed, in seconds of the rate
  bool take(double n) {
    const double t = now();
    level = std::min(rate * seconds, level + (t - at) * rate);
    at = t;
    if (level < n) return false;
    level -= n;
    return true;
  }
};
struct Front {  // the state service as one controller reaches it
  enum class Mode { ok, refuse, silent } mode = Mode::ok;
  double latency = 0.003;
  double late_share = 0, lost_share = 0;  // of commits: carried out late / only the answer lost
  std::unique_ptr<Server> server;
};
struct Store {
  struct Entry {
    string value;
    u64 stamp = 0, permit = 0;
  };
  struct Change {
    u64 stamp;
    string key;
    std::optional<string> value;
  };
  struct Lease {
    double ttl, until;
  };
  struct Watch {
    Req q;
    std::size_t front;
    string prefix;
    u64 after;
    double until;
  };
  std::map<string, Entry> data;
  std::deque<Change> log;
  std::map<u64, Lease> leases;
  std::vector<Watch> watches;
  std::vector<std::unique_ptr<Front>> fronts;
  u64 rev = 0, next_lease = 1;
  bool outage = false;
  double value_bytes = 16 * 1024;
  std::size_t txn_ops = 24;
  Bucket rps{250, 250, 0}, wps{100, 100, 0};
  std::function<void(const string&, const std::optional<string>&, u64)> on_change;

  int add_front() {
    const std::size_t i = fronts.size();
    fronts.push_back(std::make_unique<Front>());
    fronts[i]->server = std::make_unique<Server>([this, i](Req q) { arrive(i, std::move(q)); });
    return fronts[i]->server->port;
  }
  void begin() {
    every(0.02, [this] { tick(); });
  }
  void set_outage(bool on) {
    outage = on;
    if (!on)
      for (auto& [id, l] : leases) l.until = now() + l.ttl;
    note("state service outage=%d", on);
  }
  void tick() {
    const double t = now();
    if (!outage) {
      std::vector<u64> ended;
      for (auto& [id, l] : leases)
        if (l.until < t) ended.push_back(id);
      for (u64 id : ended) end_lease(id);
    }
    serve_watches(t);
  }
  void end_lease(u64 id) {
    leases.erase(id);
    std::vector<string> gone;
    for (auto& [k, e] : data)
      if (e.permit == id) gone.push_back(k);
    if (gone.empty()) return;
    ++rev;
    for (auto& k : gone) change(k, std::nullopt, 0);
  }
  void change(const string& key, std::optional<string> value, u64 permit) {
    if (value)
      data[key] = {*value, rev, permit};
    else
      data.erase(key);
    log.push_back({rev, key, value});
    if (log.size() > 10000) log.pop_front();
    if (on_change) on_change(key, value, rev);
  }
  bool blocked(std::size_t f) const { return outage || fronts[f]->mode != Front::Mode::ok; }
  void serve_watches(double t) {
    for (std::size_t i = 0; i < watches.size();) {
      Watch& w = watches[i];
      if (blocked(w.front)) {
        ++i;
        continue;
      }
      bool any = false;
      for (auto it = log.rbegin(); it != log.rend() && it->stamp > w.after; ++it)
        if (it->key.compare(0, w.prefix.size(), w.prefix) == 0) {
          any = true;
          break;
        }
      if (!any && t < w.until) {
        ++i;
        continue;
      }
      Watch done = w;
      watches.erase(watches.begin() + static_cast<long>(i));
      done.q.reply(200, changes(done.prefix, done.after));
    }
  }
  string changes(const string& prefix, u64 since) const {
    string out = cat("{\"ledger_rev\":%llu,\"log\":[", static_cast<unsigned long long>(rev));
    bool first = true;
    for (const auto& c : log) {
      if (c.stamp <= since || c.key.compare(0, prefix.size(), prefix) != 0) continue;
      if (!first) out += ',';
      first = false;
      if (c.value)
        out += "{\"put\":" + quoted(c.key) + ",\"value\":" + *c.value;
      else
        out += "{\"delete\":" + quoted(c.key);
      out += ",\"stamp\":" + std::to_string(c.stamp) + "}";
    }
    return out + "]}";
  }
  void arrive(std::size_t f, Req q) {
    const double d = fronts[f]->latency * uni(0.5, 1.5);
    after(d, [this, f, q] { serve(f, q); });
  }
  void serve(std::size_t f, const Req& q) {
    Front& front = *fronts[f];
    if (front.mode == Front::Mode::silent) return;  // never answered
    if (blocked(f)) {
      q.reply(503, "{\"error\":\"trouble\"}");
      return;
    }
    if (!rps.take(1)) {
      q.reply(429, "{}");
      return;
    }
    if (q.path == "/commit") {
      Doc d;
      d.Parse(q.body.c_str());
      if (d.HasParseError() || !d.IsObject() || q.body.size() > 65536) {
        q.reply(400, "{\"error\":\"malformed\"}");
        return;
      }
      double writes = d.HasMember("apply") ? d["apply"].Size() : 0;
      if (writes > 0 && !wps.take(writes)) {
        q.reply(429, "{}");
        return;
      }
      if (uni() < front.late_share) {
        const double wait = uni(2, 12);
        note("transaction of front %zu is held for %.1f s", f, wait);
        after(wait, [this, body = q.body] {
          string out;
          const int status = commit(body, out);
          note("held transaction carried out: %d", status);
        });
        return;
      }
      string out;
      const int status = commit(q.body, out);
      if (uni() < front.lost_share) {
        note("answer %d to a transaction of front %zu is lost", status, f);
        return;
      }
      q.reply(status, out);
      serve_watches(now());
    } else if (q.path.rfind("/store/", 0) == 0) {
      const string key = q.path.substr(7);
      const auto it = data.find(key);
      if (it == data.end())
        q.reply(404, "{\"ledger_rev\":" + std::to_string(rev) + "}");
      else
        q.reply(200, item(it->first, it->second));
    } else if (q.path == "/store") {
      const string prefix = q.query.count("starts") ? q.query.at("starts") : "";
      const string from = q.query.count("after") ? q.query.at("after") : "";
      std::size_t limit = q.query.count("limit") ? std::stoul(q.query.at("limit")) : 1000;
      limit = std::min<std::size_t>(limit, 1000);
      string out = "{\"items\":[";
      std::size_t n = 0;
      bool more = false;
      for (auto it = data.lower_bound(prefix); it != data.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0) break;
        if (!from.empty() && it->first <= from) continue;
        if (n >= limit || out.size() > 500 * 1024) {
          more = true;
          break;
        }
        if (n++ > 0) out += ',';
        out += item(it->first, it->second);
      }
      out += string("],\"has_next\":") + (more ? "true" : "false") +
             ",\"ledger_rev\":" + std::to_string(rev) + "}";
      q.reply(200, out);
    } else if (q.path == "/changes") {
      const u64 since = std::stoull(q.query.at("after"));
      const double hold = q.query.count("hold_ms") ? std::stod(q.query.at("hold_ms")) / 1000 : 0;
      if (log.size() >= 10000 && since + 1 < log.front().stamp) {
        q.reply(410, "{}");
        return;
      }
      watches.push_back({q, f, q.query.count("starts") ? q.query.at("starts") : "", since,
                         now() + std::min(hold, 60.0)});
      serve_watches(now());
    } else if (q.path == "/leases") {
      Doc d;
      d.Parse(q.body.c_str());
      const double ttl = static_cast<double>(num(d, "ttl_ms")) / 1000;
      const u64 id = next_lease++;
      leases[id] = {ttl, now() + ttl};
      q.reply(200, "{\"permit\":" + std::to_string(id) + "}");
    } else if (q.path.rfind("/leases/", 0) == 0) {
      const u64 id = std::stoull(q.path.substr(8));
      const auto it = leases.find(id);
      if (it == leases.end()) {
        q.reply(404, "{}");
      } else if (q.method == "DELETE") {
        end_lease(id);
        q.reply(200, "{}");
      } else {
        it->second.until = now() + it->second.ttl;
        q.reply(200, "{\"permit\":" + std::to_string(id) + "}");
      }
    } else {
      q.reply(400, "{}");
    }
  }
  static string item(const string& key, const Entry& e) {
    string out = "{\"path\":" + quoted(key) + ",\"value\":" + e.value +
                 ",\"stamp\":" + std::to_string(e.stamp);
    if (e.permit != 0) out += ",\"permit\":" + std::to_string(e.permit);
    return out + "}";
  }
  int commit(const string& body, string& out) {
    Doc d;
    d.Parse(body.c_str());
    string failed;
    if (d.HasMember("guards"))
      for (auto& g : d["guards"].GetArray()) {
        const auto it = data.find(str(g, "path"));
        const u64 have = it == data.end() ? 0 : it->second.stamp;
        if (have != num(g, "stamp")) failed += (failed.empty() ? "" : ",") + quoted(str(g, "path"));
      }
    std::size_t ops = 0;
    if (d.HasMember("apply"))
      for (auto& a : d["apply"].GetArray()) {
        ++ops;
        if (a.HasMember("put")) {
          if (a.HasMember("permit") && !leases.count(num(a, "permit"))) {
            out = "{\"error\":\"no such lease\"}";
            return 400;
          }
          if (static_cast<double>(text_of(a["value"]).size()) > value_bytes) {
            out = "{\"error\":\"too large\"}";
            return 400;
          }
        }
      }
    if (ops > txn_ops || (d.HasMember("guards") && d["guards"].Size() > 4 * txn_ops)) {
      out = "{\"error\":\"too many\"}";
      return 400;
    }
    if (!failed.empty()) {
      out = "{\"failed\":[" + failed + "],\"ledger_rev\":" + std::to_string(rev) + "}";
      return 409;
    }
    if (ops > 0) {
      ++rev;
      for (auto& a : d["apply"].GetArray()) {
        if (a.HasMember("put"))
          change(str(a, "put"), text_of(a["value"]), num(a, "permit"));
        else
          change(str(a, "delete"), std::nullopt, 0);
      }
    }
    out = "{\"ledger_rev\":" + std::to_string(rev) + "}";
    return 200;
  }
};

// ---- jobs, as their users describe them ----
struct Job {
  string id, team = "soins-nord", shape = "batch", urgency = "standard", workclass = "swap-resolve";
  int parts = 1;
  double cpus = 2, gpus = 1, mem = 4, image_gb = 1, expect = 20, run = 20, snapshot = 0, stash = 0;
  string image = "img-1", zone;
  bool together = false, spread = false, spot = false, fails = false;
  std::vector<string> builds;
  // what the user knows
  bool sent = false, accepted = false, told_done = false, told_cancelled = false,
       asked_cancel = false;
  double sent_at = 0, accepted_at = 0, cancelled_at = 0, done_at = 0, last_answer_at = 0;
  // what has happened
  std::set<int> done_parts;
  std::map<int, double> progress;
  double gang_progress = 0;
  string body() const {
    string out = cat(
        "{\"uid\":\"%s\",\"workclass\":\"%s\",\"crew\":\"%s\",\"shape\":\"%s\",\"urgency\":\"%s\","
        "\"parts\":%d,\"cpus\":%.3f,\"accelerators\":%.3f,\"memory_gb\":%.3f,\"bundle\":\"%s\","
        "\"image_gb\":%.3f,",
        id.c_str(), workclass.c_str(), team.c_str(), shape.c_str(), urgency.c_str(), parts, cpus,
        gpus, mem, image.c_str(), image_gb);
    out += "\"builds\":null,";
    out += zone.empty() ? string("\"district\":null,") : "\"district\":\"" + zone + "\",";
    out += cat(
        "\"together\":%s,\"spread\":%s,\"loaners\":%s,\"expect_s\":%.3f,\"snapshot_s\":%.3f,"
        "\"stash_s\":%.3f,\"due_s\":null}",
        together ? "true" : "false", spread ? "true" : "false", spot ? "true" : "false",
        shape == "standing" ? 0.0 : expect, snapshot, stash);
    return out;
  }
  bool gang() const { return shape == "ensemble"; }
};

// ---- machines and their workers ----
struct World;
struct Task {
  string job;
  int part = 0;
  u64 attempt = 0;
  string status, cause;
  bool saved = false;
  double until = 0;       // end of the fetch, of the run or of the saving
  double waiting_since = 0, running_since = 0, halted_at = 0;
  bool on_machine() const {
    return status == "gathering" || status == "running" || status == "flushing";
  }
};
struct Machine {
  World& w;
  string id, type, zone;
  bool spot = false;
  double created = 0, up_at = 0, gone_at = -1;
  bool up = false;
  u64 tenure = 1, tally = 0, warrant = 0;
  std::map<std::pair<string, u64>, Task> tasks;  // by "job/part" and attempt
  std::set<string> images;
  std::unique_ptr<Server> server;
  double lease_from = 0, next_report = 0, last_report = 0;
  bool in_flight = false, changed = false;
  std::size_t node = 0;
  double last_token_change = -100;
  double troubled_at = -1000, answered_at = -1000;
  int holder = -1;  // the controller that last answered 200
  // trouble
  bool hung = false, deaf = false, mute = false;
  double late_commands = 0, late_reports = 0;
  std::vector<Req> held;
  double hung_since = 0;
  Machine(World& world, string name) : w(world), id(std::move(name)) {}
  void boot();
  void serve(const Req& q);
  string report() const;
  void orders(const Val& list);
  void start(const string& part, u64 attempt);
  void kill(const string& part, u64 attempt, double leeway);
  void tick(double t);
  void send_report();
  void answered(double sent, u64 session, int status, const string& body);
  void end(Task& task, const string& cause, bool saved = false);
  void expire();
  void hang();
  void resume();
  void vanish();
};

struct Node {
  string name, zone;
  int user_port = 0, peer_port = 0;
  std::size_t front = 0;
  int cloud_port = 0;
  bool cloud_ok = true;
  std::unique_ptr<Server> cloud_server;
  pid_t pid = 0;
  bool stopped = false;
  int starts = 0;
  bool workers_cut = false;  // it and the workers can't reach each other
  std::set<u64> tokens;      // of its answers to reports
  std::vector<std::function<void()>> held_orders;
};

struct Settings {
  double report = 3, lease = 24, gang_wait = 35, gang_peer = 8, cancel = 49;
  double rps = 250, write_rps = 100, value_kb = 16;
  int txn_ops = 24;
  double cloud_rps = 6, list_lag = 8;
  double boot = 5;
  std::vector<string> zones{"beauce", "laurentides", "mauricie"};
  std::vector<string> node_zones{"laurentides", "beauce", "mauricie"};
  std::map<string, std::pair<double, double>> teams{
      {"soins-nord", {8, 24}},   {"transit-estrie", {16, 40}}, {"preposes-mtl", {16, 64}},
      {"urgence-qc", {16, 40}}, {"entretien-sag", {16, 40}}};
  double ram_mb = 56;
  int capacity = 9;  // machines of each zone and kind
  string extra;      // further lines of [cluster.state]
};

struct World {
  Settings s;
  Store store;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<string, std::unique_ptr<Machine>> machines;
  std::map<string, Job> jobs;
  std::map<string, std::vector<string>> hires;
  int next_machine = 1;
  string dir;
  std::vector<string> command;  // `run` of the deploy file; the settings file is added to it
  double fetch_gb_per_s = 2;
  Bucket cloud_rate{6, 12, 0, 2};
  long starts = 0, completions = 0;
  std::function<void(const string&, const string&)> on_delete;
  std::function<void(Machine&, const Task&)> on_start;  // a task is on its machine

  Node& node(std::size_t i) { return *nodes[i]; }
  void setup(const string& temp, std::vector<string> run, std::size_t count = 3) {
    dir = temp;
    command = std::move(run);
    store.rps = {s.rps, s.rps, now()};
    store.wps = {s.write_rps, s.write_rps, now()};
    store.value_bytes = s.value_kb * 1024;
    store.txn_ops = static_cast<std::size_t>(s.txn_ops);
    for (std::size_t i = 0; i < count; ++i) {
      auto n = std::make_unique<Node>();
      n->name = "hub-" + std::to_string(i);
      n->zone = s.node_zones[i % s.node_zones.size()];
      n->user_port = free_port();
      n->peer_port = free_port();
      store.add_front();
      n->front = i;
      Node* raw = n.get();
      n->cloud_server = std::make_unique<Server>([this, raw](Req q) { cloud(*raw, std::move(q)); });
      n->cloud_port = n->cloud_server->port;
      nodes.push_back(std::move(n));
    }
    store.begin();
    every(0.05, [this] { tick(); });
  }
  void write_settings(std::size_t i) {
    const Node& n = *nodes[i];
    std::ostringstream o;
    o << "node = \"" << n.name << "\"\nsite = \"" << n.zone << "\"\nserve_on = \"127.0.0.1:"
      << n.user_port << "\"\npeer_bind = \"127.0.0.1:" << n.peer_port << "\"\n";
    for (auto& p : nodes)
      if (p->name != n.name)
        o << "[[peers]]\nnode = \"" << p->name << "\"\nsite = \"" << p->zone
          << "\"\npeer_addr = \"127.0.0.1:" << p->peer_port << "\"\n";
    o << "[endpoints]\ncloud = \"127.0.0.1:" << n.cloud_port << "\"\nstate = \"127.0.0.1:"
      << store.fronts[n.front]->server->port << "\"\n[cluster]\ncount = " << nodes.size()
      << "\nzones = [";
    for (std::size_t z = 0; z < s.zones.size(); ++z)
      o << (z ? ", " : "") << '"' << s.zones[z] << '"';
    o << "]\nclock_error_ms = 25.0\n";
    for (auto& [t, q] : s.teams)
      o << "[[cluster.teams]]\nname = \"" << t << "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = "
        << cat("%.1f", q.first) << "\ngpus_max = " << cat("%.1f", q.second) << "\n";
    for (const char* c : {"roster-solve", "swap-resolve"})
      o << "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"" << c
        << "\"\nwithin_s = 18.0\nshare = 0.9\n";
    o << "[cluster.workers]\n"
      << cat("report_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = "
             "%.1f\n",
             s.report, s.lease, s.gang_wait, s.gang_peer, s.cancel)
      << "[cluster.state]\n"
      << cat("rps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.rps, s.write_rps,
             s.value_kb, s.txn_ops)
      << s.extra << "[cluster.cloud]\n"
      << cat("rps = %.1f\nlist_lag_s = %.1f\n", s.cloud_rps, s.list_lag)
      << "[cluster.machine_limits]\ncore_share = 0.04\nram_mb = "
      << cat("%.1f", s.ram_mb) << "\nmax_sockets = 700\n";
    FILE* f = std::fopen((dir + "/" + n.name + ".toml").c_str(), "w");
    std::fputs(o.str().c_str(), f);
    std::fclose(f);
  }
  void start_node(std::size_t i) {
    Node& n = *nodes[i];
    write_settings(i);
    ++n.starts;
    const string log = dir + "/" + n.name + ".log", conf = dir + "/" + n.name + ".toml";
    n.pid = fork();
    if (n.pid == 0) {
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 2);
      dup2(fd, 1);
      for (int k = 3; k < 1024; ++k) close(k);
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      std::vector<char*> args;
      for (auto& word : command) args.push_back(const_cast<char*>(word.c_str()));
      args.push_back(const_cast<char*>(conf.c_str()));
      args.push_back(nullptr);
      execv(args[0], args.data());
      _exit(127);
    }
    n.stopped = false;
    note("started %s pid=%d", n.name.c_str(), static_cast<int>(n.pid));
  }
  void signal_node(std::size_t i, int sig) {
    Node& n = *nodes[i];
    if (n.pid <= 0) return;
    ::kill(n.pid, sig);
    note("signal %d to %s", sig, n.name.c_str());
    if (sig == SIGKILL) {
      waitpid(n.pid, nullptr, 0);
      n.pid = 0;
    }
    if (sig == SIGSTOP) n.stopped = true;
    if (sig == SIGCONT) n.stopped = false;
  }
  // The controller and the workers can't reach each other; what it sends them is held.
  void cut_workers(std::size_t i, bool on) {
    Node& n = *nodes[i];
    n.workers_cut = on;
    note("%s and the workers %s", n.name.c_str(), on ? "can't reach each other" : "are connected");
    if (!on)
      for (auto& order : std::exchange(n.held_orders, {})) order();
  }
  void cut_state(std::size_t i, bool on) {
    store.fronts[nodes[i]->front]->mode = on ? Front::Mode::silent : Front::Mode::ok;
    note("%s %s the state service", nodes[i]->name.c_str(), on ? "loses" : "reaches");
  }
  void end_all() {
    for (std::size_t i = 0; i < nodes.size(); ++i) signal_node(i, SIGKILL);
  }
  bool ended_by_itself = false;
  void check_processes() {
    for (auto& n : nodes) {
      if (n->pid <= 0) continue;
      int status = 0;
      if (waitpid(n->pid, &status, WNOHANG) == n->pid) {
        note("%s ended by itself, status %d", n->name.c_str(), status);
        n->pid = 0;
        ended_by_itself = true;
      }
    }
  }
  Machine& add_machine(const string& zone, bool spot, double boot) {
    const string id = cat("vm-%06d", next_machine++);
    auto m = std::make_unique<Machine>(*this, id);
    m->type = "erable-node";
    m->zone = zone;
    m->spot = spot;
    m->created = now();
    m->up_at = now() + boot;
    Machine& out = *m;
    machines[id] = std::move(m);
    return out;
  }
  std::size_t live(const string& zone, bool spot) const {
    std::size_t n = 0;
    for (auto& [id, m] : machines)
      if (m->gone_at < 0 && m->zone == zone && m->spot == spot) ++n;
    return n;
  }
  void cloud(Node& n, Req q) {
    if (!n.cloud_ok) {
      q.reply(503, "{\"error\":\"trouble\"}");
      return;
    }
    if (!cloud_rate.take(1)) {
      q.reply(429, "{}");
      return;
    }
    after(0.1, [this, q, name = n.name] { cloud_now(q, name); });
  }
  void cloud_now(const Req& q, const string& from) {
    const double t = now();
    if (q.path == "/machine_types") {
      string zones;
      for (auto& z : s.zones) zones += (zones.empty() ? "\"" : ",\"") + z + "\"";
      q.reply(200,
              "{\"builds\":[{\"name\":\"erable-node\",\"cpus\":16.0,\"accelerators\":2.0,"
              "\"memory_gb\":64.0,\"local_gb\":150.0,\"pull_gb_per_s\":0.8,\"hourly\":5.65,"
              "\"market_price\":2.05,\"ready_s\":50.0,\"districts\":[" +
                  zones + "]}]}");
    } else if (q.path == "/machines" && q.method == "GET") {
      const string from_id = q.query.count("after") ? q.query.at("after") : "";
      const double lag = s.list_lag * uni(0.6, 1.9);
      string out;
      for (auto& [id, m] : machines) {
        if (id <= from_id || m->created > t - lag || (m->gone_at >= 0 && m->gone_at <= t - lag))
          continue;
        out += (out.empty() ? "" : ",") +
               cat("{\"uid\":\"%s\",\"address\":\"127.0.0.1:%d\",\"build\":\"%s\",\"district\":"
                   "\"%s\",\"loaners\":%s,\"status\":\"%s\",\"age_s\":%.1f}",
                   id.c_str(), m->server ? m->server->port : 1, m->type.c_str(), m->zone.c_str(),
                   m->spot ? "true" : "false", m->up_at <= t - lag ? "running" : "starting",
                   t - lag - m->created);
      }
      q.reply(200, "{\"hosts\":[" + out + "],\"has_next\":false}");
    } else if (q.path == "/machines") {
      Doc d;
      d.Parse(q.body.c_str());
      const string name = str(d, "hire");
      auto it = hires.find(name);
      if (it == hires.end()) {
        const string zone = str(d, "district");
        const bool spot = d["loaners"].GetBool();
        std::vector<string> ids;
        for (u64 i = 0; i < num(d, "how_many"); ++i) {
          if (live(zone, spot) >= static_cast<std::size_t>(s.capacity)) break;
          ids.push_back(add_machine(zone, spot, s.boot * uni(0.6, 1.5)).id);
        }
        if (ids.empty()) {
          q.reply(503, "{\"error\":\"no capacity\"}");
          return;
        }
        note("cloud: %s rents %zu machines in %s", from.c_str(), ids.size(), zone.c_str());
        it = hires.emplace(name, ids).first;
      }
      string out;
      for (auto& id : it->second) out += (out.empty() ? "\"" : ",\"") + id + "\"";
      q.reply(200, "{\"hosts\":[" + out + "]}");
    } else {
      Doc d;
      d.Parse(q.body.c_str());
      for (auto& h : d["hosts"].GetArray()) {
        const auto it = machines.find(h.GetString());
        if (it == machines.end() || it->second->gone_at >= 0) continue;
        note("cloud: %s deletes %s (%zu tasks)", from.c_str(), h.GetString(),
             it->second->tasks.size());
        if (on_delete) on_delete(h.GetString(), from);
        it->second->vanish();
      }
      q.reply(200, "{}");
    }
  }
  double used(const string& team) const {
    double sum = 0;
    for (auto& [id, m] : machines) {
      if (m->gone_at >= 0) continue;
      for (auto& [k, task] : m->tasks)
        if (task.on_machine() && jobs.at(task.job).team == team) sum += jobs.at(task.job).gpus;
    }
    return sum;
  }
  // `task` is on machine `m` from now on.
  void began(Machine& m, const Task& task) {
    ++starts;
    const Job& job = jobs.at(task.job);
    const string name = task.job + "/" + std::to_string(task.part);
    note("on machine: %s try=%llu at %s", name.c_str(),
         static_cast<unsigned long long>(task.attempt), m.id.c_str());
    int in_zone = 0;
    for (auto& [id, other] : machines) {
      if (other->gone_at >= 0) continue;
      for (auto& [k, x] : other->tasks) {
        if (x.job != task.job || !x.on_machine()) continue;
        if (x.part == task.part && &x != &task)
          violate("ran_twice", name + " starts on " + m.id + " while it is on " + id);
        if (other->zone == m.zone) ++in_zone;
        if (job.together && other->zone != m.zone)
          violate("wrong_place", name + " in " + m.zone + " while another task is in " +
                                     other->zone);
      }
    }
    if (job.spread && in_zone > (job.parts + 1) / 2)
      violate("wrong_place", name + ": " + std::to_string(in_zone) + " tasks in " + m.zone);
    if (!job.zone.empty() && job.zone != m.zone) violate("wrong_place", name + " in " + m.zone);
    if (m.spot && !job.spot) violate("wrong_place", name + " on spot machine");
    const auto team = s.teams.find(job.team);
    if (team != s.teams.end() && team->second.second > 0 &&
        used(job.team) > team->second.second + 1e-6)
      violate("quota", job.team + " uses " + std::to_string(used(job.team)));
    if (job.told_cancelled && now() > job.cancelled_at + s.cancel)
      violate("ran_cancelled", name + " starts");
    if (on_start) on_start(m, task);
  }
  std::set<string> reported_;
  void tick() {
    const double t = now();
    for (auto& [id, m] : machines)
      if (m->gone_at < 0) m->tick(t);
    gangs(t);
    for (auto& [id, m] : machines) {
      if (m->gone_at >= 0) continue;
      for (auto& [k, x] : m->tasks) {
        const Job& j = jobs.at(x.job);
        if (x.on_machine() && j.told_cancelled && t > j.cancelled_at + s.cancel &&
            reported_.insert(k.first).second)
          violate("ran_cancelled", k.first + " is on " + id + (m->hung ? " (hung)" : ""));
      }
    }
  }
  void gangs(double t) {
    struct Group {
      std::vector<std::pair<Machine*, Task*>> members;
    };
    std::map<std::pair<string, u64>, Group> groups;
    for (auto& [id, m] : machines) {
      if (m->gone_at >= 0) continue;
      for (auto& [k, x] : m->tasks)
        if (jobs.at(x.job).gang()) groups[{x.job, x.attempt}].members.push_back({m.get(), &x});
    }
    for (auto& [key, g] : groups) {
      Job& job = jobs.at(key.first);
      int gathering = 0, running = 0, alive = 0;
      bool any_done = false, any_running = false, hung = false;
      for (auto& [m, x] : g.members) {
        if (x->status == "gathering" && !m->hung) ++gathering;
        if (x->status == "running") {
          any_running = true;
          ++running;
          hung = hung || m->hung;
        }
        if (x->on_machine()) ++alive;
        if (x->status == "ended" && x->cause == "done") any_done = true;
      }
      if (gathering == job.parts) {
        for (auto& [m, x] : g.members) {
          if (x->status != "gathering") continue;
          x->status = "running";
          x->running_since = t;
          x->until = t + std::max(0.1, job.run - job.gang_progress);
          m->changed = true;
        }
        continue;
      }
      if (!any_running) continue;
      if (any_done) {
        for (auto& [m, x] : g.members)
          if (x->status == "running" && !m->hung) m->end(*x, "done");
        continue;
      }
      if (running < job.parts || hung) {
        for (auto& [m, x] : g.members) {
          if (x->status != "running" || m->hung) continue;
          if (x->halted_at == 0) x->halted_at = t;
          if (t - x->halted_at > s.gang_peer * 0.6) {
            if (job.snapshot > 0) {
              const double p = job.gang_progress + (x->halted_at - x->running_since);
              job.gang_progress =
                  std::max(job.gang_progress, std::floor(p / job.snapshot) * job.snapshot);
            }
            m->end(*x, "peers");
          }
        }
        continue;
      }
      bool finished = true;
      for (auto& [m, x] : g.members) {
        x->halted_at = 0;
        if (x->status == "running" && t < x->until) finished = false;
      }
      if (finished)
        for (auto& [m, x] : g.members)
          if (x->status == "running") m->end(*x, "done");
    }
  }

  // ---- users ----
  int unknown_asked = 0;
  std::size_t pick() {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (nodes[i]->pid > 0 && !nodes[i]->stopped) up.push_back(i);
    return up.empty() ? 0 : up[rng() % up.size()];
  }
  void submit(Job job, std::function<void()> then = {}, std::optional<std::size_t> at = {}) {
    const string id = job.id;
    job.sent = true;
    job.sent_at = now();
    jobs[id] = std::move(job);
    send_submission(id, then, at);
  }
  void send_submission(const string& id, std::function<void()> then, std::optional<std::size_t> at) {
    const bool known = jobs.at(id).accepted;
    const std::size_t n = at ? *at : pick();
    call("POST", nodes[n]->user_port, "/api/jobs", jobs.at(id).body(), 5,
         [this, id, then, at, known, n](int status, const string& body) {
           Job& j = jobs.at(id);
           note("submit %s at hub-%zu: %d %s", id.c_str(), n, status, body.c_str());
           if (status == 201 || status == 200) {
             if (known && status == 201) violate("forgotten", id + " accepted as new again");
             if (!j.accepted) {
               j.accepted = true;
               j.accepted_at = j.last_answer_at = now();
               if (then) then();
             }
             return;
           }
           if (known && (status == 400 || status == 422 || status == 404))
             violate("forgotten", id + " repeated submission gets " + std::to_string(status));
           if (known || status == 400 || status == 422) return;
           if (now() - j.sent_at < 58) after(1, [=, this] { send_submission(id, then, at); });
         });
  }
  void poll(const string& id, std::optional<std::size_t> at = {},
            std::function<void(int, const string&)> then = {}) {
    const Job before = jobs.count(id) ? jobs.at(id) : Job{};
    const std::size_t n = at ? *at : pick();
    call("GET", nodes[n]->user_port, "/api/jobs/" + id, "", 2,
         [this, id, before, n, then](int status, const string& body) {
           if (!jobs.count(id)) {
             if (status == 200) violate("invented", id);
             return;
           }
           Job& j = jobs.at(id);
           string state;
           if (status == 200) {
             Doc d;
             d.Parse(body.c_str());
             state = str(d, "status");
             if (str(d, "uid") != id) violate("foreign", id + " answered with " + body);
             j.last_answer_at = now();
             if (before.told_done && state != "done") violate("went_back", id + " done, then " + body);
             if (before.told_cancelled && state != "cancelled")
               violate("went_back", id + " cancelled, then " + body);
             if (state == "cancelled" && !j.asked_cancel) violate("went_back", id + " " + body);
             if (state == "done" && !j.told_done) {
               if (static_cast<int>(j.done_parts.size()) < j.parts || j.shape == "standing")
                 violate("not_done", id + " " + body);
               note("poll %s at hub-%zu: done", id.c_str(), n);
               j.told_done = true;
               j.done_at = now();
             }
             if (state == "cancelled" && !j.told_cancelled) {
               j.told_cancelled = true;
               j.cancelled_at = now();
               note("poll %s at hub-%zu: cancelled", id.c_str(), n);
             }
           } else if (status == 404) {
             if (before.accepted) violate("forgotten", id + " gets 404 at hub-" + std::to_string(n));
           }
           if (then) then(status, state);
         });
  }
  void abort(const string& id, std::optional<std::size_t> at = {}, std::function<void()> then = {}) {
    Job& job = jobs.at(id);
    if (!job.asked_cancel) note("user asks to cancel %s", id.c_str());
    job.asked_cancel = true;
    const Job before = job;
    const std::size_t n = at ? *at : pick();
    call("POST", nodes[n]->user_port, "/api/jobs/" + id + "/abort", "", 5,
         [this, id, before, n, at, then](int status, const string& body) {
           Job& j = jobs.at(id);
           note("abort %s at hub-%zu: %d %s", id.c_str(), n, status, body.c_str());
           if (status == 200) {
             Doc d;
             d.Parse(body.c_str());
             const string state = str(d, "status");
             if (before.told_done && state != "done") violate("went_back", id + " " + body);
             if (before.told_cancelled && state != "cancelled") violate("went_back", id + " " + body);
             if (state == "done") {
               if (static_cast<int>(j.done_parts.size()) < j.parts) violate("not_done", id);
               j.told_done = true;
             }
             if (state == "cancelled" && !j.told_cancelled) {
               j.told_cancelled = true;
               j.cancelled_at = now();
             }
             if (then) then();
             return;
           }
           if (status == 404 && before.accepted) violate("forgotten", id + " abort gets 404");
           after(1, [=, this] { abort(id, at, then); });
         });
  }
};

inline void Machine::boot() {
  up = true;
  server = std::make_unique<Server>([this](Req q) { serve(q); });
  lease_from = now();
  next_report = now();
  node = rng() % w.nodes.size();
  note("%s is up in %s", id.c_str(), zone.c_str());
}
inline void Machine::serve(const Req& q) {
  if (gone_at >= 0 || deaf) return;  // no answer
  if (hung) {
    held.push_back(q);
    return;
  }
  if (q.path == "/inspect") {
    ++tally;
    q.reply(200, report());
    return;
  }
  Doc sent;
  sent.Parse(q.body.c_str());
  for (auto& n : w.nodes) {
    if (!n->workers_cut || sent.HasParseError() || !n->tokens.count(num(sent, "warrant"))) continue;
    n->held_orders.push_back([this, q] { serve(q); });
    return;
  }
  const bool late = uni() < late_commands;
  auto run = [this, q, late] {
    if (gone_at >= 0) return;
    Doc d;
    d.Parse(q.body.c_str());
    if (d.HasParseError() || !d.HasMember("warrant") || !d.HasMember("tenure")) {
      if (!late) q.reply(400, "{}");
      return;
    }
    const u64 token = num(d, "warrant"), session = num(d, "tenure");
    if (token < warrant || session != tenure) {
      note("%s answers 409 to orders with token %llu (it has seen %llu)", id.c_str(),
           static_cast<unsigned long long>(token), static_cast<unsigned long long>(warrant));
      if (late) return;
      ++tally;
      q.reply(409, report());
      return;
    }
    if (token > warrant) {
      warrant = token;
      if (now() - last_token_change > w.s.lease / 2) {
        last_token_change = now();
        changed = true;
      }
    }
    if (d.HasMember("orders")) orders(d["orders"]);
    if (late) {
      note("%s executed a late command", id.c_str());
      return;
    }
    ++tally;
    q.reply(200, report());
  };
  if (late)
    after(uni(2, 16), run);
  else
    run();
}
inline string Machine::report() const {
  string out = cat(
      "{\"host\":\"%s\",\"address\":\"127.0.0.1:%d\",\"build\":\"%s\",\"district\":\"%s\","
      "\"loaners\":%s,\"tenure\":%llu,\"tally\":%llu,\"warrant\":%llu,\"recall_s\":null,\"parts\":[",
      id.c_str(), server->port, type.c_str(), zone.c_str(), spot ? "true" : "false",
      static_cast<unsigned long long>(tenure), static_cast<unsigned long long>(tally),
      static_cast<unsigned long long>(warrant));
  bool first = true;
  for (auto& [k, x] : tasks) {
    if (!first) out += ',';
    first = false;
    out += cat("{\"part\":\"%s\",\"try\":%llu,\"status\":\"%s\"", k.first.c_str(),
               static_cast<unsigned long long>(x.attempt), x.status.c_str());
    if (x.status == "ended") out += ",\"cause\":\"" + x.cause + "\"";
    if (x.saved) out += ",\"saved\":true";
    out += "}";
  }
  return out + "]}";
}
inline void Machine::orders(const Val& list) {
  for (auto& o : list.GetArray()) {
    const string verb = str(o, "verb"), part = str(o, "part");
    const u64 attempt = num(o, "try");
    note("%s executes %s %s try=%llu", id.c_str(), verb.c_str(), part.c_str(),
         static_cast<unsigned long long>(attempt));
    if (verb == "start")
      start(part, attempt);
    else if (verb == "kill")
      kill(part, attempt, dbl(o, "leeway_s"));
    else if (verb == "clear") {
      const auto it = tasks.find({part, attempt});
      if (it != tasks.end() && it->second.status == "ended") {
        tasks.erase(it);
        changed = true;
      }
    }
  }
}
inline void Machine::start(const string& part, u64 attempt) {
  if (tasks.count({part, attempt})) return;
  Task x;
  const auto slash = part.find('/');
  x.job = part.substr(0, slash);
  x.part = std::stoi(part.substr(slash + 1));
  x.attempt = attempt;
  x.status = "ended";
  changed = true;
  const auto job = w.jobs.find(x.job);
  if (job == w.jobs.end() || x.part >= job->second.parts) {
    violate("foreign", id + " is told to start " + part);
    return;
  }
  double cpus = 0, gpus = 0, mem = 0;
  bool busy = false;
  for (auto& [k, other] : tasks) {
    if (other.status == "ended") continue;
    const Job& j = w.jobs.at(other.job);
    cpus += j.cpus;
    gpus += j.gpus;
    mem += j.mem;
    if (k.first == part) busy = true;
  }
  const Job& j = job->second;
  if (busy)
    x.cause = "busy";
  else if (cpus + j.cpus > 16 + 1e-6 || gpus + j.gpus > 2 + 1e-6 || mem + j.mem > 64 + 1e-6)
    x.cause = "full";
  else {
    x.status = "fetching";
    x.until = now() + (images.count(j.image) ? 0.02 : j.image_gb / w.fetch_gb_per_s);
  }
  if (x.status == "ended") note("%s refuses %s: %s", id.c_str(), part.c_str(), x.cause.c_str());
  tasks[{part, attempt}] = x;
}
inline void Machine::end(Task& x, const string& cause, bool saved) {
  if (cause == "done") {
    Job& j = w.jobs.at(x.job);
    if (j.gang())
      for (int i = 0; i < j.parts; ++i) j.done_parts.insert(i);
    j.done_parts.insert(x.part);
    ++w.completions;
  }
  x.status = "ended";
  x.cause = cause;
  x.saved = saved;
  changed = true;
  note("ended: %s/%d try=%llu at %s: %s", x.job.c_str(), x.part,
       static_cast<unsigned long long>(x.attempt), id.c_str(), cause.c_str());
}
inline void Machine::kill(const string& part, u64 attempt, double leeway) {
  const auto it = tasks.find({part, attempt});
  if (it == tasks.end() || it->second.status == "ended") return;
  Task& x = it->second;
  const Job& j = w.jobs.at(x.job);
  if (x.status == "running" && j.snapshot > 0 && leeway >= j.stash && leeway > 0 && !j.gang()) {
    w.jobs.at(x.job).progress[x.part] += now() - x.running_since;
    x.status = "flushing";
    x.until = now() + j.stash;
    changed = true;
    return;
  }
  if (x.status == "flushing" && leeway > 0) return;
  end(x, "halted");
}
inline void Machine::tick(double t) {
  if (!up) {
    if (t >= up_at) boot();
    return;
  }
  if (deaf || mute || late_commands > 0 || late_reports > 0) troubled_at = t;
  if (hung) return;
  if (t - lease_from > w.s.lease) expire();
  for (auto& [k, x] : tasks) {
    Job& j = w.jobs.at(x.job);
    if (x.status == "fetching" && t >= x.until) {
      images.insert(j.image);
      if (j.done_parts.count(x.part) && j.shape != "standing") {
        end(x, "done");
        continue;
      }
      if (j.fails) {
        end(x, "error");
        continue;
      }
      x.status = j.gang() ? "gathering" : "running";
      x.waiting_since = x.running_since = t;
      x.until = t + std::max(0.1, j.run - j.progress[x.part]);
      changed = true;
      w.began(*this, x);
    } else if (x.status == "gathering" && t - x.waiting_since > w.s.gang_wait) {
      end(x, "alone");
    } else if (x.status == "running" && !j.gang() && j.shape != "standing" && t >= x.until) {
      end(x, "done");
    } else if (x.status == "flushing" && t >= x.until) {
      end(x, "halted", true);
    }
  }
  if (!in_flight && t - last_report >= 0.5 && (t >= next_report || changed)) send_report();
}
inline void Machine::send_report() {
  in_flight = true;
  changed = false;
  ++tally;
  const double sent = now();
  last_report = sent;
  next_report = sent + w.s.report * uni(0.75, 1.25);
  const u64 session = tenure;
  const string body = report();
  Node& n = w.node(node);
  if (mute || n.workers_cut) {
    after(4, [this, sent, session] { answered(sent, session, 0, ""); });
    return;
  }
  const int port = n.user_port;
  if (uni() < late_reports)
    after(uni(2, 40), [port, body] { call("POST", port, "/hello", body, 4, [](int, const string&) {}); });
  call("POST", port, "/hello", body, 4, [this, sent, session](int status, const string& answer) {
    if (deaf || hung) {
      status = 0;
    }
    answered(sent, session, status, answer);
  });
}
inline void Machine::answered(double sent, u64 session, int status, const string& body) {
  in_flight = false;
  if (gone_at >= 0 || hung) return;
  if (status == 200) {
    Doc d;
    d.Parse(body.c_str());
    if (session != tenure || !d.HasMember("warrant") || num(d, "warrant") < warrant) return;
    if (num(d, "warrant") > warrant) {
      warrant = num(d, "warrant");
      if (now() - last_token_change > w.s.lease / 2) {
        last_token_change = now();
        changed = true;
      }
    }
    lease_from = std::max(lease_from, sent);
    w.node(node).tokens.insert(num(d, "warrant"));
    if (holder != static_cast<int>(node))
      note("%s: its reports are answered 200 by hub-%zu now, token %llu", id.c_str(), node,
           static_cast<unsigned long long>(warrant));
    holder = static_cast<int>(node);
    answered_at = now();
    if (d.HasMember("orders")) orders(d["orders"]);
    return;
  }
  if (status == 421) {
    Doc d;
    d.Parse(body.c_str());
    const string to = d.HasParseError() ? "" : str(d, "steward");
    for (std::size_t i = 0; i < w.nodes.size(); ++i)
      if (w.nodes[i]->name == to && i != node) {
        node = i;
        next_report = now() + uni(0, 0.5);
        return;
      }
  }
  node = (node + 1) % w.nodes.size();
  next_report = now() + 1;
  last_report = now() + 0.5;
}
inline void Machine::expire() {
  note("%s: lease expired, session %llu", id.c_str(), static_cast<unsigned long long>(tenure + 1));
  tasks.clear();
  ++tenure;
  lease_from = now();
  changed = true;
}
inline void Machine::hang() {
  hung = true;
  hung_since = now();
  note("%s hangs", id.c_str());
}
inline void Machine::resume() {
  const double d = now() - hung_since;
  troubled_at = now();
  hung = false;
  in_flight = false;
  for (auto& [k, x] : tasks)
    if (x.status != "ended") {
      x.until += d;
      x.running_since += d;
    }
  if (now() - lease_from > w.s.lease) expire();
  note("%s resumes", id.c_str());
  for (auto q : std::exchange(held, {})) serve(q);
}
inline void Machine::vanish() {
  gone_at = now();
  tasks.clear();
}
}  // namespace sim
