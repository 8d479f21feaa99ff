#include "app/gateway_program.hpp"

#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "net/gateway_limits.hpp"

namespace finchstile {
namespace {

constexpr const char* kInheritedListenerVariable = "LB_INHERITED_FD";

void printLine(std::string_view line) {
  std::fprintf(stderr, "%.*s\n", static_cast<int>(line.size()), line.data());
}

LoadedOperatorFile loadInitialOperatorFile(const RunOptions& options) {
  if (options.operatorFile.empty()) return {};
  return loadOperatorFileWithHooks(options.operatorFile, OperatorFileReloader::kFirstVersion);
}

int readDescriptor(const std::string& text) {
  int descriptor = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), descriptor);
  if (error != std::errc{} || end != text.data() + text.size() || descriptor < 0)
    throw std::runtime_error(std::string(kInheritedListenerVariable) + " is '" + text +
                             "', not the number of a descriptor");
  return descriptor;
}

Duration maxRetryAfter(const load_balancing::Settings& settings) {
  return settings.retryAfterEnabled ? settings.maxRetryAfter : Duration{};
}

}  // namespace

GatewayProgram::GatewayProgram(const RunOptions& options)
    : options_(options),
      operator_(loadInitialOperatorFile(options)),
      config_(readGatewayConfig()),
      hooks_(clock_, maxRetryAfter(config_.settings), printLine),
      gateway_(io_, clock_, config_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      summaryLog_(
          io_, [this] { return summaries(); }, printLine),
      reloader_(io_, options.operatorFile,
                {[this](LoadedOperatorFile&& loaded) { onOperatorFileLoaded(std::move(loaded)); },
                 [](const std::string& problems) {
                   std::fprintf(stderr, "finchstile: operator's file not reloaded:\n%s\n", problems.c_str());
                 }}) {}

void GatewayProgram::limitMemory(GatewayConfig& config) {
  if (config.memoryLimit == 0) return;
  config.reservedDescriptors += SystemMemory::kMaxDescriptors;
  memory_.emplace(config.memoryLimit, systemMemory_);
  config.memory = &*memory_;
  checkMemory(config);
}

GatewayConfig GatewayProgram::readGatewayConfig() {
  GatewayConfig config = loadConfig(options_.config, clock_);
  config.options = operator_.file.gatewayOptions;
  if (const stream::StreamSettings& streams = operator_.file.streams; streams.enabled) {
    config.options.reservedDescriptorFraction = streams.descriptorShare;
    config.settings.maxStreams =
        static_cast<std::uint32_t>(stream::maxStreamsFor(streams, config.descriptorLimit));
    config.settings.maxStreamsPerHost = static_cast<std::uint32_t>(streams.hostStreamLimit);
    config.settings.hostStreamRate = streams.hostStreamRateLimit;
    config.settings.streamRetrySpread = streams.retryInterval;
  }
  if (operator_.file.configuration.enabled) config.reservedDescriptors = configuration::kMaxClientDescriptors;
  const char* const inherited = std::getenv(kInheritedListenerVariable);
  if (inherited && *inherited) config.inheritedListenerDescriptor = readDescriptor(inherited);
  limitMemory(config);
  return config;
}

// Filters are attached in the order in which requests pass through them.
void GatewayProgram::serve() {
  waitForSignal();
  summaryLog_.setInterval(operator_.file.hooks.reportInterval);
  if (operator_.hooks) attachHooks();
  if (operator_.file.peers.enabled) peers_ = std::make_unique<PeerLink>(io_, clock_, operator_.file.peers);
  attachCrossZoneBudget();
  attachIdempotency();
  attachStreams();
  attachConfigurationClient();
  attachMembership();
  attachAdminApi();
  attachTraceLog();
  gateway_.start();
  attachProcessHandover();
  io_.run();
}

// --- Subsystems ----------------------------------------------------------------------------------------

// Runs at startup and after each reload, since a reload may add the first hooks.
void GatewayProgram::attachHooks() {
  if (operator_.hooks->hooks.empty() && !hookFilterAttached_) return;
  hooks_.chain().install(operator_.hooks);
  ensureHookFilter();
  summaryLog_.start();
}

// The hook filter is the first one, so that requests rejected by hooks are neither stored nor charged by the
// later filters. Filters are attached only once, so the hook filter is attached before the others even if
// there are no hooks yet.
void GatewayProgram::ensureHookFilter() {
  if (!std::exchange(hookFilterAttached_, true)) gateway_.attach(hooks_);
}

// Attached before the filters that hold requests, so that held requests pass through it as well.
void GatewayProgram::attachCrossZoneBudget() {
  if (!operator_.file.crossZone.enabled) return;
  ensureHookFilter();
  crossZone_ =
      std::make_unique<cross_zone::CrossZoneFilter>(clock_, operator_.file.crossZone, config_.settings);
  gateway_.attach(*crossZone_);
  summaryLog_.start();
}

void GatewayProgram::attachIdempotency() {
  const auto& settings = operator_.file.idempotency;
  if (!settings.enabled) return;
  ensureHookFilter();
  std::random_device entropy;
  const auto random64 = [&] { return static_cast<std::uint64_t>(entropy()) << 32 | entropy(); };
  idempotency_ = std::make_unique<idempotency::IdempotencyFilter>(
      clock_, settings, config_.settings.tenants.size(), idempotency::Seed{random64(), random64()},
      gateway_.filterCallbacks());
  if (!settings.log.directory.empty())
    idempotencyLog_ =
        std::make_unique<IdempotencyLog>(io_, clock_, settings, config_.settings, *idempotency_);
  if (settings.peerOwnership.enabled)
    idempotencyOwners_ = std::make_unique<IdempotencyOwnership>(io_, clock_, settings, *peers_,
                                                                config_.settings, *idempotency_);
  gateway_.attach(*idempotency_);
  summaryLog_.start();
}

void GatewayProgram::attachStreams() {
  const stream::StreamSettings& settings = operator_.file.streams;
  if (!settings.enabled) return;
  ProtocolHandlerCallbacks& callbacks = gateway_.protocolHandlerCallbacks();
  streams_ = std::make_unique<stream::StreamTable>(io_, clock_, settings, config_.settings.maxStreams,
                                                   config_.settings.seed, callbacks, printLine);
  tcpProxy_ = std::make_unique<stream::TcpProxyHandler>(io_, clock_, settings, config_.settings, callbacks,
                                                        *streams_);
  gateway_.attach(*tcpProxy_);
  tcpProxy_->start();
  if (operator_.file.webSocket.enabled) {
    webSocket_ = std::make_unique<websocket::WebSocketHandler>(
        clock_, operator_.file.webSocket, config_.name, [this] { return entropy_(); }, *streams_);
    gateway_.setUpgradeHandler(*webSocket_);
  }
  summaryLog_.start();
}

void GatewayProgram::attachConfigurationClient() {
  const configuration::ConfigurationSettings& settings = operator_.file.configuration;
  if (!settings.enabled) return;
  configurationWorker_ = std::make_unique<boost::asio::thread_pool>(1);
  configuration_ = std::make_unique<configuration::Client>(
      io_, configurationWorker_->get_executor(), clock_, settings, config_.name, config_.settings.seed,
      config_.settings,
      [this](const configuration::SettingsChange& change) { gateway_.applyDynamicSettings(change); },
      printLine);
  configuration_->start();
  summaryLog_.start();
}

void GatewayProgram::attachMembership() {
  if (!operator_.file.membership.enabled) return;
  membership_ = std::make_unique<MembershipService>(io_, clock_, operator_.file.membership, config_, gateway_,
                                                    peers_.get());
  summaryLog_.start();
}

void GatewayProgram::attachAdminApi() {
  if (!config_.adminEndpoint) return;
  adminApi_ = std::make_unique<AdminApi>(io_, clock_, config_, cordonFilePath(config_.name), gateway_);
  adminApi_->additionalMetrics = [this] { return subsystemMetrics(); };
  if (membership_)
    adminApi_->hostsText = [this](const std::string& host) { return membership_->describeHosts(host); };
}

void GatewayProgram::attachTraceLog() {
  if (!operator_.file.trace.enabled) return;
  trace_ = std::make_unique<TraceLog>(io_, clock_, operator_.file.trace, config_.name);
  gateway_.setAttemptLog(*trace_);
  summaryLog_.start();
}

void GatewayProgram::attachProcessHandover() {
  const std::string path = handoverSocketPath(config_.name);
  if (config_.inheritedListenerDescriptor < 0 || path.empty()) return;
  idempotency::IdempotencyFilter* const keys =
      idempotency_ && idempotency_->canReplicate() ? idempotency_.get() : nullptr;
  handover_ = std::make_unique<ProcessHandover>(
      io_, clock_, path, config_.name, gateway_, keys, idempotency::TenantAndClassNames::of(config_.settings),
      [this](pid_t process) { systemMemory_.setOtherProcess(process); });
}

// --- Signals -------------------------------------------------------------------------------------------

// Signals may arrive repeatedly, also while draining, so the wait is renewed after each one.
void GatewayProgram::waitForSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error) return;
    if (signal == SIGHUP) reload();
    else drain();
    waitForSignal();
  });
}

void GatewayProgram::drain() {
  if (!std::exchange(draining_, true))
    std::fprintf(stderr, "finchstile: draining: open_connections=%zu active_requests=%zu\n",
                 gateway_.clientConnections(), gateway_.openRequests());
  gateway_.drain([this] {
    std::fprintf(stderr, "finchstile: drained: open_connections=%zu active_requests=%zu\n",
                 gateway_.clientConnections(), gateway_.openRequests());
    if (handover_) handover_->finish();
    if (trace_) trace_->stop(gateway_.openRequests());
    io_.stop();
  });
  if (handover_) handover_->startHandingOver();
}

// An incomplete or invalid file must not stop a serving gateway: the configuration in effect stays unchanged.
// The two files are reloaded independently, since the platform writes one and the operator the other.
void GatewayProgram::reload() {
  try {
    gateway_.reload(loadConfig(options_.config, clock_));
    if (adminApi_) ++adminApi_->configMetrics.loaded;
  } catch (const std::exception& error) {
    if (adminApi_) ++adminApi_->configMetrics.invalid;
    std::fprintf(stderr, "finchstile: not reloaded: %s\n", error.what());
  }
  if (!options_.operatorFile.empty()) reloader_.reload();
}

// Runs on the event loop in one step, so that no handler sees a partly applied file.
void GatewayProgram::onOperatorFileLoaded(LoadedOperatorFile&& loaded) {
  operator_ = std::move(loaded);
  gateway_.setOptions(operator_.file.gatewayOptions);
  summaryLog_.setInterval(operator_.file.hooks.reportInterval);
  attachHooks();
  std::fprintf(stderr, "finchstile: operator's file reloaded, version %llu\n",
               static_cast<unsigned long long>(operator_.hooks->version));
}

// --- Metrics -------------------------------------------------------------------------------------------

std::vector<std::string> GatewayProgram::summaries() {
  std::vector<std::string> lines = hooks_.chain().summary(clock_.now());
  if (idempotency_) lines.push_back(idempotency_->summary());
  if (peers_) lines.push_back(peers_->summary());
  if (membership_) lines.push_back(membership_->summary());
  if (streams_) lines.push_back(streams_->statistics().summary());
  if (trace_) lines.push_back(trace_->summary());
  if (configuration_) lines.push_back(configuration_->summary());
  if (crossZone_)
    for (std::string& line : crossZone_->summary()) lines.push_back(std::move(line));
  return lines;
}

std::string GatewayProgram::subsystemMetrics() const {
  std::string metrics;
  if (crossZone_) metrics += crossZone_->statistics().exposition();
  if (streams_) metrics += streams_->exposition();
  if (membership_) metrics += membership_->exposition();
  if (configuration_) metrics += configuration_->exposition();
  return metrics;
}

}  // namespace finchstile
