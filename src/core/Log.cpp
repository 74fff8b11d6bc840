#include "masticdrift/core/Log.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace masticdrift::core {

namespace {

/// Limit of the lines buffered for the writer: one second at several times the usual log rate.
constexpr std::size_t MaxBufferedBytes = 1U << 20U;
/// How long the writer waits for more lines before it writes a batch.
constexpr std::chrono::milliseconds BatchDelay{40};
/// Largest write that a pipe accepts atomically (PIPE_BUF).
constexpr std::size_t AtomicPipeWriteBytes = 4096;
/// Initial buffer size, enough for a line about a task.
constexpr std::size_t TypicalLineBytes = 256;

std::string InstanceName;                          // NOLINT: set once before threads start
LogTarget ActiveTarget = LogTarget::StandardError; // NOLINT: set once before threads start

/// Buffers lines and writes them in batches from a background thread. On a small machine, one
/// wake-up and one system call per line cost more than formatting the line.
class BatchSink final : public spdlog::sinks::base_sink<std::mutex> {
public:
  BatchSink() : Writer_([this] { run(); }) {}

  ~BatchSink() override {
    {
      const std::lock_guard Lock(BatchMutex_);
      Closed_ = true;
    }
    BatchReady_.notify_one();
    Writer_.join();
  }

  std::size_t droppedLines() const { return DroppedLines_; }

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override {
    spdlog::memory_buf_t Line;
    formatter_->format(Message, Line);
    bool WasEmpty = false;
    {
      const std::lock_guard Lock(BatchMutex_);
      if (Batch_.size() + Line.size() > MaxBufferedBytes) {
        ++DroppedLines_;
        return;
      }
      WasEmpty = Batch_.empty();
      Batch_.append(Line.data(), Line.size());
    }
    if (WasEmpty)
      BatchReady_.notify_one();
  }

  /// Does nothing: the writer thread flushes, and callers never wait for it.
  void flush_() override {}

private:
  void run() {
    std::unique_lock Lock(BatchMutex_);
    while (!Closed_ || !Batch_.empty()) {
      BatchReady_.wait(Lock, [this] { return Closed_ || !Batch_.empty(); });
      // Waits for lines that can share this write.
      BatchReady_.wait_for(Lock, BatchDelay, [this] { return Closed_; });
      const std::string Text = std::exchange(Batch_, {});
      Lock.unlock();
      writeLines(Text);
      Lock.lock();
    }
  }

  /// Writes whole lines in chunks of at most AtomicPipeWriteBytes, so that a reader of a pipe sees
  /// no partial line. A longer line is written on its own.
  static void writeLines(std::string_view Text) {
    while (!Text.empty()) {
      std::size_t Size = Text.size();
      if (Size > AtomicPipeWriteBytes) {
        const std::size_t End = Text.rfind('\n', AtomicPipeWriteBytes - 1);
        Size = (End == std::string_view::npos ? Text.find('\n') : End) + 1;
      }
      std::fwrite(Text.data(), 1, Size, stdout);
      std::fflush(stdout);
      Text.remove_prefix(Size);
    }
  }

  std::mutex BatchMutex_;
  std::condition_variable BatchReady_;
  std::string Batch_;
  std::atomic<std::size_t> DroppedLines_{0};
  bool Closed_ = false;
  std::thread Writer_;
};

std::shared_ptr<BatchSink> &batchSink() {
  static std::shared_ptr<BatchSink> Sink;
  return Sink;
}

std::shared_ptr<spdlog::logger> makeLogger() {
  constexpr const char *Name = "masticdrift";
  if (ActiveTarget == LogTarget::StandardError) {
    auto NewLogger =
        std::make_shared<spdlog::logger>(Name, std::make_shared<spdlog::sinks::stderr_sink_mt>());
    NewLogger->flush_on(spdlog::level::info);
    return NewLogger;
  }
  batchSink() = std::make_shared<BatchSink>();
  return std::make_shared<spdlog::logger>(Name, batchSink());
}

spdlog::level::level_enum toSpdlog(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return spdlog::level::debug;
  case LogLevel::Info:
    return spdlog::level::info;
  case LogLevel::Warning:
    return spdlog::level::warn;
  case LogLevel::Error:
    return spdlog::level::err;
  }
  return spdlog::level::info;
}

spdlog::logger &logger() {
  static const std::shared_ptr<spdlog::logger> Logger = [] {
    auto NewLogger = makeLogger();
    NewLogger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e%z\",\"level\":\"%l\",%v}");
    return NewLogger;
  }();
  return *Logger;
}

bool needsNoEscaping(std::string_view Text) {
  return std::ranges::all_of(Text, [](char Character) {
    return Character >= ' ' && Character <= '~' && Character != '"' && Character != '\\';
  });
}

/// Appends "key":"value" without a JSON library unless the value needs escaping, which is rare:
/// building a JSON object per line costs five times as much as the rest of the line.
void appendField(std::string &Line, std::string_view Key, std::string_view Value) {
  Line += '"';
  Line += Key;
  Line += "\":";
  if (!needsNoEscaping(Value)) {
    Line += nlohmann::json(Value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return;
  }
  Line += '"';
  Line += Value;
  Line += '"';
}

} // namespace

void initLog(std::string_view Instance, LogLevel MinLevel, LogTarget Target) {
  InstanceName = Instance;
  ActiveTarget = Target;
  logger().set_level(toSpdlog(MinLevel));
}

std::size_t droppedLogLines() { return batchSink() == nullptr ? 0 : batchSink()->droppedLines(); }

void log(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields) {
  if (!logger().should_log(toSpdlog(Level)))
    return;
  std::string Line;
  Line.reserve(TypicalLineBytes);
  appendField(Line, "instance", InstanceName);
  Line += ',';
  appendField(Line, "event", Event);
  for (const LogField &Field : Fields) {
    Line += ',';
    appendField(Line, Field.Key_, Field.Value_);
  }
  // The pattern adds the braces and puts time and level first.
  logger().log(toSpdlog(Level), std::string_view(Line));
}

} // namespace masticdrift::core
