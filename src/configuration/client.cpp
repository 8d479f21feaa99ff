#include "configuration/client.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

#include "configuration/file.hpp"

namespace finchstile::configuration {
namespace {

constexpr unsigned kOk = 200, kUnavailable = 503;
// The file is written this often at the most: the whole of it, for a change of one tenant too. What was
// missed since is asked for at the next start.
constexpr Duration kKeepEvery = std::chrono::seconds(30);

}  // namespace

// Used by one job of the worker at a time.
struct Client::Shared {
  Shared(const load_balancing::Settings& start, std::string path) : store(start), file(std::move(path)) {}
  Store store;
  const std::string file;

  // Tells what is wrong with the file, if something is; empty: nothing.
  std::string keep() const {
    try {
      writeWhole(file, store.text());
      return {};
    } catch (const std::exception& bad) {
      return bad.what();
    }
  }
};

struct Client::Done {
  std::uint64_t call = 0;  // which it answers
  Result result;
  Position position;
  std::size_t tenants = 0;
  std::string unreadable;  // why the answer is no update; empty: it is one
};

Client::Client(boost::asio::io_context& io, const boost::asio::any_io_executor& worker, const Clock& clock,
               const ConfigurationSettings& settings, const std::string& gateway, std::uint64_t seed,
               const load_balancing::Settings& start, std::function<void(const SettingsChange&)> take,
               std::function<void(const std::string&)> say)
    : io_(io),
      worker_(boost::asio::make_strand(worker)),
      clock_(clock),
      settings_(settings),
      gateway_(gateway),
      take_(std::move(take)),
      say_(std::move(say)),
      engine_(seed),
      sources_(settings.addresses, gateway, settings.sources),
      shared_(std::make_shared<Shared>(start, settings.file)),
      alive_(std::make_shared<Client*>(this)),
      watch_(io, kUpdateMost, *this),
      timer_(io),
      keepTimer_(io),
      keepNext_(clock.now()) {
  figures_.tenants = shared_->store.tenants();
}

Client::~Client() { *alive_ = nullptr; }

void Client::start() {
  running_ = true;
  if (!std::exchange(recovered_, true)) recover();
  // Danger: all gateways may start in one moment.
  schedule(clock_.now() + Duration(static_cast<std::int64_t>(
                              draw() * static_cast<double>(settings_.sources.failover.count()))));
}

void Client::stop() {
  running_ = false;
  timer_.cancel();
  watch_.stop();
}

// Before the gateway serves: nothing waits for the loop yet.
void Client::recover() {
  if (settings_.file.empty()) return;
  try {
    const auto text = readWhole(settings_.file);
    if (!text) return;
    Done kept;
    kept.result = shared_->store.apply(parseUpdate(*text));
    if (kept.result.verdict != Verdict::taken)
      return say_("configuration: " + settings_.file + " is not taken: " + describe(kept.result.problems));
    kept.position = position_ = shared_->store.position();
    figures_.inForce = position_.version;
    figures_.tenants = shared_->store.tenants();
    take_(kept.result.terms);
    say_("configuration: " + describe(position_.version) + " in force, from " + settings_.file);
  } catch (const std::exception& bad) {
    say_("configuration: " + settings_.file + " is not taken: " + bad.what());
  }
}

double Client::draw() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

void Client::schedule(Time notBefore) {
  const Sources::Choice choice = sources_.choose(clock_.now(), draw());
  source_ = choice.source;
  timer_.expires_at(clock_.steady(std::max(notBefore, choice.at)));
  timer_.async_wait([alive = alive_](const boost::system::error_code& stopped) {
    if (!stopped && *alive && (*alive)->running_) (*alive)->ask();
  });
}

void Client::ask() {
  askedAt_ = clock_.now();
  sources_.asked(source_);
  ++figures_.polls;
  ++call_;
  // Danger: with two machines silent at once a held call to the second would take the term of a change. What
  // is newer is answered at once, and no news is a word too.
  const Duration wait = afterFailure_ ? Duration{} : settings_.wait;
  const LongPollClient::Timeouts patience{wait + settings_.silence, settings_.silence, settings_.whole};
  watch_.call(settings_.endpoints[source_], pollTarget({gateway_, position_, wait}), patience);
}

void Client::onLongPollFailed() { sourceFailed(); }

void Client::sourceFailed() {
  sources_.failed(source_, clock_.now(), draw());
  figures_.sourceFailures = sources_.failures();
  afterFailure_ = true;
  watch_.stop();
  schedule(clock_.now());
}

void Client::onLongPollResponse(LongPollResponse&& answer) {
  if (answer.status == kUnavailable && answer.retryAfter > Duration{}) {
    sources_.busy(source_, clock_.now(), answer.retryAfter, draw());
    return schedule(clock_.now());
  }
  if (answer.status != kOk) return sourceFailed();
  boost::asio::post(
      worker_, [&io = io_, alive = alive_, shared = shared_, call = call_, body = std::move(answer.body)] {
        auto made = std::make_shared<Done>();
        made->call = call;
        try {
          made->result = shared->store.apply(parseUpdate(body));
        } catch (const std::exception& bad) {
          made->unreadable = bad.what();
        }
        made->position = shared->store.position();
        made->tenants = shared->store.tenants();
        boost::asio::post(io, [alive, made] {
          if (*alive) (*alive)->done(*made);
        });
      });
}

// Between two requests: all of a change is taken over before this returns.
void Client::done(const Done& made) {
  position_ = made.position;
  figures_.tenants = made.tenants;
  if (made.unreadable.empty() && made.result.verdict == Verdict::taken) {
    take_(made.result.terms);
    keepSoon();
  }
  note(made);
  // Danger: a client that was stopped and started meanwhile has asked anew; two polls would be out at once.
  if (!running_ || made.call != call_) return;
  const bool told = !made.result.problems.empty();  // the next poll says so: this version is not sent again
  const Verdict verdict = made.result.verdict;
  const bool good =
      verdict == Verdict::taken || verdict == Verdict::unchanged || verdict == Verdict::gap || told;
  if (!made.unreadable.empty() || !good) return sourceFailed();
  sources_.answered(source_);
  afterFailure_ = false;
  schedule(askedAt_ + settings_.pace);
}

void Client::keepSoon() {
  if (settings_.file.empty() || std::exchange(keepPending_, true)) return;
  keepTimer_.expires_at(clock_.steady(keepNext_));
  keepTimer_.async_wait([alive = alive_](const boost::system::error_code& stopped) {
    if (!stopped && *alive) (*alive)->keep();
  });
}

// Beside the loop, like all that takes as long as the set is large.
void Client::keep() {
  keepPending_ = false;
  keepNext_ = clock_.now() + kKeepEvery;
  boost::asio::post(worker_, [&io = io_, alive = alive_, shared = shared_] {
    const std::string wrong = shared->keep();
    if (wrong.empty()) return;
    boost::asio::post(io, [alive, wrong] {
      if (*alive) (*alive)->say_("configuration: " + wrong);
    });
  });
}

void Client::note(const Done& made) {
  if (!made.unreadable.empty())
    return say_("configuration: " + settings_.addresses[source_] + " answers what is " + made.unreadable);
  const std::string from = " from " + settings_.addresses[source_];
  switch (made.result.verdict) {
    case Verdict::taken:
      ++figures_.taken;
      figures_.inForce = made.position.version;
      figures_.refused.reset();
      return;
    case Verdict::refused:
    case Verdict::conflict:
      if (made.result.problems.empty()) return;
      ++(made.result.verdict == Verdict::refused ? figures_.turnedDown : figures_.conflicts);
      figures_.refused = made.position.turnedDown->version;
      return say_("configuration: " + describe(*figures_.refused) + from + " not taken, " +
                  describe(figures_.inForce) + " stays in force: " + made.position.turnedDown->reason);
    case Verdict::gap: ++figures_.gaps; return;
    case Verdict::behind: ++figures_.behind; return;
    case Verdict::unchanged: return;
  }
}

std::string Client::exposition() const {
  std::string text;
  const auto line = [&](const char* name, std::uint64_t value) {
    text += std::string("lb_configuration_") + name + " " + std::to_string(value) + "\n";
  };
  line("epoch", figures_.inForce.epoch);
  line("revision", figures_.inForce.revision);
  line("tenants", figures_.tenants);
  line("taken_total", figures_.taken);
  line("refused_total", figures_.turnedDown);
  line("conflicts_total", figures_.conflicts);
  line("gaps_total", figures_.gaps);
  line("behind_total", figures_.behind);
  line("polls_total", figures_.polls);
  line("source_failures_total", figures_.sourceFailures);
  return text;
}

std::string Client::summary() const {
  std::string line = "configuration in_force=" + describe(figures_.inForce) +
                     " tenants=" + std::to_string(figures_.tenants) +
                     " taken=" + std::to_string(figures_.taken) +
                     " refused=" + std::to_string(figures_.turnedDown);
  if (figures_.refused) line += " last_refused=" + describe(*figures_.refused);
  return line + " source_failures=" + std::to_string(figures_.sourceFailures);
}

}  // namespace finchstile::configuration
