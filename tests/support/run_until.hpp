// Runs an event loop until a condition holds.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace finchstile::testing {

// Runs the loop until `reached` returns true. Returns false after 20 s, so that a failing test does not hang.
inline bool runUntil(boost::asio::io_context& io, const std::function<bool()>& reached) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!reached()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

}  // namespace finchstile::testing
