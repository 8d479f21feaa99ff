// A gateway's side of the distribution of configuration: asks the control machines for what is newer, has it
// checked beside the loop, and hands over what is to be in force. What becomes of an update is decided by
// Store, whom to ask by Sources.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "configuration/poll.hpp"
#include "configuration/settings.hpp"
#include "configuration/sources.hpp"
#include "configuration/store.hpp"
#include "net/clock.hpp"
#include "net/long_poll_client.hpp"

namespace finchstile::configuration {

inline constexpr std::size_t kUpdateMost =
    std::size_t{32} * 1024 * 1024;  // bytes: 131,072 tenants with long names

// That a client needs at the most: its connection, one that it has just left, and the file that is written.
inline constexpr std::size_t kDescriptors = 3;

class Client : LongPollCallbacks {
 public:
  struct Figures {
    Version inForce;
    std::optional<Version> refused;  // the last one that was turned down, while nothing newer is in force
    std::uint64_t taken = 0, turnedDown = 0, gaps = 0, conflicts = 0, behind = 0, polls = 0,
                  sourceFailures = 0;
    std::size_t tenants = 0;
  };

  // `worker`: where updates are read and checked; not the loop's thread, or long ones hold it up. `take` is
  // called on the loop and takes all of a change over before it returns. `say` logs a line. `start` is the
  // configuration that holds before any version.
  Client(boost::asio::io_context& io, const boost::asio::any_io_executor& worker, const Clock& clock,
         const ConfigurationSettings& settings, const std::string& gateway, std::uint64_t seed,
         const load_balancing::Settings& start, std::function<void(const SettingsChange&)> take,
         std::function<void(const std::string&)> say);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Takes the last good version of the file over, if there is one that is whole, and begins to ask.
  void start();
  void stop();

  const Figures& figures() const { return figures_; }
  std::string exposition() const;  // the figures, in the exposition format
  std::string summary() const;     // one line
  std::uint64_t bytesSent() const { return watch_.bytesSent(); }
  std::uint64_t bytesReceived() const { return watch_.bytesReceived(); }

 private:
  struct Shared;  // what the worker has: the store, and where its version is kept
  struct Done;    // what the worker has made of an answer

  void recover();
  void schedule(Time notBefore);
  void ask();
  void onLongPollResponse(LongPollResponse&& answer) override;
  void onLongPollFailed() override;
  void done(const Done& done);
  void note(const Done& done);
  void keepSoon();
  void keep();
  void sourceFailed();
  double draw();

  boost::asio::io_context& io_;
  boost::asio::any_io_executor worker_;  // one job at a time
  const Clock& clock_;
  const ConfigurationSettings settings_;
  const std::string gateway_;
  const std::function<void(const SettingsChange&)> take_;
  const std::function<void(const std::string&)> say_;
  std::mt19937_64 engine_;
  Sources sources_;
  std::shared_ptr<Shared> shared_;
  std::shared_ptr<Client*>
      alive_;  // null behind it: this client is gone, and answers of the worker are of no use
  Position position_;
  LongPollClient watch_;
  boost::asio::steady_timer timer_, keepTimer_;
  Time keepNext_;  // the file is not written before
  bool keepPending_ = false;
  std::size_t source_ = 0;  // that is asked just now
  Time askedAt_{};
  std::uint64_t call_ = 0;  // number of the last one
  bool running_ = false, recovered_ = false;
  bool afterFailure_ = false;  // nothing was answered since a call failed
  Figures figures_;
};

}  // namespace finchstile::configuration
