// HTTP/1.1 server connections of callers: responses. In come complete or streamed responses of the
// handler, out go bytes as fast as the caller receives them.

#include "net/server_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <utility>

namespace fireflyroute::net {

namespace asio = boost::asio;
using boost::system::error_code;

void ServerSession::respond(const HttpResponseMessage &response)
{
    if (!requestActive_ || streaming_)
        return;
    HttpResponseHead head{response.status, response.fields};
    const bool closesConnection = !keepAlive_ || group_->announcesEnd;
    closeAfterWrite_ = closesConnection;
    if (closesConnection)
        head.fields.push_back({"Connection", "close"});
    head.fields.push_back({"Content-Length", std::to_string(response.body.size())});
    std::string bytes = encodeResponseHead(head);
    bytes += "\r\n";
    if (!omitBody_)
        bytes += response.body;
    send(std::move(bytes));
    finishResponse();
}

void ServerSession::beginStream(const HttpResponseHead &head)
{
    if (!requestActive_ || streaming_)
        return;
    streaming_ = true;
    HttpResponseHead framedHead = head;
    const bool closesConnection = !keepAlive_ || group_->announcesEnd;
    closeAfterWrite_ = closesConnection;
    if (closesConnection)
        framedHead.fields.push_back({"Connection", "close"});
    framedHead.fields.push_back({"Transfer-Encoding", "chunked"});
    send(encodeResponseHead(framedHead) + "\r\n");
}

void ServerSession::writeChunk(std::string_view chunk)
{
    if (streaming_ && !chunk.empty())
        send(fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk));
}

void ServerSession::endStream()
{
    if (!streaming_)
        return;
    send("0\r\n\r\n");
    finishResponse();
}

void ServerSession::setBufferedBytes(std::size_t bytes)
{
    bufferedBytes_ = bytes;
    updateHolding();
}

void ServerSession::onDisconnect(std::function<void()> disconnectHandler)
{
    disconnectHandler_ = std::move(disconnectHandler);
}

void ServerSession::onLastCall(std::function<void()> lastCallHandler)
{
    lastCallHandler_ = std::move(lastCallHandler);
}

void ServerSession::onDrained(std::function<void()> drainedHandler)
{
    drainedHandler_ = open_ ? std::move(drainedHandler) : nullptr;
}

void ServerSession::finishResponse()
{
    disconnectHandler_ = nullptr;
    lastCallHandler_ = nullptr;
    streaming_ = false;
    requestActive_ = false;
    requestBytes_ = 0;
    bufferedBytes_ = 0;
    updateHolding();
    if (!open_ || closeAfterWrite_)
        return;
    idleSince_ = std::chrono::steady_clock::now();
    armTimer(group_->limits.idleTimeout);
    progressAt_ = idleSince_;
    if (!reader_.hasInput()) {
        awaitReadable();
        return;
    }
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->open_ && !self->requestActive_ && !self->closeAfterWrite_)
            self->parse({});
    });
}

void ServerSession::send(std::string bytes)
{
    if (!open_)
        return;
    unsentBytes_ += bytes.size();
    group_->unsentBytes += bytes.size();
    if (unsentBytes_ == bytes.size())
        idleSince_ = std::chrono::steady_clock::now();
    updateHolding();
    output_.push_back(std::move(bytes));
    if (!writing_)
        writeNext();
}

void ServerSession::writeNext()
{
    // All queued bytes are sent in one write, because each system call is expensive on a small VM.
    if (output_.size() > 1) {
        std::string combined;
        combined.reserve(unsentBytes_);
        for (const std::string &part : output_)
            combined += part;
        output_.clear();
        output_.push_back(std::move(combined));
    }
    writing_ = true;
    // The idle limit counts from the last bytes that were sent: a slow caller may receive an answer
    // for longer than that.
    const auto recordProgress = [self = shared_from_this()](const error_code &error,
                                                            std::size_t count) {
        self->idleSince_ = std::chrono::steady_clock::now();
        return asio::transfer_all()(error, count);
    };
    asio::async_write(socket_, asio::buffer(output_.front()), recordProgress,
                      [self = shared_from_this()](const error_code &error, std::size_t count) {
                          self->writing_ = false;
                          if (error) {
                              self->handleDisconnect();
                              return;
                          }
                          self->unsentBytes_ -= count;
                          self->group_->unsentBytes -= count;
                          self->updateHolding();
                          self->output_.pop_front();
                          if (!self->output_.empty())
                              self->writeNext();
                          else if (self->closeAfterWrite_ && !self->requestActive_)
                              self->awaitClose();
                          if (self->drainedHandler_ && !self->isCongested())
                              std::exchange(self->drainedHandler_, nullptr)();
                      });
}

} // namespace fireflyroute::net
