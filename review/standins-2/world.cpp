#include "world.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstring>
#include <sstream>

namespace world {

namespace {
event_base* base() {
  static event_base* the_base = event_base_new();
  return the_base;
}
std::string quote(const std::string& s) {
  rapidjson::StringBuffer b;
  rapidjson::Writer<rapidjson::StringBuffer> w(b);
  w.String(s.data(), static_cast<rapidjson::SizeType>(s.size()));
  return b.GetString();
}
std::string unescape(const std::string& s) {
  std::unique_ptr<char, decltype(&std::free)> t(evhttp_uridecode(s.c_str(), 0, nullptr), &std::free);
  return t ? t.get() : s;
}
std::string query_field(const std::string& query, const std::string& name) {
  std::stringstream in(query);
  std::string item;
  while (std::getline(in, item, '&')) {
    const auto eq = item.find('=');
    if (eq != std::string::npos && item.substr(0, eq) == name) return unescape(item.substr(eq + 1));
  }
  return "";
}
/// A free port below the range from which outgoing connections usually take theirs.
int free_port() {
  static std::random_device device;
  static std::set<int> taken;
  for (int tries = 0; tries < 1000; ++tries) {
    const int port = 18000 + static_cast<int>(device() % 12000);
    if (!taken.insert(port).second) continue;
    const int s = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool free = bind(s, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
    close(s);
    if (free) return port;
  }
  std::exit(2);
}
struct Timer {
  event* ev;
  std::function<void()> then;
};
}  // namespace

double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void after(double delay_s, std::function<void()> then) {
  auto* t = new Timer{nullptr, std::move(then)};
  t->ev = evtimer_new(
      base(),
      [](evutil_socket_t, short, void* arg) {
        auto* timer = static_cast<Timer*>(arg);
        auto then = std::move(timer->then);
        event_free(timer->ev);
        delete timer;
        then();
      },
      t);
  delay_s = std::max(0.0, delay_s);
  timeval tv{static_cast<time_t>(delay_s),
             static_cast<suseconds_t>((delay_s - std::floor(delay_s)) * 1e6)};
  evtimer_add(t->ev, &tv);
}

void run_loop(double seconds) {
  timeval tv{static_cast<time_t>(seconds), 0};
  event_base_loopexit(base(), &tv);
  event_base_dispatch(base());
}
void stop_loop() { event_base_loopbreak(base()); }

void record(const char* format, ...) {
  static FILE* out = std::fopen(std::getenv("RECORD") ? std::getenv("RECORD") : "record.txt", "w");
  char line[4096];
  va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof line, format, args);
  va_end(args);
  std::fprintf(out, "%9.3f %s\n", now(), line);
  std::fflush(out);
}

std::string text_of(const Value& v) {
  rapidjson::StringBuffer b;
  rapidjson::Writer<rapidjson::StringBuffer> w(b);
  v.Accept(w);
  return {b.GetString(), b.GetSize()};
}
std::string get_text(const Value& v, const char* name) {
  if (!v.IsObject()) return "";
  const auto it = v.FindMember(name);
  return it != v.MemberEnd() && it->value.IsString() ? it->value.GetString() : "";
}
std::uint64_t get_count(const Value& v, const char* name) {
  if (!v.IsObject()) return 0;
  const auto it = v.FindMember(name);
  return it != v.MemberEnd() && it->value.IsUint64() ? it->value.GetUint64() : 0;
}
double get_number(const Value& v, const char* name, double otherwise) {
  if (!v.IsObject()) return otherwise;
  const auto it = v.FindMember(name);
  return it != v.MemberEnd() && it->value.IsNumber() ? it->value.GetDouble() : otherwise;
}

// --- HTTP ---------------------------------------------------------------------------------------
namespace {
struct Call {
  evhttp_connection* connection = nullptr;
  event* timer = nullptr;
  std::function<void(Reply)> then;
  bool done = false;
};
void finish(Call* call, const Reply& reply) {
  if (call->done) return;
  call->done = true;
  // The connection is freed outside of its own callback.
  after(0, [call, reply] {
    evhttp_connection_free(call->connection);
    event_free(call->timer);
    auto then = std::move(call->then);
    delete call;
    then(reply);
  });
}
}  // namespace

void request(int port, bool post, const std::string& path, const std::string& body,
             double timeout_s, std::function<void(Reply)> then) {
  auto* call = new Call;
  call->then = std::move(then);
  call->connection =
      evhttp_connection_base_new(base(), nullptr, "127.0.0.1", static_cast<std::uint16_t>(port));
  evhttp_connection_set_timeout(call->connection, 120);
  call->timer = evtimer_new(
      base(), [](evutil_socket_t, short, void* c) { finish(static_cast<Call*>(c), {}); }, call);
  timeval tv{static_cast<time_t>(timeout_s),
             static_cast<suseconds_t>((timeout_s - std::floor(timeout_s)) * 1e6)};
  evtimer_add(call->timer, &tv);
  auto* r = evhttp_request_new(
      [](evhttp_request* response, void* c) {
        Reply reply;
        if (response != nullptr) {
          reply.status = evhttp_request_get_response_code(response);
          evbuffer* in = evhttp_request_get_input_buffer(response);
          reply.body.resize(evbuffer_get_length(in));
          evbuffer_copyout(in, reply.body.data(), reply.body.size());
        }
        finish(static_cast<Call*>(c), reply);
      },
      call);
  auto* headers = evhttp_request_get_output_headers(r);
  evhttp_add_header(headers, "Host", "127.0.0.1");
  evhttp_add_header(headers, "Connection", "close");
  if (!body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
  } else if (post) {
    evhttp_add_header(headers, "Content-Length", "0");
  }
  evhttp_make_request(call->connection, r, post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path.c_str());
}

Server::Server(Handler handler) : handler_(std::move(handler)) {
  evhttp* http = evhttp_new(base());
  evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
  evhttp_set_gencb(
      http,
      [](evhttp_request* r, void* self) {
        const std::string uri = evhttp_request_get_uri(r);
        const auto mark = uri.find('?');
        evbuffer* in = evhttp_request_get_input_buffer(r);
        std::string body(evbuffer_get_length(in), 0);
        evbuffer_copyout(in, body.data(), body.size());
        static_cast<Server*>(self)->handler_(
            r, uri.substr(0, mark), mark == std::string::npos ? "" : uri.substr(mark + 1), body,
            evhttp_request_get_command(r) == EVHTTP_REQ_POST);
      },
      this);
  auto* bound = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
  sockaddr_in a{};
  socklen_t n = sizeof a;
  getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&a), &n);
  port = ntohs(a.sin_port);
}

void answer(evhttp_request* r, int status, const std::string& body) {
  evhttp_add_header(evhttp_request_get_output_headers(r), "Content-Type", "application/json");
  evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
  evhttp_send_reply(r, status, "-", nullptr);
}

// --- The state service --------------------------------------------------------------------------
StateService::StateService(int nodes) {
  for (int i = 0; i < nodes; ++i) {
    servers.push_back(std::make_unique<Server>(
        [this, i](evhttp_request* r, const std::string& path, const std::string& query,
                  const std::string& body, bool post) {
          if (latency_s <= 0) {
            serve(i, r, path, query, body, post);
          } else {
            after(latency_s, [=, this] { serve(i, r, path, query, body, post); });
          }
        }));
  }
  auto sweep = std::make_shared<std::function<void()>>();
  *sweep = [this, sweep] {
    expire_leases();
    notify_watches();
    after(0.02, *sweep);
  };
  after(0.02, *sweep);
}

bool StateService::take(double& tokens, double& last, double rate, double amount) {
  const double t = now();
  tokens = std::min(rate, tokens + (t - last) * rate);
  if (last == 0) tokens = rate;
  last = t;
  if (tokens < amount) return false;
  tokens -= amount;
  return true;
}

void StateService::expire_leases() {
  const double t = now();
  if (outage) {
    was_out_ = true;
    return;
  }
  if (was_out_) {
    was_out_ = false;
    for (auto& [id, lease] : leases_) lease.expires = t + lease.ttl;
  }
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.expires > t) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries) {
      if (entry.lease == it->first) keys.push_back(key);
    }
    for (const auto& key : keys) change(++revision, key, std::nullopt, 0);
    it = leases_.erase(it);
  }
}

void StateService::change(std::uint64_t stamp, const std::string& key,
                          std::optional<std::string> value, std::uint64_t lease) {
  if (value) {
    entries[key] = {*value, stamp, lease};
  } else if (entries.erase(key) == 0) {
    return;
  }
  log_.push_back({stamp, key, std::move(value)});
  while (log_.size() > 10000) log_.pop_front();
  if (on_change) on_change(log_.back());
}

std::string StateService::changes_since(const std::string& prefix, std::uint64_t since) const {
  std::string items;
  const auto add = [&](const Change& c) {
    if (!items.empty()) items += ",";
    if (c.value) {
      items += "{\"put\":" + quote(c.key) + ",\"value\":" + *c.value +
               ",\"stamp\":" + std::to_string(c.stamp) + "}";
    } else {
      items += "{\"delete\":" + quote(c.key) + ",\"stamp\":" + std::to_string(c.stamp) + "}";
    }
  };
  auto first = std::upper_bound(log_.begin(), log_.end(), since,
                                [](std::uint64_t s, const Change& c) { return s < c.stamp; });
  std::vector<const Change*> found;
  for (auto it = first; it != log_.end(); ++it) {
    if (it->key.compare(0, prefix.size(), prefix) == 0) found.push_back(&*it);
  }
  if (newest_first) std::reverse(found.begin(), found.end());
  for (const Change* c : found) add(*c);
  return items;
}

void StateService::notify_watches() {
  std::vector<Watch> rest, ready;
  for (const Watch& w : watches_) {
    if (outage || refused_nodes.contains(w.node)) {
      rest.push_back(w);
      continue;
    }
    (changes_since(w.prefix, w.after).empty() && now() < w.until ? rest : ready).push_back(w);
  }
  watches_ = std::move(rest);
  for (const Watch& w : ready) {
    answer(w.request, 200, "{\"ledger_rev\":" + std::to_string(revision) + ",\"log\":[" +
                               changes_since(w.prefix, w.after) + "]}");
  }
}

Reply StateService::commit(const Json& txn) {
  const auto rev = [this] { return "\"ledger_rev\":" + std::to_string(revision); };
  if (!txn.IsObject()) return {400, "{}"};
  int ops = 0;
  if (txn.HasMember("apply")) {
    for (const auto& op : txn["apply"].GetArray()) {
      ++ops;
      if (op.HasMember("permit") && !leases_.contains(get_count(op, "permit")))
        return {400, "{\"error\":\"no such lease\"}"};
      if (op.HasMember("put") && text_of(op["value"]).size() > value_limit)
        return {400, "{\"error\":\"value too large\"}"};
    }
  }
  if (ops > txn_ops || (txn.HasMember("guards") && static_cast<int>(txn["guards"].Size()) > 4 * txn_ops))
    return {400, "{\"error\":\"too many\"}"};
  std::string failed;
  if (txn.HasMember("guards")) {
    for (const auto& g : txn["guards"].GetArray()) {
      const auto it = entries.find(get_text(g, "path"));
      if ((it == entries.end() ? 0 : it->second.stamp) == get_count(g, "stamp")) continue;
      failed += (failed.empty() ? "" : ",") + quote(get_text(g, "path"));
    }
  }
  if (!failed.empty()) return {409, "{\"failed\":[" + failed + "]," + rev() + "}"};
  if (ops > 0) {
    ++revision;
    for (const auto& op : txn["apply"].GetArray()) {
      if (op.HasMember("put")) {
        change(revision, get_text(op, "put"), text_of(op["value"]), get_count(op, "permit"));
      } else {
        change(revision, get_text(op, "delete"), std::nullopt, 0);
      }
    }
  }
  return {200, "{" + rev() + "}"};
}

void StateService::serve(int node, evhttp_request* r, const std::string& path,
                         const std::string& query, const std::string& body, bool post) {
  if (outage || refused_nodes.contains(node)) {
    ++counts["503"];
    answer(r, 503, "{\"error\":\"trouble\"}");
    return;
  }
  expire_leases();
  if (!take(request_tokens_, request_last_, rps, 1)) {
    ++counts["429"];
    answer(r, 429, "{}");
    return;
  }
  Json doc;
  if (post) doc.Parse(body.data(), body.size());
  if (path == "/commit") {
    const double ops = doc.IsObject() && doc.HasMember("apply") ? doc["apply"].Size() : 0;
    if (!take(write_tokens_, write_last_, write_rps, ops)) {
      ++counts["429w"];
      answer(r, 429, "{}");
      return;
    }
    const Fate f = fate ? fate(node, doc) : Fate{};
    if (f.apply_after_s > 0) {
      auto kept = std::make_shared<Json>();
      kept->CopyFrom(doc, kept->GetAllocator());
      after(f.apply_after_s, [this, kept] {
        const Reply late = commit(*kept);
        record("state: a transaction was carried out late: %d", late.status);
        notify_watches();
      });
      return;
    }
    const Reply reply = commit(doc);
    if (f.repeat_after_s > 0) {
      auto kept = std::make_shared<Json>();
      kept->CopyFrom(doc, kept->GetAllocator());
      after(f.repeat_after_s, [this, kept] {
        if (commit(*kept).status == 200) record("state: a copy of a transaction was carried out: %.300s", text_of(*kept).c_str());
      });
    }
    ++counts["commit " + std::to_string(reply.status)];
    if (reply.status == 400) record("state: 400 %s for %.200s", reply.body.c_str(), body.c_str());
    if (!f.lose_answer) answer(r, reply.status, reply.body);
    notify_watches();
  } else if (path == "/changes") {
    const std::uint64_t since = std::stoull("0" + query_field(query, "after"));
    const double hold = std::stod("0" + query_field(query, "hold_ms")) / 1000;
    if (log_.size() >= 10000 && since + 1 < log_.front().stamp) {
      answer(r, 410, "{}");
      return;
    }
    watches_.push_back({r, query_field(query, "starts"), since, now() + hold, node});
    notify_watches();
  } else if (path == "/leases" && post) {
    const double ttl = get_number(doc, "ttl_ms") / 1000;
    leases_[++last_lease_] = {ttl, now() + ttl};
    answer(r, 200, "{\"permit\":" + std::to_string(last_lease_) + "}");
  } else if (path.compare(0, 8, "/leases/") == 0) {
    const auto it = leases_.find(std::stoull("0" + path.substr(8)));
    if (it == leases_.end()) {
      answer(r, 404, "{}");
      return;
    }
    if (post) {
      it->second.expires = now() + it->second.ttl;
    } else {
      it->second.expires = 0;
    }
    answer(r, 200, "{}");
  } else if (path == "/store") {
    const std::string prefix = query_field(query, "starts"), from = query_field(query, "after");
    const std::string limit_text = query_field(query, "limit");
    const std::size_t limit = std::min<std::size_t>(1000, limit_text.empty() ? 1000 : std::stoul(limit_text));
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (auto it = entries.lower_bound(prefix); it != entries.end(); ++it) {
      if (it->first.compare(0, prefix.size(), prefix) != 0) break;
      if (!from.empty() && it->first <= from) continue;
      if (count == limit || items.size() + it->second.value.size() > 500 * 1024) {
        more = true;
        break;
      }
      ++count;
      items += std::string(items.empty() ? "" : ",") + "{\"path\":" + quote(it->first) + ",\"value\":" +
               it->second.value + ",\"stamp\":" + std::to_string(it->second.stamp) + "}";
    }
    answer(r, 200, "{\"items\":[" + items + "],\"has_next\":" + (more ? "true" : "false") +
                       ",\"ledger_rev\":" + std::to_string(revision) + "}");
  } else if (path.compare(0, 7, "/store/") == 0) {
    const std::string key = path.substr(7);
    const auto it = entries.find(key);
    if (it == entries.end()) {
      answer(r, 404, "{\"ledger_rev\":" + std::to_string(revision) + "}");
      return;
    }
    answer(r, 200, "{\"path\":" + quote(key) + ",\"value\":" + it->second.value +
                       ",\"stamp\":" + std::to_string(it->second.stamp) + "}");
  } else {
    answer(r, 400, "{}");
  }
}

// --- Jobs ---------------------------------------------------------------------------------------
std::string Job::body() const {
  const auto flag = [](bool b) { return b ? "true" : "false"; };
  std::string list = "null";
  if (!builds.empty()) {
    list = "[";
    for (const auto& b : builds) list += (list == "[" ? "" : ",") + quote(b);
    list += "]";
  }
  char numbers[600];
  std::snprintf(numbers, sizeof numbers,
                "\"parts\":%d,\"cpus\":%.3f,\"accelerators\":%.3f,\"memory_gb\":%.3f,\"image_gb\":%.3f,"
                "\"expect_s\":%.3f,\"snapshot_s\":%.3f,\"stash_s\":%.3f,",
                parts, cpus, accelerators, memory_gb, image_gb, expect_s, snapshot_s, stash_s);
  return "{\"uid\":" + quote(uid) + ",\"workclass\":\"tile-sweep\",\"crew\":" + quote(team) +
         ",\"shape\":" + quote(shape) + ",\"urgency\":" + quote(urgency) + "," + numbers +
         "\"bundle\":\"img-07\",\"builds\":" + list +
         ",\"district\":" + (district.empty() ? "null" : quote(district)) +
         ",\"together\":" + flag(together) + ",\"spread\":" + flag(spread) +
         ",\"loaners\":" + flag(loaners) + ",\"due_s\":null}";
}

std::string job_of(const std::string& part) { return part.substr(0, part.find('/')); }
int index_of(const std::string& part) { return std::stoi(part.substr(part.find('/') + 1)); }

// --- Workers ------------------------------------------------------------------------------------
Worker::Worker(World& w, std::string host_name, std::string type, std::string zone, bool spot)
    : world(w), host(std::move(host_name)), build(std::move(type)), district(std::move(zone)), loaners(spot) {
  lease_from = now();
  server = std::make_unique<Server>([this](evhttp_request* r, const std::string& path,
                                           const std::string&, const std::string& body, bool) {
    if (gone || hangs || deaf) return;  // no answer
    if (path == "/orders") {
      serve_orders(r, body);
    } else if (path == "/inspect") {
      ++tally;
      answer(r, 200, report());
    } else {
      answer(r, 404, "{}");
    }
  });
}

std::string Worker::address() const { return "127.0.0.1:" + std::to_string(server->port); }

std::string Worker::report() {
  std::string list;
  for (const auto& [key, part] : parts) {
    list += std::string(list.empty() ? "" : ",") + "{\"part\":" + quote(key.first) +
            ",\"try\":" + std::to_string(key.second) + ",\"status\":" + quote(part.status);
    if (!part.cause.empty()) list += ",\"cause\":" + quote(part.cause);
    if (part.saved) list += ",\"saved\":true";
    list += "}";
  }
  return "{\"host\":" + quote(host) + ",\"address\":" + quote(address()) + ",\"build\":" + quote(build) +
         ",\"district\":" + quote(district) + ",\"loaners\":" + (loaners ? "true" : "false") +
         ",\"tenure\":" + std::to_string(tenure) + ",\"tally\":" + std::to_string(tally) +
         ",\"warrant\":" + std::to_string(warrant) + ",\"recall_s\":null,\"parts\":[" + list + "]}";
}

void Worker::expire_lease() {
  record("%s: lease expired, session %llu ends with %zu tasks", host.c_str(),
         static_cast<unsigned long long>(tenure), parts.size());
  parts.clear();
  ++tenure;
  lease_from = now();
  changed = true;
}

void Worker::tick() {
  if (gone || hangs) return;
  const double t = now();
  if (t - lease_from > world.options.lease_s) expire_lease();
  for (auto& [key, part] : parts) {
    if (part.status == "fetching" && t >= part.ends_at) {
      images.insert("img-07");
      const Job& job = world.jobs[job_of(key.first)];
      world.on_task_starts(*this, key.first, key.second);
      if (job.fails) {
        end(key, "error");
      } else if (job.completed.contains(index_of(key.first))) {
        end(key, "done");
      } else if (job.shape == "ensemble") {
        part.status = "gathering";
        part.since = t;
        changed = true;
      } else {
        run(key);
      }
    } else if (part.status == "running" && part.ends_at > 0 && t >= part.ends_at) {
      world.jobs[job_of(key.first)].completed[index_of(key.first)] = true;
      end(key, "done");
    } else if (part.status == "flushing" && t >= part.ends_at) {
      end(key, "halted", true);
    } else if (part.status == "gathering" && t - part.since > world.options.gang_wait_s) {
      end(key, "alone");
    }
  }
  if (!in_flight && t - last_sent >= 0.5 && (t >= next_report || (changed && next_report - t < 900)))
    send_report();
}

void Worker::run(const Key& key) {
  Part& part = parts[key];
  const Job& job = world.jobs[job_of(key.first)];
  part.status = "running";
  part.running_since = now();
  part.ends_at = job.shape == "standing" ? -1 : now() + job.run_s;
  changed = true;
}

void Worker::end(const Key& key, const std::string& cause, bool saved) {
  Part& part = parts[key];
  if (part.status == "ended") return;
  part.status = "ended";
  part.cause = cause;
  part.saved = saved;
  changed = true;
  record("%s: %s try %llu ended: %s", host.c_str(), key.first.c_str(),
         static_cast<unsigned long long>(key.second), cause.c_str());
}

void Worker::send_report() {
  const double t = now();
  in_flight = true;
  changed = false;
  last_sent = t;
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  next_report = t + world.options.report_s * jitter(world.random);
  ++tally;
  const std::uint64_t id = ++report_id, sent_tenure = tenure;
  const std::string body = report();
  if (mute) {
    after(4, [this, id, sent_tenure, t] { on_reply(id, sent_tenure, t, {}); });
    return;
  }
  if (repeat_reports_s > 0) {
    for (std::size_t i = 0; i < world.controllers.size(); ++i) {
      after(repeat_reports_s, [this, body, i] {
        request(world.controllers[i].user_port, true, "/hello", body, 4, [](const Reply&) {});
      });
    }
  }
  request(world.controllers[static_cast<std::size_t>(node)].user_port, true, "/hello", body, 4,
          [this, id, sent_tenure, t](const Reply& reply) {
            on_reply(id, sent_tenure, t, deaf ? Reply{} : reply);
          });
}

void Worker::on_reply(std::uint64_t id, std::uint64_t sent_tenure, double sent_at, const Reply& reply) {
  if (gone || id != report_id) return;
  if (hangs) {  // it goes on later; an answer older than 4 s is dropped then
    after(0.2, [=, this] { on_reply(id, sent_tenure, sent_at, reply); });
    return;
  }
  in_flight = false;
  if (now() - lease_from > world.options.lease_s) expire_lease();
  const int nodes = static_cast<int>(world.controllers.size());
  Json doc;
  doc.Parse(reply.body.data(), reply.body.size());
  if (reply.status == 200 && now() - sent_at <= 4) {
    if (sent_tenure != tenure || !doc.IsObject() || !doc.HasMember("warrant")) return;
    const std::uint64_t w = get_count(doc, "warrant");
    if (w < warrant) return;
    if (w > warrant && now() - last_warrant_change > world.options.lease_s / 2) {
      last_warrant_change = now();
      changed = true;
    }
    warrant = w;
    lease_from = sent_at;
    if (doc.HasMember("orders")) execute(doc["orders"]);
    return;
  }
  if (reply.status == 421 && doc.IsObject()) {
    const std::string steward = get_text(doc, "steward");
    for (int i = 0; i < nodes; ++i) {
      if (world.controllers[static_cast<std::size_t>(i)].name != steward || i == node) continue;
      node = i;
      next_report = now() + 0.2;
      return;
    }
  }
  node = (node + 1) % nodes;
  last_sent = now();
  next_report = now() + 1;
  in_flight = true;  // until the second has passed
  after(1, [this] {
    in_flight = false;
    next_report = 0;
  });
}

void Worker::execute(const Value& orders) {
  if (!orders.IsArray()) return;
  for (const auto& order : orders.GetArray()) {
    const std::string verb = get_text(order, "verb"), part = get_text(order, "part");
    const Key key{part, get_count(order, "try")};
    record("%s: order %s %s try %llu", host.c_str(), verb.c_str(), part.c_str(),
           static_cast<unsigned long long>(key.second));
    if (verb == "start") {
      if (!parts.contains(key)) start(part, key.second);
    } else if (verb == "kill") {
      if (parts.contains(key)) kill(key, get_number(order, "leeway_s"));
    } else if (verb == "clear") {
      const auto it = parts.find(key);
      if (it != parts.end() && it->second.status == "ended") parts.erase(it);
    }
  }
}

void Worker::start(const std::string& part, std::uint64_t attempt) {
  const Key key{part, attempt};
  Part& p = parts[key];
  p.since = now();
  changed = true;
  const auto job = world.jobs.find(job_of(part));
  const auto refuse = [&](const char* cause) {
    p.status = "ended";
    p.cause = cause;
    record("%s: refused %s try %llu: %s", host.c_str(), part.c_str(), static_cast<unsigned long long>(attempt), cause);
  };
  if (job == world.jobs.end()) {
    refuse("unknown");
    return;
  }
  double cpus = 0, gpus = 0, memory = 0;
  for (const auto& [other, state] : parts) {
    if (other == key || state.status == "ended") continue;
    if (other.first == part) {
      refuse("busy");
      return;
    }
    const Job& o = world.jobs[job_of(other.first)];
    cpus += o.cpus;
    gpus += o.accelerators;
    memory += o.memory_gb;
  }
  const Job& j = job->second;
  for (const auto& type : world.types) {
    if (type.name != build) continue;
    if (cpus + j.cpus > type.cpus + 1e-6 || gpus + j.accelerators > type.gpus + 1e-6 ||
        memory + j.memory_gb > type.memory_gb + 1e-6) {
      refuse("full");
      return;
    }
  }
  p.ends_at = now() + (images.contains("img-07") ? 0 : j.image_gb);
}

void Worker::kill(const Key& key, double leeway) {
  Part& p = parts[key];
  if (p.status == "ended") return;
  const Job& job = world.jobs[job_of(key.first)];
  if (p.status == "flushing") {
    if (leeway <= 0) end(key, "halted");
    return;
  }
  if (p.status == "running" && job.snapshot_s > 0 && leeway >= job.stash_s) {
    p.status = "flushing";
    p.ends_at = now() + job.stash_s;
    changed = true;
    return;
  }
  end(key, "halted");
}

Reply Worker::do_orders(const std::string& body) {
  Json doc;
  doc.Parse(body.data(), body.size());
  ++tally;
  if (!doc.IsObject() || !doc.HasMember("warrant") || !doc.HasMember("tenure")) return {400, "{}"};
  if (now() - lease_from > world.options.lease_s) expire_lease();
  const std::uint64_t w = get_count(doc, "warrant");
  if (w < warrant || get_count(doc, "tenure") != tenure) return {409, report()};
  if (w > warrant && now() - last_warrant_change > world.options.lease_s / 2) {
    last_warrant_change = now();
    changed = true;
  }
  warrant = w;
  if (doc.HasMember("orders")) execute(doc["orders"]);
  return {200, report()};
}

void Worker::serve_orders(evhttp_request* r, const std::string& body) {
  if (hold_orders_s > 0) {
    record("%s: a direct command is held for %.1f s: %.200s", host.c_str(), hold_orders_s, body.c_str());
    after(hold_orders_s, [this, body] {
      if (gone) return;
      const Reply reply = do_orders(body);
      record("%s: a held command arrived: %d", host.c_str(), reply.status);
    });
    return;
  }
  const Reply reply = do_orders(body);
  answer(r, reply.status, reply.body);
  if (repeat_orders_s > 0) after(repeat_orders_s, [this, body] { if (!gone) do_orders(body); });
}

// --- The world ----------------------------------------------------------------------------------
World::World(Options o) : options(std::move(o)) {
  signal(SIGPIPE, SIG_IGN);
  state = std::make_unique<StateService>(options.nodes);
  state->rps = options.rps;
  state->write_rps = options.write_rps;
  state->txn_ops = options.txn_ops;
  state->value_limit = static_cast<std::size_t>(options.value_kb * 1024);
  cloud = std::make_unique<Server>([this](evhttp_request* r, const std::string& path,
                                          const std::string& query, const std::string& body,
                                          bool post) { serve_cloud(r, path, query, body, post); });
  for (int i = 0; i < options.nodes; ++i) {
    Controller c;
    c.name = "hub-" + std::to_string(i);
    c.zone = options.zones[static_cast<std::size_t>(i) % options.zones.size()];
    c.user_port = free_port();
    c.peer_port = free_port();
    controllers.push_back(c);
  }
}

void World::add_type(const std::string& name, double cpus, double gpus, double memory, double boot_s) {
  types.push_back({name, cpus, gpus, memory, boot_s, options.zones});
}

Worker& World::add_machine(const std::string& type, const std::string& zone, bool spot) {
  char name[32];
  std::snprintf(name, sizeof name, "vm-%06d", ++last_machine);
  auto w = std::make_unique<Worker>(*this, name, type, zone, spot);
  w->node = last_machine % options.nodes;
  auto& ref = *w;
  workers[name] = std::move(w);
  return ref;
}

void World::start_controllers() {
  for (std::size_t i = 0; i < controllers.size(); ++i) {
    Controller& c = controllers[i];
    c.settings_path = options.folder + "/" + c.name + ".toml";
    FILE* f = std::fopen(c.settings_path.c_str(), "w");
    std::fprintf(f, "node = \"%s\"\nsite = \"%s\"\nserve_on = \"127.0.0.1:%d\"\npeer_bind = \"127.0.0.1:%d\"\n",
                 c.name.c_str(), c.zone.c_str(), c.user_port, c.peer_port);
    for (const Controller& p : controllers) {
      if (p.name == c.name) continue;
      std::fprintf(f, "[[peers]]\nnode = \"%s\"\nsite = \"%s\"\npeer_addr = \"127.0.0.1:%d\"\n",
                   p.name.c_str(), p.zone.c_str(), p.peer_port);
    }
    std::fprintf(f, "[endpoints]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n", cloud->port,
                 state->port(static_cast<int>(i)));
    std::fprintf(f, "[cluster]\ncount = %d\nzones = [", options.nodes);
    for (std::size_t z = 0; z < options.zones.size(); ++z)
      std::fprintf(f, "%s\"%s\"", z ? ", " : "", options.zones[z].c_str());
    std::fprintf(f, "]\nclock_error_ms = 25.0\n");
    for (int t = 0; t < options.teams; ++t) {
      std::fprintf(f, "[[cluster.teams]]\nname = \"hudud-mappers-%02d\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = %.1f\ngpus_max = %.1f\n",
                   t, options.team_gpus, options.team_gpus_max);
    }
    std::fprintf(f, "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"tile-sweep\"\nwithin_s = 18.0\nshare = 0.88\n");
    std::fprintf(f, "[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n",
                 options.report_s, options.lease_s, options.gang_wait_s, options.gang_peer_s, options.cancel_s);
    std::fprintf(f, "[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n%s", options.rps,
                 options.write_rps, options.value_kb, options.txn_ops, options.extra_state.c_str());
    std::fprintf(f, "[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", options.cloud_rps, options.list_lag_s);
    std::fprintf(f, "[cluster.machine_limits]\ncore_share = 0.16\nram_mb = %.1f\nmax_sockets = 6000\n", options.ram_mb);
    std::fclose(f);
    start(i);
  }
  auto sweep = std::make_shared<std::function<void()>>();
  *sweep = [this, sweep] {
    tick();
    after(0.05, *sweep);
  };
  after(0.05, *sweep);
}

void World::start(std::size_t node) {
  Controller& c = controllers[node];
  if (c.pid != 0) return;
  c.wanted = true;
  const pid_t pid = fork();
  if (pid == 0) {
    const std::string log = options.folder + "/" + c.name + ".log";
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 2);
    dup2(fd, 1);
    for (int i = 3; i < 1024; ++i) close(i);
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // no controller outlives the stand-ins
    std::vector<std::string> words;  // the command of the deploy file; the settings file is its last argument
    std::stringstream command(options.run);
    for (std::string word; command >> word;) words.push_back(word);
    words.push_back(c.settings_path);
    std::vector<char*> arguments;
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  c.pid = pid;
  record("platform: started %s as %d", c.name.c_str(), pid);
}

void World::kill(std::size_t node) {
  Controller& c = controllers[node];
  c.wanted = false;
  if (c.pid == 0) return;
  ::kill(c.pid, SIGKILL);
  waitpid(c.pid, nullptr, 0);
  record("platform: killed %s", c.name.c_str());
  c.pid = 0;
}
void World::stop(std::size_t node) {
  if (controllers[node].pid == 0) return;
  ::kill(controllers[node].pid, SIGSTOP);
  record("platform: stopped %s", controllers[node].name.c_str());
}
void World::go_on(std::size_t node) {
  if (controllers[node].pid == 0) return;
  ::kill(controllers[node].pid, SIGCONT);
  record("platform: continued %s", controllers[node].name.c_str());
}
void World::end_all() {
  for (std::size_t i = 0; i < controllers.size(); ++i) kill(i);
}

void World::reap() {
  for (std::size_t i = 0; i < controllers.size(); ++i) {
    Controller& c = controllers[i];
    int status = 0;
    if (c.pid == 0 || waitpid(c.pid, &status, WNOHANG) != c.pid) continue;
    ++c.ended_by_itself;
    record("platform: %s ended by itself, %s %d", c.name.c_str(), WIFSIGNALED(status) ? "signal" : "status",
           WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    c.pid = 0;
    if (c.wanted) after(5, [this, i] { if (controllers[i].wanted) start(i); });
  }
}

void World::break_rule(const std::string& rule, const std::string& what) {
  record("BROKEN %s: %s", rule.c_str(), what.c_str());
  broken.push_back(rule + ": " + what);
}

void World::on_task_starts(Worker& worker, const std::string& part, std::uint64_t attempt) {
  const Job& job = jobs[job_of(part)];
  record("%s: %s try %llu is on its machine", worker.host.c_str(), part.c_str(), static_cast<unsigned long long>(attempt));
  const auto on_machine = [](const Part& p) { return p.status != "ended" && p.status != "fetching"; };
  double gpus = job.accelerators, cpus = job.cpus;
  std::map<std::string, int> zone_tasks;
  ++zone_tasks[worker.district];
  for (const auto& [name, other] : workers) {
    if (other->gone) continue;
    for (const auto& [key, p] : other->parts) {
      if (!on_machine(p)) continue;
      if (key.first == part && other.get() != &worker)
        break_rule("ran_twice", part + " starts on " + worker.host + " while it is on " + name);
      const Job& o = jobs[job_of(key.first)];
      if (o.uid == job.uid) ++zone_tasks[other->district];
      if (o.team == job.team) {
        gpus += o.accelerators;
        cpus += o.cpus;
      }
    }
  }
  if (options.team_gpus_max > 0 && gpus > options.team_gpus_max + 1e-6)
    break_rule("quota", job.team + " uses " + std::to_string(gpus) + " GPUs with " + part);
  if ((job.together && zone_tasks.size() > 1) ||
      (job.spread && zone_tasks[worker.district] > (job.parts + 1) / 2) ||
      (!job.district.empty() && job.district != worker.district) || (worker.loaners && !job.loaners) ||
      (!job.builds.empty() && std::find(job.builds.begin(), job.builds.end(), worker.build) == job.builds.end()))
    break_rule("wrong_place", part + " on " + worker.host + " in " + worker.district);
  if (job.cancel_told_at >= 0 && now() > job.cancel_told_at + options.cancel_s)
    break_rule("ran_cancelled", part + " starts on " + worker.host);
}

void World::check_gangs() {
  std::map<std::pair<std::string, std::uint64_t>, std::vector<std::pair<Worker*, Worker::Key>>> gangs;
  for (auto& [name, w] : workers) {
    if (w->gone || w->hangs) continue;
    for (auto& [key, p] : w->parts) {
      if (jobs[job_of(key.first)].shape != "ensemble") continue;
      if (p.status == "gathering" || p.status == "running") gangs[{job_of(key.first), key.second}].push_back({w.get(), key});
    }
  }
  for (auto& [id, members] : gangs) {
    Job& job = jobs[id.first];
    const bool complete = static_cast<int>(members.size()) == job.parts;
    const bool any_running = std::any_of(members.begin(), members.end(), [](const auto& m) {
      return m.first->parts[m.second].status == "running";
    });
    if (complete && !any_running) {
      for (auto& [w, key] : members) w->run(key);
      const double end = now() + job.run_s;
      for (auto& [w, key] : members) w->parts[key].ends_at = end;
    } else if (any_running && !complete) {
      for (auto& [w, key] : members) {
        if (w->parts[key].status != "running") continue;
        if (!job.completed.empty()) w->parts[key].ends_at = now();  // they complete together
        else w->end(key, "peers");
      }
    }
  }
}

void World::tick() {
  reap();
  check_gangs();
  for (auto& [name, w] : workers) w->tick();
  for (const auto& [uid, job] : jobs) {
    if (job.cancel_told_at < 0 || now() < job.cancel_told_at + options.cancel_s) continue;
    for (const auto& [name, w] : workers) {
      if (w->gone) continue;
      for (const auto& [key, p] : w->parts) {
        if (job_of(key.first) == uid && p.status != "ended" && p.status != "fetching" &&
            (broken.empty() || broken.back() != "ran_cancelled: " + key.first + " is on " + name))
          break_rule("ran_cancelled", key.first + " is on " + name);
      }
    }
  }
}

void World::serve_cloud(evhttp_request* r, const std::string& path, const std::string& query,
                        const std::string& body, bool post) {
  if (cloud_out) {
    answer(r, 503, "{\"error\":\"trouble\"}");
    return;
  }
  Json doc;
  if (post) doc.Parse(body.data(), body.size());
  if (post) record("cloud: %s %.300s", path.c_str(), body.c_str());
  if (path == "/machine_types") {
    std::string list;
    for (const auto& t : types) {
      std::string zones;
      for (const auto& z : t.zones) zones += (zones.empty() ? "" : ",") + quote(z);
      char b[400];
      std::snprintf(b, sizeof b,
                    "{\"name\":\"%s\",\"cpus\":%.1f,\"accelerators\":%.1f,\"memory_gb\":%.1f,\"local_gb\":120.0,"
                    "\"pull_gb_per_s\":1.0,\"hourly\":12.0,\"market_price\":4.5,\"ready_s\":%.1f,\"districts\":[",
                    t.name.c_str(), t.cpus, t.gpus, t.memory_gb, t.boot_s);
      list += std::string(list.empty() ? "" : ",") + b + zones + "]}";
    }
    answer(r, 200, "{\"builds\":[" + list + "]}");
  } else if (path == "/machines/delete") {
    for (const auto& h : doc["hosts"].GetArray()) {
      const auto it = workers.find(h.GetString());
      if (it == workers.end() || it->second->gone) continue;
      it->second->gone = true;
      it->second->parts.clear();
      record("cloud: deleted %s", h.GetString());
    }
    answer(r, 200, "{}");
  } else if (path == "/machines" && post) {
    const std::string hire = get_text(doc, "hire");
    if (!hires.contains(hire) && !provisions) {
      answer(r, 503, "{\"error\":\"no capacity\"}");
      return;
    }
    if (!hires.contains(hire)) {
      auto& list = hires[hire];
      const std::uint64_t n = get_count(doc, "how_many");
      for (std::uint64_t i = 0; i < n; ++i) {
        Worker& w = add_machine(get_text(doc, "build"), get_text(doc, "district"), doc["loaners"].GetBool());
        w.next_report = now() + 5;
        list.push_back(w.host);
      }
    }
    std::string names;
    for (const auto& n : hires[hire]) names += (names.empty() ? "" : ",") + quote(n);
    answer(r, 200, "{\"hosts\":[" + names + "]}");
  } else if (path == "/machines") {
    const std::string from = query_field(query, "after");
    std::string list;
    for (const auto& [name, w] : workers) {
      if (w->gone || name <= from) continue;
      list += std::string(list.empty() ? "" : ",") + "{\"uid\":" + quote(name) + ",\"address\":" +
              quote(w->address()) + ",\"build\":" + quote(w->build) + ",\"district\":" + quote(w->district) +
              ",\"loaners\":" + (w->loaners ? "true" : "false") + ",\"status\":\"running\",\"age_s\":" +
              std::to_string(now() + 100) + "}";
    }
    answer(r, 200, "{\"hosts\":[" + list + "],\"has_next\":false}");
  } else {
    answer(r, 400, "{}");
  }
}

void World::submit(const std::string& uid, std::size_t node, std::function<void(int)> then) {
  request(controllers[node].user_port, true, "/api/jobs", jobs[uid].body(), 5,
          [=, this](const Reply& reply) {
            record("user: submit %s at hub-%zu: %d %.120s", uid.c_str(), node, reply.status, reply.body.c_str());
            Job& job = jobs[uid];
            const bool ok = reply.status == 200 || reply.status == 201;
            if (ok && job.accepted_at < 0) job.accepted_at = now();
            if (!ok && job.accepted_at >= 0 && (reply.status == 400 || reply.status == 422))
              break_rule("forgotten", uid + " gets " + std::to_string(reply.status));
            if (!ok && reply.status != 400 && reply.status != 422 && job.accepted_at < 0) {
              after(1, [=, this] { submit(uid, (node + 1) % controllers.size(), then); });
              return;
            }
            if (then) then(reply.status);
          });
}

void World::poll(const std::string& uid, std::size_t node, std::function<void(Reply)> then) {
  const double asked = now();
  request(controllers[node].user_port, false, "/api/jobs/" + uid, "", 2, [=, this](const Reply& reply) {
    Job& job = jobs[uid];
    Json doc;
    doc.Parse(reply.body.data(), reply.body.size());
    const std::string status = get_text(doc, "status");
    record("user: poll %s at hub-%zu: %d %.120s", uid.c_str(), node, reply.status, reply.body.c_str());
    if (reply.status == 404 && job.accepted_at >= 0 && job.accepted_at < asked)
      break_rule("forgotten", uid + " gets 404 at hub-" + std::to_string(node));
    if (reply.status == 200) {
      if (status == "done" && static_cast<int>(job.completed.size()) < job.parts)
        break_rule("not_done", uid + " is called done");
      if (job.done_told_at >= 0 && job.done_told_at < asked && status != "done")
        break_rule("went_back", uid + " was called done and is now called " + status + " at hub-" + std::to_string(node));
      if (job.cancel_told_at >= 0 && job.cancel_told_at < asked && status != "cancelled")
        break_rule("went_back", uid + " was called cancelled and is now called " + status + " at hub-" + std::to_string(node));
      if (status == "cancelled" && job.cancel_asked_at < 0)
        break_rule("went_back", uid + " is called cancelled, which nobody asked for");
      if (status == "done" && job.done_told_at < 0) job.done_told_at = now();
      if (status == "cancelled" && job.cancel_told_at < 0) job.cancel_told_at = now();
    }
    if (then) then(reply);
  });
}

void World::cancel(const std::string& uid, std::size_t node, std::function<void(int)> then) {
  if (jobs[uid].cancel_asked_at < 0) jobs[uid].cancel_asked_at = now();
  request(controllers[node].user_port, true, "/api/jobs/" + uid + "/abort", "", 5, [=, this](const Reply& reply) {
    record("user: cancel %s at hub-%zu: %d %.120s", uid.c_str(), node, reply.status, reply.body.c_str());
    Job& job = jobs[uid];
    Json doc;
    doc.Parse(reply.body.data(), reply.body.size());
    const std::string status = get_text(doc, "status");
    if (reply.status == 200 && status == "cancelled") {
      if (job.done_told_at >= 0) break_rule("went_back", uid + " was done, and is cancelled");
      if (job.cancel_told_at < 0) job.cancel_told_at = now();
    } else if (reply.status == 200 && status == "done") {
      if (job.done_told_at < 0) job.done_told_at = now();
    } else if (reply.status == 404 && job.accepted_at >= 0) {
      break_rule("forgotten", uid + " gets 404 for its cancellation");
    } else {
      after(1, [=, this] { cancel(uid, (node + 1) % controllers.size(), then); });
      return;
    }
    if (then) then(reply.status);
  });
}

int World::leader() const {
  const auto it = state->entries.find("mv/leader");
  if (it == state->entries.end()) return -1;
  for (std::size_t i = 0; i < controllers.size(); ++i) {
    if (it->second.value.find("\"" + controllers[i].name + "\"") != std::string::npos) return static_cast<int>(i);
  }
  return -1;
}
int World::holder(const std::string& zone) const {
  const auto it = state->entries.find("mv/blocks/" + zone);
  if (it == state->entries.end()) return -1;
  for (std::size_t i = 0; i < controllers.size(); ++i) {
    if (it->second.value.find("\"" + controllers[i].name + "\"") != std::string::npos) return static_cast<int>(i);
  }
  return -1;
}

}  // namespace world
