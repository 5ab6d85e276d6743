#include "workspaces/keydigest.h"

#include <openssl/evp.h>

#include <algorithm>

namespace rosemaryhinge {

KeyDigest digestOf(std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  unsigned int size = 0;
  EVP_Digest(key.data(), key.size(), hash.data(), &size, EVP_sha256(), nullptr);
  KeyDigest out;
  std::copy_n(hash.begin(), out.Bytes.size(), out.Bytes.begin());
  return out;
}

} // namespace rosemaryhinge
