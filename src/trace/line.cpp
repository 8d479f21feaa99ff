#include "trace/line.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <map>
#include <optional>
#include <utility>

#include "base/percent.hpp"

namespace finchstile::trace {
namespace {

constexpr std::string_view kMark = "trace ";
constexpr std::size_t kLineMost = 16 * 1024;  // longer than any that is written

template <class E, std::size_t N>
using Names = std::array<std::pair<E, const char*>, N>;

constexpr Names<Outcome, 9> kOutcomes{{{Outcome::served, "served"},
                                       {Outcome::error, "error"},
                                       {Outcome::rejectedForCapacity, "full"},
                                       {Outcome::timeout, "timeout"},
                                       {Outcome::connectFailed, "connect_failed"},
                                       {Outcome::reset, "reset"},
                                       {Outcome::cancelled, "cancelled"},
                                       {Outcome::notSent, "moot"},
                                       {Outcome::invalidRequest, "rejected"}}};
constexpr Names<Why, 4> kWhys{
    {{Why::host, "host"}, {Why::limit, "limit"}, {Why::over, "over"}, {Why::again, "again"}}};
constexpr Names<Ran, 3> kRans{{{Ran::no, "no"}, {Ran::maybe, "maybe"}, {Ran::yes, "yes"}}};
constexpr Names<End, 5> kEnds{{{End::served, "served"},
                               {End::refused, "refused"},
                               {End::failed, "failed"},
                               {End::rejected, "rejected"},
                               {End::left, "left"}}};
constexpr Names<Idempotency, 3> kEffects{{{Idempotency::idempotent, "safe"},
                                          {Idempotency::idempotentWithKey, "keyed"},
                                          {Idempotency::nonIdempotent, "unsafe"}}};
constexpr Names<DeduplicationScope, 3> kGroups{{{DeduplicationScope::all, "all"},
                                                {DeduplicationScope::zone, "zone"},
                                                {DeduplicationScope::cell, "cell"}}};
constexpr Names<HostPhase, 3> kPhases{
    {{HostPhase::active, "in"}, {HostPhase::draining, "draining"}, {HostPhase::removed, "out"}}};

template <class E, std::size_t N>
const char* nameIn(const Names<E, N>& names, E value) {
  for (const auto& [e, text] : names)
    if (e == value) return text;
  return "unknown";
}

class Writer {
 public:
  Writer(std::string& to, std::string_view kind) : to_(to) { to_.append(kMark).append(kind); }
  Writer& raw(std::string_view key, std::string_view value) {
    to_.append(" ").append(key).append("=").append(value);
    return *this;
  }
  Writer& text(std::string_view key, std::string_view value) { return raw(key, percentEncoded(value)); }
  template <class Int>
  Writer& number(std::string_view key, Int value) {
    char digits[24];
    const auto end = std::to_chars(digits, digits + sizeof digits, value).ptr;
    return raw(key, std::string_view(digits, static_cast<std::size_t>(end - digits)));
  }

 private:
  std::string& to_;
};

// The fields of a line by their keys; the first that is missing or wrong is kept as its problem.
class Fields {
 public:
  explicit Fields(std::string_view text) {
    while (!text.empty()) {
      const std::size_t space = std::min(text.find(' '), text.size());
      const std::string_view field = text.substr(0, space);
      text.remove_prefix(std::min(space + 1, text.size()));
      const std::size_t equals = field.find('=');
      if (equals == std::string_view::npos) {
        if (!field.empty()) wrong(field, "is no key=value");
      } else if (!fields_.emplace(field.substr(0, equals), field.substr(equals + 1)).second) {
        wrong(field.substr(0, equals), "stands twice");
      }
    }
  }

  void text(std::string_view key, std::string& out) {
    const auto value = find(key);
    if (!value) return;
    auto decoded = percentDecoded(*value);
    if (decoded) out = std::move(*decoded);
    else wrong(key, "has a % with no two digits behind it");
  }
  template <class Int>
  void number(std::string_view key, Int& out, Int least) {
    const auto value = find(key);
    if (!value) return;
    Int read{};
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), read);
    if (error != std::errc{} || end != value->data() + value->size() || read < least)
      return wrong(key, "must be a whole number of " + std::to_string(least) + " or more");
    out = read;
  }
  template <class E, std::size_t N>
  void one(std::string_view key, const Names<E, N>& of, E& out) {
    const auto value = find(key);
    if (!value) return;
    std::string all;
    for (const auto& [e, text] : of) {
      if (text == *value) {
        out = e;
        return;
      }
      all.append(all.empty() ? "" : ", ").append(text);
    }
    wrong(key, "must be one of " + all);
  }
  const std::string& problem() const { return problem_; }

 private:
  std::optional<std::string_view> find(std::string_view key) {
    const auto it = fields_.find(key);
    if (it != fields_.end()) return it->second;
    wrong(key, "is missing");
    return std::nullopt;
  }
  void wrong(std::string_view key, const std::string& what) {
    if (problem_.empty()) problem_ = std::string(key) + " " + what;
  }

  std::map<std::string_view, std::string_view> fields_;
  std::string problem_;
};

Writer about(std::string& to, std::string_view kind, const About& a) {
  Writer w(to, kind);
  w.text("gw", a.gateway).text("id", a.id).text("class", a.className).raw("effect", name(a.effect));
  return w;
}

void write(std::string& to, const AttemptLine& a) {
  Writer w = about(to, "attempt", a);
  w.number("try", a.number).text("host", a.host).text("zone", a.zone).number("cell", a.cell);
  w.number("sent", a.sent).number("begun", a.begun).number("ended", a.ended);
  w.raw("outcome", name(a.outcome)).raw("why", name(a.why)).raw("ran", name(a.ran));
  w.number("word_ms", a.word).number("heard_ms", a.heard).number("up_ms", a.up);
  w.number("avoided", a.avoided ? 1 : 0);
  if (a.effect == Idempotency::idempotentWithKey)
    w.raw("group", nameIn(kGroups, a.group)).number("window_ms", a.window);
}
void write(std::string& to, const RequestLine& r) {
  Writer w = about(to, "request", r);
  w.number("came", r.came).number("ended", r.ended).number("left_ms", r.left).raw("end", name(r.end));
  w.number("status", r.status).number("attempts", r.attempts).number("cut", r.cut);
}
void write(std::string& to, const HostLine& h) {
  Writer(to, "host")
      .text("gw", h.gateway)
      .text("host", h.host)
      .number("at", h.at)
      .raw("phase", name(h.phase));
}
void write(std::string& to, const StartLine& s) {
  Writer(to, "start").text("gw", s.gateway).number("at", s.at);
}
void write(std::string& to, const StopLine& s) {
  Writer(to, "stop").text("gw", s.gateway).number("at", s.at).number("open", s.open);
}
void write(std::string& to, const GapLine& g) {
  Writer(to, "gap").text("gw", g.gateway).number("at", g.at).number("lines", g.lines);
}

constexpr std::int64_t kNoTime = 0;

void readAbout(Fields& f, About& a) {
  f.text("gw", a.gateway);
  f.text("id", a.id);
  f.text("class", a.className);
  f.one("effect", kEffects, a.effect);
}

// The lines that are about a process as a whole.
template <class Mark>
Mark readMark(Fields& f) {
  Mark m;
  f.text("gw", m.gateway);
  f.number("at", m.at, kNoTime);
  return m;
}

AttemptLine readAttempt(Fields& f) {
  AttemptLine a;
  readAbout(f, a);
  f.number("try", a.number, std::uint32_t{0});
  f.text("host", a.host);
  f.text("zone", a.zone);
  f.number("cell", a.cell, std::numeric_limits<std::int64_t>::min());
  f.number("sent", a.sent, kNoTime);
  f.number("begun", a.begun, kNoTime);
  f.number("ended", a.ended, kNoTime);
  f.one("outcome", kOutcomes, a.outcome);
  f.one("why", kWhys, a.why);
  f.one("ran", kRans, a.ran);
  f.number("word_ms", a.word, kNever);
  f.number("heard_ms", a.heard, kNever);
  f.number("up_ms", a.up, kNoTime);
  int avoided = 0;
  f.number("avoided", avoided, 0);
  a.avoided = avoided != 0;
  if (a.effect == Idempotency::idempotentWithKey) {
    f.one("group", kGroups, a.group);
    f.number("window_ms", a.window, kNoTime);
  }
  return a;
}

RequestLine readRequest(Fields& f) {
  RequestLine r;
  readAbout(f, r);
  f.number("came", r.came, kNoTime);
  f.number("ended", r.ended, kNoTime);
  f.number("left_ms", r.left, kNoTime);
  f.one("end", kEnds, r.end);
  f.number("status", r.status, std::uint32_t{0});
  f.number("attempts", r.attempts, std::uint32_t{0});
  f.number("cut", r.cut, std::uint32_t{0});
  return r;
}

}  // namespace

const char* name(Outcome outcome) { return nameIn(kOutcomes, outcome); }
const char* name(Why why) { return nameIn(kWhys, why); }
const char* name(Ran ran) { return nameIn(kRans, ran); }
const char* name(End end) { return nameIn(kEnds, end); }
const char* name(Idempotency effect) { return nameIn(kEffects, effect); }
const char* name(HostPhase phase) { return nameIn(kPhases, phase); }

void append(std::string& to, const Line& line) {
  std::visit([&](const auto& l) { write(to, l); }, line);
  to += '\n';
}

Parsed parse(std::string_view text) {
  Parsed out;
  if (text.substr(0, kMark.size()) != kMark) return out;
  out.kind = Parsed::Kind::bad;
  if (text.size() > kLineMost) return out.problem = "longer than 16 KiB", out;
  text.remove_prefix(kMark.size());
  const std::size_t space = std::min(text.find(' '), text.size());
  const std::string_view kind = text.substr(0, space);
  text.remove_prefix(std::min(space + 1, text.size()));
  Fields f(text);
  if (kind == "attempt") {
    out.line = readAttempt(f);
  } else if (kind == "request") {
    out.line = readRequest(f);
  } else if (kind == "host") {
    HostLine h;
    f.text("gw", h.gateway);
    f.text("host", h.host);
    f.number("at", h.at, kNoTime);
    f.one("phase", kPhases, h.phase);
    out.line = h;
  } else if (kind == "start") {
    out.line = readMark<StartLine>(f);
  } else if (kind == "stop") {
    auto s = readMark<StopLine>(f);
    f.number("open", s.open, std::uint64_t{0});
    out.line = s;
  } else if (kind == "gap") {
    auto g = readMark<GapLine>(f);
    f.number("lines", g.lines, std::uint64_t{0});
    out.line = g;
  } else {
    out.problem = "'" + std::string(kind) + "' is none of attempt, request, host, start, stop, gap";
    return out;
  }
  out.problem = f.problem();
  if (out.problem.empty()) out.kind = Parsed::Kind::line;
  return out;
}

std::int64_t timeOf(const Line& line) {
  struct {
    std::int64_t operator()(const AttemptLine& a) const { return a.ended; }
    std::int64_t operator()(const RequestLine& r) const { return r.ended; }
    std::int64_t operator()(const HostLine& h) const { return h.at; }
    std::int64_t operator()(const StartLine& s) const { return s.at; }
    std::int64_t operator()(const StopLine& s) const { return s.at; }
    std::int64_t operator()(const GapLine& g) const { return g.at; }
  } when;
  return std::visit(when, line);
}

const std::string& gatewayOf(const Line& line) {
  return std::visit([](const auto& l) -> const std::string& { return l.gateway; }, line);
}

}  // namespace finchstile::trace
