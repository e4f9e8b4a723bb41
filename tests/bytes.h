// Conversion between bytes and hexadecimal text.
#pragma once

#include <string>
#include <string_view>

namespace heathflow::test {

inline std::string fromHex(std::string_view text) {
  std::string digits;
  for (const char c : text) {
    if (c != ' ' && c != '\n') digits.push_back(c);
  }
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

inline std::string toHex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    text.push_back(kDigits[static_cast<unsigned char>(c) >> 4]);
    text.push_back(kDigits[static_cast<unsigned char>(c) & 15]);
  }
  return text;
}

}  // namespace heathflow::test
