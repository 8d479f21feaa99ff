// Reloads the operator's file while the gateway serves. Compiling hooks and reading large tables takes longer
// than a request may wait, so a separate thread does it; only its result is shared with the event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "app/loaded_operator_file.hpp"

namespace finchstile {

class OperatorFileReloader {
 public:
  struct Callbacks {
    std::function<void(LoadedOperatorFile&&)> onLoaded;
    std::function<void(const std::string& problems)> onFailed;  // the settings in effect stay
  };

  // Callbacks run on the event loop of `io`, which must outlive the reloader.
  OperatorFileReloader(boost::asio::io_context& io, std::string path, Callbacks callbacks);
  ~OperatorFileReloader();  // waits for a running load, whose result is dropped
  OperatorFileReloader(const OperatorFileReloader&) = delete;
  OperatorFileReloader& operator=(const OperatorFileReloader&) = delete;

  // Starts to load the file. If a load is running, another one follows it, since the file may have changed
  // after it was read.
  void reload();

  static constexpr std::uint64_t kFirstVersion = 1;  // of the file that was read at startup

 private:
  void onFinished(const std::shared_ptr<LoadedOperatorFile>& loaded, const std::string& problems);

  boost::asio::io_context& io_;
  const std::string path_;
  const Callbacks callbacks_;
  std::thread thread_;
  std::uint64_t version_ = kFirstVersion;
  bool loading_ = false;
  bool reloadAgain_ = false;
};

}  // namespace finchstile
