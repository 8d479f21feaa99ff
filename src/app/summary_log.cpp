#include "app/summary_log.hpp"

#include <algorithm>
#include <utility>

namespace finchstile {

SummaryLog::SummaryLog(boost::asio::io_context& io, CollectLines collect, Print print)
    : collect_(std::move(collect)), print_(std::move(print)), timer_(io) {}

void SummaryLog::start() {
  timer_.expires_after(interval_);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) onTimer();
  });
}

void SummaryLog::onTimer() {
  for (const std::string& line : collect_()) {
    std::string& last = lastLines_[subjectOfSummary(line)];
    if (last == line) continue;
    last = line;
    print_(line);
  }
  start();
}

std::string subjectOfSummary(const std::string& line) {
  std::size_t end = line.find('=');
  for (std::size_t equals = end; equals != std::string::npos; equals = line.find('=', equals + 1)) {
    const bool isNumber = equals + 1 < line.size() && line[equals + 1] >= '0' && line[equals + 1] <= '9';
    if (isNumber) break;
    end = std::min(line.find(' ', equals), line.size());
  }
  return line.substr(0, end);
}

}  // namespace finchstile
