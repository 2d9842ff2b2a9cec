#include "ctl.hpp"

#include "exit_code.hpp"

#include "briarfield/control/confirmed_write.hpp"
#include "briarfield/control/http_object_store.hpp"
#include "briarfield/control/object_json.hpp"
#include "briarfield/control/resources.hpp"

#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

namespace briarfield::app
{

namespace
{

using json = nlohmann::json;
using argument_list = std::vector<std::string>;

constexpr const char* examples =
    "\nExamples:\n"
    "  briarfield ctl validate -f services.json\n"
    "  briarfield ctl apply --store 192.0.2.1:443 --tls -f services.json\n"
    "  briarfield ctl get services --store 192.0.2.1:443\n"
    "  briarfield ctl get services himal/datum-live -o json --store ...\n"
    "  briarfield ctl diff -f services.json --store ...\n"
    "  briarfield ctl watch services --store ...\n"
    "  briarfield ctl delete services himal/grid-depot --store ...\n"
    "  briarfield ctl schema services\n";

cxxopts::Options make_options()
{
    cxxopts::Options options("briarfield ctl",
                             "Reads and writes the operators' objects.");
    auto add = options.add_options();
    add("h,help", "Show this help");
    add("f,file", "File of objects, or - for standard input; may be repeated",
        cxxopts::value<argument_list>(), "FILE");
    add("o,output", "table or json",
        cxxopts::value<std::string>()->default_value("table"), "FORM");
    add("store", "Address and port of the object API",
        cxxopts::value<std::string>(), "ADDRESS:PORT");
    add("tls", "Connect by TLS");
    add("ca", "Certificates to trust, PEM",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    add("cert", "Client certificate, PEM",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    add("key", "Key of the client certificate, PEM",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    add("server-name", "Name in the server's certificate",
        cxxopts::value<std::string>()->default_value(""), "NAME");
    add("words", "", cxxopts::value<argument_list>());
    options.parse_positional({"words"});
    options.positional_help("apply|get|watch|delete|diff|validate|schema "
                            "[KIND [TEAM/NAME]]");
    return options;
}

/// Prints an error and returns the exit code for it.
int report(const error& e, const std::string& subject = {})
{
    std::cerr << "briarfield ctl: " << (subject.empty() ? "" : subject + ": ")
              << e.message() << "\n";
    if (e.code == errc::store_conflict)
        std::cerr << "  The object was changed in the meantime. Read it with "
                     "'ctl get', compare with 'ctl diff', and apply again.\n";
    if (e.code == errc::usage)
        std::cerr << "Try 'briarfield ctl --help'.\n";
    const bool wrong_input = e.code == errc::usage ||
                             e.code == errc::object_invalid ||
                             e.code == errc::object_unknown_field;
    return wrong_input ? exit_usage : exit_failed;
}

result<std::string> read_file(const std::string& name)
{
    std::ostringstream text;
    if (name == "-")
    {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream in(name);
    if (!in)
        return fail(errc::file_unreadable, name);
    text << in.rdbuf();
    return text.str();
}

result<std::vector<stored_object>> read_manifests(const argument_list& files)
{
    if (files.empty())
        return fail(errc::usage, "--file is needed");
    std::vector<stored_object> all;
    for (const std::string& file : files)
    {
        auto text = read_file(file);
        if (!text)
            return fail(text.error().code, text.error().detail);
        auto objects = parse_manifest(text.value(), file);
        if (!objects)
            return fail(objects.error().code, objects.error().detail);
        all.insert(all.end(), objects.value().begin(), objects.value().end());
    }
    return all;
}

result<object_kind> kind_of(const std::string& word)
{
    if (const auto kind = object_kind_of_plural(word))
        return *kind;
    return fail(errc::usage, "unknown kind '" + word +
                                 "', expected teams, services, backendpools "
                                 "or leases");
}

/// "TEAM/NAME", or "NAME" for a Team.
object_key key_of(object_kind kind, const std::string& word)
{
    const auto slash = word.find('/');
    if (slash == std::string::npos)
        return {kind, {}, word};
    return {kind, word.substr(0, slash), word.substr(slash + 1)};
}

/// A connection to the object API that runs one call at a time.
class session
{
public:
    static result<std::unique_ptr<session>>
    open(const cxxopts::ParseResult& parsed)
    {
        if (parsed.count("store") == 0)
            return fail(errc::usage, "--store is needed");
        auto address = endpoint::parse(parsed["store"].as<std::string>());
        if (!address)
            return fail(errc::usage, "--store: " + address.error().detail);
        http_client::options opts;
        opts.host = address.value().address.to_string();
        opts.port = address.value().port;
        opts.tls = parsed.count("tls") != 0;
        opts.ca_file = parsed["ca"].as<std::string>();
        opts.certificate_file = parsed["cert"].as<std::string>();
        opts.key_file = parsed["key"].as<std::string>();
        opts.server_name = parsed["server-name"].as<std::string>();
        std::unique_ptr<session> s(new session);
        auto loop = event_loop::create(s->clock_);
        if (!loop)
            return fail(loop.error().code, loop.error().detail);
        s->loop_ = std::move(loop.value());
        s->store_ = std::make_unique<http_object_store>(*s->loop_, opts);
        return s;
    }

    object_store& store() { return *store_; }
    event_loop& loop() { return *loop_; }

    /// Starts a call and runs the loop until its result arrives.
    template <class T>
    result<T> wait(const std::function<void(object_store::handler<T>)>& start)
    {
        std::optional<result<T>> answer;
        start([&answer](result<T> outcome) { answer = std::move(outcome); });
        while (!answer)
            loop_->run_once();
        return std::move(*answer);
    }

    result<stored_object> get(const object_key& key)
    {
        return wait<stored_object>([&](auto done)
                                   { store_->get(key, std::move(done)); });
    }

    result<stored_object> write(write_kind kind, const stored_object& object)
    {
        return wait<stored_object>(
            [&](auto done)
            { write_confirmed(context(), kind, object, std::move(done)); });
    }

    result<void> remove(const stored_object& object)
    {
        return wait<void>([&](auto done)
                          { remove_confirmed(context(), object, done); });
    }

private:
    session() = default;

    write_context context()
    {
        write_context c;
        c.store = store_.get();
        c.timers = &loop_->timers();
        c.random = &random_;
        return c;
    }

    steady_clock clock_;
    random_source random_{std::random_device()()};
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<http_object_store> store_;
};

/// Creates or updates one object if needed.
///
/// \returns "created", "changed" or "unchanged".
result<std::string> apply_one(session& s, const stored_object& wanted)
{
    auto present = s.get(wanted.key);
    if (!present && present.error().code == errc::store_not_found)
    {
        auto created = s.write(write_kind::create, wanted);
        if (!created)
            return fail(created.error().code, created.error().detail);
        return std::string("created");
    }
    if (!present)
        return fail(present.error().code, present.error().detail);
    const stored_object& old = present.value();
    const bool has_version = wanted.version != 0;
    if (has_version && wanted.version != old.version)
        return fail(errc::store_conflict,
                    "the file has version " + std::to_string(wanted.version) +
                        ", the store has " + std::to_string(old.version));
    if (old.spec == wanted.spec)
        return std::string("unchanged");
    stored_object changed = old;
    changed.spec = wanted.spec;
    auto written = s.write(write_kind::update, changed);
    if (!written)
        return fail(written.error().code, written.error().detail);
    return std::string("changed");
}

int run_apply(session& s, const std::vector<stored_object>& objects)
{
    int code = exit_ok;
    for (const stored_object& object : objects)
    {
        auto outcome = apply_one(s, object);
        if (outcome)
            std::cout << object.key.to_string() << " " << outcome.value()
                      << "\n";
        else
            code = report(outcome.error(), object.key.to_string());
    }
    return code;
}

int run_diff(session& s, const std::vector<stored_object>& objects)
{
    int code = exit_ok;
    for (const stored_object& object : objects)
    {
        auto present = s.get(object.key);
        const bool absent =
            !present && present.error().code == errc::store_not_found;
        if (!present && !absent)
            return report(present.error(), object.key.to_string());
        const json before = absent ? json::object() : present.value().spec;
        const std::string text = spec_difference(before, object.spec);
        if (text.empty())
            continue;
        std::cout << object.key.to_string() << (absent ? " (absent)" : "")
                  << "\n"
                  << text;
        code = exit_failed;
    }
    return code;
}

int run_get(session& s,
            object_kind kind,
            const argument_list& words,
            const std::string& form)
{
    std::vector<stored_object> objects;
    if (words.size() > 2)
    {
        auto one = s.get(key_of(kind, words[2]));
        if (!one)
            return report(one.error(), words[2]);
        objects.push_back(std::move(one.value()));
    }
    else
    {
        auto all = s.wait<object_list>(
            [&](auto done) { s.store().list(kind, std::move(done)); });
        if (!all)
            return report(all.error());
        objects = std::move(all.value().items);
    }
    if (form == "table")
    {
        print_table(objects, std::cout);
        return exit_ok;
    }
    json out = json::array();
    for (const stored_object& object : objects)
        out.push_back(object_to_json(object));
    std::cout << (words.size() > 2 ? out[0] : out).dump(2) << "\n";
    return exit_ok;
}

int run_delete(session& s, object_kind kind, const argument_list& words)
{
    if (words.size() < 3)
        return report({errc::usage, "delete needs KIND TEAM/NAME"});
    auto present = s.get(key_of(kind, words[2]));
    if (!present)
        return report(present.error(), words[2]);
    auto removed = s.remove(present.value());
    if (!removed)
        return report(removed.error(), words[2]);
    std::cout << present.value().key.to_string() << " deleted\n";
    return exit_ok;
}

int run_watch(session& s, object_kind kind)
{
    constexpr const char* names[] = {"added", "modified", "deleted"};
    auto all = s.wait<object_list>([&](auto done)
                                   { s.store().list(kind, std::move(done)); });
    if (!all)
        return report(all.error());
    std::optional<error> end_reason;
    const auto watch = s.store().start_watch(
        kind, all.value().version,
        [&](const watch_event& event)
        {
            if (event.type == watch_event_type::bookmark)
                return;
            std::cout << names[static_cast<std::size_t>(event.type)] << " "
                      << event.object.key.to_string() << " version "
                      << event.object.version << std::endl;
        },
        [&](const error& reason) { end_reason = reason; });
    while (!end_reason)
        s.loop().run_once();
    return report(*end_reason);
}

int run_schema(const argument_list& words)
{
    if (words.size() < 2)
        return report({errc::usage, "schema needs KIND"});
    auto kind = kind_of(words[1]);
    if (!kind)
        return report(kind.error());
    std::cout << object_schema(kind.value()).dump(2) << "\n";
    return exit_ok;
}

/// Runs a verb that reads objects from files.
int run_on_files(const std::string& verb, const cxxopts::ParseResult& parsed)
{
    const argument_list files = parsed.count("file") != 0
                                    ? parsed["file"].as<argument_list>()
                                    : argument_list();
    auto objects = read_manifests(files);
    if (!objects)
        return report(objects.error());
    if (verb == "validate")
    {
        std::cout << objects.value().size() << " objects are valid\n";
        return exit_ok;
    }
    auto s = session::open(parsed);
    if (!s)
        return report(s.error());
    return verb == "apply" ? run_apply(*s.value(), objects.value())
                           : run_diff(*s.value(), objects.value());
}

/// Runs a verb on a kind of object in the store.
int run_on_kind(const argument_list& words, const cxxopts::ParseResult& parsed)
{
    const std::string& verb = words[0];
    if (words.size() < 2)
        return report({errc::usage, verb + " needs KIND"});
    auto kind = kind_of(words[1]);
    if (!kind)
        return report(kind.error());
    const auto form = parsed["output"].as<std::string>();
    if (form != "table" && form != "json")
        return report({errc::usage, "--output: found '" + form +
                                        "', expected table or json"});
    auto s = session::open(parsed);
    if (!s)
        return report(s.error());
    if (verb == "get")
        return run_get(*s.value(), kind.value(), words, form);
    if (verb == "watch")
        return run_watch(*s.value(), kind.value());
    return run_delete(*s.value(), kind.value(), words);
}

int run_verb(const argument_list& words, const cxxopts::ParseResult& parsed)
{
    const std::string& verb = words[0];
    if (verb == "apply" || verb == "diff" || verb == "validate")
        return run_on_files(verb, parsed);
    if (verb == "get" || verb == "watch" || verb == "delete")
        return run_on_kind(words, parsed);
    if (verb == "schema")
        return run_schema(words);
    return report({errc::usage, "unknown verb '" + verb + "'"});
}

} // namespace

result<std::vector<stored_object>> parse_manifest(const std::string& text,
                                                  const std::string& origin)
{
    const json parsed = json::parse(text, nullptr, false);
    if (parsed.is_discarded())
        return fail(errc::object_invalid, origin + ": not JSON");
    const json list = parsed.is_array() ? parsed : json::array({parsed});
    std::vector<stored_object> objects;
    for (std::size_t i = 0; i < list.size(); ++i)
    {
        const std::string location =
            origin + ": object " + std::to_string(i + 1);
        auto object = object_from_json(list[i]);
        if (!object)
            return fail(object.error().code,
                        location + ": " + object.error().detail);
        auto valid = validate_object(object.value());
        if (!valid)
            return fail(valid.error().code, location + ": " +
                                                object.value().key.to_string() +
                                                ": " + valid.error().detail);
        objects.push_back(std::move(object.value()));
    }
    return objects;
}

std::string spec_difference(const json& before, const json& after)
{
    std::string text;
    const auto line =
        [&text](const char* sign, const std::string& name, const json& spec)
    {
        if (spec.contains(name))
            text += std::string("  ") + sign + " " + name + ": " +
                    spec[name].dump() + "\n";
    };
    json names = before;
    names.update(after);
    for (const auto& item : names.items())
    {
        const std::string& name = item.key();
        const bool same = before.contains(name) && after.contains(name) &&
                          before[name] == after[name];
        if (same)
            continue;
        line("-", name, before);
        line("+", name, after);
    }
    return text;
}

void print_table(const std::vector<stored_object>& objects, std::ostream& out)
{
    constexpr int team_width = 16;
    constexpr int name_width = 24;
    constexpr int number_width = 12;
    out << std::left << std::setw(team_width) << "TEAM" << std::setw(name_width)
        << "NAME" << std::setw(number_width) << "VERSION"
        << "GENERATION\n";
    for (const stored_object& object : objects)
        out << std::setw(team_width) << object.key.team << std::setw(name_width)
            << object.key.name << std::setw(number_width) << object.version
            << object.generation << "\n";
}

int run_ctl(const std::vector<std::string>& words)
{
    cxxopts::Options options = make_options();
    std::vector<const char*> argv = {"ctl"};
    for (const std::string& word : words)
        argv.push_back(word.c_str());
    try
    {
        const auto parsed =
            options.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") != 0)
        {
            std::cout << options.help() << examples;
            return exit_ok;
        }
        if (parsed.count("words") == 0)
            return report({errc::usage, "a verb is needed"});
        return run_verb(parsed["words"].as<argument_list>(), parsed);
    }
    catch (const cxxopts::exceptions::exception&)
    {
        return report({errc::usage, "unknown option, or one without a value"});
    }
}

} // namespace briarfield::app
