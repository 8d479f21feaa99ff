#include "idempotency/record.hpp"

#include "base/fields.hpp"

namespace finchstile::idempotency {
namespace {

enum Kind : std::uint8_t { session = 1, began, sent, neverRan, ended };

FieldWriter& put(FieldWriter& w, const Earlier& e) {
  return w.text(e.zone).number(e.cell).number(static_cast<std::int64_t>(e.sentAt.count()));
}
std::int64_t ns(Time t) { return t.count(); }
Time readTime(FieldReader& r) { return Time(r.number<std::int64_t>()); }
Earlier readEarlier(FieldReader& r) {
  Earlier e;
  e.zone = r.text();
  e.cell = r.number<std::int64_t>();
  e.sentAt = readTime(r);
  return e;
}

struct Encoder {
  std::string operator()(const Session& s) const {
    return FieldWriter(session)
        .number(Session::kVersion)
        .number(s.seed.a)
        .number(s.seed.b)
        .text(s.base.boot)
        .number(s.base.zeroSteady)
        .number(s.base.zeroUnix)
        .take();
  }
  std::string operator()(const Began& b) const {
    FieldWriter w(began);
    w.number(b.run).number(ns(b.at)).number(b.fingerprint.high).number(b.fingerprint.low);
    w.text(b.tenant).text(b.className).text(b.key).number(static_cast<std::uint8_t>(b.earlier ? 1 : 0));
    if (b.earlier) put(w, *b.earlier);
    return w.take();
  }
  std::string operator()(const Sent& s) const {
    FieldWriter w(sent);
    w.number(s.run);
    return put(w, s.where).take();
  }
  std::string operator()(const NeverRan& n) const { return FieldWriter(neverRan).number(n.run).take(); }
  std::string operator()(const Ended& e) const {
    FieldWriter w(ended);
    w.number(e.run).number(ns(e.at)).number(static_cast<std::uint8_t>(e.to));
    if (e.to == State::answered)
      w.number(static_cast<std::uint16_t>(e.answer.status))
          .text(e.answer.contentType)
          .text<std::uint32_t>(e.answer.body);
    return w.take();
  }
};

}  // namespace

std::string encode(const Record& record) { return std::visit(Encoder{}, record); }

std::optional<Record> decode(std::string_view bytes) {
  FieldReader r(bytes);
  Record out;
  switch (r.number<std::uint8_t>()) {
    case session: {
      Session s;
      r.within(r.number<std::uint8_t>() == Session::kVersion);
      s.seed.a = r.number<std::uint64_t>();
      s.seed.b = r.number<std::uint64_t>();
      s.base.boot = r.text();
      s.base.zeroSteady = r.number<std::int64_t>();
      s.base.zeroUnix = r.number<std::int64_t>();
      out = std::move(s);
      break;
    }
    case began: {
      Began b;
      b.run = r.number<std::uint64_t>();
      b.at = readTime(r);
      b.fingerprint.high = r.number<std::uint64_t>();
      b.fingerprint.low = r.number<std::uint64_t>();
      b.tenant = r.text();
      b.className = r.text();
      b.key = r.text();
      const auto has = r.number<std::uint8_t>();
      r.within(has <= 1);
      if (has == 1) b.earlier = readEarlier(r);
      out = std::move(b);
      break;
    }
    case sent: {
      Sent s;
      s.run = r.number<std::uint64_t>();
      s.where = readEarlier(r);
      out = std::move(s);
      break;
    }
    case neverRan: out = NeverRan{r.number<std::uint64_t>()}; break;
    case ended: {
      Ended e;
      e.run = r.number<std::uint64_t>();
      e.at = readTime(r);
      const auto to = r.number<std::uint8_t>();
      e.to = static_cast<State>(to);
      r.within(to <= static_cast<std::uint8_t>(State::uncertain) && e.to != State::running);
      if (e.to == State::answered) {
        e.answer.status = r.number<std::uint16_t>();
        r.within(e.answer.status >= 100 && e.answer.status <= 999);
        e.answer.contentType = r.text();
        e.answer.body = r.text<std::uint32_t>();
      }
      out = std::move(e);
      break;
    }
    default: return std::nullopt;
  }
  if (!r.whole()) return std::nullopt;
  return out;
}

}  // namespace finchstile::idempotency
