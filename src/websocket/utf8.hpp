// UTF-8 (RFC 3629) as it comes, a byte at a time: no overlong forms, no surrogates, nothing beyond U+10FFFF.
#pragma once

#include <cstdint>

namespace finchstile::websocket {

class Utf8 {
 public:
  // False: with this byte it is no UTF-8 any more.
  bool take(unsigned char c) {
    if (left_ == 0) {
      if (c < 0x80) return true;
      low_ = 0x80;
      high_ = 0xbf;
      if (c >= 0xc2 && c <= 0xdf) left_ = 1;
      else if (c >= 0xe0 && c <= 0xef) left_ = 2;
      else if (c >= 0xf0 && c <= 0xf4) left_ = 3;
      else return false;
      if (c == 0xe0) low_ = 0xa0;
      if (c == 0xed) high_ = 0x9f;
      if (c == 0xf0) low_ = 0x90;
      if (c == 0xf4) high_ = 0x8f;
      return true;
    }
    if (c < low_ || c > high_) return false;
    low_ = 0x80;
    high_ = 0xbf;
    --left_;
    return true;
  }
  bool whole() const { return left_ == 0; }  // no character is cut off
  void restart() { left_ = 0; }

 private:
  std::uint8_t left_ = 0, low_ = 0x80, high_ = 0xbf;
};

}  // namespace finchstile::websocket
