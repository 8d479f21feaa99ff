// Loads the secret that all gateways share from a file.
#pragma once

#include <stdexcept>
#include <string>

#include "base/siphash.hpp"

namespace finchstile::peer {

// The message is one line that begins with the path.
class SecretError : public std::runtime_error {
 public:
  enum class Code {
    unreadable,           // the file cannot be opened
    insecurePermissions,  // group or other users have access to the file
    malformed,            // the content is not 32 hexadecimal digits, or cannot be read
  };
  SecretError(Code code, const std::string& message) : std::runtime_error(message), code_(code) {}
  Code code() const { return code_; }

 private:
  Code code_;
};

// Reads 32 hexadecimal digits, optionally followed by a newline. Throws SecretError.
SipKey loadSecret(const std::string& path);

}  // namespace finchstile::peer
