// The file that keeps the last accepted version.
#include "configuration/snapshot_file.hpp"

#include <gtest/gtest.h>

#include <filesystem>

#include "configuration/update.hpp"
#include "support/process.hpp"

namespace finchstile::configuration::testing {
namespace {

using finchstile::testing::TemporaryDirectory;
using Operation = SnapshotFileError::Operation;

template <class Function>
std::optional<Operation> failedOperation(const Function& function) {
  try {
    function();
    return std::nullopt;
  } catch (const SnapshotFileError& error) {
    return error.operation();
  }
}

TEST(SnapshotFile, ReplacedFileIsReadBack) {
  const TemporaryDirectory folder;
  const std::string path = folder / "kept.json";
  EXPECT_EQ(readFileIfExists(path), std::nullopt);
  replaceFile(path, "one");
  replaceFile(path, "two");
  EXPECT_EQ(readFileIfExists(path), "two");
}

TEST(SnapshotFile, ErrorsNameTheFailedOperation) {
  const TemporaryDirectory folder;
  EXPECT_EQ(failedOperation([&] { replaceFile(folder / "missing/kept.json", "one"); }), Operation::create);
  const std::string directory = folder / "directory";
  std::filesystem::create_directory(directory);
  EXPECT_EQ(failedOperation([&] { replaceFile(directory, "one"); }), Operation::replace);
  const std::string path = folder / "large.json";
  replaceFile(path, "");
  std::filesystem::resize_file(path, kMaxUpdateBytes + 1);
  EXPECT_EQ(failedOperation([&] { readFileIfExists(path); }), Operation::checkSize);
}

TEST(SnapshotFile, FailedReplacementLeavesNoTemporaryFile) {
  const TemporaryDirectory folder;
  const std::string directory = folder / "directory";
  std::filesystem::create_directory(directory);
  EXPECT_THROW(replaceFile(directory, "one"), SnapshotFileError);
  const std::filesystem::path parent = std::filesystem::path(directory).parent_path();
  const auto entries = std::filesystem::directory_iterator(parent);
  EXPECT_EQ(std::distance(begin(entries), end(entries)), 1);
}

}  // namespace
}  // namespace finchstile::configuration::testing
