// standin-proxy: TCP proxy that injects network faults; one process serves several links.
#include "masticdrift/core/Clock.h"
#include "standins/common/Program.h"

#include <array>
#include <deque>
#include <map>
#include <set>

#include <CLI/CLI.hpp>

using namespace masticdrift;
using namespace masticdrift::standins;
using asio::ip::tcp;

namespace {

/// A connection stops reading from one side while this many bytes wait for the other.
constexpr std::size_t MaxQueuedBytes = 1U << 20U;

/// Direction of a byte stream; index of the side that the bytes are read from.
enum FlowDirection : std::size_t { ClientToTarget, TargetToClient };

/// Fault settings and counters of one direction of a link.
struct DirectionState {
  std::int64_t DelayMs_ = 0;
  double BytesPerSecond_ = 0; ///< 0 for no limit; shared by the link's connections
  bool SilenceAll_ = false;
  std::int64_t TruncateAfter_ = -1; ///< bytes per connection, -1 for no limit
  core::TimePoint BandwidthFreeAt_; ///< end of transmission of the bytes queued so far
  std::uint64_t Bytes_ = 0;
};

class Connection;

/// One listening port and its target.
struct Link {
  Link(asio::io_context &Io, std::uint16_t Port) : PortReservation_(Io, tcp::v4()), Acceptor_(Io) {
    PortReservation_.set_option(tcp::socket::reuse_address(true));
    PortReservation_.bind({asio::ip::address_v4::loopback(), Port});
  }

  std::uint16_t port() const { return PortReservation_.local_endpoint().port(); }

  tcp::endpoint Target_;
  bool Cut_ = false;
  std::int64_t DropAnswers_ = 0; ///< number of responses to drop
  std::array<DirectionState, 2> Directions_;
  std::uint64_t Accepted_ = 0;
  std::set<std::shared_ptr<Connection>> Open_;
  /// Bound but not listening: reserves the port and refuses connections while the link is cut.
  tcp::socket PortReservation_;
  tcp::acceptor Acceptor_;
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(asio::io_context &Io, Link &Owner, tcp::socket Client)
      : Link_(Owner), Sides_{Side(Io), Side(Io)} {
    Sides_[ClientToTarget].Socket_ = std::move(Client);
  }

  void start() {
    for (const FlowDirection Flow : {ClientToTarget, TargetToClient})
      Sides_[Flow].Silent_ = Link_.Directions_[Flow].SilenceAll_;
    // Simulates a lost connection attempt: the target sees nothing.
    if (Sides_[ClientToTarget].Silent_)
      return read(ClientToTarget);
    Sides_[TargetToClient].Socket_.async_connect(
        Link_.Target_, [Self = shared_from_this()](std::error_code Error) {
          if (Error)
            return Self->close();
          for (const FlowDirection Flow : {ClientToTarget, TargetToClient}) {
            Self->Sides_[Flow].Socket_.set_option(tcp::no_delay(true), Error);
            Self->read(Flow);
          }
        });
  }

  /// Stops forwarding both bytes and the end of the stream in this direction.
  void silence(FlowDirection Flow) {
    Sides_[Flow].Silent_ = true;
    Sides_[Flow].Queue_.clear();
  }

  void resetByteCount(FlowDirection Flow) { Sides_[Flow].DeliveredBytes_ = 0; }

  void close() {
    if (!Open_)
      return;
    Open_ = false;
    std::error_code Ignored;
    for (Side &Endpoint : Sides_) {
      Endpoint.Socket_.close(Ignored);
      Endpoint.Timer_.cancel();
    }
    Link_.Open_.erase(shared_from_this());
  }

private:
  struct Chunk {
    core::TimePoint DueTime_;
    std::string Bytes_; ///< empty: end of the stream
  };

  /// One side of the connection, with the data read from it that waits to be written to the other.
  struct Side {
    explicit Side(asio::io_context &Io) : Socket_(Io), Timer_(Io) {}
    tcp::socket Socket_;
    asio::steady_timer Timer_;
    std::array<char, 16384> Buffer_{};
    std::deque<Chunk> Queue_;
    std::size_t QueuedBytes_ = 0;
    bool Writing_ = false;
    bool Reading_ = false;
    bool Silent_ = false;
    bool EndOfStream_ = false;
    std::int64_t DeliveredBytes_ = 0;
  };

  static FlowDirection opposite(FlowDirection Flow) {
    return Flow == ClientToTarget ? TargetToClient : ClientToTarget;
  }

  void read(FlowDirection Flow) {
    Side &Source = Sides_[Flow];
    Source.Reading_ = true;
    Source.Socket_.async_read_some(
        asio::buffer(Source.Buffer_),
        [Self = shared_from_this(), Flow](std::error_code Error, std::size_t Size) {
          Self->onRead(Flow, Error, Size);
        });
  }

  void onRead(FlowDirection Flow, std::error_code Error, std::size_t Size) {
    Side &Source = Sides_[Flow];
    DirectionState &Rules = Link_.Directions_[Flow];
    Source.Reading_ = false;
    if (!Open_)
      return;
    if (Rules.SilenceAll_)
      silence(Flow);
    if (Source.Silent_) {
      // Bytes are discarded, and the end of the stream is not forwarded.
      Source.EndOfStream_ = Source.EndOfStream_ || Error;
      if (!Error)
        return read(Flow);
      if (Sides_[opposite(Flow)].EndOfStream_ || !Sides_[opposite(Flow)].Socket_.is_open())
        close();
      return;
    }
    if (Error && Error != asio::error::eof)
      return close();
    if (Flow == TargetToClient && !Error && Link_.DropAnswers_ > 0) {
      --Link_.DropAnswers_;
      return close();
    }
    enqueue(Source, Rules, Size);
    if (!Error && Source.QueuedBytes_ < MaxQueuedBytes)
      read(Flow);
    write(Flow);
  }

  static void enqueue(Side &Source, DirectionState &Rules, std::size_t Size) {
    core::TimePoint DueTime = core::Clock::now();
    if (Rules.BytesPerSecond_ > 0) {
      const auto TransmitTime = std::chrono::duration_cast<core::Duration>(
          std::chrono::duration<double>(static_cast<double>(Size) / Rules.BytesPerSecond_));
      DueTime = std::max(DueTime, Rules.BandwidthFreeAt_) + TransmitTime;
      Rules.BandwidthFreeAt_ = DueTime;
    }
    DueTime += core::Millis(Rules.DelayMs_);
    if (!Source.Queue_.empty())
      DueTime = std::max(DueTime, Source.Queue_.back().DueTime_);
    Source.Queue_.push_back({DueTime, std::string(Source.Buffer_.data(), Size)});
    Source.QueuedBytes_ += Size;
  }

  /// Schedules the write of the first chunk; at most one write or timer is pending.
  void write(FlowDirection Flow) {
    Side &Source = Sides_[Flow];
    if (!Open_ || Source.Writing_ || Source.Queue_.empty())
      return;
    Source.Writing_ = true;
    Source.Timer_.expires_after(
        std::max(core::Duration::zero(), Source.Queue_.front().DueTime_ - core::Clock::now()));
    Source.Timer_.async_wait([Self = shared_from_this(), Flow](std::error_code Error) {
      Self->Sides_[Flow].Writing_ = false;
      if (!Error)
        Self->deliver(Flow);
    });
  }

  void deliver(FlowDirection Flow) {
    Side &Source = Sides_[Flow];
    if (!Open_ || Source.Queue_.empty()) // silenced while waiting
      return;
    auto Bytes = std::make_shared<std::string>(std::move(Source.Queue_.front().Bytes_));
    Source.Queue_.pop_front();
    Source.QueuedBytes_ -= std::min(Source.QueuedBytes_, Bytes->size());
    if (Bytes->empty())
      return end(Flow);
    const std::int64_t ByteLimit = Link_.Directions_[Flow].TruncateAfter_;
    const std::int64_t RemainingBytes =
        ByteLimit < 0 ? INT64_MAX : std::max<std::int64_t>(0, ByteLimit - Source.DeliveredBytes_);
    const bool LimitReached = static_cast<std::int64_t>(Bytes->size()) > RemainingBytes;
    if (LimitReached)
      Bytes->resize(static_cast<std::size_t>(RemainingBytes));
    Source.DeliveredBytes_ += static_cast<std::int64_t>(Bytes->size());
    Link_.Directions_[Flow].Bytes_ += Bytes->size();
    Source.Writing_ = true;
    asio::async_write(
        Sides_[opposite(Flow)].Socket_, asio::buffer(*Bytes),
        [Self = shared_from_this(), Flow, Bytes, LimitReached](std::error_code Error, std::size_t) {
          Side &SourceSide = Self->Sides_[Flow];
          SourceSide.Writing_ = false;
          if (Error || LimitReached)
            return Self->close();
          if (!SourceSide.Reading_ && !SourceSide.EndOfStream_ &&
              SourceSide.QueuedBytes_ < MaxQueuedBytes)
            Self->read(Flow);
          Self->write(Flow);
        });
  }

  void end(FlowDirection Flow) {
    Sides_[Flow].EndOfStream_ = true;
    std::error_code Ignored;
    Sides_[opposite(Flow)].Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
    if (Sides_[opposite(Flow)].EndOfStream_)
      close();
  }

  Link &Link_;
  std::array<Side, 2> Sides_; ///< client, target
  bool Open_ = true;
};

tcp::endpoint parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    throw std::invalid_argument("expected host:port, got \"" + Text + "\"");
  return {asio::ip::make_address(Text.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoul(Text.substr(Colon + 1)))};
}

class Proxy {
public:
  explicit Proxy(asio::io_context &Io) : Io_(Io) {}

  std::uint16_t add(const std::string &Name, const std::string &Target, std::uint16_t Port) {
    if (Links_.contains(Name))
      throw std::invalid_argument("link exists: " + Name);
    auto New = std::make_unique<Link>(Io_, Port);
    if (!Target.empty())
      New->Target_ = parseEndpoint(Target);
    Link &Added = *(Links_[Name] = std::move(New));
    listen(Added);
    return Added.port();
  }

  /// "add": [{name, target, port}]; "link" or "links" name the links that the settings apply to,
  /// by default all; "direction": up (client to target), down or both; "heal": true resets all
  /// settings. \returns the ports of added links.
  Json control(const Json &Body) {
    Json Ports = Json::object();
    for (const Json &New : Body.value("add", Json::array()))
      Ports[New.at("name").get<std::string>()] = add(
          New.at("name"), New.value("target", std::string()), New.value("port", std::uint16_t{0}));
    std::vector<std::string> Names = Body.value("links", std::vector<std::string>());
    if (Body.contains("link"))
      Names.push_back(Body.at("link"));
    if (Names.empty() && !Body.contains("links"))
      for (const auto &[Name, Entry] : Links_)
        Names.push_back(Name);
    for (const std::string &Name : Names)
      applySettings(*Links_.at(Name), Body);
    return {{"links", Ports}};
  }

  Json evidence() const {
    Json LinkStats = Json::object();
    for (const auto &[Name, Entry] : Links_)
      LinkStats[Name] = {{"port", Entry->port()},
                         {"bytes_up", Entry->Directions_[ClientToTarget].Bytes_},
                         {"bytes_down", Entry->Directions_[TargetToClient].Bytes_},
                         {"connections", Entry->Accepted_},
                         {"open", Entry->Open_.size()}};
    return {{"links", LinkStats}};
  }

private:
  void listen(Link &Entry) {
    Entry.Acceptor_.open(tcp::v4());
    Entry.Acceptor_.set_option(tcp::acceptor::reuse_address(true));
    Entry.Acceptor_.bind(Entry.PortReservation_.local_endpoint());
    Entry.Acceptor_.listen();
    accept(Entry);
  }

  void accept(Link &Entry) {
    Entry.Acceptor_.async_accept([this, &Entry](std::error_code Error, tcp::socket Client) {
      if (Error)
        return; // the link was cut
      ++Entry.Accepted_;
      const auto New = std::make_shared<Connection>(Io_, Entry, std::move(Client));
      Entry.Open_.insert(New);
      New->start();
      accept(Entry);
    });
  }

  void applySettings(Link &Entry, const Json &Body) {
    if (Body.value("heal", false)) {
      cut(Entry, false);
      Entry.DropAnswers_ = 0;
      for (DirectionState &State : Entry.Directions_)
        State = {.Bytes_ = State.Bytes_};
    }
    if (const auto Target = Body.find("target"); Target != Body.end())
      Entry.Target_ = parseEndpoint(Target->get<std::string>());
    if (const auto Cut = Body.find("cut"); Cut != Body.end())
      cut(Entry, Cut->get<bool>());
    assignIfPresent(Body, "drop_answers", Entry.DropAnswers_);
    const std::string DirectionName = Body.value("direction", std::string("both"));
    for (const FlowDirection Flow : {ClientToTarget, TargetToClient}) {
      if (DirectionName != "both" && DirectionName != (Flow == ClientToTarget ? "up" : "down"))
        continue;
      DirectionState &Rules = Entry.Directions_[Flow];
      assignIfPresent(Body, "delay_ms", Rules.DelayMs_);
      assignIfPresent(Body, "bandwidth_bytes_per_s", Rules.BytesPerSecond_);
      assignIfPresent(Body, "silence_all", Rules.SilenceAll_);
      assignIfPresent(Body, "truncate_after_bytes", Rules.TruncateAfter_);
      for (const auto &Current : Entry.Open_) {
        if (Body.value("silence_existing", false) || Body.value("silence_all", false))
          Current->silence(Flow);
        if (Body.contains("truncate_after_bytes"))
          Current->resetByteCount(Flow);
      }
    }
  }

  void cut(Link &Entry, bool Cut) {
    if (Entry.Cut_ == Cut)
      return;
    Entry.Cut_ = Cut;
    if (!Cut)
      return listen(Entry);
    Entry.Acceptor_.close();
    const auto Open = Entry.Open_; // copied, because close() modifies the set
    for (const auto &Current : Open)
      Current->close();
  }

  asio::io_context &Io_;
  std::map<std::string, std::unique_ptr<Link>> Links_;
};

} // namespace

int main(int Argc, char **Argv) {
  dieWithParent();
  CLI::App App("TCP proxy that injects network faults");
  std::uint16_t Port = 0;
  std::string Target;
  App.add_option("--port", Port, "Control port on 127.0.0.1, 0 for any");
  App.add_option("--target", Target, "host:port; adds a link called \"default\"");
  CLI11_PARSE(App, Argc, Argv);
  asio::io_context Io;
  Proxy LinkProxy(Io);
  Json Ready = Json::object();
  if (!Target.empty())
    Ready["default"] = LinkProxy.add("default", Target, 0);
  const HttpStub Control(
      Io, Port,
      withControlRoutes([&](const Json &Body) { return LinkProxy.control(Body); },
                        [&] { return LinkProxy.evidence(); },
                        [](const http::Request &, const ReplyCallback &Answer) {
                          Answer(errorReply(404, "unknown path"));
                        }));
  return runProgram(Io, {{"port", Control.port()}, {"links", Ready}});
}
