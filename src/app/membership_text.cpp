// What is known of hosts, as people and scrapers read it.
#include <cmath>
#include <cstdarg>
#include <cstdio>

#include "app/membership_service.hpp"

namespace finchstile {
namespace {

using load_balancing::HostPhase;

const char* nameOf(HostPhase p) {
  return p == HostPhase::active ? "in" : p == HostPhase::draining ? "draining" : "out";
}

std::string ago(Duration age) {
  const double ms = std::chrono::duration<double, std::milli>(age).count();
  char text[32];
  if (ms < 1000) std::snprintf(text, sizeof text, "%.0fms", ms);
  else if (ms < 120'000) std::snprintf(text, sizeof text, "%.1fs", ms / 1000);
  else std::snprintf(text, sizeof text, "%.0fm", ms / 60'000);
  return text;
}

std::string number(double v) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3g", v);
  return text;
}

using Figure = std::pair<const char*, std::uint64_t>;

}  // namespace

std::string MembershipService::line(const Gateway::HostView& h) const {
  const Time now = clock_.now();
  const std::string& name = h.listed.address;
  std::string out = name + " at=" + h.endpoint.address().to_string() + ":" +
                    std::to_string(h.endpoint.port()) + " zone=" + h.listed.zone +
                    " kind=" + h.listed.machineType + " now=" + nameOf(h.phaseInForce) + "\n";
  const auto fact = [&](const std::string& text) { out += "  " + text + "\n"; };
  const auto* facts = view_.find(name);
  fact(std::string("list: ") + nameOf(h.listed.phase) +
       (facts ? " version " + std::to_string(facts->listed.version) : "") +
       (h.listed.startedAt == Time{} ? ", up long" : ", up " + ago(now - h.listed.startedAt)));
  if (const auto why = policy_.reason(name); !why.empty()) fact("list in doubt: " + std::string(why));
  fact(h.lastResponseAt == Time{} ? "own: no answer yet"
                                  : "own: answered " + ago(now - h.lastResponseAt) + " ago");
  if (h.avoided) fact("own: avoided by choice");
  if (h.streams > 0) fact("own: streams " + std::to_string(h.streams));
  if (const auto load = view_.load(name, now); facts && facts->load) {
    std::string text = "report:";
    const auto& r = load.report;
    if (!std::isnan(r.queue)) text += " queue " + number(r.queue);
    if (!std::isnan(r.inflight)) text += " inflight " + number(r.inflight);
    if (!std::isnan(r.latencyMs)) text += " latency " + number(r.latencyMs) + "ms";
    fact(text + ", " + ago(load.age) + " ago, worth " + number(load.confidence));
  }
  if (facts && facts->heard)
    fact(std::string("peer: ") + nameOf(facts->heard->phase) + " version " +
         std::to_string(facts->heard->version) + ", " + ago(now - facts->heard->observed) + " ago" +
         (facts->heard->version <= facts->listed.version ? ", our list is as new" : ""));
  const auto key = keys_.find(name);
  if (gossip_ && key != keys_.end() && gossip_->silentByOthers(key->second, now)) fact("peers: silent");
  if (warm_ && key != keys_.end())
    for (const auto& s : warm_->said(key->second, now))
      if (s.weight > 0)
        fact("gateway " + std::to_string(s.from) + " at our start: pace " + number(s.told.pace) + ", " +
             ago(s.age) + " ago, weight " + number(s.weight));
  return out;
}

std::optional<std::string> MembershipService::text(const std::string& host) const {
  std::string out;
  const auto all = gateway_.hosts();
  if (host.empty()) {
    const Time at = policy_.listAt();
    out = "list version " + std::to_string(policy_.version()) +
          (at == Time{} ? ", as started with" : ", taken " + ago(clock_.now() - at) + " ago") +
          (policy_.doubting() ? ", what it leaves out in doubt" : "") + ", hosts " +
          std::to_string(all.size()) + "\n";
  }
  bool any = false;
  for (const Gateway::HostView& h : all)
    if (host.empty() || h.listed.address == host) {
      out += line(h);
      any = true;
    }
  if (!host.empty() && !any) return std::nullopt;
  return out;
}

std::string MembershipService::summary() const {
  const auto& l = policy_.counts();
  std::string out = "membership lists=" + std::to_string(l.lists);
  for (const Figure& f : {Figure{"older", l.older},
                          {"doubted", l.doubted},
                          {"confirmed", l.confirmed},
                          {"withdrawn", l.withdrawn},
                          {"lapsed", l.lapsed},
                          {"twice", l.twice},
                          {"shared", l.shared},
                          {"flapping", l.flapping},
                          {"lost", l.lost}})
    out += " " + std::string(f.first) + "=" + std::to_string(f.second);
  if (gossip_) {
    const auto& g = gossip_->counts();
    for (const Figure& f : {Figure{"told", g.sent},
                            {"heard", g.received},
                            {"convinced", g.convinced},
                            {"contradicted", g.contradicted},
                            {"claims", g.claims},
                            {"lapsed_claims", g.lapsed},
                            {"unheard", g.unheard}})
      out += " " + std::string(f.first) + "=" + std::to_string(f.second);
  }
  return out;
}

std::string MembershipService::exposition() const {
  std::string out;
  const auto family = [&](const char* name, const char* type, const char* label,
                          std::initializer_list<Figure> figures) {
    out += std::string("# TYPE lb_") + name + " " + type + "\n";
    for (const Figure& f : figures) {
      out += std::string("lb_") + name;
      if (label) out += std::string("{") + label + "=\"" + f.first + "\"}";
      out += " " + std::to_string(f.second) + "\n";
    }
  };
  const auto& l = policy_.counts();
  family("lists_total", "counter", "what",
         {{"taken", l.lists},
          {"older", l.older},
          {"renumbered", l.renumbered},
          {"doubted", l.doubted},
          {"confirmed", l.confirmed},
          {"withdrawn", l.withdrawn},
          {"lapsed", l.lapsed},
          {"lost", l.lost}});
  family("list_hosts_total", "counter", "what",
         {{"twice", l.twice}, {"shared", l.shared}, {"flapping", l.flapping}, {"dropped", l.dropped}});
  const Time at = policy_.listAt();
  family(
      "list_age_seconds", "gauge", nullptr,
      {{"", at == Time{} ? 0 : static_cast<std::uint64_t>((clock_.now() - at) / std::chrono::seconds(1))}});
  if (gossip_) {
    const auto& g = gossip_->counts();
    family("gossip_total", "counter", "what",
           {{"sent", g.sent},
            {"bytes", g.bytes},
            {"received", g.received},
            {"malformed", g.malformed},
            {"convinced", g.convinced},
            {"contradicted", g.contradicted},
            {"claims", g.claims},
            {"borne", g.borne},
            {"lapsed", g.lapsed},
            {"unheard", g.unheard},
            {"over_share", g.overShare},
            {"dropped", g.dropped}});
    family("gossip_silent", "gauge", nullptr, {{"", gossip_->heldSilent()}});
    family("snapshots_total", "counter", "what",
           {{"answered", server_.answered()}, {"refused", server_.refused()}});
  }
  if (warm_) {
    const auto& w = warm_->counts();
    family("warm_start_total", "counter", "what",
           {{"asked", w.asked},
            {"chunks", w.chunks},
            {"complete", w.complete},
            {"silent", w.silent},
            {"young", w.young},
            {"malformed", w.malformed}});
  }
  return out;
}

}  // namespace finchstile
