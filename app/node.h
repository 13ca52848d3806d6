// One running process: the components of its roles, wired together.
//
//   Result<std::unique_ptr<Node>> node = Node::start(settings);
//   ... wait for a signal ...
//   node.value()->shutDown();

#ifndef FIREFLYROUTE_APP_NODE_H
#define FIREFLYROUTE_APP_NODE_H

#include "app/errors.h"
#include "app/settings.h"

#include <memory>

namespace fireflyroute::app {

class Node
{
public:
    static Result<std::unique_ptr<Node>> start(const ServeSettings &settings);

    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    // Reports not ready, waits until running requests have completed, and stops.
    void shutDown();

private:
    class Impl;
    explicit Node(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace fireflyroute::app

#endif
