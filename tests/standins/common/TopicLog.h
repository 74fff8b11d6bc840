/// \file
/// The platform's log service: topics of one partition that keep the newest record of each key.
#ifndef MASTICDRIFT_STANDINS_COMMON_TOPICLOG_H
#define MASTICDRIFT_STANDINS_COMMON_TOPICLOG_H

#include "standins/common/Program.h"

#include <map>
#include <string>
#include <vector>

namespace masticdrift::standins {

/// Serves appends, reads that wait and newest records on the platform's wire.
class TopicLog {
public:
  explicit TopicLog(asio::io_context &Io) : Io_(Io) {}

  /// Paths may begin with /d/NAME, which names the daemon that calls.
  /// \returns false when the path is not one of the log's.
  bool handle(http::Request Incoming, const ReplyCallback &Answer);

  /// Appends a record on behalf of the platform.
  void put(const std::string &Topic, const std::string &Key, const std::string &Value);

  /// Switches: "store" is "up", "refuse" (503), "silent" (no answer) or "lose" (appends are stored
  /// and not answered); "refused_daemon" names one daemon that alone is refused;
  /// "page_records" is how many newest records one answer has.
  void control(const Json &Body);

  /// \returns the number of records of each topic.
  Json evidence() const;

private:
  struct Record {
    std::string Key_;
    std::string Value_;
  };
  struct Producer {
    std::uint64_t Epoch_ = 0;
    std::uint64_t NextSequence_ = 0;
    std::map<std::uint64_t, Reply> RepliesBySequence_; ///< of earlier appends, by sequence
  };
  struct Topic {
    std::vector<Record> Records_;
    std::map<std::string, std::size_t> NewestOffsets_; ///< offset by key
    std::map<std::string, Producer> Producers_;
    std::vector<std::function<void()>> PendingReads_; ///< reads at the end
  };

  void append(const http::Request &Incoming, const ReplyCallback &Answer);
  Reply appendToTopic(Topic &TargetTopic, const http::Request &Incoming);
  Reply storeRecords(Topic &TargetTopic, const std::string &Body);
  void read(const http::Request &Incoming, const ReplyCallback &Answer);
  void readNewest(const http::Request &Incoming, const ReplyCallback &Answer);
  static Reply readReply(const Topic &From, std::size_t Offset);

  asio::io_context &Io_;
  std::map<std::string, Topic> Topics_;
  std::string StoreMode_ = "up";
  std::string RefusedDaemon_ = "none";
  std::size_t MaxPageRecords_ = 1000;
};

} // namespace masticdrift::standins

#endif // MASTICDRIFT_STANDINS_COMMON_TOPICLOG_H
