#include "masticdrift/cell/DomainStream.h"

#include "masticdrift/core/Error.h"
#include "masticdrift/core/Log.h"
#include "masticdrift/core/Pack.h"

#include <atomic>
#include <list>
#include <mutex>

namespace masticdrift::cell {

namespace {

using core::TimePoint;

constexpr core::Millis OwnershipTickInterval{100};
constexpr std::string_view OwnershipSection = "ownership";
constexpr std::string_view JobsSection = "jobs";
/// A new owner that has read no snapshot writes one at the latest after this time.
constexpr core::Duration MaxFirstSnapshotDelay = std::chrono::minutes(5);

} // namespace

struct DomainStream::Impl : std::enable_shared_from_this<Impl> {
  Impl(DomainStreamOptions Options, DomainStreamHooks Hooks, legacy::LogClient &Log,
       core::Timers &Timers)
      : Options_(std::move(Options)), Hooks_(std::move(Hooks)), Timers_(Timers),
        Appender_(appenderOptions(Options_), journal::appendTo(Log, Options_.Stream_), Timers),
        Ownership_(Options_.Ownership_, ownershipHooks()),
        Tailer_(tailerOptions(Options_), journal::readFrom(Log, Options_.Stream_), Timers,
                tailerHooks()) {}

  static journal::AppenderOptions appenderOptions(const DomainStreamOptions &Options) {
    journal::AppenderOptions Result;
    Result.Stream_ = Options.Stream_;
    Result.Writer_ = Options.Ownership_.Instance_;
    Result.Incarnation_ = Options.Ownership_.Incarnation_;
    Result.MaxBatchAge_ = Options.BatchCloseDelay_;
    Result.AppendsPerSecond_ = Options.AppendsPerSecond_;
    return Result;
  }

  static journal::TailerOptions tailerOptions(const DomainStreamOptions &Options) {
    journal::TailerOptions Result;
    Result.Stream_ = Options.Stream_;
    Result.Interval_ = Options.PollInterval_;
    return Result;
  }

  ownership::OwnershipHooks ownershipHooks() {
    ownership::OwnershipHooks Hooks;
    Hooks.Append_ = [this](auto Entries, auto Done) {
      Appender_.append(std::move(Entries), std::move(Done));
    };
    Hooks.ReadNow_ = [this] { Tailer_.readNow(); };
    Hooks.RequestConsent_ = Hooks_.RequestConsent_;
    Hooks.TimeSinceReply_ = Hooks_.TimeSinceReply_;
    Hooks.StoreReadAge_ = Hooks_.StoreReadAge_;
    Hooks.IsTerminated_ = Hooks_.IsTerminated_;
    Hooks.OnAcquired_ = [this](std::uint64_t Term, TimePoint SlotsFreeAt) {
      AcquiredAt_ = core::Clock::now();
      Hooks_.OnAcquired_(Term, SlotsFreeAt);
    };
    Hooks.OnLost_ = Hooks_.OnLost_;
    return Hooks;
  }

  journal::TailerHooks tailerHooks() {
    journal::TailerHooks Hooks;
    Hooks.OnEntry_ = [this](std::uint64_t Offset, std::uint32_t, const journal::BatchInfo &,
                            const journal::Entry &Record) { replay(Offset, Record); };
    Hooks.OnBatchEnd_ = [this](std::uint64_t Offset, const journal::BatchInfo &Info, bool) {
      Appender_.observed(Info, Offset);
    };
    Hooks.OnCaughtUp_ = [this] { onCaughtUp(); };
    Hooks.OnGap_ = [this](const journal::Gap &Gap) {
      core::log(core::LogLevel::Error, "records expired before they were read",
                {{"stream", Options_.Stream_},
                 {"needed", std::to_string(Gap.Needed_)},
                 {"first", std::to_string(Gap.First_)}});
    };
    Hooks.LoadSnapshot_ = [this](const journal::SnapshotBody &Body, std::uint64_t) {
      return loadSnapshot(Body);
    };
    return Hooks;
  }

  void replay(std::uint64_t Offset, const journal::Entry &Record) {
    Ownership_.onRecord(Offset, Record.Type_, Record.Body_, core::Clock::now());
    if (Record.Type_ == journal::RecordType::Claim)
      Term_ = Ownership_.state().Term_;
    const jobs::Change Change = Jobs_.apply(Record, Offset, Term_);
    if (Change.Kind_ != jobs::ChangeKind::None)
      Hooks_.OnChange_(Change);
  }

  bool loadSnapshot(const journal::SnapshotBody &Body) {
    const auto Ownership = Body.section(OwnershipSection);
    const auto Jobs = Body.section(JobsSection);
    if (!Ownership || !Jobs)
      return false;
    auto Claims = core::unpack<ownership::ClaimState>(*Ownership);
    if (!Claims || !Jobs_.decode(*Jobs))
      return false;
    Term_ = Claims->Term_;
    Ownership_.restore(std::move(*Claims), core::Clock::now());
    return true;
  }

  void onCaughtUp() {
    const auto AsOf = Tailer_.completeAsOf();
    if (!AsOf)
      return;
    Ownership_.onReadComplete(*AsOf);
    std::list<Barrier> Passed;
    for (auto It = Barriers_.begin(); It != Barriers_.end();) {
      const auto Next = std::next(It);
      if (It->RequestedAt_ <= *AsOf)
        Passed.splice(Passed.end(), Barriers_, It);
      It = Next;
    }
    for (Barrier &Reader : Passed)
      Reader.Done_({});
    writeSnapshotIfDue();
  }

  void writeSnapshotIfDue() {
    const TimePoint Now = core::Clock::now();
    if (!Ownership_.holds(Now) || SnapshotInFlight_)
      return;
    const auto LastSnapshot = Tailer_.lastSnapshot();
    if (LastSnapshot && LastSnapshot->Offset_ != LastSnapshotOffset_) {
      LastSnapshotOffset_ = LastSnapshot->Offset_;
      LastSnapshotAt_ = Now;
    }
    const TimePoint Due =
        LastSnapshotAt_ ? *LastSnapshotAt_ + Options_.Retention_ / 2
                        : AcquiredAt_ + std::min(MaxFirstSnapshotDelay, Options_.Retention_ / 8);
    if (Now < Due)
      return;
    SnapshotInFlight_ = true;
    LastSnapshotAt_ = Now;
    const journal::Position Position = Tailer_.position();
    journal::SnapshotBody Body;
    Body.Sequences_ = Position.Sequences_;
    Body.Sections_.emplace_back(OwnershipSection, core::pack(Ownership_.state()));
    Body.Sections_.emplace_back(JobsSection, Jobs_.encode());
    auto Parts = journal::splitSnapshot(journal::RecordType::Snapshot, Position.NextOffset_ - 1,
                                        core::pack(Body));
    core::log(core::LogLevel::Info, "writing snapshot",
              {{"stream", Options_.Stream_},
               {"base", std::to_string(Position.NextOffset_ - 1)},
               {"parts", std::to_string(Parts.size())}});
    for (std::size_t PartIndex = 0; PartIndex < Parts.size(); ++PartIndex)
      Appender_.append(
          {std::move(Parts[PartIndex])},
          [this, IsLast = PartIndex + 1 == Parts.size()](std::error_code, std::uint64_t) {
            if (IsLast)
              SnapshotInFlight_ = false;
          });
  }

  void barrier(core::Duration Timeout, std::function<void(std::error_code)> Done) {
    Timers_.post([Self = shared_from_this(), Timeout, Done = std::move(Done)]() mutable {
      const std::uint64_t Id = ++Self->LastBarrierId_;
      Self->Barriers_.push_back({Id, core::Clock::now(), std::move(Done)});
      Self->Tailer_.readNow();
      Self->Timers_.after(Timeout, [Self, Id] { Self->expireBarrier(Id); });
    });
  }

  void expireBarrier(std::uint64_t Id) {
    for (auto It = Barriers_.begin(); It != Barriers_.end(); ++It)
      if (It->Id_ == Id) {
        const auto Done = std::move(It->Done_);
        Barriers_.erase(It);
        return Done(core::ErrorKind::StoreUnavailable);
      }
  }

  /// A pending barrier() call: it waits until a read sent after the call has been replayed.
  struct Barrier {
    std::uint64_t Id_;
    TimePoint RequestedAt_;
    std::function<void(std::error_code)> Done_;
  };

  const DomainStreamOptions Options_;
  const DomainStreamHooks Hooks_;
  core::Timers &Timers_;
  jobs::DomainState Jobs_;
  journal::Appender Appender_;
  ownership::OwnershipDriver Ownership_;
  journal::Tailer Tailer_;
  // Used on the timer thread only:
  std::uint64_t Term_ = 0; ///< term as of the last replayed record
  std::list<Barrier> Barriers_;
  std::uint64_t LastBarrierId_ = 0;
  TimePoint AcquiredAt_{};
  std::optional<TimePoint> LastSnapshotAt_;
  std::uint64_t LastSnapshotOffset_ = 0;
  bool SnapshotInFlight_ = false;
};

DomainStream::DomainStream(DomainStreamOptions Options, DomainStreamHooks Hooks,
                           legacy::LogClient &Log, core::Timers &Timers)
    : Impl_(std::make_shared<Impl>(std::move(Options), std::move(Hooks), Log, Timers)) {}

DomainStream::~DomainStream() { Impl_->Tailer_.stop(); }

void DomainStream::start() {
  Impl_->Tailer_.start();
  Impl_->Timers_.every(OwnershipTickInterval, [Weak = std::weak_ptr(Impl_)] {
    if (const auto Self = Weak.lock())
      Self->Ownership_.tick(core::Clock::now());
  });
}

void DomainStream::stop() { Impl_->Tailer_.stop(); }

void DomainStream::append(std::vector<journal::Entry> Entries,
                          std::function<void(std::error_code, std::uint64_t)> Done) {
  Impl_->Appender_.append(std::move(Entries), [Self = Impl_, Done = std::move(Done)](
                                                  std::error_code Error, std::uint64_t Offset) {
    // Records take effect when they are replayed, so they are read without waiting for the next
    // poll.
    Self->Tailer_.readNow();
    Done(Error, Offset);
  });
}

void DomainStream::readNow() { Impl_->Tailer_.readNow(); }

void DomainStream::barrier(core::Duration Timeout, std::function<void(std::error_code)> Done) {
  Impl_->barrier(Timeout, std::move(Done));
}

const jobs::DomainState &DomainStream::jobs() const { return Impl_->Jobs_; }
ownership::OwnershipDriver &DomainStream::ownership() { return Impl_->Ownership_; }
const ownership::OwnershipDriver &DomainStream::ownership() const { return Impl_->Ownership_; }
std::optional<TimePoint> DomainStream::completeAsOf() const {
  return Impl_->Tailer_.completeAsOf();
}
std::optional<journal::Gap> DomainStream::gap() const { return Impl_->Tailer_.gap(); }
bool DomainStream::idle() const { return Impl_->Appender_.idle(); }

} // namespace masticdrift::cell
