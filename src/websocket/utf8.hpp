// Incremental UTF-8 validator (RFC 3629): rejects overlong forms, surrogates and code points above U+10FFFF.
#pragma once

#include <cstdint>

namespace finchstile::websocket {

class Utf8 {
 public:
  // False if this byte makes the text invalid.
  bool accept(unsigned char c) {
    if (continuationsLeft_ == 0) {
      if (c < 0x80) return true;
      low_ = 0x80;
      high_ = 0xbf;
      if (c >= 0xc2 && c <= 0xdf) continuationsLeft_ = 1;
      else if (c >= 0xe0 && c <= 0xef) continuationsLeft_ = 2;
      else if (c >= 0xf0 && c <= 0xf4) continuationsLeft_ = 3;
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
    --continuationsLeft_;
    return true;
  }
  bool isComplete() const { return continuationsLeft_ == 0; }  // no character is incomplete
  void restart() { continuationsLeft_ = 0; }

 private:
  std::uint8_t continuationsLeft_ = 0, low_ = 0x80, high_ = 0xbf;
};

}  // namespace finchstile::websocket
