// Tests that log lines are valid JSON with their fields in order.
#include "masticdrift/core/Log.h"

#include <cstdio>
#include <string>

#include <unistd.h>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace masticdrift;

namespace {

/// \returns what \p Function writes to standard error, up to 4096 bytes.
template <typename Callable> std::string captureStandardError(Callable Function) {
  std::FILE *CaptureFile = std::tmpfile();
  const int SavedDescriptor = ::dup(STDERR_FILENO);
  ::dup2(::fileno(CaptureFile), STDERR_FILENO);
  Function();
  std::fflush(stderr);
  ::dup2(SavedDescriptor, STDERR_FILENO);
  std::string Text(4096, '\0');
  std::rewind(CaptureFile);
  Text.resize(std::fread(Text.data(), 1, Text.size(), CaptureFile));
  std::fclose(CaptureFile);
  return Text;
}

} // namespace

// Guards against an unparsable log line when a field holds quotes, control characters or invalid
// UTF-8.
Test(LogLine, isOneJsonObjectWhateverItsFieldsHold) {
  core::initLog("lahore-a-1", core::LogLevel::Info);
  const std::string TextToEscape = "a \"quoted\" path\\with\nlines \x01 and \xff";
  const std::string Text = captureStandardError([&] {
    core::log(core::LogLevel::Info, "refused", {{"message", TextToEscape}});
  });
  const auto Line = nlohmann::json::parse(Text, nullptr, false);
  cr_assert(Line.is_object(), "%s", Text.c_str());
  cr_expect_eq(Line.value("instance", ""), "lahore-a-1");
  cr_expect_eq(Line.value("event", ""), "refused");
  cr_expect(Line.value("message", "").starts_with("a \"quoted\" path\\with\nlines \x01 and "));
  cr_expect(Line.contains("time") && Line.contains("level"));
}

// Guards against reordered or missing fields on the path that bypasses the JSON library.
Test(LogLine, keepsPlainFieldsInTheirOrder) {
  core::initLog("lahore-a-1", core::LogLevel::Info);
  const std::string Text = captureStandardError([] {
    core::log(core::LogLevel::Info, "start", {{"request_id", "5c0e"}, {"detail", ""}});
  });
  cr_expect_neq(Text.find(R"("event":"start","request_id":"5c0e","detail":"")"), std::string::npos,
                "%s", Text.c_str());
}
