// Reading the settings of an installation: the values, and the problems, each reported with file, line,
// element and the expected value.
#include "installation/installation.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <filesystem>
#include <fstream>

namespace heathflow::installation {
namespace {

std::string file(const std::string& body) {
  return "<heathflow xmlns=\"urn:heathflow:settings:1\" version=\"1\">\n" + body + "\n</heathflow>\n";
}
const std::string kListener =
    "<listeners><listener name=\"graph\" address=\"127.0.0.1:7687\" protocol=\"bolt\"/></listeners>";

std::string problemsOf(const std::string& text) {
  std::vector<Problem> problems;
  const auto read = parse("site.xml", text, problems);
  EXPECT_EQ(read.has_value(), problems.empty());
  std::string out;
  for (const Problem& problem : problems) out += toText(problem) + "\n";
  return out;
}

TEST(InstallationSettings, AreReadInFull) {
  std::vector<Problem> problems;
  const auto read = parse("site.xml", file(R"(
    <node file="/run/node.json"/>
    <log form="json" level="warning" lines-per-second="50"/>
    <listeners>
      <listener name="graph" address="10.0.0.4:7687" protocol="bolt" advertise="graph.example:7687" agent="me/1">
        <defaults read-class="status" write-class="save" family="terms"/>
      </listener>
      <listener name="rows" address="127.0.0.1:0" protocol="postgresql"/>
    </listeners>
    <families>
      <family name="terms" cluster="3">
        <protocol name="postgresql" listed="true"/>
        <protocol name="bolt" port="7687"/>
      </family>
    </families>
    <members><bolt-login principal="driver" credentials-file="/run/secret"/></members>)"),
                          problems);
  ASSERT_TRUE(read) << toText(problems.at(0));
  EXPECT_EQ(read->nodeFile, "/run/node.json");
  EXPECT_EQ(read->log.form, LogForm::Json);
  EXPECT_EQ(read->log.level, LogLevel::Warning);
  EXPECT_EQ(read->log.linesPerSecond, 50U);
  ASSERT_EQ(read->listeners.size(), 2U);
  EXPECT_EQ(transport::toText(read->listeners[0].address), "10.0.0.4:7687");
  EXPECT_EQ(read->listeners[0].advertise, "graph.example:7687");
  EXPECT_EQ(read->listeners[0].agent, "me/1");
  EXPECT_EQ(read->listeners[0].readClass, "status");
  EXPECT_EQ(read->listeners[0].writeClass, "save");
  ASSERT_EQ(read->families.size(), 1U);
  EXPECT_EQ(read->families[0].cluster, 3U);
  EXPECT_TRUE(read->families[0].supports("bolt"));
  EXPECT_TRUE(read->families[0].protocols[0].listed);
  EXPECT_EQ(read->families[0].protocols[1].port, 7687);
  EXPECT_EQ(read->boltLogin->principal, "driver");
}

TEST(InstallationSettings, MayBeEmpty) {
  std::vector<Problem> problems;
  const auto read = parse("site.xml", file(""), problems);
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->listeners.empty());
  EXPECT_EQ(read->log.form, LogForm::Text);
}

// Each case is rejected with a message that contains the given texts.
TEST(InstallationSettings, ThatAreInvalidAreRejectedWithAReason) {
  const std::string family =
      "<families><family name=\"terms\" cluster=\"0\"><protocol name=\"bolt\" "
      "listed=\"true\"/></family></families>";
  const std::vector<std::pair<std::string, std::vector<std::string>>> cases = {
      {"", {"site.xml"}},
      {"<heathflow", {"site.xml:1"}},
      {"<other/>", {"site.xml:1: element 'other'"}},
      {"<heathflow xmlns=\"urn:heathflow:settings:1\" version=\"2\"/>",
       {"site.xml:1: element 'heathflow'", "'2'", "'1'"}},
      {file("<nothing/>"), {"site.xml:2: element 'nothing'", "not expected"}},
      {file("<log form=\"xml\"/>"), {"site.xml:2: element 'log'", "'xml'", "'text', 'keyvalue', 'json'"}},
      {file("<log lines-per-second=\"0\"/>"), {"element 'log'", "'0'", "1"}},
      {file("<log colour=\"red\"/>"), {"element 'log'", "'colour'", "not allowed"}},
      {file("<listeners/>"), {"element 'listeners'", "Missing child", "listener"}},
      {file("<listeners><listener name=\"a\" protocol=\"bolt\"/></listeners>"),
       {"element 'listener'", "'address'", "required"}},
      {file("<listeners><listener name=\"a\" address=\"localhost:1\" protocol=\"bolt\"/></listeners>"),
       {"'localhost:1'", "pattern"}},
      {file("<listeners><listener name=\"a\" address=\"1.2.3.4:1\" protocol=\"mysql\"/></listeners>"),
       {"'mysql'", "'postgresql', 'bolt'"}},
      {file("<listeners><listener name=\"a\" address=\"1.2.3.400:1\" protocol=\"bolt\"/></listeners>"),
       {"1.2.3.400:1", "255"}},
      {file("<listeners><listener name=\"a\" address=\"1.2.3.4:70000\" protocol=\"bolt\"/></listeners>"),
       {"1.2.3.4:70000", "65535"}},
      {file("<listeners><listener name=\"a\" address=\"1.2.3.4:5\" protocol=\"bolt\"/>\n"
            "<listener name=\"a\" address=\"1.2.3.4:6\" protocol=\"bolt\"/></listeners>"),
       {"site.xml:3: element 'listener'", "'a'", "line 2"}},
      {file("<listeners><listener name=\"a\" address=\"1.2.3.4:5\" protocol=\"bolt\"/>"
            "<listener name=\"b\" address=\"1.2.3.4:5\" protocol=\"bolt\"/></listeners>"),
       {"1.2.3.4:5", "'a'"}},
      {file("<listeners><listener name=\"a\" address=\"1.2.3.4:5\" protocol=\"bolt\"><defaults "
            "family=\"x\"/></listener></listeners>"),
       {"no family 'x'"}},
      {file("<listeners><listener name=\"a\" address=\"1.2.3.4:5\" protocol=\"postgresql\"><defaults "
            "family=\"terms\"/>"
            "</listener></listeners>" +
            family),
       {"'terms'", "does not speak 'postgresql'"}},
      {file("<families><family name=\"t\" cluster=\"0\"><protocol name=\"bolt\"/></family></families>"),
       {"0 listed", "exactly one"}},
      {file("<families><family name=\"t\" cluster=\"0\"><protocol name=\"bolt\" listed=\"true\" "
            "port=\"5\"/></family></families>"),
       {"'bolt'", "one of the two"}},
      {file("<families><family name=\"t\" cluster=\"0\"><protocol name=\"bolt\" listed=\"true\"/><protocol "
            "name=\"bolt\"/>"
            "</family></families>"),
       {"names 'bolt' twice"}},
      {file("<families><family name=\"t\" cluster=\"-1\"><protocol name=\"bolt\" "
            "listed=\"true\"/></family></families>"),
       {"'-1'", "unsignedInt"}},
      {file("<families><family name=\"t\" cluster=\"0\"><protocol name=\"bolt\" listed=\"true\"/></family>"
            "<family name=\"u\" cluster=\"0\"><protocol name=\"bolt\" listed=\"true\"/></family></families>"),
       {"cluster 0", "'t'"}},
      {file("<members><bolt-login principal=\"x\"/></members>"),
       {"element 'bolt-login'", "'credentials-file'"}},
      {"<!DOCTYPE heathflow [<!ENTITY e \"x\">]>" + file(""), {"document type"}},
  };
  for (const auto& [text, marks] : cases) {
    const std::string found = problemsOf(text);
    for (const std::string& mark : marks)
      EXPECT_NE(found.find(mark), std::string::npos) << mark << " in:\n" << found << "for:\n" << text;
  }
}

TEST(InstallationSettings, ReportAllProblemsAtOnce) {
  const std::string found =
      problemsOf(file("<log form=\"xml\"/>\n<listeners>\n"
                      "<listener name=\"a\" address=\"nowhere\" protocol=\"bolt\"/>\n"
                      "<listener name=\"9\" address=\"1.2.3.4:5\" protocol=\"none\"/>\n</listeners>"));
  for (const char* mark :
       {"site.xml:2:", "site.xml:4:", "site.xml:5:", "'xml'", "'nowhere'", "'9'", "'none'"}) {
    EXPECT_NE(found.find(mark), std::string::npos) << mark << " in:\n" << found;
  }
}

TEST(InstallationSettings, TheShippedFileIsValidAndAMissingFileIsReported) {
  std::vector<Problem> problems;
  const auto read = load(HEATHFLOW_SOURCE "/deploy/heathflow.xml", problems);
  EXPECT_TRUE(read) << (problems.empty() ? "" : toText(problems[0]));
  EXPECT_TRUE(problems.empty());
  EXPECT_FALSE(load("/no/such/file.xml", problems));
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_NE(toText(problems[0]).find("can't be opened"), std::string::npos);
}

TEST(InstallationSettings, ThatNameAnUnknownClassAreReported) {
  std::vector<Problem> problems;
  const auto read =
      parse("site.xml",
            file("<listeners><listener name=\"a\" address=\"1.2.3.4:5\" protocol=\"bolt\">"
                 "<defaults read-class=\"view\" write-class=\"store\"/></listener></listeners>"),
            problems);
  ASSERT_TRUE(read);
  checkClasses(*read, "site.xml", {"view", "save"}, problems);
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(toText(problems[0]),
            "site.xml:2: element 'listener': there is no class 'store': one of view, save is expected");
}

TEST(InstallationSecrets, MustNotBeAccessibleToOthers) {
  const std::string path =
      (std::filesystem::temp_directory_path() / ("heathflow-secret-" + std::to_string(::getpid()))).string();
  std::ofstream(path) << "hush\n";
  Installation installation;
  installation.boltLogin = Login{"driver", path, {}};
  std::vector<Problem> problems;
  ::chmod(path.c_str(), 0644);
  readSecrets(installation, "site.xml", problems);
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_NE(toText(problems[0]).find("mode 600"), std::string::npos);
  EXPECT_TRUE(installation.boltLogin->credentials.empty());
  problems.clear();
  ::chmod(path.c_str(), 0600);
  readSecrets(installation, "site.xml", problems);
  EXPECT_TRUE(problems.empty());
  EXPECT_EQ(installation.boltLogin->credentials, "hush");
  std::filesystem::remove(path);
  readSecrets(installation, "site.xml", problems);
  EXPECT_EQ(problems.size(), 1U);
}

}  // namespace
}  // namespace heathflow::installation
