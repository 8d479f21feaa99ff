#include "app/run.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "app/admin_api.hpp"
#include "app/idempotency_log.hpp"
#include "app/idempotency_ownership.hpp"
#include "app/membership_service.hpp"
#include "app/operator_file.hpp"
#include "app/peer_link.hpp"
#include "app/process_handover.hpp"
#include "app/trace_log.hpp"
#include "configuration/client.hpp"
#include "cross_zone/filter.hpp"
#include "hook/files.hpp"
#include "hook/filter.hpp"
#include "idempotency/filter.hpp"
#include "net/gateway.hpp"
#include "stream/table.hpp"
#include "stream/tcp_proxy_handler.hpp"
#include "websocket/web_socket_handler.hpp"

namespace finchstile {
namespace {

// What an operator's file asks for, built aside and whole: nothing of it is in force before all of it can be.
struct Built {
  OperatorFile file;
  std::shared_ptr<const hook::HookSet> hooks;
};

Built build(const std::string& path, std::uint64_t version) {
  Built b;
  b.file = loadOperatorFile(path);
  std::vector<std::string> problems;
  b.hooks = hook::loadHooks(b.file.hooks, version, problems);
  if (!b.hooks) throw OperatorFileError(std::move(problems));
  return b;
}

void say(std::string_view line) {
  std::fprintf(stderr, "%.*s\n", static_cast<int>(line.size()), line.data());
}

// "crossing class=a zone=b attempts=3" is about all up to the first count.
std::string subjectOf(const std::string& line) {
  std::size_t end = line.find('=');
  for (std::size_t at = end; at != std::string::npos; at = line.find('=', at + 1)) {
    if (at + 1 < line.size() && line[at + 1] >= '0' && line[at + 1] <= '9') break;
    end = std::min(line.find(' ', at), line.size());
  }
  return line.substr(0, end);
}

int readDescriptor(const std::string& text) {
  int fd = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), fd);
  if (error != std::errc{} || end != text.data() + text.size() || fd < 0)
    throw std::runtime_error("LB_INHERITED_FD is '" + text + "', not the number of a descriptor");
  return fd;
}

class Program {
 public:
  explicit Program(const RunOptions& options)
      : options_(options),
        built_(options.operatorFile.empty() ? Built{} : build(options.operatorFile, version_)),
        config_(configured()),
        hooks_(clock_, config_.settings.retryAfterEnabled ? config_.settings.maxRetryAfter : Duration{}, say),
        gateway_(io_, clock_, config_),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        report_(io_) {}

  ~Program() {
    if (loader_.joinable()) loader_.join();
  }

  void serve() {
    waitForSignal();
    if (built_.hooks) takeHooks();
    if (built_.file.peers.enabled) peers_ = std::make_unique<PeerLink>(io_, clock_, built_.file.peers);
    attachCrossing();
    attachIdempotency();
    attachStreams();
    attachConfiguration();
    if (built_.file.membership.enabled)
      members_ = std::make_unique<MembershipService>(io_, clock_, built_.file.membership, config_, gateway_,
                                                     peers_.get());
    if (config_.adminEndpoint) {
      adminApi_ = std::make_unique<AdminApi>(io_, clock_, config_, cordonFilePath(config_.name), gateway_);
      adminApi_->additionalMetrics = [this] {
        std::string more;
        if (crossing_) more += crossing_->account().exposition();
        if (streams_) more += streams_->exposition();
        if (members_) more += members_->exposition();
        if (configuration_) more += configuration_->exposition();
        return more;
      };
    }
    if (members_ && adminApi_)
      adminApi_->hostsText = [this](const std::string& host) { return members_->text(host); };
    if (members_) waitToReport();
    if (built_.file.trace.enabled) {
      trace_ = std::make_unique<TraceLog>(io_, clock_, built_.file.trace, config_.name);
      gateway_.setAttemptLog(*trace_);
      waitToReport();
    }
    gateway_.start();
    if (const std::string path = handoverSocketPath(config_.name);
        config_.inheritedListenerDescriptor >= 0 && !path.empty())
      succession_ = std::make_unique<ProcessHandover>(io_, path, config_.name, gateway_);
    io_.run();
  }

 private:
  GatewayConfig configured() const {
    GatewayConfig c = loadConfig(options_.config, clock_);
    c.options = built_.file.tuning;
    if (const stream::StreamSettings& s = built_.file.streams; s.enabled) {
      c.options.reservedDescriptorFraction = s.descriptorShare;
      c.settings.maxStreams = static_cast<std::uint32_t>(stream::streamsOf(s, c.descriptorLimit));
      c.settings.maxStreamsPerHost = static_cast<std::uint32_t>(s.hostStreams);
      c.settings.hostStreamRate = s.hostRate;
      c.settings.streamRetrySpread = s.returnWithin;
    }
    if (built_.file.configuration.enabled) c.reservedDescriptors = configuration::kDescriptors;
    if (const char* fd = std::getenv("LB_INHERITED_FD"); fd && *fd)
      c.inheritedListenerDescriptor = readDescriptor(fd);
    return c;
  }

  void waitForSignal() {
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
      if (error) return;
      if (signal == SIGHUP) reload();
      else drain();
      waitForSignal();  // they may come again, and while draining
    });
  }

  void drain() {
    if (!std::exchange(drains_, true))
      std::fprintf(stderr, "finchstile: drains, %zu connections and %zu requests open\n",
                   gateway_.clientConnections(), gateway_.openRequests());
    gateway_.drain([this] {
      std::fprintf(stderr, "finchstile: drained, %zu connections and %zu requests left\n",
                   gateway_.clientConnections(), gateway_.openRequests());
      if (succession_) succession_->finish();
      if (trace_) trace_->stop(gateway_.openRequests());
      io_.stop();
    });
    if (succession_) succession_->startHandingOver();
  }

  // Danger: a file that is half written or wrong must not end a gateway that serves; the old one stays in
  // force, in full. The two files stand for themselves: the platform writes one, the operator the other.
  void reload() {
    try {
      gateway_.reload(loadConfig(options_.config, clock_));
      if (adminApi_) ++adminApi_->configMetrics.loaded;
    } catch (const std::exception& bad) {
      if (adminApi_) ++adminApi_->configMetrics.invalid;
      std::fprintf(stderr, "finchstile: not reloaded: %s\n", bad.what());
    }
    if (!options_.operatorFile.empty()) reloadOperator();
  }

  // Compiling hooks and reading large tables takes longer than a request may wait: another thread does it,
  // and shares nothing with the loop but what it hands over at its end.
  void reloadOperator() {
    if (loading_) {
      again_ = true;  // the file may have changed since it was read
      return;
    }
    loading_ = true;
    if (loader_.joinable()) loader_.join();
    loader_ = std::thread([this, path = options_.operatorFile, version = ++version_] {
      std::shared_ptr<Built> next;
      std::string why;
      try {
        next = std::make_shared<Built>(build(path, version));
      } catch (const std::exception& bad) {
        why = bad.what();
      }
      boost::asio::post(io_, [this, next, why] { loaded(next, why); });
    });
  }

  // Between two requests, in one step.
  void loaded(const std::shared_ptr<Built>& next, const std::string& why) {
    loading_ = false;
    if (next) {
      built_ = std::move(*next);
      gateway_.setOptions(built_.file.tuning);
      takeHooks();
      std::fprintf(stderr, "finchstile: operator's file reloaded, version %llu\n",
                   static_cast<unsigned long long>(built_.hooks->version));
    } else {
      std::fprintf(stderr, "finchstile: operator's file not reloaded:\n%s\n", why.c_str());
    }
    if (std::exchange(again_, false)) reloadOperator();
  }

  void takeHooks() {
    if (built_.hooks->hooks.empty() && !attached_) return;
    hooks_.chain().take(built_.hooks);
    if (!std::exchange(attached_, true)) gateway_.attach(hooks_);
    waitToReport();
  }

  // Ahead of what holds requests: those are asked about too.
  void attachCrossing() {
    if (!built_.file.crossing.enabled) return;
    if (!std::exchange(attached_, true)) gateway_.attach(hooks_);
    crossing_ = std::make_unique<cross_zone::CrossZoneFilter>(clock_, built_.file.crossing, config_.settings);
    gateway_.attach(*crossing_);
    waitToReport();
  }

  // Behind the hooks: what they turn down is not remembered.
  void attachIdempotency() {
    const auto& settings = built_.file.idempotency;
    if (!settings.enabled) return;
    if (!std::exchange(attached_, true)) gateway_.attach(hooks_);  // before it, should hooks come later
    std::random_device dice;
    const auto word = [&] { return static_cast<std::uint64_t>(dice()) << 32 | dice(); };
    idempotency_ = std::make_unique<idempotency::IdempotencyFilter>(
        clock_, settings, config_.settings.tenants.size(), idempotency::Seed{word(), word()},
        gateway_.filterCallbacks());
    if (!settings.log.directory.empty())
      keyLog_ = std::make_unique<IdempotencyLog>(io_, clock_, settings, config_.settings, *idempotency_);
    if (settings.peerOwnership.enabled)
      keyOwners_ = std::make_unique<IdempotencyOwnership>(io_, clock_, settings, *peers_, config_.settings,
                                                          *idempotency_);
    gateway_.attach(*idempotency_);
    waitToReport();
  }

  void attachStreams() {
    const stream::StreamSettings& settings = built_.file.streams;
    if (!settings.enabled) return;
    streams_ = std::make_unique<stream::StreamTable>(io_, clock_, settings, config_.settings.maxStreams,
                                                     config_.settings.seed,
                                                     gateway_.protocolHandlerCallbacks(), say);
    tcp_ = std::make_unique<stream::TcpProxyHandler>(io_, clock_, settings, config_.settings,
                                                     gateway_.protocolHandlerCallbacks(), *streams_);
    gateway_.attach(*tcp_);
    tcp_->start();
    if (built_.file.webSocket.enabled) {
      webSocket_ = std::make_unique<websocket::WebSocketHandler>(
          clock_, built_.file.webSocket, config_.name, [this] { return dice_(); }, *streams_);
      gateway_.setUpgradeHandler(*webSocket_);
    }
    waitToReport();
  }

  void attachConfiguration() {
    const configuration::ConfigurationSettings& settings = built_.file.configuration;
    if (!settings.enabled) return;
    worker_ = std::make_unique<boost::asio::thread_pool>(1);
    configuration_ = std::make_unique<configuration::Client>(
        io_, worker_->get_executor(), clock_, settings, config_.name, config_.settings.seed, config_.settings,
        [this](const configuration::SettingsChange& change) { gateway_.applyDynamicSettings(change); }, say);
    configuration_->start();
    waitToReport();
  }

  void waitToReport() {
    report_.expires_after(built_.file.hooks.report);
    report_.async_wait([this](const boost::system::error_code& stopped) {
      if (stopped) return;
      std::vector<std::string> lines = hooks_.chain().summary(clock_.now());
      if (idempotency_) lines.push_back(idempotency_->summary());
      if (peers_) lines.push_back(peers_->summary());
      if (members_) lines.push_back(members_->summary());
      if (streams_) lines.push_back(streams_->account().summary());
      if (trace_) lines.push_back(trace_->summary());
      if (configuration_) lines.push_back(configuration_->summary());
      if (crossing_)
        for (std::string& line : crossing_->summary()) lines.push_back(std::move(line));
      for (const std::string& line : lines) {
        // Only what has changed since it was last said.
        std::string& last = said_[subjectOf(line)];
        if (last != line) say(last = line);
      }
      waitToReport();
    });
  }

  const RunOptions options_;
  const Clock clock_;
  std::uint64_t version_ = 1;
  boost::asio::io_context io_{1};
  Built built_;
  const GatewayConfig config_;
  // Stages outlive the gateway.
  hook::HookFilter hooks_;
  std::unique_ptr<idempotency::IdempotencyFilter> idempotency_;
  std::unique_ptr<cross_zone::CrossZoneFilter> crossing_;
  std::unique_ptr<IdempotencyLog> keyLog_;
  std::unique_ptr<PeerLink> peers_;
  std::unique_ptr<IdempotencyOwnership> keyOwners_;
  std::unique_ptr<TraceLog> trace_;
  Gateway gateway_;
  std::unique_ptr<stream::StreamTable> streams_;
  std::unique_ptr<stream::TcpProxyHandler> tcp_;
  std::random_device dice_;
  std::unique_ptr<websocket::WebSocketHandler> webSocket_;
  std::unique_ptr<MembershipService> members_;
  std::unique_ptr<AdminApi> adminApi_;
  std::unique_ptr<ProcessHandover> succession_;
  std::unique_ptr<boost::asio::thread_pool> worker_;  // outlives the client, which has a strand of it
  std::unique_ptr<configuration::Client> configuration_;
  bool attached_ = false, drains_ = false;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer report_;
  std::map<std::string, std::string> said_;  // by hook
  std::thread loader_;
  bool loading_ = false, again_ = false;
};

}  // namespace

int run(const RunOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);  // a client or host that went away shows as an error of the write
  // Danger: SIGHUP ends a process that does not listen for it yet, and one that was told to end by SIGTERM
  // while it starts is to drain like any other. They wait until they are listened for.
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&signals, signal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Program program(options);
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
  program.serve();
  return 0;
}

}  // namespace finchstile
