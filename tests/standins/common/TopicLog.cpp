#include "standins/common/TopicLog.h"

#include "platform/Store.h"

#include <openssl/evp.h>

namespace masticdrift::standins {

namespace {

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

std::uint64_t wholeOf(const http::Request &From, std::string_view Name) {
  const std::string Text = http::queryValue(From.Query_, Name);
  return Text.empty() ? 0 : std::stoull(Text);
}

} // namespace

bool TopicLog::handle(http::Request Incoming, const Respond &Answer) {
  std::string Daemon;
  if (const std::vector<std::string> Parts = http::pathSegments(Incoming.Path_);
      Parts.size() == 3 && Parts[0] == "d") {
    Daemon = Parts[1];
    Incoming.Path_ = "/" + Parts[2];
  }
  if (!Incoming.Path_.starts_with("/log-"))
    return false;
  if (State_ == "refuse" || Refused_ == Daemon) {
    Answer(errorReply(503, "down"));
  } else if (State_ == "silent") {
    Reply Out;
    Out.Form_ = Form::Hang;
    Answer(std::move(Out));
  } else if (Incoming.Path_ == "/log-append") {
    append(Incoming, Answer);
  } else if (Incoming.Path_ == "/log-read") {
    read(Incoming, Answer);
  } else {
    newest(Incoming, Answer);
  }
  return true;
}

void TopicLog::append(const http::Request &Incoming, const Respond &Answer) {
  Topic &To = Topics_[http::queryValue(Incoming.Query_, "topic")];
  Reply Out = appendTo(To, Incoming);
  if (State_ == "lose")
    Out.Form_ = Form::Hang;
  Answer(std::move(Out));
}

Reply TopicLog::appendTo(Topic &To, const http::Request &Incoming) {
  const std::string At = http::queryValue(Incoming.Query_, "at");
  const std::string Name = http::queryValue(Incoming.Query_, "producer");
  if (!At.empty() && std::stoull(At) != To.Records_.size())
    return jsonReply({{"end", To.Records_.size()}}, 412);
  if (Name.empty())
    return store(To, Incoming.Body_);
  const std::uint64_t Epoch = wholeOf(Incoming, "epoch");
  const std::uint64_t Sequence = wholeOf(Incoming, "sequence");
  Producer &From = To.Producers_[Name];
  if (Epoch < From.Epoch_)
    return jsonReply({{"reason", "fenced"}}, 409);
  const bool Fresh = Epoch > From.Epoch_;
  if (Fresh)
    From = {Epoch, Sequence, {}};
  if (Incoming.Body_.empty())
    return jsonReply({{"offset", To.Records_.size()}, {"end", To.Records_.size()}});
  if (const auto Known = From.Answers_.find(Sequence); Known != From.Answers_.end())
    return Known->second;
  // The first append of an epoch may start at any number.
  if (!From.Answers_.empty() && Sequence != From.Next_)
    return jsonReply({{"reason", "seq"}, {"sequence", From.Next_}}, 409);
  From.Next_ = Sequence + 1;
  return From.Answers_[Sequence] = store(To, Incoming.Body_);
}

Reply TopicLog::store(Topic &To, const std::string &Body) {
  // The product's decoder reads records behind the two offsets of a read.
  const platform::ReadResult Records = platform::decodeRead(bigEndian(0) + bigEndian(0) + Body, 0);
  const std::size_t Offset = To.Records_.size();
  for (const platform::KeyedRecord &One : Records.Records_) {
    if (One.Value_.empty())
      To.Newest_.erase(One.Key_);
    else
      To.Newest_[One.Key_] = To.Records_.size();
    To.Records_.push_back({One.Key_, One.Value_});
  }
  for (auto &Wake : std::exchange(To.Waiting_, {}))
    Wake();
  return jsonReply({{"offset", Offset}, {"end", To.Records_.size()}});
}

Reply TopicLog::readReply(const Topic &From, std::size_t Offset) {
  std::vector<platform::KeyedRecord> Records;
  for (std::size_t I = Offset; I < From.Records_.size(); ++I)
    Records.push_back({I, From.Records_[I].Key_, From.Records_[I].Value_});
  return {200, bigEndian(From.Records_.size()) + bigEndian(0) + platform::encodeRecords(Records),
          "application/octet-stream"};
}

void TopicLog::read(const http::Request &Incoming, const Respond &Answer) {
  Topic &From = Topics_[http::queryValue(Incoming.Query_, "topic")];
  const auto Offset = static_cast<std::size_t>(wholeOf(Incoming, "from"));
  const std::chrono::milliseconds Wait(wholeOf(Incoming, "wait_ms"));
  if (Offset < From.Records_.size() || Wait.count() == 0)
    return Answer(readReply(From, Offset));
  const auto Done = std::make_shared<bool>(false);
  const auto Send = [&From, Offset, Answer, Done] {
    if (!std::exchange(*Done, true))
      Answer(readReply(From, Offset));
  };
  From.Waiting_.push_back(Send);
  later(Io_, Wait, Send);
}

void TopicLog::newest(const http::Request &Incoming, const Respond &Answer) {
  const Topic &From = Topics_[http::queryValue(Incoming.Query_, "topic")];
  // The service calls the key to continue after "depends_on".
  const std::string After = http::queryValue(Incoming.Query_, "depends_on");
  Json Items = Json::array();
  auto Next = After.empty() ? From.Newest_.begin() : From.Newest_.upper_bound(After);
  for (; Next != From.Newest_.end() && Items.size() < PageRecords_; ++Next)
    Items.push_back({{"key", Next->first},
                     {"value", base64(From.Records_[Next->second].Value_)},
                     {"offset", Next->second}});
  Answer(jsonReply(
      {{"items", Items}, {"has_more", Next != From.Newest_.end()}, {"end", From.Records_.size()}}));
}

void TopicLog::put(const std::string &Topic, const std::string &Key, const std::string &Value) {
  const std::vector<platform::KeyedRecord> Records{{0, Key, Value}};
  store(Topics_[Topic], platform::encodeRecords(Records));
}

void TopicLog::control(const Json &Body) {
  assignIfPresent(Body, "store", State_);
  assignIfPresent(Body, "refused_daemon", Refused_);
  assignIfPresent(Body, "page_records", PageRecords_);
}

Json TopicLog::evidence() const {
  Json Out = Json::object();
  for (const auto &[Name, One] : Topics_)
    Out[Name] = One.Records_.size();
  return Out;
}

} // namespace masticdrift::standins
