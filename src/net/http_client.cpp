#include "net/http_client.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

namespace marblevale {

struct HttpClient::Connection {
  HttpClient& owner;
  Timer deadline;
  evhttp_connection* connection = nullptr;
  bool busy = false;
  bool spoilt = false;  // to be closed before its next use, never inside evhttp's own callback
  HttpHandler handler;

  explicit Connection(HttpClient& client)
      : owner(client), deadline(client.loop_, [this] {
          owner.finish(*this, HttpReply::no_answer(), Ending::timed_out);
        }) {}
  ~Connection() { close(); }
  void close() {
    if (connection != nullptr) evhttp_connection_free(connection);
    connection = nullptr;
    spoilt = false;
  }
};

HttpClient::HttpClient(Loop& loop, Address to, std::size_t connections, std::size_t queue_limit)
    : loop_(loop),
      to_(std::move(to)),
      queue_limit_(queue_limit),
      pump_later_(loop, [this] { pump(); }) {
  for (std::size_t i = 0; i < connections; ++i)
    connections_.push_back(std::make_unique<Connection>(*this));
}

HttpClient::~HttpClient() = default;

bool HttpClient::idle() const {
  if (!queue_.empty()) return false;
  for (const auto& connection : connections_) {
    if (connection->busy) return false;
  }
  return true;
}

void HttpClient::send(HttpCall call, HttpHandler handler) {
  for (auto& connection : connections_) {
    if (connection->busy || !queue_.empty()) continue;
    begin(*connection, {std::move(call), std::move(handler), nullptr});
    return;
  }
  if (queue_.size() >= queue_limit_) {
    handler(HttpReply::never_sent());
    return;
  }
  queue_.push_back({std::move(call), std::move(handler), nullptr});
  auto entry = std::prev(queue_.end());
  // The deadline runs while the request waits for a connection, too.
  entry->expiry = std::make_unique<Timer>(loop_, [this, entry] {
    HttpHandler expired = std::move(entry->handler);
    queue_.erase(entry);
    expired(HttpReply::never_sent());
  });
  entry->expiry->start(entry->call.deadline);
}

void HttpClient::begin(Connection& connection, Waiting next) {
  if (connection.spoilt) connection.close();
  if (connection.connection == nullptr) {
    connection.connection =
        evhttp_connection_base_new(loop_.base(), nullptr, to_.host.c_str(), to_.port);
    evhttp_connection_set_timeout(connection.connection, 120);
  }
  connection.busy = true;
  connection.handler = std::move(next.handler);
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* req, void* arg) {
        auto& self = *static_cast<Connection*>(arg);
        const int status = req == nullptr ? 0 : evhttp_request_get_response_code(req);
        if (status == 0) {
          self.owner.finish(self, HttpReply::no_answer(), Ending::broken);
          return;
        }
        HttpReply reply = HttpReply::answer(status, {});
        evbuffer* body = evhttp_request_get_input_buffer(req);
        reply.body.resize(evbuffer_get_length(body));
        evbuffer_copyout(body, reply.body.data(), reply.body.size());
        self.owner.finish(self, std::move(reply), Ending::answered);
      },
      &connection);
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", (to_.host + ":" + std::to_string(to_.port)).c_str());
  if (!next.call.body.empty()) {
    evhttp_add_header(headers, "Content-Type", next.call.content_type.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), next.call.body.data(),
                 next.call.body.size());
  }
  connection.deadline.start(next.call.deadline);
  if (evhttp_make_request(connection.connection, request, next.call.method,
                          next.call.path.c_str()) != 0) {
    // evhttp took the request off the connection and will call nothing back for it.
    finish(connection, HttpReply::never_sent(), Ending::broken);
  }
}

void HttpClient::finish(Connection& connection, HttpReply reply, Ending ending) {
  if (!connection.busy) return;
  connection.busy = false;
  connection.deadline.stop();
  if (ending == Ending::timed_out) connection.close();
  if (ending == Ending::broken) connection.spoilt = true;
  HttpHandler handler = std::move(connection.handler);
  connection.handler = nullptr;
  if (!queue_.empty()) pump_later_.start(Duration{0});
  handler(reply);
}

void HttpClient::pump() {
  for (auto& connection : connections_) {
    if (queue_.empty()) return;
    if (connection->busy) continue;
    Waiting next = std::move(queue_.front());
    queue_.pop_front();
    next.expiry.reset();
    begin(*connection, std::move(next));
  }
}

}  // namespace marblevale
