// The way of a request through the gateway in named phases, and how a subsystem takes part in it without
// knowing the others. The gateway carries out; the module decides on hosts, attempts and refusals; a stage
// sees a request go by and may add to it within what each phase allows.
//
//   arrived     read, usable, its id not open; the module has not been asked. A stage may answer it here.
//   admitted    the module has chosen a host for it for the first time.
//   (held)      a stage may hold it in `arrived` instead: it then answers it, or has it admitted, through
//   StageHost. sent        an attempt is composed, right before its first byte. A stage may add headers for
//   the host. settled     an attempt has ended; known whether it may have run. answerHead  its one final
//   answer is known. A stage may add headers for the client. answerDone  the answer has been handed to the
//   client's connection. ended       nothing more goes out for it, and its record goes. Comes once for each
//   that arrived.
//
// Stages come in the order in which they were attached, in each phase. Where none asks for a phase, that
// phase costs one look at an empty list; where none is attached at all, nothing is allocated either.
#pragma once

#include <array>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/client.hpp"
#include "net/upstream.hpp"
#include "ridgeshift/ridgeshift.hpp"

namespace finchstile {

enum class RequestPhase : std::uint8_t { arrived, admitted, sent, settled, answerHead, answerDone, ended };
inline constexpr std::size_t kRequestPhases = 7;

constexpr std::uint8_t phaseBit(RequestPhase p) {
  return static_cast<std::uint8_t>(1u << static_cast<unsigned>(p));
}

enum class RequestEnd : std::uint8_t {
  served,    // with a host's answer
  refused,   // unsent or turned away: trying again is harmless
  failed,    // by the module or the host
  rejected,  // by a stage, before the module was asked
  left       // the client has gone
};

// What a stage keeps for one request, from the phase in which it was made to the end.
struct StageState {
  virtual ~StageState() = default;
};

// One request as stages see it. Views stay good until `ended` returns.
struct Exchange {
  ridgeshift::RequestId id = 0;
  std::shared_ptr<const ClientRequest> message;
  std::string_view className, tenant;  // tenant: empty if the settings name none such
  std::uint32_t classIndex = 0, tenantIndex = ridgeshift::kNone;  // into the settings
  ridgeshift::Effect effect{};
  Time deadline{};             // when its client stops waiting
  std::uint32_t attempts = 0;  // composed so far
  std::string_view zone;       // of the host that the present attempt goes to
  std::int64_t cell = 0;
  std::optional<ridgeshift::EarlierAttempt> earlier;  // set by a stage in `arrived`: the module goes by it
  // An attempt's last byte may have gone out, and nothing has proved that it was not begun. From then on
  // nothing may tell the client that trying again is harmless.
  bool mayHaveRun = false;
  // Set by the stage that holds it: nothing of it runs, nor of what it waits for. If its time is up it is
  // refused and not failed.
  bool heldUnrun = false;
  // Set by a stage in `arrived`: hosts of the own zone come first, as long as service there does not fall.
  bool homeFirst = false;
  std::uint64_t bodyLength = 0;  // of a body that is not whole, as its head tells it; 0: it does not
  // Else `message` has the beginning of a body that is too long to be held: the rest goes to a host as it
  // comes.
  bool whole = true;
  std::vector<HeaderLine> toHost;                   // for every attempt from now on
  std::vector<std::unique_ptr<StageState>> states;  // one for each stage, by its place
};

// The final answer as it stands in `answerHead`.
struct AnswerHead {
  unsigned status = 0;
  bool fromHost = false;                               // else the gateway's own
  const boost::beast::http::fields* fields = nullptr;  // of the host; null: there are none
  std::string_view contentType, body;
  bool whole = true;         // else `body` is the beginning of one that is too long to be held,
  std::uint64_t length = 0;  // of so many bytes, as its head tells it; 0: it does not
};

// What a stage makes of a request that has arrived: with neither it goes on.
struct Arrival {
  std::optional<Answer> answer;
  bool hold = false;  // it waits; the stage has it answered or admitted later, the gateway fails it in time
};

// What the gateway does for stages that hold requests. Carried out soon, not at once: may be called from
// within a phase. An id that is no longer open is passed over.
class StageHost {
 public:
  virtual ~StageHost() = default;
  virtual void answerHeld(ridgeshift::RequestId request, Answer&& answer) = 0;
  virtual void admitHeld(
      ridgeshift::RequestId request) = 0;  // the module is asked now, with Exchange::earlier
  // For one that was kept (see keepsWork): nobody waits for it any more.
  virtual void abandon(ridgeshift::RequestId request) = 0;
};

class Stage {
 public:
  virtual ~Stage() = default;
  virtual std::uint8_t phases() const = 0;  // phaseBit()s; asked for once, when attached

  // Danger: called while the gateway is in the midst of its own bookkeeping. None may call back into it.
  virtual Arrival onArrived(Exchange&) { return {}; }
  virtual void onAdmitted(Exchange&) {}
  virtual void onSent(Exchange&, UpstreamRequest&) {}
  virtual void onSettled(Exchange&, bool /*mayHaveRun*/) {}
  virtual void onAnswerHead(Exchange&, const AnswerHead&, std::vector<HeaderLine>& /*toClient*/) {}
  virtual void onAnswerDone(Exchange&) {}
  virtual void onEnded(Exchange&, RequestEnd) {}
  // Its client has gone. True: what runs goes on all the same, for others; `abandon` ends that.
  virtual bool keepsWork(Exchange&) { return false; }

 protected:
  // This stage's own place among the states of an exchange.
  std::unique_ptr<StageState>& state(Exchange& x) const { return x.states[place_]; }
  std::size_t place() const { return place_; }

 private:
  friend class StageChain;
  std::size_t place_ = 0;
};

// The stages of a gateway. Each must outlive it. One may be attached at any time but from within a phase.
class StageChain {
 public:
  void attach(Stage& stage) {
    stage.place_ = all_.size();
    all_.push_back(&stage);
    for (std::size_t p = 0; p < kRequestPhases; ++p)
      if (stage.phases() & (1u << p)) byPhase_[p].push_back(&stage);
  }
  bool empty() const { return all_.empty(); }
  std::size_t size() const { return all_.size(); }
  const std::vector<Stage*>& at(RequestPhase p) const { return byPhase_[static_cast<std::size_t>(p)]; }

  // The first stage that answers or holds it ends the phase.
  Arrival arrived(Exchange& x) const {
    for (Stage* s : at(RequestPhase::arrived))
      if (Arrival a = s->onArrived(x); a.answer || a.hold) return a;
    return {};
  }
  // Danger: a stage attached while the gateway serves has no place in what arrived before. It is told nothing
  // of it.

  void admitted(Exchange& x) const {
    for (Stage* s : at(RequestPhase::admitted))
      if (s->place_ < x.states.size()) s->onAdmitted(x);
  }
  void sent(Exchange& x, UpstreamRequest& to) const {
    for (Stage* s : at(RequestPhase::sent))
      if (s->place_ < x.states.size()) s->onSent(x, to);
  }
  void settled(Exchange& x, bool mayHaveRun) const {
    for (Stage* s : at(RequestPhase::settled))
      if (s->place_ < x.states.size()) s->onSettled(x, mayHaveRun);
  }
  bool keepsWork(Exchange& x) const {
    bool keeps = false;
    for (Stage* s : all_)
      if (s->place_ < x.states.size()) keeps |= s->keepsWork(x);
    return keeps;
  }
  void answerHead(Exchange& x, const AnswerHead& head, std::vector<HeaderLine>& toClient) const {
    for (Stage* s : at(RequestPhase::answerHead))
      if (s->place_ < x.states.size()) s->onAnswerHead(x, head, toClient);
  }
  void answerDone(Exchange& x) const {
    for (Stage* s : at(RequestPhase::answerDone))
      if (s->place_ < x.states.size()) s->onAnswerDone(x);
  }
  void ended(Exchange& x, RequestEnd end) const {
    for (Stage* s : at(RequestPhase::ended))
      if (s->place_ < x.states.size()) s->onEnded(x, end);
  }

 private:
  std::array<std::vector<Stage*>, kRequestPhases> byPhase_;
  std::vector<Stage*> all_;
};

}  // namespace finchstile
