// Deduplicates requests that have an idempotency key (header Idempotency-Key). While a request with a key
// runs, repeats of it wait for its response; later ones are answered with the cached response. If a run may
// have been executed and left no response, repeats are sent only to hosts that recognize them.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "idempotency/filter_summary.hpp"
#include "idempotency/gateway_link.hpp"
#include "idempotency/journal.hpp"
#include "idempotency/key_ownership.hpp"
#include "idempotency/key_replication.hpp"
#include "idempotency/process_clock.hpp"
#include "idempotency/settings.hpp"
#include "idempotency/store.hpp"
#include "idempotency/store_observer.hpp"
#include "idempotency/sync_waiters.hpp"
#include "net/clock.hpp"
#include "net/request_filter.hpp"

namespace finchstile::idempotency {

class IdempotencyFilter : public RequestFilter, StoreObserver, KeyReplicationCallbacks {
 public:
  // `tenants`: the number of tenants in the settings. `callbacks` answers and admits held requests. All
  // references must outlive the filter.
  IdempotencyFilter(const Clock& clock, const IdempotencySettings& settings, std::size_t tenants,
                    const Seed& seed, RequestFilterCallbacks& callbacks);

  // Restores the keys that earlier processes recorded, and records every run from then on. Must be called
  // before the first request. `journal` must outlive the filter.
  JournalRecovery recover(Journal& journal);

  // Coordinates runs with other gateways (see KeyOwnership). Must be called before the first request. All
  // references must outlive the filter. `awaitOwnersForEveryKey`: every request waits for the decision of
  // its key's owners; otherwise only requests that clients mark as repeats (X-Repeat: 1) do, and the owners
  // are merely notified of the others.
  void enableOwnership(KeyOwnership& ownership, GatewayLink& link, const TenantAndClassNames& names,
                       bool awaitOwnersForEveryKey);
  // Handles a message from another gateway. `epoch`: increases with each start of that gateway.
  void onGatewayMessage(GatewayNumber from, std::uint64_t epoch, std::string_view payload);
  // Must be called at the time passed to GatewayLink::scheduleTimer().
  void onTimer();

  // Whether keys can be exchanged with another process of this gateway. A log has one writer, and owners know
  // a gateway as one process.
  bool canReplicate() const { return !journal_ && !ownership_; }
  // Holds requests with a key until the keys of the predecessor are loaded or endReplication() is called.
  void awaitKeys() { awaitingKeys_ = true; }
  bool awaitsKeys() const { return awaitingKeys_; }
  // Starts to exchange keys with another process of this gateway, and ends an earlier exchange.
  KeyReplication& startReplication(KeyReplication::Role role, TenantAndClassNames names);
  // Must be called when the other process is gone, or if it does not exchange keys.
  void endReplication();
  // The exchange in progress, or null.
  KeyReplication* replication() { return replication_.get(); }

  const Store& store() const { return store_; }
  const FilterCounts& counts() const { return counts_; }
  std::string summary() const { return summarize(store_, counts_, journal_, ownership_); }

  std::uint8_t phases() const override;
  FilterDecision onRequestReceived(RequestContext& request) override;
  void onAttemptSending(RequestContext& request, UpstreamRequest& to) override;
  void onAttemptEnded(RequestContext& request, bool mayHaveRun) override;
  void onResponseHeaders(RequestContext& request, const ResponseHead& head,
                         std::vector<HeaderLine>& toClient) override;
  void onRequestCompleted(RequestContext& request, RequestResult result) override;
  bool continuesWithoutClient(RequestContext& request) override;

 private:
  struct RequestState : RequestFilterState {
    Store::EntryId entry = Store::kNone;
    bool awaitsRun = false;        // for the response of the request that runs
    bool awaitsSync = false;       // of its record in the log
    bool awaitsDecision = false;   // of the owners of its key or of the predecessor
    bool awaitsKeys = false;       // of the predecessor
    bool isRetry = false;          // an earlier run may have been executed
    std::uint64_t run = 0;         // the run's number; unset while awaitsRun
    bool hasPeerResponse = false;  // `response` was fetched from another gateway
    CachedResponse response;
  };
  enum class StartResult : std::uint8_t { admitted, held, rejected };

  void onRunStarted(std::uint64_t, Time, const Store::KeyedRequest&, const EarlierAttempt*) override {}
  void onAttemptSent(std::uint64_t, const EarlierAttempt&) override {}
  void onAttemptNotExecuted(std::uint64_t) override {}
  void onRunFinished(std::uint64_t run, Time at, KeyState state, const CachedResponse& response,
                     const EarlierAttempt* executed) override;

  RequestState& stateOf(RequestContext& request) const;
  const RequestState& stateOf(const RequestContext& request) const;
  std::uint32_t tenantOf(const RequestContext& request) const;
  Store::KeyedRequest keyedRequest(const RequestContext& request) const;

  FilterDecision admissionDecision(RequestContext& request, const Store::AdmissionResult& result);
  StartResult startRun(RequestContext& request, const Store::AdmissionResult& result);
  void assumeUncertain(RequestContext& request, RequestState& state);
  bool claimAtOwners(RequestContext& request, RequestState& state);
  void admitIfReady(const RequestContext& request);
  Response unrecordedResponse(const RequestState& state) const;
  void onSynced();
  // KeyReplicationCallbacks
  void onKeysLoaded() override;
  void onDecision(const KeyOwnership::Decision& decision) override;
  void onRunYielded(std::uint64_t run, Store::EntryId entry) override;
  void onPeerRunFinished(Store::EntryId entry, Store::RunOutcome outcome, CachedResponse&& response) override;

  FilterDecision holdUntilKeysAreLoaded(RequestContext& request);
  void admitAfterLoading(RequestContext& request);
  void dispatchOwnershipOutput();

  void stopWaiting(RequestContext& request, const RequestState& state);
  void onWaiterCompleted(RequestContext& request, const RequestState& state);
  void finishWithoutResponse(RequestContext& request);
  void finishWithResponse(RequestContext& request, CachedResponse&& response);
  void answerWaiters(const std::vector<Store::Waiter>& waiters, const CachedResponse& response);
  void finishUnanswered(Store::EntryId entry, Store::RunOutcome outcome);

  const Clock& clock_;
  IdempotencySettings settings_;
  std::uint32_t namedTenants_;
  RequestFilterCallbacks& callbacks_;
  Store store_;
  FilterCounts counts_;
  std::unordered_map<Store::Waiter, RequestContext*> waiters_;  // until their onRequestCompleted()
  // Runs whose own client has disconnected, by entry. Each is abandoned when its last waiter has left.
  std::unordered_map<Store::EntryId, load_balancing::RequestId> runsWithoutClient_;

  Journal* journal_ = nullptr;
  Time uncertainUntil_{};  // until then unknown keys count as uncertain, since the log has lost records
  SyncWaiters syncWaiters_;

  KeyOwnership* ownership_ = nullptr;
  GatewayLink* link_ = nullptr;
  const TenantAndClassNames* names_ = nullptr;
  bool askForEveryKey_ = false;
  std::unordered_map<std::uint64_t, RequestContext*> decisionWaiters_;  // by run

  std::unique_ptr<KeyReplication> replication_;
  bool awaitingKeys_ = false;                 // keys of the predecessor are being loaded
  std::vector<RequestContext*> keysWaiters_;  // requests that wait for them, in order
};

}  // namespace finchstile::idempotency
