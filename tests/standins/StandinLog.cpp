// standin-log: the platform's append-only log service, in memory.
#include "masticdrift/core/Clock.h"
#include "standins/common/Program.h"

#include <deque>
#include <map>

#include <CLI/CLI.hpp>
#include <msgpack.hpp>

using namespace masticdrift;
using namespace masticdrift::standins;

namespace {

/// A read answer is closed at this size, so that a reader makes progress on a slow link.
constexpr std::size_t MaxReadBytes = 1U << 20U;

struct Kept {
  std::string Bytes_;
  core::TimePoint Time_;
};

struct Stream {
  std::uint64_t First_ = 0;
  std::deque<Kept> Records_;
  std::uint64_t Appends_ = 0;
  std::uint64_t Reads_ = 0;
  std::uint64_t BytesIn_ = 0;
  std::uint64_t BytesOut_ = 0;
  std::uint64_t next() const { return First_ + Records_.size(); }
};

struct Switches {
  std::string Outage_ = "none";              ///< none, refuse (503) or hang (no answer)
  std::int64_t DelayMs_ = 0;                 ///< between the effect and the answer
  std::int64_t EffectDelayMs_ = 0;           ///< before the effect of an append
  std::int64_t LoseAnswers_ = 0;             ///< so many appends take effect without an answer
  std::string LoseMode_ = "close";           ///< close or hang
  double RateLimit_ = 500;                   ///< appends a second, over all streams
  std::size_t RetentionRecords_ = 1'000'000; ///< per stream
  std::int64_t RetentionMs_ = 0;             ///< 0: no limit by age
};

class LogService {
public:
  explicit LogService(asio::io_context &Io) : Io_(Io) {}

  void handle(http::Request Incoming, Respond Answer) {
    const auto Path = http::pathSegments(Incoming.Path_);
    if (Path.size() != 3 || Path[0] != "streams" || Path[2] != "records")
      return Answer(errorReply(404, "unknown path"));
    if (Switches_.Outage_ != "none") {
      ++RefusedByOutage_;
      Reply Out = errorReply(503, "outage");
      Out.Form_ = Switches_.Outage_ == "hang" ? Form::Hang : Form::Whole;
      return Answer(std::move(Out));
    }
    if (Incoming.Method_ == "POST")
      return later(Io_, core::Millis(Switches_.EffectDelayMs_),
                   [this, Name = Path[1], Bytes = std::move(Incoming.Body_),
                    Answer = std::move(Answer)] { append(Name, Bytes, Answer); });
    if (Incoming.Method_ == "GET")
      return read(Path[1], Incoming.Query_, Answer);
    Answer(errorReply(405, "method not allowed"));
  }

  Json control(const Json &Body) {
    assignIfPresent(Body, "outage", Switches_.Outage_);
    assignIfPresent(Body, "delay_ms", Switches_.DelayMs_);
    assignIfPresent(Body, "effect_delay_ms", Switches_.EffectDelayMs_);
    assignIfPresent(Body, "lose_answers", Switches_.LoseAnswers_);
    assignIfPresent(Body, "lose_mode", Switches_.LoseMode_);
    assignIfPresent(Body, "rate_limit", Switches_.RateLimit_);
    assignIfPresent(Body, "retention_records", Switches_.RetentionRecords_);
    assignIfPresent(Body, "retention_ms", Switches_.RetentionMs_);
    return Json::object();
  }

  Json evidence() {
    Json All = Json::object();
    for (auto &[Name, Of] : Streams_) {
      expire(Of);
      All[Name] = {{"first", Of.First_}, {"next", Of.next()},       {"appends", Of.Appends_},
                   {"reads", Of.Reads_}, {"bytes_in", Of.BytesIn_}, {"bytes_out", Of.BytesOut_}};
    }
    return {{"streams", All},
            {"refused_by_outage", RefusedByOutage_},
            {"answers_lost", AnswersLost_},
            {"rate_limited", RateLimited_}};
  }

private:
  void append(const std::string &Name, const std::string &Bytes, const Respond &Answer) {
    if (!takeToken())
      return delayed(Answer, errorReply(429, "append rate limit"));
    Stream &To = Streams_[Name];
    const std::uint64_t Offset = To.next();
    To.Records_.push_back({Bytes, core::Clock::now()});
    ++To.Appends_;
    To.BytesIn_ += Bytes.size();
    expire(To);
    Reply Out = jsonReply({{"offset", Offset}});
    if (Switches_.LoseAnswers_ > 0) {
      --Switches_.LoseAnswers_;
      ++AnswersLost_;
      Out.Form_ = Switches_.LoseMode_ == "hang" ? Form::Hang : Form::Close;
    }
    delayed(Answer, std::move(Out));
  }

  void read(const std::string &Name, std::string_view Query, const Respond &Answer) {
    Stream &Of = Streams_[Name];
    expire(Of);
    const std::string FromText = http::queryValue(Query, "from");
    const std::string MaxText = http::queryValue(Query, "max");
    const std::uint64_t From = FromText.empty() ? 0 : std::strtoull(FromText.c_str(), nullptr, 10);
    const std::uint64_t Max = MaxText.empty() ? 1000 : std::strtoull(MaxText.c_str(), nullptr, 10);
    const std::uint64_t Begin = std::max(From, Of.First_);
    std::uint64_t End = Begin;
    std::size_t Size = 0;
    while (End < Of.next() && End - Begin < Max && Size < MaxReadBytes)
      Size += Of.Records_[End++ - Of.First_].Bytes_.size();
    msgpack::sbuffer Buffer;
    msgpack::packer<msgpack::sbuffer> Packer(Buffer);
    Packer.pack_array(3).pack(Of.First_).pack(Of.next());
    Packer.pack_array(static_cast<std::uint32_t>(End - Begin));
    for (std::uint64_t I = Begin; I < End; ++I) {
      const std::string &Bytes = Of.Records_[I - Of.First_].Bytes_;
      const auto Length = static_cast<std::uint32_t>(Bytes.size());
      Packer.pack_array(2).pack(I).pack_bin(Length).pack_bin_body(Bytes.data(), Length);
    }
    ++Of.Reads_;
    Of.BytesOut_ += Size;
    delayed(Answer, {200, {Buffer.data(), Buffer.size()}, "application/msgpack"});
  }

  void delayed(const Respond &Answer, Reply Out) {
    later(Io_, core::Millis(Switches_.DelayMs_), [Answer, Out = std::move(Out)] { Answer(Out); });
  }

  /// Token bucket that holds one second's appends.
  bool takeToken() {
    const core::TimePoint Now = core::Clock::now();
    const double Elapsed = std::chrono::duration<double>(Now - Refilled_).count();
    Refilled_ = Now;
    Tokens_ = std::min(Switches_.RateLimit_, Tokens_ + Elapsed * Switches_.RateLimit_);
    if (Tokens_ < 1) {
      ++RateLimited_;
      return false;
    }
    Tokens_ -= 1;
    return true;
  }

  void expire(Stream &Of) const {
    const core::TimePoint Oldest = core::Clock::now() - core::Millis(Switches_.RetentionMs_);
    while (!Of.Records_.empty() &&
           (Of.Records_.size() > Switches_.RetentionRecords_ ||
            (Switches_.RetentionMs_ > 0 && Of.Records_.front().Time_ < Oldest))) {
      Of.Records_.pop_front();
      ++Of.First_;
    }
  }

  asio::io_context &Io_;
  std::map<std::string, Stream, std::less<>> Streams_;
  Switches Switches_;
  double Tokens_ = 0;
  core::TimePoint Refilled_ = core::Clock::now() - std::chrono::seconds(1);
  std::uint64_t RefusedByOutage_ = 0;
  std::uint64_t AnswersLost_ = 0;
  std::uint64_t RateLimited_ = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  dieWithParent();
  CLI::App App("Append-only log service, in memory");
  std::uint16_t Port = 0;
  App.add_option("--port", Port, "Port on 127.0.0.1, 0 for any");
  CLI11_PARSE(App, Argc, Argv);
  asio::io_context Io;
  LogService Service(Io);
  const HttpStub Server(Io, Port,
                        withControls([&](const Json &Body) { return Service.control(Body); },
                                     [&] { return Service.evidence(); },
                                     [&](http::Request Incoming, Respond Answer) {
                                       Service.handle(std::move(Incoming), std::move(Answer));
                                     }));
  return runProgram(Io, {{"port", Server.port()}});
}
