#include "net/discovery.hpp"

#include <algorithm>
#include <exception>
#include <string>
#include <utility>

namespace finchstile {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kListMost = 4 * 1024 * 1024;
constexpr std::int64_t kNoIndex = -1;  // the whole list is asked for

}  // namespace

// The connection of a watch, with the call that is out on it.
struct Discovery::Call {
  explicit Call(boost::asio::io_context& io) : socket(io) {}
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  bool connected = false;
};

Discovery::Discovery(boost::asio::io_context& io, const Clock& clock, const tcp::endpoint& at, Limits limits,
                     std::int64_t index, DiscoveryEvents& events)
    : io_(io), clock_(clock), at_(at), limits_(limits), index_(index), events_(events), timer_(io) {}
Discovery::~Discovery() = default;

void Discovery::watch() {
  if (call_) return;
  call_ = std::make_shared<Call>(io_);
  ask();
}

// Danger: a version of one discovery means nothing to another, so ours is of no use there. But the
// configuration names a discovery together with a list and its version, as it does at a start. The changes
// since cost a discovery that all gateways turn to at once a quarter of what the whole list does.
void Discovery::move(const tcp::endpoint& at, HostList known) {
  stop();
  at_ = at;
  const bool usable = known.index >= 0 && !known.hosts.empty();  // danger: changes to nothing are no list
  index_ = usable ? known.index : kNoIndex;
  base_ = usable ? std::optional(std::move(known)) : std::nullopt;
  soon_ = true;  // no news is a word too: that the list which came with the move holds
  watch();
}

void Discovery::stop() {
  timer_.cancel();
  if (const auto call = std::exchange(call_, nullptr)) {
    error_code ignored;
    call->socket.close(ignored);
  }
}

void Discovery::ask() {
  const auto call = call_;
  std::string target = "/registry/instances";
  Duration most = limits_.silence;
  if (index_ >= 0) {
    const Duration wait = soon_ ? std::min(limits_.wait, limits_.soon) : limits_.wait;
    target += "?since=" + std::to_string(index_) + "&timeout_ms=" +
              std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
    most += wait;
  }
  // Danger: a discovery that was cut off says nothing, ever.
  timer_.expires_after(most);
  timer_.async_wait([this, call](error_code stopped) {
    if (!stopped && call == call_) lost();
  });
  call->request = {http::verb::get, target, 11};
  call->request.set(http::field::host, at_.address().to_string() + ":" + std::to_string(at_.port()));
  call->parser.emplace();
  call->parser->body_limit(kListMost);
  auto write = [this, call] {
    http::async_write(call->socket, call->request, [this, call](error_code error, std::size_t) {
      if (call != call_) return;
      if (error) return lost();
      http::async_read(call->socket, call->buffer, *call->parser, [this, call](error_code bad, std::size_t) {
        if (call != call_) return;
        if (bad) return lost();
        answered(call);
      });
    });
  };
  if (call->connected) return write();
  call->socket.async_connect(at_, [this, call, write](error_code error) {
    if (call != call_) return;
    if (error) return lost();
    call->connected = true;
    write();
  });
}

void Discovery::answered(const std::shared_ptr<Call>& call) {
  if (call->parser->get().result() != http::status::ok) return lost();
  HostList list;
  try {
    list = parseHostList(call->parser->get().body(), clock_);
  } catch (const std::exception&) {
    return lost();
  }
  // Danger: these may be changes to a list that we do not have: we asked for a whole one, or it has begun to
  // count anew, or is another one than our version is from.
  if (!list.whole && (index_ < 0 || list.index < index_)) {
    index_ = kNoIndex;
    base_.reset();
    return lost();
  }
  index_ = list.index;
  soon_ = false;
  if (const auto base = std::exchange(base_, std::nullopt); base && !list.whole)
    list = wholeOf(*base, std::move(list));
  if (!call->parser->keep_alive()) {
    error_code ignored;
    call->socket.close(ignored);
    call->connected = false;
    call->buffer.clear();
  }
  // The next call goes out first: a watch lasts only as long as calls follow one another closely.
  ask();
  events_.onHostList(std::move(list));
}

void Discovery::lost() {
  stop();
  soon_ = true;
  events_.onDiscoveryLost();
}

}  // namespace finchstile
