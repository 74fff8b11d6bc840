#include "masticdrift/core/Error.h"
#include "masticdrift/journal/Appender.h"
#include "masticdrift/journal/Tailer.h"
#include "support/LogService.h"

#include <atomic>
#include <future>
#include <mutex>
#include <random>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::journal;
using core::ErrorKind;
using tests::AppendBehavior;
using tests::LogService;
using tests::waitFor;

namespace {

using Outcome = std::pair<ErrorKind, std::uint64_t>;

Entry entry(const std::string &Text) { return {RecordType::Accept, Text}; }

std::string batch(const std::string &Writer, std::uint64_t Sequence, const std::string &Text) {
  return encodeBatch({Writer, 1, Sequence, {entry(Text)}});
}

/// A service with a client. The timers outlive the client, whose callbacks post to them.
struct Store {
  core::Timers Timers_;
  LogService Service_;
  http::Client Http_;
  legacy::LogClient Log_{Http_, {Service_.url(), std::chrono::milliseconds(150)}};
};

AppenderOptions fastOptions() {
  AppenderOptions Options;
  Options.Stream_ = "domain.a";
  Options.Writer_ = "d1";
  Options.Incarnation_ = 1;
  Options.CloseAfter_ = std::chrono::milliseconds(5);
  Options.RetryDelay_ = std::chrono::milliseconds(10);
  Options.BatchDeadline_ = std::chrono::milliseconds(500);
  Options.AppendsPerSecond_ = 1000;
  Options.Burst_ = 1000;
  return Options;
}

std::future<Outcome> append(Appender &Into, std::vector<Entry> Entries) {
  auto Promise = std::make_shared<std::promise<Outcome>>();
  Into.append(std::move(Entries), [Promise](std::error_code Error, std::uint64_t Offset) {
    Promise->set_value({core::kindOf(Error), Offset});
  });
  return Promise->get_future();
}

/// Collects what a tailer delivers.
struct Collector {
  std::vector<std::string> entries() {
    const std::lock_guard Lock(Mutex_);
    return Entries_;
  }
  TailerHooks hooks() {
    TailerHooks Hooks;
    Hooks.Entry_ = [this](std::uint64_t, std::uint32_t, const BatchInfo &, const Entry &One) {
      const std::lock_guard Lock(Mutex_);
      if (One.Type_ == RecordType::Accept)
        Entries_.push_back(One.Body_);
    };
    Hooks.EndOfBatch_ = [this](std::uint64_t, const BatchInfo &, bool Copy) {
      ++(Copy ? Copies_ : Batches_);
    };
    Hooks.Gap_ = [this](const Gap &Found) {
      const std::lock_guard Lock(Mutex_);
      Gaps_.push_back(Found);
    };
    Hooks.LoadSnapshot_ = [this](const SnapshotBody &Body, std::uint64_t) {
      const auto Section = Body.section("texts");
      if (!Section)
        return false;
      auto Texts = core::unpack<std::vector<std::string>>(*Section);
      const std::lock_guard Lock(Mutex_);
      Entries_ = Texts.value_or(std::vector<std::string>{});
      return Texts.has_value();
    };
    return Hooks;
  }
  std::mutex Mutex_;
  std::vector<std::string> Entries_;
  std::vector<Gap> Gaps_;
  std::atomic<int> Batches_{0};
  std::atomic<int> Copies_{0};
};

/// A tailer on a store; one a store.
struct Reader {
  explicit Reader(Store &On, TailerOptions Options = {})
      : On_(On), Tailer_((Options.Stream_ = "domain.a",
                          Options.Interval_ = std::chrono::milliseconds(10), Options),
                         readFrom(On.Log_, "domain.a"), On.Timers_, Collected_.hooks()) {}
  ~Reader() { On_.Timers_.stop(); }
  bool reaches(std::uint64_t Offset) {
    return waitFor([&] { return Tailer_.completeAsOf() && Tailer_.nextOffset() >= Offset; });
  }
  Store &On_;
  Collector Collected_;
  Tailer Tailer_;
};

using Texts = std::vector<std::string>;

void putSnapshot(Store &On, const std::string &Writer, std::uint64_t Sequence, std::uint64_t Base,
                 const SnapshotBody &Body, std::size_t PartBytes) {
  for (const Entry &Part : splitSnapshot(RecordType::Snapshot, Base, core::pack(Body), PartBytes))
    On.Service_.put(encodeBatch({Writer, 1, Sequence++, {Part}}));
}

} // namespace

// Guards against a batch that is decoded differently from how it was written.
Test(BatchCodec, aBatchSurvivesTheRoundTrip) {
  const Batch Written{"d1", 7, 9, {{RecordType::Claim, std::string("\x00\xff", 2)}, entry("")}};
  const auto Read = decodeBatch(encodeBatch(Written));
  cr_assert(Read.has_value());
  cr_assert(Read->Writer_ == "d1");
  cr_assert_eq(Read->Incarnation_, 7);
  cr_assert_eq(Read->Sequence_, 9);
  cr_assert_eq(Read->Entries_.size(), 2);
  cr_assert(Read->Entries_[0].Type_ == RecordType::Claim);
  cr_assert(Read->Entries_[0].Body_ == std::string("\x00\xff", 2));
}

// Guards against a truncated record that is taken for a batch without entries.
Test(BatchCodec, aShortArrayIsNotABatch) {
  for (const std::string &Bytes :
       {std::string("\x90"), core::pack(std::make_tuple("d1", 1)),
        core::pack(std::make_tuple("d1", 1, 1, std::vector<std::tuple<int>>{{1}}))})
    cr_expect(!decodeBatch(Bytes));
}

// Guards against crashes and huge allocations on damaged records.
Test(BatchCodec, randomBytesNeverCrashTheDecoders) {
  for (const unsigned Seed : {1U, 2U, 3U}) {
    cr_log_info("seed %u", Seed);
    std::mt19937 Random(Seed);
    SnapshotAssembler Assembler;
    const std::string Valid = batch("d1", 1, "some text");
    for (int Round = 0; Round < 20'000; ++Round) {
      std::string Bytes(Random() % 40, '\0');
      for (char &One : Bytes)
        One = static_cast<char>(Random());
      if (Round % 2 == 0) {
        Bytes = Valid;
        Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
      }
      (void)decodeBatch(Bytes);
      (void)core::unpack<SnapshotBody>(Bytes);
      (void)Assembler.add(static_cast<std::uint64_t>(Round), {"d1", 1, 1}, Bytes);
    }
  }
}

// Guards against an append for each call, which would exceed the store's capacity.
Test(GroupCommit, callsAtTheSameTimeShareOneAppend) {
  core::Timers Timers;
  Store On;
  auto Options = fastOptions();
  Options.CloseAfter_ = std::chrono::milliseconds(50);
  Appender Out(Options, appendTo(On.Log_, "domain.a"), Timers);
  std::vector<std::future<Outcome>> Results;
  Results.reserve(20);
  for (int I = 0; I < 20; ++I)
    Results.push_back(append(Out, {entry(std::to_string(I))}));
  for (auto &One : Results)
    cr_assert(One.get() == (Outcome{ErrorKind::None, 0}));
  cr_assert_eq(On.Service_.appends(), 1);
  const auto Read = decodeBatch(On.Service_.records().at(0));
  cr_assert_eq(Read->Entries_.size(), 20);
  cr_assert(Read->Entries_[13].Body_ == "13");
  cr_assert(waitFor([&] { return Out.idle(); }));
  cr_assert_eq(Out.bufferedBytes(), 0);
}

// Guards against batches above 64 KB and against splitting the entries of one call.
Test(GroupCommit, aFullBatchClosesAtItsSize) {
  core::Timers Timers;
  Store On;
  auto Options = fastOptions();
  Options.CloseAfter_ = std::chrono::seconds(30);
  Options.BatchDeadline_ = std::chrono::seconds(60);
  Options.CloseAtBytes_ = 1000;
  Appender Out(Options, appendTo(On.Log_, "domain.a"), Timers);
  auto First = append(Out, {entry(std::string(300, 'a')), entry(std::string(300, 'b'))});
  auto Second = append(Out, {entry(std::string(300, 'c')), entry(std::string(700, 'd'))});
  cr_assert(First.get() == (Outcome{ErrorKind::None, 0}));
  cr_assert(Second.get() == (Outcome{ErrorKind::None, 1}));
  cr_assert_eq(decodeBatch(On.Service_.records().at(0))->Entries_.size(), 2);
}

// Guards against a daemon that takes more of the store's capacity than its budget.
Test(GroupCommit, appendsStayWithinTheBudget) {
  core::Timers Timers;
  Store On;
  auto Options = fastOptions();
  Options.CloseAfter_ = std::chrono::milliseconds(1);
  Options.AppendsPerSecond_ = 20;
  Options.Burst_ = 2;
  Appender Out(Options, appendTo(On.Log_, "domain.a"), Timers);
  const auto Begin = std::chrono::steady_clock::now();
  for (int I = 0; I < 6; ++I)
    cr_assert(append(Out, {entry("x")}).get().first == ErrorKind::None);
  const auto Spent = std::chrono::steady_clock::now() - Begin;
  // Two at once, four more at 20/s.
  cr_assert(Spent >= std::chrono::milliseconds(195));
}

// Guards against two effects of a record whose first answer was lost.
Test(LostAnswer, aRetryHasOneEffect) {
  core::Timers Timers;
  Store On;
  On.Service_.plan({AppendBehavior::AcceptWithoutAnswer});
  Appender Out(fastOptions(), appendTo(On.Log_, "domain.a"), Timers);
  cr_assert(append(Out, {entry("once")}).get().first == ErrorKind::None);
  cr_assert_eq(On.Service_.records().size(), 2);
  cr_assert(On.Service_.records()[0] == On.Service_.records()[1]);
  Reader In(On);
  In.Tailer_.start();
  cr_assert(In.reaches(2));
  cr_assert(In.Collected_.entries() == Texts{"once"});
  cr_assert_eq(In.Collected_.Copies_.load(), 1);
}

// Guards against reporting an unknown outcome for a batch that replay has already shown.
Test(LostAnswer, replaySettlesTheBatch) {
  core::Timers Timers;
  Store On;
  On.Service_.setDefaultBehavior(AppendBehavior::AcceptWithoutAnswer);
  Appender Out(fastOptions(), appendTo(On.Log_, "domain.a"), Timers);
  auto Result = append(Out, {entry("seen")});
  cr_assert(waitFor([&] { return On.Service_.appends() >= 1; }));
  Out.observed({"d2", 1, 1}, 5);
  Out.observed({"d1", 2, 1}, 6);
  Out.observed({"d1", 1, 1}, 0);
  cr_assert(Result.get() == (Outcome{ErrorKind::None, 0}));
}

// Guards against calling an append "not run" when one of its attempts may have been taken.
Test(LostAnswer, theDeadlineTellsCertainFromUnknown) {
  core::Timers Timers;
  Store On;
  Appender Out(fastOptions(), appendTo(On.Log_, "domain.a"), Timers);
  On.Service_.setDefaultBehavior(AppendBehavior::Refuse);
  cr_assert(append(Out, {entry("a")}).get().first == ErrorKind::StoreUnavailable);
  On.Service_.plan({AppendBehavior::DropWithoutAnswer});
  cr_assert(append(Out, {entry("b")}).get().first == ErrorKind::AppendUnknown);
  cr_assert(On.Service_.records().empty());
  On.Service_.setDefaultBehavior(AppendBehavior::Acknowledge);
  cr_assert(append(Out, {entry("c")}).get() == (Outcome{ErrorKind::None, 0}));
  cr_assert_eq(decodeBatch(On.Service_.records().at(0))->Sequence_, 3);
}

// Guards against memory growth while the store is away, and against losing what was accepted.
Test(LostAnswer, theBufferIsBounded) {
  core::Timers Timers;
  Store On;
  auto Options = fastOptions();
  Options.MaxBufferedBytes_ = 1000;
  Options.MaxAppendBytes_ = 900;
  On.Service_.plan({AppendBehavior::Refuse, AppendBehavior::Refuse});
  Appender Out(Options, appendTo(On.Log_, "domain.a"), Timers);
  auto Kept = append(Out, {entry(std::string(600, 'a'))});
  cr_assert(append(Out, {entry(std::string(600, 'b'))}).get().first == ErrorKind::StoreUnavailable);
  cr_assert(append(Out, {entry(std::string(950, 'c'))}).get().first == ErrorKind::BodyTooLarge);
  cr_assert(Kept.get().first == ErrorKind::None);
  Out.stop();
  cr_assert(append(Out, {entry("d")}).get().first == ErrorKind::Stopping);
}

// Guards against a second append while the first is outstanding: their order would be undefined.
Test(LostAnswer, oneAppendIsOutstanding) {
  core::Timers Timers;
  std::mutex Mutex;
  std::vector<std::function<void(std::error_code, std::uint64_t)>> Outstanding;
  const auto Waiting = [&] {
    const std::lock_guard Lock(Mutex);
    return Outstanding.size();
  };
  Appender Out(
      fastOptions(),
      [&](std::string, std::function<void(std::error_code, std::uint64_t)> Done) {
        const std::lock_guard Lock(Mutex);
        Outstanding.push_back(std::move(Done));
      },
      Timers);
  auto First = append(Out, {entry("a")});
  cr_assert(waitFor([&] { return Waiting() == 1; }));
  auto Second = append(Out, {entry("b")});
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  cr_assert_eq(Waiting(), 1);
  Outstanding[0]({}, 4);
  cr_assert(waitFor([&] { return Waiting() == 2; }));
  Outstanding[1]({}, 5);
  cr_assert(First.get() == (Outcome{ErrorKind::None, 4}));
  cr_assert(Second.get() == (Outcome{ErrorKind::None, 5}));
  Timers.stop();
}

// Guards against an abandoned batch that arrives late and takes effect after newer ones.
Test(Replay, aDelayedCopyOfAnAbandonedBatchHasNoEffect) {
  Store On;
  On.Service_.put(batch("d1", 2, "second"));
  On.Service_.put(batch("d1", 1, "abandoned"));
  On.Service_.put(batch("d1", 3, "third"));
  Reader In(On);
  In.Tailer_.start();
  cr_assert(In.reaches(3));
  cr_assert(In.Collected_.entries() == (Texts{"second", "third"}));
}

// Guards against sequences of one writer or incarnation hiding batches of another.
Test(Replay, twoWritersAreInterleaved) {
  Store On;
  On.Service_.put(batch("d1", 5, "a"));
  On.Service_.put(batch("d2", 1, "b"));
  On.Service_.put(batch("d1", 6, "c"));
  On.Service_.put(batch("d2", 1, "copy"));
  On.Service_.put(encodeBatch({"d1", 2, 1, {entry("restarted"), entry("twice")}}));
  On.Service_.put("not a batch");
  On.Service_.put(batch("d2", 2, "d"));
  TailerOptions Options;
  Options.MaxRecords_ = 2;
  Reader In(On, Options);
  In.Tailer_.start();
  cr_assert(In.reaches(7));
  cr_assert(In.Collected_.entries() == (Texts{"a", "b", "c", "restarted", "twice", "d"}));
}

// Guards against counting a failed read as one that showed the end of the stream.
Test(Replay, completenessCountsFromTheLastGoodRead) {
  Store On;
  Reader In(On);
  In.Tailer_.start();
  cr_assert(In.reaches(0));
  On.Service_.failReads(true);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  const auto Before = In.Tailer_.completeAsOf();
  const auto Reads = In.Tailer_.reads();
  cr_assert(waitFor([&] { return In.Tailer_.reads() > Reads + 2; }));
  cr_assert(In.Tailer_.completeAsOf() == Before);
  On.Service_.failReads(false);
  On.Service_.put(batch("d1", 1, "late"));
  cr_assert(waitFor([&] { return In.Collected_.entries() == Texts{"late"}; }));
  cr_assert(waitFor([&] { return In.Tailer_.completeAsOf() > Before; }));
}

// Guards against waiting for a whole interval after a Notice.
Test(Replay, aNudgeReadsAtOnce) {
  core::Timers Timers;
  Store On;
  Collector Collected;
  TailerOptions Options;
  Options.Interval_ = std::chrono::hours(1);
  Tailer In(Options, readFrom(On.Log_, "domain.a"), Timers, Collected.hooks());
  In.start();
  cr_assert(waitFor([&] { return In.completeAsOf().has_value(); }));
  On.Service_.put(batch("d1", 1, "x"));
  In.readNow();
  cr_assert(waitFor([&] { return Collected.entries() == Texts{"x"}; }));
  cr_assert_eq(In.reads(), 2);
  Timers.stop();
}

// Guards against serving a state that misses expired records.
Test(Gaps, aGapWithoutASnapshotIsReported) {
  Store On;
  for (int I = 1; I <= 4; ++I)
    On.Service_.put(batch("d1", I, std::to_string(I)));
  On.Service_.expire(2);
  Reader In(On);
  In.Tailer_.start();
  cr_assert(waitFor([&] { return In.Tailer_.gap().has_value(); }));
  cr_assert_eq(In.Tailer_.gap()->Needed_, 0);
  cr_assert_eq(In.Tailer_.gap()->First_, 2);
  cr_assert(!In.Tailer_.completeAsOf());
  cr_assert(In.Collected_.entries().empty());
  const auto Reads = In.Tailer_.reads();
  cr_assert(waitFor([&] { return In.Tailer_.reads() > Reads + 2; }));
  cr_assert_eq(In.Collected_.Gaps_.size(), 1);

  // A snapshot that is written later closes the gap.
  putSnapshot(On, "d2", 1, 3, {{}, {{"texts", core::pack(Texts{"1", "2", "3", "4"})}}}, 4);
  On.Service_.put(batch("d1", 5, "5"));
  cr_assert(In.reaches(On.Service_.records().size()));
  cr_assert(!In.Tailer_.gap());
  cr_assert(In.Collected_.entries() == (Texts{"1", "2", "3", "4", "5"}));
}

// Guards against a snapshot that reverts records after its base, and against copies of batches
// from before the base taking effect after it.
Test(Gaps, theLastCompleteSnapshotIsLoadedAndTheRestApplied) {
  Store On;
  for (int I = 1; I <= 6; ++I)
    On.Service_.put(batch("d1", I, std::to_string(I)));
  const SnapshotBody Old{{{"d1", 1, 3, 2}}, {{"texts", core::pack(Texts{"1", "2", "3"})}}};
  const SnapshotBody New{{{"d1", 1, 5, 4}},
                         {{"texts", core::pack(Texts{"1", "2", "3", "4", "5"})}}};
  putSnapshot(On, "d2", 1, 2, Old, 8);
  putSnapshot(On, "d2", 100, 4, New, 8);
  // An incomplete snapshot: its last part is missing.
  const auto Parts = splitSnapshot(RecordType::Snapshot, 5, core::pack(New), 8);
  On.Service_.put(encodeBatch({"d3", 1, 1, {Parts.at(0)}}));
  On.Service_.put(batch("d1", 4, "copy of 4"));
  On.Service_.put(batch("d1", 7, "7"));
  On.Service_.expire(3);
  Reader In(On);
  In.Tailer_.start();
  cr_assert(In.reaches(On.Service_.records().size()));
  cr_assert(In.Collected_.entries() == (Texts{"1", "2", "3", "4", "5", "6", "7"}));
  cr_assert(In.Collected_.Gaps_.empty());
}

// Guards against a caught-up daemon being reverted by a snapshot.
Test(Gaps, aCaughtUpReaderIgnoresSnapshots) {
  Store On;
  On.Service_.put(batch("d1", 1, "1"));
  putSnapshot(On, "d2", 1, 0, {{}, {{"texts", core::pack(Texts{"other"})}}}, 8);
  Reader In(On);
  In.Tailer_.start();
  cr_assert(In.reaches(On.Service_.records().size()));
  cr_assert(In.Collected_.entries() == Texts{"1"});
  cr_assert_eq(In.Tailer_.lastSnapshot()->BaseOffset_, 0);
}

// Guards against applying records twice or not at all after catching up from a peer.
Test(Gaps, aPositionFromAPeerIsContinued) {
  Store On;
  for (int I = 1; I <= 3; ++I)
    On.Service_.put(batch("d1", I, std::to_string(I)));
  On.Service_.put(batch("d1", 2, "copy of 2"));
  On.Service_.put(batch("d1", 4, "4"));
  Reader In(On);
  cr_assert(In.Tailer_.resume({3, {{"d1", 1, 3, 2}}}));
  cr_assert(!In.Tailer_.resume({2, {}}));
  In.Tailer_.start();
  cr_assert(In.reaches(5));
  cr_assert(In.Collected_.entries() == Texts{"4"});
}

// Guards against parts above the batch size, and against assembling a damaged snapshot.
Test(SnapshotParts, splittingAndAssemblingReturnTheBytes) {
  std::mt19937 Random(11);
  for (const std::size_t Size : {0U, 1U, 61'440U, 61'441U, 300'000U}) {
    std::string Bytes(Size, '\0');
    for (char &One : Bytes)
      One = static_cast<char>(Random());
    const auto Parts = splitSnapshot(RecordType::Snapshot, 9, Bytes);
    SnapshotAssembler Assembler;
    std::uint64_t Offset = 20;
    for (std::size_t I = 0; I < Parts.size(); ++I) {
      cr_assert(encodeBatch({"d1", 1, 1, {Parts[I]}}).size() < (64U << 10U));
      const bool Last = I + 1 == Parts.size();
      cr_assert(Assembler.add(Offset, {"d1", 1, I + 1}, Parts[I].Body_) == Last);
      // A part that is written twice changes nothing.
      if (!Last)
        cr_assert(!Assembler.add(Offset, {"d1", 1, I + 1}, Parts[I].Body_));
      // Parts of another writer in between belong to another snapshot.
      cr_assert(!Assembler.add(Offset, {"d2", 1, 1},
                               splitSnapshot(RecordType::Snapshot, 8, "other", 1)[0].Body_));
      ++Offset;
    }
    cr_assert(Assembler.last()->Bytes_ == Bytes);
    cr_assert_eq(Assembler.last()->BaseOffset_, 9);
  }
}
