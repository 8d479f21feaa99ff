// finchstile_simulator_adapter: decision modules behind the simulator's line protocol, with batches of events
// on standard input and replies on standard output. Exit code 0 when the input ends between two batches, 1 on
// a line that the protocol does not allow (said on standard error), an input that ends within a batch, or a
// reply that cannot be written.
#include <unistd.h>

#include <cerrno>
#include <iostream>
#include <string>
#include <vector>

#include "simulator/adapter.hpp"

namespace {

constexpr std::size_t kReadBytes = 64 * std::size_t{1024};

bool writeAll(const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t n = write(STDOUT_FILENO, text.data() + done, text.size() - done);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

}  // namespace

int main() {
  finchstile::load_balancing::simulator::Adapter adapter(std::cerr);
  std::vector<char> block(kReadBytes);
  std::string pending;  // read, and not yet a whole line
  std::string reply;
  for (;;) {
    const ssize_t n = read(STDIN_FILENO, block.data(), block.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    pending.append(block.data(), static_cast<std::size_t>(n));
    std::size_t from = 0;
    for (std::size_t end; (end = pending.find('\n', from)) != std::string::npos; from = end + 1) {
      const bool closed = adapter.feed(std::string_view(pending).substr(from, end - from), reply);
      if (adapter.malformed()) return 1;
      if (!closed) continue;
      if (!writeAll(reply)) return 1;
      reply.clear();
    }
    pending.erase(0, from);
  }
  if (!pending.empty() || adapter.insideBatch()) {
    std::cerr << "line " << adapter.lineNumber() + 1 << ": input ended within a batch\n";
    return 1;
  }
  return 0;
}
