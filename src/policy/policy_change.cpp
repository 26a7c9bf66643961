#include "ibiswell/policy/policy_change.h"

#include <fmt/format.h>

#include <set>

namespace ibiswell {

namespace {

std::string sectionOf(const std::string &entry)
{
    return entry.substr(0, entry.find('/'));
}

std::set<std::string> sectionsOf(const PolicyDocument &document)
{
    std::set<std::string> sections;
    for (const auto &[entry, text] : document.entries)
        sections.insert(sectionOf(entry));
    return sections;
}

struct ChangeApplier
{
    PolicyDocument &document;
    Error &error;

    bool operator()(const ReplaceSections &change) const
    {
        std::set<std::string> sections = sectionsOf(change.document);
        std::erase_if(document.entries,
                      [&](const auto &item) { return sections.contains(sectionOf(item.first)); });
        for (const auto &[entry, text] : change.document.entries)
            document.entries[entry] = text;
        return true;
    }
    bool operator()(const SetEntry &change) const
    {
        document.entries[change.entry] = change.json;
        return true;
    }
    bool operator()(const RemoveEntry &change) const
    {
        if (document.entries.erase(change.entry) > 0)
            return true;
        error = {ErrorKind::InvalidPolicy, fmt::format("{}: no such entry", change.entry)};
        return false;
    }
};

/** Checks whether a change overwrites or removes an entry. */
struct OverwriteChecker
{
    const std::string &entry;

    bool operator()(const ReplaceSections &change) const
    {
        return sectionsOf(change.document).contains(sectionOf(entry));
    }
    bool operator()(const SetEntry &change) const { return change.entry == entry; }
    bool operator()(const RemoveEntry &change) const { return change.entry == entry; }
};

} // namespace

bool applyChange(PolicyDocument &document, const PolicyChange &change, Error &error)
{
    PolicyDocument next = document;
    if (!std::visit(ChangeApplier {next, error}, change) || !compilePolicy(next, error))
        return false;
    document = std::move(next);
    return true;
}

bool isIndependent(const PolicyChange &change, const PolicyDocument &before,
                   const PolicyDocument &now)
{
    for (const PolicyEdit &edit : computeDelta(before, now).edits) {
        if (std::visit(OverwriteChecker {edit.entry}, change))
            return false;
    }
    return true;
}

} // namespace ibiswell
