// standin-proxy: TCP proxy that injects network faults; one process holds many links.
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

/// A connection stops reading while this much waits for its other side.
constexpr std::size_t MaxQueued = 1U << 20U;

enum Way : std::size_t { Up, Down }; ///< client to target, target to client

/// Switches and counts of one direction of a link.
struct Direction {
  std::int64_t DelayMs_ = 0;
  double BytesPerSecond_ = 0; ///< 0: no limit; shared by the link's connections
  bool SilenceAll_ = false;
  std::int64_t TruncateAfter_ = -1; ///< bytes of a connection, -1: no limit
  core::TimePoint FreeAt_;          ///< when the bandwidth is free again
  std::uint64_t Bytes_ = 0;
};

class Connection;

/// One listening port and its target.
struct Link {
  Link(asio::io_context &Io, std::uint16_t Port) : Reserved_(Io, tcp::v4()), Acceptor_(Io) {
    Reserved_.set_option(tcp::socket::reuse_address(true));
    Reserved_.bind({asio::ip::address_v4::loopback(), Port});
  }

  std::uint16_t port() const { return Reserved_.local_endpoint().port(); }

  tcp::endpoint Target_;
  bool Cut_ = false;
  std::int64_t DropAnswers_ = 0; ///< so many answers are dropped
  std::array<Direction, 2> Ways_;
  std::uint64_t Accepted_ = 0;
  std::set<std::shared_ptr<Connection>> Open_;
  /// Bound without listening: keeps the port while the link is cut and refuses connections.
  tcp::socket Reserved_;
  tcp::acceptor Acceptor_;
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(asio::io_context &Io, Link &Owner, tcp::socket Client)
      : Link_(Owner), Sides_{Side(Io), Side(Io)} {
    Sides_[Up].Socket_ = std::move(Client);
  }

  void start() {
    for (const Way From : {Up, Down})
      Sides_[From].Silent_ = Link_.Ways_[From].SilenceAll_;
    if (Sides_[Up].Silent_) // as if the connection attempt were lost: the target sees nothing
      return read(Up);
    Sides_[Down].Socket_.async_connect(
        Link_.Target_, [Self = shared_from_this()](std::error_code Error) {
          if (Error)
            return Self->close();
          for (const Way From : {Up, Down}) {
            Self->Sides_[From].Socket_.set_option(tcp::no_delay(true), Error);
            Self->read(From);
          }
        });
  }

  /// From now on no bytes and no end pass in this direction.
  void silence(Way From) {
    Sides_[From].Silent_ = true;
    Sides_[From].Queue_.clear();
  }

  void resetCount(Way From) { Sides_[From].Carried_ = 0; }

  void close() {
    if (!Open_)
      return;
    Open_ = false;
    std::error_code Ignored;
    for (Side &Each : Sides_) {
      Each.Socket_.close(Ignored);
      Each.Timer_.cancel();
    }
    Link_.Open_.erase(shared_from_this());
  }

private:
  struct Chunk {
    core::TimePoint Due_;
    std::string Bytes_; ///< empty: end of the stream
  };

  /// One end, with what was read from it and waits to be written to the other.
  struct Side {
    explicit Side(asio::io_context &Io) : Socket_(Io), Timer_(Io) {}
    tcp::socket Socket_;
    asio::steady_timer Timer_;
    std::array<char, 16384> Buffer_{};
    std::deque<Chunk> Queue_;
    std::size_t Queued_ = 0;
    bool Writing_ = false;
    bool Reading_ = false;
    bool Silent_ = false;
    bool Ended_ = false;
    std::int64_t Carried_ = 0;
  };

  static Way other(Way From) { return From == Up ? Down : Up; }

  void read(Way From) {
    Side &Source = Sides_[From];
    Source.Reading_ = true;
    Source.Socket_.async_read_some(
        asio::buffer(Source.Buffer_),
        [Self = shared_from_this(), From](std::error_code Error, std::size_t Size) {
          Self->onRead(From, Error, Size);
        });
  }

  void onRead(Way From, std::error_code Error, std::size_t Size) {
    Side &Source = Sides_[From];
    Direction &Rules = Link_.Ways_[From];
    Source.Reading_ = false;
    if (!Open_)
      return;
    if (Rules.SilenceAll_)
      silence(From);
    if (Source.Silent_) {
      // Bytes are discarded; the other side never learns of the end.
      Source.Ended_ = Source.Ended_ || Error;
      if (!Error)
        return read(From);
      if (Sides_[other(From)].Ended_ || !Sides_[other(From)].Socket_.is_open())
        close();
      return;
    }
    if (Error && Error != asio::error::eof)
      return close();
    if (From == Down && !Error && Link_.DropAnswers_ > 0) {
      --Link_.DropAnswers_;
      return close();
    }
    enqueue(Source, Rules, Size);
    if (!Error && Source.Queued_ < MaxQueued)
      read(From);
    write(From);
  }

  static void enqueue(Side &Source, Direction &Rules, std::size_t Size) {
    core::TimePoint Due = core::Clock::now();
    if (Rules.BytesPerSecond_ > 0) {
      const auto Cost = std::chrono::duration_cast<core::Duration>(
          std::chrono::duration<double>(static_cast<double>(Size) / Rules.BytesPerSecond_));
      Due = std::max(Due, Rules.FreeAt_) + Cost;
      Rules.FreeAt_ = Due;
    }
    Due += core::Millis(Rules.DelayMs_);
    if (!Source.Queue_.empty())
      Due = std::max(Due, Source.Queue_.back().Due_);
    Source.Queue_.push_back({Due, std::string(Source.Buffer_.data(), Size)});
    Source.Queued_ += Size;
  }

  /// Writes the first chunk when it is due; one write or timer at a time.
  void write(Way From) {
    Side &Source = Sides_[From];
    if (!Open_ || Source.Writing_ || Source.Queue_.empty())
      return;
    Source.Writing_ = true;
    Source.Timer_.expires_after(
        std::max(core::Duration::zero(), Source.Queue_.front().Due_ - core::Clock::now()));
    Source.Timer_.async_wait([Self = shared_from_this(), From](std::error_code Error) {
      Self->Sides_[From].Writing_ = false;
      if (!Error)
        Self->deliver(From);
    });
  }

  void deliver(Way From) {
    Side &Source = Sides_[From];
    if (!Open_ || Source.Queue_.empty()) // silenced while waiting
      return;
    auto Bytes = std::make_shared<std::string>(std::move(Source.Queue_.front().Bytes_));
    Source.Queue_.pop_front();
    Source.Queued_ -= std::min(Source.Queued_, Bytes->size());
    if (Bytes->empty())
      return end(From);
    const std::int64_t Limit = Link_.Ways_[From].TruncateAfter_;
    const std::int64_t Left =
        Limit < 0 ? INT64_MAX : std::max<std::int64_t>(0, Limit - Source.Carried_);
    const bool Last = static_cast<std::int64_t>(Bytes->size()) > Left;
    if (Last)
      Bytes->resize(static_cast<std::size_t>(Left));
    Source.Carried_ += static_cast<std::int64_t>(Bytes->size());
    Link_.Ways_[From].Bytes_ += Bytes->size();
    Source.Writing_ = true;
    asio::async_write(
        Sides_[other(From)].Socket_, asio::buffer(*Bytes),
        [Self = shared_from_this(), From, Bytes, Last](std::error_code Error, std::size_t) {
          Side &Done = Self->Sides_[From];
          Done.Writing_ = false;
          if (Error || Last)
            return Self->close();
          if (!Done.Reading_ && !Done.Ended_ && Done.Queued_ < MaxQueued)
            Self->read(From);
          Self->write(From);
        });
  }

  void end(Way From) {
    Sides_[From].Ended_ = true;
    std::error_code Ignored;
    Sides_[other(From)].Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
    if (Sides_[other(From)].Ended_)
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

  /// "add": [{name, target, port}]; "link" or "links" name what the switches apply to, default
  /// all; "direction": up (client to target), down or both; "heal": true resets all switches.
  /// \returns the ports of added links.
  Json control(const Json &Body) {
    Json Ports = Json::object();
    for (const Json &New : Body.value("add", Json::array()))
      Ports[New.at("name").get<std::string>()] = add(
          New.at("name"), New.value("target", std::string()), New.value("port", std::uint16_t{0}));
    std::vector<std::string> Names = Body.value("links", std::vector<std::string>());
    if (Body.contains("link"))
      Names.push_back(Body.at("link"));
    if (Names.empty() && !Body.contains("links"))
      for (const auto &[Name, Of] : Links_)
        Names.push_back(Name);
    for (const std::string &Name : Names)
      change(*Links_.at(Name), Body);
    return {{"links", Ports}};
  }

  Json evidence() const {
    Json All = Json::object();
    for (const auto &[Name, Of] : Links_)
      All[Name] = {{"port", Of->port()},
                   {"bytes_up", Of->Ways_[Up].Bytes_},
                   {"bytes_down", Of->Ways_[Down].Bytes_},
                   {"connections", Of->Accepted_},
                   {"open", Of->Open_.size()}};
    return {{"links", All}};
  }

private:
  void listen(Link &Of) {
    Of.Acceptor_.open(tcp::v4());
    Of.Acceptor_.set_option(tcp::acceptor::reuse_address(true));
    Of.Acceptor_.bind(Of.Reserved_.local_endpoint());
    Of.Acceptor_.listen();
    accept(Of);
  }

  void accept(Link &Of) {
    Of.Acceptor_.async_accept([this, &Of](std::error_code Error, tcp::socket Client) {
      if (Error)
        return; // the link was cut
      ++Of.Accepted_;
      const auto New = std::make_shared<Connection>(Io_, Of, std::move(Client));
      Of.Open_.insert(New);
      New->start();
      accept(Of);
    });
  }

  void change(Link &Of, const Json &Body) {
    if (Body.value("heal", false)) {
      cut(Of, false);
      Of.DropAnswers_ = 0;
      for (Direction &Each : Of.Ways_)
        Each = {.Bytes_ = Each.Bytes_};
    }
    if (const auto Target = Body.find("target"); Target != Body.end())
      Of.Target_ = parseEndpoint(Target->get<std::string>());
    if (const auto Cut = Body.find("cut"); Cut != Body.end())
      cut(Of, Cut->get<bool>());
    assignIfPresent(Body, "drop_answers", Of.DropAnswers_);
    const std::string Chosen = Body.value("direction", std::string("both"));
    for (const Way From : {Up, Down}) {
      if (Chosen != "both" && Chosen != (From == Up ? "up" : "down"))
        continue;
      Direction &Rules = Of.Ways_[From];
      assignIfPresent(Body, "delay_ms", Rules.DelayMs_);
      assignIfPresent(Body, "bandwidth_bytes_per_s", Rules.BytesPerSecond_);
      assignIfPresent(Body, "silence_all", Rules.SilenceAll_);
      assignIfPresent(Body, "truncate_after_bytes", Rules.TruncateAfter_);
      for (const auto &Each : Of.Open_) {
        if (Body.value("silence_existing", false) || Body.value("silence_all", false))
          Each->silence(From);
        if (Body.contains("truncate_after_bytes"))
          Each->resetCount(From);
      }
    }
  }

  void cut(Link &Of, bool Cut) {
    if (Of.Cut_ == Cut)
      return;
    Of.Cut_ = Cut;
    if (!Cut)
      return listen(Of);
    Of.Acceptor_.close();
    const auto Open = Of.Open_; // close() removes from the set
    for (const auto &Each : Open)
      Each->close();
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
  Proxy All(Io);
  Json Ready = Json::object();
  if (!Target.empty())
    Ready["default"] = All.add("default", Target, 0);
  const HttpStub Control(Io, Port,
                         withControls([&](const Json &Body) { return All.control(Body); },
                                      [&] { return All.evidence(); },
                                      [](const http::Request &, const Respond &Answer) {
                                        Answer(errorReply(404, "unknown path"));
                                      }));
  return runProgram(Io, {{"port", Control.port()}, {"links", Ready}});
}
