// JSON-RPC methods of the control role: follow, submit, replication, and reads for operators.

#ifndef FIREFLYROUTE_APP_CONTROL_RPC_H
#define FIREFLYROUTE_APP_CONTROL_RPC_H

#include "app/control_loop.h"
#include "app/control_vm.h"
#include "app/rpc_service.h"

namespace fireflyroute::app {

void addControlMethods(RpcService &service, ControlLoop &loop, ControlVm &control);

} // namespace fireflyroute::app

#endif
