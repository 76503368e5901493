#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>

#include "log/FileDisk.h"

namespace hickoryknot {

class FileDiskTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FileDiskTest);
    CPPUNIT_TEST(keepsFiles);
    CPPUNIT_TEST(refusesSecondUser);
    CPPUNIT_TEST_SUITE_END();

    const std::string m_folder = std::string(BINARY_FOLDER) + "/tests/file-disk-test/nested";

public:
    void setUp() override { std::filesystem::remove_all(m_folder); }
    void tearDown() override { std::filesystem::remove_all(m_folder); }

private:
    // Guards against appends after a rename or truncation going to the wrong file or place.
    void keepsFiles()
    {
        {
            auto disk = std::move(*FileDisk::open(m_folder));
            CPPUNIT_ASSERT(disk->append("one", "first"));
            CPPUNIT_ASSERT(disk->append("one", " second"));
            CPPUNIT_ASSERT(disk->sync("one"));
            CPPUNIT_ASSERT(disk->truncate("one", 5));
            CPPUNIT_ASSERT(disk->append("one", "!"));
            CPPUNIT_ASSERT(disk->rename("one", "two"));
            CPPUNIT_ASSERT(disk->append("one", "other"));
            CPPUNIT_ASSERT(disk->syncFolder());
        }
        auto disk = std::move(*FileDisk::open(m_folder));
        CPPUNIT_ASSERT_EQUAL(std::string("first!"), *disk->read("two"));
        CPPUNIT_ASSERT_EQUAL(std::string("other"), *disk->read("one"));
        CPPUNIT_ASSERT(disk->remove("one"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), disk->list()->size());
        CPPUNIT_ASSERT(disk->read("one").error().code == ErrorCode::NotFound);
    }

    // Guards against two processes writing to one folder.
    void refusesSecondUser()
    {
        const auto first = FileDisk::open(m_folder);
        const auto second = FileDisk::open(m_folder);
        CPPUNIT_ASSERT(first.has_value());
        CPPUNIT_ASSERT(!second && second.error().code == ErrorCode::Storage);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FileDiskTest);

} // namespace hickoryknot
