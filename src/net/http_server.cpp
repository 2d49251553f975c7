#include "net/http_server.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <stdexcept>

namespace marblevale {

namespace {
// evhttp itself rejects larger bodies. A body between the protocol's limit of 64 KiB and this limit
// reaches the handler, which answers with the status that the protocol requires.
constexpr ev_ssize_t kMaxBodyBytes = ev_ssize_t{256} * 1024;
constexpr ev_ssize_t kMaxHeaderBytes = ev_ssize_t{16} * 1024;
constexpr int kIdleTimeoutSeconds = 60;
}  // namespace

Responder::Responder(evhttp_request* request) : request_(request) {}

Responder::~Responder() {
  if (request_ != nullptr) reply(503, R"({"error":"not decided"})");
}

void Responder::reply(int status, std::string_view body, std::optional<int> retry_after_s) {
  if (request_ == nullptr) return;
  evhttp_request* request = request_;
  request_ = nullptr;
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", "application/json");
  if (retry_after_s.value_or(0) > 0) {
    evhttp_add_header(headers, "Retry-After", std::to_string(*retry_after_s).c_str());
  }
  evbuffer* out = evhttp_request_get_output_buffer(request);
  evbuffer_add(out, body.data(), body.size());
  evhttp_send_reply(request, status, nullptr, nullptr);
}

HttpRequest HttpServer::parse(evhttp_request* request) {
  HttpRequest parsed;
  parsed.method = evhttp_request_get_command(request);
  const char* uri = evhttp_request_get_uri(request);
  parsed.path = uri == nullptr ? "" : uri;
  parsed.path = parsed.path.substr(0, parsed.path.find('?'));
  evbuffer* body = evhttp_request_get_input_buffer(request);
  parsed.body.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, parsed.body.data(), parsed.body.size());
  return parsed;
}

HttpServer::HttpServer(Loop& loop, const Address& address, Handler handler)
    : handler_(std::move(handler)), http_(evhttp_new(loop.base()), &evhttp_free) {
  evhttp_set_max_body_size(http_.get(), kMaxBodyBytes);
  evhttp_set_max_headers_size(http_.get(), kMaxHeaderBytes);
  evhttp_set_timeout(http_.get(), kIdleTimeoutSeconds);
  evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                              EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD |
                                              EVHTTP_REQ_PATCH);
  evhttp_set_gencb(
      http_.get(),
      [](evhttp_request* request, void* arg) {
        auto& self = *static_cast<HttpServer*>(arg);
        self.handler_(parse(request), std::make_shared<Responder>(request));
      },
      this);
  if (evhttp_bind_socket(http_.get(), address.host.c_str(), address.port) != 0) {
    throw std::runtime_error("cannot listen on " + address.host + ":" +
                             std::to_string(address.port));
  }
}

}  // namespace marblevale
