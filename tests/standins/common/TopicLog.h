/// \file
/// Simulates the platform's log service: single-partition topics with an index of the newest
/// record of each key.
#ifndef MASTICDRIFT_STANDINS_COMMON_TOPICLOG_H
#define MASTICDRIFT_STANDINS_COMMON_TOPICLOG_H

#include "standins/common/Program.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace masticdrift::standins {

/// Serves appends, long-polling reads and queries of the newest records in the platform's format.
class TopicLog {
public:
  explicit TopicLog(asio::io_context &Io) : Io_(Io) {}

  /// Serves log requests. The path may start with /d/NAME, the name of the calling daemon.
  ///
  /// \returns false when the path does not belong to the log service.
  bool handle(http::Request Incoming, const ReplyCallback &Answer);

  /// Appends a record on behalf of the platform.
  void put(const std::string &Topic, const std::string &Key, const std::string &Value);

  /// Sets faults: "store" is "up", "refuse" (503), "silent" (no response) or "lose" (appends are
  /// stored without a response); "refused_daemon" names a single daemon whose requests get a 503;
  /// "held_daemon" names one whose appends to "held_topics" are carried out, in order, only when
  /// the switch changes;
  /// "outage_after" is a part of a record: the append that contains it is stored, its connection is
  /// closed without a response, and the store mode becomes "refuse";
  /// "late_reader" names one whose long-polling reads of "late_topic" are answered 0.8 s late;
  /// "page_records" is the maximum number of newest records in one response.
  void control(const Json &Body);

  /// \returns the number of records of each topic.
  Json evidence() const;

  /// \returns the bytes of the responses to reads, by topic and calling daemon.
  Json bytesRead() const { return BytesRead_; }

private:
  struct Record {
    std::string Key_;
    std::string Value_;
  };
  struct Producer {
    std::uint64_t Epoch_ = 0;
    std::uint64_t NextSequence_ = 0;
    std::map<std::uint64_t, Reply> RepliesBySequence_; ///< replies to earlier appends
  };
  struct Topic {
    std::vector<Record> Records_;
    std::map<std::string, std::size_t> NewestOffsets_; ///< offset by key
    std::map<std::string, Producer> Producers_;
    std::vector<std::function<void()>>
        PendingReads_; ///< long-polling reads at the end of the topic
  };

  void append(const http::Request &Incoming, const ReplyCallback &Answer);
  Reply appendToTopic(Topic &TargetTopic, const http::Request &Incoming);
  Reply storeRecords(Topic &TargetTopic, const std::string &Body);
  void read(const http::Request &Incoming, const std::string &Daemon, const ReplyCallback &OnReply);
  void readNewest(const http::Request &Incoming, const std::string &Daemon,
                  const ReplyCallback &OnReply);
  /// \returns a callback that counts the bytes of the response and then calls \p Answer.
  ReplyCallback countBytes(const std::string &TopicName, const std::string &Daemon,
                           const ReplyCallback &Answer);
  void releaseHeldAppends();
  static Reply readReply(const Topic &SourceTopic, std::size_t Offset, std::size_t MaxBytes);

  asio::io_context &Io_;
  std::map<std::string, Topic> Topics_;
  Json BytesRead_ = Json::object();
  std::string StoreMode_ = "up";
  std::string RefusedDaemon_ = "none";
  std::string OutageAfter_;
  std::string HeldDaemon_ = "none";
  std::set<std::string> HeldTopics_;
  std::string LateReader_ = "none";
  std::string LateTopic_;
  std::vector<std::function<void()>> HeldAppends_;
  std::size_t MaxPageRecords_ = 1000;
};

} // namespace masticdrift::standins

#endif // MASTICDRIFT_STANDINS_COMMON_TOPICLOG_H
