// Executes a load plan against one entry: starts each request at its planned time, independently of
// earlier responses, and waits for all responses.
//
//   const LoadReport report = runLoad(setup, "http://127.0.0.1:8080", timeout);

#ifndef FIREFLYROUTE_APP_LOAD_RUN_H
#define FIREFLYROUTE_APP_LOAD_RUN_H

#include "app/load_profile.h"
#include "app/load_report.h"

#include <chrono>
#include <string>

namespace fireflyroute::app {

// `timeout` is the maximum time without progress of a response. Blocks until every request has
// ended.
[[nodiscard]] LoadReport runLoad(const LoadSetup &setup, const std::string &entry,
                                 std::chrono::milliseconds timeout);

} // namespace fireflyroute::app

#endif
