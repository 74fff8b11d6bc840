#include "masticdrift/http/Client.h"

#include "masticdrift/http/detail/Exchange.h"

#include <atomic>
#include <deque>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

#include <curl/curl.h>

namespace masticdrift::http {

using detail::Exchange;

struct Client::Impl {
  Impl(long ConnectionsPerHost, std::chrono::seconds MaxIdleTime,
       std::chrono::seconds MaxConnectionAge)
      : MaxIdleSeconds_(static_cast<long>(MaxIdleTime.count())),
        MaxConnectionAgeSeconds_(static_cast<long>(MaxConnectionAge.count())) {
    static const CURLcode Initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)Initialized;
    MultiHandle_ = curl_multi_init();
    if (ConnectionsPerHost > 0)
      curl_multi_setopt(MultiHandle_, CURLMOPT_MAX_HOST_CONNECTIONS, ConnectionsPerHost);
    Thread_ = std::thread([this] { run(); });
  }

  ~Impl() {
    Stopping_ = true;
    curl_multi_wakeup(MultiHandle_);
    Thread_.join();
    curl_multi_cleanup(MultiHandle_);
  }

  void run() {
    while (!Stopping_) {
      startPending();
      int Running = 0;
      curl_multi_perform(MultiHandle_, &Running);
      finishCompleted();
      curl_multi_poll(MultiHandle_, nullptr, 0, 1000, nullptr);
    }
    startPending();
    while (!Active_.empty())
      finish(Active_.begin()->second.get(), CURLE_ABORTED_BY_CALLBACK);
  }

  void startPending() {
    std::deque<std::unique_ptr<Exchange>> Batch;
    {
      const std::lock_guard Lock(Mutex_);
      Batch.swap(Pending_);
    }
    for (auto &Operation : Batch) {
      Operation->EasyHandle_ = curl_easy_init();
      setOptions(*Operation, MaxIdleSeconds_, MaxConnectionAgeSeconds_);
      curl_multi_add_handle(MultiHandle_, Operation->EasyHandle_);
      Active_.emplace(Operation->EasyHandle_, std::move(Operation));
    }
  }

  void finishCompleted() {
    int RemainingMessages = 0;
    while (CURLMsg *Message = curl_multi_info_read(MultiHandle_, &RemainingMessages)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const CURLcode Code = Message->data.result;
      finish(Active_.at(Message->easy_handle).get(), Code);
    }
  }

  void finish(Exchange *Operation, CURLcode Code) {
    ClientResult Result = takeResult(Code, *Operation);
    curl_multi_remove_handle(MultiHandle_, Operation->EasyHandle_);
    curl_slist_free_all(Operation->HeaderList_);
    curl_easy_cleanup(Operation->EasyHandle_);
    auto Entry = Active_.extract(Operation->EasyHandle_);
    Entry.mapped()->Done_(std::move(Result));
  }

  const long MaxIdleSeconds_;
  const long MaxConnectionAgeSeconds_;
  CURLM *MultiHandle_ = nullptr;
  std::atomic<bool> Stopping_{false};
  std::mutex Mutex_;
  std::deque<std::unique_ptr<Exchange>> Pending_;
  std::unordered_map<CURL *, std::unique_ptr<Exchange>> Active_;
  std::thread Thread_;
};

Client::Client(long ConnectionsPerHost, std::chrono::seconds MaxIdleTime,
               std::chrono::seconds MaxConnectionAge)
    : Impl_(std::make_unique<Impl>(ConnectionsPerHost, MaxIdleTime, MaxConnectionAge)) {}

Client::~Client() = default;

void Client::send(ClientRequest Request, Callback Done) {
  auto Operation = std::make_unique<Exchange>();
  Operation->Request_ = std::move(Request);
  Operation->Done_ = std::move(Done);
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    Impl_->Pending_.push_back(std::move(Operation));
  }
  curl_multi_wakeup(Impl_->MultiHandle_);
}

ClientResult Client::sendAndWait(ClientRequest Request) {
  std::promise<ClientResult> Promise;
  auto Future = Promise.get_future();
  send(std::move(Request),
       [&Promise](ClientResult Result) { Promise.set_value(std::move(Result)); });
  return Future.get();
}

} // namespace masticdrift::http
