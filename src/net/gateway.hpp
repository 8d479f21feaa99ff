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

#include "configuration/store.hpp"
#include "drain/plan.hpp"
#include "net/attempts.hpp"
#include "net/client.hpp"
#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/discovery.hpp"
#include "net/figures.hpp"
#include "net/front.hpp"
#include "net/hosts.hpp"
#include "net/request.hpp"
#include "net/stage.hpp"
#include "net/upgrade.hpp"
#include "net/upstream.hpp"
#include "ridgeshift/ridgeshift.hpp"

namespace finchstile {

class Gateway : ClientEvents, UpstreamEvents, DiscoveryEvents, StageHost, FrontHost {
 public:
  Gateway(boost::asio::io_context& io, const Clock& clock, Config config);

  // Stages come in this order in each phase, and must outlive the gateway. Not from within a phase.
  void attach(Stage& stage) { stages_.attach(stage); }
  StageHost& stageHost() { return *this; }
  // Fronts must outlive the gateway. Before `start`.
  void attach(Front& front) { fronts_.push_back(&front); }
  FrontHost& frontHost() { return *this; }
  void setUpgrades(Upgrades& upgrades) { upgrades_ = &upgrades; }  // must outlive the gateway
  void start();
  // Goes over to the discovery that `next` names; hosts, requests and connections stay as they are. All else
  // in it takes effect at the next start.
  void reload(const Config& next);
  // Classes and tenants as they are from now on, all of them in one step. Requests that are open end under
  // the terms with which they began. Throws std::invalid_argument if a term makes no sense; nothing is taken
  // then.
  void takeTerms(const configuration::TermsChange& change);
  // These must outlive the gateway. Gate, observer and log: before `start`.
  void addHostFilter(const HostFilter& filter) { filters_.push_back(&filter); }
  void setListGate(ListGate& gate) { gate_ = &gate; }
  void setHostObserver(HostObserver& observer) { observer_ = &observer; }
  void setAttemptLog(AttemptLog& log) { log_ = &log; }
  void refilter();
  void takeList(const HostList& list);  // past the gate
  void askWholeList();                  // of discovery, in place of the watch that is on
  // When a host of that name last showed life to one of our attempts; 0: never, or it is not known.
  Time answeredAt(const std::string& host) const;
  struct HostView {  // for operators
    ridgeshift::HostEntry listed;
    tcp::endpoint endpoint;
    ridgeshift::Phase inForce{};
    Time answered{};
    bool avoided = false;
    std::size_t streams = 0;
  };
  std::vector<HostView> hosts() const;  // those listed and not gone, by name
  // Sends clients away without an end: not ready, answers close their connections, those at rest are closed
  // after a while. `takeBack` ends that.
  void sendAway();
  void takeBack();
  bool ready() const;  // would take clients: knows hosts, and neither drains nor sends clients away
  bool lists(const std::string& host) const;  // the list names it, as a host that has not gone
  GatewayFigures figures() const;
  // Takes effect at once, but for the shares of the descriptors, which do at the next start.
  void tune(const GatewayTuning& tuning);
  // Ready no more; answers what was and still is taken; `done` is called once when nothing is left.
  void drain(std::function<void()> done);
  // Clients' connections go to another process as they come to rest, in place of being closed; `Listener`
  // says how. An empty one ends that: they are closed again.
  void handOver(std::function<bool(int fd)> give);
  ridgeshift::Learned learned() const { return balancer_.learned(); }
  void recall(const ridgeshift::Learned& learned);
  void adoptClient(int fd) { listener_.adopt(fd); }

  tcp::endpoint endpoint() const { return listener_.endpoint(); }
  std::size_t openRequests() const { return requests_.size(); }
  std::size_t upstreamConnections() const { return pool_.connections(); }
  std::size_t upstreamOpened() const { return pool_.opened(); }
  std::size_t hostsKept() const { return std::max(hosts_.size(), pool_.upstreams()); }
  std::size_t clientConnections() const { return listener_.size(); }
  struct Shares {  // of the descriptors, at the most
    std::size_t clients = 0, turnedAway = 0, upstream = 0;
  };
  Shares shares() const { return {listener_.most(), listener_.spare(), pool_.most()}; }

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
    std::unique_ptr<Exchange> exchange;  // null while no stage is attached
    RequestEnd end = RequestEnd::failed;
    bool ran = false;  // an attempt that has ended may have run
    Time came{};
    Duration left{};
    unsigned status = 0;                    // of its answer
    Time heldUntil{};                       // by a stage; 0: it is not held
    std::unique_ptr<UpgradeAsked> upgrade;  // it asks to leave HTTP, and has not yet
  };
  struct AttemptRecord {
    ridgeshift::RequestId request = 0;
    std::uint32_t number = 0;
    ridgeshift::HostId host = ridgeshift::kNone;
    Time sent{}, limit{};
    Time head{};   // when its answer began; 0: it has not
    Time begun{};  // when its first byte went out; 0: it has not
    HostKnown known;
    Time latest = Time::max();  // no byte may go out later
  };
  struct HostRecord {
    tcp::endpoint endpoint;
    ridgeshift::Phase phase = ridgeshift::Phase::out;  // in force
    ridgeshift::HostEntry listed;                      // as the list has it
    std::string zone;
    std::int64_t cell = 0;
    Time heard{};  // showed life to an attempt; 0: never
    Time word{};   // when a list last named it
  };
  struct RelayRecord {  // an answer that is passed on piece by piece
    ridgeshift::RequestId request = 0;
    std::weak_ptr<ClientSession> client;
    bool last = false;  // nothing more comes from the host
  };
  struct HeldAction {  // asked for by a stage, still to be carried out
    enum class Kind { answer, admit, abandon } kind;
    ridgeshift::RequestId request;
    Answer answer;
  };

  void onClientRequest(const std::shared_ptr<ClientSession>& session, ClientRequest&& request,
                       bool whole) override;
  void onClientBody(ridgeshift::RequestId request, std::string&& piece, bool last) override;
  void onClientTook(RelayId relay) override;
  void onRelayBroken(RelayId relay) override;
  void onClientLeft(ridgeshift::RequestId request) override;
  std::optional<Outgoing> compose(AttemptId attempt, ridgeshift::Outcome& unsent) override;
  bool mayFinish(AttemptId attempt) override;
  void onWantBody(AttemptId attempt) override;
  void onHead(AttemptId attempt) override;
  void onAnswerBegun(AttemptId attempt, UpstreamAnswer&& answer,
                     std::optional<std::uint64_t> length) override;
  void onAnswerPiece(AttemptId attempt, std::string&& piece, bool last) override;
  void onAnswerCut(AttemptId attempt) override;
  void onUpgraded(AttemptId attempt, tcp::socket&& socket, std::string&& early,
                  const boost::beast::http::fields& head) override;
  void onOutcome(AttemptId attempt, ridgeshift::Outcome outcome, UpstreamAnswer&& answer) override;
  void onHostList(HostList&& list) override;
  void onDiscoveryLost() override;

  void answerHeld(ridgeshift::RequestId request, Answer&& answer) override;
  void admitHeld(ridgeshift::RequestId request) override;
  void abandon(ridgeshift::RequestId request) override;

  ridgeshift::RequestId newRequest() override { return ++lastRequest_; }
  void ask(Front& front, const ridgeshift::Request& request) override;
  void begun(ridgeshift::RequestId request, std::uint32_t attempt) override;
  void over(ridgeshift::RequestId request, std::uint32_t attempt, ridgeshift::HostId host,
            ridgeshift::Outcome outcome, Duration taken, bool last) override;
  void left(ridgeshift::RequestId request) override;
  ridgeshift::Phase phaseOf(ridgeshift::HostId host) const override;

  Duration lagNow() const;
  Duration overdue() const;
  bool answerOwnPaths(ClientSession& session, const ClientRequest& message);
  void observe(HostRecord& host, ridgeshift::Outcome outcome, Time sent, bool byLimit);
  void learnHosts(const HostList& list, ridgeshift::ListKind kind);
  ridgeshift::HostEntry inForce(const ridgeshift::HostEntry& listed) const;
  void count(const RequestRecord& record, boost::beast::http::status status);
  void carryOut();
  void carryOut(const ridgeshift::Action& action);
  bool carryOut(const ridgeshift::Action& action, Front& front);
  bool frontsIdle() const;
  void send(const ridgeshift::Action& action);
  void cancel(const ridgeshift::Action& action);
  std::unique_ptr<Exchange> begin(const ridgeshift::Request& q,
                                  const std::shared_ptr<const ClientRequest>& message) const;
  void answer(ridgeshift::RequestId request, RequestEnd end, Answer&& answer,
              const UpstreamAnswer* from = nullptr);
  void end(ridgeshift::RequestId request, RequestRecord& record, RequestEnd end);
  void soon(HeldAction&& action);
  void hold(RequestRecord& record, const ridgeshift::Request& q);
  void letGo(ridgeshift::RequestId request, RequestRecord& record);
  void carryOut(HeldAction&& action);
  void failHeld(Time now);
  void failOpen();
  void settle(AttemptId attempt, ridgeshift::Outcome outcome, UpstreamAnswer&& answer,
              std::optional<Parted> parted = {}, bool byLimit = false);
  void note(const AttemptRecord& attempt, const HostRecord& host, const RequestRecord& request,
            ridgeshift::Outcome outcome, bool byLimit);
  void endRelay(RelayId relay);
  void releaseIfOver(ridgeshift::RequestId request);
  void forgetHosts();
  void armTimer();
  void onTimer();
  void housekeep(Time now);

  boost::asio::io_context& io_;
  const Clock& clock_;
  Config config_;
  ridgeshift::Balancer balancer_;
  Listener listener_;
  UpstreamPool pool_;
  std::vector<const HostFilter*> filters_;
  ListGate* gate_ = nullptr;
  HostObserver* observer_ = nullptr;
  AttemptLog* log_ = nullptr;
  std::vector<ClassFigures> counts_;
  std::uint64_t reports_ = 0, spoiltReports_ = 0;
  Discovery discovery_;
  boost::asio::steady_timer timer_;
  Time armed_{}, wake_{}, housekeepAt_{};
  std::optional<drain::Plan> plan_;  // while draining
  Duration lag_{};                   // how late the loop has lately been, for what is read until
  Time lagUntil_{};

  RequestReader reader_;
  StageChain stages_;
  std::vector<Front*> fronts_;
  Upgrades* upgrades_ = nullptr;
  std::unordered_map<ridgeshift::RequestId, Front*> asked_;  // requests of fronts that are not over
  std::unordered_set<std::string> openIds_;                  // clients' ids of `requests_`
  std::unordered_map<ridgeshift::HostId, HostRecord> hosts_;
  std::unordered_map<ridgeshift::RequestId, RequestRecord> requests_;
  std::unordered_map<AttemptId, AttemptRecord> attempts_;
  std::unordered_map<RelayId, RelayRecord> relays_;  // by their attempts
  std::set<std::pair<Time, AttemptId>> limits_;      // when attempts are given up
  // Held by stages: until when, and what the module is asked when one is admitted.
  std::map<std::pair<Time, ridgeshift::RequestId>, ridgeshift::Request> held_;
  std::vector<HeldAction> heldActions_;
  std::vector<AttemptId> givenUp_;  // called off by the module, result still to be told
  ridgeshift::RequestId lastRequest_ = 0;
  AttemptId lastAttempt_ = 0;
  bool carrying_ = false, away_ = false;
  std::function<void()> done_;
};

}  // namespace finchstile
