// Ties the chain of hooks to the phases of a request.
#pragma once

#include "hook/chain.hpp"
#include "net/clock.hpp"
#include "net/request_filter.hpp"

namespace finchstile::hook {

class HookFilter : public RequestFilter {
 public:
  // `retryAfterMost`: the most that a refusal may say; 0 where the settings allow none.
  HookFilter(const Clock& clock, Duration retryAfterMost, Chain::Report report)
      : clock_(clock), retryAfterMost_(retryAfterMost), chain_(std::move(report)) {}

  Chain& chain() { return chain_; }

  std::uint8_t phases() const override {
    return phaseBit(RequestPhase::received) | phaseBit(RequestPhase::attemptSending) |
           phaseBit(RequestPhase::responseHeaders);
  }
  FilterDecision onRequestReceived(RequestContext& x) override;
  void onAttemptSending(RequestContext& x, UpstreamRequest& to) override;
  void onResponseHeaders(RequestContext& x, const ResponseHead& head,
                         std::vector<HeaderLine>& toClient) override;

 private:
  struct State : RequestFilterState {
    HookedRequest hooked;
  };
  Input inputOf(const RequestContext& x, Time now) const;

  const Clock& clock_;
  Duration retryAfterMost_;
  Chain chain_;
};

}  // namespace finchstile::hook
