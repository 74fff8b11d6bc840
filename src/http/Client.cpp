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
  Impl(long ConnectionsPerHost, std::chrono::seconds IdleLimit, std::chrono::seconds LifeLimit)
      : IdleSeconds_(static_cast<long>(IdleLimit.count())),
        LifeSeconds_(static_cast<long>(LifeLimit.count())) {
    static const CURLcode Initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)Initialized;
    Multi_ = curl_multi_init();
    if (ConnectionsPerHost > 0)
      curl_multi_setopt(Multi_, CURLMOPT_MAX_HOST_CONNECTIONS, ConnectionsPerHost);
    Thread_ = std::thread([this] { run(); });
  }

  ~Impl() {
    Stopping_ = true;
    curl_multi_wakeup(Multi_);
    Thread_.join();
    curl_multi_cleanup(Multi_);
  }

  void run() {
    while (!Stopping_) {
      startPending();
      int Running = 0;
      curl_multi_perform(Multi_, &Running);
      finishDone();
      curl_multi_poll(Multi_, nullptr, 0, 1000, nullptr);
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
    for (auto &Work : Batch) {
      Work->Easy_ = curl_easy_init();
      prepare(*Work, IdleSeconds_, LifeSeconds_);
      curl_multi_add_handle(Multi_, Work->Easy_);
      Active_.emplace(Work->Easy_, std::move(Work));
    }
  }

  void finishDone() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi_, &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const CURLcode Code = Message->data.result;
      finish(Active_.at(Message->easy_handle).get(), Code);
    }
  }

  void finish(Exchange *Work, CURLcode Code) {
    ClientResult Result = resultOf(Code, *Work);
    curl_multi_remove_handle(Multi_, Work->Easy_);
    curl_slist_free_all(Work->HeaderList_);
    curl_easy_cleanup(Work->Easy_);
    auto Node = Active_.extract(Work->Easy_);
    Node.mapped()->Done_(std::move(Result));
  }

  const long IdleSeconds_;
  const long LifeSeconds_;
  CURLM *Multi_ = nullptr;
  std::atomic<bool> Stopping_{false};
  std::mutex Mutex_;
  std::deque<std::unique_ptr<Exchange>> Pending_;
  std::unordered_map<CURL *, std::unique_ptr<Exchange>> Active_;
  std::thread Thread_;
};

Client::Client(long ConnectionsPerHost, std::chrono::seconds IdleLimit,
               std::chrono::seconds LifeLimit)
    : Impl_(std::make_unique<Impl>(ConnectionsPerHost, IdleLimit, LifeLimit)) {}

Client::~Client() = default;

void Client::send(ClientRequest Request, Callback Done) {
  auto Work = std::make_unique<Exchange>();
  Work->Request_ = std::move(Request);
  Work->Done_ = std::move(Done);
  {
    const std::lock_guard Lock(Impl_->Mutex_);
    Impl_->Pending_.push_back(std::move(Work));
  }
  curl_multi_wakeup(Impl_->Multi_);
}

ClientResult Client::sendAndWait(ClientRequest Request) {
  std::promise<ClientResult> Promise;
  auto Future = Promise.get_future();
  send(std::move(Request),
       [&Promise](ClientResult Result) { Promise.set_value(std::move(Result)); });
  return Future.get();
}

} // namespace masticdrift::http
