// Loading of hooks and tables from files that are valid, invalid, or written and replaced concurrently.
#include "hook/hook_loader.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "hook/bytecode.hpp"
#include "hook/compiler.hpp"
#include "hook/expectations.hpp"
#include "hook/stable_file.hpp"
#include "support/process.hpp"

namespace finchstile::hook {
namespace {

using finchstile::testing::TemporaryDirectory;

HookSettings settingsFor(std::vector<std::string> paths) {
  HookSettings s;
  for (auto& p : paths) {
    s.hooks.emplace_back();
    s.hooks.back().path = s.hooks.back().spec.file = p;
  }
  return s;
}
std::vector<std::string> problemsOf(const HookSettings& s) {
  std::vector<std::string> problems;
  const bool good = loadHooks(s, 1, problems) != nullptr;
  EXPECT_EQ(good, problems.empty());
  return problems;
}

TEST(HookLoader, LoadsSourcesAndBytecodeWithTheirTables) {
  TemporaryDirectory f;
  f.write("y.txt", "B12 = Brasov\n");
  const std::string source =
      f.write("y.hook",
              "hook \"y\";\ntable yards from \"y.txt\";\non request {\n"
              "  if not (header(\"X-Yard\") in yards) { reject(403, \"unknown\"); }\n}\n"
              "expect \"known\" { header \"X-Yard\" = \"B12\"; then pass; }\n"
              "expect \"unknown\" { header \"X-Yard\" = \"?\"; then reject 403; }\n");
  std::vector<std::string> problems;
  const auto loaded = loadHook(source, problems);
  ASSERT_TRUE(loaded) << problems[0];
  EXPECT_TRUE(runExpectations(*loaded->executable, loaded->expectations, RunBudget{}).empty());
  const std::string bytecode = f.write("y.hookc", encode(loaded->executable->program()));
  const auto again = loadHook(bytecode, problems);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->executable->program(), loaded->executable->program());
}

TEST(HookLoader, ReportsAllProblemsOfAllHooks) {
  TemporaryDirectory f;
  const std::string a = f.write("a.hook", "hook \"a\";\non request { lgo(\"x\"); }\n");
  const std::string b = f.write("b.hook", "hook \"b\";\ntable t from \"none.txt\";\non request { }\n");
  const std::string c =
      f.write("c.hook", "hook \"c\";\non request { }\nexpect \"no\" { then reject 403; }\n");
  const std::string d = f.write("d.hook", "hook \"d\";\non request { }\n");
  const std::string e = f.write("e.hook", "hook \"d\";\non request { }\n");
  const std::string g = f.write("g.hookc", "FHOOK\nrubbish");
  const auto all = problemsOf(settingsFor({a, b, c, d, e, g, f / "missing.hook"}));
  ASSERT_EQ(all.size(), 6u) << ::testing::PrintToString(all);
  EXPECT_NE(all[0].find("a.hook:2:14: there is no action 'lgo'; did you mean 'log'?"), std::string::npos)
      << all[0];
  EXPECT_NE(all[1].find("none.txt: No such file"), std::string::npos) << all[1];
  EXPECT_NE(all[2].find("c.hook:3:1: 'no' does not hold: it does not reject"), std::string::npos) << all[2];
  EXPECT_NE(all[3].find("'d' is that of an earlier hook"), std::string::npos) << all[3];
  EXPECT_NE(all[4].find("the bytecode is"), std::string::npos) << all[4];
  EXPECT_NE(all[5].find("missing.hook: No such file"), std::string::npos) << all[5];
}

// Bytecode is untrusted, as a source is: its tables must be files in its own folder.
TEST(HookLoader, RejectsBytecodeWithATableOutsideItsFolder) {
  TemporaryDirectory f;
  std::vector<Problem> found;
  auto compiled = compile("hook \"h\";\ntable t from \"t.txt\";\non request { if path in t { } }\n", found);
  ASSERT_TRUE(compiled);
  f.write("t.txt", "a\n");
  for (const std::string& name : {std::string("../t.txt"), f / "t.txt", std::string(".t"), std::string()}) {
    compiled->program.tables[0] = name;
    std::vector<std::string> problems;
    EXPECT_FALSE(loadHook(f.write("h.hookc", encode(compiled->program)), problems)) << name;
    ASSERT_EQ(problems.size(), 1u);
    EXPECT_NE(problems[0].find("a plain name"), std::string::npos) << problems[0];
  }
}

FileError errorOf(const std::string& path) {
  constexpr std::size_t kMaxBytes = 100;
  try {
    readStableFile(path, kMaxBytes);
  } catch (const FileError& error) {
    return error;
  }
  ADD_FAILURE() << path << " was read";
  return {FileErrorCode{}, ""};
}

// Returns none and sets `reason` if the file changes too often.
std::optional<std::string> readTable(const std::string& path, std::string& reason) {
  try {
    return readStableFile(path, kMaxTableBytes);
  } catch (const FileError& error) {
    EXPECT_EQ(error.code(), FileErrorCode::changing);
    reason = error.what();
    return std::nullopt;
  }
}

TEST(StableFile, RejectsNonRegularFilesWithoutBlocking) {
  TemporaryDirectory f;
  ASSERT_EQ(mkfifo((f / "fifo").c_str(), 0600), 0);
  EXPECT_EQ(errorOf(f / "fifo").code(), FileErrorCode::notRegularFile);
  EXPECT_STREQ(errorOf(f / "fifo").what(), "is no ordinary file");
  EXPECT_EQ(errorOf(f / ".").code(), FileErrorCode::notRegularFile);
  f.write("large", std::string(101, 'x'));
  EXPECT_EQ(errorOf(f / "large").code(), FileErrorCode::tooLarge);
  EXPECT_EQ(errorOf(f / "missing").code(), FileErrorCode::cannotRead);
}

// A table of 100,000 entries is replaced while it is read. Every read returns one version, never a mixture.
TEST(StableFile, ReadsOneVersionOfAFileThatIsReplacedDuringTheRead) {
  TemporaryDirectory f;
  const auto version = [](int v) {
    std::string text = "#entries 100000\n";
    for (int i = 0; i < 100000; ++i) text += "k" + std::to_string(i) + " = " + std::to_string(v) + "\n";
    return text;
  };
  const std::string texts[2] = {version(1), version(2)};
  f.write("t", texts[0]);
  std::atomic<bool> stop{false};
  std::thread writer([&] {
    for (int i = 0; !stop; ++i) {
      f.write("t.new", texts[i % 2]);
      std::rename((f / "t.new").c_str(), (f / "t").c_str());
    }
  });
  int read = 0;
  std::string reason;
  for (int i = 0; i < 20; ++i) {
    const auto text = readTable(f / "t", reason);
    if (!text) continue;
    ++read;
    ASSERT_TRUE(*text == texts[0] || *text == texts[1]);
  }
  stop = true;
  writer.join();
  EXPECT_EQ(read, 20);
}

// The file is overwritten without a change of size. While the writer runs it is nearly always a mixture of
// two versions, which must not be read. Once the writer is done it can be read.
TEST(StableFile, ReadsOneVersionOfAFileThatIsWrittenInPlaceOrNone) {
  TemporaryDirectory f;
  const auto version = [](char v) {
    std::string text;
    for (int i = 0; i < 20000; ++i) text += "k" + std::to_string(i) + " = " + v + "\n";
    return text;
  };
  const std::string texts[2] = {version('1'), version('2')};
  f.write("t", texts[0]);
  const auto isOneVersion = [&](const std::optional<std::string>& text) {
    return *text == texts[0] || *text == texts[1];
  };
  int checkedRounds = 0;
  std::string reason;
  for (int round = 0; round < 20 && checkedRounds < 3; ++round) {
    std::atomic<bool> stop{false}, writerStarted{false};
    std::atomic<bool> writerPaused{
        false};  // a writer that pauses midway is indistinguishable from one that is done
    std::thread writer([&] {
      const int fd = ::open((f / "t").c_str(), O_WRONLY);
      auto last = std::chrono::steady_clock::now();
      for (std::size_t i = 0; !stop; ++i) {
        const std::string& text = texts[i % 2];
        for (std::size_t at = 0; at < text.size(); at += 4096) {
          if (::pwrite(fd, text.data() + at, std::min<std::size_t>(4096, text.size() - at),
                       static_cast<off_t>(at)) < 0)
            writerPaused = true;
          writerStarted = true;
          const auto now = std::chrono::steady_clock::now();
          if (now - last > std::chrono::milliseconds(30)) writerPaused = true;
          last = now;
        }
      }
      ::close(fd);
    });
    while (!writerStarted) std::this_thread::yield();
    const auto text = readTable(f / "t", reason);
    stop = true;
    writer.join();
    if (writerPaused) continue;
    ++checkedRounds;
    if (text) EXPECT_TRUE(isOneVersion(text));
    else EXPECT_NE(reason.find("changes while it is read"), std::string::npos) << reason;
  }
  EXPECT_GT(checkedRounds, 0);
  const auto text = readTable(f / "t", reason);
  ASSERT_TRUE(text) << reason;
  EXPECT_TRUE(isOneVersion(text));
}

TEST(Table, RejectsATruncatedFileByItsEntryCount) {
  const std::string completeTable = "#entries 3\na\nb\nc\n";
  std::vector<Problem> problems;
  for (std::size_t n = 11; n < completeTable.size() - 1; ++n) {
    problems.clear();
    EXPECT_FALSE(Table::parse(completeTable.substr(0, n), problems)) << n;
  }
}

}  // namespace
}  // namespace finchstile::hook
