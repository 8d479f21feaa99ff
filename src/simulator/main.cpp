// finchstile_simulator_adapter: runs decision modules behind the simulator's line protocol, with batches of
// events on standard input and replies on standard output. Exits with 0 if the input ends between two
// batches, and with 1 on a malformed line (reported to standard error), on input that ends within a batch, or
// if a reply cannot be written.
#include <unistd.h>

#include <cerrno>
#include <iostream>
#include <string>
#include <vector>

#include "simulator/adapter.hpp"

namespace {

constexpr std::size_t kReadBytes = 64 * std::size_t{1024};

bool writeAll(const std::string& text) {
  std::size_t written = 0;
  while (written < text.size()) {
    const ssize_t n = write(STDOUT_FILENO, text.data() + written, text.size() - written);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    written += static_cast<std::size_t>(n);
  }
  return true;
}

}  // namespace

int main() {
  finchstile::load_balancing::simulator::Adapter adapter(std::cerr);
  std::vector<char> buffer(kReadBytes);
  std::string pending;  // input after the last complete line
  std::string reply;
  for (;;) {
    const ssize_t n = read(STDIN_FILENO, buffer.data(), buffer.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    pending.append(buffer.data(), static_cast<std::size_t>(n));
    std::size_t lineStart = 0;
    for (std::size_t end; (end = pending.find('\n', lineStart)) != std::string::npos; lineStart = end + 1) {
      const bool batchEnded =
          adapter.feed(std::string_view(pending).substr(lineStart, end - lineStart), reply);
      if (adapter.malformed()) return 1;
      if (!batchEnded) continue;
      if (!writeAll(reply)) return 1;
      reply.clear();
    }
    pending.erase(0, lineStart);
  }
  if (!pending.empty() || adapter.insideBatch()) {
    std::cerr << "line " << adapter.lineNumber() + 1 << ": input ended within a batch\n";
    return 1;
  }
  return 0;
}
