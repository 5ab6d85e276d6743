// Direct path.

#include "compare/directpath.h"

#include <stdexcept>

namespace rosemaryhinge::compare {

namespace {

std::string connectionText(const std::string &address, const std::string &database) {
  auto colon = address.rfind(':');
  return "host=" + address.substr(0, colon) + " port=" + address.substr(colon + 1) + " dbname=" + database +
         " user=rosemaryhinge application_name=rh/control sslmode=disable connect_timeout=5";
}

} // namespace

DirectPath::DirectPath(const std::string &address, const std::string &database)
    : Connection(PQconnectdb(connectionText(address, database).c_str()), &PQfinish) {
  if (PQstatus(Connection.get()) != CONNECTION_OK)
    throw std::runtime_error("cannot connect to " + address + ": " + PQerrorMessage(Connection.get()));
}

bool DirectPath::read(const std::string &sql) { return run("BEGIN READ ONLY; " + sql + "; COMMIT"); }

bool DirectPath::write(const std::string &sql) { return run("BEGIN; " + sql + "; COMMIT"); }

bool DirectPath::run(const std::string &sql) {
  std::unique_ptr<PGresult, decltype(&PQclear)> result(PQexec(Connection.get(), sql.c_str()), &PQclear);
  auto status = PQresultStatus(result.get());
  return status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;
}

} // namespace rosemaryhinge::compare
