// A fake control machine on loopback that serves long polls and can inject faults.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control_log.hpp"

namespace finchstile::fake_upstream {

enum class ControlFault {
  none,
  unresponsive,       // accepts polls but answers none, including those already held
  stalledResponse,    // sends half of each answer and keeps the connection open
  truncatedResponse,  // sends half of each answer and closes the connection
  malformedUpdate,    // sends a body that is not a valid update
};

class ControlMachine {
 public:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  ControlMachine(boost::asio::io_context& io, const ControlLog::Settings& settings)
      : log(settings), io_(io), acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    endpoint_ = acceptor_.local_endpoint();
    accept();
  }

  ControlLog log;
  ControlFault fault = ControlFault::none;

  tcp::endpoint endpoint() const { return endpoint_; }
  std::string address() const {
    return endpoint_.address().to_string() + ":" + std::to_string(endpoint_.port());
  }
  std::uint64_t pollCount() const { return pollCount_; }
  std::uint64_t bytesSent() const { return bytesSent_; }

  configuration::Version publish(const std::vector<configuration::DocumentChange>& changes) {
    const configuration::Version version = log.publish(changes);
    answerHeldPolls();
    return version;
  }
  // Answers held polls for which there is a newer version. To be called after `log` was changed directly.
  void answerHeldPolls() {
    for (const auto& session : std::vector(heldSessions_.begin(), heldSessions_.end()))
      session->answerIfNewer();
  }
  // Closes the listener and all connections.
  void kill() {
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& session : std::vector(sessions_.begin(), sessions_.end())) session->close();
  }
  void restart() {
    acceptor_ = tcp::acceptor(io_);
    acceptor_.open(endpoint_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint_);
    acceptor_.listen();
    accept();
  }

 private:
  struct Session : std::enable_shared_from_this<Session> {
    Session(ControlMachine& m, tcp::socket s) : machine(m), socket(std::move(s)), timer(m.io_) {}

    void read() {
      request = {};
      boost::beast::http::async_read(socket, buffer, request,
                                     [self = shared_from_this()](error_code error, std::size_t) {
                                       if (error) return self->close();
                                       self->onRequest();
                                     });
    }
    void onRequest() {
      ++machine.pollCount_;
      poll =
          configuration::parsePollTarget(std::string_view(request.target().data(), request.target().size()));
      if (!poll) return reply({400, "unknown path", 0});
      machine.log.recordPoll(*poll);
      if (machine.fault == ControlFault::unresponsive) return;
      machine.heldSessions_.insert(shared_from_this());
      timer.expires_after(std::min<std::chrono::nanoseconds>(poll->maxWait, std::chrono::minutes(1)));
      timer.async_wait([self = shared_from_this()](error_code stopped) {
        if (!stopped && self->releaseHeldPoll()) self->reply(self->machine.log.unchangedReply());
      });
      answerIfNewer();
    }
    void answerIfNewer() {
      if (machine.fault == ControlFault::unresponsive) return;
      if (auto answer = machine.log.answer(*poll, machine.now()); answer && releaseHeldPoll()) reply(*answer);
    }
    // Returns whether the poll was held.
    bool releaseHeldPoll() { return machine.heldSessions_.erase(shared_from_this()) > 0; }
    void reply(const ControlReply& answer) {
      timer.cancel();
      if (machine.fault == ControlFault::unresponsive) return;
      out = "HTTP/1.1 " + std::to_string(answer.status) + " X\r\n";
      if (answer.retryAfterSeconds > 0)
        out += "Retry-After: " + std::to_string(answer.retryAfterSeconds) + "\r\n";
      const std::string body =
          machine.fault == ControlFault::malformedUpdate ? "{\"epoch\":[]}" : answer.body;
      out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      const bool isPartial =
          machine.fault == ControlFault::stalledResponse || machine.fault == ControlFault::truncatedResponse;
      if (isPartial) out.resize(out.size() - body.size() / 2 - 1);
      boost::asio::async_write(
          socket, boost::asio::buffer(out),
          [self = shared_from_this(), isPartial](error_code error, std::size_t bytes) {
            self->machine.bytesSent_ += bytes;
            if (error || (isPartial && self->machine.fault == ControlFault::truncatedResponse))
              return self->close();
            if (!isPartial) self->read();
          });
    }
    void close() {
      releaseHeldPoll();
      timer.cancel();
      error_code ignored;
      socket.close(ignored);
      machine.sessions_.erase(shared_from_this());
    }

    ControlMachine& machine;
    tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::empty_body> request;
    std::optional<configuration::PollRequest> poll;
    std::string out;
  };

  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      const auto session = std::make_shared<Session>(*this, std::move(socket));
      sessions_.insert(session);
      session->read();
      accept();
    });
  }
  static double now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
  }

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  tcp::endpoint endpoint_;
  std::set<std::shared_ptr<Session>> sessions_, heldSessions_;
  std::uint64_t pollCount_ = 0, bytesSent_ = 0;
};

}  // namespace finchstile::fake_upstream
