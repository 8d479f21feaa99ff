#include "app/operator_file_reloader.hpp"

#include <boost/asio/post.hpp>
#include <exception>
#include <memory>
#include <utility>

namespace finchstile {

OperatorFileReloader::OperatorFileReloader(boost::asio::io_context& io, std::string path, Callbacks callbacks)
    : io_(io), path_(std::move(path)), callbacks_(std::move(callbacks)) {}

OperatorFileReloader::~OperatorFileReloader() {
  if (thread_.joinable()) thread_.join();
}

void OperatorFileReloader::reload() {
  if (loading_) {
    reloadAgain_ = true;
    return;
  }
  loading_ = true;
  if (thread_.joinable()) thread_.join();
  ++version_;
  thread_ = std::thread([this, path = path_, version = version_] {
    std::shared_ptr<LoadedOperatorFile> loaded;
    std::string problems;
    try {
      loaded = std::make_shared<LoadedOperatorFile>(loadOperatorFileWithHooks(path, version));
    } catch (const std::exception& error) {
      problems = error.what();
    }
    boost::asio::post(io_, [this, loaded, problems] { onFinished(loaded, problems); });
  });
}

void OperatorFileReloader::onFinished(const std::shared_ptr<LoadedOperatorFile>& loaded,
                                      const std::string& problems) {
  loading_ = false;
  if (loaded) callbacks_.onLoaded(std::move(*loaded));
  else callbacks_.onFailed(problems);
  if (std::exchange(reloadAgain_, false)) reload();
}

}  // namespace finchstile
