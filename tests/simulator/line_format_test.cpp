// The simulator's protocol byte by byte: a conversation with every kind of event, and the exact reply of the
// first version with this protocol.
#include <gtest/gtest.h>

#include <sstream>
#include <string>

#include "simulator/adapter.hpp"

namespace finchstile::load_balancing::simulator {
namespace {

constexpr const char* kEvents =
    R"(FRAME tNs=1000000000
LEDGER buffer=0 rowsIn=1
ROW host=10.0.0.1:80 locality=north machine=std block=7 phase=IN capacityHint=1
ENLIST i=g0 rngSeed=5192284302740068 ceilings.cancel=true ceilings.maxAttempts=3)"
    R"( ceilings.retryAfter=true ceilings.maxRetryAfterNs=900000000 grades.0.name=plan)"
    R"( grades.0.aimNs=600000000 grades.0.giveUpNs=1200000000 grades.0.effect=retryable)"
    R"( grades.0.group=all grades.0.points=12.0 grades.1.name=book grades.1.aimNs=400000000)"
    R"( grades.1.giveUpNs=1000000000 grades.1.effect=fragile grades.1.points=0 groupSize=1)"
    R"( registryMode=ask rules.askWithinNs=10000000000 stepNs=5000000 zone=north
MEMBERSHIP i=g0 generation=1 buffer=0 kind=restored
EOF_BATCH
FRAME tNs=1005000000
REQ i=g0 ref=a-1 leftNs=1000000000 tierClass=plan
REQ i=g0 ref=b-1 leftNs=1000000000 tierClass=book
EOF_BATCH
FRAME tNs=1055000000
SETTLED i=g0 ref=b-1 go=0 host=10.0.0.1:80 disposition=60 timeTakenNs=50000000 terminal=0
SETTLED i=g0 ref=a-1 go=0 host=10.0.0.1:80 disposition=30 timeTakenNs=50000000 terminal=0
REQ i=g0 ref=c-1 leftNs=1000000000 tierClass=plan
LEFT i=g0 ref=c-1
MEMBERSHIP i=g0 kind=unavailable buffer=-
EOF_BATCH
FRAME tNs=1100000000
LEDGER buffer=1 rowsIn=1
ROW host=10.0.0.1:80 locality=north machine=std block=7 phase=OUT
MEMBERSHIP i=g0 generation=2 buffer=1 kind=update
REQ i=g0 ref=d-1 leftNs=1000000000 tierClass=plan
EOF_BATCH
FRAME tNs=1200000000
TIMEOUT_FIRED i=g0
EOF_BATCH
FRAME tNs=1300000000
LEDGER buffer=2 rowsIn=2
ROW host=10.0.0.1:80 locality=north machine=std block=0 phase=IN
ROW host=10.0.0.2:80 locality=north machine=std block=0 phase=IN upSinceNs=1
ENLIST i=g1 rngSeed=7 grades.0.name=plan grades.0.aimNs=600000000 grades.0.giveUpNs=1200000000)"
    R"( grades.0.effect=retryable groupSize=400 ceilings.probes=true)"
    R"( report.fields=utilization,outstanding stepNs=5000000
ENLIST i=g2 rngSeed=7 grades.0.name=plan grades.0.aimNs=600000000 grades.0.giveUpNs=1200000000)"
    R"( grades.0.effect=retryable groupSize=400 ceilings.peers=true stepNs=5000000 myNumber=5
MEMBERSHIP i=g1 generation=1 buffer=2 kind=replace
MEMBERSHIP i=g2 generation=1 buffer=2 kind=replace
REQ i=g1 ref=p-1 leftNs=1000000000 tierClass=plan routeKey=91f03b7c55d20a64
REQ i=g2 ref=q-1 leftNs=1000000000 tierClass=plan costNs=5000
EOF_BATCH
)";

constexpr const char* kReply = R"(SUBSCRIBE i=g0 active=1
WAKE_AT i=g0 alarmTimeNs=1100000000 ref=w
OK
FORWARD i=g0 ref=a-1 host=10.0.0.1:80 withinNs=590000000
FORWARD i=g0 ref=b-1 host=10.0.0.1:80 withinNs=390000000
OK
RESPOND_ERROR i=g0 ref=b-1
FORWARD i=g0 ref=a-1 host=10.0.0.1:80 withinNs=540000000
FORWARD i=g0 ref=c-1 host=10.0.0.1:80 withinNs=590000000
ABORT_ATTEMPT i=g0 ref=c-1 go=0
OK
WAKE_AT i=g0 alarmTimeNs=1100000001 ref=w
TURN_AWAY i=g0 ref=d-1
OK
SUBSCRIBE i=g0 active=1
WAKE_AT i=g0 alarmTimeNs=1300000000 ref=w
OK
WAKE_AT i=g1 alarmTimeNs=1400000000 ref=w
ASK_LOAD i=g1 host=10.0.0.2:80
ASK_LOAD i=g1 host=10.0.0.1:80
ASK_LOAD i=g1 host=10.0.0.1:80
WAKE_AT i=g1 alarmTimeNs=1360000000 ref=w
WAKE_AT i=g2 alarmTimeNs=1400000000 ref=w
SAY i=g2 to=179 octets=11c66cf61e0000000001000000
WAKE_AT i=g2 alarmTimeNs=1360000000 ref=w
OK
)";

TEST(SimulatorLineFormat, ReplyToRecordedConversationIsUnchanged) {
  std::ostringstream diagnostics;
  Adapter adapter(diagnostics);
  std::string reply;
  std::istringstream events(kEvents);
  for (std::string line; std::getline(events, line);) adapter.feed(line, reply);
  EXPECT_EQ(reply, kReply);
  EXPECT_EQ(diagnostics.str(), "");
}

}  // namespace
}  // namespace finchstile::load_balancing::simulator
