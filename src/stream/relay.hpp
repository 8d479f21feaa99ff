// One stream that has begun: two sockets, and the bytes between them. It passes on what comes as it comes,
// each direction for itself, holds no memory while nothing goes on, and tells once how it ended.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "net/clock.hpp"
#include "stream/buffers.hpp"
#include "stream/codec.hpp"
#include "stream/ending.hpp"
#include "stream/flow.hpp"

namespace finchstile::stream {

using boost::asio::ip::tcp;
using StreamId = std::uint64_t;

struct RelayParts {
  tcp::socket client, host;
  std::string fromClient, fromHost;  // read from them already
  std::string greeting;              // of ours, to the client, ahead of all
  FlowLimits limits;
  std::unique_ptr<Codec> codec;  // null: the bytes are opaque
};

class RelayEvents {
 public:
  virtual ~RelayEvents() = default;
  // Once, with both sockets closed. Never from within `start`, but it may come from within the other calls.
  virtual void onRelayOver(StreamId id, const Ending& ending) = 0;
  // To be looked at by `check` at `due` at the latest.
  virtual void onRelayDue(StreamId id, Time due) = 0;
};

class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(StreamId id, RelayParts&& parts, BufferBudget& budget, const Clock& clock, RelayEvents& events);
  ~Relay();

  void start();
  // The gateway ends it: with the protocol's own words and some time for them where it has such, else at
  // once.
  void close(Why why);
  void check(Time now);
  // As if its sockets had gone with the process; tells nobody.
  void abandon();
  std::uint64_t passed(Side from) const { return pipe(from).passed; }

 private:
  struct Pipe {  // one direction, by the side that sends
    std::unique_ptr<char[]> piece;
    BufferBudget::Grant grant;
    // [begin, looked) is to be written, [looked, end) to be looked at first.
    std::size_t begin = 0, looked = 0, end = 0;
    bool hungry = false;  // what is to be looked at is the beginning of something; more has to come
    std::string own;      // of ours, at the next boundary; being written from `ownAt` on
    std::size_t ownAt = 0;
    bool reading = false, writing = false;  // a wait is out
    bool ended = false;                     // its side sends no more
    bool broken = false;                    // nor is there any more: what the kernel still has is read
    bool muted = false;                     // what comes is read, and goes nowhere
    bool said = false;                      // our farewell went in, or none can
    bool told = false;                      // the side that takes knows the end in the protocol's words
    std::uint64_t passed = 0;
    Time heard{};  // from its side; only where pings go
    bool pinged = false;
  };

  Pipe& pipe(Side from) { return pipes_[static_cast<std::size_t>(from)]; }
  const Pipe& pipe(Side from) const { return pipes_[static_cast<std::size_t>(from)]; }
  tcp::socket& socket(Side s) { return s == Side::client ? client_ : host_; }

  void pump(Side from);
  bool writeSome(Side from);
  bool readSome(Side from);
  void lookOn(Side from);
  bool mayPutOwn(Side from) const;
  void waitToRead(Side from);
  void waitToWrite(Side from);
  void watch(Side side);
  void hold(Pipe& p);
  void release(Pipe& p);
  void broken(Side side);
  void faulty(Side side, Why why);
  void leave(const Ending& ending, bool clientHears, bool hostHears);
  void checkLeaving();
  void checkPings(Time now);
  void setDue();
  void finish(const Ending& ending);

  const StreamId id_;
  tcp::socket client_, host_;
  BufferBudget& budget_;
  const Clock& clock_;
  RelayEvents& events_;
  std::unique_ptr<Codec> codec_;
  Flow flow_;
  std::array<Pipe, 2> pipes_;
  std::optional<Side> firstSaid_;  // the end, in the protocol's words
  std::optional<Ending> leaving_;  // it ends so, once the farewells are said or their time is up
  Time leaveBy_ = Time::max();
  bool over_ = false;
};

}  // namespace finchstile::stream
