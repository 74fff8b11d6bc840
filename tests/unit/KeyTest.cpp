#include "masticdrift/config/Key.h"

#include <set>

#include <criterion/criterion.h>

using namespace masticdrift;

Test(KeyNew, aKeyCarriesItsIdAnd256RandomBits) {
  const config::NewKey Key = config::newKey();
  cr_assert_eq(Key.KeyId_.size(), 13);
  cr_assert_eq(Key.Text_.size(), 13 + 1 + 64);
  cr_assert(config::keyIdOf(Key.Text_) == Key.KeyId_);
  cr_assert(Key.Hash_ == config::hashKey(Key.Text_));
  // The id is logged, so the secret must not contain it.
  cr_assert(Key.Text_.substr(14).find(Key.KeyId_.substr(1)) == std::string::npos);
}

Test(KeyNew, keysDiffer) {
  std::set<std::string> Seen;
  for (int I = 0; I < 1000; ++I)
    cr_assert(Seen.insert(config::newKey().Text_).second);
}

Test(KeyHash, matchesThePublishedTestVector) {
  // Test vector of FIPS 180-2 for "abc".
  cr_assert(config::hashKey("abc") ==
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

Test(KeyHash, equalOnlyForTheSameHash) {
  const std::string Hash = config::hashKey("abc");
  std::string Other = Hash;
  Other.back() = Other.back() == '0' ? '1' : '0';
  cr_assert(config::constantTimeEqual(Hash, Hash));
  cr_assert(!config::constantTimeEqual(Hash, Other));
  cr_assert(!config::constantTimeEqual(Hash, Hash.substr(1)));
  cr_assert(!config::constantTimeEqual("", ""));
}

// Guards against logging a part of a malformed key as its id.
Test(KeyId, textThatIsNoKeyHasNoId) {
  for (const char *Text : {"", "k", "k123456789abc", "x123456789abc.00", "k123456789abZ.00",
                           "0000000000000000000000000000"})
    cr_assert(config::keyIdOf(Text).empty(), "%s", Text);
}
