// Tests the text and HTML output of the time line.

#define BOOST_TEST_MODULE timeline_text_test

#include "core/timeline/timeline_text.h"

#include <boost/test/unit_test.hpp>

namespace fireflyroute::core {

namespace {

Event eventWithMarkup()
{
    const std::string markup = "<script>alert(\"x\")&'</script>";
    Event event;
    event.kind = EventKind::RequestFinished;
    event.vm = VmId(markup);
    event.request = RequestId(markup);
    event.version = ModelVersion{ModelName(markup), VersionName("1")};
    event.endpoint = EndpointId(markup);
    event.account = ClientAccountId(markup);
    event.detail = markup;
    return event;
}

} // namespace

BOOST_AUTO_TEST_CASE(html_escapes_every_text)
{
    const std::string page = timelineHtml({eventWithMarkup()}, "<b>title</b>");
    BOOST_TEST(page.find("<script") == std::string::npos);
    BOOST_TEST(page.find("<b>") == std::string::npos);
    BOOST_TEST(page.find("&lt;script&gt;alert(&quot;x&quot;)&amp;&#39;&lt;/script&gt;")
               != std::string::npos);
    BOOST_TEST(page.ends_with("</html>\n"));
}

BOOST_AUTO_TEST_CASE(lines_show_only_fields_that_are_set)
{
    Event event;
    event.kind = EventKind::ConfigAccepted;
    event.vm = VmId("vm-1");
    event.revision = Revision(7);
    event.detail = "by anna";
    const std::string line = timelineLine(event);
    BOOST_TEST(line.find("config_accepted") != std::string::npos);
    BOOST_TEST(line.ends_with(" revision=7 by anna"));
    BOOST_TEST(line.find("request=") == std::string::npos);
}

} // namespace fireflyroute::core
