// The directory of a log on disk.
#include "wal/log_directory.hpp"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

#include "support/process.hpp"

namespace finchstile::wal {
namespace {

LogDirectoryError::Code errorOf(const std::string& path) {
  try {
    openLogDirectory(path);
  } catch (const LogDirectoryError& error) {
    EXPECT_EQ(std::string(error.what()).substr(0, path.size() + 2), path + ": ");
    return error.code();
  }
  throw std::logic_error(path + " can be opened");
}

TEST(LogDirectory, ReportsWhyItCannotBeOpened) {
  const finchstile::testing::TemporaryDirectory folder;
  EXPECT_EQ(errorOf("/proc/none/at/all"), LogDirectoryError::Code::cannotCreate);
  EXPECT_EQ(errorOf(folder.write("file", "")), LogDirectoryError::Code::cannotOpen);
  const auto first = openLogDirectory(folder / "state");
  EXPECT_EQ(errorOf(folder / "state"), LogDirectoryError::Code::inUse);
}

}  // namespace
}  // namespace finchstile::wal
