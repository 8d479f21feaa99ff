// Discovery whose list changes once, and that can be down: while it is, open calls end with a reset, and so
// does each new one.
#pragma once

#include "stand_ins.hpp"

namespace review {

class LiveDiscovery {
 public:
  explicit LiveDiscovery(const std::vector<const Host*>& hosts) {
    for (const Host* host : hosts) entries_[host->name()] = host->json(0);
    firstList_ = wholeList();
    server_ = std::make_unique<Server>([this](Connection& c) {
      while (const auto call = c.readMessage())
        if (!serve(c, call->path())) return;
    });
  }
  int port() const { return server_->port(); }
  const std::string& firstList() const { return firstList_; }

  // From now on the host is listed as leaving, in version 2.
  void drain(const Host& host) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string& entry = entries_[host.name()];
    entry.replace(entry.find("\"active\""), 8, "\"leaving\"");
    change_ = entry;
    version_ = 2;
    changed_.notify_all();
  }
  void goDown() {
    const std::lock_guard<std::mutex> lock(mutex_);
    down_ = true;
    changed_.notify_all();
  }
  // When the change was first written to a caller; 0: not yet.
  double toldAt() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return toldAt_;
  }

 private:
  std::string wholeList() const {
    std::string text;
    for (const auto& [name, entry] : entries_) text += (text.empty() ? "" : ",") + entry;
    return listText(true, text);
  }
  std::string listText(bool whole, const std::string& entries) const {
    return R"({"index":)" + std::to_string(version_) + R"(,"snapshot":)" + (whole ? "true" : "false") +
           R"(,"endpoints":[)" + entries + "]}";
  }

  bool serve(Connection& c, const std::string& target) {
    std::unique_lock<std::mutex> lock(mutex_);
    const std::size_t since = target.find("since=");
    const std::size_t timeout = target.find("timeout_ms=");
    const int known = since == std::string::npos ? 0 : std::atoi(target.c_str() + since + 6);
    if (since != std::string::npos && timeout != std::string::npos && !down_)
      changed_.wait_for(lock, milliseconds(std::min(60000, std::atoi(target.c_str() + timeout + 11))),
                        [&] { return version_ > known || down_; });
    if (down_) {
      RECORD("discovery is down: reset of %s", target.c_str());
      c.reset();
      return false;
    }
    const bool tells = version_ == 2 && known < 2;
    const std::string list = since == std::string::npos ? wholeList() : listText(false, tells ? change_ : "");
    lock.unlock();
    if (!c.write(answer(200, list))) return false;
    if (!tells) return true;
    RECORD("discovery tells the change, asked by %s", target.c_str());
    lock.lock();
    if (toldAt_ == 0) toldAt_ = secondsNow();
    return true;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::string> entries_;
  std::string firstList_, change_;
  int version_ = 1;
  bool down_ = false;
  double toldAt_ = 0;
  std::unique_ptr<Server> server_;
};

}  // namespace review
