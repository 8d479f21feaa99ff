// Runs a fuzz target on each file of a corpus, then on ROUNDS mutations of them from a fixed random seed:
//   fuzz_NAME ROUNDS FOLDER
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "fuzz/target.hpp"

namespace {

// Xorshift generator with a fixed seed.
class RandomGenerator {
 public:
  // Returns a number less than `below`, which must not be 0.
  std::uint32_t next(std::size_t below) {
    state_ ^= state_ << 13, state_ ^= state_ >> 7, state_ ^= state_ << 17;
    return static_cast<std::uint32_t>((state_ >> 16) % below);
  }

 private:
  std::uint64_t state_ = 0x9e3779b97f4a7c15;
};

// Applies one to four random changes to `s`.
std::string mutate(const std::vector<std::string>& corpus, std::string s, RandomGenerator& generator) {
  for (std::uint32_t n = 1 + generator.next(4); n > 0; --n) {
    const std::size_t offset = s.empty() ? 0 : generator.next(s.size());
    switch (generator.next(6)) {
      case 0:
        if (!s.empty()) s[offset] = static_cast<char>(generator.next(256));
        break;
      case 1:
        if (!s.empty()) s[offset] = static_cast<char>(s[offset] ^ (1 << generator.next(8)));
        break;
      case 2: s.erase(offset, 1 + generator.next(8)); break;
      case 3: s.insert(offset, 1 + generator.next(4), static_cast<char>(generator.next(256))); break;
      case 4: {  // insert a part of another file
        const std::string& other = corpus[generator.next(corpus.size())];
        if (!other.empty())
          s.insert(offset, other.substr(generator.next(other.size()), 1 + generator.next(40)));
        break;
      }
      default:  // repeat a part of itself
        if (!s.empty()) s.insert(offset, s.substr(generator.next(s.size()), 1 + generator.next(60)));
    }
  }
  return s;
}

void runTarget(const std::string& s) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(s.data()), s.size());
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return std::fputs("usage: fuzz_NAME ROUNDS FOLDER\n", stderr), 2;
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(argv[2])) paths.push_back(entry.path());
  std::sort(paths.begin(), paths.end());  // directory_iterator has no defined order
  std::vector<std::string> corpus;
  for (const auto& path : paths) {
    std::ifstream file(path, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  if (corpus.empty()) return std::fputs("the corpus is empty\n", stderr), 2;
  RandomGenerator generator;
  const long rounds = std::strtol(argv[1], nullptr, 10);
  for (const std::string& s : corpus) runTarget(s);
  for (long i = 0; i < rounds; ++i)
    runTarget(mutate(corpus, corpus[static_cast<std::size_t>(i) % corpus.size()], generator));
  std::printf("%zu inputs and %ld mutations of them\n", corpus.size(), rounds);
}
