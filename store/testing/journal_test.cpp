// The journal across restarts: synced records are replayed, an incomplete last frame is truncated,
// and damage to earlier frames is rejected.

#define BOOST_TEST_MODULE journal
#include "store/journal.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <vector>

using namespace fireflyroute::store;
namespace fs = std::filesystem;

namespace {

// A new folder that is removed at the end of the test case.
struct TemporaryFolder
{
    TemporaryFolder()
    {
        std::string pattern = (fs::temp_directory_path() / "journal-XXXXXX").string();
        path = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { fs::remove_all(path); }

    fs::path path;
};

struct OpenedJournal
{
    std::vector<std::string> payloads;
    Result<Journal> journal;
};

OpenedJournal openJournal(const fs::path &path)
{
    std::vector<std::string> payloads;
    Result<Journal> journal = Journal::open(
            path, [&](JournalRecord record) { payloads.push_back(std::move(record.payload)); });
    return OpenedJournal{std::move(payloads), std::move(journal)};
}

void writeThreeRecords(const fs::path &path)
{
    OpenedJournal opened = openJournal(path);
    BOOST_TEST_REQUIRE(opened.journal.has_value());
    for (const char *payload : {"first", "second", "third"}) {
        const JournalRecord record{RecordType::Command, payload};
        BOOST_TEST(opened.journal.value().append(record).has_value());
        BOOST_TEST(opened.journal.value().sync().has_value());
    }
}

void flipByte(const fs::path &path, std::size_t offset)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const auto byte = static_cast<unsigned char>(file.get());
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(static_cast<char>(byte ^ 0xFFU));
}

} // namespace

BOOST_FIXTURE_TEST_CASE(records_are_replayed_in_order, TemporaryFolder)
{
    writeThreeRecords(path / "journal");
    const OpenedJournal reopened = openJournal(path / "journal");
    BOOST_TEST(reopened.payloads == (std::vector<std::string>{"first", "second", "third"}),
               boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(torn_tail_of_any_length_is_removed, TemporaryFolder)
{
    writeThreeRecords(path / "whole");
    const auto size = fs::file_size(path / "whole");
    const auto lastFrameBytes =
            kFrameHeaderBytes + kRecordHeaderBytes + std::string("third").size();
    for (std::size_t missingBytes = 1; missingBytes <= lastFrameBytes; ++missingBytes) {
        const fs::path torn = path / ("torn" + std::to_string(missingBytes));
        fs::copy_file(path / "whole", torn);
        fs::resize_file(torn, size - missingBytes);
        const OpenedJournal opened = openJournal(torn);
        BOOST_TEST_REQUIRE(opened.journal.has_value());
        BOOST_TEST(opened.payloads.size() == 2U);
        BOOST_TEST(fs::file_size(torn) == size - lastFrameBytes);
    }
}

BOOST_FIXTURE_TEST_CASE(damaged_byte_before_the_last_frame_is_rejected, TemporaryFolder)
{
    writeThreeRecords(path / "whole");
    const auto size = fs::file_size(path / "whole");
    const auto lastFrameBytes =
            kFrameHeaderBytes + kRecordHeaderBytes + std::string("third").size();
    for (std::size_t offset = 0; offset < size - lastFrameBytes; ++offset) {
        const fs::path damaged = path / ("broken" + std::to_string(offset));
        fs::copy_file(path / "whole", damaged);
        flipByte(damaged, offset);
        const OpenedJournal opened = openJournal(damaged);
        BOOST_TEST_REQUIRE(!opened.journal.has_value(), "byte " << offset);
        const bool isInMagicOrVersion = offset < 8;
        const StoreError expected =
                isInMagicOrVersion ? StoreError::WrongFormat : StoreError::Corrupt;
        BOOST_TEST((opened.journal.error().code == expected), "byte " << offset);
    }
}

BOOST_FIXTURE_TEST_CASE(damaged_byte_in_the_last_frame_is_treated_as_a_torn_tail, TemporaryFolder)
{
    {
        OpenedJournal opened = openJournal(path / "journal");
        for (int i = 0; i < 3; ++i) {
            const JournalRecord record{RecordType::Command, std::string(5000, 'x')};
            BOOST_TEST(opened.journal.value().append(record).has_value());
        }
        BOOST_TEST(opened.journal.value().sync().has_value());
    }
    // A crash may keep later pages of a frame and lose an earlier one: here the page of the first
    // record is damaged, and the later records are intact.
    flipByte(path / "journal", 100);
    const OpenedJournal opened = openJournal(path / "journal");
    BOOST_TEST_REQUIRE(opened.journal.has_value());
    BOOST_TEST(opened.payloads.empty());
}

BOOST_FIXTURE_TEST_CASE(payload_containing_a_frame_is_not_parsed_as_a_frame, TemporaryFolder)
{
    writeThreeRecords(path / "other");
    std::ifstream other(path / "other", std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(other), {}};
    {
        OpenedJournal opened = openJournal(path / "journal");
        const JournalRecord record{RecordType::Command, bytes};
        BOOST_TEST(opened.journal.value().append(record).has_value());
        BOOST_TEST(opened.journal.value().sync().has_value());
    }
    flipByte(path / "journal", fs::file_size(path / "journal") - 1);
    BOOST_TEST(openJournal(path / "journal").journal.has_value());
}

BOOST_FIXTURE_TEST_CASE(torn_header_is_rewritten, TemporaryFolder)
{
    writeThreeRecords(path / "whole");
    for (std::size_t size = 0; size < kJournalHeaderBytes; ++size) {
        const fs::path torn = path / ("torn" + std::to_string(size));
        fs::copy_file(path / "whole", torn);
        fs::resize_file(torn, size);
        BOOST_TEST(openJournal(torn).journal.has_value(), "size " << size);
        BOOST_TEST(openJournal(torn).journal.has_value(), "size " << size);
    }
}

BOOST_FIXTURE_TEST_CASE(second_open_of_a_journal_fails_as_locked, TemporaryFolder)
{
    const OpenedJournal first = openJournal(path / "journal");
    const OpenedJournal second = openJournal(path / "journal");
    BOOST_TEST_REQUIRE(!second.journal.has_value());
    BOOST_TEST((second.journal.error().code == StoreError::Locked));
}
