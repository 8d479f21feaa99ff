#include "hook/filter.hpp"

#include <algorithm>

#include "net/string_view.hpp"

namespace finchstile::hook {
namespace {

namespace http = boost::beast::http;

class FieldsSource : public HeaderSource {
 public:
  explicit FieldsSource(const http::fields& fields) : fields_(fields) {}
  std::optional<std::string_view> header(std::string_view name) const override {
    const auto it = fields_.find(boost::beast::string_view(name.data(), name.size()));
    if (it == fields_.end()) return std::nullopt;
    return view(it->value());
  }

 private:
  const http::fields& fields_;
};

std::string_view idOf(const RequestContext& x) { return view((*x.message)["X-Correlation-Id"]); }

}  // namespace

Input HookFilter::inputOf(const RequestContext& x, Time now) const {
  Input in;
  const std::string_view target = view(x.message->target());
  const std::size_t split = std::min(target.find('?'), target.size());
  in.className = x.className;
  in.method = view(x.message->method_string());
  in.path = target.substr(0, split);
  in.query = target.substr(std::min(split + 1, target.size()));
  in.tenant = x.tenant;
  in.body =
      std::string_view(x.message->body()).substr(0, chain_.set() ? chain_.set()->settings.bodyLimit : 0);
  in.bodyLength = static_cast<std::int64_t>(x.message->body().size());
  in.timeLeft = std::max<std::int64_t>(0, (x.deadline - now).count());
  in.attempt = x.attemptCount;
  return in;
}

FilterDecision HookFilter::onRequestReceived(RequestContext& x) {
  if (chain_.empty()) return {};
  const Time now = clock_.now();
  auto own = std::make_unique<State>();
  own->hooked = chain_.begin(x.deadline - now);
  HookedRequest& q = own->hooked;
  state(x) = std::move(own);
  const FieldsSource request(*x.message);
  Input in = inputOf(x, now);
  in.request = &request;
  Verdict v = chain_.onRequest(now, q, in, idOf(x), x.upstreamHeaders);
  if (v.status == 0) return {};
  Response a;
  a.status = static_cast<http::status>(v.status);
  a.body = std::move(v.reason);
  if (!a.body.empty()) a.contentType = "text/plain";
  a.retryAfter = std::min(v.retryAfter, retryAfterMost_);
  return {std::move(a), false};
}

void HookFilter::onAttemptSending(RequestContext& x, UpstreamRequest& to) {
  if (!state(x)) return;  // it arrived before there were hooks
  HookedRequest& q = static_cast<State&>(*state(x)).hooked;
  const Time now = clock_.now();
  const FieldsSource request(*x.message);
  Input in = inputOf(x, now);
  in.request = &request;
  std::vector<HeaderLine> headers;
  chain_.onAttempt(now, q, in, idOf(x), headers);
  for (const HeaderLine& h : headers) to.set(h.name, h.value);
  if (!q.set || q.set->settings.tagHeader.empty() || q.tags.empty()) return;
  std::string tags;
  for (const Tag& t : q.tags) tags += (tags.empty() ? "" : ", ") + t.name + "=" + t.value;
  to.set(q.set->settings.tagHeader, tags);
}

void HookFilter::onResponseHeaders(RequestContext& x, const ResponseHead& head,
                                   std::vector<HeaderLine>& toClient) {
  if (!state(x)) return;
  HookedRequest& q = static_cast<State&>(*state(x)).hooked;
  const Time now = clock_.now();
  static const http::fields kNone;
  const FieldsSource request(*x.message), answer(head.fields ? *head.fields : kNone);
  Input in = inputOf(x, now);
  in.request = &request;
  in.answer = &answer;
  in.status = head.status;
  in.fromHost = head.fromUpstream;
  chain_.onAnswer(now, q, in, idOf(x), toClient);
}

}  // namespace finchstile::hook
