// The last good version on disk: written beside and renamed, so that a crash leaves the old one or the new
// one.
#pragma once

#include <optional>
#include <string>

namespace finchstile::configuration {

// Throws std::runtime_error with one line. What stood there before stays then.
void writeWhole(const std::string& path, const std::string& text);
// None: there is no such file. Throws std::runtime_error if there is one that can't be read, or is too large
// to be one of ours.
std::optional<std::string> readWhole(const std::string& path);

}  // namespace finchstile::configuration
