// The operator interface of an entry, over JSON-RPC. Reads and changes of durable state are
// forwarded to the control leader; the event timeline is collected from all processes.

#ifndef FIREFLYROUTE_APP_OPERATOR_API_H
#define FIREFLYROUTE_APP_OPERATOR_API_H

#include "app/control_link.h"
#include "app/event_recorder.h"
#include "app/routing_view.h"
#include "app/rpc_service.h"

#include <memory>
#include <string>
#include <vector>

namespace fireflyroute::app {

class OperatorApi
{
public:
    OperatorApi(const SystemClock &clock, std::shared_ptr<ControlLink> link,
                const ViewHolder &views, EventRecorder &events,
                std::vector<std::string> controlAddresses, std::string self, std::string secret);

    void addMethods(RpcService &service);

private:
    Json::Value forward(const std::string &method, const Json::Value &parameters);
    Json::Value timeline();
    Json::Value endpoints() const;

    const SystemClock &clock_;
    std::shared_ptr<ControlLink> link_;
    const ViewHolder &views_;
    EventRecorder &events_;
    const std::vector<std::string> controlAddresses_;
    const std::string ownAddress_;
    const std::string secret_;
};

// Adds the method "events", by which other processes read this process's events.
void addEventMethod(RpcService &service, EventRecorder &events);

} // namespace fireflyroute::app

#endif
