// Builds a document from the events of yaml-cpp's parser.

#include "settings/internal/yamldocument.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace rosemaryhinge::detail {

namespace {

/// A settings tree needs 9 levels with groups in groups; the bound protects the parser's callers from
/// recursion.
constexpr std::size_t MaxDepth = 64;

class Builder : public YAML::EventHandler {
public:
  Builder(std::string_view file, Diagnostics &findings) : File(file), Found(findings) {}

  void OnDocumentStart(const YAML::Mark & /*mark*/) override {} // NOLINT(readability-identifier-naming)
  void OnDocumentEnd() override {}                              // NOLINT(readability-identifier-naming)

  // NOLINTNEXTLINE(readability-identifier-naming)
  void OnNull(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override {
    add(node(mark, YamlNode::Type::Null));
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void OnAlias(const YAML::Mark &mark, YAML::anchor_t anchor) override {
    bool cycle = std::any_of(Open.begin(), Open.end(), [&](const auto &it) { return it.Anchor == anchor; });
    report(mark, cycle ? "cycle: the alias refers to a node that encloses it"
                       : "aliases are not supported; write the value out");
    add(node(mark, YamlNode::Type::Null));
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void OnScalar(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                const std::string &value) override {
    auto it = node(mark, YamlNode::Type::Scalar);
    it.Text = value;
    add(std::move(it));
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void OnSequenceStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    open(node(mark, YamlNode::Type::Sequence), anchor);
  }
  void OnSequenceEnd() override { close(); } // NOLINT(readability-identifier-naming)

  // NOLINTNEXTLINE(readability-identifier-naming)
  void OnMapStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    open(node(mark, YamlNode::Type::Map), anchor);
  }
  void OnMapEnd() override { close(); } // NOLINT(readability-identifier-naming)

  YamlNode Root;

private:
  struct Level {
    YamlNode Node;
    YAML::anchor_t Anchor = 0;
    bool HasKey = false;
    YamlNode Key;
    std::set<std::string> Seen;
  };

  static YamlNode node(const YAML::Mark &mark, YamlNode::Type type) {
    YamlNode out;
    out.Kind = type;
    out.Line = mark.line + 1;
    out.Column = mark.column + 1;
    return out;
  }

  void report(const YAML::Mark &mark, std::string message) {
    Found.push_back({File, mark.line + 1, mark.column + 1, std::move(message)});
  }

  void open(YamlNode it, YAML::anchor_t anchor) {
    if (Open.size() >= MaxDepth)
      throw YAML::ParserException(YAML::Mark::null_mark(), "nested too deeply");
    Open.push_back({std::move(it), anchor, false, {}, {}});
  }

  void close() {
    auto it = std::move(Open.back().Node);
    Open.pop_back();
    add(std::move(it));
  }

  void add(YamlNode it) {
    if (Open.empty()) {
      Root = std::move(it);
      return;
    }
    auto &level = Open.back();
    if (level.Node.Kind == YamlNode::Type::Sequence) {
      level.Node.Items.push_back(std::move(it));
    } else if (!level.HasKey) {
      if (it.Kind != YamlNode::Type::Scalar)
        Found.push_back({File, it.Line, it.Column, "a key must be plain text"});
      else if (!level.Seen.insert(it.Text).second)
        Found.push_back({File, it.Line, it.Column, "duplicate key '" + it.Text + "'"});
      level.Key = std::move(it);
      level.HasKey = true;
    } else {
      level.Node.Keys.push_back(std::move(level.Key));
      level.Node.Items.push_back(std::move(it));
      level.HasKey = false;
    }
  }

  std::string File;
  Diagnostics &Found;
  std::vector<Level> Open;
};

} // namespace

YamlNode parseYaml(std::string_view file, std::string_view text, Diagnostics &findings) {
  Builder builder(file, findings);
  try {
    std::istringstream in{std::string(text)};
    YAML::Parser parser(in);
    if (!parser.HandleNextDocument(builder))
      return {};
    Diagnostics ignored;
    if (Builder second(file, ignored); parser.HandleNextDocument(second))
      findings.push_back({std::string(file), second.Root.Line, second.Root.Column,
                          "a second document; the tree must be one document"});
  } catch (const YAML::Exception &e) {
    findings.push_back({std::string(file), e.mark.line + 1, e.mark.column + 1, "not valid YAML: " + e.msg});
  }
  return std::move(builder.Root);
}

} // namespace rosemaryhinge::detail
