// Session on one client connection: reads requests and writes their responses.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "finchstile/load_balancer.hpp"
#include "net/buffer_budget.hpp"
#include "net/client_messages.hpp"
#include "net/clock.hpp"
#include "net/framing.hpp"
#include "net/socket_queues.hpp"

namespace finchstile {

using boost::asio::ip::tcp;

class ClientSession;
class Listener;

/// Events on client connections.
class ClientCallbacks {
 public:
  virtual ~ClientCallbacks() = default;
  /// Called for each request. If `bodyComplete` is false, the rest of the body follows through
  /// `onClientBody`, one piece for each call of `ClientSession::readBody`.
  virtual void onClientRequest(const std::shared_ptr<ClientSession>& session, ClientRequest&& request,
                               bool bodyComplete) = 0;
  virtual void onClientBody(load_balancing::RequestId request, std::string&& piece, bool last) = 0;
  /// The client disconnected before it received its response.
  virtual void onClientDisconnected(load_balancing::RequestId request) = 0;
  /// All pieces of a relayed response that were passed to the session so far have been written.
  virtual void onResponseWritten(RelayId relay) = 0;
  /// The client disconnected in the middle of a relayed response.
  virtual void onResponseAborted(RelayId relay) = 0;
};

/// Handles one request at a time: the next one is passed on after the previous one has its response. Of a
/// body that is too long to be buffered, one piece is in flight at a time in either direction, so that a slow
/// receiver only applies backpressure to its own sender.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  enum class State {
    fresh,      ///< New connection whose first request is not complete.
    idle,       ///< Between two requests.
    reading,    ///< A further request is arriving.
    waiting,    ///< Waiting for the response; the request body may still be arriving.
    writing,    ///< Writing to the client.
    relaying,   ///< Waiting for the host to send more of the response.
    lingering,  ///< The sending side is shut down; further input is read and discarded.
    closed
  };
  static constexpr std::size_t kOpenStates = 7;
  using List = std::list<std::shared_ptr<ClientSession>>;

  /// The listener must outlive the session's use of it; a closed session doesn't use it any more.
  ClientSession(tcp::socket socket, Listener& listener);

  void start();
  /// Sets the id of the request that was passed on, for later callbacks.
  void setRequest(load_balancing::RequestId id) { request_ = id; }
  /// Sends the response. Does nothing if the client disconnected or the request already has a response: the
  /// client would take a second one for the response to its next request.
  void respond(Response&& response);
  /// For how long the request that was passed on may have lain unread before; its client counts that time.
  Duration unreadTime() const { return unreadTime_; }
  /// Requests the next piece of the request body.
  void readBody();
  /// The latest known time at which the client had not written the last byte of its request. The client's
  /// time counts from its last byte, which may lie unread in the socket's buffers while its host takes no
  /// more.
  Time lastByteNotBefore();
  /// Writes a piece of a partial response. The next one may follow after `onResponseWritten`.
  void writeBody(std::string&& piece, bool last);
  /// Ends a partial response in a way that lets the client detect the truncation.
  void truncateResponse();
  /// Returns true if the client has closed its connection, even if unread bytes precede the close. In that
  /// case `onClientDisconnected` follows soon, never from within this function.
  bool isDisconnected();

  struct ReleasedConnection {
    tcp::socket socket;
    std::string unread;  ///< Bytes that were read after the request.
  };
  /// Hands over the connection instead of sending a response. Returns none if the client disconnected or the
  /// request is incomplete.
  std::optional<ReleasedConnection> release();
  tcp::endpoint remoteEndpoint() const;  ///< The unspecified endpoint if the client disconnected.

 private:
  friend class Listener;

  // Reading.
  void awaitBytes();
  void onReadable();
  void handleInput();
  Duration maxUnreadTime();
  bool reserveInput();
  std::size_t expectedInput() const;
  Duration maxReadPause() const;
  void resumeReading();
  std::size_t heldBytes() const;
  void updateHeldBytes() { bufferAccount_.set(heldBytes()); }
  std::size_t receive(std::size_t maxBytes, boost::system::error_code& error);
  void awaitRequest();
  void parseRequest();
  void onRequestParsed(bool bodyComplete);
  void releaseLargeBuffer();
  void parseBody();
  bool mayHaveWrittenLastByte();
  void noteBodyRead(bool full);
  void writeContinue();
  // Writing.
  void writeHead(const Response& response, std::optional<std::uint64_t> length);
  void write();
  void onWritten();
  void checkWriteProgress();
  // Refusing.
  void refuse(boost::beast::http::status status);
  void refuseInput(boost::system::error_code error);
  void refuseConnection();
  void onOverdue();
  bool isOverdue() const;
  // Ending.
  void checkForDisconnect();
  bool peerHasClosed();
  void shed();
  void linger();
  void discardInput();
  bool isLingerOver() const;
  void closeIdle();
  void close();
  void enter(State state);

  Listener& listener_;
  tcp::socket socket_;
  State state_ = State::fresh;
  List::iterator listPosition_{};  // in the listener's list of sessions in `state_`
  Time stateSince_{};
  BufferAccount bufferAccount_;
  Time readPausedAt_{};
  Duration readPausedTime_{};  // for which bytes of the next request lay unread
  bool readPaused_ = false;    // until the listener's budget has room for more input

  // The request.
  boost::beast::flat_buffer buffer_;
  MessageReader<true> reader_;
  load_balancing::RequestId request_ = 0;  // 0 if there is none or its end was reported
  Duration unreadTime_{};
  unsigned httpVersion_ = 11;
  bool keepAlive_ = true;
  bool isHeadRequest_ = false;
  std::size_t messageBytes_ = 0;    // memory of the request that was passed on
  std::size_t pieceBytes_ = 0;      // of its body, passed on last
  bool requestStarted_ = false;     // bytes of a request have arrived
  bool bodyIncomplete_ = false;     // more of the body of the passed-on request is to be read
  bool bodyReadRequested_ = false;  // `readBody` was called and its piece was not delivered yet
  Duration bodyPausedTime_{};       // total time without a requested piece; not counted against the client
  Time bodyPausedSince_{}, lastByteAt_{}, lastByteNotBefore_{};
  Time inputBacklogAt_{};  // when bytes of the body were last found waiting to be read
  bool awaitingBytes_ = false;
  bool writingContinue_ = false;  // the 100 Continue response is being written
  std::size_t discardedBytes_ = 0;

  // The response.
  std::string output_;  // bytes from `outputWritten_` on are still to be written
  std::size_t outputWritten_ = 0;
  WriteProgress writeProgress_;
  RelayId relay_ = 0;  // 0 if the response is not relayed
  bool morePiecesFollow_ = false;
  bool chunked_ = false;
  bool closeDelimited_ = false;  // the body ends with the connection, without length or chunks
};

}  // namespace finchstile
