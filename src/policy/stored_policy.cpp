#include "ibiswell/policy/stored_policy.h"

#include "ibiswell/policy/object_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace ibiswell {

namespace json = boost::json;

bool StoredPolicy::hasChange(std::string_view id) const
{
    return std::find(changes.begin(), changes.end(), id) != changes.end();
}

void StoredPolicy::addChange(std::string id)
{
    changes.push_back(std::move(id));
    if (changes.size() > maximumChanges)
        changes.erase(changes.begin());
}

std::string serializeStoredPolicy(const StoredPolicy &stored)
{
    json::object root;
    json::array changes;
    for (const std::string &id : stored.changes)
        changes.emplace_back(id);
    root["changes"] = std::move(changes);
    root["policy"] = json::parse(serializePolicyDocument(stored.document));
    return json::serialize(root);
}

std::optional<StoredPolicy> parseStoredPolicy(std::string_view text, std::uint64_t version,
                                              Error &error)
{
    auto value = parseJson(text, ErrorKind::InvalidPolicy, error);
    if (!value)
        return std::nullopt;
    const json::object *root = value->if_object();
    const json::value *policy = root ? root->if_contains("policy") : nullptr;
    if (!policy) {
        error = {ErrorKind::InvalidPolicy, "policy: is required"};
        return std::nullopt;
    }
    std::optional<PolicyDocument> document = parsePolicyDocument(json::serialize(*policy), error);
    if (!document)
        return std::nullopt;
    StoredPolicy stored {std::move(*document), {}};
    stored.document.version = version;
    const json::value *changes = root->if_contains("changes");
    if (changes && changes->is_array()) {
        for (const json::value &id : changes->as_array()) {
            if (id.is_string())
                stored.changes.emplace_back(id.as_string());
        }
    }
    return stored;
}

} // namespace ibiswell
