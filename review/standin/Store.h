/** \file
 * Defines a stand-in for the platform's store: objects by kind and name, conditional writes, lists and watches. It is linearizable and loses nothing.
 */
#pragma once

#include "Http.h"
#include "Record.h"

#include <boost/json.hpp>
#include <map>
#include <vector>

namespace Review {

namespace json = boost::json;

class Store
{
public:
    explicit Store(asio::io_context &context)
        : server_(context, [this](HttpRequest request) { return answer(std::move(request)); })
    {
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return server_.port();
    }

    /** Creates or replaces an object, as the operator or a member does. A write that changes nothing has no effect. */
    void put(const std::string &kind, const std::string &name, const json::value &spec)
    {
        Object &object = kinds_[kind][name];
        if (object.revision_ != 0 && object.spec_ == spec) {
            return;
        }
        object.spec_ = spec;
        object.revision_ = ++revision_;
        history_.push_back({revision_, kind, name, false});
    }

    void remove(const std::string &kind, const std::string &name)
    {
        if (kinds_[kind].erase(name) > 0) {
            history_.push_back({++revision_, kind, name, true});
        }
    }

    /** The spec of an object; null if there is none. */
    [[nodiscard]] json::value get(const std::string &kind, const std::string &name) const
    {
        const auto objects = kinds_.find(kind);
        if (objects == kinds_.end()) {
            return nullptr;
        }
        const auto object = objects->second.find(name);
        return object == objects->second.end() ? json::value(nullptr) : object->second.spec_;
    }

    /** Text of an entry that another writer left in a kind; it is listed as it is. */
    std::map<std::string, std::string> foreignEntries_;
    /** Called after each successful write of a VM. */
    std::function<void(const std::string &kind, const std::string &name, const json::value &spec)> onWritten_;

private:
    struct Object
    {
        std::uint64_t revision_ = 0;
        json::value spec_;
    };
    struct Change
    {
        std::uint64_t revision_ = 0;
        std::string kind_;
        std::string name_;
        bool deleted_ = false;
    };

    static json::value describe(const std::string &name, const Object &object)
    {
        const json::object meta{{"name", name}, {"revision", object.revision_}, {"created", 1}, {"finalizers", json::array()}, {"deleting", false}};
        return json::object{{"meta", meta}, {"spec", object.spec_}, {"status", nullptr}};
    }

    static std::uint64_t queryNumber(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=");
        return at == std::string::npos ? 0 : std::stoull(target.substr(at + name.size() + 1));
    }

    HttpResponse list(const std::string &kind)
    {
        std::string items;
        for (const auto &[name, object] : kinds_[kind]) {
            items += (items.empty() ? "" : ",") + json::serialize(describe(name, object));
        }
        if (const auto foreign = foreignEntries_.find(kind); foreign != foreignEntries_.end()) {
            items += (items.empty() ? "" : ",") + foreign->second;
        }
        return {200, R"({"items":[)" + items + R"(],"has_more":false,"store_revision":)" + std::to_string(revision_) + "}"};
    }

    std::string eventsSince(const std::string &kind, std::uint64_t since)
    {
        json::array events;
        for (const Change &change : history_) {
            if (change.revision_ > since && change.kind_ == kind) {
                const Object object = change.deleted_ ? Object{change.revision_, nullptr} : kinds_[kind][change.name_];
                events.push_back(json::object{{"deleted", change.deleted_}, {"object", describe(change.name_, object)}});
            }
        }
        return events.empty() ? std::string() : json::serialize(json::object{{"events", events}, {"store_revision", revision_}});
    }

    awaitable<HttpResponse> watch(std::string kind, std::uint64_t since, milliseconds wait)
    {
        const auto end = std::chrono::steady_clock::now() + wait;
        for (;;) {
            if (std::string events = eventsSince(kind, since); !events.empty()) {
                co_return HttpResponse{200, std::move(events)};
            }
            if (std::chrono::steady_clock::now() >= end) {
                co_return HttpResponse{200, json::serialize(json::object{{"events", json::array()}, {"store_revision", revision_}})};
            }
            co_await pause(milliseconds(5));
        }
    }

    HttpResponse write(const std::string &kind, std::string name, const HttpRequest &request)
    {
        const json::value body = json::parse(request.body_);
        const json::object &meta = body.at("meta").as_object();
        if (request.method_ == "POST") {
            name = std::string(meta.at("name").as_string());
        }
        const auto found = kinds_[kind].find(name);
        const bool exists = found != kinds_[kind].end();
        if (!exists && request.method_ == "PUT") {
            return {404, {}};
        }
        const std::uint64_t condition = meta.contains("revision") ? meta.at("revision").to_number<std::uint64_t>() : 0;
        if (exists && (request.method_ == "POST" || (condition != 0 && condition != found->second.revision_))) {
            return {409, json::serialize(describe(name, found->second))};
        }
        put(kind, name, body.at("spec"));
        if (onWritten_) {
            onWritten_(kind, name, body.at("spec"));
        }
        return {200, json::serialize(describe(name, kinds_[kind][name]))};
    }

    awaitable<HttpResponse> answer(HttpRequest request)
    {
        co_await pause(milliseconds(4));
        const std::string prefix = "/-/objects/";
        const std::string path = request.target_.substr(0, request.target_.find('?'));
        if (!path.starts_with(prefix)) {
            co_return HttpResponse{404, {}};
        }
        const std::string rest = path.substr(prefix.size());
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
        if (request.method_ != "GET") {
            co_return write(kind, name, request);
        }
        if (!name.empty()) {
            const auto found = kinds_[kind].find(name);
            co_return found == kinds_[kind].end() ? HttpResponse{404, {}} : HttpResponse{200, json::serialize(describe(name, found->second))};
        }
        if (const std::uint64_t since = queryNumber(request.target_, "watch"); since != 0) {
            co_return co_await watch(kind, since, milliseconds(queryNumber(request.target_, "wait_ms")));
        }
        co_return list(kind);
    }

    std::map<std::string, std::map<std::string, Object>> kinds_;
    std::vector<Change> history_;
    std::uint64_t revision_ = 1;
    HttpServer server_;
};

} // namespace Review
