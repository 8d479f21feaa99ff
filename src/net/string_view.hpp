// Conversion between Boost's string views and the standard ones.
#pragma once

#include <boost/beast/core/string.hpp>
#include <string_view>

namespace finchstile {

/// A standard view of the characters that `text` views; it stays valid as long as `text` does.
inline std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace finchstile
