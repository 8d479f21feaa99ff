// The gateway: turns what happens on sockets into calls of the Balancer, and its actions into I/O. It decides
// nothing. It owns the Balancer, the clock, the one timer, and the records of requests and attempts.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "configuration/configuration_store.hpp"
#include "drain/plan.hpp"
#include "finchstile/load_balancer.hpp"
#include "net/attempt_log.hpp"
#include "net/client.hpp"
#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/discovery.hpp"
#include "net/gateway_metrics.hpp"
#include "net/host_list_hooks.hpp"
#include "net/protocol_handler.hpp"
#include "net/request.hpp"
#include "net/request_filter.hpp"
#include "net/upgrade_handler.hpp"
#include "net/upstream.hpp"

namespace finchstile {

class Gateway : ClientCallbacks,
                UpstreamCallbacks,
                DiscoveryCallbacks,
                RequestFilterCallbacks,
                ProtocolHandlerCallbacks {
 public:
  Gateway(boost::asio::io_context& io, const Clock& clock, GatewayConfig config);

  // Stages come in this order in each phase, and must outlive the gateway. Not from within a phase.
  void attach(RequestFilter& stage) { stages_.attach(stage); }
  RequestFilterCallbacks& filterCallbacks() { return *this; }
  // Fronts must outlive the gateway. Before `start`.
  void attach(ProtocolHandler& front) { fronts_.push_back(&front); }
  ProtocolHandlerCallbacks& protocolHandlerCallbacks() { return *this; }
  void setUpgradeHandler(UpgradeHandler& upgrades) { upgrades_ = &upgrades; }  // must outlive the gateway
  void start();
  // Goes over to the discovery that `next` names; hosts, requests and connections stay as they are. All else
  // in it takes effect at the next start.
  void reload(const GatewayConfig& next);
  // Classes and tenants as they are from now on, all of them in one step. Requests that are open end under
  // the terms with which they began. Throws std::invalid_argument if a term makes no sense; nothing is taken
  // then.
  void applyDynamicSettings(const configuration::SettingsChange& change);
  // These must outlive the gateway. Gate, observer and log: before `start`.
  void addHostEntryFilter(const HostEntryFilter& filter) { filters_.push_back(&filter); }
  void setHostListInterceptor(HostListInterceptor& gate) { gate_ = &gate; }
  void setHostObserver(HostObserver& observer) { observer_ = &observer; }
  void setAttemptLog(AttemptLog& log) { log_ = &log; }
  void reapplyHostFilters();
  void applyHostList(const HostList& list);  // past the gate
  void requestCompleteList();                // of discovery, in place of the watch that is on
  // When a host of that name last showed life to one of our attempts; 0: never, or it is not known.
  Time lastResponseAt(const std::string& host) const;
  struct HostView {  // for operators
    load_balancing::HostEntry listed;
    tcp::endpoint endpoint;
    load_balancing::HostPhase phaseInForce{};
    Time lastResponseAt{};
    bool avoided = false;
    std::size_t streams = 0;
  };
  std::vector<HostView> hosts() const;  // those listed and not gone, by name
  // Sends clients away without an end: not ready, answers close their connections, those at rest are closed
  // after a while. `takeBack` ends that.
  void enterLameDuck();
  void leaveLameDuck();
  bool ready() const;  // would take clients: knows hosts, and neither drains nor sends clients away
  bool isListed(const std::string& host) const;  // the list names it, as a host that has not gone
  GatewayMetrics metrics() const;
  // Takes effect at once, but for the shares of the descriptors, which do at the next start.
  void setOptions(const GatewayOptions& tuning);
  // Ready no more; answers what was and still is taken; `done` is called once when nothing is left.
  void drain(std::function<void()> done);
  // Clients' connections go to another process as they come to rest, in place of being closed; `Listener`
  // says how. An empty one ends that: they are closed again.
  void handOverClients(std::function<bool(int fd)> give);
  load_balancing::LearnedState learnedState() const { return balancer_.learnedState(); }
  void restoreLearnedState(const load_balancing::LearnedState& learned);
  void adoptClient(int fd) { listener_.adopt(fd); }

  tcp::endpoint endpoint() const { return listener_.endpoint(); }
  std::size_t openRequests() const { return requests_.size(); }
  std::size_t upstreamConnections() const { return pool_.connections(); }
  std::size_t upstreamOpened() const { return pool_.opened(); }
  std::size_t trackedHosts() const { return std::max(hosts_.size(), pool_.upstreams()); }
  std::size_t clientConnections() const { return listener_.size(); }
  struct DescriptorLimits {  // of the descriptors, at the most
    std::size_t clients = 0, turnedAway = 0, upstream = 0;
  };
  DescriptorLimits descriptorLimits() const { return {listener_.most(), listener_.spare(), pool_.most()}; }

 private:
  struct RequestRecord {
    std::weak_ptr<ClientSession> client;
    std::shared_ptr<const ClientRequest> message;
    std::uint32_t classIndex = 0;
    bool arriving = false;  // more of its body is to come
    bool ended = false;     // answered, or the client has gone
    boost::beast::http::status failure = boost::beast::http::status::bad_gateway;  // if it fails
    std::vector<AttemptId> attempts;
    std::size_t out = 0;
    std::unique_ptr<RequestContext> exchange;  // null while no stage is attached
    RequestResult end = RequestResult::failed;
    bool ran = false;  // an attempt that has ended may have run
    Time came{};
    Duration left{};
    unsigned status = 0;                      // of its answer
    Time heldUntil{};                         // by a stage; 0: it is not held
    std::unique_ptr<PendingUpgrade> upgrade;  // it asks to leave HTTP, and has not yet
  };
  struct AttemptRecord {
    load_balancing::RequestId request = 0;
    std::uint32_t number = 0;
    load_balancing::HostId host = load_balancing::kNone;
    Time sent{}, limit{};
    Time head{};   // when its answer began; 0: it has not
    Time begun{};  // when its first byte went out; 0: it has not
    HostObservation known;
    Time latest = Time::max();  // no byte may go out later
  };
  struct HostRecord {
    tcp::endpoint endpoint;
    load_balancing::HostPhase phase = load_balancing::HostPhase::removed;  // in force
    load_balancing::HostEntry listed;                                      // as the list has it
    std::string zone;
    std::int64_t cell = 0;
    Time heard{};  // showed life to an attempt; 0: never
    Time word{};   // when a list last named it
  };
  struct RelayRecord {  // an answer that is passed on piece by piece
    load_balancing::RequestId request = 0;
    std::weak_ptr<ClientSession> client;
    bool last = false;  // nothing more comes from the host
  };
  struct HeldAction {  // asked for by a stage, still to be carried out
    enum class Kind { answer, admit, abandon } kind;
    load_balancing::RequestId request;
    Response answer;
  };

  void onClientRequest(const std::shared_ptr<ClientSession>& session, ClientRequest&& request,
                       bool whole) override;
  void onClientBody(load_balancing::RequestId request, std::string&& piece, bool last) override;
  void onResponseWritten(RelayId relay) override;
  void onResponseAborted(RelayId relay) override;
  void onClientDisconnected(load_balancing::RequestId request) override;
  std::optional<OutgoingRequest> composeRequest(AttemptId attempt, load_balancing::Outcome& unsent) override;
  bool maySendLastByte(AttemptId attempt) override;
  void onRequestBodyWanted(AttemptId attempt) override;
  void onResponseHeaders(AttemptId attempt) override;
  void onResponseBegun(AttemptId attempt, UpstreamResponse&& answer,
                       std::optional<std::uint64_t> length) override;
  void onResponseBody(AttemptId attempt, std::string&& piece, bool last) override;
  void onResponseTruncated(AttemptId attempt) override;
  void onUpgraded(AttemptId attempt, tcp::socket&& socket, std::string&& early,
                  const boost::beast::http::fields& head) override;
  void onOutcome(AttemptId attempt, load_balancing::Outcome outcome, UpstreamResponse&& answer) override;
  void onHostList(HostList&& list) override;
  void onDiscoveryLost() override;

  void respondToHeld(load_balancing::RequestId request, Response&& answer) override;
  void admitHeld(load_balancing::RequestId request) override;
  void abandonContinued(load_balancing::RequestId request) override;

  load_balancing::RequestId newRequest() override { return ++lastRequest_; }
  void submitRequest(ProtocolHandler& front, const load_balancing::Request& request) override;
  void attemptEstablished(load_balancing::RequestId request, std::uint32_t attempt) override;
  void attemptEnded(load_balancing::RequestId request, std::uint32_t attempt, load_balancing::HostId host,
                    load_balancing::Outcome outcome, Duration taken, bool last) override;
  void clientDisconnected(load_balancing::RequestId request) override;
  load_balancing::HostPhase hostPhase(load_balancing::HostId host) const override;

  Duration lagNow() const;
  Duration overdue() const;
  bool answerOwnPaths(ClientSession& session, const ClientRequest& message);
  void observe(HostRecord& host, load_balancing::Outcome outcome, Time sent, bool byLimit);
  void learnHosts(const HostList& list, load_balancing::HostListUpdate kind);
  load_balancing::HostEntry inForce(const load_balancing::HostEntry& listed) const;
  void count(const RequestRecord& record, boost::beast::http::status status);
  void carryOut();
  void carryOut(const load_balancing::Action& action);
  bool carryOut(const load_balancing::Action& action, ProtocolHandler& front);
  bool frontsIdle() const;
  void send(const load_balancing::Action& action);
  void cancel(const load_balancing::Action& action);
  std::unique_ptr<RequestContext> begin(const load_balancing::Request& q,
                                        const std::shared_ptr<const ClientRequest>& message) const;
  void answer(load_balancing::RequestId request, RequestResult end, Response&& answer,
              const UpstreamResponse* from = nullptr);
  void end(load_balancing::RequestId request, RequestRecord& record, RequestResult end);
  void soon(HeldAction&& action);
  void hold(RequestRecord& record, const load_balancing::Request& q);
  void letGo(load_balancing::RequestId request, RequestRecord& record);
  void carryOut(HeldAction&& action);
  void failHeld(Time now);
  void failOpen();
  void settle(AttemptId attempt, load_balancing::Outcome outcome, UpstreamResponse&& answer,
              std::optional<PartialResponse> parted = {}, bool byLimit = false);
  void note(const AttemptRecord& attempt, const HostRecord& host, const RequestRecord& request,
            load_balancing::Outcome outcome, bool byLimit);
  void endRelay(RelayId relay);
  void releaseIfOver(load_balancing::RequestId request);
  void forgetHosts();
  void armTimer();
  void onTimer();
  void housekeep(Time now);

  boost::asio::io_context& io_;
  const Clock& clock_;
  GatewayConfig config_;
  load_balancing::LoadBalancer balancer_;
  Listener listener_;
  UpstreamPool pool_;
  std::vector<const HostEntryFilter*> filters_;
  HostListInterceptor* gate_ = nullptr;
  HostObserver* observer_ = nullptr;
  AttemptLog* log_ = nullptr;
  std::vector<ClassMetrics> counts_;
  std::uint64_t reports_ = 0, spoiltReports_ = 0;
  Discovery discovery_;
  boost::asio::steady_timer timer_;
  Time armed_{}, wake_{}, housekeepAt_{};
  std::optional<drain::DrainPlan> plan_;  // while draining
  Duration lag_{};                        // how late the loop has lately been, for what is read until
  Time lagUntil_{};

  RequestReader reader_;
  RequestFilterChain stages_;
  std::vector<ProtocolHandler*> fronts_;
  UpgradeHandler* upgrades_ = nullptr;
  std::unordered_map<load_balancing::RequestId, ProtocolHandler*>
      asked_;                                // requests of fronts that are not over
  std::unordered_set<std::string> openIds_;  // clients' ids of `requests_`
  std::unordered_map<load_balancing::HostId, HostRecord> hosts_;
  std::unordered_map<load_balancing::RequestId, RequestRecord> requests_;
  std::unordered_map<AttemptId, AttemptRecord> attempts_;
  std::unordered_map<RelayId, RelayRecord> relays_;  // by their attempts
  std::set<std::pair<Time, AttemptId>> limits_;      // when attempts are given up
  // Held by stages: until when, and what the module is asked when one is admitted.
  std::map<std::pair<Time, load_balancing::RequestId>, load_balancing::Request> held_;
  std::vector<HeldAction> heldActions_;
  std::vector<AttemptId> givenUp_;  // called off by the module, result still to be told
  load_balancing::RequestId lastRequest_ = 0;
  AttemptId lastAttempt_ = 0;
  bool carrying_ = false, away_ = false;
  std::function<void()> done_;
};

}  // namespace finchstile
