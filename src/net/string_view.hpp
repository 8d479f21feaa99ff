// Conversion between Boost's string views and the standard ones.
#pragma once

#include <boost/beast/core/string.hpp>
#include <string_view>

namespace finchstile {

/// Returns a standard view of the characters of `text`, with the same lifetime.
inline std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace finchstile
