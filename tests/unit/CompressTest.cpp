// Compression of messages between daemons.
#include "masticdrift/core/Compress.h"

#include <criterion/criterion.h>

using namespace masticdrift;

Test(Compress, theTextIsRestored) {
  std::string Text;
  for (int I = 0; I < 5000; ++I)
    Text += R"({"name":"queue-)" + std::to_string(I) + R"(","priority":0})";
  const std::string Compressed = core::compress(Text);
  cr_expect_lt(Compressed.size(), Text.size() / 4);
  cr_expect_eq(*core::decompress(Compressed, Text.size()), Text);
  cr_expect_eq(*core::decompress(core::compress(""), 0), "");
}

// Guards against a damaged message that is taken for a configuration.
Test(Compress, damagedBytesAreRejected) {
  const std::string Text(1000, 'x');
  const std::string Compressed = core::compress(Text);
  cr_expect_not(core::decompress(Compressed, Text.size() - 1).has_value());
  cr_expect_not(core::decompress(Compressed, Text.size() + 1).has_value());
  cr_expect_not(core::decompress(Compressed.substr(0, Compressed.size() / 2), 1000).has_value());
  cr_expect_not(core::decompress("no zlib data", 1000).has_value());
}
