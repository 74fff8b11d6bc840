/// \file
/// Client of the platform's append-only log service.
///
/// The namespace legacy holds the clients of the platform's first version, which masticdriftd uses
/// when it runs without --platform.
#ifndef MASTICDRIFT_LEGACY_LOGCLIENT_H
#define MASTICDRIFT_LEGACY_LOGCLIENT_H

#include "masticdrift/http/Client.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::legacy {

/// One record of a stream.
struct LogRecord {
  std::uint64_t Offset_ = 0;
  std::string Bytes_;
  MSGPACK_DEFINE_ARRAY(Offset_, Bytes_)
};

/// Result of a read. Wire format: the MessagePack array [first, next, [[offset, bin], ...]].
struct ReadResult {
  std::uint64_t First_ = 0; ///< oldest retained offset
  std::uint64_t Next_ = 0;  ///< offset that the next appended record will get
  std::vector<LogRecord> Records_;
  MSGPACK_DEFINE_ARRAY(First_, Next_, Records_)
};

struct LogClientOptions {
  std::string BaseUrl_; ///< "http://address:port", without a trailing slash
  /// Timeout of one append. A retry needs a new connection when the old one stops responding, so
  /// several attempts have to fit into the appender's batch deadline.
  std::chrono::milliseconds AppendTimeout_{1000};
  std::chrono::milliseconds ReadTimeout_{2000};
};

/// Appends to and reads from streams. Thread-safe; callbacks run on the HTTP client's thread and
/// must not block.
class LogClient {
public:
  using AppendCallback = std::function<void(std::error_code, std::uint64_t Offset)>;
  using ReadCallback = std::function<void(std::error_code, ReadResult)>;

  /// \param Http must outlive this object.
  LogClient(http::Client &Http, LogClientOptions Options);

  /// Appends one record.
  ///
  /// \param Done called once with the record's offset. Errors: StoreUnavailable when the record
  /// was definitely not stored (not connected, 429, 503 or another 4xx status); AppendUnknown when
  /// it may have been stored.
  void append(std::string_view Stream, std::string Bytes, AppendCallback Done);

  /// Reads records in offset order.
  ///
  /// \param FromOffset first offset to read.
  /// \param MaxRecords maximum number of records to return.
  /// \param Done called once. Errors: StoreUnavailable for every failed request or malformed
  /// response.
  void read(std::string_view Stream, std::uint64_t FromOffset, std::uint32_t MaxRecords,
            ReadCallback Done);

private:
  http::Client &Http_;
  LogClientOptions Options_;
};

} // namespace masticdrift::legacy

#endif // MASTICDRIFT_LEGACY_LOGCLIENT_H
