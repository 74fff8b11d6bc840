#include "standins/common/HttpStub.h"

#include <array>
#include <charconv>

namespace masticdrift::standins {

namespace {

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\r'))
    Text.remove_suffix(1);
  return Text;
}

/// Parses the request line and the header lines.
http::Request parseRequestHead(std::string_view Head) {
  http::Request Result;
  std::size_t End = Head.find("\r\n");
  const std::string_view Line = Head.substr(0, End);
  const std::size_t FirstSpace = Line.find(' ');
  const std::size_t SecondSpace = Line.find(' ', FirstSpace + 1);
  if (FirstSpace == std::string_view::npos || SecondSpace == std::string_view::npos)
    return Result;
  Result.Method_ = Line.substr(0, FirstSpace);
  const std::string_view Target = Line.substr(FirstSpace + 1, SecondSpace - FirstSpace - 1);
  const std::size_t QueryStart = Target.find('?');
  Result.Path_ = Target.substr(0, QueryStart);
  if (QueryStart != std::string_view::npos)
    Result.Query_ = Target.substr(QueryStart + 1);
  while (End != std::string_view::npos && End + 2 < Head.size()) {
    const std::size_t Start = End + 2;
    End = Head.find("\r\n", Start);
    const std::string_view HeaderLine =
        Head.substr(Start, End == std::string_view::npos ? End : End - Start);
    const std::size_t Colon = HeaderLine.find(':');
    if (Colon != std::string_view::npos)
      Result.Headers_.emplace_back(HeaderLine.substr(0, Colon), trim(HeaderLine.substr(Colon + 1)));
  }
  return Result;
}

std::string serializeReply(const Reply &Response) {
  std::string Result = "HTTP/1.1 " + std::to_string(Response.Status_) +
                       (Response.Status_ < 400 ? " OK" : " Error") +
                       "\r\nContent-Type: " + Response.ContentType_ + "\r\n";
  for (const auto &[Name, Value] : Response.Headers_)
    Result += Name + ": " + Value + "\r\n";
  if (Response.Mode_ == ReplyMode::NoContentLength)
    Result += "Connection: close\r\n\r\n";
  else
    Result += "Content-Length: " + std::to_string(Response.Body_.size()) + "\r\n\r\n";
  return Result + (Response.Mode_ == ReplyMode::Truncate
                       ? Response.Body_.substr(0, Response.Body_.size() / 2)
                       : Response.Body_);
}

} // namespace

/// One connection. A read is always pending, so that a close by the client is detected while its
/// request is being served.
class StubConnection : public std::enable_shared_from_this<StubConnection> {
public:
  StubConnection(asio::ip::tcp::socket Socket, HttpStub &Server)
      : Socket_(std::move(Socket)), Server_(Server) {
    ++Server_.Counts_.Open_;
    Server_.Counts_.Peak_ = std::max(Server_.Counts_.Peak_, Server_.Counts_.Open_);
  }

  void read() {
    Socket_.async_read_some(asio::buffer(ReadBuffer_),
                            [Self = shared_from_this()](std::error_code Error, std::size_t Size) {
                              if (Error)
                                return Self->close();
                              Self->Server_.Counts_.BytesIn_ += Size;
                              Self->Input_.append(Self->ReadBuffer_.data(), Size);
                              Self->serveNext();
                              if (Self->Open_)
                                Self->read();
                            });
  }

private:
  void serveNext() {
    const std::size_t HeadEnd = Input_.find("\r\n\r\n");
    if (ServingRequest_ || !Open_ || HeadEnd == std::string::npos)
      return;
    http::Request Incoming = parseRequestHead(std::string_view(Input_).substr(0, HeadEnd));
    const std::string_view Length = http::findHeader(Incoming.Headers_, "Content-Length");
    std::size_t Size = 0;
    std::from_chars(Length.data(), Length.data() + Length.size(), Size);
    if (Incoming.Method_.empty())
      return close();
    if (Input_.size() < HeadEnd + 4 + Size)
      return;
    Incoming.Body_ = Input_.substr(HeadEnd + 4, Size);
    Input_.erase(0, HeadEnd + 4 + Size);
    ServingRequest_ = true;
    Server_.OnRequest_(std::move(Incoming), [Self = shared_from_this()](Reply Response) {
      Self->respond(std::move(Response));
    });
  }

  void respond(Reply Response) {
    if (!Open_ || Response.Mode_ == ReplyMode::Hang)
      return;
    if (Response.Mode_ == ReplyMode::Close)
      return close();
    Output_ = serializeReply(Response);
    asio::async_write(
        Socket_, asio::buffer(Output_),
        [Self = shared_from_this(), CloseAfterWrite = Response.Mode_ != ReplyMode::Complete](
            std::error_code Error, std::size_t Size) {
          Self->Server_.Counts_.BytesOut_ += Size;
          if (Error || CloseAfterWrite)
            return Self->close();
          Self->ServingRequest_ = false;
          Self->serveNext();
        });
  }

  void close() {
    if (!Open_)
      return;
    Open_ = false;
    --Server_.Counts_.Open_;
    std::error_code Ignored;
    Socket_.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
    Socket_.close(Ignored);
  }

  asio::ip::tcp::socket Socket_;
  HttpStub &Server_;
  std::array<char, 16384> ReadBuffer_{};
  std::string Input_;
  std::string Output_;
  bool ServingRequest_ = false;
  bool Open_ = true;
};

HttpStub::HttpStub(asio::io_context &Io, std::uint16_t Port, StubHandler OnRequest,
                   std::size_t MaxConnections)
    : Acceptor_(Io, {asio::ip::address_v4::loopback(), Port}), OnRequest_(std::move(OnRequest)),
      MaxConnections_(MaxConnections) {
  accept();
}

HttpStub::~HttpStub() = default;

std::uint16_t HttpStub::port() const { return Acceptor_.local_endpoint().port(); }

void HttpStub::accept() {
  Acceptor_.async_accept([this](std::error_code Error, asio::ip::tcp::socket Socket) {
    if (Error)
      return;
    ++Counts_.Accepted_;
    if (Counts_.Open_ >= MaxConnections_) {
      ++Counts_.Refused_;
    } else {
      Socket.set_option(asio::ip::tcp::no_delay(true), Error);
      std::make_shared<StubConnection>(std::move(Socket), *this)->read();
    }
    accept();
  });
}

} // namespace masticdrift::standins
