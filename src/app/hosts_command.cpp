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

constexpr std::chrono::seconds kRequestTimeout(5);
constexpr std::size_t kMaxResponseBytes = 256u << 20;
constexpr unsigned kHttp11 = 11;

struct Options {
  std::string adminAddress;
  std::string host;  // empty: all hosts
};

struct FetchResult {
  error_code error;
  http::response<http::string_body> response;  // if there is no error
};

FetchResult fetchHosts(const Options& options) {
  const std::string target =
      options.host.empty() ? "/api/hosts" : "/api/hosts/" + percentEncoded(options.host);
  http::request<http::empty_body> request(http::verb::get, target, kHttp11);
  request.set(http::field::host, options.adminAddress);

  asio::io_context io;
  boost::beast::tcp_stream stream(io);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  error_code result = asio::error::timed_out;  // until a step fails or the last one succeeds
  const auto onRead = [&](error_code error, std::size_t /*size*/) { result = error; };
  const auto onWritten = [&](error_code error, std::size_t /*size*/) {
    result = error;
    if (!error) http::async_read(stream, buffer, parser, onRead);
  };
  const auto onConnected = [&](error_code error) {
    result = error;
    if (!error) http::async_write(stream, request, onWritten);
  };
  stream.expires_after(kRequestTimeout);
  stream.async_connect(readEndpoint(options.adminAddress), onConnected);
  io.run();
  return {result, parser.release()};
}

int printHosts(const Options& options) {
  const FetchResult fetched = fetchHosts(options);
  if (fetched.error) {
    std::fprintf(stderr, "finchstile: no response from the administration interface at %s: %s\n",
                 options.adminAddress.c_str(), fetched.error.message().c_str());
    return kExitFailed;
  }
  const bool isOk = fetched.response.result() == http::status::ok;
  std::fputs(fetched.response.body().c_str(), isOk ? stdout : stderr);
  return isOk ? 0 : kExitCheck;
}

}  // namespace

void addHostsCommand(CLI::App& app, std::function<int()>& selectedCommand) {
  auto options = std::make_shared<Options>();
  CLI::App* command =
      app.add_subcommand("hosts", "print the state of a running gateway's hosts, with sources and ages");
  command
      ->add_option("--ops", options->adminAddress,
                   "address of the gateway's administration interface, e.g. 127.0.0.1:9000")
      ->required();
  command->add_option("name", options->host, "name of a listed host; without it, all hosts");
  command->callback(
      [&selectedCommand, options] { selectedCommand = [options] { return printHosts(*options); }; });
}

}  // namespace finchstile
