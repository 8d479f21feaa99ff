// Framing of HTTP/1.1 messages: chunked encoding, and a reader on top of Beast's parser that limits the size
// and the number of fields of the whole head and rejects ambiguous framing.
#pragma once

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace finchstile {

/// A body up to this length is buffered, so that the request can be retried at another host and a broken
/// response is detected before its client has received a byte of it. A longer body is relayed piece by piece,
/// without either.
inline constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxBodyBytes = std::size_t{32} * 1024 * 1024;
/// Bytes of a relayed body in flight at a time, in each direction.
inline constexpr std::size_t kMaxPieceBytes = std::size_t{32} * 1024;
inline constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;
/// Fields of a head and its trailers together. A field of four bytes takes about a hundred in memory.
inline constexpr std::size_t kMaxFields = 256;
/// What the parser allocates for a field besides its bytes.
inline constexpr std::size_t kFieldOverheadBytes = 96;
/// Bytes read from a socket at a time.
inline constexpr std::size_t kMaxReadBytes = std::size_t{8} * 1024;
inline constexpr std::size_t kMaxUnparsedBytes = 2 * kMaxHeadBytes + kMaxReadBytes;

/// Last chunk of a chunked body (RFC 9112, 7.1).
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Appends `piece` as one chunk. An empty piece is skipped: as a chunk it would end the body.
inline void appendChunk(std::string& out, std::string_view piece) {
  if (piece.empty()) return;
  char size[24];
  const int length = std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
  out.append(size, static_cast<std::size_t>(length)).append(piece).append("\r\n");
}

/// Returns true if all recipients agree on where the message ends. Beast accepts a Content-Length that is
/// repeated or is a list, and an unknown transfer coding beside a Content-Length; recipients could interpret
/// these differently.
template <bool isRequest>
bool isFramingUnambiguous(const boost::beast::http::header<isRequest>& head) {
  namespace http = boost::beast::http;
  const auto lengths = head.count(http::field::content_length);
  const auto codings = head.count(http::field::transfer_encoding);
  if (lengths + codings > 1) return false;
  if (codings == 1)
    return head.version() == 11 && boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
  const auto length = head[http::field::content_length];
  return lengths == 0 || (!length.empty() && std::all_of(length.begin(), length.end(),
                                                         [](char c) { return c >= '0' && c <= '9'; }));
}

/// A string body that grows as bytes arrive. Beast's string_body reserves the announced length at once, and a
/// head may announce any length.
struct GrowingBody {
  using value_type = std::string;
  class reader {  // NOLINT(readability-identifier-naming): Beast requires this name
   public:
    template <bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>&, value_type& body) : body_(body) {}
    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      const std::size_t before = body_.size();
      for (const auto& piece : boost::beast::buffers_range_ref(buffers))
        body_.append(static_cast<const char*>(piece.data()), piece.size());
      error = {};
      return body_.size() - before;
    }
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

/// Beast's parser, with a limit on the number of fields.
template <bool isRequest>
class LimitedParser : public boost::beast::http::parser<isRequest, GrowingBody> {
 public:
  std::size_t fields() const { return fields_; }

 private:
  void on_field_impl(boost::beast::http::field name, boost::beast::string_view nameText,
                     boost::beast::string_view value, boost::system::error_code& error) override {
    if (++fields_ > kMaxFields) error = boost::beast::http::error::header_limit;
    else this->get().insert(name, nameText, value);
  }

  std::size_t fields_ = 0;
};

/// Reads one message at a time. `restart` must be called before the first message and between messages.
template <bool isRequest>
class MessageReader {
 public:
  using Parser = LimitedParser<isRequest>;
  using Message = boost::beast::http::message<isRequest, boost::beast::http::string_body>;
  enum class Step {
    needsBytes,  ///< The buffer is empty, or holds too little for the next step.
    head,        ///< The head is complete. Returned once, before any byte of the body is parsed.
    complete,    ///< The message is complete.
    malformed    ///< The message is invalid; `error` gives the reason.
  };

  void restart() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    parser_->header_limit(kMaxHeadBytes);
    headBytes_ = 0;
    headComplete_ = false;
    headTaken_ = false;
    takenBytes_ = 0;
  }

  /// Parses the next step of the message and consumes its bytes from the buffer. The body accumulates in
  /// `parser().get().body()` until it is taken.
  Step step(boost::beast::flat_buffer& buffer, boost::system::error_code& error) {
    namespace http = boost::beast::http;
    error = {};
    while (!parser_->is_done()) {
      if (buffer.size() == 0) return Step::needsBytes;
      const std::size_t used = parser_->put(buffer.data(), error);
      buffer.consume(used);
      const bool incomplete = error == http::error::need_more;
      if (incomplete) error = {};
      // Beast applies its limit to each line of the head; without this one the number of lines would be
      // unlimited.
      if (!headComplete_) headBytes_ += used;
      if (!error && headBytes_ > kMaxHeadBytes) error = http::error::header_limit;
      if (!error && buffer.size() >= kMaxUnparsedBytes && incomplete) error = http::error::buffer_overflow;
      if (error) return Step::malformed;
      if (!headComplete_ && parser_->is_header_done()) {
        headComplete_ = true;
        parser_->eager(true);
        if (!isFramingUnambiguous<isRequest>(parser_->get())) {
          error = http::error::bad_content_length;
          return Step::malformed;
        }
        const auto length = parser_->content_length();
        if (length && *length > kMaxBodyBytes) {
          error = http::error::body_limit;
          return Step::malformed;
        }
        return Step::head;
      }
      if (incomplete) return Step::needsBytes;
    }
    return Step::complete;
  }

  /// To be called when the peer has closed its connection in order. Returns true if that completes the
  /// message because nothing else gives its length (RFC 9112, 6.3). A reset completes no message.
  bool completeAtEndOfConnection() {
    if (!headComplete_ || parser_->is_done() || !parser_->need_eof()) return false;
    boost::system::error_code error;
    parser_->put_eof(error);
    return !error;
  }

  Parser& parser() { return *parser_; }
  const Parser& parser() const { return *parser_; }
  bool isHeadComplete() const { return headComplete_; }
  /// Bytes of the body that have arrived and were not taken.
  std::size_t bufferedBody() const { return parser_->get().body().size(); }
  /// Memory that the part of the message takes that has arrived and was not taken.
  std::size_t heldBytes() const {
    const std::size_t head = headTaken_ ? 0 : headBytes_ + parser_->fields() * kFieldOverheadBytes;
    return head + bufferedBody();
  }
  /// Bytes of the body that have arrived since `restart`.
  std::uint64_t bodyRead() const { return takenBytes_ + bufferedBody(); }
  /// Moves out the part of the body that has arrived and was not taken.
  std::string takeBody() {
    std::string body = std::exchange(parser_->get().body(), {});
    takenBytes_ += body.size();
    return body;
  }
  /// Moves out the message with the part of the body that has arrived. If the message is incomplete, more of
  /// the body may follow.
  Message takeMessage() {
    std::string body = takeBody();
    headTaken_ = true;
    Message message{std::move(parser_->get().base())};
    message.body() = std::move(body);
    return message;
  }

 private:
  std::optional<Parser> parser_;
  std::size_t headBytes_ = 0;
  std::uint64_t takenBytes_ = 0;
  bool headComplete_ = false;
  bool headTaken_ = false;
};

}  // namespace finchstile
