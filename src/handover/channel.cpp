#include "handover/channel.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "handover/unix_socket.hpp"

namespace finchstile::handover {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kMaxDescriptors = 8;  // that one receive call can return

bool isWouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

// Takes ownership of all descriptors of a received message, also of unexpected ones, which would leak
// otherwise.
std::vector<std::unique_ptr<Descriptor>> takeDescriptors(msghdr& header) {
  std::vector<std::unique_ptr<Descriptor>> descriptors;
  for (cmsghdr* control = CMSG_FIRSTHDR(&header); control; control = CMSG_NXTHDR(&header, control)) {
    if (control->cmsg_level != SOL_SOCKET || control->cmsg_type != SCM_RIGHTS) continue;
    const std::size_t count = (control->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < count; ++i) {
      int fd = -1;
      std::memcpy(&fd, CMSG_DATA(control) + i * sizeof(int), sizeof fd);
      descriptors.push_back(std::make_unique<Descriptor>(fd));
    }
  }
  return descriptors;
}

}  // namespace

Channel::Channel(asio::io_context& io, int fd) : socket_(io, fd), buffer_(kMaxMessageBytes) {}

void Channel::start() { waitForMessages(); }

void Channel::waitForMessages() {
  const auto onReadable = [this, self = shared_from_this()](error_code error) {
    if (closed_) return;
    if (error) return closeAndReport();
    while (!closed_ && receiveNext()) {
    }
    if (!closed_) waitForMessages();
  };
  socket_.async_wait(asio::posix::stream_descriptor::wait_read, onReadable);
}

// Returns false if no further message is available now, or the channel is closed.
bool Channel::receiveNext() {
  alignas(cmsghdr) char control[CMSG_SPACE(kMaxDescriptors * sizeof(int))];
  iovec part{buffer_.data(), buffer_.size()};
  msghdr header{};
  header.msg_iov = &part;
  header.msg_iovlen = 1;
  header.msg_control = control;
  header.msg_controllen = sizeof control;
  const ssize_t received = ::recvmsg(socket_.native_handle(), &header, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
  if (received < 0 && isWouldBlock(errno)) return false;
  if (received < 0 && errno == EINTR) return true;
  if (received < 0) {
    closeAndReport();
    return false;
  }
  auto descriptors = takeDescriptors(header);
  const bool truncated = (header.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) != 0;
  std::optional<Message> message;
  if (received > 0 && !truncated)
    message = decode({buffer_.data(), static_cast<std::size_t>(received)}, descriptors.size());
  if (!message) {
    closeAndReport();
    return false;
  }
  if (onMessage) onMessage(*message, descriptors.empty() ? nullptr : std::move(descriptors.front()));
  return true;
}

Channel::SendResult Channel::send(const Message& message, int descriptor) {
  if (closed_) return SendResult::failed;
  std::string bytes = encode(message);
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  iovec part{bytes.data(), bytes.size()};
  msghdr header{};
  header.msg_iov = &part;
  header.msg_iovlen = 1;
  if (descriptor >= 0) {
    header.msg_control = control;
    header.msg_controllen = sizeof control;
    cmsghdr* const rights = CMSG_FIRSTHDR(&header);
    rights->cmsg_level = SOL_SOCKET;
    rights->cmsg_type = SCM_RIGHTS;
    rights->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(rights), &descriptor, sizeof descriptor);
  }
  ssize_t sent = 0;
  do {
    sent = ::sendmsg(socket_.native_handle(), &header, MSG_DONTWAIT | MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  if (sent >= 0) return SendResult::sent;
  // ETOOMANYREFS: the user's descriptors in transit have reached the system's limit.
  const bool mayRetry = isWouldBlock(errno) || errno == ENOBUFS || errno == ETOOMANYREFS;
  return mayRetry ? SendResult::wouldBlock : SendResult::failed;
}

pid_t Channel::peerProcess() { return closed_ ? 0 : handover::peerProcess(socket_.native_handle()); }

void Channel::close() {
  if (std::exchange(closed_, true)) return;
  error_code ignored;
  socket_.close(ignored);
}

void Channel::closeAndReport() {
  if (closed_) return;
  close();
  if (onClosed) onClosed();
}

std::shared_ptr<Channel> connectToPredecessor(asio::io_context& io, const std::string& path) {
  const auto address = unixAddress(path);
  if (!address) return nullptr;
  const int fd = newUnixSocket();
  if (fd < 0) return nullptr;
  auto channel = std::make_shared<Channel>(io, fd);
  const auto* const to = reinterpret_cast<const sockaddr*>(&*address);
  if (::connect(fd, to, sizeof *address) != 0 || !isPeerSameUser(fd)) {
    channel->close();
    return nullptr;
  }
  return channel;
}

}  // namespace finchstile::handover
