// Tests from which control VM, and how often, an entry fetches the state, also over a slow link.

#define BOOST_TEST_MODULE state_fetch
#include "core/site/state_fetch.h"

#include "core/site/state_feed.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart = Instant() + 100s;
const VmId kNear("10.1.0.1");
const VmId kAlsoNear("10.1.0.2");
const VmId kFar("10.2.0.1");

// An entry whose network link is shared by the messages of all control VMs, which are transferred
// one byte after the other in the order in which they were sent. Each control VM learns of a change
// at once.
class SlowLinkSite
{
public:
    SlowLinkSite(std::uint64_t bytesPerMs, std::uint64_t documentBytes)
        : bytesPerMs_(bytesPerMs)
        , documentBytes_(documentBytes)
    {
        for (const VmId &vm : {kNear, kAlsoNear, kFar})
            feeds_.emplace(vm, StateFeed(vm != kFar));
    }

    void change(std::uint64_t revision)
    {
        state_.revision = revision;
        state_.document = ConfigDocument{revision, {}};
    }

    void run(Duration duration)
    {
        const Instant end = now_ + duration;
        for (; now_ < end; now_ += kStep) {
            for (auto &[vm, feed] : feeds_) {
                if (const auto announcement = feed.onChange(state_, now_))
                    fetcher_.recordAnnouncement(vm, *announcement, now_);
            }
            transfer();
            request();
        }
    }

    [[nodiscard]] std::uint64_t heldRevision() const { return heldRevision_; }
    [[nodiscard]] std::size_t transfers() const { return transfers_; }

private:
    static constexpr std::chrono::milliseconds kStep{10};

    struct Transfer
    {
        VmId from;
        StateUpdate update;
        std::uint64_t remainingBytes = 0;
    };

    void transfer()
    {
        std::uint64_t budget = bytesPerMs_ * static_cast<std::uint64_t>(kStep.count());
        while (!queue_.empty() && budget > 0) {
            Transfer &first = queue_.front();
            const std::uint64_t sent = std::min(budget, first.remainingBytes);
            budget -= sent;
            first.remainingBytes -= sent;
            fetcher_.recordProgress(first.from, now_);
            if (first.remainingBytes > 0)
                return;
            fetcher_.recordAnswer(first.from, first.update.data.revision);
            heldRevision_ = std::max(heldRevision_, first.update.data.revision);
            queue_.pop_front();
        }
    }

    void request()
    {
        const std::optional<VmId> vm = fetcher_.startRequest(heldRevision_, now_);
        if (!vm)
            return;
        if (auto update = StateFeed::answer({heldRevision_, heldRevision_}, state_)) {
            ++transfers_;
            queue_.push_back({*vm, std::move(*update), documentBytes_});
        }
    }

    const std::uint64_t bytesPerMs_;
    const std::uint64_t documentBytes_;
    Instant now_ = kStart;
    SiteData state_;
    std::map<VmId, StateFeed> feeds_;
    StateFetcher fetcher_;
    std::deque<Transfer> queue_;
    std::uint64_t heldRevision_ = 0;
    std::size_t transfers_ = 0;
};

} // namespace

// Guards against inc1: copies of a large document from several control VMs saturated the link of an
// entry, and a configuration was in force later than the 3 s that are allowed.
BOOST_AUTO_TEST_CASE(large_documents_arrive_in_time_over_slow_link)
{
    constexpr std::uint64_t kLinkBytesPerMs = 1250; // 10 Mbit/s
    constexpr std::uint64_t kDocumentBytes = 1'200'000;
    SlowLinkSite site(kLinkBytesPerMs, kDocumentBytes);
    site.change(1);
    site.run(800ms);
    site.change(2);
    site.run(3s);
    BOOST_TEST(site.heldRevision() == 2U);
    BOOST_TEST(site.transfers() == 2U);
}

BOOST_AUTO_TEST_CASE(changes_during_a_transfer_are_fetched_together)
{
    SlowLinkSite site(1000, 1'000'000);
    site.change(1);
    site.run(100ms);
    for (std::uint64_t revision = 2; revision <= 8; ++revision) {
        site.change(revision);
        site.run(100ms);
    }
    site.run(2s);
    BOOST_TEST(site.heldRevision() == 8U);
    BOOST_TEST(site.transfers() == 2U);
}

BOOST_AUTO_TEST_CASE(own_region_is_preferred_and_other_regions_are_asked_if_it_lags)
{
    StateFetcher fetcher;
    fetcher.recordAnnouncement(kNear, {4, true}, kStart);
    BOOST_TEST((fetcher.startRequest(3, kStart) == kNear));
    fetcher.recordAnswer(kNear, 4);
    fetcher.recordAnnouncement(kFar, {5, false}, kStart + 1s);
    BOOST_TEST(!fetcher.startRequest(4, kStart + 1s).has_value());
    BOOST_TEST(!fetcher.startRequest(4, kStart + 1299ms).has_value());
    BOOST_TEST((fetcher.startRequest(4, kStart + 1300ms) == kFar));
    // Without a control VM in its region, an entry does not wait.
    StateFetcher remote;
    remote.recordAnnouncement(kFar, {5, false}, kStart);
    BOOST_TEST((remote.startRequest(4, kStart) == kFar));
}

BOOST_AUTO_TEST_CASE(stalled_or_lost_transfer_is_replaced_by_one_from_another_vm)
{
    StateFetcher fetcher;
    fetcher.recordAnnouncement(kNear, {5, true}, kStart);
    fetcher.recordAnnouncement(kAlsoNear, {5, true}, kStart + 1ms);
    BOOST_TEST((fetcher.startRequest(4, kStart + 1ms) == kNear));
    fetcher.recordProgress(kNear, kStart + 900ms);
    BOOST_TEST(!fetcher.startRequest(4, kStart + 1800ms).has_value());
    BOOST_TEST((fetcher.startRequest(4, kStart + 1900ms) == kAlsoNear));
    fetcher.recordDisconnected(kAlsoNear);
    // The only one left is asked again although it stalled.
    BOOST_TEST((fetcher.startRequest(4, kStart + 1910ms) == kNear));
    fetcher.recordAnswer(kNear, 5);
    BOOST_TEST(!fetcher.startRequest(5, kStart + 2s).has_value());
}

// A document that the entry can't read would otherwise be fetched again and again.
BOOST_AUTO_TEST_CASE(answer_that_was_not_applied_is_not_requested_again)
{
    StateFetcher fetcher;
    fetcher.recordAnnouncement(kNear, {5, true}, kStart);
    BOOST_TEST(fetcher.startRequest(4, kStart).has_value());
    fetcher.recordAnswer(kNear, 5);
    BOOST_TEST(!fetcher.startRequest(4, kStart + 10s).has_value());
    fetcher.recordAnnouncement(kNear, {6, true}, kStart + 10s);
    BOOST_TEST(fetcher.startRequest(4, kStart + 10s).has_value());
}
