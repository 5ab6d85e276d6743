// An error as the PostgreSQL protocol reports it.

#pragma once

#include "protocol/request.h"

#include <string>
#include <variant>

namespace rosemaryhinge::standin {

struct SqlError {
  std::string State; ///< SQLSTATE, five characters.
  std::string Message;
  std::string Detail;
};

using SqlOutcome = std::variant<StatementResult, SqlError>;

} // namespace rosemaryhinge::standin
