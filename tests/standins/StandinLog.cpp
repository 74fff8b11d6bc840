// standin-log: simulates the platform's append-only log service in memory.
#include "masticdrift/core/Clock.h"
#include "standins/common/Program.h"

#include <deque>
#include <map>

#include <CLI/CLI.hpp>
#include <msgpack.hpp>

using namespace masticdrift;
using namespace masticdrift::standins;

namespace {

/// A read response ends with the record that reaches this size, so that a reader makes progress on
/// a slow link.
constexpr std::size_t MaxReadBytes = 1U << 20U;

struct StoredRecord {
  std::string Bytes_;
  core::TimePoint AppendTime_;
};

struct Stream {
  std::uint64_t FirstOffset_ = 0;
  std::deque<StoredRecord> Records_;
  std::uint64_t Appends_ = 0;
  std::uint64_t Reads_ = 0;
  std::uint64_t BytesIn_ = 0;
  std::uint64_t BytesOut_ = 0;
  std::uint64_t nextOffset() const { return FirstOffset_ + Records_.size(); }
};

struct Settings {
  std::string Outage_ = "none";              ///< none, refuse (503) or hang (no response)
  std::int64_t DelayMs_ = 0;                 ///< delay between the effect and the response
  std::int64_t EffectDelayMs_ = 0;           ///< delay before an append takes effect
  std::int64_t LoseAnswers_ = 0;             ///< number of appends to store without a response
  std::string LoseMode_ = "close";           ///< close or hang
  double RateLimit_ = 500;                   ///< appends per second, over all streams
  std::size_t RetentionRecords_ = 1'000'000; ///< per stream
  std::int64_t RetentionMs_ = 0;             ///< maximum record age, 0 for no limit
};

class LogService {
public:
  explicit LogService(asio::io_context &Io) : Io_(Io) {}

  void handle(http::Request Incoming, ReplyCallback Answer) {
    const auto Path = http::pathSegments(Incoming.Path_);
    if (Path.size() != 3 || Path[0] != "streams" || Path[2] != "records")
      return Answer(errorReply(404, "unknown path"));
    if (Settings_.Outage_ != "none") {
      ++RefusedByOutage_;
      Reply Response = errorReply(503, "outage");
      Response.Mode_ = Settings_.Outage_ == "hang" ? ReplyMode::Hang : ReplyMode::Complete;
      return Answer(std::move(Response));
    }
    if (Incoming.Method_ == "POST")
      return runAfter(Io_, core::Millis(Settings_.EffectDelayMs_),
                      [this, Name = Path[1], Bytes = std::move(Incoming.Body_),
                       Answer = std::move(Answer)] { append(Name, Bytes, Answer); });
    if (Incoming.Method_ == "GET")
      return read(Path[1], Incoming.Query_, Answer);
    Answer(errorReply(405, "method not allowed"));
  }

  Json control(const Json &Body) {
    assignIfPresent(Body, "outage", Settings_.Outage_);
    assignIfPresent(Body, "delay_ms", Settings_.DelayMs_);
    assignIfPresent(Body, "effect_delay_ms", Settings_.EffectDelayMs_);
    assignIfPresent(Body, "lose_answers", Settings_.LoseAnswers_);
    assignIfPresent(Body, "lose_mode", Settings_.LoseMode_);
    assignIfPresent(Body, "rate_limit", Settings_.RateLimit_);
    assignIfPresent(Body, "retention_records", Settings_.RetentionRecords_);
    assignIfPresent(Body, "retention_ms", Settings_.RetentionMs_);
    return Json::object();
  }

  Json evidence() {
    Json StreamStats = Json::object();
    for (auto &[Name, Source] : Streams_) {
      expireRecords(Source);
      StreamStats[Name] = {{"first", Source.FirstOffset_}, {"next", Source.nextOffset()},
                           {"appends", Source.Appends_},   {"reads", Source.Reads_},
                           {"bytes_in", Source.BytesIn_},  {"bytes_out", Source.BytesOut_}};
    }
    return {{"streams", StreamStats},
            {"refused_by_outage", RefusedByOutage_},
            {"answers_lost", AnswersLost_},
            {"rate_limited", RateLimited_}};
  }

private:
  void append(const std::string &Name, const std::string &Bytes, const ReplyCallback &Answer) {
    if (!takeAppendToken())
      return sendDelayed(Answer, errorReply(429, "append rate limit"));
    Stream &Target = Streams_[Name];
    const std::uint64_t Offset = Target.nextOffset();
    Target.Records_.push_back({Bytes, core::Clock::now()});
    ++Target.Appends_;
    Target.BytesIn_ += Bytes.size();
    expireRecords(Target);
    Reply Response = jsonReply({{"offset", Offset}});
    if (Settings_.LoseAnswers_ > 0) {
      --Settings_.LoseAnswers_;
      ++AnswersLost_;
      Response.Mode_ = Settings_.LoseMode_ == "hang" ? ReplyMode::Hang : ReplyMode::Close;
    }
    sendDelayed(Answer, std::move(Response));
  }

  void read(const std::string &Name, std::string_view Query, const ReplyCallback &Answer) {
    Stream &Source = Streams_[Name];
    expireRecords(Source);
    const std::string FromText = http::queryValue(Query, "from");
    const std::string MaxText = http::queryValue(Query, "max");
    const std::uint64_t FromOffset =
        FromText.empty() ? 0 : std::strtoull(FromText.c_str(), nullptr, 10);
    const std::uint64_t Max = MaxText.empty() ? 1000 : std::strtoull(MaxText.c_str(), nullptr, 10);
    const std::uint64_t Begin = std::max(FromOffset, Source.FirstOffset_);
    std::uint64_t End = Begin;
    std::size_t Size = 0;
    while (End < Source.nextOffset() && End - Begin < Max && Size < MaxReadBytes)
      Size += Source.Records_[End++ - Source.FirstOffset_].Bytes_.size();
    msgpack::sbuffer Buffer;
    msgpack::packer<msgpack::sbuffer> Packer(Buffer);
    Packer.pack_array(3).pack(Source.FirstOffset_).pack(Source.nextOffset());
    Packer.pack_array(static_cast<std::uint32_t>(End - Begin));
    for (std::uint64_t I = Begin; I < End; ++I) {
      const std::string &Bytes = Source.Records_[I - Source.FirstOffset_].Bytes_;
      const auto Length = static_cast<std::uint32_t>(Bytes.size());
      Packer.pack_array(2).pack(I).pack_bin(Length).pack_bin_body(Bytes.data(), Length);
    }
    ++Source.Reads_;
    Source.BytesOut_ += Size;
    sendDelayed(Answer, {200, {Buffer.data(), Buffer.size()}, "application/msgpack"});
  }

  void sendDelayed(const ReplyCallback &Answer, Reply Response) {
    runAfter(Io_, core::Millis(Settings_.DelayMs_),
             [Answer, Response = std::move(Response)] { Answer(Response); });
  }

  /// Takes one token from a bucket whose capacity is one second's appends.
  ///
  /// \returns false when the rate limit is exceeded.
  bool takeAppendToken() {
    const core::TimePoint Now = core::Clock::now();
    const double Elapsed = std::chrono::duration<double>(Now - LastRefill_).count();
    LastRefill_ = Now;
    Tokens_ = std::min(Settings_.RateLimit_, Tokens_ + Elapsed * Settings_.RateLimit_);
    if (Tokens_ < 1) {
      ++RateLimited_;
      return false;
    }
    Tokens_ -= 1;
    return true;
  }

  void expireRecords(Stream &Source) const {
    const core::TimePoint Oldest = core::Clock::now() - core::Millis(Settings_.RetentionMs_);
    while (!Source.Records_.empty() &&
           (Source.Records_.size() > Settings_.RetentionRecords_ ||
            (Settings_.RetentionMs_ > 0 && Source.Records_.front().AppendTime_ < Oldest))) {
      Source.Records_.pop_front();
      ++Source.FirstOffset_;
    }
  }

  asio::io_context &Io_;
  std::map<std::string, Stream, std::less<>> Streams_;
  Settings Settings_;
  double Tokens_ = 0;
  core::TimePoint LastRefill_ = core::Clock::now() - std::chrono::seconds(1);
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
                        withControlRoutes([&](const Json &Body) { return Service.control(Body); },
                                          [&] { return Service.evidence(); },
                                          [&](http::Request Incoming, ReplyCallback Answer) {
                                            Service.handle(std::move(Incoming), std::move(Answer));
                                          }));
  return runProgram(Io, {{"port", Server.port()}});
}
