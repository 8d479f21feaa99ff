// Hosts of two data centres that run keyed bookings: each drops the repeat of a key that ran in its data
// centre less than 2 s ago, and answers it as the first was answered.
#pragma once

#include "stand_ins.hpp"

namespace review {

class KeyedHosts {
 public:
  static constexpr double kWindowSeconds = 2;

  explicit KeyedHosts(milliseconds work) : work_(work) {
    for (const char* name : {"s-b1", "s-b2"}) add(name, "brasov");
    for (const char* name : {"s-c1", "s-c2"}) add(name, "cluj");
  }

  std::vector<const Host*> all() const {
    std::vector<const Host*> hosts;
    for (const auto& host : hosts_) hosts.push_back(host.get());
    return hosts;
  }

  // Writes the keys that ran more than once to the record, and returns their number.
  int keysRunTwice() {
    const std::lock_guard<std::mutex> lock(mutex_);
    int twice = 0;
    for (const auto& [key, places] : runs_) {
      if (places.size() < 2) continue;
      ++twice;
      std::string text;
      for (const std::string& place : places) text += " " + place;
      RECORD("key %s ran %zu times:%s", key.c_str(), places.size(), text.c_str());
    }
    return twice;
  }

 private:
  void add(const std::string& name, const std::string& zone) {
    hosts_.push_back(
        std::make_unique<Host>(name, zone, [this, name, zone](const Message& request, Connection& c) {
          const std::string key = request.header("idempotency-key");
          if (beginsRun(key, zone, name)) std::this_thread::sleep_for(work_);
          return c.write(answer(200, "booked " + key));
        }));
  }

  // Returns false if the data centre drops the request as a repeat.
  bool beginsRun(const std::string& key, const std::string& zone, const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto [at, isFirst] = memory_.emplace(std::pair(zone, key), secondsNow());
    if (!isFirst && secondsNow() - at->second < kWindowSeconds) {
      RECORD("%s (%s) drops a repeat of %s", name.c_str(), zone.c_str(), key.c_str());
      return false;
    }
    at->second = secondsNow();
    RECORD("%s (%s) runs %s", name.c_str(), zone.c_str(), key.c_str());
    char when[32];
    std::snprintf(when, sizeof when, "@%.3f", secondsNow());
    runs_[key].push_back(zone + "/" + name + when);
    return true;
  }

  const milliseconds work_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, double> memory_;  // by data centre and key: when it ran
  std::map<std::string, std::vector<std::string>> runs_;
};

struct Booking {
  std::string key, body;
};

// Sends a keyed booking on a new connection. Returns the status of the answer; 0 if there was none.
inline int sendBooking(int port, const Booking& booking, int timeLeftMs) {
  const auto connection = Connection::to(port);
  if (!connection) return 0;
  connection->write("POST /log-in/yard-7 HTTP/1.1\r\nHost: gateway\r\nX-Correlation-Id: " + newId() +
                    "\r\nX-Time-Left-Ms: " + std::to_string(timeLeftMs) +
                    "\r\nIdempotency-Key: " + booking.key +
                    "\r\nContent-Length: " + std::to_string(booking.body.size()) + "\r\n\r\n" + booking.body);
  const auto reply = connection->readMessage(timeLeftMs + 2000);
  return reply && reply->whole ? reply->status() : 0;
}

}  // namespace review
