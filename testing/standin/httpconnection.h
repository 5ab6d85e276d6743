// One HTTP connection: reads a request, hands it on, writes the response, repeats.

#pragma once

#include "standin/httpmessage.h"

#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace rosemaryhinge::standin {

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(asio::ip::tcp::socket socket, const HttpHandler &handler);

  void start();

private:
  void readHead();
  void onHead(std::size_t bytes);
  void readBody(std::size_t length);
  void handle(std::size_t length);
  void write(const HttpResponse &response, bool keep);

  asio::ip::tcp::socket Socket;
  const HttpHandler &Handler; ///< Of the server, which lives as long as the process.
  std::string In;
  std::string Out;
  HttpRequest Request;
};

} // namespace rosemaryhinge::standin
