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
http::Request parseHead(std::string_view Head) {
  http::Request Out;
  std::size_t End = Head.find("\r\n");
  const std::string_view Line = Head.substr(0, End);
  const std::size_t First = Line.find(' ');
  const std::size_t Second = Line.find(' ', First + 1);
  if (First == std::string_view::npos || Second == std::string_view::npos)
    return Out;
  Out.Method_ = Line.substr(0, First);
  const std::string_view Target = Line.substr(First + 1, Second - First - 1);
  const std::size_t Mark = Target.find('?');
  Out.Path_ = Target.substr(0, Mark);
  if (Mark != std::string_view::npos)
    Out.Query_ = Target.substr(Mark + 1);
  while (End != std::string_view::npos && End + 2 < Head.size()) {
    const std::size_t Start = End + 2;
    End = Head.find("\r\n", Start);
    const std::string_view Field =
        Head.substr(Start, End == std::string_view::npos ? End : End - Start);
    const std::size_t Colon = Field.find(':');
    if (Colon != std::string_view::npos)
      Out.Headers_.emplace_back(Field.substr(0, Colon), trim(Field.substr(Colon + 1)));
  }
  return Out;
}

std::string render(const Reply &Answer) {
  std::string Out = "HTTP/1.1 " + std::to_string(Answer.Status_) +
                    (Answer.Status_ < 400 ? " OK" : " Error") +
                    "\r\nContent-Type: " + Answer.ContentType_ + "\r\n";
  for (const auto &[Name, Value] : Answer.Headers_)
    Out += Name + ": " + Value + "\r\n";
  if (Answer.Form_ == Form::NoLength)
    Out += "Connection: close\r\n\r\n";
  else
    Out += "Content-Length: " + std::to_string(Answer.Body_.size()) + "\r\n\r\n";
  return Out + (Answer.Form_ == Form::Truncate ? Answer.Body_.substr(0, Answer.Body_.size() / 2)
                                               : Answer.Body_);
}

} // namespace

/// One connection. It always has a read outstanding, so that a client that closes is noticed while
/// its request is served.
class StubConnection : public std::enable_shared_from_this<StubConnection> {
public:
  StubConnection(asio::ip::tcp::socket Socket, HttpStub &Owner)
      : Socket_(std::move(Socket)), Owner_(Owner) {
    ++Owner_.Counts_.Open_;
    Owner_.Counts_.Peak_ = std::max(Owner_.Counts_.Peak_, Owner_.Counts_.Open_);
  }

  void read() {
    Socket_.async_read_some(asio::buffer(Chunk_),
                            [Self = shared_from_this()](std::error_code Error, std::size_t Size) {
                              if (Error)
                                return Self->close();
                              Self->Owner_.Counts_.BytesIn_ += Size;
                              Self->Input_.append(Self->Chunk_.data(), Size);
                              Self->serveNext();
                              if (Self->Open_)
                                Self->read();
                            });
  }

private:
  void serveNext() {
    const std::size_t HeadEnd = Input_.find("\r\n\r\n");
    if (Busy_ || !Open_ || HeadEnd == std::string::npos)
      return;
    http::Request Incoming = parseHead(std::string_view(Input_).substr(0, HeadEnd));
    const std::string_view Length = http::findHeader(Incoming.Headers_, "Content-Length");
    std::size_t Size = 0;
    std::from_chars(Length.data(), Length.data() + Length.size(), Size);
    if (Incoming.Method_.empty())
      return close();
    if (Input_.size() < HeadEnd + 4 + Size)
      return;
    Incoming.Body_ = Input_.substr(HeadEnd + 4, Size);
    Input_.erase(0, HeadEnd + 4 + Size);
    Busy_ = true;
    Owner_.OnRequest_(std::move(Incoming), [Self = shared_from_this()](Reply Answer) {
      Self->respond(std::move(Answer));
    });
  }

  void respond(Reply Answer) {
    if (!Open_ || Answer.Form_ == Form::Hang)
      return;
    if (Answer.Form_ == Form::Close)
      return close();
    Output_ = render(Answer);
    asio::async_write(Socket_, asio::buffer(Output_),
                      [Self = shared_from_this(), Last = Answer.Form_ != Form::Whole](
                          std::error_code Error, std::size_t Size) {
                        Self->Owner_.Counts_.BytesOut_ += Size;
                        if (Error || Last)
                          return Self->close();
                        Self->Busy_ = false;
                        Self->serveNext();
                      });
  }

  void close() {
    if (!Open_)
      return;
    Open_ = false;
    --Owner_.Counts_.Open_;
    std::error_code Ignored;
    Socket_.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
    Socket_.close(Ignored);
  }

  asio::ip::tcp::socket Socket_;
  HttpStub &Owner_;
  std::array<char, 16384> Chunk_{};
  std::string Input_;
  std::string Output_;
  bool Busy_ = false;
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
