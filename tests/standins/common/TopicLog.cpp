#include "standins/common/TopicLog.h"

#include "platform/Store.h"

#include <algorithm>

#include <openssl/evp.h>

namespace masticdrift::standins {

namespace {

constexpr std::chrono::milliseconds LateReadDelay{800};
constexpr std::size_t MaxAppendBytes = 2U << 20U; ///< call_bytes of the platform
constexpr std::size_t MaxRecordBytes = 262'144;   ///< record_bytes of the platform
constexpr std::size_t DefaultReadKb = 1024;       ///< max_kb of a read that names none
constexpr std::size_t MaxPageBytes = 1U << 20U;   ///< of the newest records

std::string bigEndian(std::uint64_t Value) {
  std::string Out(8, '\0');
  for (std::size_t I = 0; I < 8; ++I)
    Out[I] = static_cast<char>((Value >> (8 * (7 - I))) & 0xffU);
  return Out;
}

std::string base64(const std::string &Bytes) {
  std::string Out(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  Out.resize(static_cast<std::size_t>(EVP_EncodeBlock(
      reinterpret_cast<unsigned char *>(Out.data()),
      reinterpret_cast<const unsigned char *>(Bytes.data()), static_cast<int>(Bytes.size()))));
  return Out;
}

std::vector<platform::KeyedRecord> decodeRecords(const std::string &Body) {
  // decodeRead() expects two offsets before the records, as in the response to a read.
  return platform::decodeRead(bigEndian(0) + bigEndian(0) + Body, 0).Records_;
}

std::uint64_t queryNumber(const http::Request &Incoming, std::string_view Name) {
  const std::string Text = http::queryValue(Incoming.Query_, Name);
  return Text.empty() ? 0 : std::stoull(Text);
}

} // namespace

bool TopicLog::handle(http::Request Incoming, const ReplyCallback &Answer) {
  std::string Daemon;
  if (const std::vector<std::string> Parts = http::pathSegments(Incoming.Path_);
      Parts.size() == 3 && Parts[0] == "d") {
    Daemon = Parts[1];
    Incoming.Path_ = "/" + Parts[2];
  }
  if (!Incoming.Path_.starts_with("/log-"))
    return false;
  if (StoreMode_ == "refuse" || RefusedDaemon_ == Daemon) {
    Answer(errorReply(503, "down"));
  } else if (StoreMode_ == "silent") {
    Reply Out;
    Out.Mode_ = ReplyMode::Hang;
    Answer(std::move(Out));
  } else if (Incoming.Path_ == "/log-append" && HeldDaemon_ == Daemon &&
             HeldTopics_.contains(http::queryValue(Incoming.Query_, "topic"))) {
    HeldAppends_.emplace_back([this, Incoming, Answer] { append(Incoming, Answer); });
  } else if (Incoming.Path_ == "/log-append") {
    append(Incoming, Answer);
  } else if (Incoming.Path_ == "/log-read") {
    read(Incoming, Daemon, Answer);
  } else {
    readNewest(Incoming, Daemon, Answer);
  }
  return true;
}

void TopicLog::append(const http::Request &Incoming, const ReplyCallback &Answer) {
  Topic &TargetTopic = Topics_[http::queryValue(Incoming.Query_, "topic")];
  Reply Out = appendToTopic(TargetTopic, Incoming);
  if (StoreMode_ == "lose")
    Out.Mode_ = ReplyMode::Hang;
  if (!OutageAfter_.empty() && Incoming.Body_.find(OutageAfter_) != std::string::npos) {
    OutageAfter_.clear();
    StoreMode_ = "refuse";
    Out.Mode_ = ReplyMode::Close;
  }
  Answer(std::move(Out));
}

Reply TopicLog::appendToTopic(Topic &TargetTopic, const http::Request &Incoming) {
  if (Incoming.Body_.size() > MaxAppendBytes)
    return errorReply(400, "the records are too large");
  if (std::ranges::any_of(decodeRecords(Incoming.Body_), [](const platform::KeyedRecord &Added) {
        return 1 + Added.Key_.size() + Added.Value_.size() > MaxRecordBytes;
      }))
    return errorReply(400, "a record is too large");
  const std::string ExpectedEnd = http::queryValue(Incoming.Query_, "at");
  const std::string Name = http::queryValue(Incoming.Query_, "producer");
  if (!ExpectedEnd.empty() && std::stoull(ExpectedEnd) != TargetTopic.Records_.size())
    return jsonReply({{"end", TargetTopic.Records_.size()}}, 412);
  if (Name.empty())
    return storeRecords(TargetTopic, Incoming.Body_);
  const std::uint64_t Epoch = queryNumber(Incoming, "epoch");
  const std::uint64_t Sequence = queryNumber(Incoming, "sequence");
  Producer &ProducerState = TargetTopic.Producers_[Name];
  if (Epoch < ProducerState.Epoch_)
    return jsonReply({{"reason", "fenced"}}, 409);
  const bool IsNewEpoch = Epoch > ProducerState.Epoch_;
  if (IsNewEpoch)
    ProducerState = {Epoch, Sequence, {}};
  if (Incoming.Body_.empty())
    return jsonReply(
        {{"offset", TargetTopic.Records_.size()}, {"end", TargetTopic.Records_.size()}});
  if (const auto EarlierReply = ProducerState.RepliesBySequence_.find(Sequence);
      EarlierReply != ProducerState.RepliesBySequence_.end())
    return EarlierReply->second;
  // The first append of an epoch may have any sequence number.
  if (!ProducerState.RepliesBySequence_.empty() && Sequence != ProducerState.NextSequence_)
    return jsonReply({{"reason", "seq"}, {"sequence", ProducerState.NextSequence_}}, 409);
  ProducerState.NextSequence_ = Sequence + 1;
  return ProducerState.RepliesBySequence_[Sequence] = storeRecords(TargetTopic, Incoming.Body_);
}

Reply TopicLog::storeRecords(Topic &TargetTopic, const std::string &Body) {
  const std::size_t Offset = TargetTopic.Records_.size();
  for (const platform::KeyedRecord &Added : decodeRecords(Body)) {
    if (Added.Value_.empty())
      TargetTopic.NewestOffsets_.erase(Added.Key_);
    else
      TargetTopic.NewestOffsets_[Added.Key_] = TargetTopic.Records_.size();
    TargetTopic.Records_.push_back({Added.Key_, Added.Value_});
  }
  for (auto &Resume : std::exchange(TargetTopic.PendingReads_, {}))
    Resume();
  return jsonReply({{"offset", Offset}, {"end", TargetTopic.Records_.size()}});
}

Reply TopicLog::readReply(const Topic &SourceTopic, std::size_t Offset, std::size_t MaxBytes) {
  std::vector<platform::KeyedRecord> Records;
  std::size_t Bytes = 0;
  // One record is returned in any case.
  for (std::size_t I = Offset; I < SourceTopic.Records_.size() && (I == Offset || Bytes < MaxBytes);
       ++I) {
    Records.push_back({I, SourceTopic.Records_[I].Key_, SourceTopic.Records_[I].Value_});
    Bytes += Records.back().Key_.size() + Records.back().Value_.size();
  }
  return {200,
          bigEndian(SourceTopic.Records_.size()) + bigEndian(0) + platform::encodeRecords(Records),
          "application/octet-stream"};
}

ReplyCallback TopicLog::countBytes(const std::string &TopicName, const std::string &Daemon,
                                   const ReplyCallback &Answer) {
  return [this, TopicName, Daemon, Answer](Reply Out) {
    Json &Bytes = BytesRead_[TopicName][Daemon];
    Bytes = (Bytes.is_null() ? 0 : Bytes.get<std::size_t>()) + Out.Body_.size();
    Answer(std::move(Out));
  };
}

void TopicLog::read(const http::Request &Incoming, const std::string &Daemon,
                    const ReplyCallback &OnReply) {
  const std::string TopicName = http::queryValue(Incoming.Query_, "topic");
  const ReplyCallback Answer = countBytes(TopicName, Daemon, OnReply);
  Topic &SourceTopic = Topics_[TopicName];
  const auto Offset = static_cast<std::size_t>(queryNumber(Incoming, "from"));
  const std::chrono::milliseconds Wait(queryNumber(Incoming, "wait_ms"));
  const std::uint64_t MaxKb = queryNumber(Incoming, "max_kb");
  const std::size_t MaxBytes = (MaxKb > 0 ? MaxKb : DefaultReadKb) << 10U;
  if (Wait.count() > 0 && LateReader_ == Daemon && LateTopic_ == TopicName)
    return runAfter(Io_, LateReadDelay, [&SourceTopic, Offset, MaxBytes, Answer] {
      Answer(readReply(SourceTopic, Offset, MaxBytes));
    });
  if (Offset < SourceTopic.Records_.size() || Wait.count() == 0)
    return Answer(readReply(SourceTopic, Offset, MaxBytes));
  const auto Sent = std::make_shared<bool>(false);
  const auto SendOnce = [&SourceTopic, Offset, MaxBytes, Answer, Sent] {
    if (!std::exchange(*Sent, true))
      Answer(readReply(SourceTopic, Offset, MaxBytes));
  };
  SourceTopic.PendingReads_.push_back(SendOnce);
  runAfter(Io_, Wait, SendOnce);
}

void TopicLog::readNewest(const http::Request &Incoming, const std::string &Daemon,
                          const ReplyCallback &OnReply) {
  const std::string TopicName = http::queryValue(Incoming.Query_, "topic");
  const Topic &SourceTopic = Topics_[TopicName];
  const ReplyCallback Answer = countBytes(TopicName, Daemon, OnReply);
  // In the platform's API, "depends_on" is the key after which the page starts.
  const std::string AfterKey = http::queryValue(Incoming.Query_, "depends_on");
  Json Items = Json::array();
  auto Next = AfterKey.empty() ? SourceTopic.NewestOffsets_.begin()
                               : SourceTopic.NewestOffsets_.upper_bound(AfterKey);
  std::size_t Bytes = 0;
  for (; Next != SourceTopic.NewestOffsets_.end() && Items.size() < MaxPageRecords_ &&
         Bytes < MaxPageBytes;
       ++Next) {
    const std::string &Value = SourceTopic.Records_[Next->second].Value_;
    Bytes += Next->first.size() + Value.size();
    Items.push_back({{"key", Next->first}, {"value", base64(Value)}, {"offset", Next->second}});
  }
  const Json Page{{"items", Items},
                  {"has_more", Next != SourceTopic.NewestOffsets_.end()},
                  {"end", SourceTopic.Records_.size()}};
  // A key may be any bytes.
  Answer({200, Page.dump(-1, ' ', false, Json::error_handler_t::replace)});
}

void TopicLog::put(const std::string &Topic, const std::string &Key, const std::string &Value) {
  const std::vector<platform::KeyedRecord> Records{{0, Key, Value}};
  storeRecords(Topics_[Topic], platform::encodeRecords(Records));
}

void TopicLog::control(const Json &Body) {
  assignIfPresent(Body, "store", StoreMode_);
  assignIfPresent(Body, "refused_daemon", RefusedDaemon_);
  assignIfPresent(Body, "outage_after", OutageAfter_);
  assignIfPresent(Body, "late_reader", LateReader_);
  assignIfPresent(Body, "late_topic", LateTopic_);
  assignIfPresent(Body, "page_records", MaxPageRecords_);
  assignIfPresent(Body, "held_topics", HeldTopics_);
  if (Body.contains("held_daemon")) {
    HeldDaemon_ = Body["held_daemon"].get<std::string>();
    releaseHeldAppends();
  }
}

void TopicLog::releaseHeldAppends() {
  for (const auto &Append : std::exchange(HeldAppends_, {}))
    Append();
}

Json TopicLog::evidence() const {
  Json Out = Json::object();
  for (const auto &[Name, One] : Topics_)
    Out[Name] = One.Records_.size();
  return Out;
}

} // namespace masticdrift::standins
