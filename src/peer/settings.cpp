#include "peer/settings.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <stdexcept>
#include <unordered_map>

#include "base/address.hpp"
#include "base/descriptor.hpp"

namespace finchstile::peer {

std::optional<udp::endpoint> parseEndpoint(const std::string& text) {
  const auto at = parseListenAddress(text);
  if (!at) return std::nullopt;
  return udp::endpoint(at->first, at->second);
}

void readPeerSettings(SettingReader& root, const std::string& folder, PeerSettings& out) {
  root.table("peers", [&](SettingReader& r) {
    r.boolean("enabled", out.enabled);
    r.require("addresses",
              "where each gateway hears the others, as in [\"10.0.0.4:7946\", \"10.0.0.5:7946\"]");
    r.require("own", "the one of addresses that is this gateway's");
    r.require("secret_file", "32 hexadecimal digits that all gateways share, readable by their user alone");
    std::vector<std::string> texts;
    std::string own, listen;
    std::unordered_map<std::string, int> times;
    if (r.texts("addresses", texts, 4096, 64))
      for (const std::string& text : texts) {
        const auto a = parseEndpoint(text);
        if (!a) r.error("addresses", "must be IP:PORT, and one is \"" + text + "\"");
        if (++times[text] == 2) r.error("addresses", "must differ, and \"" + text + "\" stands there twice");
        out.addresses.push_back(a.value_or(udp::endpoint{}));
      }
    if (r.text("own", own, 64)) {
      const auto at = std::find(texts.begin(), texts.end(), own);
      if (at == texts.end()) r.error("own", "must be one of addresses, and is \"" + own + "\"");
      else out.own = static_cast<std::uint16_t>(at - texts.begin()), out.listen = out.addresses[out.own];
    }
    if (r.text("listen", listen, 64)) {
      const auto a = parseEndpoint(listen);
      if (a) out.listen = *a;
      else r.error("listen", "must be IP:PORT, and is \"" + listen + "\"");
    }
    if (r.text("secret_file", out.secretFile, 1024)) out.secretFile = resolvePath(folder, out.secretFile);
  });
}

SipKey loadSecret(const std::string& path) {
  const auto fail = [&](const std::string& what) { throw std::runtime_error(path + ": " + what); };
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat is {};
  if (file.get() < 0 || ::fstat(file.get(), &is) != 0) fail(std::strerror(errno));
  if ((is.st_mode & 077) != 0) fail("others may read or write it: it must be of mode 0600 or 0400");
  char text[34] = {};
  const ssize_t n = ::read(file.get(), text, sizeof text);
  std::string_view digits(text, n < 0 ? 0 : static_cast<std::size_t>(n));
  if (digits.size() == 33 && digits.back() == '\n') digits.remove_suffix(1);
  SipKey key;
  const auto half = [&](std::size_t at, std::uint64_t& out) {
    const auto [last, error] = std::from_chars(digits.data() + at, digits.data() + at + 16, out, 16);
    return error == std::errc() && last == digits.data() + at + 16;
  };
  if (digits.size() != 32 || !half(0, key.a) || !half(16, key.b))
    fail("must be 32 hexadecimal digits and nothing else");
  return key;
}

}  // namespace finchstile::peer
