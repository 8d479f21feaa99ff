#include "hook/hook_filter.hpp"

#include <algorithm>

#include "net/string_view.hpp"

namespace finchstile::hook {
namespace {

namespace http = boost::beast::http;

// The header lines of an HTTP message.
class MessageHeaders : public HeaderSource {
 public:
  explicit MessageHeaders(const http::fields& fields) : fields_(fields) {}

  std::optional<std::string_view> header(std::string_view name) const override {
    const auto field = fields_.find(boost::beast::string_view(name.data(), name.size()));
    if (field == fields_.end()) return std::nullopt;
    return view(field->value());
  }

 private:
  const http::fields& fields_;
};

std::string_view requestId(const RequestContext& context) {
  return view((*context.message)["X-Correlation-Id"]);
}

// The value of the header that carries the tags to hosts.
std::string formatTags(const std::vector<Tag>& tags) {
  std::string value;
  for (const Tag& tag : tags) value += (value.empty() ? "" : ", ") + tag.name + "=" + tag.value;
  return value;
}

}  // namespace

HookedRequest* HookFilter::hookedRequest(RequestContext& context) {
  if (!state(context)) return nullptr;
  return &static_cast<State&>(*state(context)).request;
}

RunInput HookFilter::inputOf(const RequestContext& context, Time now) const {
  const std::string_view target = view(context.message->target());
  const std::size_t queryMark = std::min(target.find('?'), target.size());
  const std::string_view body = context.message->body();
  const std::size_t maxBodyBytes = chain_.set() ? chain_.set()->settings.maxBodyBytes : 0;
  RunInput input;
  input.className = context.className;
  input.method = view(context.message->method_string());
  input.path = target.substr(0, queryMark);
  input.query = target.substr(std::min(queryMark + 1, target.size()));
  input.tenant = context.tenant;
  input.body = body.substr(0, maxBodyBytes);
  input.bodyLength = static_cast<std::int64_t>(body.size());
  input.timeLeftNs = std::max<std::int64_t>(0, (context.deadline - now).count());
  input.attempt = context.attemptCount;
  return input;
}

FilterDecision HookFilter::onRequestReceived(RequestContext& context) {
  if (chain_.empty()) return {};
  const Time now = clock_.now();
  auto ownState = std::make_unique<State>();
  ownState->request = chain_.beginRequest(context.deadline - now);
  HookedRequest& request = ownState->request;
  state(context) = std::move(ownState);
  const MessageHeaders requestHeaders(*context.message);
  RunInput input = inputOf(context, now);
  input.requestHeaders = &requestHeaders;
  HookDecision decision = chain_.onRequest(now, request, input, requestId(context), context.upstreamHeaders);
  if (decision.rejectStatus == 0) return {};
  Response response;
  response.status = static_cast<http::status>(decision.rejectStatus);
  response.body = std::move(decision.reason);
  if (!response.body.empty()) response.contentType = "text/plain";
  response.retryAfter = std::min(decision.retryAfter, maxRetryAfter_);
  return {std::move(response), false};
}

void HookFilter::onAttemptSending(RequestContext& context, UpstreamRequest& upstreamRequest) {
  HookedRequest* const request = hookedRequest(context);
  if (request == nullptr) return;
  const Time now = clock_.now();
  const MessageHeaders requestHeaders(*context.message);
  RunInput input = inputOf(context, now);
  input.requestHeaders = &requestHeaders;
  std::vector<HeaderLine> headers;
  chain_.onAttempt(now, *request, input, requestId(context), headers);
  for (const HeaderLine& line : headers) upstreamRequest.set(line.name, line.value);
  if (!request->set || request->set->settings.tagHeader.empty() || request->tags.empty()) return;
  upstreamRequest.set(request->set->settings.tagHeader, formatTags(request->tags));
}

void HookFilter::onResponseHeaders(RequestContext& context, const ResponseHead& head,
                                   std::vector<HeaderLine>& clientHeaders) {
  HookedRequest* const request = hookedRequest(context);
  if (request == nullptr) return;
  static const http::fields kNoFields;
  const Time now = clock_.now();
  const MessageHeaders requestHeaders(*context.message);
  const MessageHeaders responseHeaders(head.fields != nullptr ? *head.fields : kNoFields);
  RunInput input = inputOf(context, now);
  input.requestHeaders = &requestHeaders;
  input.responseHeaders = &responseHeaders;
  input.responseStatus = head.status;
  input.responseFromHost = head.fromUpstream;
  chain_.onResponse(now, *request, input, requestId(context), clientHeaders);
}

}  // namespace finchstile::hook
