// The secret that all gateways share, from a file.
#pragma once

#include <stdexcept>
#include <string>

#include "base/siphash.hpp"

namespace finchstile::peer {

// The message is one line that begins with the path.
class SecretError : public std::runtime_error {
 public:
  enum class Code {
    unreadable,           // the system refuses to open or read the file
    insecurePermissions,  // users other than its owner may read or write it
    malformed,            // not 32 hexadecimal digits
  };
  SecretError(Code code, const std::string& message) : std::runtime_error(message), code_(code) {}
  Code code() const { return code_; }

 private:
  Code code_;
};

// Reads 32 hexadecimal digits, with or without a line end after them. Throws SecretError.
SipKey loadSecret(const std::string& path);

}  // namespace finchstile::peer
