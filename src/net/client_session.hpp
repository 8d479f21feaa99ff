// One client's connection: reads requests and writes each one's response.
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
#include "net/client_messages.hpp"
#include "net/clock.hpp"
#include "net/framing.hpp"

namespace finchstile {

using boost::asio::ip::tcp;

class ClientSession;
class Listener;

/// What happens on clients' connections.
class ClientCallbacks {
 public:
  virtual ~ClientCallbacks() = default;
  /// `bodyComplete` false: more of the body comes through `onClientBody`, one piece for each
  /// `ClientSession::readBody`.
  virtual void onClientRequest(const std::shared_ptr<ClientSession>& session, ClientRequest&& request,
                               bool bodyComplete) = 0;
  virtual void onClientBody(load_balancing::RequestId request, std::string&& piece, bool last) = 0;
  /// The client has isDisconnected before it had its response.
  virtual void onClientDisconnected(load_balancing::RequestId request) = 0;
  /// All pieces of a relayed response that were passed to the session have been written.
  virtual void onResponseWritten(RelayId relay) = 0;
  /// The client has isDisconnected in the middle of a relayed response.
  virtual void onResponseAborted(RelayId relay) = 0;
};

/// Passes a request on only when the one before has its response. Of a body too long to be buffered, in
/// either direction, one piece is under way at a time: a receiver that is slow delays only its sender.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  enum class State {
    fresh,      ///< The first request has not come completely.
    idle,       ///< Between two requests.
    reading,    ///< A further request has begun to come.
    waiting,    ///< For the response; the request's body may still be coming.
    writing,    ///< The client is to take bytes.
    relaying,   ///< The host is to send more of the response.
    lingering,  ///< Our side has ended; what still comes is read and dropped.
    closed
  };
  static constexpr std::size_t kOpenStates = 7;
  using List = std::list<std::shared_ptr<ClientSession>>;

  /// The listener outlives the session's use of it: a closed session calls it no more.
  ClientSession(tcp::socket socket, Listener& listener);

  void start() { awaitBytes(); }
  /// Names the request that is passed on, for later callbacks.
  void setRequest(load_balancing::RequestId id) { request_ = id; }
  /// Does nothing if the client has isDisconnected or its request has a response already: a second one would
  /// be taken for the response to the next request.
  void respond(Response&& response);
  /// Asks for the next piece of the request's body.
  void readBody();
  /// Writes a piece of a partial response. `onResponseWritten` tells when the next one may follow.
  void writeBody(std::string&& piece, bool last);
  /// Ends a partial response so that the client can tell that it is not complete.
  void truncateResponse();
  /// Whether the client has closed its connection, even if that lies behind bytes that are not read yet. If
  /// so, `onClientDisconnected` follows soon, never from within this call.
  bool isDisconnected();

  struct ReleasedConnection {
    tcp::socket socket;
    std::string unread;  ///< Bytes that were read behind the request.
  };
  /// Gives the connection away in place of a response. None: the client has isDisconnected, or the request
  /// has not come completely.
  std::optional<ReleasedConnection> release();
  tcp::endpoint remoteEndpoint() const;  ///< All zero if the client has isDisconnected.

 private:
  friend class Listener;

  // Reading.
  void awaitBytes();
  void onReadable();
  std::size_t receive(std::size_t maxBytes, boost::system::error_code& error);
  void awaitRequest();
  void parseRequest();
  void onRequestParsed(bool bodyComplete);
  void parseBody();
  void writeContinue();
  // Writing.
  void writeHead(const Response& response, std::optional<std::uint64_t> length);
  void write();
  void onWritten();
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
  void closeIdle();
  void close();
  void enter(State state);

  Listener& listener_;
  tcp::socket socket_;
  State state_ = State::fresh;
  List::iterator listPosition_{};  // in the listener's list of the state
  Time stateSince_{};

  // The request.
  boost::beast::flat_buffer buffer_;
  MessageReader<true> reader_;
  load_balancing::RequestId request_ = 0;  // 0: none, or its end has been reported
  unsigned httpVersion_ = 11;
  bool keepAlive_ = true;
  bool isHeadRequest_ = false;
  bool requestStarted_ = false;     // bytes of a request have come
  bool bodyIncomplete_ = false;     // of a request that was passed on
  bool bodyReadRequested_ = false;  // by whoever it was passed to
  Duration bodyPausedTime_{};       // in which no piece was wanted; does not count against the client
  Time bodyPausedSince_{}, lastByteAt_{};
  bool awaitingBytes_ = false;
  bool writingContinue_ = false;  // the 100 Continue is being written
  std::size_t discardedBytes_ = 0;

  // The response.
  std::string output_;  // to be written from `outputWritten_` on
  std::size_t outputWritten_ = 0;
  RelayId relay_ = 0;  // 0: the response is not relayed
  bool morePiecesFollow_ = false;
  bool chunked_ = false;
  bool closeDelimited_ = false;  // its body has neither length nor chunks
};

}  // namespace finchstile
