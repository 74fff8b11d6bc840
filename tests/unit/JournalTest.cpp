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

/// A log service and its client. The timers outlive the client, whose callbacks post to them.
struct LogFixture {
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
  Options.MaxBatchAge_ = std::chrono::milliseconds(5);
  Options.RetryDelay_ = std::chrono::milliseconds(10);
  Options.BatchDeadline_ = std::chrono::milliseconds(500);
  Options.AppendsPerSecond_ = 1000;
  Options.Burst_ = 1000;
  return Options;
}

std::future<Outcome> append(Appender &Target, std::vector<Entry> Entries) {
  auto Promise = std::make_shared<std::promise<Outcome>>();
  Target.append(std::move(Entries), [Promise](std::error_code Error, std::uint64_t Offset) {
    Promise->set_value({core::kindOf(Error), Offset});
  });
  return Promise->get_future();
}

/// Records what a tailer delivers.
struct Collector {
  std::vector<std::string> entries() {
    const std::lock_guard Lock(Mutex_);
    return Entries_;
  }
  TailerHooks hooks() {
    TailerHooks Hooks;
    Hooks.OnEntry_ = [this](std::uint64_t, std::uint32_t, const BatchInfo &, const Entry &Item) {
      const std::lock_guard Lock(Mutex_);
      if (Item.Type_ == RecordType::Accept)
        Entries_.push_back(Item.Body_);
    };
    Hooks.OnBatchEnd_ = [this](std::uint64_t, const BatchInfo &, bool Copy) {
      ++(Copy ? Copies_ : Batches_);
    };
    Hooks.OnGap_ = [this](const Gap &Found) {
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

/// A tailer on a fixture; one per fixture, because it stops the timers.
struct Reader {
  explicit Reader(LogFixture &Fixture, TailerOptions Options = {})
      : Fixture_(Fixture),
        Tailer_((Options.Stream_ = "domain.a", Options.Interval_ = std::chrono::milliseconds(10),
                 Options),
                readFrom(Fixture.Log_, "domain.a"), Fixture.Timers_, Collected_.hooks()) {}
  ~Reader() { Fixture_.Timers_.stop(); }
  bool reaches(std::uint64_t Offset) {
    return waitFor([&] { return Tailer_.completeAsOf() && Tailer_.nextOffset() >= Offset; });
  }
  LogFixture &Fixture_;
  Collector Collected_;
  Tailer Tailer_;
};

using Texts = std::vector<std::string>;

void putSnapshot(LogFixture &Fixture, const std::string &Writer, std::uint64_t Sequence,
                 std::uint64_t Base, const SnapshotBody &Body, std::size_t PartBytes) {
  for (const Entry &Part : splitSnapshot(RecordType::Snapshot, Base, core::pack(Body), PartBytes))
    Fixture.Service_.put(encodeBatch({Writer, 1, Sequence++, {Part}}));
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

// Guards against decoding a truncated record as a batch without entries.
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
      for (char &Item : Bytes)
        Item = static_cast<char>(Random());
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

// Guards against one append per call, which would exceed the store's capacity.
Test(GroupCommit, callsAtTheSameTimeShareOneAppend) {
  core::Timers Timers;
  LogFixture Fixture;
  auto Options = fastOptions();
  Options.MaxBatchAge_ = std::chrono::milliseconds(50);
  Appender BatchAppender(Options, appendTo(Fixture.Log_, "domain.a"), Timers);
  std::vector<std::future<Outcome>> Results;
  Results.reserve(20);
  for (int I = 0; I < 20; ++I)
    Results.push_back(append(BatchAppender, {entry(std::to_string(I))}));
  for (auto &Item : Results)
    cr_assert(Item.get() == (Outcome{ErrorKind::None, 0}));
  cr_assert_eq(Fixture.Service_.appends(), 1);
  const auto Read = decodeBatch(Fixture.Service_.records().at(0));
  cr_assert_eq(Read->Entries_.size(), 20);
  cr_assert(Read->Entries_[13].Body_ == "13");
  cr_assert(waitFor([&] { return BatchAppender.idle(); }));
  cr_assert_eq(BatchAppender.bufferedBytes(), 0);
}

// Guards against batches above 64 KB and against splitting the entries of one call.
Test(GroupCommit, aFullBatchClosesAtItsSize) {
  core::Timers Timers;
  LogFixture Fixture;
  auto Options = fastOptions();
  Options.MaxBatchAge_ = std::chrono::seconds(30);
  Options.BatchDeadline_ = std::chrono::seconds(60);
  Options.MaxBatchBytes_ = 1000;
  Appender BatchAppender(Options, appendTo(Fixture.Log_, "domain.a"), Timers);
  auto First = append(BatchAppender, {entry(std::string(300, 'a')), entry(std::string(300, 'b'))});
  auto Second = append(BatchAppender, {entry(std::string(300, 'c')), entry(std::string(700, 'd'))});
  cr_assert(First.get() == (Outcome{ErrorKind::None, 0}));
  cr_assert(Second.get() == (Outcome{ErrorKind::None, 1}));
  cr_assert_eq(decodeBatch(Fixture.Service_.records().at(0))->Entries_.size(), 2);
}

// Guards against a daemon that exceeds its append rate and so its share of the store's capacity.
Test(GroupCommit, appendsStayWithinTheBudget) {
  core::Timers Timers;
  LogFixture Fixture;
  auto Options = fastOptions();
  Options.MaxBatchAge_ = std::chrono::milliseconds(1);
  Options.AppendsPerSecond_ = 20;
  Options.Burst_ = 2;
  Appender BatchAppender(Options, appendTo(Fixture.Log_, "domain.a"), Timers);
  const auto Begin = std::chrono::steady_clock::now();
  for (int I = 0; I < 6; ++I)
    cr_assert(append(BatchAppender, {entry("x")}).get().first == ErrorKind::None);
  const auto Spent = std::chrono::steady_clock::now() - Begin;
  // Two at once, four more at 20/s.
  cr_assert(Spent >= std::chrono::milliseconds(195));
}

// Guards against applying a record twice after its first answer was lost.
Test(LostAnswer, aRetryHasOneEffect) {
  core::Timers Timers;
  LogFixture Fixture;
  Fixture.Service_.plan({AppendBehavior::AcceptWithoutAnswer});
  Appender BatchAppender(fastOptions(), appendTo(Fixture.Log_, "domain.a"), Timers);
  cr_assert(append(BatchAppender, {entry("once")}).get().first == ErrorKind::None);
  cr_assert_eq(Fixture.Service_.records().size(), 2);
  cr_assert(Fixture.Service_.records()[0] == Fixture.Service_.records()[1]);
  Reader StreamReader(Fixture);
  StreamReader.Tailer_.start();
  cr_assert(StreamReader.reaches(2));
  cr_assert(StreamReader.Collected_.entries() == Texts{"once"});
  cr_assert_eq(StreamReader.Collected_.Copies_.load(), 1);
}

// Guards against reporting an unknown outcome for a batch that replay has already shown.
Test(LostAnswer, replaySettlesTheBatch) {
  core::Timers Timers;
  LogFixture Fixture;
  Fixture.Service_.setDefaultBehavior(AppendBehavior::AcceptWithoutAnswer);
  Appender BatchAppender(fastOptions(), appendTo(Fixture.Log_, "domain.a"), Timers);
  auto Result = append(BatchAppender, {entry("seen")});
  cr_assert(waitFor([&] { return Fixture.Service_.appends() >= 1; }));
  BatchAppender.observed({"d2", 1, 1}, 5);
  BatchAppender.observed({"d1", 2, 1}, 6);
  BatchAppender.observed({"d1", 1, 1}, 0);
  cr_assert(Result.get() == (Outcome{ErrorKind::None, 0}));
}

// Guards against reporting "not run" for an append when one of its attempts may have been written.
Test(LostAnswer, theDeadlineTellsCertainFromUnknown) {
  core::Timers Timers;
  LogFixture Fixture;
  Appender BatchAppender(fastOptions(), appendTo(Fixture.Log_, "domain.a"), Timers);
  Fixture.Service_.setDefaultBehavior(AppendBehavior::Refuse);
  cr_assert(append(BatchAppender, {entry("a")}).get().first == ErrorKind::StoreUnavailable);
  Fixture.Service_.plan({AppendBehavior::DropWithoutAnswer});
  cr_assert(append(BatchAppender, {entry("b")}).get().first == ErrorKind::AppendUnknown);
  cr_assert(Fixture.Service_.records().empty());
  Fixture.Service_.setDefaultBehavior(AppendBehavior::Acknowledge);
  cr_assert(append(BatchAppender, {entry("c")}).get() == (Outcome{ErrorKind::None, 0}));
  cr_assert_eq(decodeBatch(Fixture.Service_.records().at(0))->Sequence_, 3);
}

// Guards against unbounded memory while the store is unavailable, and against losing accepted
// entries.
Test(LostAnswer, theBufferIsBounded) {
  core::Timers Timers;
  LogFixture Fixture;
  auto Options = fastOptions();
  Options.MaxBufferedBytes_ = 1000;
  Options.MaxAppendBytes_ = 900;
  Fixture.Service_.plan({AppendBehavior::Refuse, AppendBehavior::Refuse});
  Appender BatchAppender(Options, appendTo(Fixture.Log_, "domain.a"), Timers);
  auto Kept = append(BatchAppender, {entry(std::string(600, 'a'))});
  cr_assert(append(BatchAppender, {entry(std::string(600, 'b'))}).get().first ==
            ErrorKind::StoreUnavailable);
  cr_assert(append(BatchAppender, {entry(std::string(950, 'c'))}).get().first ==
            ErrorKind::BodyTooLarge);
  cr_assert(Kept.get().first == ErrorKind::None);
  BatchAppender.stop();
  cr_assert(append(BatchAppender, {entry("d")}).get().first == ErrorKind::Stopping);
}

// Guards against a second append while the first is in flight: their order would be undefined.
Test(LostAnswer, oneAppendIsOutstanding) {
  core::Timers Timers;
  std::mutex Mutex;
  std::vector<std::function<void(std::error_code, std::uint64_t)>> Outstanding;
  const auto Waiting = [&] {
    const std::lock_guard Lock(Mutex);
    return Outstanding.size();
  };
  Appender BatchAppender(
      fastOptions(),
      [&](std::string, std::function<void(std::error_code, std::uint64_t)> Done) {
        const std::lock_guard Lock(Mutex);
        Outstanding.push_back(std::move(Done));
      },
      Timers);
  auto First = append(BatchAppender, {entry("a")});
  cr_assert(waitFor([&] { return Waiting() == 1; }));
  auto Second = append(BatchAppender, {entry("b")});
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  cr_assert_eq(Waiting(), 1);
  Outstanding[0]({}, 4);
  cr_assert(waitFor([&] { return Waiting() == 2; }));
  Outstanding[1]({}, 5);
  cr_assert(First.get() == (Outcome{ErrorKind::None, 4}));
  cr_assert(Second.get() == (Outcome{ErrorKind::None, 5}));
  Timers.stop();
}

// Guards against applying an abandoned batch that reaches the log after newer ones.
Test(Replay, aDelayedCopyOfAnAbandonedBatchHasNoEffect) {
  LogFixture Fixture;
  Fixture.Service_.put(batch("d1", 2, "second"));
  Fixture.Service_.put(batch("d1", 1, "abandoned"));
  Fixture.Service_.put(batch("d1", 3, "third"));
  Reader StreamReader(Fixture);
  StreamReader.Tailer_.start();
  cr_assert(StreamReader.reaches(3));
  cr_assert(StreamReader.Collected_.entries() == (Texts{"second", "third"}));
}

// Guards against skipping a batch because of the sequence of another writer or incarnation.
Test(Replay, twoWritersAreInterleaved) {
  LogFixture Fixture;
  Fixture.Service_.put(batch("d1", 5, "a"));
  Fixture.Service_.put(batch("d2", 1, "b"));
  Fixture.Service_.put(batch("d1", 6, "c"));
  Fixture.Service_.put(batch("d2", 1, "copy"));
  Fixture.Service_.put(encodeBatch({"d1", 2, 1, {entry("restarted"), entry("twice")}}));
  Fixture.Service_.put("not a batch");
  Fixture.Service_.put(batch("d2", 2, "d"));
  TailerOptions Options;
  Options.MaxRecords_ = 2;
  Reader StreamReader(Fixture, Options);
  StreamReader.Tailer_.start();
  cr_assert(StreamReader.reaches(7));
  cr_assert(StreamReader.Collected_.entries() == (Texts{"a", "b", "c", "restarted", "twice", "d"}));
}

// Guards against counting a failed read as one that reached the end of the stream.
Test(Replay, completenessCountsFromTheLastGoodRead) {
  LogFixture Fixture;
  Reader StreamReader(Fixture);
  StreamReader.Tailer_.start();
  cr_assert(StreamReader.reaches(0));
  Fixture.Service_.failReads(true);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  const auto Before = StreamReader.Tailer_.completeAsOf();
  const auto Reads = StreamReader.Tailer_.reads();
  cr_assert(waitFor([&] { return StreamReader.Tailer_.reads() > Reads + 2; }));
  cr_assert(StreamReader.Tailer_.completeAsOf() == Before);
  Fixture.Service_.failReads(false);
  Fixture.Service_.put(batch("d1", 1, "late"));
  cr_assert(waitFor([&] { return StreamReader.Collected_.entries() == Texts{"late"}; }));
  cr_assert(waitFor([&] { return StreamReader.Tailer_.completeAsOf() > Before; }));
}

// Guards against waiting a whole interval after a Notice.
Test(Replay, aNudgeReadsAtOnce) {
  core::Timers Timers;
  LogFixture Fixture;
  Collector Collected;
  TailerOptions Options;
  Options.Interval_ = std::chrono::hours(1);
  Tailer StreamReader(Options, readFrom(Fixture.Log_, "domain.a"), Timers, Collected.hooks());
  StreamReader.start();
  cr_assert(waitFor([&] { return StreamReader.completeAsOf().has_value(); }));
  Fixture.Service_.put(batch("d1", 1, "x"));
  StreamReader.readNow();
  cr_assert(waitFor([&] { return Collected.entries() == Texts{"x"}; }));
  cr_assert_eq(StreamReader.reads(), 2);
  Timers.stop();
}

// Guards against serving a state that lacks expired records.
Test(Gaps, aGapWithoutASnapshotIsReported) {
  LogFixture Fixture;
  for (int I = 1; I <= 4; ++I)
    Fixture.Service_.put(batch("d1", I, std::to_string(I)));
  Fixture.Service_.expire(2);
  Reader StreamReader(Fixture);
  StreamReader.Tailer_.start();
  cr_assert(waitFor([&] { return StreamReader.Tailer_.gap().has_value(); }));
  cr_assert_eq(StreamReader.Tailer_.gap()->Needed_, 0);
  cr_assert_eq(StreamReader.Tailer_.gap()->First_, 2);
  cr_assert(!StreamReader.Tailer_.completeAsOf());
  cr_assert(StreamReader.Collected_.entries().empty());
  const auto Reads = StreamReader.Tailer_.reads();
  cr_assert(waitFor([&] { return StreamReader.Tailer_.reads() > Reads + 2; }));
  cr_assert_eq(StreamReader.Collected_.Gaps_.size(), 1);

  // A snapshot that is written later closes the gap.
  putSnapshot(Fixture, "d2", 1, 3, {{}, {{"texts", core::pack(Texts{"1", "2", "3", "4"})}}}, 4);
  Fixture.Service_.put(batch("d1", 5, "5"));
  cr_assert(StreamReader.reaches(Fixture.Service_.records().size()));
  cr_assert(!StreamReader.Tailer_.gap());
  cr_assert(StreamReader.Collected_.entries() == (Texts{"1", "2", "3", "4", "5"}));
}

// Guards against a snapshot that reverts records after its base, and against applying duplicates of
// batches from before the base.
Test(Gaps, theLastCompleteSnapshotIsLoadedAndTheRestApplied) {
  LogFixture Fixture;
  for (int I = 1; I <= 6; ++I)
    Fixture.Service_.put(batch("d1", I, std::to_string(I)));
  const SnapshotBody Old{{{"d1", 1, 3, 2}}, {{"texts", core::pack(Texts{"1", "2", "3"})}}};
  const SnapshotBody New{{{"d1", 1, 5, 4}},
                         {{"texts", core::pack(Texts{"1", "2", "3", "4", "5"})}}};
  putSnapshot(Fixture, "d2", 1, 2, Old, 8);
  putSnapshot(Fixture, "d2", 100, 4, New, 8);
  // An incomplete snapshot: its last part is missing.
  const auto Parts = splitSnapshot(RecordType::Snapshot, 5, core::pack(New), 8);
  Fixture.Service_.put(encodeBatch({"d3", 1, 1, {Parts.at(0)}}));
  Fixture.Service_.put(batch("d1", 4, "copy of 4"));
  Fixture.Service_.put(batch("d1", 7, "7"));
  Fixture.Service_.expire(3);
  Reader StreamReader(Fixture);
  StreamReader.Tailer_.start();
  cr_assert(StreamReader.reaches(Fixture.Service_.records().size()));
  cr_assert(StreamReader.Collected_.entries() == (Texts{"1", "2", "3", "4", "5", "6", "7"}));
  cr_assert(StreamReader.Collected_.Gaps_.empty());
}

// Guards against reverting a caught-up reader to a snapshot.
Test(Gaps, aCaughtUpReaderIgnoresSnapshots) {
  LogFixture Fixture;
  Fixture.Service_.put(batch("d1", 1, "1"));
  putSnapshot(Fixture, "d2", 1, 0, {{}, {{"texts", core::pack(Texts{"other"})}}}, 8);
  Reader StreamReader(Fixture);
  StreamReader.Tailer_.start();
  cr_assert(StreamReader.reaches(Fixture.Service_.records().size()));
  cr_assert(StreamReader.Collected_.entries() == Texts{"1"});
  cr_assert_eq(StreamReader.Tailer_.lastSnapshot()->BaseOffset_, 0);
}

// Guards against applying records twice or not at all after catching up from a peer.
Test(Gaps, aPositionFromAPeerIsContinued) {
  LogFixture Fixture;
  for (int I = 1; I <= 3; ++I)
    Fixture.Service_.put(batch("d1", I, std::to_string(I)));
  Fixture.Service_.put(batch("d1", 2, "copy of 2"));
  Fixture.Service_.put(batch("d1", 4, "4"));
  Reader StreamReader(Fixture);
  cr_assert(StreamReader.Tailer_.resume({3, {{"d1", 1, 3, 2}}}));
  cr_assert(!StreamReader.Tailer_.resume({2, {}}));
  StreamReader.Tailer_.start();
  cr_assert(StreamReader.reaches(5));
  cr_assert(StreamReader.Collected_.entries() == Texts{"4"});
}

// Guards against parts above the batch size, and against assembling a damaged snapshot.
Test(SnapshotParts, splittingAndAssemblingReturnTheBytes) {
  std::mt19937 Random(11);
  for (const std::size_t Size : {0U, 1U, 61'440U, 61'441U, 300'000U}) {
    std::string Bytes(Size, '\0');
    for (char &Item : Bytes)
      Item = static_cast<char>(Random());
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
