// Tests of the digests of keys.

#include "workspaces/keydigest.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

TEST_CASE("a digest is the beginning of the key's SHA-256") {
  // FIPS 180-2: SHA-256 of "abc" begins with ba7816bf 8f01cfea 414140de 5dae2223.
  const KeyDigest expected{
      {0xba, 0x78, 0x16, 0xbf, 0x8f, 0x01, 0xcf, 0xea, 0x41, 0x41, 0x40, 0xde, 0x5d, 0xae, 0x22, 0x23}};
  CHECK((digestOf("abc") == expected));
}

TEST_CASE("keys that differ have other digests, also the empty one") {
  CHECK((digestOf("") != digestOf("a")));
  CHECK((digestOf("ab") != digestOf("ba")));
}
