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

constexpr core::Millis OwnershipTick{100};
constexpr std::string_view OwnershipSection = "ownership";
constexpr std::string_view JobsSection = "jobs";
/// A new owner that has seen no snapshot writes one after this time.
constexpr core::Duration FirstSnapshotAfter = std::chrono::minutes(5);

} // namespace

struct DomainStream::Impl : std::enable_shared_from_this<Impl> {
  Impl(DomainStreamOptions Options, DomainStreamHooks Hooks, legacy::LogClient &Log,
       core::Timers &Timers)
      : Options_(std::move(Options)), Hooks_(std::move(Hooks)), Timers_(Timers),
        Appender_(appenderOptions(Options_), journal::appendTo(Log, Options_.Stream_), Timers),
        Ownership_(Options_.Ownership_, ownershipHooks()),
        Tailer_(tailerOptions(Options_), journal::readFrom(Log, Options_.Stream_), Timers,
                tailerHooks()) {}

  static journal::AppenderOptions appenderOptions(const DomainStreamOptions &From) {
    journal::AppenderOptions To;
    To.Stream_ = From.Stream_;
    To.Writer_ = From.Ownership_.Instance_;
    To.Incarnation_ = From.Ownership_.Incarnation_;
    To.MaxBatchAge_ = From.BatchClose_;
    To.AppendsPerSecond_ = From.AppendsPerSecond_;
    return To;
  }

  static journal::TailerOptions tailerOptions(const DomainStreamOptions &From) {
    journal::TailerOptions To;
    To.Stream_ = From.Stream_;
    To.Interval_ = From.Poll_;
    return To;
  }

  ownership::OwnershipHooks ownershipHooks() {
    ownership::OwnershipHooks To;
    To.Append_ = [this](auto Entries, auto Done) {
      Appender_.append(std::move(Entries), std::move(Done));
    };
    To.ReadNow_ = [this] { Tailer_.readNow(); };
    To.AskConsent_ = Hooks_.AskConsent_;
    To.MissedFor_ = Hooks_.MissedFor_;
    To.StoreAge_ = Hooks_.StoreAge_;
    To.IsGone_ = Hooks_.IsGone_;
    To.OnAcquired_ = [this](std::uint64_t Term, TimePoint SlotsFreeAt) {
      AcquiredAt_ = core::Clock::now();
      Hooks_.OnAcquired_(Term, SlotsFreeAt);
    };
    To.OnLost_ = Hooks_.OnLost_;
    return To;
  }

  journal::TailerHooks tailerHooks() {
    journal::TailerHooks To;
    To.OnEntry_ = [this](std::uint64_t Offset, std::uint32_t, const journal::BatchInfo &,
                         const journal::Entry &Record) { replay(Offset, Record); };
    To.OnBatchEnd_ = [this](std::uint64_t Offset, const journal::BatchInfo &Info, bool) {
      Appender_.observed(Info, Offset);
    };
    To.OnCaughtUp_ = [this] { caughtUp(); };
    To.OnGap_ = [this](const journal::Gap &Missing) {
      core::log(core::LogLevel::Error, "records expired before they were read",
                {{"stream", Options_.Stream_},
                 {"needed", std::to_string(Missing.Needed_)},
                 {"first", std::to_string(Missing.First_)}});
    };
    To.LoadSnapshot_ = [this](const journal::SnapshotBody &Body, std::uint64_t) {
      return load(Body);
    };
    return To;
  }

  void replay(std::uint64_t Offset, const journal::Entry &Record) {
    Ownership_.onRecord(Offset, Record.Type_, Record.Body_, core::Clock::now());
    if (Record.Type_ == journal::RecordType::Claim)
      Term_ = Ownership_.state().Term_;
    const jobs::Change What = Jobs_.apply(Record, Offset, Term_);
    if (What.Kind_ != jobs::ChangeKind::None)
      Hooks_.OnChange_(What);
  }

  bool load(const journal::SnapshotBody &Body) {
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

  void caughtUp() {
    const auto AsOf = Tailer_.completeAsOf();
    if (!AsOf)
      return;
    Ownership_.onReadComplete(*AsOf);
    std::list<Barrier> Ready;
    for (auto Place = Barriers_.begin(); Place != Barriers_.end();) {
      const auto Next = std::next(Place);
      if (Place->Since_ <= *AsOf)
        Ready.splice(Ready.end(), Barriers_, Place);
      Place = Next;
    }
    for (Barrier &One : Ready)
      One.Done_({});
    writeSnapshotIfDue();
  }

  void writeSnapshotIfDue() {
    const TimePoint Now = core::Clock::now();
    if (!Ownership_.holds(Now) || SnapshotInFlight_)
      return;
    const auto Seen = Tailer_.lastSnapshot();
    if (Seen && Seen->Offset_ != SeenSnapshot_) {
      SeenSnapshot_ = Seen->Offset_;
      SnapshotAt_ = Now;
    }
    const TimePoint Due = SnapshotAt_
                              ? *SnapshotAt_ + Options_.Retention_ / 2
                              : AcquiredAt_ + std::min(FirstSnapshotAfter, Options_.Retention_ / 8);
    if (Now < Due)
      return;
    SnapshotInFlight_ = true;
    SnapshotAt_ = Now;
    const journal::Position At = Tailer_.position();
    journal::SnapshotBody Body;
    Body.Sequences_ = At.Sequences_;
    Body.Sections_.emplace_back(OwnershipSection, core::pack(Ownership_.state()));
    Body.Sections_.emplace_back(JobsSection, Jobs_.encode());
    auto Parts =
        journal::splitSnapshot(journal::RecordType::Snapshot, At.NextOffset_ - 1, core::pack(Body));
    core::log(core::LogLevel::Info, "writing snapshot",
              {{"stream", Options_.Stream_},
               {"base", std::to_string(At.NextOffset_ - 1)},
               {"parts", std::to_string(Parts.size())}});
    for (std::size_t I = 0; I < Parts.size(); ++I)
      Appender_.append({std::move(Parts[I])},
                       [this, Last = I + 1 == Parts.size()](std::error_code, std::uint64_t) {
                         if (Last)
                           SnapshotInFlight_ = false;
                       });
  }

  void barrier(core::Duration Timeout, std::function<void(std::error_code)> Done) {
    Timers_.post([Self = shared_from_this(), Timeout, Done = std::move(Done)]() mutable {
      const std::uint64_t Id = ++Self->NextBarrier_;
      Self->Barriers_.push_back({Id, core::Clock::now(), std::move(Done)});
      Self->Tailer_.readNow();
      Self->Timers_.after(Timeout, [Self, Id] { Self->expire(Id); });
    });
  }

  void expire(std::uint64_t Id) {
    for (auto Place = Barriers_.begin(); Place != Barriers_.end(); ++Place)
      if (Place->Id_ == Id) {
        const auto Done = std::move(Place->Done_);
        Barriers_.erase(Place);
        return Done(core::ErrorKind::StoreUnavailable);
      }
  }

  /// A reader that waits for replay to pass the moment of its call.
  struct Barrier {
    std::uint64_t Id_;
    TimePoint Since_;
    std::function<void(std::error_code)> Done_;
  };

  const DomainStreamOptions Options_;
  const DomainStreamHooks Hooks_;
  core::Timers &Timers_;
  jobs::DomainState Jobs_;
  journal::Appender Appender_;
  ownership::OwnershipDriver Ownership_;
  journal::Tailer Tailer_;
  // Only the timer thread uses the members below.
  std::uint64_t Term_ = 0; ///< in force at the last replayed record
  std::list<Barrier> Barriers_;
  std::uint64_t NextBarrier_ = 0;
  TimePoint AcquiredAt_{};
  std::optional<TimePoint> SnapshotAt_;
  std::uint64_t SeenSnapshot_ = 0;
  bool SnapshotInFlight_ = false;
};

DomainStream::DomainStream(DomainStreamOptions Options, DomainStreamHooks Hooks,
                           legacy::LogClient &Log, core::Timers &Timers)
    : Impl_(std::make_shared<Impl>(std::move(Options), std::move(Hooks), Log, Timers)) {}

DomainStream::~DomainStream() { Impl_->Tailer_.stop(); }

void DomainStream::start() {
  Impl_->Tailer_.start();
  Impl_->Timers_.every(OwnershipTick, [Weak = std::weak_ptr(Impl_)] {
    if (const auto Self = Weak.lock())
      Self->Ownership_.tick(core::Clock::now());
  });
}

void DomainStream::stop() { Impl_->Tailer_.stop(); }

void DomainStream::append(std::vector<journal::Entry> Entries,
                          std::function<void(std::error_code, std::uint64_t)> Done) {
  Impl_->Appender_.append(std::move(Entries), [Self = Impl_, Done = std::move(Done)](
                                                  std::error_code Error, std::uint64_t Offset) {
    // Replay gives the records their effect, so it follows without waiting for the next poll.
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
