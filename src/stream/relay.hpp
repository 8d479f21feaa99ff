// Relay of one established stream between two sockets. Forwards bytes as they arrive, each direction
// independently, holds no buffer while idle, and reports its ending exactly once.
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
  std::string fromClient, fromHost;  // bytes read before the relay was created
  std::string initialDataForClient;  // sent to the client ahead of all other bytes
  FlowLimits limits;
  std::unique_ptr<Codec> codec;  // null: opaque bytes
};

class RelayEvents {
 public:
  virtual ~RelayEvents() = default;
  // Called once, after both sockets are closed. Never called from within Relay::start, but possibly from
  // within the relay's other functions.
  virtual void onRelayOver(StreamId id, const Ending& ending) = 0;
  // Relay::check must be called at `due` at the latest.
  virtual void onRelayDue(StreamId id, Time due) = 0;
};

class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(StreamId id, RelayParts&& parts, BufferBudget& budget, const Clock& clock, RelayEvents& events);
  ~Relay();

  void start();
  // Ends the stream on behalf of the gateway: with a close handshake if the protocol has one, otherwise
  // immediately.
  void close(EndReason why);
  void check(Time now);
  // Closes both sockets without reporting an ending, for destruction of the owner.
  void abandon();
  std::uint64_t passed(Side from) const { return pipe(from).passed; }

 private:
  struct Pipe {  // One direction, indexed by its sender.
    std::unique_ptr<char[]> piece;
    BufferBudget::Grant grant;
    // [begin, decodedEnd) is ready to be written; [decodedEnd, end) is to be decoded first.
    std::size_t begin = 0, decodedEnd = 0, end = 0;
    bool needsMoreInput = false;  // the bytes to be decoded are an incomplete unit; read more before decoding
    std::string injected;  // messages of the gateway to insert at the next unit boundary; `injectedOffset` is
                           // the number of bytes written
    std::size_t injectedOffset = 0;
    bool reading = false, writing = false;  // an asynchronous wait is pending
    bool ended = false;                     // the sender has sent its FIN
    bool broken = false;          // reset or lost; bytes that the kernel has received are still read
    bool discardsInput = false;   // input is read and discarded
    bool closeDone = false;       // the close message was written, or none can be sent
    bool closeForwarded = false;  // the receiver got a close message
    std::uint64_t passed = 0;
    Time lastReceived{};  // last bytes received from the sender; used for pings only
    bool pingOutstanding = false;
  };

  Pipe& pipe(Side from) { return pipes_[static_cast<std::size_t>(from)]; }
  const Pipe& pipe(Side from) const { return pipes_[static_cast<std::size_t>(from)]; }
  tcp::socket& socket(Side s) { return s == Side::client ? client_ : host_; }

  void pump(Side from);
  bool writeSome(Side from);
  bool readSome(Side from);
  void decodeBuffered(Side from);
  bool canWriteInjected(Side from) const;
  void waitToRead(Side from);
  void waitToWrite(Side from);
  void watch(Side side);
  void acquirePiece(Pipe& p);
  // Whether the piece holds bytes that can only be decoded once more of them have arrived. They exist nowhere
  // else, so the piece must be kept.
  static bool holdsIncompleteUnit(const Pipe& p) { return p.decodedEnd < p.end; }
  void releasePiece(Pipe& p);
  void onBroken(Side side);
  void onProtocolFault(Side side, EndReason why);
  void beginClose(const Ending& ending, bool notifyClient, bool notifyHost);
  void checkCloseHandshake();
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
  std::optional<Side> firstCloser_;      // side that sent the first close message
  std::optional<Ending> closingEnding_;  // ending to report when the close handshake is complete or timed out
  Time closeDeadline_ = Time::max();
  bool over_ = false;
};

}  // namespace finchstile::stream
