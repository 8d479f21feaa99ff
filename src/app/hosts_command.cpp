#include "app/hosts_command.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <memory>
#include <string>

#include "app/commands.hpp"
#include "base/percent.hpp"
#include "net/config.hpp"

namespace finchstile {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::chrono::seconds kPatience(5);
constexpr std::size_t kTextMost = 256u << 20;

struct Options {
  std::string ops, host;
};

int hosts(const Options& o) {
  const tcp::endpoint at = readEndpoint(o.ops);
  asio::io_context io;
  boost::beast::tcp_stream stream(io);
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request(
      http::verb::get, "/api/hosts" + (o.host.empty() ? "" : "/" + percentEncoded(o.host)), 11);
  request.set(http::field::host, o.ops);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kTextMost);
  error_code failed = asio::error::timed_out;
  stream.expires_after(kPatience);
  stream.async_connect(at, [&](error_code error) {
    if (error) return void(failed = error);
    http::async_write(stream, request, [&](error_code unsent, std::size_t) {
      if (unsent) return void(failed = unsent);
      http::async_read(stream, buffer, parser, [&](error_code unread, std::size_t) { failed = unread; });
    });
  });
  io.run();
  if (failed) {
    std::fprintf(stderr, "finchstile: %s does not answer: %s\n", o.ops.c_str(), failed.message().c_str());
    return kExitFailed;
  }
  const auto& answer = parser.get();
  const bool good = answer.result() == http::status::ok;
  std::fputs(answer.body().c_str(), good ? stdout : stderr);
  return good ? 0 : kExitCheck;
}

}  // namespace

void addHostsCommand(CLI::App& app, std::function<int()>& chosen) {
  auto o = std::make_shared<Options>();
  CLI::App* command =
      app.add_subcommand("hosts", "what a running gateway knows of its hosts, with sources and ages");
  command->add_option("--ops", o->ops, "the gateway's operators' address, as 127.0.0.1:9000")->required();
  command->add_option("name", o->host, "one host, by its name in the list; else all");
  command->callback([&chosen, o] { chosen = [o] { return hosts(*o); }; });
}

}  // namespace finchstile
