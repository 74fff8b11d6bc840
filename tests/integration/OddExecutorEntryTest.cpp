// Entries of the executor list that another writer has left there: the daemons keep running, keep
// following the list, and use the other executors.
#include "support/PlatformFleet.h"

#include <csignal>
#include <thread>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::testing;
using core::Millis;

namespace {

constexpr const char *FirstJob = "00000000000000a1";
constexpr const char *SecondJob = "00000000000000a2";
/// Covers a takeover, the job's run time and slow machines.
constexpr Millis JobTimeout{15'000};
/// A leader reads a changed entry within 1.2 s.
constexpr Millis ListReadTime{2'500};
/// Largest record of the log service.
constexpr std::size_t MaxRecordBytes = 262'144;

std::string hex(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (const char Byte : Bytes) {
    Text += Digits[static_cast<unsigned char>(Byte) >> 4U];
    Text += Digits[static_cast<unsigned char>(Byte) & 0xfU];
  }
  return Text;
}

/// Writes an entry of the executor list as another writer.
void writeEntry(PlatformFleet &Fleet, std::string_view Key, std::string_view Value) {
  Fleet.control({{"raw_entry", {{"key", hex(Key)}, {"value", hex(Value)}}}});
}

/// \returns an entry that describes the stand-in's executor \p Id.
Json entryOf(const PlatformFleet &Fleet, const std::string &Id) {
  return {{"service", "pool"},
          {"address", Fleet.platformAddress() + "/e/" + Id},
          {"zone", "lahore-a"},
          {"state", "ready"},
          {"capacity", {{"cpu", 4000}, {"mem_mb", 8000}, {"gpu", 0}}},
          {"labels", {"a", "r1-1"}}};
}

void expectRunning(PlatformFleet &Fleet, int Daemons) {
  for (int I = 0; I < Daemons; ++I)
    cr_expect(Fleet.daemon(I).running(), "daemon %d: %s", I + 1, Fleet.daemon(I).errors().c_str());
}

/// Submits a job and expects that it completes.
void expectJobCompletes(PlatformFleet &Fleet, int Daemon, const char *Id, int Tasks = 2) {
  cr_assert_eq(Fleet.submit(Daemon, Id, {Tasks, 100}).Answer_.Status_, 200);
  cr_expect(Fleet.awaitState(Daemon, Id, "completed", JobTimeout), "%s", Id);
}

} // namespace

// --- Values ---

// Guards against daemons that end, or stop following the list, after an entry that is very deeply
// nested or has a number or a port out of range: executors that join later must get work (LOST).
Test(OddExecutorEntry, executorsThatJoinAfterOddEntriesGetWork) {
  PlatformFleet Fleet(2, 0);
  writeEntry(Fleet, "i-a1", std::string(100'000, '[') + std::string(100'000, ']'));
  writeEntry(Fleet, "i-a2", std::string(MaxRecordBytes - 5, '['));
  std::string Objects;
  while (Objects.size() < MaxRecordBytes - 16)
    Objects += R"({"a":)";
  writeEntry(Fleet, "i-a3", Objects);
  writeEntry(Fleet, "i-a4", "\x80\x81\xff");
  int Number = 0;
  for (const auto &[Field, Value] :
       {std::pair<const char *, Json>{"address", "127.0.0.1:99999"},
        {"address", "127.0.0.1:0"},
        {"address", "127.0.0.1"},
        {"address", "127.0.0.1:1\r\nX-Odd: 1"},
        {"capacity", {{"cpu", 9e18}, {"mem_mb", 9e18}, {"gpu", 9e18}}},
        {"capacity", {{"cpu", -1}, {"mem_mb", 18446744073709551615ULL}}},
        {"drain_remaining_ms", 9223372036854775807LL},
        {"born", 18446744073709551615ULL},
        {"labels", Json::parse(std::string(2000, '[') + std::string(2000, ']'))}}) {
    Json Entry = entryOf(Fleet, "i-none");
    Entry[Field] = Value;
    if (std::string_view(Field) == "drain_remaining_ms")
      Entry["state"] = "draining";
    writeEntry(Fleet, "i-b" + std::to_string(++Number), Entry.dump());
  }
  std::string TooLarge = entryOf(Fleet, "i-none").dump();
  TooLarge.back() = ',';
  writeEntry(Fleet, "i-c1", TooLarge + R"("born":1e999})");
  Fleet.control({{"join", "i-z1"}});
  expectJobCompletes(Fleet, 0, FirstJob);
  expectRunning(Fleet, 2);
}

// Guards against an entry that describes no executor any more and is still used for new starts.
Test(OddExecutorEntry, anExecutorWhoseEntryTurnsOddGetsNoWorkUntilItIsBack) {
  PlatformFleet Fleet(1, 1);
  expectJobCompletes(Fleet, 0, FirstJob);
  Json Entry = entryOf(Fleet, "i-0");
  const std::string ValidEntry = Entry.dump();
  Entry["capacity"]["cpu"] = 9e18;
  writeEntry(Fleet, "i-0", Entry.dump());
  std::this_thread::sleep_for(ListReadTime);
  const std::size_t Starts = Fleet.evidence()["starts"].size();
  cr_assert_eq(Fleet.submit(0, SecondJob, {2, 100}).Answer_.Status_, 200);
  std::this_thread::sleep_for(ListReadTime);
  cr_expect_eq(Fleet.evidence()["starts"].size(), Starts);
  writeEntry(Fleet, "i-0", ValidEntry);
  cr_expect(Fleet.awaitState(0, SecondJob, "completed", JobTimeout));
  expectRunning(Fleet, 1);
}

// --- Keys ---

// Guards against a leader that ends, and each leader after it, because it can't encode an
// executor's id in an advice request (LOST).
Test(OddExecutorEntry, anIdThatIsNoTextEndsNoDaemon) {
  PlatformFleet Fleet(2, 1);
  writeEntry(Fleet, "i-0\xff\xfe", entryOf(Fleet, "i-0").dump());
  std::this_thread::sleep_for(ListReadTime);
  // More tasks than one executor has room for, so that advice is asked about every executor.
  expectJobCompletes(Fleet, 0, FirstJob, 24);
  expectRunning(Fleet, 2);
}

// Guards against a daemon that never finishes loading the list, because the key that ends a page
// does not survive the URL of the next request.
Test(OddExecutorEntry, aKeyWithASpaceAtTheEndOfAPageDoesNotStopTheLoad) {
  for (const char *Key : {"a odd", "a&part=7", "a#odd", "a%31"}) {
    PlatformFleet Fleet(1, 1);
    writeEntry(Fleet, Key, "{}");
    Fleet.control({{"page_records", 1}});
    Fleet.daemon(0).signal(SIGKILL);
    Fleet.addDaemon(0.25);
    cr_expect(waitFor(JobTimeout, [&] { return Fleet.leader() == 1; }), "%s", Key);
    cr_expect(waitFor(JobTimeout,
                      [&] {
                        return Fleet.submit(1, FirstJob, {2, 100}).Answer_.Status_ == 200;
                      }),
              "%s", Key);
    cr_expect(Fleet.awaitState(1, FirstJob, "completed", JobTimeout), "%s", Key);
  }
}

// Guards against heartbeats that the log service refuses because they record the addresses of many
// odd entries at once: no daemon would keep the lead (LOST).
Test(OddExecutorEntry, largeAddressesDoNotStopTheHeartbeats) {
  PlatformFleet Fleet(2, 0);
  for (int I = 0; I < 16; ++I) {
    Json Entry = entryOf(Fleet, "i-none");
    Entry["address"] = "127.0.0.1:1/" + std::string(260'000, 'a');
    writeEntry(Fleet, "h-" + std::to_string(I), Entry.dump());
  }
  std::this_thread::sleep_for(ListReadTime);
  Fleet.control({{"join", "i-z1"}});
  expectJobCompletes(Fleet, 0, FirstJob);
  expectRunning(Fleet, 2);
}
