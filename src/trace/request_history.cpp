#include "trace/request_history.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <tuple>

#include "trace/trace_line_codec.hpp"

namespace finchstile::trace {
namespace {

constexpr double kMicrosecondsPerMillisecond = 1000;

struct TimelineEvent {
  std::int64_t atUs;
  std::string text;
};

std::string formatAge(std::int64_t ageMs) {
  return ageMs == kNever ? std::string("never") : std::to_string(ageMs) + " ms ago";
}

std::string describeArrival(const RequestLine& request) {
  return request.gateway + " takes it, " + request.className + " (" + name(request.idempotency) +
         "), its client waits " + std::to_string(request.timeLeftMs) + " ms";
}

std::string describeEnd(const RequestLine& request) {
  std::string text = request.gateway + ": ";
  if (request.end == RequestEnd::clientDisconnected) text += "its client has gone";
  else text += std::string(name(request.end)) + ", " + std::to_string(request.status);
  return text + ", after " + std::to_string(request.attempts) + " attempts, cutoff " +
         std::to_string(request.admissionCutoff);
}

std::string describeStart(const AttemptLine& attempt) {
  return attempt.gateway + " attempt " + std::to_string(attempt.attemptNumber) + " to " + attempt.host +
         " (" + attempt.zone + "): list's word " + formatAge(attempt.listingAgeMs) + ", sign of life " +
         formatAge(attempt.responseAgeMs) + ", up " + std::to_string(attempt.uptimeMs) + " ms" +
         (attempt.avoided ? ", avoided" : "");
}

std::string describeEnd(const AttemptLine& attempt) {
  const std::string text = attempt.gateway + " attempt " + std::to_string(attempt.attemptNumber) + ": " +
                           name(attempt.outcome) + " by " + name(attempt.endReason) +
                           ", ran: " + name(attempt.execution);
  if (!wasSent(attempt)) return text + ", no byte went out";
  return text + ", first byte " + formatMilliseconds(attempt.firstByteAtUs - attempt.chosenAtUs) +
         " ms after its choice";
}

std::string formatOffset(std::int64_t microseconds) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%+10.3f ms  ",
                static_cast<double>(microseconds) / kMicrosecondsPerMillisecond);
  return text.data();
}

}  // namespace

RequestHistory sorted(RequestHistory history) {
  std::sort(history.attempts.begin(), history.attempts.end(), [](const AttemptLine& a, const AttemptLine& b) {
    return std::tie(a.chosenAtUs, a.gateway, a.attemptNumber) <
           std::tie(b.chosenAtUs, b.gateway, b.attemptNumber);
  });
  std::sort(history.requests.begin(), history.requests.end(), [](const RequestLine& a, const RequestLine& b) {
    return std::tie(a.arrivedAtUs, a.gateway, a.endedAtUs) < std::tie(b.arrivedAtUs, b.gateway, b.endedAtUs);
  });
  return history;
}

bool wasSent(const AttemptLine& attempt) { return attempt.firstByteAtUs > 0; }

const RequestLine* requestOf(const RequestHistory& history, const AttemptLine& attempt) {
  const RequestLine* latest = nullptr;
  for (const RequestLine& request : history.requests)
    if (request.gateway == attempt.gateway && request.arrivedAtUs <= attempt.chosenAtUs) latest = &request;
  return latest;
}

std::string formatTimeline(const RequestHistory& history) {
  std::vector<TimelineEvent> events;
  for (const RequestLine& request : history.requests) {
    events.push_back({request.arrivedAtUs, describeArrival(request)});
    events.push_back({request.endedAtUs, describeEnd(request)});
  }
  for (const AttemptLine& attempt : history.attempts) {
    events.push_back({attempt.chosenAtUs, describeStart(attempt)});
    events.push_back({attempt.endedAtUs, describeEnd(attempt)});
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const TimelineEvent& a, const TimelineEvent& b) { return a.atUs < b.atUs; });
  std::string timeline;
  for (const TimelineEvent& event : events)
    timeline += formatOffset(event.atUs - events.front().atUs) + event.text + "\n";
  return timeline;
}

std::string formatMilliseconds(std::int64_t microseconds) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.1f",
                static_cast<double>(microseconds) / kMicrosecondsPerMillisecond);
  return text.data();
}

}  // namespace finchstile::trace
