// Keyed requests in the gateway: a repeat joins the one that runs, or is answered from the one that was.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "idempotency/journal.hpp"
#include "idempotency/owners.hpp"
#include "idempotency/settings.hpp"
#include "idempotency/store.hpp"
#include "net/clock.hpp"
#include "net/request_filter.hpp"

namespace finchstile::idempotency {

struct Counts {
  std::uint64_t fresh = 0, joined = 0, replayed = 0, again = 0, mismatched = 0, crowded = 0, full = 0;
  std::uint64_t large = 0;  // longer than is held, passed by the store
  std::uint64_t answeredFromFirst = 0, promoted = 0, keptWithoutClient = 0;
  std::uint64_t unknown = 0;     // new ones that count as uncertain, since the log was damaged
  std::uint64_t unrecorded = 0;  // that went on, or were turned away, without a record
};

// What this gateway's clock says of itself in the log. `boot`: see TimeBase.
TimeBase timeBase(const Clock& clock, std::string boot);
// No request runs for longer: what is sent right before its client's time is up is not over at once.
Duration longestRun(const load_balancing::Settings& settings);

// The way to the other gateways.
class OwnerLink {
 public:
  virtual ~OwnerLink() = default;
  virtual void send(GatewayNumber to, std::string_view payload) = 0;
  virtual void wakeAt(
      std::optional<Time> at) = 0;  // IdempotencyStage::onWake is to be called then, if at all
};

class IdempotencyFilter : public RequestFilter, StoreObserver {
 public:
  // `host` carries out what is to become of requests that wait; it must outlive this. `tenants`: how many the
  // settings name.
  IdempotencyFilter(const Clock& clock, const IdempotencySettings& settings, std::size_t tenants,
                    const Seed& seed, RequestFilterCallbacks& host);

  // Before the first request. What outlived the last process is put into the store, and each step written
  // down from now on. Both must outlive this.
  JournalRecovery recover(Journal& journal);

  // Before the first request. `all`: each keyed request is asked for, else those that clients mark as
  // repeats.
  void join(Owners& owners, OwnerLink& link, const Names& names, bool all);
  void fromGateway(GatewayNumber from, std::uint64_t epoch, std::string_view payload);
  void onWake();

  const Store& store() const { return store_; }
  const Counts& counts() const { return counts_; }
  std::string summary() const;

  std::uint8_t phases() const override;
  FilterDecision onRequestReceived(RequestContext& x) override;
  void onAttemptSending(RequestContext& x, UpstreamRequest& to) override;
  void onAttemptEnded(RequestContext& x, bool mayHaveRun) override;
  void onResponseHeaders(RequestContext& x, const ResponseHead& head,
                         std::vector<HeaderLine>& toClient) override;
  void onRequestCompleted(RequestContext& x, RequestResult end) override;
  bool continuesWithoutClient(RequestContext& x) override;

 private:
  struct State : RequestFilterState {
    Store::EntryId entry = Store::kNone;
    bool waits = false;      // for the one that runs
    bool recording = false;  // waits for its record to be synced
    bool asking = false;     // waits for what other gateways know
    bool again = false;      // an earlier one may have run
    std::uint64_t run = 0;
    bool had = false;  // another gateway's answer, to be handed over
    KeptAnswer answer;
  };
  enum class Start : std::uint8_t { now, held, refused };
  Store::Arrival arrivalOf(const RequestContext& x) const;
  std::uint32_t tenantOf(const RequestContext& x) const;
  Start start(RequestContext& x, const Store::Result& r);
  Response withoutRecord(const State& s) const;
  void onSynced();
  void onBegan(std::uint64_t run, Time at, const Store::Arrival& request, const Earlier* earlier) override;
  void onSent(std::uint64_t, const Earlier&) override {}
  void onNeverRan(std::uint64_t) override {}
  void onEnded(std::uint64_t run, Time at, idempotency::State to, const KeptAnswer& answer,
               const Earlier* ran) override;
  bool ask(RequestContext& x, State& s);
  void decided(const Owners::Decision& d);
  void pump();
  void admitIfReady(const RequestContext& x);
  void over(const std::vector<Store::Waiter>& waiting, const KeptAnswer* answer);

  const Clock& clock_;
  IdempotencySettings settings_;
  std::uint32_t tenants_;
  RequestFilterCallbacks& host_;
  Store store_;
  Counts counts_;
  std::unordered_map<Store::Waiter, RequestContext*> waiting_;  // by request; each until its `ended`
  Journal* journal_ = nullptr;
  Time uncertainUntil_{};
  struct Recording {
    std::uint64_t position;  // of the log
    load_balancing::RequestId request;
  };
  std::deque<Recording> recording_;  // in the order of their records; some may be over already
  std::unordered_map<load_balancing::RequestId, RequestContext*> recordingOf_;
  Owners* owners_ = nullptr;
  OwnerLink* link_ = nullptr;
  const Names* names_ = nullptr;
  bool askAll_ = false;
  std::uint64_t lastRun_ = 0;                                    // that began
  std::unordered_map<std::uint64_t, RequestContext*> askingOf_;  // by run
  // Running ones whose own client has gone, by entry. The last that waits for one takes it along.
  std::unordered_map<Store::EntryId, load_balancing::RequestId> orphans_;
};

}  // namespace finchstile::idempotency
