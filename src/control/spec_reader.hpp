#ifndef BRIARFIELD_SRC_CONTROL_SPEC_READER_HPP
#define BRIARFIELD_SRC_CONTROL_SPEC_READER_HPP

#include "briarfield/core/error.hpp"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace briarfield
{

/// Reads the fields of a JSON object, rejects unknown ones, and records the
/// first error with the path of its field.
class spec_reader
{
public:
    spec_reader(const nlohmann::json& object, std::string path)
        : object_(&object), path_(std::move(path))
    {
        if (!object.is_object())
            reject("", "expected an object");
    }

    std::string text(const char* name, const std::string& default_value)
    {
        const nlohmann::json* member = find(name);
        if (member == nullptr)
            return default_value;
        if (member->is_string())
            return member->get<std::string>();
        reject(name, "expected a string");
        return default_value;
    }

    double number(const char* name,
                  double default_value,
                  double min_value,
                  double max_value)
    {
        const nlohmann::json* member = find(name);
        if (member == nullptr)
            return default_value;
        const bool in_range = member->is_number() &&
                              member->get<double>() >= min_value &&
                              member->get<double>() <= max_value;
        if (in_range)
            return member->get<double>();
        reject(name, "expected a number from " + to_text(min_value) + " to " +
                         to_text(max_value));
        return default_value;
    }

    std::uint64_t unsigned_integer(const char* name,
                                   std::uint64_t default_value,
                                   std::uint64_t min_value,
                                   std::uint64_t max_value)
    {
        const nlohmann::json* member = find(name);
        if (member == nullptr)
            return default_value;
        const bool non_negative =
            member->is_number_unsigned() ||
            (member->is_number_integer() && member->get<std::int64_t>() >= 0);
        const bool in_range = non_negative &&
                              member->get<std::uint64_t>() >= min_value &&
                              member->get<std::uint64_t>() <= max_value;
        if (in_range)
            return member->get<std::uint64_t>();
        reject(name, "expected an integer from " + std::to_string(min_value) +
                         " to " + std::to_string(max_value));
        return default_value;
    }

    std::vector<std::string> texts(const char* name)
    {
        std::vector<std::string> out;
        for (const nlohmann::json& member : items(name))
            if (member.is_string())
                out.push_back(member.get<std::string>());
            else
                reject(name, "expected a list of strings");
        return out;
    }

    /// Elements of the list \a name; empty if absent.
    std::vector<nlohmann::json> items(const char* name)
    {
        const nlohmann::json* member = find(name);
        if (member == nullptr)
            return {};
        if (member->is_array())
            return member->get<std::vector<nlohmann::json>>();
        reject(name, "expected a list");
        return {};
    }

    /// Records an error if the field is absent.
    void require(const char* name)
    {
        if (find(name) == nullptr)
            reject(name, "is required");
    }

    /// Records that the value of the field is invalid.
    void reject(const std::string& name, const std::string& why)
    {
        record_error({errc::object_invalid, path_of(name) + ": " + why});
    }

    /// Records an error, such as one of a nested reader, unless there is one.
    void record_error(const error& e)
    {
        if (ok_)
            first_error_ = e;
        ok_ = false;
    }

    /// Returns the first error. Fields that were not read are unknown fields.
    result<void> finish()
    {
        if (ok_)
            for (const auto& [name, value] : object_->items())
                if (read_fields_.count(name) == 0)
                    return fail(errc::object_unknown_field, path_of(name));
        if (ok_)
            return ok();
        return first_error_;
    }

    std::string path_of(const std::string& name) const
    {
        return name.empty() ? path_ : path_ + "." + name;
    }

private:
    const nlohmann::json* find(const char* name)
    {
        read_fields_.insert(name);
        if (!object_->is_object())
            return nullptr;
        const auto found = object_->find(name);
        return found == object_->end() ? nullptr : &*found;
    }

    static std::string to_text(double v) { return nlohmann::json(v).dump(); }

    const nlohmann::json* object_;
    std::string path_;
    std::set<std::string> read_fields_;
    error first_error_;
    bool ok_ = true;
};

} // namespace briarfield

#endif
