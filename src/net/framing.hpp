// Framing of HTTP/1.1 messages: a reader on top of Beast's parser that adds a limit on the whole head and a
// check that the framing is unambiguous, and chunks for writers.
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

/// A body up to this length is buffered, so that the request can go to another host, and a broken response is
/// detected before its client has a byte of it. A longer one is relayed piece by piece, and can be neither.
inline constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxBodyBytes = std::size_t{32} * 1024 * 1024;
/// Of a relayed body, under way at once in each direction.
inline constexpr std::size_t kMaxPieceBytes = std::size_t{32} * 1024;
inline constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;
/// Read from a socket at once.
inline constexpr std::size_t kMaxReadBytes = std::size_t{8} * 1024;
inline constexpr std::size_t kMaxUnparsedBytes = 2 * kMaxHeadBytes + kMaxReadBytes;

/// The end of a chunked body (RFC 9112, 7.1).
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Appends `piece` as one chunk. An empty piece adds nothing: as a chunk it would end the body.
inline void appendChunk(std::string& out, std::string_view piece) {
  if (piece.empty()) return;
  char size[24];
  const int length = std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
  out.append(size, static_cast<std::size_t>(length)).append(piece).append("\r\n");
}

/// Whether all readers agree on where the message ends. Beast accepts a length that is repeated or listed,
/// and a coding that it does not know beside a length; two readers could disagree on those.
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

/// A string body that grows as bytes come. Beast's own reserves at once what a head announces, and a head may
/// announce anything.
struct GrowingBody {
  using value_type = std::string;
  class reader {  // NOLINT(readability-identifier-naming): Beast looks for a body's reader by this name
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

/// Reads one message at a time. `restart` comes before the first message and between any two.
template <bool isRequest>
class MessageReader {
 public:
  using Parser = boost::beast::http::parser<isRequest, GrowingBody>;
  using Message = boost::beast::http::message<isRequest, boost::beast::http::string_body>;
  enum class Step {
    needsBytes,  ///< The buffer is used up, or holds too little for the next step.
    head,        ///< The head is complete. Comes once, before a byte of the body is looked at.
    complete,    ///< The message is complete.
    malformed    ///< The message can't be used; `error` says why.
  };

  void restart() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    parser_->header_limit(kMaxHeadBytes);
    headBytes_ = 0;
    headComplete_ = false;
    takenBytes_ = 0;
  }

  /// Consumes what it can use from the buffer. The body grows in `parser().get().body()` until it is taken.
  Step step(boost::beast::flat_buffer& buffer, boost::system::error_code& error) {
    namespace http = boost::beast::http;
    error = {};
    while (!parser_->is_done()) {
      if (buffer.size() == 0) return Step::needsBytes;
      const std::size_t used = parser_->put(buffer.data(), error);
      buffer.consume(used);
      const bool incomplete = error == http::error::need_more;
      if (incomplete) error = {};
      // Beast applies its limit to each line of the head; without this one, lines could come without end.
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

  /// The other side has closed its connection in order. Returns true if that completes the message: its
  /// length is given by nothing else (RFC 9112, 6.3). A reset completes no message.
  bool completeAtEndOfConnection() {
    if (!headComplete_ || parser_->is_done() || !parser_->need_eof()) return false;
    boost::system::error_code error;
    parser_->put_eof(error);
    return !error;
  }

  Parser& parser() { return *parser_; }
  bool isHeadComplete() const { return headComplete_; }
  /// Bytes of the body that have come and have not been taken.
  std::size_t bufferedBody() const { return parser_->get().body().size(); }
  /// Bytes of the body that have come since `restart`.
  std::uint64_t bodyRead() const { return takenBytes_ + bufferedBody(); }
  /// Moves out the body as far as it has come and has not been taken.
  std::string takeBody() {
    std::string body = std::exchange(parser_->get().body(), {});
    takenBytes_ += body.size();
    return body;
  }
  /// The message with the body as far as it has come. If it is not complete, more of the body may follow.
  Message takeMessage() {
    std::string body = takeBody();
    Message message =
        parser_->is_done() ? Message{std::move(parser_->release().base())} : Message{parser_->get().base()};
    message.body() = std::move(body);
    return message;
  }

 private:
  std::optional<Parser> parser_;
  std::size_t headBytes_ = 0;
  std::uint64_t takenBytes_ = 0;
  bool headComplete_ = false;
};

}  // namespace finchstile
