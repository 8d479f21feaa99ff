// A fake discovery service on loopback for many gateways. It serves complete host lists, and long polls that
// are held until a host changes or their timeout expires.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_upstream_config.hpp"

namespace finchstile::fake_upstream {

class LongPollDiscovery {
 public:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  LongPollDiscovery(boost::asio::io_context& io, json hosts)
      : hosts_(std::move(hosts)),
        io_(io),
        acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        initialList_(listJson(kInitialIndex, true, hosts_).dump()) {
    accept();
  }
  std::string address() const {
    const auto at = acceptor_.local_endpoint();
    return at.address().to_string() + ":" + std::to_string(at.port());
  }
  // Changes the status of one host and answers all held polls.
  void setHostStatus(std::size_t host, const std::string& status) {
    hosts_[host]["status"] = status;
    ++index_;
    latestChange_ = listJson(index_, false, json::array({hosts_[host]})).dump();
    for (const auto& session : std::vector(heldSessions_.begin(), heldSessions_.end()))
      session->reply(latestChange_);
  }
  std::uint64_t bytesTransferred() const { return bytesTransferred_; }  // received and sent
  std::uint64_t requestCount() const { return requestCount_; }

 private:
  static constexpr int kInitialIndex = 1;

  struct Session : std::enable_shared_from_this<Session> {
    Session(LongPollDiscovery& d, tcp::socket s) : discovery(d), socket(std::move(s)), timer(d.io_) {}
    void read() {
      request = {};
      boost::beast::http::async_read(socket, buffer, request,
                                     [self = shared_from_this()](error_code error, std::size_t bytes) {
                                       self->discovery.bytesTransferred_ += bytes;
                                       if (!error) self->onRequest();
                                     });
    }
    void onRequest() {
      ++discovery.requestCount_;
      const std::string target(request.target());
      const std::size_t since = target.find("since="), wait = target.find("timeout_ms=");
      if (since == std::string::npos) return reply(discovery.initialList_);
      if (std::atoi(target.c_str() + since + 6) < discovery.index_) return reply(discovery.latestChange_);
      discovery.heldSessions_.insert(shared_from_this());
      timer.expires_after(std::chrono::milliseconds(std::atoi(target.c_str() + wait + 11)));
      timer.async_wait([self = shared_from_this()](error_code stopped) {
        if (!stopped) self->reply(listJson(self->discovery.index_, false, json::array()).dump());
      });
    }
    void reply(const std::string& body) {
      discovery.heldSessions_.erase(shared_from_this());
      timer.cancel();
      out = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      boost::asio::async_write(socket, boost::asio::buffer(out),
                               [self = shared_from_this()](error_code error, std::size_t bytes) {
                                 self->discovery.bytesTransferred_ += bytes;
                                 if (!error) self->read();
                               });
    }
    LongPollDiscovery& discovery;
    tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::empty_body> request;
    std::string out;
  };

  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      std::make_shared<Session>(*this, std::move(socket))->read();
      accept();
    });
  }

  json hosts_;
  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  int index_ = kInitialIndex;
  std::string initialList_;   // complete, with the hosts at construction; later changes are not in it
  std::string latestChange_;  // the last change only
  std::set<std::shared_ptr<Session>> heldSessions_;
  std::uint64_t bytesTransferred_ = 0, requestCount_ = 0;
};

}  // namespace finchstile::fake_upstream
