#include "net/http_client.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

namespace marblevale {

namespace {
constexpr int kConnectionTimeoutSeconds = 120;
}  // namespace

struct HttpClient::Connection {
  /// `broken`: the connection must be closed before its next use. It isn't closed at once, because
  /// that must not happen inside evhttp's own callback.
  enum class State { closed, idle, busy, broken };

  HttpClient& owner;
  Timer deadline;
  evhttp_connection* connection = nullptr;  // null while closed
  State state = State::closed;
  HttpHandler handler;

  explicit Connection(HttpClient& client)
      : owner(client), deadline(client.loop_, [this] {
          owner.finish(*this, HttpReply::no_answer(), RequestEnd::timed_out);
        }) {}
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void open() {
    if (state == State::broken) close();
    if (state != State::closed) return;
    connection = evhttp_connection_base_new(owner.loop_.base(), nullptr, owner.server_.host.c_str(),
                                            owner.server_.port);
    evhttp_connection_set_timeout(connection, kConnectionTimeoutSeconds);
  }
  void close() {
    // The state changes first, because evhttp may call back for a request that it drops. `finish`
    // ignores that call when the connection is no longer busy.
    state = State::closed;
    if (connection != nullptr) evhttp_connection_free(connection);
    connection = nullptr;
  }
};

HttpClient::HttpClient(Loop& loop, Address server, std::size_t connections, std::size_t queue_limit)
    : loop_(loop),
      server_(std::move(server)),
      queue_limit_(queue_limit),
      dispatch_timer_(loop, [this] { dispatch_queue(); }) {
  for (std::size_t i = 0; i < connections; ++i) {
    connections_.push_back(std::make_unique<Connection>(*this));
  }
}

HttpClient::~HttpClient() = default;

bool HttpClient::idle() const {
  return queue_.empty() &&
         std::none_of(connections_.begin(), connections_.end(), [](const auto& connection) {
           return connection->state == Connection::State::busy;
         });
}

std::size_t HttpClient::queued_bytes() const {
  std::size_t bytes = 0;
  for (const QueuedRequest& request : queue_) bytes += request.call.body.size();
  return bytes;
}

void HttpClient::send(HttpCall call, HttpHandler handler) {
  if (queue_.empty()) {
    const auto available = std::find_if(
        connections_.begin(), connections_.end(),
        [](const auto& connection) { return connection->state != Connection::State::busy; });
    if (available != connections_.end()) {
      send_on(**available, call, std::move(handler));
      return;
    }
  }
  if (queue_.size() >= queue_limit_) {
    handler(HttpReply::never_sent());
    return;
  }
  queue_.push_back({std::move(call), std::move(handler), nullptr});
  auto entry = std::prev(queue_.end());
  // The deadline also limits how long the request waits for a connection.
  entry->deadline = std::make_unique<Timer>(loop_, [this, entry] {
    HttpHandler expired_handler = std::move(entry->handler);
    queue_.erase(entry);
    expired_handler(HttpReply::never_sent());
  });
  entry->deadline->start(entry->call.deadline);
}

void HttpClient::send_on(Connection& connection, const HttpCall& call, HttpHandler handler) {
  connection.open();
  connection.state = Connection::State::busy;
  connection.handler = std::move(handler);
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* response, void* self) {
        finish_response(response, *static_cast<Connection*>(self));
      },
      &connection);
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", (server_.host + ":" + std::to_string(server_.port)).c_str());
  if (!call.body.empty()) {
    evhttp_add_header(headers, "Content-Type", call.content_type.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
  }
  connection.deadline.start(call.deadline);
  if (evhttp_make_request(connection.connection, request, call.method, call.path.c_str()) != 0) {
    // evhttp has removed the request from the connection and will not call back for it.
    finish(connection, HttpReply::never_sent(), RequestEnd::broken);
  }
}

void HttpClient::finish_response(evhttp_request* request, Connection& connection) {
  // When the connection failed, evhttp passes null or a request without a response code.
  const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status == 0) {
    connection.owner.finish(connection, HttpReply::no_answer(), RequestEnd::broken);
    return;
  }
  HttpReply reply = HttpReply::answer(status, {});
  evbuffer* body = evhttp_request_get_input_buffer(request);
  reply.body.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, reply.body.data(), reply.body.size());
  connection.owner.finish(connection, reply, RequestEnd::answered);
}

void HttpClient::finish(Connection& connection, const HttpReply& reply, RequestEnd end) {
  if (connection.state != Connection::State::busy) return;
  connection.deadline.stop();
  switch (end) {
    case RequestEnd::answered:
      connection.state = Connection::State::idle;
      break;
    case RequestEnd::broken:
      connection.state = Connection::State::broken;
      break;
    case RequestEnd::timed_out:
      connection.close();
      break;
  }
  HttpHandler handler = std::move(connection.handler);
  connection.handler = nullptr;
  if (!queue_.empty()) dispatch_timer_.start(Duration{0});
  handler(reply);
}

void HttpClient::dispatch_queue() {
  for (auto& connection : connections_) {
    if (queue_.empty()) return;
    if (connection->state == Connection::State::busy) continue;
    QueuedRequest next = std::move(queue_.front());
    queue_.pop_front();
    next.deadline.reset();
    send_on(*connection, next.call, std::move(next.handler));
  }
}

}  // namespace marblevale
