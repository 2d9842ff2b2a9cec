#ifndef BRIARFIELD_TEST_SUPPORT_TEMPORARY_DIRECTORY_HPP
#define BRIARFIELD_TEST_SUPPORT_TEMPORARY_DIRECTORY_HPP

#include <cppunit/TestAssert.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

/// A new directory, which the destructor removes with its content.
class temporary_directory
{
public:
    temporary_directory()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "briarfield-XXXXXX")
                .string();
        CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
        path_ = pattern;
    }
    ~temporary_directory()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    std::string path() const { return path_.string(); }

    /// Writes a file with mode 0600; returns its path.
    std::string write(const std::string& name, const std::string& text) const
    {
        const std::filesystem::path file = path_ / name;
        std::ofstream(file, std::ios::binary) << text;
        set_mode(name, 0600);
        return file.string();
    }

    void set_mode(const std::string& name, unsigned mode) const
    {
        std::filesystem::permissions(path_ / name,
                                     std::filesystem::perms(mode));
    }

private:
    std::filesystem::path path_;
};

/// Content of a file in the source tree.
inline std::string read_source_file(const std::string& name)
{
    const std::ifstream in(std::string(BRIARFIELD_SOURCE_DIR "/") + name,
                           std::ios::binary);
    CPPUNIT_ASSERT_MESSAGE(name, in.good());
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

#endif
