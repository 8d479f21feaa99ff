// The file of the attempt log: a full or slow disk, and rotation.
#include "app/trace_file.hpp"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <cerrno>
#include <csignal>
#include <thread>

#include "support/gateway_fixture.hpp"
#include "support/process.hpp"

namespace finchstile::testing {
namespace {

TEST(TraceFile, NamesThePathAndTheReasonWhenItCannotBeOpened) {
  try {
    TraceFile file("/nowhere/at/all", 1 << 20, 1 << 20);
    FAIL();
  } catch (const TraceFileError& error) {
    EXPECT_EQ(std::string(error.what()).substr(0, 55),
              "trace.file: /nowhere/at/all cannot be opened for append");
    EXPECT_EQ(error.errorNumber(), ENOENT);
  }
}

TEST(TraceFile, CountsLinesLostOnAFullDisk) {
  TraceFile file("/dev/full", 1 << 20, 1 << 20);
  ASSERT_TRUE(file.write("one\ntwo\n"));
  std::uint64_t lost = 0;
  for (int i = 0; i < 2000 && lost < 2; ++i) {
    lost += file.takeLostLines();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  EXPECT_EQ(lost, 2u);
}

// The disk becomes full within a line. Once there is space again, the next block starts on a new line, and
// each lost line is counted once.
TEST(TraceFile, EndsATruncatedLineBeforeTheNext) {
  std::signal(SIGXFSZ, SIG_IGN);
  TemporaryDirectory folder;
  TraceFile file(folder / "log", 1 << 20, 1 << 20);
  const auto lost = [&](const std::string& lines, std::uint64_t count) {
    EXPECT_TRUE(file.write(lines));
    std::uint64_t n = 0;
    for (int i = 0; i < 2000 && n < count; ++i) {
      n += file.takeLostLines();
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return n;
  };
  rlimit before{};
  ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &before), 0);
  const rlimit full{10, before.rlim_max};
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &full), 0);
  const std::uint64_t truncated = lost("one\ntwo\nthree\n", 1);
  const std::uint64_t whole = lost("four\n", 1);
  const std::uint64_t late = file.takeLostLines();
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &before), 0);
  EXPECT_EQ(truncated, 1u);
  EXPECT_EQ(whole + late, 1u);
  ASSERT_TRUE(file.write("five\n"));
  const std::string expected = "one\ntwo\nth\nfive\n";
  for (int i = 0; i < 2000 && readFile(folder / "log").size() < expected.size(); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  EXPECT_EQ(readFile(folder / "log"), expected);
}

TEST(TraceFile, AppendsToAnExistingFileAndRenamesItAtItsMaximumSize) {
  TemporaryDirectory folder;
  folder.write("log", "before\n");
  {
    TraceFile file(folder / "log", 1000, 1 << 20);
    ASSERT_TRUE(file.write(std::string(1200, 'x') + "\n"));
  }
  EXPECT_EQ(readFile(folder / "log.1"), "before\n" + std::string(1200, 'x') + "\n");
  EXPECT_EQ(readFile(folder / "log"), "");
  {
    TraceFile file(folder / "log", 1000, 1 << 20);
    ASSERT_TRUE(file.write("after\n"));
  }
  EXPECT_EQ(readFile(folder / "log"), "after\n");
}

// The reader of a pipe has stopped reading. The caller does not block, and lines beyond the queue limit are
// refused.
TEST(TraceFile, NeverBlocksTheCaller) {
  std::signal(SIGPIPE, SIG_IGN);  // as the program does
  TemporaryDirectory folder;
  const std::string path = folder / "pipe";
  ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
  const int reader = ::open(path.c_str(), O_RDONLY | O_NONBLOCK);
  ASSERT_GE(reader, 0);
  {
    TraceFile file(path, std::size_t{1} << 40, 128 * 1024);
    const std::string block(64 * 1024, 'x');
    int accepted = 0;
    while (accepted < 100 && file.write(block)) ++accepted;
    EXPECT_LT(accepted, 100);
    ::close(reader);  // writes fail from here on, so that the destructor does not block
  }
}

}  // namespace
}  // namespace finchstile::testing
