// The command `serve`: runs a process until SIGTERM or SIGINT.

#ifndef FIREFLYROUTE_APP_SERVE_H
#define FIREFLYROUTE_APP_SERVE_H

namespace fireflyroute::app {

// Returns the exit code of the process.
int runServe();

} // namespace fireflyroute::app

#endif
