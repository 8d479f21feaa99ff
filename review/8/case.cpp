// A host writes a long answer in chunks, slowly. See claim.txt.
#include "../support-2/stand_ins.hpp"

using namespace review;

namespace {

constexpr std::size_t kAnswerBytes = 96000;  // over 64 KiB
constexpr std::size_t kPieceBytes = 4000;
constexpr int kPauseMs = 62;  // 64 kB a second
constexpr int kRequests = 6;
constexpr int kTimeLeftMs = 2000;

bool writeInChunks(Connection& c, const std::string& path, bool slowly) {
  if (!c.write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (std::size_t done = 0; done < kAnswerBytes; done += kPieceBytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", kPieceBytes);
    if (!c.write(size + std::string(kPieceBytes, 'p') + "\r\n")) {
      RECORD("host: the connection of %s was ended after %zu bytes", path.c_str(), done);
      return false;
    }
    if (slowly) sleepMs(kPauseMs);
  }
  const bool whole = c.write("0\r\n\r\n");
  RECORD("host: %s answered, %s", path.c_str(), whole ? "whole" : "cut off");
  return whole;
}

}  // namespace

int main(int argc, char** argv) {
  const Test test(argc, argv, 60);
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<const Host*> listed;
  for (int i = 0; i < 4; ++i) {
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i), i < 2 ? "brasov" : "cluj",
                                           [&](const Message& request, Connection& c) {
                                             RECORD("host: runs %s", request.path().c_str());
                                             return writeInChunks(c, request.path(), test.trouble);
                                           }));
    listed.push_back(hosts.back().get());
  }
  const Discovery discovery(listed);
  const TemporaryFolder folder;
  GatewayConfig config;
  config.listen = freePort();
  config.discovery = discovery.port();
  config.known = discovery.list();
  Process gateway({test.root,
                   runCommand(test.root),
                   folder.folder("tmp"),
                   folder / "log",
                   {{"LB_CONFIG", folder.write("config.json", configurationText(config))}},
                   -1});
  if (!awaitReady(config.listen, 10)) finish(kCouldNotRun);

  int cut = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto connection = Connection::to(config.listen);
    if (!connection) finish(kCouldNotRun);
    const std::string path = "/stock-out/" + std::to_string(i);
    connection->write("POST " + path + " HTTP/1.1\r\nHost: gateway\r\nX-Correlation-Id: " + newId() +
                      "\r\nX-Time-Left-Ms: " + std::to_string(kTimeLeftMs) +
                      "\r\nContent-Length: 4\r\n\r\n1 m3");
    const double sentAt = secondsNow();
    const auto reply = connection->readMessage(8000);
    const bool whole = reply && reply->status() == 200 && reply->whole && reply->body.size() == kAnswerBytes;
    RECORD("client: %s: status %d, %zu of %zu bytes, %s, after %.2f s", path.c_str(),
           reply ? reply->status() : 0, reply ? reply->body.size() : 0, kAnswerBytes,
           whole ? "whole" : "not whole", secondsNow() - sentAt);
    cut += !whole;
  }
  if (gateway.exitStatus()) RECORD("the gateway has ended");
  RECORD("answers cut off: %d of %d", cut, kRequests);
  finish(cut > 0 ? kBroken : kHeld);
}
