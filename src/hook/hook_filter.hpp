// Request filter that runs the chain of hooks.
#pragma once

#include "hook/hook_chain.hpp"
#include "net/clock.hpp"
#include "net/request_filter.hpp"

namespace finchstile::hook {

class HookFilter : public RequestFilter {
 public:
  // `maxRetryAfter`: upper limit of the Retry-After of a rejection; 0: no Retry-After. `clock` must outlive
  // the filter.
  HookFilter(const Clock& clock, Duration maxRetryAfter, HookChain::Report report)
      : clock_(clock), maxRetryAfter_(maxRetryAfter), chain_(std::move(report)) {}

  HookChain& chain() { return chain_; }

  std::uint8_t phases() const override {
    return phaseBit(RequestPhase::received) | phaseBit(RequestPhase::attemptSending) |
           phaseBit(RequestPhase::responseHeaders);
  }
  FilterDecision onRequestReceived(RequestContext& context) override;
  void onAttemptSending(RequestContext& context, UpstreamRequest& upstreamRequest) override;
  void onResponseHeaders(RequestContext& context, const ResponseHead& head,
                         std::vector<HeaderLine>& clientHeaders) override;

 private:
  struct State : RequestFilterState {
    HookedRequest request;
  };

  // Null for a request that arrived before any hooks were installed.
  HookedRequest* hookedRequest(RequestContext& context);
  RunInput inputOf(const RequestContext& context, Time now) const;

  const Clock& clock_;
  const Duration maxRetryAfter_;
  HookChain chain_;
};

}  // namespace finchstile::hook
