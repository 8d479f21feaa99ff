// Loads the operator's file anew while the gateway serves. Compiling hooks and reading large tables takes
// longer than a request may wait, so a thread does it; it shares nothing with the loop but the result that it
// hands over.
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
    std::function<void(const std::string& problems)> onFailed;  // the file in force stays in force
  };

  // Callbacks are made from the loop of `io`, which must outlive the reloader.
  OperatorFileReloader(boost::asio::io_context& io, std::string path, Callbacks callbacks);
  ~OperatorFileReloader();  // waits for a load that is under way; nothing is told of it
  OperatorFileReloader(const OperatorFileReloader&) = delete;
  OperatorFileReloader& operator=(const OperatorFileReloader&) = delete;

  // Begins to load the file. While a load is under way it is repeated afterwards, since the file may have
  // changed behind it.
  void reload();

  static constexpr std::uint64_t kFirstVersion = 1;  // of the file that was read at the start

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
