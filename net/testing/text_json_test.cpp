// Parsing of JSON text, and JSON-RPC calls between client and server.

#define BOOST_TEST_MODULE text_json
#include "net/jsonrpc/rpc_client.h"
#include "net/jsonrpc/rpc_server.h"
#include "net/text_json.h"

#include <boost/test/unit_test.hpp>
#include <stdexcept>

using namespace fireflyroute::net;

BOOST_AUTO_TEST_CASE(malformed_json_is_rejected)
{
    for (const char *text : {"", "{", "{\"a\":1}x", "[1,]", "nul"}) {
        const Result<Json::Value> parsed = parseJson(text);
        BOOST_TEST(!parsed.has_value(), text);
    }
    BOOST_TEST(parseJson("{\"a\":[1,2]}").value()["a"].size() == 2U);
}

// Guards against documents whose values take many times the memory of their text.
BOOST_AUTO_TEST_CASE(document_of_too_many_values_is_rejected)
{
    const auto listOf = [](std::size_t count) {
        std::string text = "[";
        for (std::size_t i = 1; i < count; ++i)
            text += "0,";
        return text + "0]";
    };
    BOOST_TEST(parseDocument(listOf(kMaxDocumentValues)).has_value());
    BOOST_TEST(!parseDocument(listOf(kMaxDocumentValues + 1)).has_value());
}

BOOST_AUTO_TEST_CASE(rpc_call_returns_result_or_error_from_exception)
{
    RpcServer server;
    server.add("double", [](const Json::Value &parameters) {
        Json::Value reply;
        reply["n"] = parameters["n"].asInt() * 2;
        return reply;
    });
    server.add("fail", [](const Json::Value &) -> Json::Value {
        throw std::runtime_error("method failed");
    });
    const RpcTransport transport = [&](const std::string &bytes) { return server.dispatch(bytes); };
    Json::Value parameters;
    parameters["n"] = 21;
    BOOST_TEST(callRpc(transport, "double", parameters).value["n"].asInt() == 42);
    const RpcReply failed = callRpc(transport, "fail", parameters);
    BOOST_TEST(!failed.ok);
    BOOST_TEST(failed.error.find("method failed") != std::string::npos);
}
